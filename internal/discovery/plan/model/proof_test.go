package model

import (
	"time"

	"brasswell/internal/discovery/plan"
)

// proof is a rule by which nothing but a whole answer keeps a list in force, dated by the sending of its call, or by the end of the wait that
// it asked for where there was no news. Whatever may have been written to the process and was not read ends it until the answer of a call
// that is made later.
type proof struct {
	pushed       bool
	askEvery     time.Duration
	address      string
	from         time.Duration // what the last answer tells is of this time or later
	confirmed    bool
	until        time.Duration // what was met since ends it then
	moveDeadline time.Duration // a move does
	minCallTime  time.Duration // only answers to calls made from here on count
	stallEnd     time.Duration // the last hold-up's end, and when it began
	stallBegan   time.Duration
	openCalls    map[plan.CallID]time.Duration // calls, and when they were made
	lastCall     time.Duration
	failed       bool
	unreadWrite  bool // something was written, or may have been, and was not read
	// What spoilt and newest were before the last answer began.
	unreadWriteBefore bool
	minCallTimeBefore time.Duration
}

const proofSlack = 300 * time.Millisecond

func newProof(c Schedule) *proof {
	p := &proof{pushed: c.Pushed, askEvery: c.AskEvery, address: firstAddress, until: never, moveDeadline: never, stallEnd: -1, lastCall: c.Start, openCalls: map[plan.CallID]time.Duration{}}
	if p.askEvery == 0 {
		p.askEvery = defaultAskEvery
	}
	return p
}

func (p *proof) CallMade(c plan.Call, now time.Duration) {
	p.noOpenCall(now)
	p.openCalls[c.ID] = now
	p.lastCall, p.failed = now, false
}

// unwatched ends the list where there has been no call for as long as the settings let a proxy be without one.
func (p *proof) noOpenCall(now time.Duration) {
	wait := p.askEvery
	if p.failed {
		wait *= failedCallFactor
	}
	if len(p.openCalls) == 0 && now >= p.lastCall+wait {
		p.until = min(p.until, p.lastCall+wait+proofSlack)
	}
}

func (p *proof) Answered(a Answer) {
	delete(p.openCalls, a.Call.ID)
	p.readWhole()
	switch {
	case !a.Applied:
		p.distrust(a.Begun)
		return
	case a.Sent < p.minCallTime:
		return
	}
	p.unreadWrite = false
	from := a.Sent
	if !a.HasUpdate && a.Begun >= a.Sent+a.Call.Hold {
		from += a.Call.Hold
	}
	p.from, p.confirmed, p.until = max(p.from, from), true, never
	if a.Call.Address == p.address {
		p.moveDeadline = never
	}
}

// stop ends the list until a call that is made from now on is answered.
func (p *proof) distrust(now time.Duration) { p.unreadWrite, p.minCallTime = true, now }

func (p *proof) Moved(address string, now time.Duration) {
	p.address = address
	if now == p.stallEnd {
		now = p.stallBegan // it may have been sent then
	}
	p.moveDeadline = min(p.moveDeadline, now+noticeWithinAfterMove+proofSlack)
}

func (*proof) Connected(bool) {}

func (p *proof) AnswerBegun(now time.Duration) {
	p.unreadWriteBefore, p.minCallTimeBefore = p.unreadWrite, p.minCallTime
	p.distrust(now)
}

// readWhole takes in that the answer that has just begun has come whole.
func (p *proof) readWhole() { p.unreadWrite, p.minCallTime = p.unreadWriteBefore, p.minCallTimeBefore }

func (p *proof) CallEnded(c plan.Call, end plan.CallEnd, _, now time.Duration) {
	delete(p.openCalls, c.ID)
	p.failed = true
	if end == plan.TurnedAway {
		p.readWhole()
	}
	switch {
	case end == plan.TimedOut: // its answer may lie in its socket
		p.distrust(now)
	case p.pushed && (end == plan.TurnedAway || end == plan.CutOff || end == plan.NoAnswer):
		p.distrust(now) // the agent is there, and may have something
	}
}

func (p *proof) CallCanceled(c plan.Call, now time.Duration) {
	delete(p.openCalls, c.ID)
	p.distrust(now)
	p.unreadWriteBefore, p.minCallTimeBefore = p.unreadWrite, p.minCallTime
}

func (p *proof) Resumed(since, now time.Duration) {
	p.stallEnd, p.stallBegan = now, since
	if p.pushed {
		p.distrust(now) // what lies in the sockets may be older than what the agent has
	}
}

func (p *proof) MayAct(now time.Duration) bool {
	p.noOpenCall(now)
	end := min(p.from+noticeWithin+proofSlack, p.until, p.moveDeadline)
	for _, made := range p.openCalls { // it may be silent since then
		end = min(end, made+noticeWithin+proofSlack)
	}
	return p.confirmed && !p.unreadWrite && now > p.stallEnd && now < end
}
