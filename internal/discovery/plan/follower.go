package plan

import (
	"slices"
	"time"
)

// Settings define how discovery is polled.
type Settings struct {
	// Hold is how long a watch asks discovery to wait for a change.
	Hold time.Duration
	// Slack is the time after Hold at which a watch counts as overdue.
	Slack time.Duration
	// AskEvery is how long a proxy may use its list without making a call; 0 for no limit.
	AskEvery time.Duration
}

// CallID identifies a call. IDs are never reused.
type CallID uint64

// Call is one call for the server list.
type Call struct {
	ID             CallID
	Address        string
	From           int64         // the version held; below 0 to request the whole list
	Hold           time.Duration // how long discovery may wait for a change
	Timeout        time.Duration // after this time the call is given up as timed out
	ContinuesWatch bool          // the call continues a watch that was answered just before
	Hedged         bool          // the call is made beside an overdue one and needs its own connection
}

// Action is something that the client has to do.
type Action interface{ action() }

// The actions that a Follower requests.
type (
	// MakeCall makes a call; its events are reported under its ID.
	MakeCall struct{ Call Call }
	// CancelCall ends a call. No event is expected for it afterwards.
	CancelCall struct{ ID CallID }
	// CloseIdleConns closes the connections that no call uses: they may lead to a machine that is gone.
	CloseIdleConns struct{}
	// ReportFailure reports to the balancer that a call has failed.
	ReportFailure struct{}
	// EndWatch ends the watch; the balancer decides when the next one starts.
	EndWatch struct{}
)

func (MakeCall) action()       {}
func (CancelCall) action()     {}
func (CloseIdleConns) action() {}
func (ReportFailure) action()  {}
func (EndWatch) action()       {}

// Follower decides which calls are made for the server list, and whether the list may be used. Events are reported by
// calling its methods. Actions then returns what has to be done, and NextTick returns when Tick is due.
type Follower struct {
	Lease
	settings Settings
	random   func() float64 // returns numbers in [0, 1)
	started  time.Duration
	address  string
	version  int64 // of the list that is held; below 0 for none

	watching       bool
	query          *query // nil while none is open
	pause          pause
	retriedCutOff  bool // the query is repeated because an answer was cut off
	justAnswered   bool // the last query was answered just now
	lastTurnedAway optionalTime
	series         moveSeries
	lingering      lingeringCalls
	received       receivedAnswer // the answer that is being applied
	lastApplied    time.Duration  // when a list was last applied
	versionResets  int            // how often discovery has restarted its version numbers
	lastCallID     CallID
	actions        []Action
}

// sentCall is an open call.
type sentCall struct {
	Call
	sentAt        time.Duration // when the Follower decided to make it
	versionResets int           // Follower.versionResets at that time
}

// optionalTime is a time that may not be set.
type optionalTime struct {
	at  time.Duration
	set bool
}

// within reports whether the time is set and is less than d before now.
func (m optionalTime) within(d, now time.Duration) bool { return m.set && now-m.at < d }

// NewFollower returns a Follower that makes no call yet and holds no list. random returns numbers in [0, 1).
func NewFollower(now time.Duration, address string, s Settings, random func() float64) *Follower {
	f := &Follower{Lease: *NewLease(now, false), settings: s, random: random, started: now, address: address, version: -1}
	f.lingering.open = map[CallID]sentCall{}
	f.gap.limit = s.AskEvery
	return f
}

// SetPushed declares that the address is an agent on this machine. It has to be called before the first call is made.
func (f *Follower) SetPushed(now time.Duration) { f.Lease = *NewLease(now, true) }

// SetSettings changes how discovery is polled, from the next query on.
func (f *Follower) SetSettings(s Settings) {
	f.settings = s
	f.gap.limit = s.AskEvery
}

// Version is the version of the list that is held; below 0 for none.
func (f *Follower) Version() int64 { return f.version }

// SetVersion sets a version that did not come from a call of this Follower.
func (f *Follower) SetVersion(version int64) { f.version = version }

// Actions returns, in order, the actions that events have caused since the last call of Actions.
func (f *Follower) Actions() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

func (f *Follower) emit(a Action) { f.actions = append(f.actions, a) }

