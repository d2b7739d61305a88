package host

import (
	"context"
	"time"

	"brasswell/balance"
	"brasswell/internal/backends"
	"brasswell/internal/cluster/rules"
)

// attempt is one send of a request.
type attempt struct {
	instance *Instance
	request  *Request
	number   int
	to       backends.Endpoint
	sent     time.Duration
	from     time.Duration       // when the backend can have begun: sent, or when the request had all come
	begun    bool                // it was about to be written, so the backend may have it
	unrun    bool                // its outcome proves that it never ran
	asked    time.Duration       // when the agreed rules let it go
	ground   rules.DecisionBasis // what that rested on
	end      time.Duration       // when the proxy stops waiting
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	over     bool
	passing  bool // its answer is being passed on
}

// run carries an attempt out.
func (i *Instance) run(a *attempt) {
	if !a.mayDial() {
		i.end(a, balance.Ignored, nil) // never sent
		return
	}
	exchange := i.backends.Exchange
	if a.request.message.Offer != nil {
		exchange = i.backends.Upgrade
	}
	outcome, r := exchange(a.ctx, a.to, a.request.message, a)
	i.end(a, outcome, r)
}

// mayDial says whether an attempt is still wanted before a connection is looked for: it may have waited for a worker, and
// its request in the balancer's line before that.
func (a *attempt) mayDial() bool {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.closed && a.end > a.sent && i.wanted(a, i.now()) && i.awaited(a.request)
}

// wanted says whether an attempt may still be sent for all that is known here; mu is held. The list or a hand may have taken its server
// out since it was decided, or the servers that drop a repeat may have forgotten the first attempt.
func (i *Instance) wanted(a *attempt, now time.Duration) bool {
	return i.address[a.to.Server] == a.to && !a.request.answered && a.ctx.Err() == nil &&
		i.balancer.MayStart(now, a.request.id, a.number)
}

// heldUp is how long a look at the list and the decision by it take at most in a process that runs.
const heldUp = 100 * time.Millisecond

// Begin says how long an attempt that is about to be written may take, and whether it is still wanted. All news of the list that have come
// are taken in before; behind a hold-up there may be more.
func (a *attempt) Begin() (left time.Duration, wanted bool) {
	i := a.instance
	if i.list == nil {
		return a.decide()
	}
	for {
		looked := i.now()
		i.list.CatchUp(a.ctx)
		left, wanted = a.decide()
		if !wanted || i.now()-looked < heldUp {
			return left, wanted
		}
	}
}

// decide is Begin by what is known now.
func (a *attempt) decide() (time.Duration, bool) {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	left := a.end - now
	if a.request.arriving {
		left = a.end - a.sent
	}
	wanted := i.wanted(a, now) && left > 0 && i.awaited(a.request)
	if wanted && a.request.message.Offer != nil {
		wanted = i.channels.AllowUpgrade(a.to.Server)
	}
	if wanted && i.list != nil && !i.list.Fresh() {
		wanted = false // any of the servers may drain or be gone
		i.giveUp(a, i.listWait, byStaleList)
	}
	if wanted && i.gate != nil {
		wanted = i.allowed(a)
	}
	a.begun = wanted
	return left, wanted
}

// awaited says whether a request's caller still waits, and drops the request if not; mu is held. The caller's end of sending is read
// by a goroutine of net/http's, which may come later than the send: in a process that was stopped for seconds, requests stand
// in sockets whose callers are long gone, and have had their effect through another proxy. It asks the kernel and so holds
// for any cause of a late read. It harms who ends its sending and still waits, which Drop's callers forbid anyway.
func (i *Instance) awaited(q *Request) bool {
	if q.caller == nil || !q.caller.Gone() {
		return true
	}
	i.traceUnserved(q, Failed, byCaller)
	q.answer(Final{Verdict: Failed})
	i.balancer.ClientGone(i.now(), q.id)
	return false
}

// allowed asks the agreed rules right before an attempt's first byte: the process may have been paused since it was decided. What
// they forbid at any server is given up at once; mu is held.
func (i *Instance) allowed(a *attempt) bool {
	again, _ := a.others()
	var ruling rules.Decision
	ruling, a.ground = i.gate.Rule(a.to.Server, a.request.message.Class, again)
	a.asked = i.now()
	switch ruling {
	case rules.Allowed:
		return true
	case rules.Banned:
		return false // another server may do
	}
	i.giveUp(a, i.gateWait, byRules)
	return false
}

