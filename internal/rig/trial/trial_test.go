package trial

import (
	"testing"
	"time"

	"brasswell/internal/rig/story"
)

// TestContradictionsWithoutADefence: in a story in which nothing contradicts itself, taking one defence of the agreement out has proxies
// with a lease act against each other.
func TestContradictionsWithoutADefence(t *testing.T) {
	const members, voters, length = 6, 3, 40 * time.Second
	play := func(seed uint64, without ...string) time.Duration {
		t.Helper()
		sum, err := Play(t.Context(), Config{
			Story: func(seed uint64) *story.Story { return story.Unruly(seed, members, voters, length) },
			First: seed, Runs: 1, Jobs: 1, Model: true, Without: without,
		})
		if err != nil || sum.Runs != 1 {
			t.Fatalf("%+v, %v", sum, err)
		}
		return sum.Agreed.Leased
	}
	for _, c := range []struct {
		without string
		seed    uint64 // of a story that shows it
	}{
		{contentCheck, 2}, {"enforcing", 16},
	} {
		if lasted := play(c.seed); lasted > 0 {
			t.Errorf("seed %d, with all defences: contradictions for %v", c.seed, lasted)
		}
		lasted := play(c.seed, c.without)
		t.Logf("without %s, seed %d: contradictions for %v", c.without, c.seed, lasted)
		if lasted == 0 {
			t.Errorf("nothing is found without %s with seed %d", c.without, c.seed)
		}
	}
}

// TestUnknownDefence: a name that no defence has is turned away with those that there are.
func TestUnknownDefence(t *testing.T) {
	if _, err := Play(t.Context(), Config{Without: []string{"luck"}}); err == nil {
		t.Error("it is taken")
	}
}
