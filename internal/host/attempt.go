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
	instance   *Instance
	request    *Request
	number     int
	to         backends.Endpoint
	sent       time.Duration
	mayStartAt time.Duration // when the backend can have begun: sent, or when the request had all come
	dispatched bool          // it was about to be written, so the backend may have it
	neverRan   bool          // its outcome proves that it never ran
	checkedAt  time.Duration // when the agreed rules let it go
	basis      rules.Ground  // what that rested on
	deadline   time.Duration // when the proxy stops waiting
	ctx        context.Context
	cancel     context.CancelCauseFunc
	timer      *time.Timer
	ended      bool
	streaming  bool // its answer is being passed on
}

// run carries an attempt out.
func (i *Instance) run(a *attempt) {
	if !a.mayDial() {
		i.finish(a, balance.Ignored, nil) // never sent
		return
	}
	exchange := i.backends.Exchange
	if a.request.message.Offer != nil {
		exchange = i.backends.Upgrade
	}
	outcome, r := exchange(a.ctx, a.to, a.request.message, a)
	i.finish(a, outcome, r)
}

// mayDial says whether an attempt is still wanted before a connection is looked for: it may have waited for a worker, and
// its request in the balancer's line before that.
func (a *attempt) mayDial() bool {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.closed && a.deadline > a.sent && i.maySend(a, i.now()) && i.callerWaiting(a.request)
}

// wanted says whether an attempt may still be sent for all that is known here; mu is held. The list or a hand may have taken its server
// out since it was decided, or the servers that drop a repeat may have forgotten the first attempt.
func (i *Instance) maySend(a *attempt, now time.Duration) bool {
	return i.endpoints[a.to.Server] == a.to && !a.request.answered && a.ctx.Err() == nil &&
		i.balancer.MayBegin(now, a.request.id, a.number)
}

// heldUp is how long a look at the list and the decision by it take at most in a process that runs.
const stallThreshold = 100 * time.Millisecond

// Begin says how long an attempt that is about to be written may take, and whether it is still wanted. All news of the list that have come
// are taken in before; behind a hold-up there may be more.
func (a *attempt) Begin() (remaining time.Duration, wanted bool) {
	i := a.instance
	if i.serverList == nil {
		return a.checkSend()
	}
	for {
		checkStart := i.now()
		i.serverList.CatchUp(a.ctx)
		remaining, wanted = a.checkSend()
		if !wanted || i.now()-checkStart < stallThreshold {
			return remaining, wanted
		}
	}
}

// decide is Begin by what is known now.
func (a *attempt) checkSend() (time.Duration, bool) {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	remaining := a.deadline - now
	if a.request.receiving {
		remaining = a.deadline - a.sent
	}
	wanted := i.maySend(a, now) && remaining > 0 && i.callerWaiting(a.request)
	if wanted && a.request.message.Offer != nil {
		wanted = i.channels.MayOpen(a.to.Server)
	}
	if wanted && i.serverList != nil && !i.serverList.Fresh() {
		wanted = false // any of the servers may drain or be gone
		i.abandon(a, i.listRetryAfter, causeStaleList)
	}
	if wanted && i.agreedRules != nil {
		wanted = i.allowedByRules(a)
	}
	a.dispatched = wanted
	return remaining, wanted
}

// awaited says whether a request's caller still waits, and drops the request if not; mu is held. The caller's end of sending is read
// by a goroutine of net/http's, which may come later than the send: in a process that was stopped for seconds, requests stand
// in sockets whose callers are long gone, and have had their effect through another proxy. It asks the kernel and so holds
// for any cause of a late read. It harms who ends its sending and still waits, which Drop's callers forbid anyway.
func (i *Instance) callerWaiting(q *Request) bool {
	if q.caller == nil || !q.caller.Gone() {
		return true
	}
	i.traceUnserved(q, Failed, causeCallerGone)
	q.answer(Final{Verdict: Failed})
	i.balancer.Dropped(i.now(), q.id)
	return false
}

