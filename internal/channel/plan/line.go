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
type line struct {
	tail   time.Duration        // the last place given
	bins   []bin                // by time, a ring
	from   int64                // the bin up to which places are due
	due    int                  // places whose time has come within the last binGrace, not claimed yet
	tokens estimate.TokenBucket // of what is let in
	idle   bool                 // tokens are lost: nobody with a place wants them
	claims float64              // the share of places that is claimed
}

type bin struct {
	step      int64
	given     int
	unclaimed int
}

const (
	binStep = 100 * time.Millisecond
	// binGrace is how long a place is kept for its holder once its time has come. Clients' jitter and the way
	// take up to a second.
	binGrace = 15
	// claimWeight of each bin's share goes into the mean, and claimsLeast bounds how closely places are given.
	claimWeight, claimsLeast = 0.1, 0.2
	// waitJitter bounds what is added to a wait, as a share of it and as such.
	waitJitter     = 0.25
	mostWaitJitter = time.Second
	// shortWait is that of one whose time has come, and which finds no token.
	shortWait = 200 * time.Millisecond
)

func newLine(mostWait time.Duration) line {
	// Places lie within twice the longest wait.
	return line{bins: make([]bin, 2*int(mostWait/binStep)+binGrace+2), claims: 1}
}

func (l *line) bin(step int64) *bin {
	b := &l.bins[step%int64(len(l.bins))]
	if b.step != step {
		*b = bin{step: step}
	}
	return b
}

// advance makes places due, and frees those that nobody claimed in time.
func (l *line) advance(now time.Duration) {
	to := int64(now / binStep)
	if l.from == 0 || to-l.from > int64(len(l.bins)) {
		// After so long a pause nothing is left of any place.
		clear(l.bins)
		l.from, l.due = to, 0
		return
	}
	for ; l.from < to; l.from++ {
		l.due += l.bin(l.from + 1).unclaimed
		old := l.bin(l.from + 1 - binGrace)
		if old.given > 0 {
			l.due -= old.unclaimed
			l.claims += claimWeight * (1 - float64(old.unclaimed)/float64(old.given) - l.claims)
			old.given, old.unclaimed = 0, 0
		}
	}
}

// give gives a place at a rate, no further off than so long; 0 if there is none.
func (l *line) give(now time.Duration, rate float64, within time.Duration) time.Duration {
	step := time.Duration(max(l.claims, claimsLeast) / max(rate, 1e-3) * float64(time.Second))
	at := max(l.tail, now) + step
	if at > now+within {
		return 0
	}
	l.tail = at
	b := l.bin(int64(at / binStep))
	b.given++
	b.unclaimed++
	if b.step <= l.from {
		l.due++
	}
	return at
}

// claim takes a place out of the count, unless its grace is over.
func (l *line) claim(at time.Duration) {
	step := int64(at / binStep)
	b := &l.bins[step%int64(len(l.bins))]
	if b.step != step || b.unclaimed == 0 {
		return
	}
	b.unclaimed--
	if step <= l.from {
		l.due--
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
	if t != nil && p.spent.Has(key(t.Nonce)) {
		t = nil // it has let in once
	}
	rate := p.capacity(now)
	p.line.advance(now)
	l := &p.line
	// What is due may come up to binGrace late: its tokens are kept for it.
	most := max(burst*rate, 1) + float64(l.due)
	l.tokens.Refill(now, rate, most)
	l.idle = l.tokens.Tokens >= most
	if p.leaving || len(p.channels)+p.opening >= p.set.MaxChannels ||
		p.set.MaxTenantChannels > 0 && p.tenants[tenant] >= p.set.MaxTenantChannels {
		a := p.refuse(now, t, 0)
		a.LimitReached = true
		return a
	}
	if rate > 0 && p.comesIn(now, t) {
		l.tokens.Tokens--
		if t != nil {
			p.spent.Add(key(t.Nonce))
			if t.Slot > 0 {
				l.claim(t.Slot)
			}
		}
		p.opening++
		p.tenants[tenant]++
		return Decision{Admitted: true}
	}
	return p.refuse(now, t, rate)
}

func (p *Planner) comesIn(now time.Duration, t *ticket.Ticket) bool {
	l := &p.line
	spare := l.tokens.Tokens - float64(l.due)
	switch {
	case t != nil && t.Slot > 0 && now >= t.Slot:
		return l.tokens.Tokens >= 1
	case t != nil && t.Refusals >= 2:
		return spare >= 1
	}
	return spare >= 1 && (l.tail <= now || l.idle)
}

// Refused says when a client may come again that was let in and then refused by the balancer.
func (p *Planner) Refused(now time.Duration, t *ticket.Ticket) Decision {
	p.line.advance(now)
	return p.refuse(now, t, p.capacity(now))
}

// refuse gives a client its place in the line, or tells it again of the one that it has. A rate of 0 stands for no
// places at all.
func (p *Planner) refuse(now time.Duration, t *ticket.Ticket, rate float64) Decision {
	a := Decision{Ticket: ticket.Ticket{Nonce: p.rng.Uint64()}}
	if t != nil {
		a.Ticket = *t
	}
	kept := a.Ticket.Slot > 0 && now < a.Ticket.Slot+binGrace*binStep
	if !kept {
		a.Ticket.Slot = 0
	}
	a.Ticket.Refusals = min(a.Ticket.Refusals+1, 1<<20)
	if !kept && rate > 0 {
		within := p.set.MaxWait
		if a.Ticket.Refusals > 1 {
			within *= 2 // the line's second half is for those who have waited before
		}
		a.Ticket.Slot = p.line.give(now, rate, within)
	}
	switch wait := a.Ticket.Slot - now; {
	case a.Ticket.Slot == 0:
		// Spread over the second half of the longest wait, so that they do not come at once either.
		a.RetryAfter = time.Duration((0.5 + 0.5*p.random()) * float64(p.set.MaxWait))
	case wait <= 0:
		a.RetryAfter = shortWait + time.Duration(p.random()*float64(shortWait))
	default:
		a.RetryAfter = wait + time.Duration(p.random()*float64(min(time.Duration(waitJitter*float64(wait)), mostWaitJitter)))
	}
	return a
}

func key(nonce uint64) string { return string(binary.BigEndian.AppendUint64(nil, nonce)) }
