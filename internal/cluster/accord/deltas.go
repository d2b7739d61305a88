package accord

import (
	"maps"
	"time"

	"brasswell/internal/cluster/rules"
)

const (
	// longSendShare is the minimum interval between two messages to one holder that do not fit into a datagram, as a
	// fraction of a lease. Such a message may take long to arrive, and a renewal may arrive in between. The limit
	// delays a holder that lost the message; it does not extend any lease.
	longSendShare = 1. / 3
	// maxInlineDelta is the maximum size in bytes of a delta that fits with its grant into one datagram of 1,200 bytes.
	maxInlineDelta = 900
)

// deltaCache holds the deltas that a leader has computed for its newest status, because many holders need the same one.
type deltaCache struct {
	versions HeldVersions
	byBase   map[HeldVersions]*rules.Delta // nil if only the whole status helps
}

// deltaFrom returns the delta from the versions that a holder has to the newest status; nil if only the whole status
// helps.
func (v *voter) deltaFrom(has HeldVersions) *rules.Delta {
	newest := versionsOf(&v.state.Rules.Status)
	if v.deltas == nil || v.deltas.versions != newest || len(v.deltas.byBase) > maxHolders {
		v.deltas = &deltaCache{versions: newest, byBase: map[HeldVersions]*rules.Delta{}}
	}
	d, known := v.deltas.byBase[has]
	if !known {
		var ok bool
		if d, ok = rules.DeltaFrom(v.state.Rules, rules.Position(has)); !ok || d.CacheEncoding() != nil {
			d = nil // if the delta cannot be encoded, the whole status is sent
		}
		v.deltas.byBase[has] = d
	}
	return d
}

// recordDigest records the digest of the current status, and drops those for which no lease is granted anymore.
func (v *voter) recordDigest() {
	s := &v.state.Rules.Status
	for of := range v.digests {
		if of.Log != s.Log || of.Last < s.InForce.Number {
			delete(v.digests, of)
		}
	}
	if v.digests == nil {
		v.digests = map[HeldVersions]rules.Digest{}
	}
	v.digests[versionsOf(s)] = s.Digest()
}

// digestDiffers reports whether the sender has other rules than this voter had under the same numbers.
func (v *voter) digestDiffers(m *Message) bool {
	digest, known := v.digests[m.Held]
	return known && m.Digest != 0 && m.Digest != digest && !v.c.settings.NoDigestCheck
}

// addMissing adds the rules that a holder lacks to a message, and reports whether it did: a delta if the holder
// understands deltas and its base is known here, and the whole status otherwise. It adds nothing that exceeds a
// datagram shortly after another such message.
func (v *voter) addMissing(m *Message, l *lease, has HeldVersions) bool {
	var d *rules.Delta
	if l.acceptsDeltas && !l.needsWhole {
		d = v.deltaFrom(has)
	}
	if d != nil && v.fitsInline(d) {
		m.Delta = d
		return true
	}
	now := v.c.now
	if l.longSentAt != 0 && now < l.longSentAt+time.Duration(longSendShare*float64(v.c.settings.Times.Lease)) {
		return false
	}
	l.longSentAt = now
	if m.Delta = d; d == nil {
		m.Status = v.state.Rules.Copy()
	}
	return true
}

// fitsInline reports whether a delta fits into one datagram with its grant.
func (v *voter) fitsInline(d *rules.Delta) bool {
	limit := maxInlineDelta
	if v.c.settings.MaxInlineDelta > 0 {
		limit = v.c.settings.MaxInlineDelta
	}
	return d.EncodedSize() <= limit
}

// needsLongSend reports whether the rules that a holder lacks are too long for a datagram.
func (v *voter) needsLongSend(l *lease, has HeldVersions) bool {
	if !l.acceptsDeltas || l.needsWhole {
		return true
	}
	d := v.deltaFrom(has)
	return d == nil || !v.fitsInline(d)
}

// mayLeaseHeld reports whether a lease may cover the versions that a holder has acknowledged although there are newer
// ones. It may if the holder knows every version that is in force or that this leader has proposed to enforce. The
// lease itself keeps a version that the holder does not know from being in force: see enforce.
func (v *voter) mayLeaseHeld(l *lease) bool {
	s := &v.state.Rules.Status
	if l.held.Log != s.Log || l.needsWhole || l.held.InForce > s.InForce.Number || l.held.Last < s.InForce.Number {
		return false
	}
	if l.held.Last < v.enforcing && !v.c.settings.NoEnforcingCheck {
		return false
	}
	_, known := v.digests[l.held]
	return known && v.leaseEndsInTime(l.held.Last+1)
}

// leaseEndsInTime reports whether a lease that is granted now to a holder that does not know a version expires within
// Times.ConvergenceBound after the commit of that version, even if this leader fails. The time of the commit is not
// known for a version that was committed under an earlier leader.
func (v *voter) leaseEndsInTime(unknown uint64) bool {
	if unknown > v.state.Rules.Last() {
		return true // the holder knows all versions
	}
	t := &v.c.settings.Times
	at, known := v.agreedAt[unknown]
	return known && v.c.now <= at+t.Election+t.Renew+t.RequestTimeout // Times.ConvergenceBound adds the duration of a lease to these
}

// recordAgreed records when the newest version was committed, if this leader committed it, and drops the times of
// versions in force.
func (v *voter) recordAgreed() {
	s := &v.state.Rules.Status
	maps.DeleteFunc(v.agreedAt, func(n uint64, _ time.Duration) bool { return n <= s.InForce.Number })
	if v.isLeader && v.ownTermApplied {
		v.agreedAt[s.Last()] = v.c.now
	}
}

// outline returns a status without its documents, for a proxy that does not understand them: it applies none of them,
// but must know that they exist.
func outline(s *rules.Status) *rules.Status {
	o := &rules.Status{Log: s.Log, Term: s.Term, Form: s.Form, InForce: rules.Version{Number: s.InForce.Number}}
	for i := range s.Pending {
		o.Pending = append(o.Pending, rules.Version{Number: s.Pending[i].Number})
	}
	return o
}
