package model

import (
	"maps"
	"slices"
	"time"

	"brasswell/internal/discovery/plan"
)

// openCall is a call that was made.
type openCall struct {
	plan.Call
	outcome     Outcome
	begun       time.Duration
	waiting     bool          // it waits for a change
	silenced    bool          // it gets no answer any more
	undisturbed bool          // there was no other fault when it was made, and the process and its agent have run since
	closedAt    time.Duration // when the call ended for the process; never before that
	decidedAt   time.Duration // time of the list that its answer contains
	changes     int           // number of changes that its answer includes
	version     int64         // version of its answer
	whole       bool          // its answer is the whole list
}

// closed reports whether the call has ended for the process.
func (o *openCall) closed() bool { return o.closedAt != never }

// nextOutcome returns the outcome of the next call.
func (r *run) nextOutcome() Outcome {
	r.calls++
	r.result.Calls++
	if r.outage != nil {
		return r.outage.Outcome
	}
	if r.calls <= len(r.schedule.CallOutcomes) {
		return r.schedule.CallOutcomes[r.calls-1]
	}
	var shares []Share
	for _, phase := range r.schedule.Phases {
		if phase.From <= r.now {
			shares = phase.Shares
		}
	}
	draw := r.dice.Float64()
	for _, s := range shares {
		if draw -= s.Fraction; draw < 0 {
			return s.Outcome
		}
	}
	return Normal
}

// randomUpTo returns a random duration below a limit.
func (r *run) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(r.dice.Float64() * float64(limit))
}

// call runs one call.
func (r *run) call(c plan.Call) {
	o := &openCall{Call: c, begun: r.now, outcome: r.nextOutcome(), closedAt: never, undisturbed: len(r.open) == 0 && r.outage == nil && !r.notices.recentlyMoved(r.now)}
	for _, other := range r.open {
		other.undisturbed = false
	}
	r.open[c.ID] = o
	r.core.callMade(o)
	r.notices.callMade(o, r.now)
	if r.schedule.Literal && c.Hold > 0 {
		r.after(c.Hold, func() { r.notices.waitEnded(r.now) })
	}
	r.onlyOutage = r.onlyOutage && (o.outcome == Normal || r.outage != nil && o.outcome.unreachable())
	if !r.connected || c.Hedged {
		r.dial(o)
		return
	}
	if o.outcome.unreachable() {
		o.outcome = Reset // the call uses the open connection
	}
	r.handle(o)
}

// dial establishes a call's connection, or fails to.
func (r *run) dial(o *openCall) {
	up := time.Duration(0)
	switch o.outcome {
	case DialRefused:
		r.after(callLatency, func() { r.deliver(o, func() { r.endCall(o, plan.Unreachable) }) })
		return
	case DialTimeout:
		up = dialTimeout
	case DialLate:
		up = r.randomUpTo(maxDialDelay)
	}
	if up >= dialTimeout {
		r.after(dialTimeout, func() { r.deliver(o, func() { r.endCall(o, plan.Unreachable) }) })
		return
	}
	connected := func() {
		if !o.closed() {
			r.core.connected(o)
			r.handle(o)
		}
	}
	if up == 0 {
		connected()
		return
	}
	r.after(up, func() { r.deliver(o, connected) })
}

// handle makes discovery process a call.
func (r *run) handle(o *openCall) {
	r.connected = true
	r.at(o.begun+o.Timeout, func() { r.deliver(o, func() { r.endCall(o, plan.TimedOut) }) })
	refuse := func() { r.deliver(o, func() { r.refuse(o) }) }
	switch o.outcome {
	case Normal, WrittenLate, DeliveredLate, DialLate:
		r.after(callLatency, func() { r.waitForChange(o) })
	case Queued:
		r.after(callLatency+r.randomUpTo(maxQueueDelay), func() { r.waitForChange(o) })
	case Truncated, StalledAnswer:
		if r.dice.IntN(2) == 0 {
			r.after(callLatency, func() { r.waitForChange(o) })
		} else {
			r.after(callLatency, func() { r.answer(o) })
		}
	case NoResponse:
		r.silence(o)
	case Reset:
		r.after(callLatency, func() { r.deliver(o, func() { r.endCall(o, plan.NoAnswer) }) })
	case RefusedAtOnce:
		r.after(callLatency, refuse)
	case RefusedLate:
		r.after(queueTimeout, refuse)
	}
}

