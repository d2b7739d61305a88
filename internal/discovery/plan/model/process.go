package model

import (
	"fmt"
	"slices"
	"time"

	"brasswell/internal/discovery/plan"
)

// delivery is an event for the process to handle: something about a call, a timer, or a signal.
type delivery struct {
	call plan.CallID // 0 for none
	do   func()
}

// stalled reports whether the process does not run.
func (r *run) stalled() bool { return r.now < r.stalledUntil }

// deliver runs do once the process runs. o is nil for an event that does not belong to a call.
func (r *run) deliver(o *openCall, do func()) {
	if !r.stalled() {
		do()
		return
	}
	d := delivery{do: do}
	if o != nil {
		d.call = o.ID
	}
	r.pending = append(r.pending, d)
}

// beginStall begins a stall.
func (r *run) beginStall(stall Stall) {
	r.onlyOutage = false
	for _, o := range r.open {
		o.undisturbed = false
	}
	r.stalledUntil = stall.From + stall.For
	r.at(r.stalledUntil, func() { r.endStall(stall.From) })
}

// endStall ends a stall. Requests in progress continue first. What is in the sockets is read in any order, except
// that the events of each call stay in order.
func (r *run) endStall(since time.Duration) {
	all := r.pending
	r.pending = nil
	r.core.resumed(since, r.now)
	r.core.unread = anyOfCall(all)
	r.check()
	order := map[plan.CallID]float64{}
	for _, d := range all {
		if _, has := order[d.call]; !has {
			order[d.call] = r.dice.Float64()
		}
	}
	slices.SortStableFunc(all, func(a, b delivery) int {
		return int(1e9 * (order[a.call] - order[b.call]))
	})
	for n, d := range all {
		d.do()
		r.core.unread = anyOfCall(all[n+1:])
		r.runActions()
		r.check()
	}
}

// anyOfCall reports whether any of the deliveries belongs to a call.
func anyOfCall(deliveries []delivery) bool {
	return slices.ContainsFunc(deliveries, func(d delivery) bool { return d.call != 0 })
}

func (r *run) watch() {
	r.core.watch(r.now)
	r.runActions()
}

// move makes the operators send SIGHUP.
func (r *run) move(n int) {
	r.notices.moved(r.now)
	for _, o := range r.open {
		o.undisturbed = false
	}
	r.connected, r.onlyOutage = false, false
	r.deliver(nil, func() {
		r.connected = false
		r.core.moved(fmt.Sprint("b", n), r.now)
		r.watch()
	})
}

// runActions executes the follower's decisions.
func (r *run) runActions() {
	for _, action := range r.core.actions() {
		switch a := action.(type) {
		case plan.MakeCall:
			r.call(a.Call)
		case plan.CancelCall:
			if o := r.open[a.ID]; o != nil {
				r.closeCall(o)
				r.core.callCanceled(o, r.now)
			}
		case plan.CloseIdleConns:
			r.connected = false
		case plan.EndWatch:
			r.after(r.randomUpTo(maxWatchDelay), func() { r.deliver(nil, r.watch) })
		}
	}
	at, ok := r.core.nextTick()
	if !ok || r.timer != 0 && r.timerAt == at {
		return
	}
	var event int
	event = r.at(at, func() {
		r.deliver(nil, func() {
			if event == r.timer {
				r.timer = 0
				r.core.tick(r.now)
			}
		})
	})
	r.timer, r.timerAt = event, at
}

// closeCall ends a call for the process.
func (r *run) closeCall(o *openCall) {
	o.waiting, o.closedAt = false, r.now
	delete(r.open, o.ID)
}

// readAnswer makes the process read a complete answer.
func (r *run) readAnswer(o *openCall) {
	if o.closed() {
		return
	}
	r.closeCall(o)
	r.core.answerBegun(r.now)
	r.core.listBegun(o, r.now)
	use, ok := r.core.answerReceived(o, o.version, o.whole, r.now)
	if !ok {
		return
	}
	r.runActions()
	if use {
		r.listChanges = o.changes
	}
	r.core.answerApplied(o, use, r.now)
	if use && o.undisturbed && r.now-o.begun <= confirmedWithin && !r.core.mayAct(r.now) {
		r.result.Confirmed = false
	}
}

// readPartialAnswer makes the process read the beginning of an answer that does not arrive complete.
func (r *run) readPartialAnswer(o *openCall) {
	if !o.closed() {
		r.core.answerBegun(r.now)
		r.core.listBegun(o, r.now)
		r.core.progress(o, r.now)
	}
}

func (r *run) refuse(o *openCall) {
	if !o.closed() {
		r.core.answerBegun(r.now)
		r.endCall(o, plan.TurnedAway)
	}
}

// endCall ends a call without a complete answer.
func (r *run) endCall(o *openCall, end plan.CallEnd) {
	if o.closed() {
		return
	}
	r.closeCall(o)
	r.notices.lastCallFailed = true
	if end == plan.NoAnswer || end == plan.CutOff || end == plan.TimedOut {
		r.connected = false
	}
	r.core.callEnded(o, end, r.now)
}
