package plan

import (
	"slices"
	"time"
)

// Settings are how discovery is asked.
type Settings struct {
	// Hold is how long a watch asks discovery to wait for news.
	Hold time.Duration
	// Slack on top of Hold is when a watch counts as overdue.
	Slack time.Duration
	// AskEvery is for how long a proxy that does not ask may go on; 0 for no such bound.
	AskEvery time.Duration
}

// CallID names a call. IDs are never used again.
type CallID uint64

// Call is one call for the server list.
type Call struct {
	ID             CallID
	Address        string
	From           int64         // the version held; below 0 for the whole list
	Hold           time.Duration // for how long discovery may wait for news
	Timeout        time.Duration // when the call is given up as timed out
	ContinuesWatch bool          // it goes on with a watch that was answered right before
	Hedged         bool          // it is made beside one that is overdue, and needs a connection of its own
}

// Action is what a client has to do.
type Action interface{ action() }

// The actions.
type (
	// MakeCall makes a call; its events come back under its ID.
	MakeCall struct{ Call Call }
	// GiveUp ends a call. It needs no event any more.
	CancelCall struct{ ID CallID }
	// CloseIdle closes the connections that no call uses: they may lead to a machine that is gone.
	CloseIdleConns struct{}
	// ReportFailure tells the balancer that a call has failed.
	ReportFailure struct{}
	// EndWatch ends the watch: the balancer says when the next one begins.
	EndWatch struct{}
)

func (MakeCall) action()       {}
func (CancelCall) action()     {}
func (CloseIdleConns) action() {}
func (ReportFailure) action()  {}
func (EndWatch) action()       {}

// Follower decides which calls are made for the server list, and whether the list may be acted on. Its events are methods; what is to be
// done for them is in Actions afterwards, and Next says when Time is due.
type Follower struct {
	Lease
	settings Settings
	random   func() float64 // from 0 to below 1
	started  time.Duration
	address  string
	version  int64 // of the list that is held; below 0 for none

	watching bool
	question *question // nil while none is out
	pause    pause
	again    bool // the question is asked again for an answer that was cut off
	goesOn   bool // the last question was answered just now
	refused  moment
	series   series
	left     leftCalls
	receipt  receipt       // of the answer that is being taken in
	taken    time.Duration // when a list was last taken in
	counts   int           // how often discovery has begun to count its versions anew
	lastCall CallID
	actions  []Action
}

// sentCall is a call that is out.
type sentCall struct {
	Call
	at     time.Duration // when it was decided on
	counts int           // how often discovery had begun to count anew by then
}

// moment is a time that may not have come yet.
type moment struct {
	at   time.Duration
	come bool
}

// within says whether it came less than so long ago.
func (m moment) within(d, now time.Duration) bool { return m.come && now-m.at < d }

// NewFollower returns one that makes no call yet, and holds no list. random returns numbers from 0 to below 1.
func NewFollower(now time.Duration, address string, s Settings, random func() float64) *Follower {
	f := &Follower{Lease: *NewLease(now, false), settings: s, random: random, started: now, address: address, version: -1}
	f.left.out = map[CallID]sentCall{}
	f.asking.every = s.AskEvery
	return f
}

// SetPushed says that the address is an agent on this machine; it is for a follower that makes no call yet.
func (f *Follower) SetPushed(now time.Duration) { f.Lease = *NewLease(now, true) }

// SetSettings changes how discovery is asked, from the next question on.
func (f *Follower) SetSettings(s Settings) {
	f.settings = s
	f.asking.every = s.AskEvery
}

// Version is that of the list that is held; below 0 for none.
func (f *Follower) Version() int64 { return f.version }

// SetVersion takes in a version that was not told by a call of this follower.
func (f *Follower) SetVersion(version int64) { f.version = version }

// Actions are those that the events since the last call of Actions have led to, in order.
func (f *Follower) Actions() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

func (f *Follower) act(a Action) { f.actions = append(f.actions, a) }

