// Package balance makes a load balancer's decisions for services that call services.
//
// This file handles events and the life cycle of a request. types.go defines the interface: settings, events
// and actions. The other files make one kind of decision each: which servers exist (list, hand), this
// instance's subset of them (subset), which of them are skipped (pick, health, room, cold), which requests
// are admitted (admission, quota) and what is sent again (retry).
package balance

import (
	"math/rand/v2"
	"time"

	"brasswell/internal/estimate"
	"brasswell/internal/recent"
)

// attempt is one send of a request.
type attempt struct {
	server      *server
	sentAt      time.Duration
	ended       bool
	canceled    bool
	notExecuted bool // proven never to have run
	notSent     bool // never sent because this instance lacked a resource
	counted     bool // has been counted as work of its server
	recorded    bool // its outcome, or the start of its answer, is recorded
}

// request is an accepted request. It is kept until its last attempt has ended.
type request struct {
	Request
	class    *Class
	deadline time.Duration // when the final answer is due
	// clientDeadline is when the client stops waiting. deadline may be earlier, if a later answer
	// earns nothing.
	clientDeadline time.Duration
	attempts       []attempt
	outstanding    int
	finished       bool
	streaming      bool // its answer is being streamed to the client
	bodyConsumed   bool // its body is no longer complete here
	submittedAt    time.Duration
	queued         bool
	value          float64
	timers         []uint64  // set for this request only
	timerBuffer    [4]uint64 // backs timers; large enough for most requests
}

// Balancer makes the decisions of one instance. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	host     Host
	rng      *rand.PCG

	servers      map[string]*server
	banned       map[string]bool // IDs taken out by the operator, listed or not
	seenIDs      *recent.Set     // IDs that a list has contained
	slots        []*server       // the list that is shuffled: sorted by ID, positions kept by keepSlots
	order        []*server       // the round's shuffle, rotated so that the own slice is first
	sliceSize    int             // length of the own slice in order
	panicMode    bool            // the panic threshold is reached
	active       []*server       // the slice, with a spare for each lost member
	excludedBusy []*server       // excluded servers with requests in flight
	nextIndex    int

	requests          map[string]*request
	queue             []*request // waiting requests, by value per expected time, then by age
	dispatchScheduled bool
	inFlight          int                    // attempts counted as work of a server
	limit             float64                // how many of these are admitted
	tail              []tail                 // by class, when an attempt is late for its class
	cost              []estimate.Quantile    // by class, a low quantile of its answer times in seconds
	mean              []estimate.Mean        // by class, its mean answer time in seconds
	baseline          []estimate.Mean        // by class, the same for attempts under little load
	usualTimeout      []estimate.Majority    // by class, how long most clients wait for a try
	quota             []estimate.TokenBucket // by tenant
	retryBudget       float64
	share             float64             // of an instance's limits; below 1 beside another at an upgrade
	quotaShare        float64             // the same for tenants' quotas; above 1 if other instances are gone
	position          [2]int              // own number, and how many instances divide the list; see Renumber
	servedRate        estimate.Rate       // successful answers from servers
	warmRate          estimate.Rate       // of these, the answers of one warm server
	newestAnswered    time.Duration       // latest send time of an answered attempt
	lastAnswer        time.Duration       // when any server last answered
	zones             map[int]*zoneHealth // by zone

	timers        map[uint64]func(now time.Duration)
	lastTimer     uint64
	watchFailures int
	lastUpdate    time.Duration // when the list was last known to be complete; 0 before the first update
}

// New returns an instance that knows no servers yet. Equal settings, seed and events give equal actions.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return &Balancer{
		settings: settings, host: host, rng: rand.NewPCG(seed, 0), seenIDs: recent.New(maxSeenIDs),
		servers: map[string]*server{}, banned: map[string]bool{}, requests: map[string]*request{},
		timers: map[uint64]func(time.Duration){}, retryBudget: retryBurst / 2, limit: initialLimit, share: 1,
		zones: map[int]*zoneHealth{}, quotaShare: 1, position: [2]int{settings.Self, settings.Instances},
		cost: make([]estimate.Quantile, len(settings.Classes)), tail: make([]tail, len(settings.Classes)),
		mean:         make([]estimate.Mean, len(settings.Classes)),
		baseline:     make([]estimate.Mean, len(settings.Classes)),
		usualTimeout: make([]estimate.Majority, len(settings.Classes)),
		quota:        make([]estimate.TokenBucket, len(settings.Tenants)),
	}, nil
}

