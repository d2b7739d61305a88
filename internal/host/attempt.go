package host

import (
	"context"
	"math"
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
	mayStartAt time.Duration       // when the backend can have started: sent, or when the whole body had arrived
	dispatched bool                // writing was allowed, so the backend may have received it
	neverRan   bool                // the outcome proves that it never ran
	checkedAt  time.Duration       // when the agreed rules were last checked for it
	basis      rules.DecisionBasis // the basis of that check
	deadline   time.Duration       // when the proxy stops waiting
	ctx        context.Context
	cancel     context.CancelCauseFunc
	timer      *time.Timer
	ended      bool
	streaming  bool // its answer is being streamed to the caller
	givenUp    bool // another attempt has been sent in its place
}

// run executes an attempt.
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

// mayDial reports whether a connection for an attempt is still needed. It may have waited for a worker, and its request
// may have waited in the balancer's queue before that.
func (a *attempt) mayDial() bool {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.closed && a.deadline > a.sent && i.maySend(a, i.now()) && i.callerWaiting(a.request)
}

// maySend reports whether an attempt may still be sent, as far as this instance knows; mu is held. Since the attempt was
// decided on, the server list or the operator may have taken its server out, or the servers that drop repeats may have
// forgotten the first attempt.
func (i *Instance) maySend(a *attempt, now time.Duration) bool {
	return i.endpoints[a.to.Server] == a.to && !a.request.answered && a.ctx.Err() == nil &&
		i.balancer.MayStart(now, a.request.id, a.number)
}

// stallThreshold bounds how long catching up with the server list and deciding by it take in a process that is not
// stalled.
const stallThreshold = 100 * time.Millisecond

// Begin returns whether an attempt that is about to be written may still be sent, and the time that remains for it. All
// updates of the server list that have arrived are applied first. If that took longer than stallThreshold, the process
// may have been stalled and more updates may have arrived, so they are applied and the check is made again.
func (a *attempt) Begin() backends.Permit {
	i := a.instance
	if i.serverList == nil {
		return a.checkSend()
	}
	for {
		checkStart := i.now()
		i.serverList.CatchUp(a.ctx)
		permit := a.checkSend()
		if !permit.Wanted || i.now()-checkStart < stallThreshold {
			return permit
		}
	}
}

// Complete returns whether the last byte of an attempt whose other bytes are written may still be sent. Its server is not
// checked: a drain or a ban forbids only what is new to a server, and a send counts from its first byte. A server whose
// answer is being streamed gets the rest of its request.
func (a *attempt) Complete() backends.Permit {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.streaming {
		return backends.Permit{Wanted: !i.closed && a.ctx.Err() == nil, Remaining: noDeadline}
	}
	now := i.now()
	p := a.permit(now)
	p.Wanted = !i.closed && !a.request.answered && a.ctx.Err() == nil && p.Remaining > 0 &&
		i.balancer.MayComplete(now, a.request.id, a.number) && i.callerWaiting(a.request)
	return p
}

// noDeadline is the remaining time of an attempt that has no deadline.
const noDeadline = time.Duration(math.MaxInt64)

// maxWriteShare is the share of a request's remaining time that may be set aside for writing the request.
const maxWriteShare = 0.5

// permit returns the times of an attempt's permit; mu is held. The time that servers needed to take the request before
// is not announced to the next server: its time starts with the last byte.
func (a *attempt) permit(now time.Duration) backends.Permit {
	p := backends.Permit{Remaining: a.deadline - now, Receiving: a.request.receiving}
	if p.Receiving {
		p.Remaining = a.deadline - a.sent
	}
	p.Announce = p.Remaining - min(a.request.writeWait, time.Duration(maxWriteShare*float64(p.Remaining)))
	if deadline, ok := a.instance.balancer.RepeatDeadline(a.request.id, a.number); ok {
		p.Limited, p.CompleteWithin = true, deadline-now
	}
	return p
}

// Written records how long a server took to take the request.
func (a *attempt) Written(wait time.Duration) {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	a.request.writeWait = max(a.request.writeWait, wait)
}

// checkSend makes the checks of Begin by what has been applied so far.
func (a *attempt) checkSend() backends.Permit {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	p := a.permit(now)
	wanted := i.maySend(a, now) && p.Remaining > 0 && i.callerWaiting(a.request)
	if wanted && a.request.message.Offer != nil {
		wanted = i.channels.AllowUpgrade(a.to.Server)
	}
	if wanted && i.serverList != nil && !i.serverList.Fresh() {
		wanted = false // any server may be draining or gone
		i.abandon(a, i.listRetryAfter, causeStaleList)
	}
	if wanted && i.agreedRules != nil {
		wanted = i.allowedByRules(a)
	}
	a.dispatched, p.Wanted = wanted, wanted
	return p
}

// callerWaiting reports whether a request's caller still waits, and drops the request if not; mu is held. The end of
// the caller's sending is read by a goroutine of net/http, possibly after the attempt is sent. In a process that was
// stopped for seconds, sockets hold requests whose callers left long ago and whose effect another proxy has already
// caused. Asking the kernel detects this whatever delayed the read. A caller that closes its sending side but still
// waits is treated as gone, which the callers of Drop do anyway.
func (i *Instance) callerWaiting(q *Request) bool {
	if q.caller == nil || !q.caller.Gone() {
		return true
	}
	i.traceUnserved(q, Failed, causeCallerGone)
	q.answer(Final{Outcome: Failed})
	i.balancer.ClientGone(i.now(), q.id)
	return false
}

