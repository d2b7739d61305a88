package backends

import (
	"iter"
	"time"
)

// idleList holds an endpoint's idle connections in the order in which they were parked. The list runs through the
// connections themselves, so that every change costs the same however many there are.
type idleList struct {
	front, back *conn // the longest idle, and the one parked last
	settled     *conn // the last that has rested long enough; nil if none has
}

// push adds a connection that has just been parked.
func (l *idleList) push(c *conn) {
	c.older, c.newer = l.back, nil
	if l.back == nil {
		l.front = c
	} else {
		l.back.newer = c
	}
	l.back = c
}

func (l *idleList) remove(c *conn) {
	if l.settled == c {
		l.settled = c.older
	}
	if c.older == nil {
		l.front = c.newer
	} else {
		c.older.newer = c.newer
	}
	if c.newer == nil {
		l.back = c.older
	} else {
		c.newer.older = c.older
	}
	c.older, c.newer = nil, nil
}

// lastSettled is the connection parked last that has rested for so long, or nil.
func (l *idleList) lastSettled(now time.Time, rest time.Duration) *conn {
	next := l.front
	if l.settled != nil {
		next = l.settled.newer
	}
	for next != nil && now.Sub(next.parkedAt) >= rest {
		l.settled, next = next, next.newer
	}
	return l.settled
}

// all goes through the connections, the longest idle first. The list must not change meanwhile.
func (l *idleList) all() iter.Seq[*conn] {
	return func(yield func(*conn) bool) {
		for c := l.front; c != nil; c = c.newer {
			if !yield(c) {
				return
			}
		}
	}
}
