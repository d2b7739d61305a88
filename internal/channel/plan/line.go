package plan

import (
	"encoding/binary"
	"time"

	"brasswell/internal/channel/ticket"
	"brasswell/internal/estimate"
)

// Answer is what becomes of a request for a channel.
type Decision struct {
	Admitted     bool
	LimitReached bool          // refused for a limit, not for the rate
	RetryAfter   time.Duration // how long one that is refused is asked to stay away
	Ticket       ticket.Ticket // what it may show then
}

// line is the places given to those that were turned away. A place is a moment from which its holder may come in.
//
// Not all come back: some give up, some never keep a ticket. Places are given as closely as the share of them that
// was claimed allows, or the rate would stand idle behind places of those that have left.
type slotQueue struct {
	lastSlot     time.Duration   // the last place given
	bins         []bin           // by time, a ring
	dueBin       int64           // the bin up to which places are due
	unclaimedDue int             // places whose time has come within the last binGrace, not claimed yet
	tokens       estimate.Bucket // of what is let in
	full         bool            // tokens are lost: nobody with a place wants them
	claimRatio   float64         // the share of places that is claimed
}

type bin struct {
	step      int64
	given     int
	unclaimed int
}

const (
	binWidth = 100 * time.Millisecond
	// binGrace is how long a place is kept for its holder once its time has come. Clients' jitter and the way
	// take up to a second.
	graceBins = 15
	// claimWeight of each bin's share goes into the mean, and claimsLeast bounds how closely places are given.
	claimWeight, minClaimRatio = 0.1, 0.2
	// waitJitter bounds what is added to a wait, as a share of it and as such.
	waitJitter    = 0.25
	maxWaitJitter = time.Second
	// shortWait is that of one whose time has come, and which finds no token.
	dueRetryWait = 200 * time.Millisecond
)

func newSlotQueue(maxWait time.Duration) slotQueue {
	// Places lie within twice the longest wait.
	return slotQueue{bins: make([]bin, 2*int(maxWait/binWidth)+graceBins+2), claimRatio: 1}
}

func (q *slotQueue) bin(step int64) *bin {
	b := &q.bins[step%int64(len(q.bins))]
	if b.step != step {
		*b = bin{step: step}
	}
	return b
}

// advance makes places due, and frees those that nobody claimed in time.
func (q *slotQueue) advance(now time.Duration) {
	to := int64(now / binWidth)
	if q.dueBin == 0 || to-q.dueBin > int64(len(q.bins)) {
		// After so long a pause nothing is left of any place.
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

// give gives a place at a rate, no further off than so long; 0 if there is none.
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

// claim takes a place out of the count, unless its grace is over.
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

// Ask says whether a request for a channel is let in. It is counted as being opened until Opened or GivenUp. t is the
// ticket that the client shows; nil for none, or none of ours.
//
// Whose place has come goes first. A client that was turned away twice or more goes ahead of its place where a token is
// left that no place needs; a new one only if nobody waits, or tokens would be lost since nobody with a place comes.
//
// It guards against storms of clients that all come back at once, and should hold against those that do so without end:
// they are answered at once and wait behind the others. It would harm clients that come in bursts as a rule.
func (p *Planner) Admit(now time.Duration, tenant int, t *ticket.Ticket) Decision {
	if t != nil && p.usedTickets.Has(nonceKey(t.Nonce)) {
		t = nil // it has let in once
	}
	rate := p.capacity(now)
	p.queue.advance(now)
	q := &p.queue
	// What is due may come up to binGrace late: its tokens are kept for it.
	maxTokens := max(burstSeconds*rate, 1) + float64(q.unclaimedDue)
	q.tokens.Fill(now, rate, maxTokens)
	q.full = q.tokens.Tokens >= maxTokens
	if p.shuttingDown || len(p.channels)+p.opening >= p.settings.MaxChannels ||
		p.settings.MaxTenantChannels > 0 && p.tenants[tenant] >= p.settings.MaxTenantChannels {
		a := p.refuse(now, t, 0)
		a.LimitReached = true
		return a
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

// Refused says when a client may come again that was let in and then refused by the balancer.
func (p *Planner) Refused(now time.Duration, t *ticket.Ticket) Decision {
	p.queue.advance(now)
	return p.refuse(now, t, p.capacity(now))
}

// refuse gives a client its place in the line, or tells it again of the one that it has. A rate of 0 stands for no
// places at all.
func (p *Planner) refuse(now time.Duration, t *ticket.Ticket, rate float64) Decision {
	a := Decision{Ticket: ticket.Ticket{Nonce: p.rng.Uint64()}}
	if t != nil {
		a.Ticket = *t
	}
	hasSlot := a.Ticket.Slot > 0 && now < a.Ticket.Slot+graceBins*binWidth
	if !hasSlot {
		a.Ticket.Slot = 0
	}
	a.Ticket.Refusals = min(a.Ticket.Refusals+1, 1<<20)
	if !hasSlot && rate > 0 {
		maxWait := p.settings.MaxWait
		if a.Ticket.Refusals > 1 {
			maxWait *= 2 // the line's second half is for those who have waited before
		}
		a.Ticket.Slot = p.queue.allocate(now, rate, maxWait)
	}
	switch wait := a.Ticket.Slot - now; {
	case a.Ticket.Slot == 0:
		// Spread over the second half of the longest wait, so that they do not come at once either.
		a.RetryAfter = time.Duration((0.5 + 0.5*p.random()) * float64(p.settings.MaxWait))
	case wait <= 0:
		a.RetryAfter = dueRetryWait + time.Duration(p.random()*float64(dueRetryWait))
	default:
		a.RetryAfter = wait + time.Duration(p.random()*float64(min(time.Duration(waitJitter*float64(wait)), maxWaitJitter)))
	}
	return a
}

func nonceKey(nonce uint64) string { return string(binary.BigEndian.AppendUint64(nil, nonce)) }
