package view

import (
	"slices"
	"strings"
	"time"
)

const (
	// indirectProbes is how many members are requested to probe a member that does not answer.
	indirectProbes = 3
	// ackShare is the share of the period to wait for an Ack before indirect probes are requested.
	ackShare = 0.34
	// maxProbeWidth bounds the probes that start in one period after failures.
	maxProbeWidth = 8
	// maxPendingPings bounds the outstanding pings other than probes.
	maxPendingPings = 256
)

// probe is a ping whose missing Ack makes its target suspect.
type probe struct {
	seq            uint64
	name           string
	instanceID     uint64
	incarnation    uint64        // of the target when the probe started
	indirectAt     time.Duration // when indirect probes are requested; 0 once they are
	deadline       time.Duration
	lastReceivedAt time.Duration // View.lastReceivedAt when the probe started
	claimedBy      string        // the member that reported the target dead, if the probe verifies a report
}

// relay identifies the requester of an indirect probe.
type relay struct {
	seq uint64 // of the requester's probe
	to  string
}

// pendingPing is a ping whose missing Ack has no consequence for its target.
type pendingPing struct {
	relay *relay
	until time.Duration
	// claimant is the instance ID of a process that claims this process's name, if the ping verifies that it is alive.
	// claimIncarnation is the incarnation of its claim.
	claimant         uint64
	claimIncarnation uint64
}

// adjustWidth sets how many probes start in this period: more after failures, fewer after refuted suspicions.
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

// probeNext probes the next member of the round. A round covers each member once, in random order.
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
				// If all rounds started at the same time, all processes would leave the same gaps. A first round of random length
				// desynchronizes them.
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
			return // the previous round is over and its last answers are outstanding
		}
		v.probe(now, m, &m.Record, "")
		return
	}
}

// probe pings a member; a missing Ack makes the member suspect. The ping carries the record passed as of. claimedBy
// names the member that reported the target dead, if the probe verifies a report.
func (v *View) probe(now time.Duration, m *member, of *Record, claimedBy string) {
	v.seq++
	p := probe{
		seq: v.seq, name: m.Name, instanceID: m.InstanceID, incarnation: m.Incarnation,
		deadline: now + v.scaledByHealth(v.settings.Period), lastReceivedAt: v.lastReceivedAt, claimedBy: claimedBy,
	}
	if !v.settings.NoIndirect {
		p.indirectAt = now + time.Duration(ackShare*float64(v.scaledByHealth(v.settings.Period)))
	}
	v.probes = append(v.probes, p)
	v.send(m.Address, of, &Message{Kind: Ping, Seq: p.seq})
}

// probeIndirectly asks other members to ping a member that has not answered: the path to it may have failed, not the member.
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

// probeFailed handles a probe that received neither a direct nor an indirect Ack before its deadline.
func (v *View) probeFailed(now time.Duration, p *probe) {
	v.probesFailed = true
	if v.lastReceivedAt == p.lastReceivedAt && now-v.lastReceivedAt > v.settings.Period {
		v.degradeHealth(1) // no message from any member: this process may be at fault
	}
	m := v.members[p.name]
	if m == nil || m.InstanceID != p.instanceID || m.index < 0 || now < v.noSuspicionUntil {
		return
	}
	if m.Incarnation > p.incarnation && !v.settings.NoFalseSuspicionLimit {
		return // it has refuted a suspicion since: it is alive, and the answer was lost
	}
	v.raiseSuspicion(now, m, v.self.Name, Unresponsive)
	if p.claimedBy != "" && m.State == Suspect {
		m.deadElsewhere = true
		v.raiseSuspicion(now, m, p.claimedBy, Reported)
	}
}

// ping sends a ping whose missing Ack has no consequence for its target; m is the target's record, or nil.
func (v *View) ping(now time.Duration, to string, m *Record, a pendingPing) {
	if len(v.pendingPings) >= maxPendingPings {
		return
	}
	v.seq++
	v.pendingPings[v.seq] = a
	v.send(to, m, &Message{Kind: Ping, Seq: v.seq})
}

// pingAddress pings an address without knowing its member's name.
func (v *View) pingAddress(now time.Duration, to string) {
	if to != v.self.Address {
		v.ping(now, to, nil, pendingPing{until: now + 4*v.settings.Period})
	}
}

// expirePings drops the pings whose deadline has passed.
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
