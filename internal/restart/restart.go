// Package restart controls a planned restart: how long requests are still accepted, and when all open requests must be
// answered.
package restart

import (
	"sync/atomic"
	"time"
)

// Restart is a planned restart. It starts with SIGTERM. SIGKILL follows no sooner than 0.7 s after the callers' longest
// deadline, of which at most maxDeadline counts.
type Restart struct {
	begun           atomic.Pointer[time.Time]
	longestDeadline atomic.Int64     // the longest time that a caller was ready to wait, in nanoseconds
	longestTimeout  time.Duration    // the longest time that callers may wait by the settings
	latencyP95      quantileEstimate // 95th percentile of response times
	expired         chan struct{}    // closed when all open requests must be answered
	handedOver      atomic.Bool      // another process accepts the callers
}

const (
	maxDeadline = 3 * time.Second
	// killMargin is the 0.7 s that the protocol allows, minus the time to write the last responses, even on an
	// overloaded machine.
	killMargin = 400 * time.Millisecond
	// minServeShare and maxServeShare bound how long callers may continue to use their connections, as shares of the
	// longest deadline. The proxy that was restarted before this one may not be ready yet, and then callers have no
	// other. Between these bounds, the time ends early enough for nearly all of the last requests to be
	// answered before their deadline.
	minServeShare, maxServeShare = 0.5, 0.8
	// minAcceptTime is how long connections are accepted at least after SIGTERM, because new ones arrive for up to
	// 0.4 s. It is shorter if all deadlines are so short that SIGKILL may come earlier.
	minAcceptTime = 500 * time.Millisecond
	// lastWriteTime is the time for writing the last responses of a planned restart.
	lastWriteTime = 200 * time.Millisecond
	// streamKillMargin is the 0.7 s that the protocol allows, minus the time to end the process.
	streamKillMargin = 550 * time.Millisecond
	// idleCloseLead is how long before the end idle connections are closed if another process accepts the callers and
	// no response has asked the caller to close them. Closing them earlier could race with a request.
	idleCloseLead = 300 * time.Millisecond
	pollInterval  = 5 * time.Millisecond
)

// New returns a restart that has not begun. longestTimeout is the longest time that callers of any class may wait by the settings,
// which SIGKILL follows even if no request has told that much.
func New(longestTimeout time.Duration) *Restart {
	return &Restart{longestTimeout: longestTimeout, expired: make(chan struct{})}
}

// Expired returns a channel that is closed when all open requests must be answered.
func (r *Restart) Expired() <-chan struct{} { return r.expired }

// Begin starts the restart. Further calls have no effect.
func (r *Restart) Begin() {
	now := time.Now()
	r.begun.CompareAndSwap(nil, &now)
}

// HandOver notes that another process accepts the callers. From now on, connections are closed after their next response.
func (r *Restart) HandOver() { r.handedOver.Store(true) }

// LatencyP95 returns the estimated 95th percentile of response times.
func (r *Restart) LatencyP95() time.Duration { return r.latencyP95.value() }

// LongestDeadline returns the longest time that any caller was ready to wait for a response.
func (r *Restart) LongestDeadline() time.Duration { return time.Duration(r.longestDeadline.Load()) }

// Restore sets the statistics that another process has collected.
func (r *Restart) Restore(longestDeadline, latencyP95 time.Duration) {
	r.longestDeadline.Store(int64(longestDeadline))
	r.latencyP95.ns.Store(int64(latencyP95))
}

// Begun reports whether the restart has begun.
func (r *Restart) Begun() bool { return r.begun.Load() != nil }

// Closing reports whether callers' connections are to be closed after their next response.
func (r *Restart) Closing() bool {
	begun := r.begun.Load()
	return r.handedOver.Load() || begun != nil && time.Since(*begun) >= r.serveTime()
}

func (r *Restart) cappedDeadline() time.Duration {
	return min(time.Duration(r.longestDeadline.Load()), maxDeadline)
}

// serveTime returns how long connections are served normally after SIGTERM. endTime returns the time after SIGTERM when all
// requests must be answered.
func (r *Restart) serveTime() time.Duration {
	longest := r.cappedDeadline()
	share := func(of float64) time.Duration { return time.Duration(of * float64(longest)) }
	return min(max(minAcceptTime, min(max(longest-r.latencyP95.value(), share(minServeShare)), share(maxServeShare))), r.endTime())
}

func (r *Restart) endTime() time.Duration { return r.cappedDeadline() + killMargin }

// StreamTime returns how long after SIGTERM answers may still be passed on that have begun.
func (r *Restart) StreamTime() time.Duration {
	return min(max(r.longestTimeout, r.LongestDeadline()), maxDeadline) + streamKillMargin
}

// RequestTimeCap returns how long a request may take so that its response is sent before SIGKILL, or 0 if the restart has
// not begun. left is the request's remaining time, from which LongestDeadline is determined until then.
func (r *Restart) RequestTimeCap(left time.Duration) time.Duration {
	if begun := r.begun.Load(); begun != nil {
		return max(r.endTime()-time.Since(*begun), time.Millisecond)
	}
	longest := time.Duration(r.longestDeadline.Load())
	for left > longest && !r.longestDeadline.CompareAndSwap(int64(longest), int64(left)) {
		longest = time.Duration(r.longestDeadline.Load())
	}
	return 0
}

// ObserveLatency records how long a successful request took.
func (r *Restart) ObserveLatency(took time.Duration) { r.latencyP95.observe(took) }

// Run performs a planned restart from beginning to end. allGone reports whether no caller is connected or connecting; with
// closeIdle, it closes idle connections first. Run returns whether all callers have disconnected. http.Server.Shutdown is
// unsuitable: it closes the listener at once. This would drop connections that are still arriving and those in the accept
// queue, whose requests count as accepted.
func (r *Restart) Run(allGone func(closeIdle bool) bool) bool {
	r.Begin()
	start := *r.begun.Load()
	// The end is evaluated again in each iteration, because it moves when requests with longer deadlines arrive.
	waitUntil := func(end func() time.Duration, closeIdle bool) bool {
		for time.Since(start) < end() {
			if allGone(closeIdle) {
				return true
			}
			time.Sleep(pollInterval)
		}
		return false
	}
	if !r.handedOver.Load() {
		time.Sleep(time.Until(start.Add(r.serveTime())))
	} else if waitUntil(func() time.Duration { return r.endTime() - idleCloseLead }, false) {
		return true
	}
	if waitUntil(r.endTime, true) {
		return true
	}
	close(r.expired)
	end := time.Since(start) + lastWriteTime
	return waitUntil(func() time.Duration { return end }, true)
}

// quantileEstimate tracks the given quantile of response times. The first observation sets the estimate, and each further
// one changes it by at most quantileStep of its value.
type quantileEstimate struct{ ns atomic.Int64 }

const (
	quantile     = 0.95
	quantileStep = 0.05
	minLatency   = time.Millisecond
)

// observe updates the estimate. A concurrent call may overwrite an update; later observations compensate for that.
func (u *quantileEstimate) observe(took time.Duration) {
	took = max(took, minLatency)
	switch at := time.Duration(u.ns.Load()); {
	case at == 0:
		u.ns.Store(int64(took))
	case took > at:
		u.ns.Store(int64(float64(at) * (1 + quantileStep*quantile)))
	case took < at:
		u.ns.Store(int64(max(float64(at)*(1-quantileStep*(1-quantile)), float64(minLatency))))
	}
}

func (u *quantileEstimate) value() time.Duration { return time.Duration(u.ns.Load()) }
