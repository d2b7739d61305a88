package accord

import (
	"maps"
	"time"

	"brasswell/internal/cluster/rules"
)

const (
	// longEvery is the share of a lease's time within which what is too long for a datagram goes to one holder once: it may take long,
	// and a renewal comes meanwhile. It delays who has not got it, and grants nobody more.
	longEvery = 1. / 3
	// mostShort is the bytes of a difference that goes with a grant in one datagram, of 1,200 bytes.
	mostShort = 900
)

// differences are what a leader has worked out for its newest standing: many holders lack the same.
type differences struct {
	of     HeldVersions
	byBase map[HeldVersions]*rules.Delta // nil for one that only the whole helps
}

// delta is what somebody lacks of the newest standing; nil where only the whole helps.
func (v *voter) delta(has HeldVersions) *rules.Delta {
	newest := holdsOf(&v.state.Rules.Status)
	if v.worked == nil || v.worked.of != newest || len(v.worked.byBase) > mostHolders {
		v.worked = &differences{of: newest, byBase: map[HeldVersions]*rules.Delta{}}
	}
	d, known := v.worked.byBase[has]
	if !known {
		var ok bool
		if d, ok = rules.DeltaFrom(v.state.Rules, rules.Position(has)); !ok || d.CacheEncoding() != nil {
			d = nil // which cannot be written goes out as a whole
		}
		v.worked.byBase[has] = d
	}
	return d
}

// noteDigest remembers the digest of the standing as it is now, and lets go of those on which no lease is granted any more.
func (v *voter) noteDigest() {
	s := &v.state.Rules.Status
	for of := range v.digests {
		if of.Log != s.Log || of.Last < s.InForce.Number {
			delete(v.digests, of)
		}
	}
	if v.digests == nil {
		v.digests = map[HeldVersions]rules.Digest{}
	}
	v.digests[holdsOf(s)] = s.Digest()
}

// differs says whether who asks has something else than was here under the same numbers.
func (v *voter) differs(m *Message) bool {
	digest, known := v.digests[m.Held]
	return known && m.Digest != 0 && m.Digest != digest && !v.c.set.NoDigestCheck
}

// bring puts into a message what a holder lacks, and says whether it has: the difference where the holder understands it and its base
// is known here, and the whole otherwise. What is long is left out where something long has just been sent.
func (v *voter) bring(m *Message, l *lease, has HeldVersions) bool {
	var d *rules.Delta
	if l.deltas && !l.needsWhole {
		d = v.delta(has)
	}
	if d != nil && v.isShort(d) {
		m.Delta = d
		return true
	}
	now := v.c.now
	if l.longSent != 0 && now < l.longSent+time.Duration(longEvery*float64(v.c.set.Times.Lease)) {
		return false
	}
	l.longSent = now
	if m.Delta = d; d == nil {
		m.Status = v.state.Rules.Copy()
	}
	return true
}

// isShort says whether a difference goes with a grant in one datagram.
func (v *voter) isShort(d *rules.Delta) bool {
	most := mostShort
	if v.c.set.MaxInlineDelta > 0 {
		most = v.c.set.MaxInlineDelta
	}
	return d.EncodedSize() <= most
}

// bringsLong says whether what a holder lacks is too long for a datagram.
func (v *voter) bringsLong(l *lease, has HeldVersions) bool {
	if !l.deltas || l.needsWhole {
		return true
	}
	d := v.delta(has)
	return d == nil || !v.isShort(d)
}

// mayRest says whether a lease may rest on what a holder has said it has, though there is more: as long as nothing is in force, or may
// come to be by what this leader has written into the log, that the holder does not know. A version that it does not know is kept from
// being in force by the lease itself: see enforce.
func (v *voter) mayRest(l *lease) bool {
	s := &v.state.Rules.Status
	if l.holds.Log != s.Log || l.needsWhole || l.holds.InForce > s.InForce.Number || l.holds.Last < s.InForce.Number {
		return false
	}
	if l.holds.Last < v.enforcing && !v.c.set.NoEnforcingCheck {
		return false
	}
	_, known := v.digests[l.holds]
	return known && v.restsInTime(l.holds.Last+1)
}

// restsInTime says whether a lease that is granted now, to who does not know a version, is over by the stated time after that was
// agreed, whatever becomes of this leader. Of a version that came from a leader before it is not known when that was.
func (v *voter) restsInTime(unknown uint64) bool {
	if unknown > v.state.Rules.Last() {
		return true // it knows all that there is
	}
	t := &v.c.set.Times
	at, known := v.agreedAt[unknown]
	return known && v.c.now <= at+t.Election+t.Renew+t.RequestTimeout // see Times.Bound, which has a lease's time beside these
}

// noteAgreed remembers when the newest version was agreed, where that was under this leader, and lets go of those in force.
func (v *voter) noteAgreed() {
	s := &v.state.Rules.Status
	maps.DeleteFunc(v.agreedAt, func(n uint64, _ time.Duration) bool { return n <= s.InForce.Number })
	if v.leads && v.ownTermApplied {
		v.agreedAt[s.Last()] = v.c.now
	}
}

// outline is a standing without its documents, for who does not understand them: it takes none of them, and is to know that they
// are there.
func outline(s *rules.Status) *rules.Status {
	o := &rules.Status{Log: s.Log, Term: s.Term, Form: s.Form, InForce: rules.Version{Number: s.InForce.Number}}
	for i := range s.Pending {
		o.Pending = append(o.Pending, rules.Version{Number: s.Pending[i].Number})
	}
	return o
}
