package model

import (
	"slices"
	"testing"
	"time"
)

// longGap is for how long on end the operators let few proxies serve nobody.
const maxStaleGap = 4 * time.Second

// rollDay is a fleet whose processes are replaced one after another, with a service that answers some 39 calls a second which begin a watch, while the
// service moves to another address. Sizes and times are those of a full standing test.
func rollingRestart(seed uint64) fleetSettings {
	const (
		startWithin = 12 * time.Second // the service answers all by then
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

// fleetReport is what came of a day from the move on.
type fleetReport struct {
	processes    int           // that lived then
	overMaxGap   int           // of these, such that might not act on their list for longer than longGap
	longestStale time.Duration // time of any
	usableShare  float64       // share of the time in which a process might act on its list
}

func (f *fleetSimulation) report() (r fleetReport) {
	ticks, heldTicks := 0, 0
	for _, m := range slices.Concat(f.ended, f.members) {
		if m == nil || m.ticks == 0 {
			continue
		}
		r.processes++
		ticks += m.ticks
		heldTicks += m.staleTicks
		r.longestStale = max(r.longestStale, m.longestStale)
		if m.longestStale > maxStaleGap {
			r.overMaxGap++
		}
	}
	r.usableShare = 1 - float64(heldTicks)/float64(ticks)
	return r
}

// TestAMoveLeavesFewProcessesWithoutAList guards against a fleet that has to begin its watches anew behind a move: at most one process in ten may not
// act on its list for more than 4 s on end.
func TestMoveLeavesFewProcessesWithoutUsableList(t *testing.T) {
	const oneIn = 10
	for seed := range uint64(6) {
		f := simulateFleet(rollingRestart(seed))
		r := f.report()
		t.Logf("seed %d: %+v; behind the move %+v calls, of them refused %+v", seed, r, f.counts.made, f.counts.refused)
		if r.overMaxGap*oneIn > r.processes {
			t.Errorf("seed %d: %d of %d processes could not act on their list for over %v", seed, r.overMaxGap, r.processes, maxStaleGap)
		}
	}
}

// TestFleetsAreReproducible: a seed gives the same day each time.
func TestFleetSimulationIsReproducible(t *testing.T) {
	first, second := simulateFleet(rollingRestart(1)), simulateFleet(rollingRestart(1))
	if first.report() != second.report() || first.counts != second.counts {
		t.Errorf("the same seed gave %+v, %+v and %+v, %+v", first.report(), first.counts, second.report(), second.counts)
	}
}
