package plan

import "time"

const (
	// TurnedAwayDelayMax is the longest random delay after a call that discovery had no capacity for, in addition to
	// the balancer's own delay. Callers that retry immediately keep the queue full for everybody.
	TurnedAwayDelayMax = 1200 * time.Millisecond
	// turnedAwayDelayMin is the shortest delay after a query that waited in discovery's queue for longQueueWait or
	// more before it was turned away. Calls that have waited in vain and are repeated immediately can keep a queue so
	// full that nobody is answered in time, long after the cause of the overload is gone. It applies only after the
	// first startupPeriod of the process: a process that has just started has an older list than all others and must
	// not be served last.
	turnedAwayDelayMin = 800 * time.Millisecond
	longQueueWait      = time.Second
	startupPeriod      = 6 * time.Second
	// moveRetryDelay is the delay between failing calls while a move settles.
	moveRetryDelay = 200 * time.Millisecond
)

// pause is the time between two queries.
type pause struct {
	on             bool
	until          time.Duration
	untilMove      bool // until the switch to the new address of discovery, instead of a time
	untilLingering bool // until a lingering watch ends, but no longer than until
	endsWatch      bool // the watch ends after the pause, unless the number of moves differs from moves by then
	moves          int
}

// queryFailed decides what follows a query whose last call, c, has ended with end. A cut-off answer is requested once
// more immediately: what it contained counts as notified soon, if it does not already. If this happens to many
// proxies at once, all of them call discovery at once; those that are turned away then wait for as long as the
// balancer decides.
func (f *Follower) queryFailed(c sentCall, end CallEnd, now time.Duration) {
	q := f.query
	f.query = nil
	switch {
	case f.series.pending:
		f.pause = pause{on: true, untilMove: true}
	case f.series.settling(now) && c.Address != f.address:
		f.startQuery(now) // discovery closes the connections to the old address
	case f.series.settling(now):
		wait := moveRetryDelay
		if end == TurnedAway {
			wait = f.noteTurnedAway(q.startedAt, now)
		}
		f.pause = pause{on: true, until: now + wait}
	case end == CutOff && !f.retriedCutOff:
		f.retriedCutOff = true
		f.startQuery(now)
	case end == TurnedAway:
		f.pause = pause{on: true, until: now + f.noteTurnedAway(q.startedAt, now), endsWatch: true, moves: q.moves}
	default:
		f.endWatch(q.moves, now)
	}
}

// noteTurnedAway records that discovery had no capacity for a query that started at startedAt, and returns the delay
// before the next one.
func (f *Follower) noteTurnedAway(startedAt, now time.Duration) (wait time.Duration) {
	f.lastTurnedAway = optionalTime{now, true}
	if now-startedAt >= longQueueWait && now-f.started > startupPeriod {
		wait = turnedAwayDelayMin
	}
	return wait + time.Duration(f.random()*float64(TurnedAwayDelayMax))
}

// endWatch ends the watch, unless the number of moves differs from moves: the caller of Move relies on the running
// watch.
func (f *Follower) endWatch(moves int, now time.Duration) {
	if f.series.moves != moves {
		f.startQuery(now)
		return
	}
	f.watching, f.retriedCutOff = false, false
	f.cancelLingering(now)
	f.emit(ReportFailure{})
	f.emit(EndWatch{})
}
