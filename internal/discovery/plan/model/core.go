package model

import (
	"math/rand/v2"
	"time"

	"brasswell/internal/discovery/plan"
)

// StalenessRule decides whether the list may be acted on. Its other methods report what happens to the calls.
type StalenessRule interface {
	// CallMade records that a call is made.
	CallMade(c plan.Call, now time.Duration)
	// Answered records a complete answer.
	Answered(a Answer)
	Moved(address string, now time.Duration)
	Connected(continuesWatch bool)
	AnswerBegun(now time.Duration)
	// CallEnded records that a call ended without a complete answer, and CallCanceled that the process itself
	// canceled one.
	CallEnded(c plan.Call, end plan.CallEnd, begun, now time.Duration)
	CallCanceled(c plan.Call, now time.Duration)
	// Resumed records that the process runs again and did not run after since.
	Resumed(since, now time.Duration)
	MayAct(now time.Duration) bool
}

// Answer is a complete answer as the process sees it.
type Answer struct {
	Call      plan.Call
	Sent      time.Duration // when its call was made
	Begun     time.Duration // when its first byte was read
	HasUpdate bool          // it contains changes or the whole list
	Applied   bool          // its list was applied
}

// core wraps the part of package plan that is under test, and is the only code here that calls it: a follower, and a
// rule that replaces the follower's own, if there is one.
type core struct {
	follower   *plan.Follower
	rule       StalenessRule // nil for the follower's own rule
	unread     bool          // bytes from discovery are still unread after a stall
	stallBegan time.Duration // start of the last stall
	stallEnded time.Duration // end of the last stall
	partialAt  time.Duration // when the first part of an answer that is not complete yet arrived
}

func newCore(s Schedule, rule StalenessRule, dice *rand.Rand) *core {
	c := newCoreAt(firstAddress, firstVersion, s.Start, s.AskEvery, dice)
	c.rule = rule
	if s.Pushed {
		c.follower.SetPushed(s.Start)
	}
	return c
}

// newCoreAt returns the core of a process that starts at the given time with the given version of the list, and uses
// the follower's own rule.
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

// resumed records that the process runs again and did not run after since.
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

// callCanceled records that a call was canceled on the follower's decision.
func (c *core) callCanceled(o *openCall, now time.Duration) {
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

// answerBegun records that the first byte of an answer was read, and listBegun the first byte of its list.
func (c *core) answerBegun(now time.Duration) {
	if c.rule != nil {
		c.rule.AnswerBegun(now)
	}
}

func (c *core) listBegun(o *openCall, now time.Duration) {
	c.follower.AnswerBegun(o.ID, c.lastRan(now), now)
	c.partialAt = now
}

// lastRan returns when the process was last known to run: the start of the stall if a stall ends now, and otherwise
// now.
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

// answerReceived records a complete answer, whose first byte is read now, and returns whether its list is to be
// applied. If ok is true, answerApplied must follow.
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

// mayAct reports whether the list may be acted on. Before that, everything that has arrived must have been read, and
// the rest of a partial answer must have been waited for: a client asks the kernel for unread bytes before each
// request.
func (c *core) mayAct(now time.Duration) bool {
	if c.rule != nil {
		return c.rule.MayAct(now)
	}
	return !c.unread && now >= c.partialAt+plan.PartialAnswerWait && c.follower.Status(now) != plan.Stale
}
