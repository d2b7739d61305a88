package plan

import (
	"encoding/binary"
	"time"

	"brasswell/internal/channel/ticket"
	"brasswell/internal/estimate"
)

// Decision is the outcome of a request for a channel.
type Decision struct {
	Admitted     bool
	LimitReached bool          // refused because of a limit, not because of the rate
	RetryAfter   time.Duration // how long a refused client should wait before it retries
	Ticket       ticket.Ticket // the ticket that the client may present then
}

// slotQueue allocates slots to clients that were refused. A slot is the time from which its holder may be admitted.
//
// Not all clients return: some give up, and some never keep their ticket. The smaller the share of slots that are claimed,
// the more closely slots are therefore allocated. Otherwise part of the rate would go unused during the slots of clients
// that have left.
type slotQueue struct {
	lastSlot     time.Duration        // the latest slot that is allocated
	bins         []bin                // a ring, indexed by time
	dueBin       int64                // the last bin whose slots are due
	unclaimedDue int                  // slots that fell due within the last graceBins and are not claimed yet
	tokens       estimate.TokenBucket // one for each admission
	full         bool                 // the bucket overflows: no holder of a slot uses the tokens
	claimRatio   float64              // a moving average of the share of slots that are claimed
}

// bin counts the slots within one binWidth.
type bin struct {
	step      int64
	given     int // slots that are allocated
	unclaimed int // those of them that are not claimed yet
}

const (
	binWidth = 100 * time.Millisecond
	// graceBins is how many bins a due slot is kept for its holder. The clients' jitter and the network take up to a
	// second.
	graceBins = 15
	// claimWeight is the weight of one bin in claimRatio. minClaimRatio limits how closely slots are allocated.
	claimWeight, minClaimRatio = 0.1, 0.2
	// The random delay that is added to a wait is at most waitJitter of the wait, and at most maxWaitJitter.
	waitJitter    = 0.25
	maxWaitJitter = time.Second
	// dueRetryWait is the wait of a client whose slot is due but which finds no token. Up to as much again is added.
	dueRetryWait = 200 * time.Millisecond
)

// newSlotQueue returns an empty queue for the given longest wait.
func newSlotQueue(maxWait time.Duration) slotQueue {
	// Slots are at most twice the longest wait ahead (see refuse).
	return slotQueue{bins: make([]bin, 2*int(maxWait/binWidth)+graceBins+2), claimRatio: 1}
}

// bin returns the bin of a step of time, and resets it if it still holds an earlier step.
func (q *slotQueue) bin(step int64) *bin {
	b := &q.bins[step%int64(len(q.bins))]
	if b.step != step {
		*b = bin{step: step}
	}
	return b
}

// advance makes slots due up to now, and discards those that were not claimed within the grace period.
func (q *slotQueue) advance(now time.Duration) {
	to := int64(now / binWidth)
	if q.dueBin == 0 || to-q.dueBin > int64(len(q.bins)) {
		// After so long a pause all slots have expired.
		clear(q.bins)
		q.dueBin, q.unclaimedDue = to, 0
		return
	}
	for ; q.dueBin < to; q.dueBin++ {
		q.unclaimedDue += q.bin(q.dueBin + 1).unclaimed
		expired := q.bin(q.dueBin + 1 - graceBins)
		if expired.given > 0 {
			q.unclaimedDue -= expired.unclaimed
			q.claimRatio += claimWeight * (1 - float64(expired.unclaimed)/float64(expired.given) - q.claimRatio)
			expired.given, expired.unclaimed = 0, 0
		}
	}
}

// allocate returns the next free slot at the given rate, or 0 if that slot is more than maxWait ahead.
func (q *slotQueue) allocate(now time.Duration, rate float64, maxWait time.Duration) time.Duration {
	interval := time.Duration(max(q.claimRatio, minClaimRatio) / max(rate, 1e-3) * float64(time.Second))
	slot := max(q.lastSlot, now) + interval
	if slot > now+maxWait {
		return 0
	}
	q.lastSlot = slot
	b := q.bin(int64(slot / binWidth))
	b.given++
	b.unclaimed++
	if b.step <= q.dueBin {
		q.unclaimedDue++
	}
	return slot
}

// claim removes a slot from the unclaimed ones, unless its grace period is over.
func (q *slotQueue) claim(slot time.Duration) {
	step := int64(slot / binWidth)
	b := &q.bins[step%int64(len(q.bins))]
	if b.step != step || b.unclaimed == 0 {
		return
	}
	b.unclaimed--
	if step <= q.dueBin {
		q.unclaimedDue--
	}
}

