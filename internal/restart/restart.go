// Package restart runs a planned restart: whom it serves on, and when all that is open must be answered.
package restart

import (
	"sync/atomic"
	"time"
)

// Restart is a planned restart. It starts with SIGTERM; SIGKILL follows no sooner than the callers' longest
// deadline, but at most longestKnown, and 0.7 s later.
type Restart struct {
	begun           atomic.Pointer[time.Time]
	longestDeadline atomic.Int64     // the longest that a caller was ready to wait
	latencyP95      quantileEstimate // what nearly all answers take
	expired         chan struct{}    // closed when what is still open has to be answered
	handedOver      atomic.Bool      // another process takes the callers
}

const (
	maxDeadline = 3 * time.Second
	// killSlack is 0.7 s by the protocol, less what it takes to write the last answers, on a machine that
	// runs late too.
	killMargin = 400 * time.Millisecond
	// serveLeast and serveMost of the longest deadline are how long callers may go on using their connections:
	// the proxy that was restarted before this one may not be back yet, and callers have no other then. In
	// between it ends so early that nearly all who ask last still have the time that answers take.
	minServeShare, maxServeShare = 0.5, 0.8
	// acceptMore is how long a planned restart goes on accepting at least: new connections come for up to
	// 0.4 s. Where no caller was ready to wait for long, SIGKILL may come so early that it is less.
	minAcceptTime = 500 * time.Millisecond
	// lastWords is how long the last answers of a planned restart may take to be written.
	lastWriteTime = 200 * time.Millisecond
	// idleEnd before the end idle connections are closed that no answer has told to end, where another process
	// takes the callers. Until then a request may come on one, and a close would cross it.
	idleCloseLead = 300 * time.Millisecond
	pollInterval  = 5 * time.Millisecond
)

// New returns a restart that has not begun.
func New() *Restart { return &Restart{expired: make(chan struct{})} }

// Over is closed when what is still open has to be answered.
func (r *Restart) Over() <-chan struct{} { return r.expired }

// Begin starts the restart; a second call changes nothing.
func (r *Restart) Begin() {
	now := time.Now()
	r.begun.CompareAndSwap(nil, &now)
}

// HandOver says that another process takes the callers: from now on connections end with their next answer.
func (r *Restart) HandOver() { r.handedOver.Store(true) }

// Usual is what nearly all answers take.
func (r *Restart) Usual() time.Duration { return r.latencyP95.value() }

// Longest is the longest that a caller was ready to wait.
func (r *Restart) Longest() time.Duration { return time.Duration(r.longestDeadline.Load()) }

// Resume goes on from what another process has seen.
func (r *Restart) Resume(longestDeadline, latencyP95 time.Duration) {
	r.longestDeadline.Store(int64(longestDeadline))
	r.latencyP95.ns.Store(int64(latencyP95))
}

// Begun says whether the restart has begun.
func (r *Restart) Begun() bool { return r.begun.Load() != nil }

// Closing says whether callers' connections are to end with the next answer.
func (r *Restart) Closing() bool {
	begun := r.begun.Load()
	return r.handedOver.Load() || begun != nil && time.Since(*begun) >= r.serveTime()
}

func (r *Restart) cappedDeadline() time.Duration {
	return min(time.Duration(r.longestDeadline.Load()), maxDeadline)
}

// serveOn is how long after SIGTERM connections are served as ever, and end is when all must be answered.
func (r *Restart) serveTime() time.Duration {
	longest := r.cappedDeadline()
	share := func(of float64) time.Duration { return time.Duration(of * float64(longest)) }
	return min(max(minAcceptTime, min(max(longest-r.latencyP95.value(), share(minServeShare)), share(maxServeShare))), r.endTime())
}

func (r *Restart) endTime() time.Duration { return r.cappedDeadline() + killMargin }

// Cap is how long a request with so much time may take, so that its answer goes out before SIGKILL does; 0 if nothing
// bounds it.
func (r *Restart) Cap(left time.Duration) time.Duration {
	if begun := r.begun.Load(); begun != nil {
		return max(r.endTime()-time.Since(*begun), time.Millisecond)
	}
	longest := time.Duration(r.longestDeadline.Load())
	for left > longest && !r.longestDeadline.CompareAndSwap(int64(longest), int64(left)) {
		longest = time.Duration(r.longestDeadline.Load())
	}
	return 0
}

// Answered takes in how long a request that was served took.
func (r *Restart) Answered(took time.Duration) { r.latencyP95.observe(took) }

// Run is a planned restart from its beginning to its end; left says whether no caller is there or coming, and before
// that closes what is idle if it is told to. It reports whether all had left. http.Server.Shutdown would not do: it closes
// the listener at once, and with it the connections that are still coming and those in the accept queue, whose requests
// count as taken.
func (r *Restart) Run(allGone func(closeIdle bool) bool) bool {
	r.Begin()
	start := *r.begun.Load()
	// The end is asked for anew each time: it moves while callers with longer deadlines come.
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

// usual follows the time that usualShare of all answers take, in steps of a twentieth.
type quantileEstimate struct{ ns atomic.Int64 }

const (
	quantile     = 0.95
	quantileStep = 0.05
	minLatency   = time.Millisecond
)

// observe may lose a step to another that is taken at the same time; the next ones make up for it.
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