// Watch starts polling and reports whether the caller has to run a new watch. It returns false if a watch already
// runs, also if its EndWatch had not been returned by Actions yet: that watch then continues.
func (f *Follower) Watch(now time.Duration) (started bool) {
	f.Tick(now)
	if f.watching {
		return false
	}
	f.watching = true
	f.startQuery(now)
	return !f.withdrawEndWatch()
}

// withdrawEndWatch removes an EndWatch that Actions has not returned yet and reports whether there was one.
func (f *Follower) withdrawEndWatch() bool {
	before := len(f.actions)
	f.actions = slices.DeleteFunc(f.actions, func(a Action) bool { return a == Action(EndWatch{}) })
	return len(f.actions) < before
}

// Stop ends the watch without any action.
func (f *Follower) Stop() {
	f.watching, f.query, f.pause, f.justAnswered, f.actions = false, nil, pause{}, false, nil
	clear(f.lingering.open)
	clear(f.partial)
	f.gap.open = 0
	f.misses = newMissTracker()
}

// AnswerProgress records that a part of an answer to a call has arrived.
func (f *Follower) AnswerProgress(id CallID, now time.Duration) {
	if q := f.query; q != nil && id == q.newest {
		// Discovery has begun to answer this call, which no longer has a place in the queue to lose: the rest arrives
		// soon or never.
		q.nextCallAt = now + stallTimeout
		q.progress = true
	}
	if _, isLingering := f.lingering.open[id]; isLingering && f.pause.untilLingering {
		f.pause.until = min(f.pause.until, now+stallTimeout)
	}
}

// AnswerBegun records that a part of the list has arrived in an answer to a call. writtenAt is the earliest time at
// which it may have been written.
func (f *Follower) AnswerBegun(id CallID, writtenAt, now time.Duration) {
	if _, pending := f.pendingCall(id); pending {
		f.Lease.AnswerBegun(id, writtenAt, now)
	}
}

// pendingCall returns a call whose answer is still expected.
func (f *Follower) pendingCall(id CallID) (c sentCall, ok bool) {
	if f.query != nil {
		if c, ok = f.query.open[id]; ok {
			return c, true
		}
	}
	c, ok = f.lingering.open[id]
	return c, ok
}

// CallFailed records that a call has ended without a complete answer.
func (f *Follower) CallFailed(id CallID, end CallEnd, now time.Duration) {
	c, pending := f.pendingCall(id)
	if !pending {
		return
	}
	f.callEnded(id, end, now)
	f.noteAgentFailure(end, now)
	f.answerLost(id)
	if end == TimedOut && now > c.sentAt+c.Timeout+maxEndDelay {
		f.discard(now) // this process was stalled, and an unread answer may have arrived meanwhile
	}
	if _, isLingering := f.lingering.open[id]; isLingering && end == CutOff {
		f.hedgeNow(now)
	}
	delete(f.lingering.open, id)
	f.lingeringWatchEnded(false, now)
	q := f.query
	if q == nil {
		return
	}
	if _, inQuery := q.open[id]; !inQuery {
		return
	}
	delete(q.open, id)
	if len(q.open) == 0 {
		f.queryFailed(c, end, now)
	}
}

// maxEndDelay is how late the end of a call may be reported in a process that is not stalled.
const maxEndDelay = 150 * time.Millisecond

// NextTick returns when Tick is due; ok is false if nothing is scheduled.
func (f *Follower) NextTick() (at time.Duration, ok bool) {
	at = never
	if f.series.pending {
		at = f.series.due
	}
	if f.query != nil {
		at = min(at, f.query.nextCallAt)
	}
	if f.pause.on && !f.pause.untilMove {
		at = min(at, f.pause.until)
	}
	return at, at != never
}

// Tick does what is due.
func (f *Follower) Tick(now time.Duration) {
	if f.series.pending && now >= f.series.due {
		f.switchAddress(now)
	}
	if f.query != nil && now >= f.query.nextCallAt {
		f.makeCall(now)
	}
	if p := f.pause; p.on && !p.untilMove && now >= p.until {
		f.pause = pause{}
		switch {
		case p.endsWatch:
			f.endWatch(p.moves, now)
		case p.untilLingering:
			f.cancelLingering(now)
			f.justAnswered = false
			f.startQuery(now)
		default:
			f.startQuery(now)
		}
	}
}
