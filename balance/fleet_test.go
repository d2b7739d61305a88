package balance

import (
	"fmt"
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
