// Package idle holds connections that wait between two requests for next to nothing: a descriptor in an epoll set, and
// no goroutine, buffer or runtime record. It reads nothing from them; who held them before goes on once bytes come.
package idle

import "time"

// Pace decides when connections that do nothing are put into a Lot, when they are closed, and how many at a time. It has
// no I/O. All wait equally long, so a list in the order in which they fell idle is all the timer that they need: its front
// is due first, and a further one costs the same however many there are.
type Policy struct {
	ParkAfter time.Duration // how long one idles before it is held; 0 for never
	Timeout   time.Duration // how long one idles before it is closed
}

// Every is how often connections are to be looked at: a small part of what is waited for, within bounds.
func (p Policy) CheckInterval() time.Duration {
	return min(max(p.ParkAfter/8, 5*time.Millisecond), 50*time.Millisecond)
}

// Hold says whether one that has idled since then is to be held now.
func (p Policy) ShouldPark(since, now time.Time) bool {
	return p.ParkAfter > 0 && now.Sub(since) >= p.ParkAfter
}

// Close says whether one that has idled since then is to be closed now.
func (p Policy) ShouldClose(since, now time.Time) bool { return now.Sub(since) >= p.Timeout }

const (
	leastBatch = 64
	batchShare = 128
)

// Batch bounds how many of n connections are moved or closed in one go. Closing one takes some microseconds, in which
// nobody else gets on where there is one core: where all of 200,000 are due in one second, they go in steps of 1,626
// and less over some 21 s, and the busy ones go on in between. What is due and not closed stays usable.
func (p Policy) BatchSize(n int) int { return leastBatch + n/batchShare }
