package model

import (
	"testing"
	"time"
)

// crossings play a course for each moment at which a change may cross what the process does behind a move at moveAt: the watch before it and the
// next calls meet what is given, and each change comes right after the process is stopped for a time.
func runCrossings(t *testing.T, calls []Fate, stall time.Duration) {
	t.Helper()
	const moveAt, until, step, before = time.Second, 4 * time.Second, 10 * time.Millisecond, 10 * time.Millisecond
	const seeds = 4
	for changed := moveAt - 100*time.Millisecond; changed < until; changed += step {
		for seed := range uint64(seeds) {
			c := Course{
				Seed: seed, Length: 40 * time.Second, AskEvery: defaultAskEvery,
				Calls: calls, Moves: []time.Duration{moveAt}, Changes: []time.Duration{changed},
			}
			if stall > 0 {
				c.HoldUps = []HoldUp{{changed - before, stall}}
			}
			if v := Play(c, nil); v.Late > 0 {
				t.Errorf("%v: a change at %v, seed %d: acted on %v behind the grace (%s), first at %v", calls, changed, seed, v.Late, v.By, v.At)
				return
			}
		}
	}
}

// TestNewsOnALeftCallAreNotLostWithIt: the watch at the address before a move may be given up behind a moment in which the process did not run, for no
// longer than the pages allow for. The news that were written on it in that moment count as told, and the calls at the new address are silent.
func TestUpdateOnCancelledCallIsNotLost(t *testing.T) {
	for _, behind := range [][]Fate{{Silent, Silent}, {Well, Silent}, {RefusedNow, Silent}, {Well, Well, Silent}} {
		runCrossings(t, append([]Fate{Well, Well}, behind...), maxAllowedStall)
	}
}

// TestNewsOnTheirWayToALeftCallAreNotLostWithIt: the same where the process runs, and the news are on their way for as long as the grace covers.
func TestUpdateInTransitToCancelledCallIsNotLost(t *testing.T) {
	for _, behind := range [][]Fate{{Silent, Silent}, {Well, Silent}, {RefusedNow, Silent}, {Well, Well, Silent}} {
		runCrossings(t, append([]Fate{Well, Delayed}, behind...), 0)
	}
}
