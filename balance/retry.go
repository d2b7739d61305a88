package balance

import (
	"slices"
	"time"
)

const (
	// retryRatio is how many requests may be sent again for each first attempt. Retries multiply from tier to
	// tier, so each instance has to earn them. retryBurst is the most that can be saved up.
	retryRatio, retryBurst = 0.1, 10.0
)

// mayHaveRun returns the first attempt that may have run, or nil.
func (q *request) mayHaveRun() *attempt { return firstRun(q.attempts) }

func firstRun(attempts []attempt) *attempt {
	for i := range attempts {
		if !attempts[i].notExecuted {
			return &attempts[i]
		}
	}
	return nil
}

// tried reports whether an attempt of the request was sent to s. What failed there may fail there again.
func (q *request) tried(s *server) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.server == s && !a.notSent })
}

// effectAllows reports whether the class's effect permits a further send to s, where first is the first
// attempt that may have run: there is no such attempt, or the class is idempotent, or s is in the scope that
// drops the repeat and still remembers it.
func (q *request) effectAllows(now time.Duration, first *attempt, s *server) bool {
	return first == nil || q.class.Effect == Idempotent ||
		!q.retryForbidden(now, first) && (q.class.DedupScope == DedupAll ||
			q.class.DedupScope == DedupZone && s.entry.Zone == first.server.entry.Zone ||
			q.class.DedupScope == DedupCell && s.entry.Cell == first.server.entry.Cell)
}

// retryForbidden reports whether no server may receive the request any more, where first is the first attempt
// that may have run.
func (q *request) retryForbidden(now time.Duration, first *attempt) bool {
	return first != nil && q.class.Effect != Idempotent &&
		(q.class.Effect == AtMostOnce || now >= first.sentAt+q.class.DedupWindow)
}

// MayStart reports whether an attempt may still be written. While its connection was being set up, its server
// may have been taken out, and the servers that drop a repeat may have forgotten the first attempt.
func (b *Balancer) MayStart(now time.Duration, id string, attempt int) bool {
	q := b.requests[id]
	if q == nil || q.finished || attempt < 0 || attempt >= len(q.attempts) {
		return false
	}
	s := q.attempts[attempt].server
	return s.usable() && q.effectAllows(now, firstRun(q.attempts[:attempt]), s)
}

// MayComplete reports whether the last byte of an attempt that is being written may still be sent. A server
// that drains or was taken out finishes what it has begun to receive.
func (b *Balancer) MayComplete(now time.Duration, id string, attempt int) bool {
	q := b.requests[id]
	return q != nil && !q.finished && attempt >= 0 && attempt < len(q.attempts) &&
		q.effectAllows(now, firstRun(q.attempts[:attempt]), q.attempts[attempt].server)
}

// RepeatDeadline returns when the servers that drop the repeat forget the first attempt of its request. The
// last byte of the repeat must have reached its server by then. ok is false if there is no such time.
func (b *Balancer) RepeatDeadline(id string, attempt int) (deadline time.Duration, ok bool) {
	q := b.requests[id]
	if q == nil || attempt < 0 || attempt >= len(q.attempts) || q.class.Effect != Deduplicated {
		return 0, false
	}
	first := firstRun(q.attempts[:attempt])
	if first == nil {
		return 0, false
	}
	return first.sentAt + q.class.DedupWindow, true
}

// refusable reports whether the client may be told that trying again is harmless.
func (q *request) refusable() bool {
	return q.mayHaveRun() == nil || q.class.Effect == Idempotent ||
		q.class.Effect == Deduplicated && q.class.DedupScope == DedupAll
}

// retryOrFinish follows an attempt that did not serve the request. It sends the request again if the class,
// the time and the retry budget allow that, and otherwise gives the final answer. An attempt that never ran
// was no work for its server, so its replacement needs no budget: requests that were refused for lack of
// budget came back as new requests.
func (b *Balancer) retryOrFinish(now time.Duration, q *request, notExecuted bool) {
	if !q.expired(now) && len(q.attempts) < b.settings.MaxAttempts && (notExecuted || b.retryBudget >= 1) {
		if s := b.pick(now, q); s != nil {
			if !notExecuted {
				b.retryBudget--
			}
			b.send(now, q, s)
			return
		}
	}
	b.finishUnserved(now, q)
}

// expired reports whether a request's time is over. The time of a request with a pending body has not
// started.
func (q *request) expired(now time.Duration) bool { return now >= q.deadline && !q.BodyPending }

// retryUnsent follows an attempt that was never sent because this instance lacked a resource, mostly sockets.
// That says nothing about the server and spends no retry. An immediate retry would only fail again.
func (b *Balancer) retryUnsent(now time.Duration, q *request) {
	if q.expired(now+dispatchInterval) || len(q.attempts) >= b.settings.MaxAttempts {
		b.finishUnserved(now, q)
		return
	}
	b.scheduleFor(q, dispatchInterval, func(now time.Duration) {
		if !q.finished {
			b.enqueue(q)
			b.dispatchQueued(now)
			b.scheduleDispatch()
		}
	})
}
