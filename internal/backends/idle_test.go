package backends

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestIdleListAgainstAPlainOne makes thousands of random changes to both and compares what they say.
func TestIdleListAgainstAPlainOne(t *testing.T) {
	const rest = 5 * time.Millisecond
	for seed := range uint64(20) {
		dice := rand.New(rand.NewPCG(seed, 0))
		var l idleList
		var plain []*conn
		now := time.Now()
		for range 2000 {
			now = now.Add(time.Duration(dice.IntN(3)) * time.Millisecond)
			switch k := dice.IntN(3); {
			case k < 2 && len(plain) < 40:
				c := &conn{parkedAt: now}
				l.Push(c)
				plain = append(plain, c)
			case len(plain) > 0:
				i := dice.IntN(len(plain))
				l.Remove(plain[i])
				plain = slices.Delete(plain, i, i+1)
			}
			var want *conn
			for _, c := range plain {
				if now.Sub(c.parkedAt) >= rest {
					want = c
				}
			}
			if dice.IntN(2) == 0 {
				if got := l.lastSettled(now, rest); got != want {
					t.Fatalf("seed %d: the last settled is %p, want %p", seed, got, want)
				}
			}
			if got := slices.Collect(l.All()); !slices.Equal(got, plain) {
				t.Fatalf("seed %d: holds %d, want %d", seed, len(got), len(plain))
			}
			if (l.Front() == nil) != (len(plain) == 0) || l.Front() != nil && (l.Front() != plain[0] || l.Back() != plain[len(plain)-1]) {
				t.Fatalf("seed %d: ends do not fit", seed)
			}
		}
	}
}
