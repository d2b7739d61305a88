package restart

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestServesAsLongAsAnswersAreInTime: the longer answers take, the sooner callers are sent away, within bounds.
func TestServesAsLongAsAnswersAreInTime(t *testing.T) {
	for _, c := range []struct {
		name          string
		longest, took time.Duration
		want          time.Duration
	}{
		{"no request yet", 0, 0, 400 * ms},
		{"quick answers", 3 * time.Second, 10 * ms, 2400 * ms},
		{"answers of 0.9 s", 3 * time.Second, 900 * ms, 2100 * ms},
		{"answers as long as the deadline", 3 * time.Second, 3 * time.Second, 1500 * ms},
		{"a deadline past what SIGKILL waits for", 10 * time.Second, 900 * ms, 2100 * ms},
		{"a short deadline", 400 * ms, 10 * ms, 500 * ms},
	} {
		l := New()
		if c.longest > 0 {
			l.RequestTimeCap(c.longest)
			l.ObserveLatency(c.took)
		}
		if got := l.serveOn(); got != c.want {
			t.Errorf("%s: served on for %v, want %v", c.name, got, c.want)
		}
		if l.serveOn() > l.end() {
			t.Errorf("%s: served on for %v, past the end at %v", c.name, l.serveOn(), l.end())
		}
	}
}

// TestUsualFollowsNearlyAll: of answers between 0 and 1 s, 95% take no longer than 0.95 s; it follows a change.
func TestUsualFollowsNearlyAll(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var u usual
	for range 5000 {
		u.observe(time.Duration(rng.Float64() * float64(time.Second)))
	}
	if got := u.time(); got < 800*ms || got > 1100*ms {
		t.Errorf("usual time %v, want about 950 ms", got)
	}
	for range 5000 {
		u.observe(time.Duration(rng.Float64() * float64(100*ms)))
	}
	if got := u.time(); got < 80*ms || got > 110*ms {
		t.Errorf("usual time %v after a change, want about 95 ms", got)
	}
}

// TestTimeIsCappedOnceBegun: before, a request's time is its own; after, its answer must go out before the end.
func TestTimeIsCappedOnceBegun(t *testing.T) {
	l := New()
	if got := l.RequestTimeCap(2 * time.Second); got != 0 {
		t.Errorf("before the restart a request has %v of its 2 s", got)
	}
	l.Begin()
	if got := l.RequestTimeCap(10 * time.Second); got > l.end() {
		t.Errorf("after it has begun a request has %v, past the end in %v", got, l.end())
	}
	if got := l.RequestTimeCap(50 * ms); got <= 0 || got > l.end() {
		t.Errorf("a short request has %v of its 50 ms", got)
	}
}

// TestEndsBeforeSIGKILL computes it: SIGKILL comes 0.7 s after the longest deadline, of which the last answers and the server's own
// end take some.
func TestEndsBeforeSIGKILL(t *testing.T) {
	const ownEnd = 50 * time.Millisecond
	for _, longest := range []time.Duration{0, 20 * ms, 200 * ms, acceptMore, time.Second, 3 * time.Second, 10 * time.Second} {
		l := New()
		l.RequestTimeCap(longest)
		kill := min(longest, 3*time.Second) + 700*ms
		if last := l.end() + lastWords + ownEnd; last > kill {
			t.Errorf("deadline %v: over after %v, SIGKILL after %v", longest, last, kill)
		}
	}
}
