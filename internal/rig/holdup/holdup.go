// Package holdup records for how long processes that were ready to run did not: the one that plays callers, backends and discovery, by the gaps of a
// ticker, and others, by the kernel's figures of how long their threads waited for a core. What a process does late by as much is no fault of
// its own.
package holdup

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"brasswell/internal/rig/procfs"
)

const (
	// tick is how often it is looked whether this process runs, and sampleEvery how often the kernel is asked about others.
	tick        = 10 * time.Millisecond
	sampleEvery = 100 * time.Millisecond
	// Least is the shortest hold-up that is recorded.
	Least = 100 * time.Millisecond
	// mostRecorded bounds what is kept; the longest ones count on.
	mostRecorded = 10_000
)

// HoldUp is a time for which a process that was ready did not run.
type HoldUp struct {
	Who  string        `json:"who"`
	At   time.Duration `json:"at_ns"` // its end, or up to sampleEvery behind it
	Took time.Duration `json:"took_ns"`
}

func (h HoldUp) String() string {
	return fmt.Sprintf("%8.3f  %s did not run for %v", h.At.Seconds(), h.Who, h.Took.Round(time.Millisecond))
}

// Process is another process that is recorded. PID is 0 while it does not run.
type Process struct {
	Name string
	PID  func() int
}

// Recorder records hold-ups.
type Recorder struct {
	now func() time.Duration

	mu    sync.Mutex
	found []HoldUp
}

// NewRecorder returns a recorder whose times are those of now.
func NewRecorder(now func() time.Duration) *Recorder { return &Recorder{now: now} }

// Run records until ctx is done. Own is what this process is called.
func (r *Recorder) Run(ctx context.Context, own string, others []Process) {
	gaps := gaps{last: r.now()}
	waits := waits{}
	for n := 0; sleep(ctx, tick); n++ {
		now := r.now()
		r.record(HoldUp{own, now, gaps.look(now)})
		if n%int(sampleEvery/tick) != 0 {
			continue
		}
		for _, p := range others {
			r.record(HoldUp{p.Name, now, waits.look(p)})
		}
	}
}

func (r *Recorder) record(h HoldUp) {
	if h.Took < Least {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.found) < mostRecorded {
		r.found = append(r.found, h)
	}
}

// Found are the hold-ups so far, in the order of their ends.
func (r *Recorder) Found() []HoldUp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.found)
}

// Longest is the longest hold-up of each process, the longest of all first.
func (r *Recorder) Longest() []HoldUp {
	longest := map[string]HoldUp{}
	for _, h := range r.Found() {
		if h.Took > longest[h.Who].Took {
			longest[h.Who] = h
		}
	}
	var all []HoldUp
	for _, h := range longest {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b HoldUp) int { return cmp.Or(cmp.Compare(b.Took, a.Took), cmp.Compare(a.Who, b.Who)) })
	return all
}

// gaps finds the times in which this process did not run, by looks that come late.
type gaps struct{ last time.Duration }

// look takes in that the process runs at a time, and returns how late that is.
func (g *gaps) look(now time.Duration) time.Duration {
	late := now - g.last - tick
	g.last = now
	return late
}

// waits are for how long the threads of processes have waited for a core, by process and thread.
type waits map[string]map[int]time.Duration

// look returns the longest wait of a thread of a process since the last look.
func (w waits) look(p Process) (longest time.Duration) {
	pid := p.PID()
	if pid <= 0 {
		delete(w, p.Name)
		return 0
	}
	now := procfs.ThreadWaits(pid)
	for thread, waited := range now {
		if before, known := w[p.Name][thread]; known {
			longest = max(longest, waited-before)
		}
	}
	w[p.Name] = now
	return longest
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
