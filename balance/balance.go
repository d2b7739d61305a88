// Package balance makes a load balancer's decisions for services that call services.
//
// This file holds the events and a request's way through them; the interface (settings, events, actions) is
// in types.go, and what is decided on the way has a file each: which servers there are (list, hand), the own
// subset of them (subset), whom turns skip (pick, health, cold), who is let in (admission, quota) and what is
// sent again (retry).
package balance

import (
	"math/rand/v2"
	"time"

	"brasswell/internal/estimate"
	"brasswell/internal/recent"
)

// attempt is one send of a request.
type attempt struct {
	s        *server
	at       time.Duration
	over     bool
	canceled bool
	unrun    bool // proven never to have run
	unsent   bool // never sent, for want of something of ours
	counted  bool // its server may be at work on it
	judged   bool // its answer has begun, and what that tells has been learned
}

// request is one accepted request until its last attempt has ended.
type request struct {
	Request
	class    *Class
	end      time.Duration // by when the final answer must be given
	attempts []attempt
	out      int
	answered bool
	started  bool          // its answer streams: it belongs to the client
	spent    bool          // its body is no longer whole here
	since    time.Duration // when it was submitted
	held     bool
	worth    float64
	timers   []uint64  // set for it alone
	few      [4]uint64 // room for most requests' timers
}

// Balancer makes the decisions of one instance. It is not safe for concurrent use.
type Balancer struct {
	set  Settings
	host Host
	rng  *rand.PCG

	servers  map[string]*server
	banned   map[string]bool // the ids taken out by hand, listed or not
	seen     *recent.Set     // the ids that a list has named
	slots    []*server       // the list that is shuffled: sorted by id, places kept by keepSlots
	order    []*server       // the round's shuffle, turned so that the own slice stands first
	slice    int             // how many of order are the own slice
	panicked bool            // the panic threshold is reached
	active   []*server       // the slice, with a spare for each lost member
	stuck    []*server       // those that are out and still have requests of ours
	turn     int

	requests map[string]*request
	held     []*request // by worth for the time they take, then by age
	holding  bool
	inFlight int                    // requests with an attempt out
	limit    float64                // how many of them are admitted
	tail     []tail                 // by class, the time after which an attempt is late for its class
	cost     []estimate.Quantile    // by class, a low quantile of its answers' seconds
	mean     []estimate.Mean        // by class, its answers' mean seconds
	base     []estimate.Mean        // by class, the same of attempts that met no crowd
	patience []estimate.Majority    // by class, how long a client's try may take
	quota    []estimate.TokenBucket // by tenant
	retries  float64
	part     float64       // of what an instance may do; less than 1 beside another at an upgrade
	soft     float64       // of tenants' quotas, in the same way; over 1 where others are gone
	numbers  [2]int        // the own one, and how many cut the list; see Renumber
	served   estimate.Rate // requests answered in time by servers
	warm     estimate.Rate // of these, what one warm member answers
	newest   time.Duration // when the youngest of the attempts that were answered was sent
	heard    time.Duration // when the last answer came
	rooms    map[int]*room // by zone

	timers    map[uint64]func(now time.Duration)
	lastTimer uint64
	watchFail int
	listedAt  time.Duration // when a list last told all that there was; 0 before the first
}

// New returns an instance that knows no servers yet. Equal settings, seed and events give equal actions.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return &Balancer{
		set: settings, host: host, rng: rand.NewPCG(seed, 0), seen: recent.New(seenMost),
		servers: map[string]*server{}, banned: map[string]bool{}, requests: map[string]*request{},
		timers: map[uint64]func(time.Duration){}, retries: retryBurst / 2, limit: limitFirst, part: 1,
		rooms: map[int]*room{}, soft: 1, numbers: [2]int{settings.Self, settings.Instances},
		cost: make([]estimate.Quantile, len(settings.Classes)), tail: make([]tail, len(settings.Classes)),
		mean:     make([]estimate.Mean, len(settings.Classes)),
		base:     make([]estimate.Mean, len(settings.Classes)),
		patience: make([]estimate.Majority, len(settings.Classes)),
		quota:    make([]estimate.TokenBucket, len(settings.Tenants)),
	}, nil
}