// others says whether another attempt of the same request may have run, and whether one is still out; mu is held.
func (a *attempt) others() (ran, out bool) {
	for _, b := range a.request.attempts {
		ran = ran || b != a && b.begun && !b.unrun
		out = out || b != a && b.begun && !b.over
	}
	return ran, out
}

// giveUp ends the request of an attempt that may be sent to no server, harmlessly if nothing of it may have run. One that is still out
// may serve it, and is waited for; mu is held.
func (i *Instance) giveUp(a *attempt, wait time.Duration, by unservedBy) {
	q := a.request
	ran, out := a.others()
	if out {
		return
	}
	f := Final{Verdict: Refused, RetryAfter: wait}
	if ran {
		f = Final{Verdict: Failed}
	}
	i.traceUnserved(q, f.Verdict, by)
	q.answer(f)
	i.balancer.ClientGone(i.now(), q.id)
}

// Started passes on an answer that streams, and says whether somebody takes it. From here on no time ends the attempt.
func (a *attempt) Started(r *backends.Reply) bool {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.ctx.Err() != nil || !a.request.answer(Final{Verdict: Served, Reply: r}) {
		return false
	}
	a.passing = true
	a.timer.Stop()
	i.balancer.ResponseStarted(i.now(), a.request.id, a.number)
	return true
}

// end tells the balancer how an attempt ended, and first answers the request if that served it.
func (i *Instance) end(a *attempt, outcome balance.Outcome, r *backends.Reply) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a.timer.Stop()
	a.cancel(nil)
	a.over, a.unrun = true, outcome.ProvesNotExecuted()
	q := a.request
	q.out--
	if outcome == balance.OK && r != nil && !q.answer(Final{Verdict: Served, Reply: r}) && r.Channel != nil {
		r.Channel.Conn.Close() // nobody takes it any more
	}
	now := i.now()
	latency := now - a.from
	if q.arriving {
		latency = 0 // the backend has not had the time to do anything
	}
	i.traceAttempt(a, outcome, now)
	stream := q.message.Body.Stream()
	i.balancer.Result(now, balance.Result{
		ID: q.id, Attempt: a.number, Outcome: outcome, Latency: latency, Finished: q.answered,
		BodyConsumed: stream != nil && stream.EndAttempt(),
	})
	i.tidy(q)
}

// mostIdle workers are kept waiting for an attempt.
const mostIdle = 64

// Send starts an attempt.
func (i *Instance) Send(id, server string, timeout time.Duration) {
	q := i.requests[id]
	now := i.now()
	a := &attempt{
		instance: i, request: q, number: len(q.attempts), to: i.address[server], sent: now, from: now, end: now + timeout,
	}
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	a.timer = time.AfterFunc(timeout, func() { i.expire(a) })
	if q.arriving {
		a.timer.Stop() // its time has not begun
	}
	q.attempts = append(q.attempts, a)
	q.out++
	select {
	case i.work <- a:
	default:
		i.running.Go(func() { i.worker(a) })
	}
}

// expire ends an attempt whose time is over, unless its answer is being passed on.
func (i *Instance) expire(a *attempt) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.now() < a.end || a.over || a.passing {
		return // Received has set its time anew meanwhile
	}
	a.cancel(backends.ErrTimedOut)
}

// worker carries an attempt out, and then others as they come. An attempt needs a stack that a new goroutine first
// has to grow, so a few workers wait for the next one.
func (i *Instance) worker(a *attempt) {
	for {
		i.run(a)
		if i.idle.Add(1) > mostIdle {
			i.idle.Add(-1)
			return
		}
		select {
		case a = <-i.work:
			i.idle.Add(-1)
		case <-i.ending:
			return
		}
	}
}

// Cancel stops waiting for an attempt.
func (i *Instance) Cancel(id string, attempt int) {
	if q := i.requests[id]; q != nil && attempt < len(q.attempts) {
		q.attempts[attempt].cancel(backends.ErrCanceled)
	}
}
