// Package restart runs a planned restart: whom it serves on, and when all that is open must be answered.
package restart

import (
	"sync/atomic"
	"time"
)

// Restart is a planned restart. It starts with SIGTERM; SIGKILL follows no sooner than the callers' longest
// deadline, but at most longestKnown, and 0.7 s later.
type Restart struct {
	begun   atomic.Pointer[time.Time]
	longest atomic.Int64  // the longest that a caller was ready to wait
	usual   usual         // what nearly all answers take
	over    chan struct{} // closed when what is still open has to be answered
	handed  atomic.Bool   // another process takes the callers
}

const (
	longestKnown = 3 * time.Second
	// killSlack is 0.7 s by the protocol, less what it takes to write the last answers, on a machine that
	// runs late too.
	killSlack = 400 * time.Millisecond
	// serveLeast and serveMost of the longest deadline are how long callers may go on using their connections:
	// the proxy that was restarted before this one may not be back yet, and callers have no other then. In
	// between it ends so early that nearly all who ask last still have the time that answers take.
	serveLeast, serveMost = 0.5, 0.8
	// acceptMore is how long a planned restart goes on accepting at least: new connections come for up to
	// 0.4 s. Where no caller was ready to wait for long, SIGKILL may come so early that it is less.
	acceptMore = 500 * time.Millisecond
	// lastWords is how long the last answers of a planned restart may take to be written.
	lastWords = 200 * time.Millisecond
	// idleEnd before the end idle connections are closed that no answer has told to end, where another process
	// takes the callers. Until then a request may come on one, and a close would cross it.
	idleEnd = 300 * time.Millisecond
	step    = 5 * time.Millisecond
)

// New returns a restart that has not begun.
func New() *Restart { return &Restart{over: make(chan struct{})} }

// Over is closed when what is still open has to be answered.
func (l *Restart) Expired() <-chan struct{} { return l.over }

// Begin starts the restart; a second call changes nothing.
func (l *Restart) Begin() {
	now := time.Now()
	l.begun.CompareAndSwap(nil, &now)
}

// HandOver says that another process takes the callers: from now on connections end with their next answer.
func (l *Restart) HandOver() { l.handed.Store(true) }

// Usual is what nearly all answers take.
func (l *Restart) LatencyP95() time.Duration { return l.usual.time() }

// Longest is the longest that a caller was ready to wait.
func (l *Restart) LongestDeadline() time.Duration { return time.Duration(l.longest.Load()) }

// Resume goes on from what another process has seen.
func (l *Restart) Restore(longest, usual time.Duration) {
	l.longest.Store(int64(longest))
	l.usual.ns.Store(int64(usual))
}

// Begun says whether the restart has begun.
func (l *Restart) Begun() bool { return l.begun.Load() != nil }

// Closing says whether callers' connections are to end with the next answer.
func (l *Restart) Closing() bool {
	begun := l.begun.Load()
	return l.handed.Load() || begun != nil && time.Since(*begun) >= l.serveOn()
}

func (l *Restart) longestWait() time.Duration {
	return min(time.Duration(l.longest.Load()), longestKnown)
}

// serveOn is how long after SIGTERM connections are served as ever, and end is when all must be answered.
func (l *Restart) serveOn() time.Duration {
	longest := l.longestWait()
	share := func(of float64) time.Duration { return time.Duration(of * float64(longest)) }
	return min(max(acceptMore, min(max(longest-l.usual.time(), share(serveLeast)), share(serveMost))), l.end())
}

func (l *Restart) end() time.Duration { return l.longestWait() + killSlack }

// Cap is how long a request with so much time may take, so that its answer goes out before SIGKILL does; 0 if nothing
// bounds it.
func (l *Restart) RequestTimeCap(left time.Duration) time.Duration {
	if begun := l.begun.Load(); begun != nil {
		return max(l.end()-time.Since(*begun), time.Millisecond)
	}
	longest := time.Duration(l.longest.Load())
	for left > longest && !l.longest.CompareAndSwap(int64(longest), int64(left)) {
		longest = time.Duration(l.longest.Load())
	}
	return 0
}

// Answered takes in how long a request that was served took.
func (l *Restart) ObserveLatency(took time.Duration) { l.usual.observe(took) }

// Run is a planned restart from its beginning to its end; left says whether no caller is there or coming, and before
// that closes what is idle if it is told to. It reports whether all had left. http.Server.Shutdown would not do: it closes
// the listener at once, and with it the connections that are still coming and those in the accept queue, whose requests
// count as taken.
func (l *Restart) Run(left func(closeIdle bool) bool) bool {
	l.Begin()
	start := *l.begun.Load()
	// The end is asked for anew each time: it moves while callers with longer deadlines come.
	until := func(end func() time.Duration, closeIdle bool) bool {
		for time.Since(start) < end() {
			if left(closeIdle) {
				return true
			}
			time.Sleep(step)
		}
		return false
	}
	if !l.handed.Load() {
		time.Sleep(time.Until(start.Add(l.serveOn())))
	} else if until(func() time.Duration { return l.end() - idleEnd }, false) {
		return true
	}
	if until(l.end, true) {
		return true
	}
	close(l.over)
	end := time.Since(start) + lastWords
	return until(func() time.Duration { return end }, true)
}

// usual follows the time that usualShare of all answers take, in steps of a twentieth.
type usual struct{ ns atomic.Int64 }

const (
	usualShare = 0.95
	usualStep  = 0.05
	usualLeast = time.Millisecond
)

// observe may lose a step to another that is taken at the same time; the next ones make up for it.
func (u *usual) observe(took time.Duration) {
	took = max(took, usualLeast)
	switch at := time.Duration(u.ns.Load()); {
	case at == 0:
		u.ns.Store(int64(took))
	case took > at:
		u.ns.Store(int64(float64(at) * (1 + usualStep*usualShare)))
	case took < at:
		u.ns.Store(int64(max(float64(at)*(1-usualStep*(1-usualShare)), float64(usualLeast))))
	}
}

func (u *usual) time() time.Duration { return time.Duration(u.ns.Load()) }
