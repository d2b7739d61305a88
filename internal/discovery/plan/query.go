package plan

import "time"

const (
	// CallTimeout limits a call that does not hold. Discovery answers calls in order of arrival, so a caller that
	// gives up sooner loses its place in the queue.
	CallTimeout = 3500 * time.Millisecond
	// HedgeDelay is how long a call may be overdue before another is made beside it, on its own connection. A call
	// without a response cannot be distinguished from one that waits in the queue or whose update is in transit; it
	// ends at its Timeout.
	HedgeDelay = CallTimeout / 2
	// answerReserve is the part of the lease that is left, where possible, for the answer of a call that waits for a
	// change.
	answerReserve = 500 * time.Millisecond
	// stallTimeout is how long an answer that has begun may pause before another call is made beside it.
	stallTimeout = 300 * time.Millisecond
	// oldWatchWait is how long after a move the next call waits for the end of the watch at the old address. Discovery
	// closes it within 1.5 s.
	oldWatchWait = 1600 * time.Millisecond
	// moveOverdue is when a call is overdue after a move, until one is answered. Discovery turns away callers that
	// have waited in its queue for 2 s, and answers one call of a proxy at a time, so a second call that is made
	// before then gives up the place of the first.
	moveOverdue = 2200 * time.Millisecond
	// moveOverloadedOverdue replaces moveOverdue once a call since the move was turned away: discovery is running
	// then, and may let a call wait for up to 3 s.
	moveOverloadedOverdue = 3100 * time.Millisecond
	// secondCallOverdue is how long the second call after a move may stay unanswered if discovery has neither answered
	// nor turned away the first one for moveOverdue: the first one had no place in the queue, so discovery is not
	// overloaded.
	secondCallOverdue = 300 * time.Millisecond
	// overloadedFor is how long discovery counts as overloaded after it has turned a call away, and overloadedHold is
	// how long a watch that continues waits for a change then. A fleet whose watches all end after a shorter time
	// polls more often than such a discovery can answer, and the overload never ends. One unanswered call is still
	// compensated for within NotifiedWithin; the second of two is not, as long as discovery is overloaded.
	overloadedFor  = 20 * time.Second
	overloadedHold = 3300 * time.Millisecond
)

// query is a request for changes. It is made with one or more calls, until one of them is answered or all have
// failed.
type query struct {
	startedAt      time.Duration
	moves          int // number of moves when it started
	continuesWatch bool
	hold           time.Duration // of its first call
	overdue        time.Duration // after how long its first call is overdue
	made           int
	open           map[CallID]sentCall
	newest         CallID        // the last call that was made
	nextCallAt     time.Duration // when the next call is made beside the newest one
	moved          bool          // discovery has moved since its first call was made
	progress       bool          // a part of the answer to its newest call has arrived
}

// watchOpen reports whether the query is a watch that is not overdue and of whose answer no part has arrived.
func (q *query) watchOpen() bool { return q.made == 1 && q.hold > 0 && !q.progress }

// startQuery requests what has changed.
func (f *Follower) startQuery(now time.Duration) {
	q := &query{startedAt: now, moves: f.series.moves, continuesWatch: f.justAnswered, open: map[CallID]sentCall{}}
	q.hold, q.overdue = f.timing(now)
	f.query = q
	f.justAnswered = false
	f.makeCall(now)
}

// timing returns how long the first call of the query lets discovery wait for a change, and when that call is
// overdue. A watch that does not continue another one begins with a call that is answered immediately: until then it
// is not known whether the list matches that of discovery, and only an answer, with or without changes, shows it. An
// answer has to arrive before the lease ends.
func (f *Follower) timing(now time.Duration) (hold, overdue time.Duration) {
	settling := f.series.settling(now) && f.series.unanswered // an answer since the move has delivered all changes
	switch {
	case settling && f.turnedAwaySinceMove():
		return 0, moveOverloadedOverdue
	case settling:
		return 0, moveOverdue
	case !f.justAnswered:
		return 0, f.settings.Hold + f.settings.Slack
	}
	hold = f.settings.Hold
	if f.lastTurnedAway.within(overloadedFor, now) {
		hold = max(hold, overloadedHold)
	}
	hold = min(f.lingering.limitHold(hold, now), f.maxHold(now))
	return hold, hold + f.settings.Slack
}

// turnedAwaySinceMove reports whether discovery has turned a call away since its last move.
func (f *Follower) turnedAwaySinceMove() bool {
	return f.lastTurnedAway.set && f.lastTurnedAway.at > f.series.last.at
}

// makeCall makes the next call of the query. Only the first one waits for a change: the others are made because it is
// unknown what the earlier ones should have reported. The earlier calls stay open, because one of them may have a
// place in the queue of discovery. The new call is needed because they may lead to a machine that has been cut off
// meanwhile.
func (f *Follower) makeCall(now time.Duration) {
	q := f.query
	f.lastCallID++
	c := Call{ID: f.lastCallID, Address: f.address, From: f.version, ContinuesWatch: q.continuesWatch && q.made == 0, Hedged: q.made > 0}
	overdue := HedgeDelay
	c.Timeout = CallTimeout
	switch {
	case f.version < 0: // answered with the whole list as soon as discovery gets to it
		overdue, c.Timeout = CallTimeout, CallTimeout+HedgeDelay
	case q.made == 0:
		c.Hold = q.hold
		overdue, c.Timeout = q.overdue, max(q.hold, f.settings.Hold)+CallTimeout
	}
	switch {
	case q.made != 1:
	case q.moved:
		overdue = moveOverdue
	case q.overdue == moveOverdue && !f.turnedAwaySinceMove():
		overdue = min(overdue, max(f.series.last.at+moveNotifiedWithin-now, secondCallOverdue))
	}
	if c.Hedged {
		f.emit(CloseIdleConns{})
	}
	if q.made > 1 {
		f.emit(ReportFailure{})
	}
	q.newest = c.ID
	q.made++
	q.open[c.ID] = sentCall{c, now, f.versionResets}
	f.callStarted(c, now)
	q.nextCallAt = now + overdue
	f.emit(MakeCall{c})
}
