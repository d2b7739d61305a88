package balance

import (
	"slices"
	"time"
)

const (
	// dispatchInterval is how often queued requests look again for a server that can take them.
	dispatchInterval = 20 * time.Millisecond
	// The admission limit on requests in flight follows answer times. Each answer raises the limit by
	// limitStep times the fraction by which it is faster than its class's target, or lowers it by limitStep
	// times the fraction by which it is slower, where at most maxOvershoot targets count. The target is
	// targetShare of the aim, or baselineFactor times the class's answer time under little load if that is
	// more: no limit is low enough to reach a target below that, so the limit would be lowered in vain. While
	// at most half of the limit is used, each answer lowers it by unusedStep, down to idleLimit, so that no
	// surge meets a limit that has never been tried.
	initialLimit, minLimit, idleLimit   = 64.0, 4.0, 16.0
	limitStep, unusedStep, maxOvershoot = 0.5, 0.1, 3.0
	targetShare, baselineFactor         = 0.44, 1.4
	// uncrowdedLoad requests in flight per active server, or fewer, are little load whatever the limit is.
	uncrowdedLoad = 0.5
	// meanStep is the weight of a new value in a class's means.
	meanStep = 0.02
	// maxQueueShare of its aim is how long a request may be queued before it is refused;
	// maxQueueShareIdempotent applies if a refusal is always harmless, because the client comes again while
	// an answer can still be in time.
	maxQueueShare, maxQueueShareIdempotent = 0.5, 0.05
	// A class's cost is the costQuantile of its answer times, and its tail the tailQuantile. Both are tracked
	// in steps of quantileStep. minCost, in seconds, keeps them above 0.
	costQuantile, tailQuantile, quantileStep, minCost = 0.25, 0.95, 0.1, 0.001
	// minTailSamples attempts are needed to know the tail.
	minTailSamples = 12
	// A client waits equally long for each try but its last, and for the last try as long as it has left. The
	// usual time of a class is that of most tries served: tries of misbehaving callers are never served, so
	// the times that they claim do not count. A try whose time is within timeoutSlack of the usual one may be
	// of any age. maxVotes is how many tries with another time it takes to replace the usual one.
	timeoutSlack, maxVotes = 5 * time.Millisecond, 50
	// Above nearLimitShare of the admission limit, late repeats are refused.
	nearLimitShare = 0.9
	// minRetryDelay is the shortest wait given to a refused client, before randomization.
	minRetryDelay = 100 * time.Millisecond
)

// usefulTime returns how long a new request may wait and still earn something with its answer. It also
// shortens the deadline to the end of the aim if the client does not repeat the request after a failure. (An
// idempotent request that fails is sent again, which costs more than the rest of its late run. At the lower
// tiers a failure wastes the work of the upper tier.)
func (b *Balancer) usefulTime(now time.Duration, q *request) time.Duration {
	c := q.class
	if b.settings.Tier > 0 || c.LateValue > 0 {
		return q.Remaining
	}
	// A try with the usual time may be the client's first. Any other try is its last: it has all of the
	// client's remaining time, which shows how much time has passed.
	aim := c.Aim
	if !b.usualTimeout[q.Class].Near(q.Remaining, timeoutSlack) {
		aim -= c.ClientTimeout - q.Remaining
	}
	if aim > 0 && (c.Effect == AtMostOnce || c.Effect == Deduplicated && c.DedupScope != DedupAll) {
		q.deadline = min(q.deadline, now+aim)
	}
	return min(aim, q.Remaining) - time.Duration(float64(b.cost[q.Class])*float64(time.Second))
}

// enqueue adds a request to the queue that all requests pass through. The queue empties at once while there
// is capacity.
func (b *Balancer) enqueue(q *request) {
	q.queued = true
	density := func(q *request) float64 { return q.value / max(float64(b.cost[q.Class]), minCost) }
	at := len(b.queue)
	for at > 0 && density(b.queue[at-1]) < density(q) {
		at--
	}
	b.queue = slices.Insert(b.queue, at, q)
}

// load returns the number of requests in flight at servers in use. Requests stuck at an excluded server are
// no work for the others and must not take their capacity until they time out.
func (b *Balancer) load() float64 {
	load := b.inFlight
	for _, s := range b.excludedBusy {
		load -= s.inFlight
	}
	return float64(load)
}

// capacity returns the admission limit for the part of the slice that is in use. The limit itself follows
// answers: after a loss, the first slow answers arrive when the remaining servers are already full, while the
// loss of members is known earlier.
func (b *Balancer) capacity(now time.Duration) float64 {
	part := b.effectiveServers(now, b.order[:b.sliceSize]) / float64(max(b.sliceSize, 1))
	return max(b.limit*part, min(b.limit, minLimit))
}

