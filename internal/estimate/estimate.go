// Package estimate follows rates, means and quantiles of a stream in a few words of memory. Each estimator is one value
// that can be copied and carried to another process; how fast it forgets is the caller's to say. None is safe for
// concurrent use.
package estimate

import (
	"math"
	"time"
)

// Rate is a smoothed count of events a second, as of the time of the last one.
type Rate struct {
	PerSecond float64
	Updated   time.Duration
}

// Add counts events that come now.
func (r *Rate) Add(now time.Duration, events float64, memory time.Duration) {
	r.PerSecond = r.At(now, memory) + events/memory.Seconds()
	r.Updated = now
}

// At is the rate now: what was counted a memory ago weighs 1/e of what is counted now.
func (r Rate) At(now, memory time.Duration) float64 {
	return r.PerSecond * math.Exp(-float64(now-r.Updated)/float64(memory))
}

// Quantile follows a quantile of values above 0 by small steps; 0 until the first.
type Quantile float64

// Observe takes one value in: step is how much of itself the estimate moves by, shared out by q.
func (e *Quantile) Observe(value, q, step float64) {
	switch x := Quantile(value); {
	case *e == 0:
		*e = x
	case x < *e:
		*e *= Quantile(1 - step*(1-q))
	default:
		*e *= Quantile(1 + step*q)
	}
}

// Mean is a smoothed mean of values above 0; 0 until the first.
type Mean float64

// Observe takes one value in, which weighs step.
func (m *Mean) Observe(value, step float64) {
	if *m == 0 {
		*m = Mean(value)
	}
	*m += Mean(step) * (Mean(value) - *m)
}

// Majority finds the duration that most of those observed lie near, by a majority vote (Boyer and Moore) in which no value
// gathers more than some votes, so that another can unseat it.
type Majority struct {
	Value time.Duration
	Votes int
}

// Observe takes one value in; Votes stays at most.
func (m *Majority) Observe(value, slack time.Duration, most int) {
	switch {
	case m.Votes == 0:
		m.Value, m.Votes = value, 1
	case m.Near(value, slack):
		m.Votes = min(m.Votes+1, most)
	default:
		m.Votes--
	}
}

// Near says whether a value lies within slack of the majority's; all do before there is one.
func (m *Majority) Near(value, slack time.Duration) bool {
	return m.Votes == 0 || (value-m.Value).Abs() <= slack
}

// Bucket is a token bucket that starts full.
type TokenBucket struct {
	Tokens      float64
	Updated     time.Duration
	Initialized bool // it has been used before
}

// Fill fills it up at a rate, to the most that it holds.
func (t *TokenBucket) Refill(now time.Duration, perSecond, most float64) {
	if !t.Initialized {
		t.Initialized, t.Tokens = true, most
	}
	t.Tokens = min(t.Tokens+perSecond*(now-t.Updated).Seconds(), most)
	t.Updated = now
}

// Take fills it up and takes a token out if there is one.
func (t *TokenBucket) Take(now time.Duration, perSecond, most float64) bool {
	t.Refill(now, perSecond, most)
	if t.Tokens < 1 {
		return false
	}
	t.Tokens--
	return true
}
