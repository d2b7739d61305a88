package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func near(t *testing.T, what string, got, want, off float64) {
	t.Helper()
	if math.Abs(got-want) > off {
		t.Errorf("%s is %.3f, want %.3f within %.3f", what, got, want, off)
	}
}

func TestRate(t *testing.T) {
	const timeConstant = 4 * time.Second
	var r Rate
	now := time.Hour
	for range 4000 {
		r.Add(now, 0.5, timeConstant)
		now += 10 * time.Millisecond
	}
	near(t, "the rate of 100 halves per second", r.At(now, timeConstant), 50, 0.5)
	near(t, "the rate one time constant later", r.At(now+timeConstant, timeConstant), 50/math.E, 0.2)
}

func TestMean(t *testing.T) {
	var m Mean
	m.Observe(3, 0.02)
	near(t, "the first mean", float64(m), 3, 0)
	for range 1000 {
		m.Observe(7, 0.02)
	}
	near(t, "the mean", float64(m), 7, 1e-6)
}

func TestQuantile(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, q := range []float64{0.25, 0.95} {
		var e Quantile
		sum, n := 0.0, 0
		for i := range 20000 {
			e.Observe(rng.ExpFloat64(), q, 0.1)
			if i >= 1000 {
				sum, n = sum+float64(e), n+1
			}
		}
		want := -math.Log(1 - q)
		near(t, "the mean of the quantile", sum/float64(n), want, 0.15*want)
	}
}

// TestMajorityIsReplaced: the majority value survives fewer other values than it has votes, and is replaced after
// more of them.
func TestMajorityIsReplaced(t *testing.T) {
	const slack, most = 5 * time.Millisecond, 50
	var m Majority
	if !m.Near(0, slack) || !m.Near(time.Hour, slack) {
		t.Fatal("there is a majority before the first value")
	}
	for range 3 * most {
		m.Observe(time.Second, slack, most)
	}
	for i := range most - 1 {
		m.Observe(time.Duration(i)*20*time.Millisecond, slack, most)
	}
	if !m.Near(time.Second+slack, slack) || m.Near(300*time.Millisecond, slack) {
		t.Fatalf("after %d other values it is %v", most-1, m.Value)
	}
	for range most {
		m.Observe(300*time.Millisecond, slack, most)
	}
	if !m.Near(300*time.Millisecond, slack) || m.Near(time.Second, slack) {
		t.Fatalf("after a change it is %v", m.Value)
	}
}

func TestBucket(t *testing.T) {
	var b TokenBucket
	taken := func(now time.Duration) (n int) {
		for b.Take(now, 10, 4) {
			n++
		}
		return n
	}
	for _, c := range []struct {
		at   time.Duration
		want int
	}{{time.Hour, 4}, {time.Hour, 0}, {time.Hour + 250*time.Millisecond, 2}, {2 * time.Hour, 4}} {
		if got := taken(c.at); got != c.want {
			t.Errorf("at %v it gives %d, want %d", c.at, got, c.want)
		}
	}
}
