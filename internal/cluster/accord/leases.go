package accord

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxUnconfirmed bounds the renewals that wait for a round.
	maxUnconfirmed = 4096
	// maxHolders bounds the holders whose leases a leader records.
	maxHolders = 4096
)

// holder is a process that may hold a lease. A proxy has two processes during an upgrade, each with its own
// acknowledgements.
type holder struct {
	name       string
	instanceID uint64
}

func compareHolders(a, b holder) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.instanceID, b.instanceID))
}

// lease is what a leader knows about a holder.
type lease struct {
	until         time.Duration // the latest time, on this clock, at which the lease may be valid
	held          HeldVersions
	form          uint8
	stalledSince  time.Duration // since when it has acknowledged nothing new although newer rules were sent to it; 0 if it has all
	acceptsDeltas bool          // it understands deltas
	needsWhole    bool          // it requested the whole status, or its rules differ from the rules here
	longSentAt    time.Duration // when rules too long for a datagram were last sent to it; 0 for never
}

// leaseOf returns the lease of the sender, a new one if it has none; nil if maxHolders is reached.
func (v *voter) leaseOf(m *Message) *lease {
	h := holder{m.From, m.InstanceID}
	l := v.leases[h]
	if l == nil && len(v.leases) < maxHolders {
		l = &lease{}
		v.leases[h] = l
	}
	return l
}

// recordHeld records the versions that a holder has acknowledged. A renewal that waited for a majority may be handled
// after an acknowledgement that was sent later, so older versions of the same log are ignored: a holder's versions only
// increase.
func (v *voter) recordHeld(l *lease, has HeldVersions) {
	if has.Log == l.held.Log && (has.Last < l.held.Last || has.InForce < l.held.InForce) {
		return
	}
	progressed := has != l.held
	l.held = has
	switch {
	case has == versionsOf(&v.state.Rules.Status):
		l.stalledSince = 0
	case progressed || l.stalledSince == 0:
		l.stalledSince = v.c.now
	}
}

// stalled reports whether a holder has acknowledged nothing new for half a lease although newer rules were sent to it.
func (v *voter) stalled(l *lease) bool {
	return l.stalledSince != 0 && v.c.now-l.stalledSince > v.c.settings.Times.Lease/2
}

// grant grants a proxy a lease on the rules applied here, and sends it those that it lacks.
func (v *voter) grant(m *Message) {
	l := v.leaseOf(m)
	if l == nil {
		return // the proxy continues without a lease
	}
	s, now := &v.state.Rules.Status, v.c.now
	current := versionsOf(s)
	l.form, l.acceptsDeltas = m.Form, m.AcceptsDeltas && !v.c.settings.NoDeltas
	l.needsWhole = m.NeedsWhole || l.acceptsDeltas && v.digestDiffers(m)
	if s.Form > max(m.Form, 1) {
		v.c.reply(m, &Message{Kind: Update, Status: outline(s)}) // the proxy reports that to its operators
		return
	}
	v.recordHeld(l, m.Held)
	if v.stalled(l) {
		// Its messages arrive here, but it receives none. A lease that it does not know about would keep every change
		// from being in force.
		v.replyUpdate(m, l)
		return
	}
	l.until = now + v.c.settings.Times.LeaseGuard()
	if l.held == current && !l.needsWhole {
		v.replyGrant(m, l, &Message{Held: current})
		return
	}
	if v.needsLongSend(l, l.held) && v.mayLeaseHeld(l) {
		// The missing rules take long to arrive. The lease does not wait for them and covers the versions that the
		// holder has.
		v.replyGrant(m, l, &Message{Held: l.held})
		v.replyUpdate(m, l)
		return
	}
	g := &Message{Held: current}
	v.addMissing(g, l, l.held) // even without the rules the grant is useful if an earlier message with them has arrived meanwhile
	v.replyGrant(m, l, g)
}

// replyGrant replies to a renewal with a grant for the versions that the grant names.
func (v *voter) replyGrant(m *Message, l *lease, g *Message) {
	g.Kind, g.Seq = Grant, m.Seq
	if l.acceptsDeltas {
		g.Digest = v.digests[g.Held]
	}
	v.c.reply(m, g)
}

// replyUpdate replies to a renewal with the rules that its sender lacks, unless a long message was just sent.
func (v *voter) replyUpdate(m *Message, l *lease) {
	if update := (&Message{Kind: Update}); v.addMissing(update, l, l.held) {
		v.c.reply(m, update)
	}
}

// maintain does the periodic work of a leader.
func (v *voter) maintain() {
	now := v.c.now
	for h, l := range v.leases {
		if now > l.until+replaceAfter*v.c.settings.Times.Election {
			delete(v.leases, h)
		}
	}
	v.enforce()
	v.updateMembership()
}

// enforce brings the versions into force that no lease blocks.
func (v *voter) enforce() {
	s, t, now := &v.state.Rules.Status, &v.c.settings.Times, v.c.now
	if len(s.Pending) == 0 || !v.ownTermApplied || now-v.lastEnforce < t.Heartbeat && v.lastEnforce > 0 {
		return
	}
	if now < v.electedAt+t.LeaseGuard() && !v.c.settings.NoLeaderWait {
		return // an earlier leader may have granted leases that this one does not know
	}
	upTo := v.heldByAll()
	if v.c.settings.NoPreparePhase {
		upTo = s.Last()
	}
	if upTo > s.InForce.Number && v.appendCommand(&command{Enforce: upTo}) {
		v.lastEnforce, v.enforcing = now, max(v.enforcing, upTo)
	}
}

// heldByAll returns the newest version that all holders of a lease have acknowledged; 0 if a holder has no version
// newer than the one in force.
func (v *voter) heldByAll() uint64 {
	s := &v.state.Rules.Status
	if v.blocks(v.slowest) {
		return 0 // called for each of many acknowledgements: the missing one has not arrived yet
	}
	upTo := s.Last()
	for _, l := range v.leases {
		if v.blocks(l) {
			v.slowest = l
			return 0
		}
		if l.until >= v.c.now {
			upTo = min(upTo, l.held.Last)
		}
	}
	return upTo
}

// blocks reports whether a lease, which may be nil, blocks every pending version.
func (v *voter) blocks(l *lease) bool {
	s := &v.state.Rules.Status
	return l != nil && l.until >= v.c.now && (l.held.Log != s.Log || l.held.Last <= s.InForce.Number)
}

// notifyHolders sends the newest rules to all holders of a lease that lack them.
func (v *voter) notifyHolders() {
	current := versionsOf(&v.state.Rules.Status)
	for _, h := range slices.SortedFunc(maps.Keys(v.leases), compareHolders) {
		l := v.leases[h]
		if l.until < v.c.now || l.held == current {
			continue
		}
		if m := (&Message{Kind: Update, From: v.c.settings.Name, To: h.name}); v.addMissing(m, l, l.held) {
			v.c.send(h.name, m)
		}
	}
}
