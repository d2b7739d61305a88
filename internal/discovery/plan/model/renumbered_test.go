package model

import (
	"testing"
	"time"
)

// TestLateAnswerFromBeforeRenumberingIsNotNewer: discovery restarts its version count from a lower number while a
// late answer from before is in transit. Once the process has the whole list of the new count, the late answer is
// older, although its version is higher.
func TestLateAnswerFromBeforeRenumberingIsNotNewer(t *testing.T) {
	const first, second, renumbered = 463895528, 646801246, 2893202568
	s := Schedule{
		Seed: 121625, Length: time.Minute, AskEvery: defaultAskEvery,
		Phases:  []Phase{{Shares: []Share{{WrittenLate, 0.08588291749759425}}}},
		Changes: []time.Duration{first, second}, Renumberings: []time.Duration{renumbered},
	}
	if v := Run(s, nil); v.Late > 0 {
		t.Errorf("acted on %v after the grace (%s), first at %v", v.Late, v.LateRule, v.FirstLateAt)
	}
}