// allowed asks the agreed rules right before an attempt's first byte: the process may have been paused since it was decided. What
// they forbid at any server is given up at once; mu is held.
func (i *Instance) allowedByRules(a *attempt) bool {
	repeat, _ := a.otherAttempts()
	var decision rules.Ruling
	decision, a.basis = i.agreedRules.Rule(a.to.Server, a.request.message.Class, repeat)
	a.checkedAt = i.now()
	switch decision {
	case rules.Allowed:
		return true
	case rules.Banned:
		return false // another server may do
	}
	i.abandon(a, i.rulesRetryAfter, causeAgreedRules)
	return false
}

// others says whether another attempt of the same request may have run, and whether one is still out; mu is held.
func (a *attempt) otherAttempts() (mayHaveRun, outstanding bool) {
	for _, b := range a.request.attempts {
		mayHaveRun = mayHaveRun || b != a && b.dispatched && !b.neverRan
		outstanding = outstanding || b != a && b.dispatched && !b.ended
	}
	return mayHaveRun, outstanding
}

// giveUp ends the request of an attempt that may be sent to no server, harmlessly if nothing of it may have run. One that is still out
// may serve it, and is waited for; mu is held.
func (i *Instance) abandon(a *attempt, retryAfter time.Duration, cause unservedCause) {
	q := a.request
	ran, out := a.otherAttempts()
	if out {
		return
	}
	f := Final{Verdict: Refused, RetryAfter: retryAfter}
	if ran {
		f = Final{Verdict: Failed}
	}
	i.traceUnserved(q, f.Verdict, cause)
	q.answer(f)
	i.balancer.Dropped(i.now(), q.id)
}

// Started passes on an answer that streams, and says whether somebody takes it. From here on no time ends the attempt.
func (a *attempt) Started(r *backends.Reply) bool {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.ctx.Err() != nil || !a.request.answer(Final{Verdict: Served, Reply: r}) {
		return false
	}
	a.streaming = true
	a.timer.Stop()
	i.balancer.Started(i.now(), a.request.id, a.number)
	return true
}

// end tells the balancer how an attempt ended, and first answers the request if that served it.
func (i *Instance) finish(a *attempt, outcome balance.Outcome, r *backends.Reply) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a.timer.Stop()
	a.cancel(nil)
	a.ended, a.neverRan = true, outcome.ProvesUnrun()
	q := a.request
	q.outstanding--
	if outcome == balance.OK && r != nil && !q.answer(Final{Verdict: Served, Reply: r}) && r.Channel != nil {
		r.Channel.Conn.Close() // nobody takes it any more
	}
	now := i.now()
	latency := now - a.mayStartAt
	if q.receiving {
		latency = 0 // the backend has not had the time to do anything
	}
	i.traceAttempt(a, outcome, now)
	stream := q.message.Body.Stream()
	i.balancer.Result(now, balance.Result{
		ID: q.id, Attempt: a.number, Outcome: outcome, Latency: latency, Finished: q.answered,
		Spent: stream != nil && stream.EndAttempt(),
	})
	i.removeIfDone(q)
}

// mostIdle workers are kept waiting for an attempt.
const maxIdleWorkers = 64

// Send starts an attempt.
func (i *Instance) Send(id, server string, timeout time.Duration) {
	q := i.requests[id]
	now := i.now()
	a := &attempt{
		instance: i, request: q, number: len(q.attempts), to: i.endpoints[server], sent: now, mayStartAt: now, deadline: now + timeout,
	}
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	a.timer = time.AfterFunc(timeout, func() { i.expire(a) })
	if q.receiving {
		a.timer.Stop() // its time has not begun
	}
	q.attempts = append(q.attempts, a)
	q.outstanding++
	select {
	case i.work <- a:
	default:
		i.workers.Go(func() { i.worker(a) })
	}
}

// expire ends an attempt whose time is over, unless its answer is being passed on.
func (i *Instance) expire(a *attempt) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.now() < a.deadline || a.ended || a.streaming {
		return // Received has set its time anew meanwhile
	}
	a.cancel(backends.ErrTimedOut)
}

// worker carries an attempt out, and then others as they come. An attempt needs a stack that a new goroutine first
// has to grow, so a few workers wait for the next one.
func (i *Instance) worker(a *attempt) {
	for {
		i.run(a)
		if i.idleWorkers.Add(1) > maxIdleWorkers {
			i.idleWorkers.Add(-1)
			return
		}
		select {
		case a = <-i.work:
			i.idleWorkers.Add(-1)
		case <-i.stopping:
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
