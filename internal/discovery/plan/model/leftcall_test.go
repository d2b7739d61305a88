package model

import (
	"testing"
	"time"
)

// crossings play a course for each moment at which a change may cross what the process does behind a move at moveAt: the watch before it and the
// next calls meet what is given, and each change comes right after the process is stopped for a time.
func runCrossings(t *testing.T, calls []Outcome, stall time.Duration) {
	t.Helper()
	const moveAt, until, step, before = time.Second, 4 * time.Second, 10 * time.Millisecond, 10 * time.Millisecond
	const seeds = 4
	for changed := moveAt - 100*time.Millisecond; changed < until; changed += step {
		for seed := range uint64(seeds) {
			c := Schedule{
				Seed: seed, Length: 40 * time.Second, AskEvery: defaultAskEvery,
				CallOutcomes: calls, Moves: []time.Duration{moveAt}, Changes: []time.Duration{changed},
			}
			if stall > 0 {
				c.Stalls = []Stall{{changed - before, stall}}
			}
			if v := Run(c, nil); v.Late > 0 {
				t.Errorf("%v: a change at %v, seed %d: acted on %v behind the grace (%s), first at %v", calls, changed, seed, v.Late, v.LateRule, v.FirstLateAt)
				return
			}
		}
	}
}

// TestNewsOnALeftCallAreNotLostWithIt: the watch at the address before a move may be given up behind a moment in which the process did not run, for no
// longer than the pages allow for. The news that were written on it in that moment count as told, and the calls at the new address are silent.
func TestUpdateOnCancelledCallIsNotLost(t *testing.T) {
	for _, behind := range [][]Outcome{{NoResponse, NoResponse}, {Normal, NoResponse}, {RefusedAtOnce, NoResponse}, {Normal, Normal, NoResponse}} {
		runCrossings(t, append([]Outcome{Normal, Normal}, behind...), maxAllowedStall)
	}
}

// TestNewsOnTheirWayToALeftCallAreNotLostWithIt: the same where the process runs, and the news are on their way for as long as the grace covers.
func TestUpdateInTransitToCancelledCallIsNotLost(t *testing.T) {
	for _, behind := range [][]Outcome{{NoResponse, NoResponse}, {Normal, NoResponse}, {RefusedAtOnce, NoResponse}, {Normal, Normal, NoResponse}} {
		runCrossings(t, append([]Outcome{Normal, DeliveredLate}, behind...), 0)
	}
}