// Submit accepts a request.
func (b *Balancer) Submit(now time.Duration, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.settings.Classes) {
		b.host.Refuse(r.ID, 0) // it has not run, and no request may be lost
		return
	}
	c := &b.settings.Classes[r.Class]
	q := &request{Request: r, class: c, deadline: now + r.Remaining, submittedAt: now}
	if r.LocalBudget > 0 {
		q.deadline = min(q.deadline, now+r.LocalBudget)
	}
	q.clientDeadline = q.deadline
	b.requests[r.ID] = q
	useful := b.usefulTime(now, q)
	if r.Remaining <= 0 || useful <= 0 && b.load()+1 > nearLimitShare*b.capacity(now) {
		// Its time is over, or it is a client's repeat that is too late to earn anything while other requests
		// need the capacity. Sending it would waste work.
		b.finishUnserved(now, q)
		return
	}
	q.value = c.Value * b.tenantValue(now, r.Tenant)
	b.retryBudget = min(b.retryBudget+retryRatio, retryBurst)
	if !q.BodyPending {
		b.scheduleFor(q, q.deadline-now, func(now time.Duration) { b.expire(now, q) })
	}
	b.enqueue(q)
	b.dispatchQueued(now)
	if q.queued {
		share := maxQueueShare
		if c.Effect == Idempotent {
			share = maxQueueShareIdempotent
		}
		b.scheduleFor(q, min(time.Duration(share*float64(c.Aim)), r.Remaining/2), func(now time.Duration) {
			if q.queued && !q.finished {
				b.finishUnserved(now, q)
			}
		})
		b.scheduleDispatch()
	}
}

func (b *Balancer) send(now time.Duration, q *request, s *server) {
	q.queued = false
	q.attempts = append(q.attempts, attempt{server: s, sentAt: now})
	q.outstanding++
	s.probing = s.ejectedUntil > 0
	b.spendColdToken(now, s)
	timeout := q.deadline - now
	if q.BodyPending {
		timeout = q.deadline - q.submittedAt
	}
	b.host.Send(q.ID, s.id, timeout)
	if !q.BodyPending {
		b.countInFlight(now, q, len(q.attempts)-1)
	}
}

// countInFlight counts an attempt as work of its server, which now has the whole request.
func (b *Balancer) countInFlight(now time.Duration, q *request, index int) {
	a := &q.attempts[index]
	a.counted = true
	a.server.updateLoad(now)
	a.server.inFlight++
	b.inFlight++
	if t := b.tail[q.Class]; t.known() {
		wait := time.Duration(float64(t.Quantile) * float64(time.Second))
		b.scheduleFor(q, wait, func(now time.Duration) { b.recordStall(now, q, index) })
	}
}

// Result handles the end of an attempt.
func (b *Balancer) Result(now time.Duration, r Result) {
	q := b.requests[r.ID]
	if q == nil || r.Attempt < 0 || r.Attempt >= len(q.attempts) || q.attempts[r.Attempt].ended {
		return
	}
	a := &q.attempts[r.Attempt]
	a.ended, a.notExecuted, a.notSent = true, r.Outcome.ProvesNotExecuted(), r.Outcome == Ignored
	q.outstanding--
	q.bodyConsumed = q.bodyConsumed || r.BodyConsumed
	if !a.recorded {
		b.recordAnswer(now, q, a, r)
	} else if r.Outcome != OK {
		b.recordOutcome(now, a.server, r.Outcome, false)
	}
	if r.Finished {
		q.finished = true
	}
	if !q.finished && !q.streaming && q.outstanding == 0 {
		switch {
		case q.expired(now):
			b.expire(now, q) // its timer is due, too, and must not give another answer
		case r.Outcome == Ignored:
			b.retryUnsent(now, q)
		case r.Outcome == Rejected:
			b.finish(now, q, false) // other servers would reject it too
		case q.bodyConsumed:
			b.finishUnserved(now, q)
		default:
			b.retryOrFinish(now, q, a.notExecuted)
		}
	} else if r.Finished {
		b.cancelOutstanding(q)
	}
	b.release(q)
	b.dispatchQueued(now)
}

// finishUnserved ends a request without a server's answer: refused if a retry by the client is safe, failed
// otherwise.
func (b *Balancer) finishUnserved(now time.Duration, q *request) { b.finish(now, q, q.refusable()) }

func (b *Balancer) finish(now time.Duration, q *request, refuse bool) {
	q.finished = true
	if refuse {
		b.host.Refuse(q.ID, b.retryDelay(now))
	} else {
		b.host.Fail(q.ID)
	}
	b.cancelOutstanding(q)
	b.release(q)
}

