package soak

import (
	"context"
	"errors"
	"fmt"
	"time"

	"brasswell/internal/rig/procfs"
)

// memoryCheckPause is the time between two looks at the processes' memory.
const memoryCheckPause = 50 * time.Millisecond

// memoryMB returns the memory limit of each process in MiB.
func (p *Plan) memoryMB() float64 {
	if p.MemoryMB == 0 {
		return usualMemoryMB
	}
	return float64(p.MemoryMB)
}

// watchProcesses notes, until ctx is done, the first time that each process is over its memory limit or has ended by itself.
func (r *run) watchProcesses(ctx context.Context) {
	noted := map[*member]bool{}
	for ; ctx.Err() == nil; sleep(ctx, memoryCheckPause) {
		for _, m := range r.members {
			if noted[m] {
				continue
			}
			if err := m.check(r.plan.memoryMB()); err != nil {
				noted[m] = true
				r.fail(m.name, err)
			}
		}
	}
}

// check returns what is wrong with a process that nobody ends or starts just now.
func (m *member) check(limitMB float64) error {
	if !m.mu.TryLock() {
		return nil
	}
	defer m.mu.Unlock()
	if end := m.process.Ended(); end != "" {
		return errors.New("ended by itself: " + end)
	}
	const mebibyte = 1 << 20
	if peak := float64(procfs.PeakResidentMemory(m.process.PID())) / mebibyte; peak > limitMB {
		return fmt.Errorf("held %.1f MiB of memory, limit %.0f", peak, limitMB)
	}
	return nil
}
