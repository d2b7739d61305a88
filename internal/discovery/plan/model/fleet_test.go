package model

import (
	"slices"
	"testing"
	"time"
)

// maxStaleGap bounds the time at a stretch for which a proxy may be unable to act on its list. The operators let
// only few proxies exceed it.
const maxStaleGap = 4 * time.Second

// rollingRestart is a fleet whose processes are replaced one after another while the service moves to another
// address. The service answers about 39 calls per second that begin a watch. Sizes and times are those of a full
// standing test.
func rollingRestart(seed uint64) fleetSettings {
	const (
		startWithin = 12 * time.Second // the service has answered all processes by then
		roll        = startWithin + 2*time.Second
		move        = roll + 6*time.Second
	)
	return fleetSettings{
		Seed: seed, Processes: 355, FirstTier: 55, StartWithin: startWithin,
		Service: serviceSettings{Rate: 1480, CallLines: 38, MaxQueueDelay: 3 * time.Second},
		Move:    move, MoveWithin: 3500 * time.Millisecond,
		From: roll, To: move + 6*time.Second, ChangeEvery: 700 * time.Millisecond, ChangeEntries: 12, ReplaceEvery: 150 * time.Millisecond,
		Length: move + 20*time.Second,
	}
}

// fleetReport summarizes a simulation from the move on.
type fleetReport struct {
	processes    int           // number of processes that ran then
	overMaxGap   int           // processes that could not act on their list for longer than maxStaleGap
	longestStale time.Duration // longest time of any process without a usable list
	usableShare  float64       // fraction of the time in which a process could act on its list
}

func (f *fleetSimulation) report() (r fleetReport) {
	ticks, staleTicks := 0, 0
	for _, m := range slices.Concat(f.ended, f.members) {
		if m == nil || m.ticks == 0 {
			continue
		}
		r.processes++
		ticks += m.ticks
		staleTicks += m.staleTicks
		r.longestStale = max(r.longestStale, m.longestStale)
		if m.longestStale > maxStaleGap {
			r.overMaxGap++
		}
	}
	r.usableShare = 1 - float64(staleTicks)/float64(ticks)
	return r
}

// TestMoveLeavesFewProcessesWithoutUsableList guards against a fleet that has to begin its watches anew after a
// move: at most one process in ten may be unable to act on its list for more than 4 s at a stretch.
func TestMoveLeavesFewProcessesWithoutUsableList(t *testing.T) {
	const oneIn = 10
	for seed := range uint64(6) {
		f := simulateFleet(rollingRestart(seed))
		r := f.report()
		t.Logf("seed %d: %+v; after the move %+v calls, of which %+v were refused", seed, r, f.counts.made, f.counts.refused)
		if r.overMaxGap*oneIn > r.processes {
			t.Errorf("seed %d: %d of %d processes could not act on their list for over %v", seed, r.overMaxGap, r.processes, maxStaleGap)
		}
	}
}

// TestFleetSimulationIsReproducible: a seed must give the same simulation each time.
func TestFleetSimulationIsReproducible(t *testing.T) {
	first, second := simulateFleet(rollingRestart(1)), simulateFleet(rollingRestart(1))
	if first.report() != second.report() || first.counts != second.counts {
		t.Errorf("the same seed gave %+v, %+v and %+v, %+v", first.report(), first.counts, second.report(), second.counts)
	}
}
