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
	holds        Holds
	form         uint8
	stalledSince time.Duration // since when it asks with the same and has been told of more; 0 if it does not
}

// grant gives a proxy a lease on what is applied here, and with it what it lacks.
func (v *voter) grant(m *Message) {
	l := v.leases[holder{m.From, m.Boot}]
	if l == nil {
		if len(v.leases) >= mostHolders {
			return // it goes on without one
		}
		l = &lease{}
		v.leases[holder{m.From, m.Boot}] = l
	}
	l.form = m.Form
	s, now := &v.state.Rules.Standing, v.c.now
	switch {
	case s.Form > max(m.Form, 1):
		v.c.answer(m, &Message{Kind: Tell, Standing: s.Share()}) // it says so to its operators
		return
	case m.Holds == holdsOf(s):
		l.stalledSince = 0
	case l.stalledSince == 0 || m.Holds != l.holds:
		l.stalledSince = now
	case now-l.stalledSince > v.c.set.Times.Lease/2:
		// It is heard and hears nothing. With a lease that it does not know of it would keep every change from being in force.
		v.c.answer(m, &Message{Kind: Tell, Standing: s.Share()})
		return
	}
	l.until, l.holds = now+v.c.set.Times.Guard(), m.Holds
	g := &Message{Kind: Grant, Seq: m.Seq, Holds: holdsOf(s)}
	if m.Holds != g.Holds {
		g.Standing = s.Share()
	}
	v.c.answer(m, g)
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
	s, t, now := &v.state.Rules.Standing, &v.c.set.Times, v.c.now
	if len(s.Pending) == 0 || !v.ownTermApplied || now-v.lastEnforce < t.Heartbeat && v.lastEnforce > 0 {
		return
	}
	if now < v.electedAt+t.Guard() && !v.c.set.NoWait {
		return // a leader before this one may have granted leases that this one knows nothing of
	}
	upTo := s.Last()
	for _, l := range v.leases {
		if l.until < now {
			continue
		}
		if l.holds.Log != s.Log {
			return
		}
		upTo = min(upTo, l.holds.Last)
	}
	if v.c.set.NoPrepared {
		upTo = s.Last()
	}
	if upTo > s.InForce.Number && v.appendCommand(&command{Enforce: upTo}) {
		v.lastEnforce = now
	}
}

// notifyHolders brings the newest standing to all that hold a lease.
func (v *voter) notifyHolders() {
	s := &v.state.Rules.Standing
	for _, h := range slices.SortedFunc(maps.Keys(v.leases), compareHolders) {
		if l := v.leases[h]; l.until >= v.c.now && l.holds != holdsOf(s) {
			v.c.send(h.name, &Message{Kind: Tell, From: v.c.set.Name, To: h.name, Standing: s.Share()})
		}
	}
}
