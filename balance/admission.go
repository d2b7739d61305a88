package balance

import (
	"slices"
	"time"
)

const (
	// holdStep is how often held requests look again for a server that can take them.
	holdStep = 20 * time.Millisecond
	// The admission limit on requests in flight follows how long answers take. Each answer moves it by
	// limitStep times how far it stays under its class's target, or is over it, where up to overMost targets
	// count. The target is targetShare of the aim, or baseGain times what the class takes without a crowd if
	// that is more: under that, no limit is low enough, and it would be cut for nothing. While little of it
	// is used, each answer takes unusedStep off it, down to limitIdle: no surge must find one never tried.
	limitFirst, limitLeast, limitIdle = 64.0, 4.0, 16.0
	limitStep, unusedStep, overMost   = 0.5, 0.1, 3.0
	targetShare, baseGain             = 0.44, 1.4
	// baseShare of the active servers' number in flight is no crowd, whatever the limit says.
	baseShare = 0.5
	// meanStep smooths a class's means.
	meanStep = 0.02
	// holdShare of its aim is how long a request may be held before it is refused; holdFree where refusing is
	// always harmless: its client comes again while an answer can still be in time.
	holdShare, holdFree = 0.5, 0.05
	// A class's cost is costQuantile of its answers' times, its tail tailQuantile; both are followed by
	// quantileStep. minCost, in seconds, keeps them above 0.
	costQuantile, tailQuantile, quantileStep, minCost = 0.25, 0.95, 0.1, 0.001
	// tailSeen attempts are needed to tell the tail.
	tailSeen = 12
	// A client gives each try but its last the same patience, and the last what is left. The usual
	// patience is that of most tries served: what bad callers claim is never served, so it does not count.
	// Tries whose patience is within patienceSlack of their class's usual one may be of any age; votesMost
	// is how many tries with another patience it takes to unseat the usual one.
	patienceSlack, votesMost = 5 * time.Millisecond, 50
	// nearLimit of the admission limit is where late repeats are turned away.
	nearLimit = 0.9
	// stayLeast is the shortest wait that a refused client is told, less chance.
	stayLeast = 100 * time.Millisecond
)

// useful is how long a fresh request may wait and still be answered while that earns something. It shortens
// the request's end to when that is over where its failure makes no client repeat it. (A free request that
// fails is sent again and costs more than the rest of its late run; at the lower tiers a failure costs the
// upper tier's work.)
func (b *Balancer) useful(now time.Duration, q *request) time.Duration {
	c := q.class
	if b.set.Tier > 0 || c.LateValue > 0 {
		return q.Remaining
	}
	// A try with the usual patience may be the first. Any other is its client's last: it has all that is left
	// of the client's patience, which tells how much has passed.
	aim := c.Aim
	if !b.patience[q.Class].Near(q.Remaining, patienceSlack) {
		aim -= c.ClientTimeout - q.Remaining
	}
	if aim > 0 && (c.Effect == AtMostOnce || c.Effect == Deduplicated && c.DedupScope != DedupAll) {
		q.end = min(q.end, now+aim)
	}
	return min(aim, q.Remaining) - time.Duration(float64(b.cost[q.Class])*float64(time.Second))
}

// hold puts a request in the queue that all requests pass; it is empty again at once while there is room.
func (b *Balancer) hold(q *request) {
	q.held = true
	density := func(q *request) float64 { return q.worth / max(float64(b.cost[q.Class]), minCost) }
	at := len(b.held)
	for at > 0 && density(b.held[at-1]) < density(q) {
		at--
	}
	b.held = slices.Insert(b.held, at, q)
}

// load is how many requests are in flight at members that serve: what is stuck at a lost one is no work for
// the others, and must not hold their places until it times out.
func (b *Balancer) load() float64 {
	load := b.inFlight
	for _, s := range b.stuck {
		load -= s.inFlight
	}
	return float64(load)
}

// room is the admission limit for the part of the slice that stands. The limit follows answers, and after a
// loss the first bad ones come when the rest is full already; that members are lost is known before.
func (b *Balancer) room(now time.Duration) float64 {
	part := b.standing(now, b.order[:b.slice]) / float64(max(b.slice, 1))
	return max(b.limit*part, min(b.limit, limitLeast))
}