// Admit decides whether a request for a channel is admitted. An admitted request counts as opening until Opened or
// OpenFailed. t is the ticket that the client presents, or nil if it has none or an invalid one.
//
// Clients whose slot is due come first. A client that was refused at least twice is admitted before its slot if there is
// a token that no due slot needs. A new client is admitted only if nobody waits, or if tokens would be lost because no
// holder of a slot returns.
//
// This guards against storms of clients that all reconnect at once. It should also withstand clients that retry at once
// without end: they are refused immediately and queue after the others. It is wrong for clients that normally arrive in
// bursts.
func (p *Planner) Admit(now time.Duration, tenant int, t *ticket.Ticket) Decision {
	if t != nil && p.usedTickets.Has(nonceKey(t.Nonce)) {
		t = nil // a ticket admits once
	}
	rate := p.capacity(now)
	p.queue.advance(now)
	q := &p.queue
	// Holders of due slots may arrive up to graceBins late; tokens are reserved for them until then.
	maxTokens := max(burstSeconds*rate, 1) + float64(q.unclaimedDue)
	q.tokens.Refill(now, rate, maxTokens)
	q.full = q.tokens.Tokens >= maxTokens
	if p.shuttingDown || len(p.channels)+p.opening >= p.settings.MaxChannels ||
		p.settings.MaxTenantChannels > 0 && p.tenants[tenant] >= p.settings.MaxTenantChannels {
		d := p.refuse(now, t, 0)
		d.LimitReached = true
		return d
	}
	if rate > 0 && p.mayEnter(now, t) {
		q.tokens.Tokens--
		if t != nil {
			p.usedTickets.Add(nonceKey(t.Nonce))
			if t.Slot > 0 {
				q.claim(t.Slot)
			}
		}
		p.opening++
		p.tenants[tenant]++
		return Decision{Admitted: true}
	}
	return p.refuse(now, t, rate)
}

// mayEnter reports whether a client is admitted, given its ticket and the tokens.
func (p *Planner) mayEnter(now time.Duration, t *ticket.Ticket) bool {
	q := &p.queue
	spare := q.tokens.Tokens - float64(q.unclaimedDue)
	switch {
	case t != nil && t.Slot > 0 && now >= t.Slot:
		return q.tokens.Tokens >= 1
	case t != nil && t.Refusals >= 2:
		return spare >= 1
	}
	return spare >= 1 && (q.lastSlot <= now || q.full)
}

// Refused decides when a client may retry that was admitted here and then refused by the balancer.
func (p *Planner) Refused(now time.Duration, t *ticket.Ticket) Decision {
	p.queue.advance(now)
	return p.refuse(now, t, p.capacity(now))
}

// refuse allocates a slot to a client, or confirms the slot that it already has. With a rate of 0 no slots are
// allocated.
func (p *Planner) refuse(now time.Duration, t *ticket.Ticket, rate float64) Decision {
	d := Decision{Ticket: ticket.Ticket{Nonce: p.rng.Uint64()}}
	if t != nil {
		d.Ticket = *t
	}
	hasSlot := d.Ticket.Slot > 0 && now < d.Ticket.Slot+graceBins*binWidth
	if !hasSlot {
		d.Ticket.Slot = 0
	}
	d.Ticket.Refusals = min(d.Ticket.Refusals+1, 1<<20)
	if !hasSlot && rate > 0 {
		maxWait := p.settings.MaxWait
		if d.Ticket.Refusals > 1 {
			maxWait *= 2 // the second half of the queue is for clients that have waited before
		}
		d.Ticket.Slot = p.queue.allocate(now, rate, maxWait)
	}
	switch wait := d.Ticket.Slot - now; {
	case d.Ticket.Slot == 0:
		// Clients without a slot are spread over the second half of the longest wait, so that they do not return at once.
		d.RetryAfter = time.Duration((0.5 + 0.5*p.random()) * float64(p.settings.MaxWait))
	case wait <= 0:
		d.RetryAfter = dueRetryWait + time.Duration(p.random()*float64(dueRetryWait))
	default:
		d.RetryAfter = wait + time.Duration(p.random()*float64(min(time.Duration(waitJitter*float64(wait)), maxWaitJitter)))
	}
	return d
}

func nonceKey(nonce uint64) string { return string(binary.BigEndian.AppendUint64(nil, nonce)) }
