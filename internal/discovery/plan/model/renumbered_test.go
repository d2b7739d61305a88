package model

import (
	"testing"
	"time"
)

// TestALeftCallsAnswerOfBeforeARenumberingIsNotTakenForNewer: discovery counts its versions from lower on while a late answer of before is on its
// way. Once the whole list of the new count is held, the late one is older, though its version is higher.
func TestLateAnswerFromBeforeRenumberingIsNotNewer(t *testing.T) {
	const first, second, renumbered = 463895528, 646801246, 2893202568
	c := Schedule{
		Seed: 121625, Length: time.Minute, AskEvery: defaultAskEvery,
		Phases:  []Phase{{Shares: []Share{{WrittenLate, 0.08588291749759425}}}},
		Changes: []time.Duration{first, second}, Renumberings: []time.Duration{renumbered},
	}
	if v := Run(c, nil); v.Late > 0 {
		t.Errorf("acted on %v behind the grace (%s), first at %v", v.Late, v.LateRule, v.FirstLateAt)
	}
}