// allowedByRules checks the agreed rules right before an attempt's first byte is written, because the process may have
// been paused since the attempt was decided on. If the rules forbid sending to any server, the request is abandoned at
// once; mu is held.
func (i *Instance) allowedByRules(a *attempt) bool {
	repeat, _ := a.otherAttempts()
	var decision rules.Decision
	decision, a.basis = i.agreedRules.Decide(a.to.Server, a.request.message.Class, repeat)
	a.checkedAt = i.now()
	switch decision {
	case rules.Allowed:
		return true
	case rules.Banned:
		return false // another server may be allowed
	}
	i.abandon(a, i.rulesRetryAfter, causeAgreedRules)
	return false
}

// otherAttempts reports whether another attempt of the same request may have run, and whether one is outstanding; mu is
// held.
func (a *attempt) otherAttempts() (mayHaveRun, outstanding bool) {
	for _, b := range a.request.attempts {
		mayHaveRun = mayHaveRun || b != a && b.dispatched && !b.neverRan
		outstanding = outstanding || b != a && b.dispatched && !b.ended
	}
	return mayHaveRun, outstanding
}

// abandon ends the request of an attempt that must not be sent to any server. The request is refused, which makes a
// retry harmless, if no attempt of it may have run, and failed otherwise. If another attempt is outstanding, it may
// still serve the request and is waited for; mu is held.
func (i *Instance) abandon(a *attempt, retryAfter time.Duration, cause unservedCause) {
	q := a.request
	mayHaveRun, outstanding := a.otherAttempts()
	if outstanding {
		return
	}
	f := Final{Outcome: Refused, RetryAfter: retryAfter}
	if mayHaveRun {
		f = Final{Outcome: Failed}
	}
	i.traceUnserved(q, f.Outcome, cause)
	q.answer(f)
	i.balancer.ClientGone(i.now(), q.id)
}

// Started passes on a streaming answer and reports whether the request still takes it. From then on the attempt has no
// deadline.
func (a *attempt) Started(r *backends.Reply) bool {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.givenUp || a.ctx.Err() != nil || !a.request.answer(Final{Outcome: Served, Reply: r}) {
		return false
	}
	a.streaming = true
	a.timer.Stop()
	i.balancer.ResponseStarted(i.now(), a.request.id, a.number)
	return true
}

// Slow asks the balancer what to do with an answer that is slow, and extends the attempt's deadline if the balancer does.
func (a *attempt) Slow(s balance.SlowAnswer) balance.SlowDecision {
	i := a.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || a.ended || a.givenUp || a.ctx.Err() != nil {
		return balance.SlowDecision{}
	}
	s.ID, s.Attempt = a.request.id, a.number
	now := i.now()
	d := i.balancer.DecideSlowAnswer(now, s)
	a.givenUp = d.Action == balance.GiveUp
	if d.Deadline > a.deadline && !a.request.receiving {
		a.deadline = d.Deadline
		a.timer.Reset(d.Deadline - now)
	}
	i.traceSlowAnswer(a, s, d, now)
	return d
}

// finish answers the request if the attempt served it, then reports the attempt's outcome to the balancer.
func (i *Instance) finish(a *attempt, outcome balance.Outcome, r *backends.Reply) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a.timer.Stop()
	a.cancel(nil)
	a.ended, a.neverRan = true, outcome.ProvesNotExecuted()
	q := a.request
	q.outstanding--
	if outcome == balance.OK && r != nil && !q.answer(Final{Outcome: Served, Reply: r}) {
		r.Discard() // the request has been answered already
	}
	now := i.now()
	latency := now - a.mayStartAt
	if q.receiving {
		latency = 0 // the backend cannot have started on an incomplete request
	}
	i.traceAttempt(a, outcome, now)
	stream := q.message.Body.Stream()
	i.balancer.Result(now, balance.Result{
		ID: q.id, Attempt: a.number, Outcome: outcome, Latency: latency, Finished: q.answered,
		BodyConsumed: stream != nil && stream.EndAttempt(),
	})
	i.removeIfDone(q)
}

// maxIdleWorkers is the number of workers that are kept waiting for an attempt.
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
		a.timer.Stop() // the timeout counts from Received
	}
	q.attempts = append(q.attempts, a)
	q.outstanding++
	select {
	case i.work <- a:
	default:
		i.workers.Go(func() { i.worker(a) })
	}
}

// expire cancels an attempt whose deadline has passed, unless its answer is being streamed.
func (i *Instance) expire(a *attempt) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.now() < a.deadline || a.ended || a.streaming {
		return // Received may have moved the deadline
	}
	a.cancel(backends.ErrTimedOut)
}

// worker runs an attempt, and then others as they come. An attempt needs a deep stack, which a new goroutine first has to
// grow, so up to maxIdleWorkers workers wait for the next attempt.
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

// Cancel cancels an attempt.
func (i *Instance) Cancel(id string, attempt int) {
	if q := i.requests[id]; q != nil && attempt < len(q.attempts) {
		q.attempts[attempt].cancel(backends.ErrCanceled)
	}
}
