package plan

import "time"

const (
	// TurnedAwayMost is the longest that is waited after a call that discovery had no room for, beside what the balancer waits: who asks
	// again at once keeps the line full, for all that ask.
	TurnedAwayDelayMax = 1200 * time.Millisecond
	// turnedAwayLeast is waited at least where a question has waited in discovery's line, for longWait or more, until it was turned away.
	// Calls that have waited in vain and are made again at once can keep a line so full that nobody's turn comes in time, long after there
	// was cause for it. It holds from youngFor after the start of the process on: one that has just started has an older list than all
	// others, and is not to come last.
	turnedAwayLeast = 800 * time.Millisecond
	longWait        = time.Second
	youngFor        = 6 * time.Second
	// movePause is between calls that fail while a move settles.
	movePause = 200 * time.Millisecond
)

// pause is between two questions.
type pause struct {
	on        bool
	until     time.Duration
	untilMove bool // until discovery is gone over to, in place of a time
	untilLeft bool // until a watch that was left ends, and no longer than the time
	ends      bool // the watch ends behind it, unless discovery has moved since a question that began after so many moves
	moves     int
}

// failed decides what follows a question whose last call, c, has ended so. An answer that was cut off is asked for once more at once: what it
// should have told counts as told soon, if it does not already. Where that befalls many at once discovery is asked by all of them at once;
// who is turned away then waits as long as the balancer says.
func (f *Follower) failed(c sentCall, end CallEnd, now time.Duration) {
	q := f.question
	f.question = nil
	switch {
	case f.series.pending:
		f.pause = pause{on: true, untilMove: true}
	case f.series.settling(now) && c.Address != f.address:
		f.ask(now) // discovery closes what is open at the address before
	case f.series.settling(now):
		wait := movePause
		if end == TurnedAway {
			wait = f.turnedAway(q.begun, now)
		}
		f.pause = pause{on: true, until: now + wait}
	case end == CutOff && !f.again:
		f.again = true
		f.ask(now)
	case end == TurnedAway:
		f.pause = pause{on: true, until: now + f.turnedAway(q.begun, now), ends: true, moves: q.moves}
	default:
		f.end(q.moves, now)
	}
}

// turnedAway notes that discovery had no room for a question that began at a time, and returns for how long to wait before the next one.
func (f *Follower) turnedAway(begun, now time.Duration) (wait time.Duration) {
	f.refused = moment{now, true}
	if now-begun >= longWait && now-f.started > youngFor {
		wait = turnedAwayLeast
	}
	return wait + time.Duration(f.random()*float64(TurnedAwayDelayMax))
}

// end ends the watch, unless discovery has moved since so many moves: who moved it counts on the watch that runs.
func (f *Follower) end(moves int, now time.Duration) {
	if f.series.moves != moves {
		f.ask(now)
		return
	}
	f.watching, f.again = false, false
	f.giveUpLeft(now)
	f.act(ReportFailure{})
	f.act(EndWatch{})
}
