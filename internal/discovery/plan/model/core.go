package model

import (
	"math/rand/v2"
	"time"

	"brasswell/internal/discovery/plan"
)

// Rule decides whether the list may be acted on. It is told what calls meet.
type StalenessRule interface {
	// Made takes in that a call is made.
	CallMade(c plan.Call, now time.Duration)
	// Answered takes in a whole answer.
	Answered(a Answer)
	Moved(address string, now time.Duration)
	Connected(goesOn bool)
	AnswerBegun(now time.Duration)
	// Ended takes in the end of a call without a whole answer, and GivenUp that the process itself ends one.
	CallEnded(c plan.Call, end plan.CallEnd, begun, now time.Duration)
	CallCanceled(c plan.Call, now time.Duration)
	// HeldUp takes in that the process has not run since a time.
	Resumed(since, now time.Duration)
	MayAct(now time.Duration) bool
}

// Answer is a whole answer, as the process has it.
type Answer struct {
	Call      plan.Call
	Sent      time.Duration // when its call was made
	Begun     time.Duration // when its first byte was seen
	HasUpdate bool          // it tells something, or the whole list
	Applied   bool          // its list was taken in
}

// core is all that is played of package plan, and the only caller of it here: a follower, and a rule in place of its own, if there is one.
type core struct {
	follower   *plan.Follower
	rule       StalenessRule // nil for the follower's own
	unread     bool          // something lies in discovery's sockets, behind a hold-up
	stallBegan time.Duration // when the last hold-up began
	stallEnded time.Duration // when it ended
	partialAt  time.Duration // when a part of an answer came that has not come whole
}

func newCore(s Schedule, rule StalenessRule, dice *rand.Rand) *core {
	c := newCoreAt(firstAddress, firstVersion, s.Start, s.AskEvery, dice)
	c.rule = rule
	if s.Pushed {
		c.follower.SetPushed(s.Start)
	}
	return c
}

// newCoreAt returns the core of a process that starts at a time with a version of the list, and goes by the follower's own rule.
func newCoreAt(address string, version int64, start, askEvery time.Duration, dice *rand.Rand) *core {
	settings := plan.Settings{Hold: 2500 * time.Millisecond, Slack: 800 * time.Millisecond, AskEvery: askEvery}
	f := plan.NewFollower(start, address, settings, dice.Float64)
	f.SetVersion(version)
	return &core{follower: f, partialAt: -plan.PartialAnswerWait}
}

func (c *core) watch(now time.Duration)                 { c.follower.Watch(now) }
func (c *core) tick(now time.Duration)                  { c.follower.Tick(now) }
func (c *core) nextTick() (at time.Duration, ok bool)   { return c.follower.NextTick() }
func (c *core) actions() []plan.Action                  { return c.follower.Actions() }
func (c *core) progress(o *openCall, now time.Duration) { c.follower.AnswerProgress(o.ID, now) }

// heldUp takes in that the process has not run since a time.
func (c *core) resumed(since, now time.Duration) {
	c.stallBegan, c.stallEnded = since, now
	if c.rule != nil {
		c.rule.Resumed(since, now)
	}
}

func (c *core) callMade(o *openCall) {
	if c.rule != nil {
		c.rule.CallMade(o.Call, o.begun)
	}
}

// givenUp takes in that a call was given up, as the follower said.
func (c *core) callGivenUp(o *openCall, now time.Duration) {
	if c.rule != nil {
		c.rule.CallCanceled(o.Call, now)
	}
}

func (c *core) moved(address string, now time.Duration) {
	if c.rule != nil {
		c.rule.Moved(address, now)
	}
	c.follower.Move(address, c.lastRan(now), now)
}

func (c *core) connected(o *openCall) {
	if c.rule != nil {
		c.rule.Connected(o.ContinuesWatch)
	}
}

// answerBegun takes in the first byte of an answer, and listBegun the first one of the list in it.
func (c *core) answerBegun(now time.Duration) {
	if c.rule != nil {
		c.rule.AnswerBegun(now)
	}
}

func (c *core) listBegun(o *openCall, now time.Duration) {
	c.follower.AnswerBegun(o.ID, c.lastRan(now), now)
	c.partialAt = now
}

// seenRunning is when the process was last seen to run.
func (c *core) lastRan(now time.Duration) time.Duration {
	if now == c.stallEnded {
		return c.stallBegan
	}
	return now
}

func (c *core) callEnded(o *openCall, end plan.CallEnd, now time.Duration) {
	if c.rule != nil {
		c.rule.CallEnded(o.Call, end, o.begun, now)
	}
	c.follower.CallFailed(o.ID, end, now)
}

// received takes in a whole answer, whose first byte is seen now, and says whether its list is to be taken in; taken has to follow where it
// is ok.
func (c *core) answerReceived(o *openCall, version int64, whole bool, now time.Duration) (use, ok bool) {
	return c.follower.AnswerReceived(o.ID, version, whole, now)
}

func (c *core) answerApplied(o *openCall, use bool, now time.Duration) {
	c.partialAt = -plan.PartialAnswerWait
	if c.rule != nil {
		c.rule.Answered(Answer{Call: o.Call, Sent: o.begun, Begun: now, HasUpdate: o.whole || o.version != o.From, Applied: use})
	}
	c.follower.AnswerApplied(now)
}

// mayAct says whether the list may be acted on. What has come is read first, and its rest waited for: a client asks
// the kernel for it before each request.
func (c *core) mayAct(now time.Duration) bool {
	if c.rule != nil {
		return c.rule.MayAct(now)
	}
	return !c.unread && now >= c.partialAt+plan.PartialAnswerWait && c.follower.Status(now) != plan.Stale
}
