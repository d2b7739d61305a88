// Package plan decides for a client of discovery. Events in, answers out, the time as an argument: it has no I/O, no lock, and reads no
// clock. Times are spans of the process's steady clock.
package plan

import (
	"maps"
	"slices"
	"time"
)

const (
	// ToldWithin is when what discovery had while it could be reached counts as told, whatever became of the calls.
	NotifiedWithin = 6 * time.Second
	// moveToldWithin behind a move to another address of discovery all that it has by then counts as told.
	moveToldWithin = 4 * time.Second
	// leaseSlack is the part of the grace behind a notice, 500 ms, for which the list is still acted on. The rest is for a process that is
	// held up between this decision and its write.
	leaseSlack = 300 * time.Millisecond
	// LeaseTime is for how long a confirmation lets the list be acted on.
	LeaseDuration = NotifiedWithin + leaseSlack
	// startWait is for how long a process that starts waits for its first answer until it counts as ready without one.
	startWait = 5 * time.Second
	// PartTime is for how long a client holds requests back for the rest of an answer of which a part has come.
	PartialAnswerWait = 250 * time.Millisecond
	// mostMoves bounds the moves that are remembered; behind more of them the oldest ones decide.
	mostMoves = 16
)

// CallEnd is how a call for the server list ended.
type CallEnd string

// The ends of calls.
const (
	Answered    CallEnd = "answered"
	TurnedAway  CallEnd = "turned_away" // discovery had no room for it, or is down
	CutOff      CallEnd = "cut_off"     // its answer broke off, or cannot be read
	NoAnswer    CallEnd = "no_answer"   // its connection ended with no answer begun
	Unreachable CallEnd = "unreachable" // no connection came up
	TimedOut    CallEnd = "timed_out"   // it was given up for staying silent
	Superseded  CallEnd = "superseded"  // calls that were made behind it were answered
	NoResources CallEnd = "no_means"    // this process has no descriptor, port or memory for it now
)

// CallEnds are all of them.
func CallEnds() []CallEnd {
	return []CallEnd{Answered, TurnedAway, CutOff, NoAnswer, Unreachable, TimedOut, Superseded, NoResources}
}

// failsInSight says whether a call has ended by what discovery or the network did, and not by being given up.
func (e CallEnd) failsInSight() bool {
	switch e {
	case TurnedAway, CutOff, NoAnswer, Unreachable, NoResources:
		return true
	}
	return false
}

// Standing is how far the list that is held can be relied on.
type Status string

// The standings.
const (
	Confirmed Status = "confirmed" // discovery gave a whole answer recently enough
	Stale     Status = "stale"     // it did not: the list is not acted on
)

// Confirmation is the proof that a list is no older than a time: a whole answer of discovery that was taken in. Only confirmedBy makes one.
type Confirmation struct {
	asOf time.Duration
	sent time.Duration // when its call was made
}

// confirmedBy returns what a whole answer proves that came at a time to a call which was decided on at another. Discovery decided on it
// behind the call's sending. It has waited for as long as it was asked to where it answered with nothing new, and not sooner.
func confirmedBy(c Call, sent, came time.Duration, unchanged bool) Confirmation {
	if unchanged && came >= sent+c.Hold {
		return Confirmation{asOf: sent + c.Hold, sent: sent}
	}
	return Confirmation{asOf: sent, sent: sent}
}

// Lease says whether the server list may be acted on. A confirmation grants it, and nothing else does: whoever gives no whole answer, be it
// with silence, a reset, a refusal or a dial that fails, may be a discovery that has news. The list of a start is older than the process and
// is confirmed by nothing.
type Lease struct {
	pushed    bool
	started   time.Duration
	confirmed bool            // by any answer so far
	asOf      time.Duration   // of the last confirmation
	answered  time.Duration   // when discovery last gave a whole answer; the start before that
	heard     time.Duration   // when the last call was made that was answered whole
	moves     []time.Duration // of which not all is known yet, the first of them
	lastMove  moment
	spoke     bool // an agent has met a call with something other than silence or a whole answer, since its last one
	spokeAt   time.Duration
	told      time.Duration // when what it had then counts as told
	asking    asking
	silences  silences
	// What an answer holds counts as told when it is written, whether or not it comes to its end, and some time before a part of it comes.
	begun   map[CallID]part // of answers that are coming
	untaken moment          // the first part of an answer that did not come whole, or was thrown away
}

// part is the first part of an answer that has not come whole.
type part struct {
	told time.Duration // when it may have been written at the earliest
	came time.Duration
}

// ends is until when the list is acted on beside it. Until PartTime is over nothing is.
func (p part) ends() time.Duration { return max(p.told+leaseSlack, p.came+PartialAnswerWait) }