func (r *run) silence(o *openCall) {
	o.waiting = false
	if r.outage == nil {
		o.silenced = true
		r.notices.watchSilenced(o, r.now)
	}
}

// waitForChange makes a call wait for a change. If there is one already, it answers the call.
func (r *run) waitForChange(o *openCall) {
	if o.closed() || o.silenced {
		return
	}
	if r.changesMade > r.changesAt(o) || o.From < 0 || o.From > r.version() {
		r.answer(o)
		return
	}
	o.waiting = true
	r.at(max(r.now, o.begun+o.Hold), func() {
		if o.waiting {
			r.answer(o)
		}
	})
}

// changesAt returns the number of changes up to the version that a call asks from.
func (r *run) changesAt(o *openCall) int { return int(o.From - firstVersion - r.versionOffset) }

// version returns discovery's current version.
func (r *run) version() int64 { return firstVersion + int64(r.changesMade) + r.versionOffset }

// answerWatches answers the calls that wait for a change.
func (r *run) answerWatches() {
	for _, o := range r.waitingCalls() {
		r.after(callLatency, func() {
			if o.waiting {
				r.answer(o)
			}
		})
	}
}

// answer decides the answer to a call, and schedules its writing.
func (r *run) answer(o *openCall) {
	if o.closed() {
		return
	}
	o.waiting, o.decidedAt = false, r.now
	o.changes, o.version, o.whole = r.changesMade, r.version(), o.From < 0 || r.dice.Float64() < r.schedule.WholeLists
	lag := time.Duration(0)
	if o.outcome == WrittenLate {
		lag = r.randomUpTo(maxWriteDelay)
	}
	r.after(lag, func() { r.write(o) })
}

// write makes discovery write an answer, and schedules its arrival.
func (r *run) write(o *openCall) {
	if o.closed() {
		return
	}
	if r.outage != nil && !r.schedule.Pushed {
		r.deliver(o, func() { r.endCall(o, plan.NoAnswer) })
		return
	}
	r.notices.answerWritten(o, r.now)
	switch o.outcome {
	case Truncated:
		r.deliver(o, func() { r.readPartialAnswer(o) })
		r.after(callLatency, func() { r.deliver(o, func() { r.endCall(o, plan.CutOff) }) })
	case StalledAnswer:
		r.deliver(o, func() { r.readPartialAnswer(o) })
	case DeliveredLate:
		r.after(r.randomUpTo(maxTransitDelay), func() { r.deliver(o, func() { r.readAnswer(o) }) })
	default:
		r.deliver(o, func() { r.readAnswer(o) })
	}
}

// waitingCalls returns the calls that wait for a change, in order.
func (r *run) waitingCalls() (calls []*openCall) {
	for _, id := range slices.Sorted(maps.Keys(r.open)) {
		if o := r.open[id]; o.waiting {
			calls = append(calls, o)
		}
	}
	return calls
}

// endWatches ends the calls that wait for a change.
func (r *run) endWatches(end plan.CallEnd) {
	for _, o := range r.waitingCalls() {
		o.waiting = false
		r.deliver(o, func() { r.endCall(o, end) })
	}
}

// silenceWatches makes discovery stay silent on the calls that wait for a change.
func (r *run) silenceWatches() {
	r.onlyOutage = false
	for _, o := range r.waitingCalls() {
		r.silence(o)
	}
}

func (r *run) beginOutage(o *Outage) {
	if o.To <= r.now {
		return
	}
	r.outage = o
	if r.schedule.Pushed {
		r.onlyOutage = false
		for _, o := range r.open {
			o.waiting, o.undisturbed = false, false // until the agent has returned
		}
		return
	}
	r.connected = r.connected && !o.Outcome.unreachable()
	end := plan.NoAnswer
	if o.Outcome == RefusedAtOnce || o.Outcome == RefusedLate {
		end = plan.TurnedAway
	}
	r.endWatches(end)
}

func (r *run) endOutage() {
	if r.outage == nil {
		return
	}
	r.outage = nil
	r.notices.outageEnd = r.now
	if !r.schedule.Pushed {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.open)) { // the agent answers all waiting calls
		o := r.open[id]
		r.after(callLatency, func() { r.waitForChange(o) })
	}
}
