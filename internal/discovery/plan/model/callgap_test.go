package model

import (
	"testing"
	"time"
)

// TestContinuingCallDoesNotCoverTimeWithoutCalls: after a move a call is refused, and the answer on the watch at the
// old address arrives late in the pause that follows. No call is open until the next one, and ask_every_ms is over:
// a change that the answer does not include counts as notified. The next call begins another watch, at the new
// address, and gets no answer.
func TestContinuingCallDoesNotCoverTimeWithoutCalls(t *testing.T) {
	const askEvery = 200 * time.Millisecond
	for seed := range uint64(2000) {
		s := Schedule{
			Seed: seed, Length: 10 * time.Second, AskEvery: askEvery,
			CallOutcomes: []Outcome{Normal, WrittenLate, RefusedAtOnce, NoResponse}, Moves: []time.Duration{time.Second},
			Changes: []time.Duration{1100 * time.Millisecond, 1200 * time.Millisecond},
		}
		if v := Run(s, nil); v.Late > 0 {
			t.Errorf("seed %d: acted on %v after the grace (%s), first at %v", seed, v.Late, v.LateRule, v.FirstLateAt)
		}
	}
}
