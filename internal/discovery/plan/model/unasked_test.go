package model

import (
	"testing"
	"time"
)

// TestACallThatGoesOnWithNoWatchDoesNotMakeUpForATimeWithout: behind a move a call is turned away, and the answer on the watch at the old address comes
// late in the pause behind it. Until the next call nothing is out, and ask_every_ms is over: what the answer does not tell counts as told. The next call
// begins another watch, at the new address, and stays silent.
func TestContinuingCallDoesNotCoverTimeWithoutCalls(t *testing.T) {
	const askEvery = 200 * time.Millisecond
	for seed := range uint64(2000) {
		c := Schedule{
			Seed: seed, Length: 10 * time.Second, AskEvery: askEvery,
			CallOutcomes: []Outcome{Normal, WrittenLate, RefusedAtOnce, NoResponse}, Moves: []time.Duration{time.Second},
			Changes: []time.Duration{1100 * time.Millisecond, 1200 * time.Millisecond},
		}
		if v := Run(c, nil); v.Late > 0 {
			t.Errorf("seed %d: acted on %v behind the grace (%s), first at %v", seed, v.Late, v.LateRule, v.FirstLateAt)
		}
	}
}
