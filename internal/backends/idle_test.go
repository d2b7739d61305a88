package backends

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestIdleListMatchesASlice makes thousands of random changes to an idleList and a plain slice, and compares them.
func TestIdleListMatchesASlice(t *testing.T) {
	const settleTime = 5 * time.Millisecond
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var l idleList
		var plain []*conn
		now := time.Now()
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(3)) * time.Millisecond)
			switch k := rng.IntN(3); {
			case k < 2 && len(plain) < 40:
				c := &conn{parkedAt: now}
				l.Push(c)
				plain = append(plain, c)
			case len(plain) > 0:
				i := rng.IntN(len(plain))
				l.Remove(plain[i])
				plain = slices.Delete(plain, i, i+1)
			}
			var want *conn
			for _, c := range plain {
				if now.Sub(c.parkedAt) >= settleTime {
					want = c
				}
			}
			if rng.IntN(2) == 0 {
				if got := l.lastSettled(now, settleTime); got != want {
					t.Fatalf("seed %d: lastSettled is %p, want %p", seed, got, want)
				}
			}
			if got := slices.Collect(l.All()); !slices.Equal(got, plain) {
				t.Fatalf("seed %d: %d connections, want %d", seed, len(got), len(plain))
			}
			if (l.Front() == nil) != (len(plain) == 0) || l.Front() != nil && (l.Front() != plain[0] || l.Back() != plain[len(plain)-1]) {
				t.Fatalf("seed %d: Front or Back is wrong", seed)
			}
		}
	}
}
