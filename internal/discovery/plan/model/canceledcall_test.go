package model

import (
	"testing"
	"time"
)

// runCrossings runs one schedule for each time at which a change can cross what the process does after a move at
// moveAt. The watch before the move and the next calls have the given outcomes. If stall is set, the process stalls
// for that long right before each change.
func runCrossings(t *testing.T, calls []Outcome, stall time.Duration) {
	t.Helper()
	const moveAt, until, step, before = time.Second, 4 * time.Second, 10 * time.Millisecond, 10 * time.Millisecond
	const seeds = 4
	for changed := moveAt - 100*time.Millisecond; changed < until; changed += step {
		for seed := range uint64(seeds) {
			s := Schedule{
				Seed: seed, Length: 40 * time.Second, AskEvery: defaultAskEvery,
				CallOutcomes: calls, Moves: []time.Duration{moveAt}, Changes: []time.Duration{changed},
			}
			if stall > 0 {
				s.Stalls = []Stall{{changed - before, stall}}
			}
			if v := Run(s, nil); v.Late > 0 {
				t.Errorf("%v: a change at %v, seed %d: acted on %v after the grace (%s), first at %v", calls, changed, seed, v.Late, v.LateRule, v.FirstLateAt)
				return
			}
		}
	}
}

// TestUpdateOnCanceledCallIsNotLost: the watch at the address before a move may be given up after a stall of the
// process that is no longer than the operators' pages allow for. A change that was written on it during the stall
// counts as notified, and the calls at the new address get no answer.
func TestUpdateOnCanceledCallIsNotLost(t *testing.T) {
	for _, next := range [][]Outcome{{NoResponse, NoResponse}, {Normal, NoResponse}, {RefusedAtOnce, NoResponse}, {Normal, Normal, NoResponse}} {
		runCrossings(t, append([]Outcome{Normal, Normal}, next...), maxAllowedStall)
	}
}

// TestUpdateInTransitToCanceledCallIsNotLost: the same if the process runs, and the change is in transit for as
// long as the grace covers.
func TestUpdateInTransitToCanceledCallIsNotLost(t *testing.T) {
	for _, next := range [][]Outcome{{NoResponse, NoResponse}, {Normal, NoResponse}, {RefusedAtOnce, NoResponse}, {Normal, Normal, NoResponse}} {
		runCrossings(t, append([]Outcome{Normal, DeliveredLate}, next...), 0)
	}
}
