package view

import (
	"slices"
	"strings"
	"time"
)

const (
	// indirectProbes is how many members are asked to probe a member that does not answer.
	indirectProbes = 3
	// ackShare of the period is waited for an Ack before indirect probes are requested.
	ackShare = 0.34
	// mostWidth bounds the probes that begin in one period after failures.
	maxProbeWidth = 8
	// mostAsked bounds the open pings on which nothing depends.
	maxPendingPings = 256
)

// probe is a ping whose missing Ack makes its target suspect.
type probe struct {
	seq            uint64
	name           string
	boot           uint64
	incarnation    uint64        // of the target, as the probe began
	indirectAt     time.Duration // when indirect probes are requested; 0 once they are
	deadline       time.Duration
	lastReceivedAt time.Duration // when any message was last received, as the probe began
	claimedBy      string        // the member that holds the target dead, if the probe verifies that
}

// relay is a ping on behalf of another member.
type relay struct {
	seq uint64 // of the requester
	to  string
}

// pendingPing is a ping whose missing Ack has no consequence for its target.
type pendingPing struct {
	relay *relay
	until time.Duration
	// claimant is the boot of a process that claims this process's name, if the ping verifies that it is alive, and claimIncarnation the
	// incarnation that it claims with.
	claimant         uint64
	claimIncarnation uint64
}

// adjustWidth sets how many probes begin in this period: more after failures, fewer after suspicions that were refuted.
func (v *View) adjustWidth(now time.Duration) {
	switch {
	case v.settings.NoWidening:
	case v.probesFailed:
		v.width = min(2*v.width, maxProbeWidth>>v.falseSuspicions)
	case v.width > 1:
		v.width--
	}
	v.probesFailed = false
	if v.falseSuspicions > 0 && now-v.falseSuspicionAt >= falseSuspicionPeriods*v.settings.Period {
		v.falseSuspicions, v.falseSuspicionAt = v.falseSuspicions-1, now
	}
}

// probeNext probes the next member of the round. A round takes each member once, in a random order.
func (v *View) probeNext(now time.Duration) {
	for {
		if len(v.order) == 0 {
			if len(v.present) == 0 {
				return
			}
			v.order = append(v.order, v.present...)
			slices.SortFunc(v.order, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
			v.rng.Shuffle(len(v.order), func(i, j int) { v.order[i], v.order[j] = v.order[j], v.order[i] })
			if !v.roundBegun {
				// Rounds that begin together leave the same gaps everywhere; a first one of any length sets them apart.
				v.roundBegun = len(v.order) > 1
				v.order = v.order[:1+v.rng.IntN(len(v.order))]
			}
		}
		m := v.order[len(v.order)-1]
		v.order = v.order[:len(v.order)-1]
		if m.index < 0 {
			continue
		}
		if slices.ContainsFunc(v.probes, func(p probe) bool { return p.name == m.Name }) {
			return // a round is over and its last answers are out
		}
		v.probe(now, m, &m.Record, "")
		return
	}
}

// probe pings a member whose missing Ack makes it suspect. The ping carries a record of it, and claimedBy says who holds it dead, if the probe
// verifies that.
func (v *View) probe(now time.Duration, m *member, of *Record, claimedBy string) {
	v.seq++
	p := probe{
		seq: v.seq, name: m.Name, boot: m.InstanceID, incarnation: m.Incarnation,
		deadline: now + v.scaledByHealth(v.settings.Period), lastReceivedAt: v.lastReceivedAt, claimedBy: claimedBy,
	}
	if !v.settings.NoIndirect {
		p.indirectAt = now + time.Duration(ackShare*float64(v.scaledByHealth(v.settings.Period)))
	}
	v.probes = append(v.probes, p)
	v.send(m.Address, of, &Message{Kind: Ping, Seq: p.seq})
}

// probeIndirectly requests probes by other members of one that has not answered: the path to it may have failed, not the member.
func (v *View) probeIndirectly(now time.Duration, p *probe) {
	m := v.members[p.name]
	if m == nil || m.index < 0 {
		return
	}
	target := m.Record
	for i, tries := 0, 0; i < indirectProbes && tries < 4*indirectProbes && len(v.present) > 1; tries++ {
		h := v.present[v.rng.IntN(len(v.present))]
		if h == m || h.State != Alive {
			continue
		}
		i++
		v.send(h.Address, &h.Record, &Message{Kind: Request, Seq: p.seq, Target: &target})
	}
}

// probeFailed handles a probe without an Ack, direct or indirect, before its deadline.
func (v *View) probeFailed(now time.Duration, p *probe) {
	v.probesFailed = true
	if v.lastReceivedAt == p.lastReceivedAt && now-v.lastReceivedAt > v.settings.Period {
		v.degradeHealth(1) // nobody at all has been heard: it may be us
	}
	m := v.members[p.name]
	if m == nil || m.InstanceID != p.boot || m.index < 0 || now < v.noSuspicionUntil {
		return
	}
	if m.Incarnation > p.incarnation && !v.settings.NoFalseSuspicionLimit {
		return // it has refuted since: it lives, and what was lost is the answer
	}
	v.raiseSuspicion(now, m, v.self.Name, Unresponsive)
	if p.claimedBy != "" && m.State == Suspect {
		m.deadElsewhere = true
		v.raiseSuspicion(now, m, p.claimedBy, Reported)
	}
}

// ping sends a ping whose missing Ack has no consequence for its target; m is the record of it, if there is one.
func (v *View) ping(now time.Duration, to string, m *Record, a pendingPing) {
	if len(v.pendingPings) >= maxPendingPings {
		return
	}
	v.seq++
	v.pendingPings[v.seq] = a
	v.send(to, m, &Message{Kind: Ping, Seq: v.seq})
}

// pingAddress pings whatever member is at an address.
func (v *View) pingAddress(now time.Duration, to string) {
	if to != v.self.Address {
		v.ping(now, to, nil, pendingPing{until: now + 4*v.settings.Period})
	}
}

// expirePings drops the pings whose time is over.
func (v *View) expirePings(now time.Duration) {
	claimed, incarnation := false, uint64(0)
	for seq, a := range v.pendingPings {
		if now >= a.until {
			delete(v.pendingPings, seq)
			claimed, incarnation = claimed || a.claimant != 0, max(incarnation, a.claimIncarnation)
		}
	}
	if claimed && v.duplicate == nil {
		v.claimName(now, incarnation) // the process that claimed this name does not answer
	}
}