// Submit takes a request on.
func (b *Balancer) Submit(now time.Duration, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.set.Classes) {
		b.host.Refuse(r.ID, 0) // no effect to fear, and no request may be lost
		return
	}
	c := &b.set.Classes[r.Class]
	q := &request{Request: r, class: c, end: now + r.Remaining, since: now}
	if r.LocalBudget > 0 {
		q.end = min(q.end, now+r.LocalBudget)
	}
	b.requests[r.ID] = q
	useful := b.useful(now, q)
	if r.Remaining <= 0 || useful <= 0 && b.load()+1 > nearLimit*b.room(now) {
		// Its time is over, or it is a client's repeat that comes too late to earn anything where others
		// want the room: sending it on would be waste.
		b.answer(now, q)
		return
	}
	q.worth = c.Value * b.tenantWorth(now, r.Tenant)
	b.retries = min(b.retries+retryRatio, retryBurst)
	if !q.BodyPending {
		b.afterFor(q, q.end-now, func(now time.Duration) { b.giveUp(now, q) })
	}
	b.hold(q)
	b.retryHeld(now)
	if q.held {
		share := holdShare
		if c.Effect == Idempotent {
			share = holdFree
		}
		b.afterFor(q, min(time.Duration(share*float64(c.Aim)), r.Remaining/2), func(now time.Duration) {
			if q.held && !q.answered {
				b.answer(now, q)
			}
		})
		b.keepHolding()
	}
}

func (b *Balancer) send(now time.Duration, q *request, s *server) {
	q.held = false
	q.attempts = append(q.attempts, attempt{s: s, at: now})
	q.out++
	s.trial = s.ejected > 0
	b.spendCold(now, s)
	left := q.end - now
	if q.BodyPending {
		left = q.end - q.since
	}
	b.host.Send(q.ID, s.id, left)
	if !q.BodyPending {
		b.count(now, q, len(q.attempts)-1)
	}
}

// count counts an attempt as work of its server, which has all of the request.
func (b *Balancer) count(now time.Duration, q *request, index int) {
	a := &q.attempts[index]
	a.counted = true
	a.s.track(now)
	a.s.inFlight++
	b.inFlight++
	if t := b.tail[q.Class]; t.known() {
		wait := time.Duration(float64(t.Quantile) * float64(time.Second))
		b.afterFor(q, wait, func(now time.Duration) { b.stalled(now, q, index) })
	}
}

// Result takes in how an attempt ended.
func (b *Balancer) Result(now time.Duration, r Result) {
	q := b.requests[r.ID]
	if q == nil || r.Attempt < 0 || r.Attempt >= len(q.attempts) || q.attempts[r.Attempt].over {
		return
	}
	a := &q.attempts[r.Attempt]
	a.over, a.unrun, a.unsent = true, r.Outcome.ProvesNotExecuted(), r.Outcome == Ignored
	q.out--
	q.spent = q.spent || r.BodyConsumed
	if !a.judged {
		b.take(now, q, a, r)
	} else if r.Outcome != OK {
		b.judge(now, a.s, r.Outcome, false)
	}
	if r.Finished {
		q.answered = true
	}
	if !q.answered && !q.started && q.out == 0 {
		switch {
		case r.Outcome == Ignored:
			b.tryLater(now, q)
		case r.Outcome == Rejected:
			b.finish(now, q, false) // it would be turned away elsewhere too
		case q.spent:
			b.answer(now, q)
		default:
			b.tryAgain(now, q, a.unrun)
		}
	} else if r.Finished {
		b.cancelOut(q)
	}
	b.forget(q)
	b.retryHeld(now)
}

// answer ends a request unserved: refused where that promise can be kept, failed otherwise.
func (b *Balancer) answer(now time.Duration, q *request) { b.finish(now, q, q.refusable()) }