// cancelOutstanding cancels the outstanding attempts of a finished request, since their work would be wasted.
func (b *Balancer) cancelOutstanding(q *request) {
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.ended && !a.canceled && b.settings.CanCancel {
			a.canceled = true
			b.host.Cancel(q.ID, i)
		}
	}
}

// release drops the record of a finished request once no attempt is outstanding that must still be counted.
func (b *Balancer) release(q *request) {
	if q.finished && q.outstanding == 0 {
		delete(b.requests, q.ID)
		for _, token := range q.timers {
			delete(b.timers, token) // a pending timer would keep the record in memory
		}
	}
}

// recordAnswer applies an attempt's outcome to the estimates of its class and the health of its server.
func (b *Balancer) recordAnswer(now time.Duration, q *request, a *attempt, r Result) {
	a.recorded = true
	if a.counted {
		a.server.updateLoad(now)
		a.server.inFlight--
	}
	b.updateEstimates(now, q, a.server, r)
	if a.counted {
		b.inFlight--
	}
	switch r.Outcome {
	case OK, Failed, QueueFull, Rejected:
		a.server.lastAnswer = now
		b.newestAnswered, b.lastAnswer = max(b.newestAnswered, a.sentAt), now
		b.recordResponsive(now, a.server)
	}
	b.recordOutcome(now, a.server, r.Outcome, b.overdue(q, a.server, r))
}

// ResponseStarted handles the start of a streamed answer: there is no further send and no deadline. The time
// of the first byte shows how busy the server is; the time of the last byte depends on the reader.
func (b *Balancer) ResponseStarted(now time.Duration, id string, attempt int) {
	q := b.requests[id]
	if q == nil || attempt < 0 || attempt >= len(q.attempts) || q.attempts[attempt].ended || q.streaming {
		return
	}
	q.streaming = true
	a := &q.attempts[attempt]
	b.recordAnswer(now, q, a, Result{ID: id, Attempt: attempt, Outcome: OK, Latency: now - a.sentAt})
	b.dispatchQueued(now)
}

// BodyReceived handles the last byte of a pending body, which arrived here at the given time. The request's
// time starts then. Its server's time starts now, because the server could not start work earlier.
func (b *Balancer) BodyReceived(now time.Duration, id string, arrivedAt time.Duration) {
	q := b.requests[id]
	if q == nil || !q.BodyPending {
		return
	}
	q.BodyPending = false
	q.deadline += arrivedAt - q.submittedAt
	q.clientDeadline += arrivedAt - q.submittedAt
	b.scheduleFor(q, q.deadline-now, func(now time.Duration) { b.expire(now, q) })
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.ended && !a.recorded {
			a.sentAt = now
			b.countInFlight(now, q, i)
		}
	}
}

// ClientGone handles a client that has disconnected. Its outstanding attempts would serve nobody.
func (b *Balancer) ClientGone(now time.Duration, id string) {
	if q := b.requests[id]; q != nil {
		q.finished = true
		b.cancelOutstanding(q)
		b.release(q)
	}
}

// schedule calls f after the delay.
func (b *Balancer) schedule(delay time.Duration, f func(now time.Duration)) {
	b.lastTimer++
	b.timers[b.lastTimer] = f
	b.host.SetTimer(max(delay, 0), b.lastTimer)
}

// scheduleFor is like schedule, for a single request: f is not called after the request's record is released.
func (b *Balancer) scheduleFor(q *request, delay time.Duration, f func(now time.Duration)) {
	b.schedule(delay, f)
	if q.timers == nil {
		q.timers = q.timerBuffer[:0]
	}
	q.timers = append(q.timers, b.lastTimer)
}

// Timer handles a timer that has expired.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if f := b.timers[token]; f != nil {
		delete(b.timers, token)
		f(now)
	}
}

// expire gives the final answer that is due when the client stops waiting.
func (b *Balancer) expire(now time.Duration, q *request) {
	if now < q.deadline {
		return // it has been extended
	}
	if !q.finished && !q.streaming {
		// An answer is no longer useful. If a server has spent work on the request, a refusal would invite
		// the client to spend more.
		b.finish(now, q, len(q.attempts) == 0)
	}
}

// random returns a uniform number in [0, 1) from the instance's own generator.
func (b *Balancer) random() float64 { return float64(b.rng.Uint64()>>11) / (1 << 53) }
