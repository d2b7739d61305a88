package accord

import (
	"time"

	"brasswell/internal/cluster/rules"
)

// wholeEvery is the share of a lease's time within which the whole standing goes to one holder once: it may take long, and a renewal
// comes meanwhile. It delays who has not got it, and grants nobody more.
const wholeEvery = 1. / 3

// differences are what a leader has worked out for its newest standing: many holders lack the same.
type differences struct {
	of     Holds
	digest rules.Digest
	byBase map[Holds]*rules.Delta // nil for one that only the whole helps
}

// differences are those for the newest standing.
func (v *voter) differences() *differences {
	s := &v.state.Rules.Standing
	if v.worked == nil || v.worked.of != holdsOf(s) {
		v.worked = &differences{of: holdsOf(s), digest: s.Digest(), byBase: map[Holds]*rules.Delta{}}
	}
	return v.worked
}

// delta is what somebody lacks; nil where only the whole helps.
func (v *voter) delta(has Holds) *rules.Delta {
	work := v.differences()
	d, known := work.byBase[has]
	if !known {
		var ok bool
		if d, ok = rules.Between(v.state.Rules, rules.Position(has)); !ok || d.Freeze() != nil {
			d = nil // which cannot be written goes out as a whole
		}
		work.byBase[has] = d
	}
	return d
}

// differs says whether who asks has something else than is here, under the same numbers.
func (v *voter) differs(m *Message) bool {
	work := v.differences()
	return m.Holds == work.of && m.Digest != 0 && m.Digest != work.digest && !v.c.set.NoDigest
}

// bring puts into a message what a holder lacks, and says whether it has: the difference where the holder understands it and its base
// is known here, and the whole otherwise, unless that has just been sent.
func (v *voter) bring(m *Message, l *lease, has Holds) bool {
	if l.deltas && !l.needsWhole {
		if m.Delta = v.delta(has); m.Delta != nil {
			return true
		}
	}
	now := v.c.now
	if l.wholeSent != 0 && now < l.wholeSent+time.Duration(wholeEvery*float64(v.c.set.Times.Lease)) {
		return false
	}
	l.wholeSent = now
	m.Standing = v.state.Rules.Share()
	return true
}

// outline is a standing without its documents, for who does not understand them: it takes none of them, and is to know that they
// are there.
func outline(s *rules.Standing) *rules.Standing {
	o := &rules.Standing{Log: s.Log, Reign: s.Reign, Form: s.Form, InForce: rules.Version{Number: s.InForce.Number}}
	for i := range s.Pending {
		o.Pending = append(o.Pending, rules.Version{Number: s.Pending[i].Number})
	}
	return o
}
