// Package plan makes the decisions of a client of discovery. It receives events, with the current time as an
// argument, and returns actions. It does no I/O, has no locks and reads no clock. Times are durations on the
// monotonic clock of the process.
package plan

import (
	"maps"
	"slices"
	"time"
)

const (
	// NotifiedWithin is the time after which a change that discovery had while it was reachable counts as notified,
	// whatever happened to the calls.
	NotifiedWithin = 6 * time.Second
	// moveNotifiedWithin is the time after a move to another address of discovery at which everything that discovery
	// had at the move counts as notified.
	moveNotifiedWithin = 4 * time.Second
	// leaseSlack is the part of the 500 ms grace after a notice for which the list may still be used. The rest covers
	// a process that is stalled between this decision and its write.
	leaseSlack = 300 * time.Millisecond
	// LeaseDuration is how long a confirmation allows the list to be used.
	LeaseDuration = NotifiedWithin + leaseSlack
	// startWait is how long a starting process waits for its first answer before it counts as ready without one.
	startWait = 5 * time.Second
	// PartialAnswerWait is how long a client holds requests back for the rest of an answer of which a part has
	// arrived.
	PartialAnswerWait = 250 * time.Millisecond
	// maxMoves bounds the moves that are remembered; if there are more, the oldest ones count.
	maxMoves = 16
)

// CallEnd is how a call for the server list ended.
type CallEnd string

// The values of CallEnd.
const (
	Answered    CallEnd = "answered"
	TurnedAway  CallEnd = "turned_away" // discovery had no capacity for it, or is down
	CutOff      CallEnd = "cut_off"     // its answer was cut off or cannot be read
	NoAnswer    CallEnd = "no_answer"   // its connection ended before an answer began
	Unreachable CallEnd = "unreachable" // no connection was established
	TimedOut    CallEnd = "timed_out"   // it was given up because no answer came
	Superseded  CallEnd = "superseded"  // calls that were made after it were answered
	NoResources CallEnd = "no_means"    // this process had no descriptor, port or memory for it
)

// CallEnds returns all values of CallEnd.
func CallEnds() []CallEnd {
	return []CallEnd{Answered, TurnedAway, CutOff, NoAnswer, Unreachable, TimedOut, Superseded, NoResources}
}

// observedFailure reports whether discovery, the network or a lack of local resources made the call fail, as opposed
// to an answer or to giving the call up.
func (e CallEnd) observedFailure() bool {
	switch e {
	case TurnedAway, CutOff, NoAnswer, Unreachable, NoResources:
		return true
	}
	return false
}

// Status says whether the list that is held can be relied on.
type Status string

// The values of Status.
const (
	Confirmed Status = "confirmed" // discovery gave a complete answer recently enough
	Stale     Status = "stale"     // it did not: the list may not be used
)

// Confirmation is the proof that a list is no older than a given time: a complete answer of discovery whose list was
// applied. Only confirmedBy creates one.
type Confirmation struct {
	asOf time.Duration
	sent time.Duration // when its call was made
}

// confirmedBy returns what a complete answer proves that arrived at receivedAt to a call that the Follower decided to
// make at sent. Discovery decided on the answer after the call was sent. If the answer contains no changes and did
// not come early, discovery had waited for the whole hold time before it decided.
func confirmedBy(c Call, sent, receivedAt time.Duration, unchanged bool) Confirmation {
	if unchanged && receivedAt >= sent+c.Hold {
		return Confirmation{asOf: sent + c.Hold, sent: sent}
	}
	return Confirmation{asOf: sent, sent: sent}
}

// Lease decides whether the server list may be used. Only a confirmation grants it: a discovery that gives no
// complete answer, whether because of silence, a reset, a refusal or a failed dial, may have changes. The list that a
// process starts with is older than the process, and nothing confirms it.
type Lease struct {
	pushed           bool
	started          time.Duration
	confirmed        bool            // at least one answer has confirmed a list
	asOf             time.Duration   // the latest time for which the list is confirmed
	lastAnswer       time.Duration   // when discovery last gave a complete answer; before the first one, the start time
	answeredCallSent time.Duration   // when the last call was made that was answered completely
	moves            []time.Duration // the earliest moves that no answer covers yet
	lastMove         optionalTime
	agentFailed      bool // a call to the agent has failed (see observedFailure) since its last complete answer
	agentFailedAt    time.Duration
	agentNoticeAt    time.Duration // when what the agent had at agentFailedAt counts as notified
	gap              callGap
	misses           missTracker
	// The changes in an answer count as notified when it is written, which is some time before a part of it arrives,
	// and even if the rest never arrives.
	partial   map[CallID]partialAnswer // of answers that have not arrived completely
	discarded optionalTime             // when the first part arrived of the last answer that was incomplete or discarded
}

// partialAnswer is the first part of an answer that has not arrived completely.
type partialAnswer struct {
	writtenAt  time.Duration // the earliest time at which it may have been written
	receivedAt time.Duration
}

// expiry is the time until which the list may be used while the rest of the answer is missing. The client holds
// requests back until PartialAnswerWait is over.
func (p partialAnswer) expiry() time.Duration {
	return max(p.writtenAt+leaseSlack, p.receivedAt+PartialAnswerWait)
}

