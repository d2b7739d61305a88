package backends

import (
	"time"

	"brasswell/balance"
)

// answerWatch times the response of one attempt from its first byte until it is complete or passed on, and asks the attempt
// what to do whenever it is slow. Its fields are guarded by pool.mu.
//
// The timer is not stopped when a response ends: when it fires, it checks whether another response has begun, and continues for
// that one.
type answerWatch struct {
	timer   *time.Timer
	firesAt time.Time // when timer fires; zero if it is not running

	attempt   Attempt   // nil if there is none, or if its response is passed on
	lastByte  time.Time // when the last bytes came; zero if no response has begun
	checkAt   time.Time // when the response is checked next; zero if no response has begun
	latest    time.Time // when it is checked whatever has come, and from when on whenever bytes come; zero if there is no such time
	committed bool      // the attempt must not be given up
	pending   *pendingAnswer
}

// passOnLead is how long before an attempt's end its response is checked whatever has come, but at most maxLeadShare of its time.
const passOnLead, maxLeadShare = 50 * time.Millisecond, 0.5

// watchAnswer starts the watch for an attempt that is about to be written.
func (c *conn) watchAnswer(a Attempt, permit writePermit, bodyIsStream bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.answer.end()
	c.answer.attempt = a
	c.answer.committed = bodyIsStream
	if !permit.announced.Receiving {
		remaining := permit.announced.Remaining
		lead := min(passOnLead, time.Duration(maxLeadShare*float64(remaining)))
		c.answer.latest = permit.checkedAt.Add(remaining - lead)
	}
}

// end ends the watch; pool.mu must be held.
func (w *answerWatch) end() {
	w.attempt, w.pending, w.committed = nil, nil, false
	w.lastByte, w.checkAt, w.latest = time.Time{}, time.Time{}, time.Time{}
}

// endAnswerWatch ends the watch: the response is complete, or is passed on.
func (c *conn) endAnswerWatch() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.answer.end()
}

// pauseAnswerWatch suspends the checks until the next byte.
func (c *conn) pauseAnswerWatch() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.answer.lastByte, c.answer.checkAt = time.Time{}, time.Time{}
}

// commitAnswer records that the response is known to be long, so that the attempt is not given up for another one.
func (c *conn) commitAnswer() {
	c.startStreaming()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.answer.committed = true
}

// answerMoved records that bytes of the response have come.
func (c *conn) answerMoved() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	w := &c.answer
	if c.closed || w.attempt == nil {
		return
	}
	now := time.Now()
	if w.lastByte.IsZero() && w.latest.IsZero() { // the attempt's time has not begun, since its body still arrives
		w.latest = now.Add(c.pool.options.AnswerTimeout)
	}
	w.lastByte = now
	w.check(now, now.Add(c.pool.options.AnswerTimeout))
}

// check sets the time of the next check, which is latest if that is earlier; pool.mu must be held.
func (w *answerWatch) check(now, at time.Time) {
	if !w.latest.IsZero() && w.latest.Before(at) {
		at = w.latest
	}
	w.schedule(now, at)
}

// schedule sets the time of the next check; pool.mu must be held.
func (w *answerWatch) schedule(now, at time.Time) {
	w.checkAt = at
	if w.firesAt.IsZero() || at.Before(w.firesAt) {
		w.startTimer(now, at)
	}
}

// startTimer makes the timer fire at a time; pool.mu must be held.
func (w *answerWatch) startTimer(now, at time.Time) {
	w.firesAt = at
	w.timer.Reset(max(at.Sub(now), 0))
}

// onAnswerTimer asks the attempt what to do with its response if that is slow.
func (c *conn) onAnswerTimer() {
	slow, attempt, pending := c.slowAnswer()
	if attempt == nil {
		return
	}
	if pending.due(time.Now()) {
		pending.passOn()
		return
	}
	decision := attempt.Slow(slow)
	if !c.waitFurther(attempt, decision) {
		return // the attempt has ended meanwhile
	}
	switch decision.Action {
	case balance.GiveUp:
		c.discard()
	case balance.PassOn:
		pending.passOn()
	}
}

// slowAnswer returns the attempt whose response is to be checked now, or nil.
func (c *conn) slowAnswer() (slow balance.SlowAnswer, attempt Attempt, pending *pendingAnswer) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	w := &c.answer
	w.firesAt = time.Time{}
	if c.closed || w.attempt == nil || w.checkAt.IsZero() {
		return slow, nil, nil
	}
	now := time.Now()
	if w.checkAt.After(now) {
		w.startTimer(now, w.checkAt)
		return slow, nil, nil
	}
	slow.Stalled = now.Sub(w.lastByte) >= c.pool.options.AnswerTimeout
	slow.Passable, slow.HeadPassable = w.pending.passable()
	slow.Committed = w.committed
	return slow, w.attempt, w.pending
}

// waitFurther sets the time of the next check after a decision, and reports whether the attempt is still the same.
func (c *conn) waitFurther(attempt Attempt, d balance.SlowDecision) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	w := &c.answer
	if c.closed || w.attempt != attempt {
		return false
	}
	now := time.Now()
	wait := c.pool.options.AnswerTimeout
	if d.AskAgain > 0 {
		wait = min(wait, d.AskAgain)
	}
	w.latest = now.Add(d.AskAgain)
	w.schedule(now, now.Add(wait))
	return true
}
