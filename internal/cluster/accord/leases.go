package accord

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// mostAsking requests wait for a majority at one time.
	mostAsking = 4096
	// mostHolders are remembered by a leader.
	mostHolders = 4096
)

// holder is a process that may hold a lease: a proxy has two during an upgrade, and what one of them has said the other has not.
type holder struct {
	name string
	boot uint64
}

func compareHolders(a, b holder) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.boot, b.boot))
}

// lease is what a leader knows of a holder.
type lease struct {
	until        time.Duration // on this clock, it may hold as long
	holds        HeldVersions
	form         uint8
	stalledSince time.Duration // since when it has had the same, and been told of more; 0 if it has all
	deltas       bool          // it understands differences
	needsWhole   bool          // it has asked for the whole, or what it has differs from what is here
	longSent     time.Duration // when something too long for a datagram last went to it; 0 for never
}

// leaseOf is what is known of who asks; nil where no more can be remembered.
func (v *voter) leaseOf(m *Message) *lease {
	who := holder{m.From, m.InstanceID}
	l := v.leases[who]
	if l == nil && len(v.leases) < mostHolders {
		l = &lease{}
		v.leases[who] = l
	}
	return l
}

// noteHolds takes in what a holder has said it has. A renewal that waited for a majority may come behind an acknowledgement that was
// sent after it: within one log a holder only ever comes to have more.
func (v *voter) noteHolds(l *lease, has HeldVersions) {
	if has.Log == l.holds.Log && (has.Last < l.holds.Last || has.InForce < l.holds.InForce) {
		return
	}
	progressed := has != l.holds
	l.holds = has
	switch {
	case has == holdsOf(&v.state.Rules.Status):
		l.stalledSince = 0
	case progressed || l.stalledSince == 0:
		l.stalledSince = v.c.now
	}
}

// stalled says whether a holder has come to have no more for long, though it was told of more.
func (v *voter) stalled(l *lease) bool {
	return l.stalledSince != 0 && v.c.now-l.stalledSince > v.c.set.Times.Lease/2
}

// grant gives a proxy a lease on what is applied here, and with it what it lacks.
func (v *voter) grant(m *Message) {
	l := v.leaseOf(m)
	if l == nil {
		return // it goes on without one
	}
	s, now := &v.state.Rules.Status, v.c.now
	current := holdsOf(s)
	l.form, l.deltas = m.Form, m.AcceptsDeltas && !v.c.set.NoDeltas
	l.needsWhole = m.NeedsWhole || l.deltas && v.differs(m)
	if s.Form > max(m.Form, 1) {
		v.c.answer(m, &Message{Kind: Update, Status: outline(s)}) // it says so to its operators
		return
	}
	v.noteHolds(l, m.Held)
	if v.stalled(l) {
		// It is heard and hears nothing. With a lease that it does not know of it would keep every change from being in force.
		v.answerTell(m, l)
		return
	}
	l.until = now + v.c.set.Times.LeaseGuard()
	if l.holds == current && !l.needsWhole {
		v.answerGrant(m, l, &Message{Held: current})
		return
	}
	if v.bringsLong(l, l.holds) && v.mayRest(l) {
		// What it lacks takes its time. The lease does not wait for that, and rests on what the holder has.
		v.answerGrant(m, l, &Message{Held: l.holds})
		v.answerTell(m, l)
		return
	}
	g := &Message{Held: current}
	v.bring(g, l, l.holds) // without it the grant is of use where what was sent before has arrived meanwhile
	v.answerGrant(m, l, g)
}

// answerGrant answers a renewal by a grant on what it names.
func (v *voter) answerGrant(m *Message, l *lease, g *Message) {
	g.Kind, g.Seq = Grant, m.Seq
	if l.deltas {
		g.Digest = v.digests[g.Held]
	}
	v.c.answer(m, g)
}

// answerTell answers a renewal by what its sender lacks, unless something long has just been sent.
func (v *voter) answerTell(m *Message, l *lease) {
	if tell := (&Message{Kind: Update}); v.bring(tell, l, l.holds) {
		v.c.answer(m, tell)
	}
}

// maintain does what a leader has to do now and then.
func (v *voter) maintain() {
	now := v.c.now
	for h, l := range v.leases {
		if now > l.until+replaceAfter*v.c.set.Times.Election {
			delete(v.leases, h)
		}
	}
	v.enforce()
	v.membership()
}

// enforce brings versions into force that no lease stands against.
func (v *voter) enforce() {
	s, t, now := &v.state.Rules.Status, &v.c.set.Times, v.c.now
	if len(s.Pending) == 0 || !v.ownTermApplied || now-v.lastEnforce < t.Heartbeat && v.lastEnforce > 0 {
		return
	}
	if now < v.electedAt+t.LeaseGuard() && !v.c.set.NoLeaderWait {
		return // a leader before this one may have granted leases that this one knows nothing of
	}
	upTo := v.heldByAll()
	if v.c.set.NoPreparePhase {
		upTo = s.Last()
	}
	if upTo > s.InForce.Number && v.appendCommand(&command{Enforce: upTo}) {
		v.lastEnforce, v.enforcing = now, max(v.enforcing, upTo)
	}
}

// heldByAll is the newest version that all with a lease have said they have; 0 where some have none that is not in force.
func (v *voter) heldByAll() uint64 {
	s := &v.state.Rules.Status
	if v.blocks(v.slowest) {
		return 0 // each of many acknowledgements asks, and the one that is waited for has not come
	}
	upTo := s.Last()
	for _, l := range v.leases {
		if v.blocks(l) {
			v.slowest = l
			return 0
		}
		if l.until >= v.c.now {
			upTo = min(upTo, l.holds.Last)
		}
	}
	return upTo
}

// blocks says whether a holder, which may be nil, stands against every version that is on its way.
func (v *voter) blocks(l *lease) bool {
	s := &v.state.Rules.Status
	return l != nil && l.until >= v.c.now && (l.holds.Log != s.Log || l.holds.Last <= s.InForce.Number)
}

// notifyHolders brings the newest standing to all that hold a lease.
func (v *voter) notifyHolders() {
	current := holdsOf(&v.state.Rules.Status)
	for _, h := range slices.SortedFunc(maps.Keys(v.leases), compareHolders) {
		l := v.leases[h]
		if l.until < v.c.now || l.holds == current {
			continue
		}
		if m := (&Message{Kind: Update, From: v.c.set.Name, To: h.name}); v.bring(m, l, l.holds) {
			v.c.send(h.name, m)
		}
	}
}
