package host

import (
	"strconv"
	"time"

	"brasswell/balance"
	"brasswell/internal/backends"
)

// Verdict is how a request is answered.
type Verdict int

// The verdicts.
const (
	Failed Verdict = iota
	Refused
	Served
)

// Final is the one answer that a request gets.
type Final struct {
	Verdict    Verdict
	Reply      *backends.Reply // of a served request
	RetryAfter time.Duration   // for how long a refused caller is asked to stay away; 0 for no advice
}

// Request is one request from its submission until it is answered and its last attempt has ended. Its life is
// bounded by its deadline: attempts time out by then, and the balancer answers what is left.
type Request struct {
	id       string
	message  *backends.Message
	caller   Caller // nil where nothing can be known of it
	attempts []*attempt
	out      int
	answered bool
	arriving bool       // its body still comes in
	final    chan Final // takes exactly one, without blocking
}

// Submit hands a request to the balancer. Its clock starts here, when its last byte has been read, or with Received
// if its body is a stream, which the caller fills. It has to be over within so much time, where that is above 0. The ids
// are our own: callers may use theirs again, and the balancer takes a known id for one it already has. caller may be nil.
func (i *Instance) Submit(caller Caller, m *backends.Message, class, tenant int, left, within time.Duration) *Request {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastID++
	q := &Request{id: strconv.FormatUint(i.lastID, 36), message: m, caller: caller, final: make(chan Final, 1)}
	if i.closed {
		q.answer(Final{Verdict: Failed})
		return q
	}
	if i.door != nil {
		if in, wait := i.door.Admit(class); !in {
			i.traceUnserved(q, Refused, byDoor)
			q.answer(Final{Verdict: Refused, RetryAfter: wait})
			return q
		}
	}
	if i.gate != nil && !i.gate.Open(class) {
		i.traceUnserved(q, Refused, byRules)
		q.answer(Final{Verdict: Refused, RetryAfter: i.gateWait})
		return q
	}
	if i.list != nil && !i.list.Fresh() {
		i.traceUnserved(q, Refused, byStaleList)
		q.answer(Final{Verdict: Refused, RetryAfter: i.listWait})
		return q
	}
	i.requests[q.id] = q
	q.arriving = m.Body.Stream() != nil
	i.balancer.Submit(i.now(), balance.Request{
		ID: q.id, Class: class, Tenant: tenant, Remaining: left, LocalBudget: within, BodyPending: q.arriving,
	})
	i.tidy(q)
	return q
}

// Received says that the last byte of a request's streamed body has come.
func (i *Instance) Received(q *Request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !q.arriving || i.closed {
		return
	}
	q.arriving = false
	now := i.now()
	for _, a := range q.attempts {
		if a.over {
			continue
		}
		left := a.end - a.sent
		a.from, a.end = now, now+left
		a.timer.Reset(left)
	}
	i.balancer.BodyReceived(now, q.id)
	i.tidy(q)
}

// Drop tells the balancer that a request's caller has gone: callers give a request up by closing the connection
// or ending their sending on it. What is still out for it is called off.
func (i *Instance) Drop(q *Request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if q.answered {
		return
	}
	q.answer(Final{Verdict: Failed})
	i.balancer.ClientGone(i.now(), q.id)
	i.tidy(q)
}

// answer decides a request's final answer; the first one stands.
func (q *Request) answer(f Final) bool {
	if q.answered {
		return false
	}
	q.answered = true
	q.final <- f
	return true
}

// tidy forgets a request that is over.
func (i *Instance) tidy(q *Request) {
	if q.answered && q.out == 0 {
		delete(i.requests, q.id)
		q.message.Body.Release()
	}
}

// Refuse answers a request so that trying again is harmless.
func (i *Instance) Refuse(id string, wait time.Duration) {
	i.decide(id, Final{Verdict: Refused, RetryAfter: wait})
}

// Fail answers a request without a promise.
func (i *Instance) Fail(id string) { i.decide(id, Final{Verdict: Failed}) }

func (i *Instance) decide(id string, f Final) {
	if q := i.requests[id]; q != nil {
		i.traceUnserved(q, f.Verdict, byBalancer)
		q.answer(f)
		i.tidy(q) // a timer may have decided it, and nothing else comes for it then
	}
}

// Final takes exactly one final answer; it never stays empty past the request's time.
func (q *Request) Final() <-chan Final { return q.final }
