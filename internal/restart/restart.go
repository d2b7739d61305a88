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
	over    chan struct{} // closed when what is still open has to be answered
}

const (
	longestKnown = 3 * time.Second
	// killSlack is 0.7 s by the protocol, less what it takes to write the last answers, on a machine that
	// runs late too.
	killSlack = 400 * time.Millisecond
	// serveShare of the longest deadline is how long callers may go on using their connections. The proxy
	// that was restarted before this one may not be back yet, and callers have no other then; who asks
	// late still has the rest of the time for its answer.
	serveShare = 0.5
	// acceptMore is how long a planned restart goes on accepting at least: new connections come for up to
	// 0.4 s.
	acceptMore = 500 * time.Millisecond
	// lastWords is how long the last answers of a planned restart may take to be written.
	lastWords = 200 * time.Millisecond
	step      = 5 * time.Millisecond
)

// New returns a restart that has not begun.
func New() *Restart { return &Restart{over: make(chan struct{})} }

// Over is closed when what is still open has to be answered.
func (l *Restart) Over() <-chan struct{} { return l.over }

// Begin starts the restart; a second call changes nothing.
func (l *Restart) Begin() {
	now := time.Now()
	l.begun.CompareAndSwap(nil, &now)
}

// Begun says whether the restart has begun.
func (l *Restart) Begun() bool { return l.begun.Load() != nil }

// Closing says whether callers' connections are to end with the next answer.
func (l *Restart) Closing() bool {
	begun := l.begun.Load()
	return begun != nil && time.Since(*begun) >= l.serveOn()
}

func (l *Restart) longestWait() time.Duration {
	return min(time.Duration(l.longest.Load()), longestKnown)
}

// serveOn is how long after SIGTERM connections are served as ever, and end is when all must be answered.
func (l *Restart) serveOn() time.Duration {
	return max(acceptMore, time.Duration(serveShare*float64(l.longestWait())))
}

func (l *Restart) end() time.Duration { return max(l.longestWait(), acceptMore) + killSlack }

// Cap shortens a request's time so that its answer goes out before SIGKILL does.
func (l *Restart) Cap(left time.Duration) time.Duration {
	if begun := l.begun.Load(); begun != nil {
		return min(left, l.end()-time.Since(*begun))
	}
	longest := time.Duration(l.longest.Load())
	for left > longest && !l.longest.CompareAndSwap(int64(longest), int64(left)) {
		longest = time.Duration(l.longest.Load())
	}
	return left
}

// Run is a planned restart from its beginning to its end; left closes what is idle and says whether no caller is
// there or coming. It reports whether all had left. http.Server.Shutdown would not do: it closes the listener at
// once, and with it the connections that are still coming and those in the accept queue, whose requests count as
// taken.
func (l *Restart) Run(left func() bool) bool {
	l.Begin()
	start := *l.begun.Load()
	time.Sleep(time.Until(start.Add(l.serveOn())))
	for time.Since(start) < l.end() {
		if left() {
			return true
		}
		time.Sleep(step)
	}
	close(l.over)
	for end := time.Now().Add(lastWords); time.Now().Before(end); time.Sleep(step) {
		if left() {
			return true
		}
	}
	return false
}
