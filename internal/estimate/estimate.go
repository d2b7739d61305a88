// Package estimate tracks rates, means and quantiles of a stream in constant memory. Each estimator is a plain value
// that can be copied and passed to another process. The caller chooses how fast it forgets. Estimators are not safe
// for concurrent use.
package estimate

import (
	"math"
	"time"
)

// Rate is a smoothed count of events per second, as of the last event.
type Rate struct {
	PerSecond float64
	Updated   time.Duration
}

// Add counts events that occur now.
func (r *Rate) Add(now time.Duration, events float64, timeConstant time.Duration) {
	r.PerSecond = r.At(now, timeConstant) + events/timeConstant.Seconds()
	r.Updated = now
}

// At returns the rate now. An event counted one timeConstant ago weighs 1/e of an event counted now.
func (r Rate) At(now, timeConstant time.Duration) float64 {
	return r.PerSecond * math.Exp(-float64(now-r.Updated)/float64(timeConstant))
}

// Quantile tracks a quantile of positive values in small steps. It is 0 before the first value.
type Quantile float64

// Observe adds a value. It multiplies the estimate by 1-step*(1-q) if the value is below it, and by 1+step*q
// otherwise.
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

// Mean is a smoothed mean of positive values. It is 0 before the first value.
type Mean float64

// Observe adds a value with the weight step.
func (m *Mean) Observe(value, step float64) {
	if *m == 0 {
		*m = Mean(value)
	}
	*m += Mean(step) * (Mean(value) - *m)
}

// Majority finds the duration that most observed durations are close to, by the majority vote of Boyer and Moore. The
// number of votes is limited so that another duration can replace the current one.
type Majority struct {
	Value time.Duration
	Votes int
}

// Observe adds a value. Votes does not exceed maxVotes.
func (m *Majority) Observe(value, slack time.Duration, maxVotes int) {
	switch {
	case m.Votes == 0:
		m.Value, m.Votes = value, 1
	case m.Near(value, slack):
		m.Votes = min(m.Votes+1, maxVotes)
	default:
		m.Votes--
	}
}

// Near reports whether a value is within slack of the majority value. Every value is before there is one.
func (m *Majority) Near(value, slack time.Duration) bool {
	return m.Votes == 0 || (value-m.Value).Abs() <= slack
}

// TokenBucket is a token bucket that starts full.
type TokenBucket struct {
	Tokens      float64
	Updated     time.Duration
	Initialized bool // false until the first use
}

// Refill adds the tokens earned since the last call, up to burst.
func (t *TokenBucket) Refill(now time.Duration, perSecond, burst float64) {
	if !t.Initialized {
		t.Initialized, t.Tokens = true, burst
	}
	t.Tokens = min(t.Tokens+perSecond*(now-t.Updated).Seconds(), burst)
	t.Updated = now
}

// Take refills the bucket and takes one token out. It reports whether there was one.
func (t *TokenBucket) Take(now time.Duration, perSecond, burst float64) bool {
	t.Refill(now, perSecond, burst)
	if t.Tokens < 1 {
		return false
	}
	t.Tokens--
	return true
}