// standing counts members that serve, a cold one by its share.
func (b *Balancer) standing(now time.Duration, members []*server) (sum float64) {
	for _, m := range members {
		if !m.out() {
			sum += b.coldShare(now, m)
		}
	}
	return sum
}

// pressed says whether the admission limit is made use of; if not, what happens says nothing about it.
func (b *Balancer) pressed(now time.Duration) bool { return 2*b.load() > b.room(now) }

// learn takes in what an attempt's outcome tells of its class and of its server.
func (b *Balancer) learn(now time.Duration, q *request, s *server, r Result) {
	took := r.Latency.Seconds()
	if r.Outcome == OK {
		b.cost[q.Class].Observe(max(took, minCost), costQuantile, quantileStep)
		b.patience[q.Class].Observe(q.Remaining, patienceSlack, votesMost)
		b.mean[q.Class].Observe(took, meanStep)
	}
	if t := &b.tail[q.Class]; r.Outcome == OK || t.known() && took > float64(t.Quantile) {
		t.Observe(max(took, minCost), tailQuantile, quantileStep)
		t.seen++
	}
	target := max(targetShare*q.class.Aim.Seconds(), baseGain*float64(b.base[q.Class]))
	over := min(took/target, overMost)
	switch r.Outcome {
	case Canceled, Ignored, Rejected:
		return // says nothing of how long the servers take
	case QueueFull:
		over = overMost
	case OK:
	default:
		if over < 1 || s.out() {
			return // nor does a quick failure, or the silence of a lost server
		}
	}
	if mean := float64(b.mean[q.Class]); mean > 0 && r.Outcome != QueueFull {
		s.slow += slowStep * (min(took/mean, slowMost) - 1 - s.slow)
	}
	if !b.pressed(now) || b.load() <= baseShare*float64(len(b.active)) {
		b.base[q.Class].Observe(took, meanStep)
	}
	b.adapt(now, s, over)
}

// adapt moves the admission limit by an attempt's time over its target.
func (b *Balancer) adapt(now time.Duration, s *server, over float64) {
	switch {
	case !b.pressed(now):
		if b.limit > limitIdle {
			b.limit -= unusedStep
		}
	case over > 1 && b.sick(s):
	default:
		b.limit = max(b.limit+limitStep*(1-over), limitLeast)
	}
}

// retryHeld looks for room for the held requests, the most worth first. Only the first tier refuses for want
// of room: a refusal further down would waste what the tiers above have done.
func (b *Balancer) retryHeld(now time.Duration) {
	kept := b.held[:0]
	for _, q := range b.held {
		if q.answered {
			continue
		}
		if q.barred(now, q.mayHaveRun()) {
			b.answer(now, q) // its window has ended
			continue
		}
		if b.set.Tier > 0 || b.load()+1 <= b.room(now) {
			if s := b.pick(now, q); s != nil {
				b.send(now, q, s)
				continue
			}
		}
		kept = append(kept, q)
	}
	clear(b.held[len(kept):])
	b.held = kept
}

// keepHolding lets held requests look again soon, for as long as there are any.
func (b *Balancer) keepHolding() {
	if b.holding || len(b.held) == 0 {
		return
	}
	b.holding = true
	b.after(holdStep, func(now time.Duration) {
		b.holding = false
		b.retryHeld(now)
		b.keepHolding()
	})
}

// stayAway is how long a refused client should wait: until what is held now has had its turn, at random so
// that those refused together come back apart. 0 where clients are not told.
func (b *Balancer) stayAway(now time.Duration) time.Duration {
	if !b.set.RetryAfter {
		return 0
	}
	wait := b.set.MaxRetryAfter // nothing gets served, so nothing tells when that will change
	if perSecond := b.served.At(now, rateMemory); perSecond > 0 {
		turn := float64(len(b.held)+b.inFlight+1) / perSecond
		wait = time.Duration(min(turn*float64(time.Second), float64(wait)))
	}
	wait = max(wait, min(stayLeast, b.set.MaxRetryAfter))
	return time.Duration((0.5 + 0.5*b.random()) * float64(wait))
}
