package host

import (
	"slices"
	"strconv"
	"time"

	"brasswell/balance"
	"brasswell/internal/backends"
)

// Outcome is the kind of a request's final answer.
type Outcome int

// The outcomes.
const (
	Failed  Outcome = iota // the request may have had an effect
	Refused                // trying again is harmless
	Served
)

// Final is the single final answer to a request.
type Final struct {
	Outcome    Outcome
	Reply      *backends.Reply // set for a served request
	RetryAfter time.Duration   // the delay after which a refused caller is asked to retry; 0 gives no advice
}

// Request is one request from its submission until it is answered and its last attempt has ended. It does not outlive its
// deadline: attempts time out by then, and the balancer answers a request that is still open.
type Request struct {
	id          string
	message     *backends.Message
	caller      Caller // nil if the caller's connection is not tracked
	attempts    []*attempt
	outstanding int
	writeWait   time.Duration // the longest time in which a server has taken the request
	answered    bool
	submittedAt time.Duration
	receiving   bool       // its body is still arriving
	final       chan Final // receives exactly one value and has room for it
}

// Submit passes a request to the balancer. remaining is the time until the caller gives up. It counts from this call,
// when the last byte of the request has been read, or from Received if the body is a stream that is still being read.
// localBudget, if above 0, is the time in which this process must finish the request. The instance assigns its own IDs,
// because callers may reuse theirs and the balancer treats a request with a known ID as one that it already has. caller
// may be nil.
func (i *Instance) Submit(caller Caller, m *backends.Message, class, tenant int, remaining, localBudget time.Duration) *Request {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastID++
	q := &Request{id: strconv.FormatUint(i.lastID, 36), message: m, caller: caller, final: make(chan Final, 1)}
	if i.closed {
		q.answer(Final{Outcome: Failed})
		return q
	}
	if i.admissionGate != nil {
		if admitted, retryAfter := i.admissionGate.Admit(class); !admitted {
			i.traceUnserved(q, Refused, causeAdmissionGate)
			q.answer(Final{Outcome: Refused, RetryAfter: retryAfter})
			return q
		}
	}
	if i.agreedRules != nil && !i.agreedRules.Open(class) {
		i.traceUnserved(q, Refused, causeAgreedRules)
		q.answer(Final{Outcome: Refused, RetryAfter: i.rulesRetryAfter})
		return q
	}
	if i.serverList != nil && !i.serverList.Fresh() {
		i.traceUnserved(q, Refused, causeStaleList)
		q.answer(Final{Outcome: Refused, RetryAfter: i.listRetryAfter})
		return q
	}
	i.requests[q.id] = q
	q.receiving = m.Body.Stream() != nil
	q.submittedAt = i.now()
	i.balancer.Submit(q.submittedAt, balance.Request{
		ID: q.id, Class: class, Tenant: tenant, Remaining: remaining, LocalBudget: localBudget, BodyPending: q.receiving,
	})
	i.removeIfDone(q)
	return q
}

// Received reports that the last byte of a request's streamed body has been read, and how long ago it arrived. It stands
// in the socket's buffer while the attempt's server takes no more bytes.
func (i *Instance) Received(q *Request, age time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !q.receiving || i.closed {
		return
	}
	q.receiving = false
	now := i.now()
	arrivedAt := max(now-age, q.submittedAt)
	for _, a := range q.attempts {
		if a.ended {
			continue
		}
		a.mayStartAt, a.deadline = now, arrivedAt+a.deadline-a.sent
		a.timer.Reset(max(a.deadline-now, 0))
	}
	i.balancer.BodyReceived(now, q.id, arrivedAt)
	i.removeIfDone(q)
}

// Drop reports that a request's caller has gone. Callers give a request up by closing the connection or their sending
// side of it. The balancer then cancels the request's outstanding attempts.
func (i *Instance) Drop(q *Request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if q.answered {
		return
	}
	q.answer(Final{Outcome: Failed})
	i.balancer.ClientGone(i.now(), q.id)
	i.removeIfDone(q)
}

// MayHaveRun reports whether an attempt of a request may have run at a backend, or may still run.
func (i *Instance) MayHaveRun(q *Request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.dispatched && !a.neverRan })
}

// answer sets a request's final answer and reports whether it did. Only the first call has an effect.
func (q *Request) answer(f Final) bool {
	if q.answered {
		return false
	}
	q.answered = true
	q.final <- f
	return true
}

// removeIfDone removes a request that is answered and has no outstanding attempt.
func (i *Instance) removeIfDone(q *Request) {
	if q.answered && q.outstanding == 0 {
		delete(i.requests, q.id)
		q.message.Body.Release()
	}
}

// Refuse gives a request a final answer that lets its caller try again without harm.
func (i *Instance) Refuse(id string, wait time.Duration) {
	i.answerByID(id, Final{Outcome: Refused, RetryAfter: wait})
}

// Fail gives a request a final answer without promising that a retry is harmless.
func (i *Instance) Fail(id string) { i.answerByID(id, Final{Outcome: Failed}) }

func (i *Instance) answerByID(id string, f Final) {
	if q := i.requests[id]; q != nil {
		i.traceUnserved(q, f.Outcome, causeBalancer)
		q.answer(f)
		i.removeIfDone(q) // if a timer caused the answer, no later event removes the request
	}
}

// Final returns the channel on which the single final answer is sent, at the latest when the request's time is over.
func (q *Request) Final() <-chan Final { return q.final }
