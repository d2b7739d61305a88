package balance

import (
	"fmt"
	"slices"
	"testing"
)

// TestUnrunAttemptsNeedNoBudget: a lost room refuses every other send. What never ran is sent elsewhere however
// often that happens; what may have run keeps to the budget, since it was work.
func TestUnrunAttemptsNeedNoBudget(t *testing.T) {
	for _, c := range []struct {
		outcome    Outcome
		least, top int // of 100 requests, how many get a second attempt
	}{
		{ConnectError, 100, 100},
		{QueueFull, 100, 100},
		{Failed, 1, int(retryBurst + 100*retryRatio)},
	} {
		f := newFake(t, testSettings(), fleet(12))
		again := 0
		for i := range 100 {
			id := fmt.Sprint("r", i)
			f.submit(id, 0)
			f.now += 5 * ms
			f.result(id, 0, c.outcome)
			if len(f.sent[id]) > 1 {
				again++
				f.result(id, 1, OK)
			}
			f.advance(f.now + 100*ms)
		}
		if again < c.least || again > c.top {
			t.Errorf("%v: %d of 100 requests had a second attempt, want %d to %d", c.outcome, again, c.least, c.top)
		}
	}
}

// replaced plays 100 requests a second before 10 servers for 10 s, then gone of them gone and fresh new ones cold for
// 2 s, and returns what one cold server was sent in the second second.
func replaced(t *testing.T, gone, fresh int) (perCold float64) {
	f := newFake(t, testSettings(), fleet(10))
	play := func(n int) map[string]int {
		sent := map[string]int{}
		for range n {
			id := fmt.Sprint("r", len(f.sent))
			f.submit(id, 0)
			f.advance(f.now + 10*ms)
			for i, s := range f.sent[id] {
				sent[s]++
				f.result(id, i, OK)
			}
		}
		return sent
	}
	play(1000)
	list := fleet(10)[gone:]
	for i := range fresh {
		list = append(list, Entry{ID: fmt.Sprintf("t%03d", i), Boot: f.now})
	}
	f.b.Update(f.now, Full, list)
	play(100)
	total := 0
	for id, n := range play(100) {
		if id[0] == 't' {
			total += n
		}
	}
	return float64(total) / float64(fresh)
}

// TestColdBudgetFollowsTheWarm: 10 a second are a warm member's when all stand; with six of ten gone the four
// that are left have 25 each, and a cold one is sent in proportion to that. To measure it by all places, the empty ones
// too, kept it at a third of what it could do while the warm drowned.
func TestColdBudgetFollowsTheWarm(t *testing.T) {
	// At 37 to 44% of its capacity in its second second, used for 1.5 times that.
	few, many := replaced(t, 1, 1), replaced(t, 6, 1)
	t.Logf("a cold server is sent %.1f beside nine warm ones, %.1f beside four", few, many)
	if few < 4 || few > 8 {
		t.Errorf("beside nine warm ones a cold server is sent %.1f in a second, want 4 to 8", few)
	}
	if many < 8 || many > 17 {
		t.Errorf("beside four warm ones a cold server is sent %.1f in a second, want 8 to 17", many)
	}
}

// TestQuietWatchEndsTheBackOff: a watch that was refused three times and then stands without news is well again. When it
// breaks an hour later, the next call must not wait as after a fourth failure: what it should have told counts as told.
func TestQuietWatchEndsTheBackOff(t *testing.T) {
	set := testSettings()
	set.AskForList = true
	f := newFake(t, set, nil)
	f.b.Update(f.now, Cached, fleet(4))
	for range 3 {
		f.advance(f.now + set.AskEvery)
		f.b.Update(f.now, ListFailed, nil)
	}
	f.advance(f.now + set.AskEvery)
	slots := slices.Clone(f.b.slots)
	f.b.Update(f.now, Delta, nil)
	if !slices.Equal(slots, f.b.slots) {
		t.Error("the word that nothing changed has changed something")
	}
	for n := range 8 { // the wait is random: each must be as short as after a first failure
		asked := f.watches
		f.b.Update(f.now, ListFailed, nil)
		f.advance(f.now + set.AskEvery/8)
		if f.watches != asked+1 {
			t.Errorf("break %d: %d calls within %v of it, want 1", n, f.watches-asked, set.AskEvery/8)
		}
		f.advance(f.now + set.AskEvery)
		f.b.Update(f.now, Delta, nil)
	}
}
