package balance

import (
	"slices"
	"time"
)

const (
	// retryRatio is how many requests may be sent again for each first attempt. Retries multiply from tier to
	// tier, so each instance has to earn them. retryBurst is the most that can be saved up.
	retryRatio, retryBurst = 0.1, 10.0
	// passOnMargin is how long before a request's deadline the beginning of its answer is passed on, so that
	// it reaches the client in time, but at most maxMarginShare of its attempt's time.
	passOnMargin, maxMarginShare = 50 * time.Millisecond, 0.5
	// pendingBodyInterval is how often a slow answer is decided on while its request still arrives, and so
	// has no deadline yet.
	pendingBodyInterval = 100 * time.Millisecond
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

// retryOrFinish follows an attempt that did not serve the request in time. It sends the request again if the
// class and the retry budget allow that, and otherwise gives the final answer. An attempt that never ran
// was no work for its server, so its replacement needs no budget: requests that were refused for lack of
// budget came back as new requests.
func (b *Balancer) retryOrFinish(now time.Duration, q *request, notExecuted bool) {
	if len(q.attempts) < b.settings.MaxAttempts && (notExecuted || b.retryBudget >= 1) {
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

// DecideSlowAnswer decides about an answer that is slow. An attempt is given up only if it stalls and another
// one, which is sent with that, may still bring a whole answer in time. Otherwise nothing better is to be had
// than what is arriving: it is passed on if that is possible, and waited for until the client's own deadline
// if not. The client's deadline applies to the first bytes only, so at that deadline the head alone is passed
// on.
func (b *Balancer) DecideSlowAnswer(now time.Duration, a SlowAnswer) SlowDecision {
	q := b.requests[a.ID]
	if q == nil || q.finished || q.streaming || a.Attempt < 0 || a.Attempt >= len(q.attempts) {
		return SlowDecision{}
	}
	sentAt := q.attempts[a.Attempt].sentAt
	if a.Stalled && !a.Committed && b.replace(now, q, now-sentAt) {
		return SlowDecision{Action: GiveUp, Deadline: q.deadline}
	}
	due := !q.BodyPending && now >= q.passOnAt(sentAt)
	if a.Passable && (a.Stalled || due) {
		return SlowDecision{Action: PassOn, Deadline: q.deadline}
	}
	if due && q.clientDeadline > q.deadline {
		q.deadline = q.clientDeadline
		b.scheduleFor(q, q.deadline-now, func(now time.Duration) { b.expire(now, q) })
		due = now >= q.passOnAt(sentAt)
	}
	if a.HeadPassable && due {
		return SlowDecision{Action: PassOn, Deadline: q.deadline}
	}
	d := SlowDecision{Deadline: q.deadline, AskAgain: max(q.passOnAt(sentAt)-now, 0)}
	if q.BodyPending {
		d.AskAgain = pendingBodyInterval
	}
	return d
}

// passOnAt returns when the beginning of the answer to an attempt is passed on at the latest.
func (q *request) passOnAt(sentAt time.Duration) time.Duration {
	return q.deadline - min(passOnMargin, time.Duration(maxMarginShare*float64(q.deadline-sentAt)))
}

// replace sends another attempt of a request in place of its only outstanding one, which has taken the given
// time, if that is allowed and the other one can be expected to be answered in time. It must be left as much
// time as the first one has had: an answer that is slow at one server may be slow at any.
func (b *Balancer) replace(now time.Duration, q *request, took time.Duration) bool {
	if q.BodyPending || q.bodyConsumed || q.outstanding > 1 {
		return false
	}
	if len(q.attempts) >= b.settings.MaxAttempts || b.retryBudget < 1 {
		return false
	}
	if now+max(took, b.expectedTime(q.Class)) > q.deadline {
		return false
	}
	s := b.pick(now, q)
	if s == nil {
		return false
	}
	b.retryBudget--
	b.send(now, q, s)
	return true
}

// expectedTime returns how long nearly all attempts of a class take, or their mean if that is not known; 0 if
// none has been answered.
func (b *Balancer) expectedTime(class int) time.Duration {
	seconds := float64(b.mean[class])
	if t := b.tail[class]; t.known() {
		seconds = float64(t.Quantile)
	}
	return time.Duration(seconds * float64(time.Second))
}
