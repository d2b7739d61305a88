package balance

import (
	"slices"
	"time"
)

const (
	// retryRatio is how much of the first attempts' number may be sent again: retries multiply from tier
	// to tier, so each instance earns them. retryBurst is the most that can be saved up.
	retryRatio, retryBurst = 0.1, 10.0
)

// mayHaveRun is the first attempt that may have run, or nil.
func (q *request) mayHaveRun() *attempt { return firstRun(q.attempts) }

func firstRun(attempts []attempt) *attempt {
	for i := range attempts {
		if !attempts[i].unrun {
			return &attempts[i]
		}
	}
	return nil
}

// tried says whether an attempt of the request has gone to s: what went wrong there may do so again.
func (q *request) tried(s *server) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.s == s && !a.unsent })
}

// allows keeps the rule on effects for a further send, where first may have run: it may go to s only if none
// may have, or the class is free, or s is in the group that drops the repeat and still remembers it.
func (q *request) allows(now time.Duration, first *attempt, s *server) bool {
	return first == nil || q.class.Effect == Idempotent || !q.barred(now, first) && (q.class.DedupScope == DedupAll ||
		q.class.DedupScope == DedupZone && s.entry.Zone == first.s.entry.Zone ||
		q.class.DedupScope == DedupCell && s.entry.Cell == first.s.entry.Cell)
}

// barred says whether no server may get the request any more, where first may have run.
func (q *request) barred(now time.Duration, first *attempt) bool {
	return first != nil && q.class.Effect != Idempotent &&
		(q.class.Effect == AtMostOnce || now >= first.at+q.class.DedupWindow)
}

// MayBegin says whether an attempt may still be written. While its connection came up, its server may have
// been taken out, and the group that drops a repeat may have forgotten the first.
func (b *Balancer) MayStart(now time.Duration, id string, attempt int) bool {
	q := b.requests[id]
	if q == nil || q.answered || attempt < 0 || attempt >= len(q.attempts) {
		return false
	}
	s := q.attempts[attempt].s
	return s.usable() && q.allows(now, firstRun(q.attempts[:attempt]), s)
}

// refusable says whether the client may be told that trying again is harmless.
func (q *request) refusable() bool {
	return q.mayHaveRun() == nil || q.class.Effect == Idempotent ||
		q.class.Effect == Deduplicated && q.class.DedupScope == DedupAll
}

// tryAgain follows an attempt that did not serve the request: another send where the class, the time and the
// retry budget allow it, or else the final answer. An attempt that never ran was no work for its server, so
// the one in its place needs no budget: refused for want of one, it came back as a new request.
func (b *Balancer) tryAgain(now time.Duration, q *request, unrun bool) {
	if !q.late(now) && len(q.attempts) < b.set.MaxAttempts && (unrun || b.retries >= 1) {
		if s := b.pick(now, q); s != nil {
			if !unrun {
				b.retries--
			}
			b.send(now, q, s)
			return
		}
	}
	b.answer(now, q)
}

// late says whether a request's time is over; that of one which is still arriving has not begun.
func (q *request) late(now time.Duration) bool { return now >= q.end && !q.BodyPending }

// tryLater follows an attempt that was never sent because this instance was short of something, sockets
// mostly. It says nothing about the server and spends no retry; at once it would only fail again.
func (b *Balancer) tryLater(now time.Duration, q *request) {
	if q.late(now+holdStep) || len(q.attempts) >= b.set.MaxAttempts {
		b.answer(now, q)
		return
	}
	b.afterFor(q, holdStep, func(now time.Duration) {
		if !q.answered {
			b.hold(q)
			b.retryHeld(now)
			b.keepHolding()
		}
	})
}
