package plan

import "time"

const (
	// CallWait is how long a call that does not hold may take: discovery works calls off in turn, and who gives up sooner loses a place in
	// the line.
	CallTimeout = 3500 * time.Millisecond
	// Overlap is how long a call may be overdue before another is made beside it, on a connection of its own. A silent call cannot be told
	// from one that waits in line, or whose news are on their way; it ends at its CallWait.
	HedgeDelay = CallTimeout / 2
	// answerTime of the lease is left, where it may be, for an answer to come that waits for news.
	answerTime = 500 * time.Millisecond
	// stallTime is how long an answer that has begun may pause before another call is made beside it.
	stallTime = 300 * time.Millisecond
	// moveWait is how long behind a move the next call waits for the end of the watch at the address before. Discovery closes it within 1.5 s.
	moveWait = 1600 * time.Millisecond
	// After a move, until an answer, a call is overdue after moveOverdue: discovery turns away who has waited in its line for 2 s, and
	// answers one call of a proxy at a time, so a second one that is made before then gives up the place of the first.
	moveOverdue = 2200 * time.Millisecond
	// moveCrowdedOverdue takes the place of moveOverdue once a call since the move was turned away: discovery is there, and may let a call
	// wait for up to 3 s.
	moveCrowdedOverdue = 3100 * time.Millisecond
	// behindSilence is how long the second call behind a move may stay silent that follows a first one which discovery has neither answered nor
	// turned away for moveOverdue: that one had no place in the line, so there is no crowd.
	behindSilence = 300 * time.Millisecond
	// crowdedFor is how long after it has turned a call away discovery counts as crowded, and crowdedHold for how long a watch that goes on
	// waits for news then: a fleet whose watches all end after a shorter time asks more often than such a discovery answers, and goes on so
	// for good. One silent call is still made up for within ToldWithin, and the second of two is not, as long as discovery is crowded.
	crowdedFor  = 20 * time.Second
	crowdedHold = 3300 * time.Millisecond
)

// question is asked by one call or several, until one of them is answered or all have failed.
type question struct {
	begun    time.Duration
	moves    int // before it
	goesOn   bool
	hold     time.Duration // of its first call
	overdue  time.Duration // when that is
	made     int
	out      map[CallID]sentCall
	newest   CallID        // the last call
	late     time.Duration // when the next call is made beside it
	moved    bool          // discovery has moved since its first call was made
	progress bool          // a part of the answer to its last call has come
}

// watches says whether it is a watch that is not overdue, and that no answer has come to yet.
func (q *question) watches() bool { return q.made == 1 && q.hold > 0 && !q.progress }

// ask asks for what has changed.
func (f *Follower) ask(now time.Duration) {
	q := &question{begun: now, moves: f.series.moves, goesOn: f.goesOn, out: map[CallID]sentCall{}}
	q.hold, q.overdue = f.patience(now)
	f.question = q
	f.goesOn = false
	f.call(now)
}

// patience is for how long the question's first call lets discovery wait for news, and when it is overdue. A watch that does not go on
// begins with a call that is answered at once: until then it is not known whether the list is as discovery has it, and only an answer says
// so, with news or without. An answer is wanted before the lease ends.
func (f *Follower) patience(now time.Duration) (hold, overdue time.Duration) {
	settling := f.series.settling(now) && f.series.unheard // an answer since the move has told all that there was
	switch {
	case settling && f.refusedBehindMove():
		return 0, moveCrowdedOverdue
	case settling:
		return 0, moveOverdue
	case !f.goesOn:
		return 0, f.settings.Hold + f.settings.Slack
	}
	hold = f.settings.Hold
	if f.refused.within(crowdedFor, now) {
		hold = max(hold, crowdedHold)
	}
	hold = min(f.left.hold(hold, now), f.holdMost(now))
	return hold, hold + f.settings.Slack
}

// refusedBehindMove says whether discovery has turned a call away since it moved last.
func (f *Follower) refusedBehindMove() bool {
	return f.refused.come && f.refused.at > f.series.last.at
}

// call makes the question's next call. Only the first one waits for news: the others are made because nothing is known of what it should
// have told. The call before stays out: the old one may have a place in discovery's line, or lead to a machine that was cut off meanwhile.
func (f *Follower) call(now time.Duration) {
	q := f.question
	f.lastCall++
	c := Call{ID: f.lastCall, Address: f.address, From: f.version, ContinuesWatch: q.goesOn && q.made == 0, Hedged: q.made > 0}
	overdue := HedgeDelay
	c.Timeout = CallTimeout
	switch {
	case f.version < 0: // answered at once with the whole list, once it is its turn
		overdue, c.Timeout = CallTimeout, CallTimeout+HedgeDelay
	case q.made == 0:
		c.Hold = q.hold
		overdue, c.Timeout = q.overdue, max(q.hold, f.settings.Hold)+CallTimeout
	}
	switch {
	case q.made != 1:
	case q.moved:
		overdue = moveOverdue
	case q.overdue == moveOverdue && !f.refusedBehindMove():
		overdue = min(overdue, max(f.series.last.at+moveToldWithin-now, behindSilence))
	}
	if c.Hedged {
		f.act(CloseIdleConns{})
	}
	if q.made > 1 {
		f.act(ReportFailure{})
	}
	q.newest = c.ID
	q.made++
	q.out[c.ID] = sentCall{c, now, f.counts}
	f.called(c, now)
	q.late = now + overdue
	f.act(MakeCall{c})
}
