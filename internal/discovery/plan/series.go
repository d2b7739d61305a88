package plan

import "time"

const (
	// moveSettle is how long after a move to another address calls are repeated after movePause when they fail, and, until one is answered,
	// are short: all that there is to tell counts as told 4 s after the move.
	moveSettle = moveToldWithin
	// moveStarved is for how long after a move a proxy that has had no answer at the new address goes on asking as after a move: who has
	// waited longest does not wait for the balancer's back-off as well.
	moveStarved = 8 * time.Second
	// A move within seriesGap of the last one is of the same series. A client goes over to the first address of a series at once, and to
	// the last one seriesQuiet after it, or seriesMost after it has last gone over: each call that is given up for the next one keeps its
	// place in discovery's line, and a fleet that gives up one with each of four configurations fills that line for seconds.
	seriesGap   = 2 * time.Second
	seriesQuiet = time.Second
	seriesMost  = 2 * time.Second
)

// series is the way to another address of discovery.
type series struct {
	moves    int           // so far
	last     moment        // the last move
	address  string        // where to go over to
	pending  bool          // it has not been gone over to yet
	due      time.Duration // when it will be
	wentOver time.Duration // when the client has last gone over
	unheard  bool          // nothing was answered since then
}

// add takes in a move, and says whether it is gone over to at once.
func (s *series) add(address string, now time.Duration) (atOnce bool) {
	follows := s.last.within(seriesGap, now)
	s.address, s.last = address, moment{now, true}
	s.moves++
	if !follows {
		return true
	}
	s.pending = true
	s.due = min(now+seriesQuiet, max(now, s.wentOver+seriesMost))
	return false
}

// goOver returns the address that is gone over to now.
func (s *series) goOver(now time.Duration) string {
	s.pending, s.wentOver, s.unheard = false, now, true
	return s.address
}

// settling says whether discovery has moved lately.
func (s *series) settling(now time.Duration) bool {
	return s.last.within(moveSettle, now) || s.unheard && s.last.within(moveStarved, now)
}