// NewLease returns the lease of a process that starts at a time. pushed says that the address is an agent on this machine, which answers at
// once with what it has.
func NewLease(now time.Duration, pushed bool) *Lease {
	return &Lease{pushed: pushed, started: now, answered: now, begun: map[CallID]part{}, silences: newSilences(), asking: asking{pushed: pushed, last: now, idle: now}}
}

// Confirm takes in a whole answer that is acted on from now on.
func (l *Lease) Confirm(c Confirmation, now time.Duration) {
	l.asOf = max(l.asOf, c.asOf)
	l.confirmed, l.answered = true, now
	l.spoke = l.spoke && l.spokeAt > l.asOf
	l.asking.confirmed()
	heard := func(moved time.Duration) bool { return moved < c.sent } // what changes behind that is told as ever
	l.moves = slices.DeleteFunc(l.moves, heard)
	if heard(l.lastMove.at) {
		l.lastMove.come = false
	}
	if len(l.moves) == 0 && l.lastMove.come {
		l.moves = append(l.moves, l.lastMove.at)
	}
	l.silences.confirmed(l.asOf)
	maps.DeleteFunc(l.begun, func(_ CallID, p part) bool { return p.came <= l.asOf })
	if l.untaken.at <= l.asOf {
		l.untaken = moment{}
	}
}

// AnswerBegun takes in a part of the list in an answer to a call, which may have been written at a time.
func (l *Lease) AnswerBegun(id CallID, told, now time.Duration) {
	if _, known := l.begun[id]; !known {
		l.begun[id] = part{told, now}
	}
}

// called takes in a call.
func (l *Lease) called(c Call, now time.Duration) {
	l.asking.began(c.ContinuesWatch, now)
	l.silences.began(c, now)
}

// callEnded takes in that a call is out no more, however it ended.
func (l *Lease) callEnded(id CallID, end CallEnd, now time.Duration) {
	l.asking.ended(end, now)
	l.silences.ended(id, end, now, l.asOf)
}

// answerWhole takes in that a call's answer has come to its end, and returns when its first part came.
func (l *Lease) answerWhole(id CallID, now time.Duration) (came time.Duration) {
	came = now
	if p, known := l.begun[id]; known {
		came = p.came
	}
	delete(l.begun, id)
	return came
}

// answerLost takes in that the rest of a call's answer will not come, or will not be read.
func (l *Lease) answerLost(id CallID) {
	if p, begun := l.begun[id]; begun {
		l.discard(p.came)
		delete(l.begun, id)
	}
}

// discard takes in an answer whose first part came at a time and that is not acted on. A call made behind the last of them has to be answered.
func (l *Lease) discard(came time.Duration) {
	l.untaken = moment{max(l.untaken.at, came), true}
}

// Moved takes in that discovery has another address.
func (l *Lease) Moved(now time.Duration) {
	l.lastMove = moment{now, true}
	if len(l.moves) < mostMoves {
		l.moves = append(l.moves, now)
	}
}

// callFailed takes in the end of a call without a whole answer. An agent has what it was sent, and what it has counts as told at once, but for
// a time behind a move.
func (l *Lease) callFailed(end CallEnd, now time.Duration) {
	if !l.pushed || l.spoke || !end.failsInSight() {
		return
	}
	l.spoke, l.spokeAt, l.told = true, now, l.asOf
	for _, moved := range l.moves {
		if moved > max(l.asOf, l.heard) {
			l.told = moved + moveToldWithin
			return
		}
	}
}

// Standing says how far the list can be relied on.
func (l *Lease) Status(now time.Duration) Status {
	if !l.confirmed || l.untaken.come || now >= l.ends() {
		return Stale
	}
	return Confirmed
}

// Ready says whether the process should be given requests: its list was confirmed once, or it has waited for that long enough.
func (l *Lease) Ready(now time.Duration) bool { return l.confirmed || now-l.started >= startWait }

// Age is for how long discovery has given no whole answer, or since the start.
func (l *Lease) Age(now time.Duration) time.Duration { return now - l.answered }

// never is later than any time.
const never = time.Duration(1<<63 - 1)

// ends is until when the list may be acted on.
func (l *Lease) ends() time.Duration {
	told := min(l.asOf+NotifiedWithin, l.silences.told(), l.asking.told())
	if len(l.moves) > 0 {
		told = min(told, l.moves[0]+moveToldWithin)
	}
	if l.spoke {
		told = min(told, l.told)
	}
	end := told + leaseSlack
	for _, p := range l.begun {
		end = min(end, p.ends())
	}
	return end
}

// holdMost is for how long a call that is made now may wait for news, and its answer still come before the lease ends.
func (l *Lease) holdMost(now time.Duration) time.Duration {
	if l.untaken.come || l.ends() <= now {
		return 0
	}
	return max(min(l.asOf+LeaseDuration-answerTime, l.silences.told())-now, 0)
}
