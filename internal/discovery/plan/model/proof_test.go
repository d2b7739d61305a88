package model

import (
	"time"

	"brasswell/internal/discovery/plan"
)

// proof is a rule by which only a complete answer keeps a list in force. The list dates from when the answer's call
// was sent or, if the answer has no change, from the end of the wait that the call asked for. Anything that may have
// been written to the process and was not read ends the list's validity until a call made later is answered.
type proof struct {
	pushed       bool
	askEvery     time.Duration
	address      string
	from         time.Duration // the last answer's list is of this time or later
	confirmed    bool
	until        time.Duration // end of validity because of what happened since the last answer
	moveDeadline time.Duration // end of validity because of a move
	minCallTime  time.Duration // only answers to calls made from here on count
	stallEnd     time.Duration // end of the last stall, and when it began
	stallBegan   time.Duration
	openCalls    map[plan.CallID]time.Duration // open calls, and when they were made
	lastCall     time.Duration
	failed       bool
	unreadWrite  bool // something was written, or may have been written, and was not read
	// Values of unreadWrite and minCallTime before the last answer began.
	unreadWriteBefore bool
	minCallTimeBefore time.Duration
}

const proofSlack = 300 * time.Millisecond

func newProof(s Schedule) *proof {
	p := &proof{pushed: s.Pushed, askEvery: s.AskEvery, address: firstAddress, until: never, moveDeadline: never, stallEnd: -1, lastCall: s.Start, openCalls: map[plan.CallID]time.Duration{}}
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

// noOpenCall ends the list's validity if no call has been open for as long as the settings allow.
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

// distrust ends the list's validity until a call that is made from now on is answered.
func (p *proof) distrust(now time.Duration) { p.unreadWrite, p.minCallTime = true, now }

func (p *proof) Moved(address string, now time.Duration) {
	p.address = address
	if now == p.stallEnd {
		now = p.stallBegan // SIGHUP may have been sent then
	}
	p.moveDeadline = min(p.moveDeadline, now+noticeWithinAfterMove+proofSlack)
}

func (*proof) Connected(bool) {}

func (p *proof) AnswerBegun(now time.Duration) {
	p.unreadWriteBefore, p.minCallTimeBefore = p.unreadWrite, p.minCallTime
	p.distrust(now)
}

// readWhole records that the answer that has just begun has arrived complete.
func (p *proof) readWhole() { p.unreadWrite, p.minCallTime = p.unreadWriteBefore, p.minCallTimeBefore }

func (p *proof) CallEnded(c plan.Call, end plan.CallEnd, _, now time.Duration) {
	delete(p.openCalls, c.ID)
	p.failed = true
	if end == plan.TurnedAway {
		p.readWhole()
	}
	switch {
	case end == plan.TimedOut: // its answer may still be in the socket
		p.distrust(now)
	case p.pushed && (end == plan.TurnedAway || end == plan.CutOff || end == plan.NoAnswer):
		p.distrust(now) // the agent is running, and may have a change
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
		p.distrust(now) // what is in the sockets may be older than what the agent has
	}
}

func (p *proof) MayAct(now time.Duration) bool {
	p.noOpenCall(now)
	end := min(p.from+noticeWithin+proofSlack, p.until, p.moveDeadline)
	for _, made := range p.openCalls { // the call may have been silent since then
		end = min(end, made+noticeWithin+proofSlack)
	}
	return p.confirmed && !p.unreadWrite && now > p.stallEnd && now < end
}
