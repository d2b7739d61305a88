package backends

import (
	"time"

	"brasswell/internal/linked"
)

// idleList holds an endpoint's idle connections, in the order in which they were parked.
type idleList struct {
	linked.List[conn, *conn]
	settled *conn // the most recently parked one that has been idle long enough; nil if there is none
}

// Remove removes a connection at any position.
func (l *idleList) Remove(c *conn) {
	if l.settled == c {
		l.settled = l.Older(c)
	}
	l.List.Remove(c)
}

// lastSettled returns the most recently parked connection that has been idle for settleTime, or nil.
func (l *idleList) lastSettled(now time.Time, settleTime time.Duration) *conn {
	next := l.Front()
	if l.settled != nil {
		next = l.Newer(l.settled)
	}
	for next != nil && now.Sub(next.parkedAt) >= settleTime {
		l.settled, next = next, l.Newer(next)
	}
	return l.settled
}
