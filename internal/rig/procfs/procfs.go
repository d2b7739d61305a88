// Package procfs reads what processes of this machine have used, from their clocks and from proc(5).
package procfs

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// ProcessorTime is what all threads of a process have used so far, in user and system mode. It reads the process's own clock, see
// clock_getcpuclockid(3): /proc counts in ticks of 10 ms, which is what a hundred calls take.
func ProcessorTime(pid int) (time.Duration, error) {
	const (
		idBits    = 3 // of a clock's number, below the process's id
		schedTime = 2 // the clock of the time that the scheduler has given, CPUCLOCK_SCHED
	)
	if pid <= 0 {
		return 0, errors.New("procfs: processor time of no process") // the clock of 0 is this process's own
	}
	var used unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<idBits|schedTime), &used); err != nil {
		return 0, fmt.Errorf("procfs: processor time of %d: %w", pid, err)
	}
	return time.Duration(used.Nano()), nil
}

// ResidentMemory is what a process holds in memory, in bytes; 0 where there is none.
func ResidentMemory(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	const resident = 1 // in pages
	if len(fields) <= resident {
		return 0
	}
	pages, _ := strconv.ParseUint(string(fields[resident]), 10, 64)
	return pages * uint64(os.Getpagesize())
}

// PeakResidentMemory returns the most bytes that a process has ever held in memory, files that it has mapped included; 0 if there
// is no such process.
func PeakResidentMemory(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		value, found := bytes.CutPrefix(line, []byte("VmHWM:"))
		if !found {
			continue
		}
		kibibytes, _ := strconv.ParseUint(string(bytes.TrimSuffix(bytes.TrimSpace(value), []byte(" kB"))), 10, 64)
		return kibibytes << 10
	}
	return 0
}

// ThreadWaits is for how long each thread of a process that was ready to run has waited for a core so far, by its id, see proc(5) on schedstat. It is
// empty where there is no such process, or the kernel does not say.
func ThreadWaits(pid int) map[int]time.Duration {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return nil
	}
	waits := make(map[int]time.Duration, len(tasks))
	for _, task := range tasks {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, task.Name()))
		if err != nil {
			continue // it has ended
		}
		fields := bytes.Fields(text)
		const waited = 1 // in nanoseconds, behind the time on a core
		thread, err := strconv.Atoi(task.Name())
		if err != nil || len(fields) <= waited {
			continue
		}
		nanoseconds, _ := strconv.ParseInt(string(fields[waited]), 10, 64)
		waits[thread] = time.Duration(nanoseconds)
	}
	return waits
}