// Watch begins to ask, unless the follower does already, and says whether it did not.
func (f *Follower) Watch(now time.Duration) (begun bool) {
	f.Tick(now)
	if f.watching {
		return false
	}
	f.watching = true
	f.ask(now)
	return !f.takeBackEnd()
}

// takeBackEnd takes back the word that the watch ends, where nobody has heard it yet, and says whether it did: the watch goes on.
func (f *Follower) takeBackEnd() bool {
	before := len(f.actions)
	f.actions = slices.DeleteFunc(f.actions, func(a Action) bool { return a == Action(EndWatch{}) })
	return len(f.actions) < before
}

// Stop ends the watch without a word.
func (f *Follower) Stop() {
	f.watching, f.question, f.pause, f.goesOn, f.actions = false, nil, pause{}, false, nil
	clear(f.left.out)
	clear(f.begun)
	f.asking.out = 0
	f.silences = newSilences()
}

// Progress takes in a part of an answer to a call.
func (f *Follower) AnswerProgress(id CallID, now time.Duration) {
	if q := f.question; q != nil && id == q.newest {
		// Discovery has come to this call, which has no place in line to lose: the rest comes soon, or never.
		q.late = now + stallTime
		q.progress = true
	}
	if _, left := f.left.out[id]; left && f.pause.untilLeft {
		f.pause.until = min(f.pause.until, now+stallTime)
	}
}

// AnswerBegun takes in a part of the list in an answer to a call. told is when it may have been written at the earliest.
func (f *Follower) AnswerBegun(id CallID, told, now time.Duration) {
	if _, out := f.outCall(id); out {
		f.Lease.AnswerBegun(id, told, now)
	}
}

// outCall is a call whose answer is waited for.
func (f *Follower) outCall(id CallID) (c sentCall, out bool) {
	if f.question != nil {
		if c, out = f.question.out[id]; out {
			return c, true
		}
	}
	c, out = f.left.out[id]
	return c, out
}

// Ended takes in the end of a call without a whole answer.
func (f *Follower) CallFailed(id CallID, end CallEnd, now time.Duration) {
	c, out := f.outCall(id)
	if !out {
		return
	}
	f.callEnded(id, end, now)
	f.callFailed(end, now)
	f.answerLost(id)
	if end == TimedOut && now > c.at+c.Timeout+lateEnd {
		f.discard(now) // this process was held up, and an answer may have come meanwhile that nobody has read
	}
	if _, left := f.left.out[id]; left && end == CutOff {
		f.hurry(now)
	}
	delete(f.left.out, id)
	f.leftWatchEnded(false, now)
	q := f.question
	if q == nil {
		return
	}
	if _, out := q.out[id]; !out {
		return
	}
	delete(q.out, id)
	if len(q.out) == 0 {
		f.failed(c, end, now)
	}
}

// lateEnd is how late a call's end may come in a process that runs.
const lateEnd = 150 * time.Millisecond

// Next is when Time is due; ok is false where there is nothing to wait for.
func (f *Follower) NextTick() (at time.Duration, ok bool) {
	at = never
	if f.series.pending {
		at = f.series.due
	}
	if f.question != nil {
		at = min(at, f.question.late)
	}
	if f.pause.on && !f.pause.untilMove {
		at = min(at, f.pause.until)
	}
	return at, at != never
}

// Time does what is due.
func (f *Follower) Tick(now time.Duration) {
	if f.series.pending && now >= f.series.due {
		f.goOver(now)
	}
	if f.question != nil && now >= f.question.late {
		f.call(now)
	}
	if p := f.pause; p.on && !p.untilMove && now >= p.until {
		f.pause = pause{}
		switch {
		case p.ends:
			f.end(p.moves, now)
		case p.untilLeft:
			f.giveUpLeft(now)
			f.goesOn = false
			f.ask(now)
		default:
			f.ask(now)
		}
	}
}
