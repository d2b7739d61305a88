package balance

import (
	"math"
	"time"
)

// rate is a smoothed count of events a second.
type rate struct {
	per  float64
	last time.Duration
}

// rateMemory is the time over which a rate is smoothed.
const rateMemory = 4 * time.Second

func (r *rate) add(now time.Duration, events float64) {
	r.per = r.at(now) + events/rateMemory.Seconds()
	r.last = now
}

func (r *rate) at(now time.Duration) float64 {
	return r.per * math.Exp(-float64(now-r.last)/float64(rateMemory))
}

// quantile follows a quantile of durations, in seconds, by small steps; 0 until the first.
type quantile float64

func (e *quantile) observe(d time.Duration, q float64) {
	switch x := quantile(max(d.Seconds(), minCost)); {
	case *e == 0:
		*e = x
	case x < *e:
		*e *= quantile(1 - quantileStep*(1-q))
	default:
		*e *= quantile(1 + quantileStep*q)
	}
}

// mean is a smoothed mean of seconds; 0 until the first.
type mean float64

func (m *mean) observe(seconds float64) {
	if *m == 0 {
		*m = mean(seconds)
	}
	*m += meanStep * (mean(seconds) - *m)
}

// tail is the time that nearly all of a class's attempts take. From the first few it cannot be told: an
// instance that has just started would take the first one's time for it and eject whoever takes longer.
type tail struct {
	quantile
	seen int
}

func (t *tail) known() bool { return t.seen >= tailSeen }
