package plan

import "time"

const (
	// moveSettleTime is how long after a move to another address calls that fail are repeated after moveRetryDelay,
	// and calls do not hold and are overdue sooner until one is answered: all changes that exist count as notified 4 s
	// after the move.
	moveSettleTime = moveNotifiedWithin
	// moveStarvedTime is how long after a move a proxy without an answer at the new address keeps polling as after a
	// move: the proxies that have waited longest should not wait for the backoff of the balancer as well.
	moveStarvedTime = 8 * time.Second
	// A move within seriesGap of the previous one belongs to the same series. A client switches to the first address
	// of a series immediately. It switches to the last one seriesDelay after the move or seriesDelayMax after its last
	// switch, whichever is earlier: each call that is abandoned for the next one keeps its place in the queue of
	// discovery, and a fleet that abandons one for each of four configurations fills that queue for seconds.
	seriesGap      = 2 * time.Second
	seriesDelay    = time.Second
	seriesDelayMax = 2 * time.Second
)

// moveSeries tracks the switch to another address of discovery.
type moveSeries struct {
	moves      int           // number of moves so far
	last       optionalTime  // the last move
	address    string        // the address to switch to
	pending    bool          // the switch is still to be made
	due        time.Duration // when to make it
	switchedAt time.Duration // when the client last switched
	unanswered bool          // no call has been answered since then
}

// add records a move and reports whether to switch to its address immediately.
func (s *moveSeries) add(address string, now time.Duration) (immediately bool) {
	inSeries := s.last.within(seriesGap, now)
	s.address, s.last = address, optionalTime{now, true}
	s.moves++
	if !inSeries {
		return true
	}
	s.pending = true
	s.due = min(now+seriesDelay, max(now, s.switchedAt+seriesDelayMax))
	return false
}

// switchAddress records the switch and returns the address to use from now on.
func (s *moveSeries) switchAddress(now time.Duration) string {
	s.pending, s.switchedAt, s.unanswered = false, now, true
	return s.address
}

// settling reports whether discovery has moved recently.
func (s *moveSeries) settling(now time.Duration) bool {
	return s.last.within(moveSettleTime, now) || s.unanswered && s.last.within(moveStarvedTime, now)
}
