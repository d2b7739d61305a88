// Package idle parks connections that wait between two requests at minimal cost: each needs a descriptor in an epoll set,
// and no goroutine, buffer or record of the runtime. It reads nothing from them: their previous owner continues when bytes
// arrive.
package idle

import "time"

// Policy decides when idle connections are parked in a Poller, when they are closed, and how many at a time. It performs
// no I/O. All connections have the same timeouts, so a list in the order in which they became idle replaces timers: its
// front is due first, and adding a connection costs the same however many there are.
type Policy struct {
	ParkAfter time.Duration // idle time after which a connection is parked; 0 for never
	Timeout   time.Duration // idle time after which a connection is closed
}

// CheckInterval returns the interval between checks for due connections: a small part of ParkAfter, within bounds.
func (p Policy) CheckInterval() time.Duration {
	return min(max(p.ParkAfter/8, 5*time.Millisecond), 50*time.Millisecond)
}

// ShouldPark reports whether a connection that has been idle since the given time is to be parked now.
func (p Policy) ShouldPark(since, now time.Time) bool {
	return p.ParkAfter > 0 && now.Sub(since) >= p.ParkAfter
}

// ShouldClose reports whether a connection that has been idle since the given time is to be closed now.
func (p Policy) ShouldClose(since, now time.Time) bool { return now.Sub(since) >= p.Timeout }

const (
	minBatch     = 64
	batchDivisor = 128
)

// BatchSize returns how many of n connections may be parked or closed in one step. Closing a connection takes some
// microseconds, during which nothing else runs on a machine with one core. If 200,000 connections are due within the same
// second, they are closed in steps of at most 1,626 over some 21 s, and busy connections are served in between. A
// connection that is due and not closed yet stays usable.
func (p Policy) BatchSize(n int) int { return minBatch + n/batchDivisor }