// effectiveServers counts the members in use; a cold one counts as its share of capacity.
func (b *Balancer) effectiveServers(now time.Duration, members []*server) (sum float64) {
	for _, m := range members {
		if !m.excluded() {
			sum += b.coldShare(now, m)
		}
	}
	return sum
}

// limitInUse reports whether more than half of the admission limit is used. If not, answers say nothing about
// the limit.
func (b *Balancer) limitInUse(now time.Duration) bool { return 2*b.load() > b.capacity(now) }

// updateEstimates records what an attempt's outcome shows about its class and its server.
func (b *Balancer) updateEstimates(now time.Duration, q *request, s *server, r Result) {
	took := r.Latency.Seconds()
	if r.Outcome == OK {
		b.cost[q.Class].Observe(max(took, minCost), costQuantile, quantileStep)
		b.usualTimeout[q.Class].Observe(q.Remaining, timeoutSlack, maxVotes)
		b.mean[q.Class].Observe(took, meanStep)
	}
	if t := &b.tail[q.Class]; r.Outcome == OK || t.known() && took > float64(t.Quantile) {
		t.Observe(max(took, minCost), tailQuantile, quantileStep)
		t.samples++
	}
	target := max(targetShare*q.class.Aim.Seconds(), baselineFactor*float64(b.baseline[q.Class]))
	over := min(took/target, maxOvershoot)
	switch r.Outcome {
	case Canceled, Ignored, Rejected:
		return // no information about how long servers take
	case QueueFull:
		over = maxOvershoot
	case OK:
	default:
		if over < 1 || s.excluded() {
			return // nor is a quick failure, or a timeout at an excluded server
		}
	}
	if mean := float64(b.mean[q.Class]); mean > 0 && r.Outcome != QueueFull {
		s.slowness += slownessStep * (min(took/mean, maxSlowness) - 1 - s.slowness)
	}
	if !b.limitInUse(now) || b.load() <= uncrowdedLoad*float64(len(b.active)) {
		b.baseline[q.Class].Observe(took, meanStep)
	}
	b.adjustLimit(now, s, over)
}

// adjustLimit moves the admission limit by the ratio of an attempt's time to its target.
func (b *Balancer) adjustLimit(now time.Duration, s *server, over float64) {
	switch {
	case !b.limitInUse(now):
		if b.limit > idleLimit {
			b.limit -= unusedStep
		}
	case over > 1 && b.slowerThanPeers(s):
	default:
		b.limit = max(b.limit+limitStep*(1-over), minLimit)
	}
}

// dispatchQueued sends the queued requests that find capacity, those with the highest value per expected time
// first. Only the first tier refuses requests for lack of capacity: a refusal further down would waste the
// work of the tiers above.
func (b *Balancer) dispatchQueued(now time.Duration) {
	kept := b.queue[:0]
	for _, q := range b.queue {
		if q.finished {
			continue
		}
		if q.retryForbidden(now, q.mayHaveRun()) {
			b.finishUnserved(now, q) // no server may run it any more
			continue
		}
		if b.settings.Tier > 0 || b.load()+1 <= b.capacity(now) {
			if s := b.pick(now, q); s != nil {
				b.send(now, q, s)
				continue
			}
		}
		kept = append(kept, q)
	}
	clear(b.queue[len(kept):])
	b.queue = kept
}

// scheduleDispatch retries the queued requests after dispatchInterval, for as long as there are any.
func (b *Balancer) scheduleDispatch() {
	if b.dispatchScheduled || len(b.queue) == 0 {
		return
	}
	b.dispatchScheduled = true
	b.schedule(dispatchInterval, func(now time.Duration) {
		b.dispatchScheduled = false
		b.dispatchQueued(now)
		b.scheduleDispatch()
	})
}

// retryDelay returns how long a refused client should wait: until the requests that wait and run now have
// been served, randomized so that clients that were refused together do not return together. It is 0 if
// refusals carry no wait.
func (b *Balancer) retryDelay(now time.Duration) time.Duration {
	if !b.settings.RetryAfter {
		return 0
	}
	wait := b.settings.MaxRetryAfter // if nothing is being served, there is no basis for an estimate
	if perSecond := b.servedRate.At(now, rateTimeConstant); perSecond > 0 {
		drainTime := float64(len(b.queue)+b.inFlight+1) / perSecond
		wait = time.Duration(min(drainTime*float64(time.Second), float64(wait)))
	}
	wait = max(wait, min(minRetryDelay, b.settings.MaxRetryAfter))
	return time.Duration((0.5 + 0.5*b.random()) * float64(wait))
}
