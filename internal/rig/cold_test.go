package rig_test

import (
	"testing"
	"time"

	"brasswell/internal/rig"
	"brasswell/internal/rig/story"
	"brasswell/internal/standin/audit"
)

// TestTwentyProxiesSpareTheCold: two of six backends return cold before 20 processes with thin traffic, of which half are killed
// while they warm, and come back. What all send to a cold backend together stays within what it bears, by the auditor's count of
// arrivals, and some of it comes.
func TestTwentyProxiesSpareTheCold(t *testing.T) {
	t.Parallel()
	const members = 20
	var half []string
	for n := range members / 2 {
		half = append(half, story.Name(n))
	}
	s := calm(members, 14*time.Second,
		story.Event{At: at(2), For: at(1), Do: story.Cold, Who: []string{"node-00", "node-01"}},
		story.Event{At: at(4), For: at(1), Do: story.Kill, Who: half})
	s.Backends, s.Slots, s.Load, s.WarmUp = 6, 1, 240, story.Duration(6*time.Second)
	r := fleet(t, rig.Config{Story: s})
	result := play(t, r, s)
	t.Logf("cold backends got %.2f of what they bear at most, in %d checks", result.Rules.ColdMost, result.Rules.Checks[audit.Cold])
	if result.Rules.Checks[audit.Cold] == 0 {
		t.Error("nothing came to a cold backend")
	}
}