// NewLease returns the lease of a process that starts at now. pushed says that the address is an agent on this
// machine, which answers immediately with what it has.
func NewLease(now time.Duration, pushed bool) *Lease {
	return &Lease{pushed: pushed, started: now, lastAnswer: now, partial: map[CallID]partialAnswer{}, misses: newMissTracker(), gap: callGap{pushed: pushed, lastStart: now, idleSince: now}}
}

// Confirm records a complete answer whose list is used from now on.
func (l *Lease) Confirm(c Confirmation, now time.Duration) {
	l.asOf = max(l.asOf, c.asOf)
	l.confirmed, l.lastAnswer = true, now
	l.agentFailed = l.agentFailed && l.agentFailedAt > l.asOf
	l.gap.confirmed()
	answeredBy := func(moved time.Duration) bool { return moved < c.sent } // later changes are notified as usual
	l.moves = slices.DeleteFunc(l.moves, answeredBy)
	if answeredBy(l.lastMove.at) {
		l.lastMove.set = false
	}
	if len(l.moves) == 0 && l.lastMove.set {
		l.moves = append(l.moves, l.lastMove.at)
	}
	l.misses.confirmed(l.asOf)
	maps.DeleteFunc(l.partial, func(_ CallID, p partialAnswer) bool { return p.receivedAt <= l.asOf })
	if l.discarded.at <= l.asOf {
		l.discarded = optionalTime{}
	}
}

// AnswerBegun records a part of the list in an answer to a call. writtenAt is the earliest time at which it may have
// been written.
func (l *Lease) AnswerBegun(id CallID, writtenAt, now time.Duration) {
	if _, known := l.partial[id]; !known {
		l.partial[id] = partialAnswer{writtenAt, now}
	}
}

// callStarted records that a call starts.
func (l *Lease) callStarted(c Call, now time.Duration) {
	l.gap.callStarted(c.ContinuesWatch, now)
	l.misses.callStarted(c, now)
}

// callEnded records that a call is no longer open, however it ended.
func (l *Lease) callEnded(id CallID, end CallEnd, now time.Duration) {
	l.gap.callEnded(end, now)
	l.misses.callEnded(id, end, now, l.asOf)
}

// answerComplete records that the answer to a call has arrived completely, and returns when its first part arrived.
func (l *Lease) answerComplete(id CallID, now time.Duration) (receivedAt time.Duration) {
	receivedAt = now
	if p, known := l.partial[id]; known {
		receivedAt = p.receivedAt
	}
	delete(l.partial, id)
	return receivedAt
}

// answerLost records that the rest of the answer to a call will not arrive or will not be read.
func (l *Lease) answerLost(id CallID) {
	if p, known := l.partial[id]; known {
		l.discard(p.receivedAt)
		delete(l.partial, id)
	}
}

// discard records an answer that is not used and whose first part arrived at receivedAt. A call made after the last
// such answer has to be answered before the list may be used again.
func (l *Lease) discard(receivedAt time.Duration) {
	l.discarded = optionalTime{max(l.discarded.at, receivedAt), true}
}

// Moved records that discovery has another address.
func (l *Lease) Moved(now time.Duration) {
	l.lastMove = optionalTime{now, true}
	if len(l.moves) < maxMoves {
		l.moves = append(l.moves, now)
	}
}

// noteAgentFailure records that a call ended without a complete answer. An agent has what it was sent, and what it
// has counts as notified immediately, except for a time after a move.
func (l *Lease) noteAgentFailure(end CallEnd, now time.Duration) {
	if !l.pushed || l.agentFailed || !end.observedFailure() {
		return
	}
	l.agentFailed, l.agentFailedAt, l.agentNoticeAt = true, now, l.asOf
	for _, moved := range l.moves {
		if moved > max(l.asOf, l.answeredCallSent) {
			l.agentNoticeAt = moved + moveNotifiedWithin
			return
		}
	}
}

// Status returns whether the list can be relied on.
func (l *Lease) Status(now time.Duration) Status {
	if !l.confirmed || l.discarded.set || now >= l.expiry() {
		return Stale
	}
	return Confirmed
}

// Ready reports whether the process should receive requests: its list was confirmed once, or it has waited long
// enough for that.
func (l *Lease) Ready(now time.Duration) bool { return l.confirmed || now-l.started >= startWait }

// Age is the time since discovery last gave a complete answer, or since the start.
func (l *Lease) Age(now time.Duration) time.Duration { return now - l.lastAnswer }

// never is later than any time.
const never = time.Duration(1<<63 - 1)

// expiry is the time until which the list may be used.
func (l *Lease) expiry() time.Duration {
	noticeAt := min(l.asOf+NotifiedWithin, l.misses.noticeAt(), l.gap.noticeAt())
	if len(l.moves) > 0 {
		noticeAt = min(noticeAt, l.moves[0]+moveNotifiedWithin)
	}
	if l.agentFailed {
		noticeAt = min(noticeAt, l.agentNoticeAt)
	}
	end := noticeAt + leaseSlack
	for _, p := range l.partial {
		end = min(end, p.expiry())
	}
	return end
}

// maxHold is how long a call that is made now may wait for a change so that its answer still arrives before the lease
// ends.
func (l *Lease) maxHold(now time.Duration) time.Duration {
	if l.discarded.set || l.expiry() <= now {
		return 0
	}
	return max(min(l.asOf+LeaseDuration-answerReserve, l.misses.noticeAt())-now, 0)
}