func (b *Balancer) finish(now time.Duration, q *request, refuse bool) {
	q.answered = true
	if refuse {
		b.host.Refuse(q.ID, b.stayAway(now))
	} else {
		b.host.Fail(q.ID)
	}
	b.cancelOut(q)
	b.forget(q)
}

// cancelOut calls off what is still out for a request that is over: its work would be waste.
func (b *Balancer) cancelOut(q *request) {
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.over && !a.canceled && b.set.CanCancel {
			a.canceled = true
			b.host.Cancel(q.ID, i)
		}
	}
}

// forget drops the record of a request that is over, once no attempt is out that must still be counted.
func (b *Balancer) forget(q *request) {
	if q.answered && q.out == 0 {
		delete(b.requests, q.ID)
		for _, token := range q.timers {
			delete(b.timers, token) // which would hold its record until then
		}
	}
}

// take takes in what an attempt's outcome tells of its class and its server.
func (b *Balancer) take(now time.Duration, q *request, a *attempt, r Result) {
	a.judged = true
	if a.counted {
		a.s.track(now)
		a.s.inFlight--
	}
	b.learn(now, q, a.s, r)
	if a.counted {
		b.inFlight--
	}
	switch r.Outcome {
	case OK, Failed, QueueFull, Rejected:
		a.s.answered = now
		b.newest, b.heard = max(b.newest, a.at), now
		b.backAgain(now, a.s)
	}
	b.judge(now, a.s, r.Outcome, b.overdue(q, a.s, r))
}

// Started takes in that the answer to a request has begun to stream: no further send, no deadline. The time
// of its first byte is what tells how busy the server is; its last one depends on who reads it.
func (b *Balancer) ResponseStarted(now time.Duration, id string, attempt int) {
	q := b.requests[id]
	if q == nil || attempt < 0 || attempt >= len(q.attempts) || q.attempts[attempt].over || q.started {
		return
	}
	q.started = true
	a := &q.attempts[attempt]
	b.take(now, q, a, Result{ID: id, Attempt: attempt, Outcome: OK, Latency: now - a.at})
	b.retryHeld(now)
}

// Received takes in that the last byte of a request that was arriving has come. Its time counts from now, and
// so does that of its server, which has not begun before.
func (b *Balancer) BodyReceived(now time.Duration, id string) {
	q := b.requests[id]
	if q == nil || !q.BodyPending {
		return
	}
	q.BodyPending = false
	q.end += now - q.since
	b.afterFor(q, q.end-now, func(now time.Duration) { b.giveUp(now, q) })
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.over && !a.judged {
			a.at = now
			b.count(now, q, i)
		}
	}
}

// Dropped takes in that the client has gone. What is out for it would run for nobody.
func (b *Balancer) ClientGone(now time.Duration, id string) {
	if q := b.requests[id]; q != nil {
		q.answered = true
		b.cancelOut(q)
		b.forget(q)
	}
}

// after calls f once the delay has passed.
func (b *Balancer) after(delay time.Duration, f func(now time.Duration)) {
	b.lastTimer++
	b.timers[b.lastTimer] = f
	b.host.SetTimer(max(delay, 0), b.lastTimer)
}

// afterFor is after for what concerns one request alone: nothing is called once its record is forgotten.
func (b *Balancer) afterFor(q *request, delay time.Duration, f func(now time.Duration)) {
	b.after(delay, f)
	if q.timers == nil {
		q.timers = q.few[:0]
	}
	q.timers = append(q.timers, b.lastTimer)
}

// Timer takes in that a timer has come due.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if f := b.timers[token]; f != nil {
		delete(b.timers, token)
		f(now)
	}
}

// giveUp gives the final answer that is due when the client stops waiting.
func (b *Balancer) giveUp(now time.Duration, q *request) {
	if !q.answered && !q.started {
		// Too late to be of use: a refusal would invite the client to spend more on it.
		b.finish(now, q, false)
	}
}

// random is uniform in [0, 1) from the instance's own seed.
func (b *Balancer) random() float64 { return float64(b.rng.Uint64()>>11) / (1 << 53) }
