package view

import (
	"slices"
	"time"
)

// apply merges a record received from another process into the view.
func (v *View) apply(now time.Duration, r *Record, from string) {
	if r.Name == v.self.Name {
		v.applyOwn(now, r)
		if !v.displaced || r.InstanceID == v.self.InstanceID {
			return
		}
	}
	m := v.members[r.Name]
	if m == nil {
		v.addMember(now, r)
		return
	}
	same := r.InstanceID == m.InstanceID && r.Incarnation == m.Incarnation
	switch {
	case !same && !r.supersedes(&m.Record):
	case r.State == Alive:
		if same {
			m.aliveElsewhere = m.aliveElsewhere || m.State == Dead && from != m.Name
			return
		}
		why, was := Refuted, m.State
		if r.InstanceID != m.InstanceID {
			why = Returned
		} else if was == Suspect && m.ownSuspicion {
			v.noteFalseSuspicion(now)
		}
		v.setRecord(now, m, *r, why)
		if was == Dead && from == r.Name && !v.settings.NoDeadPings {
			v.startExchange(now, v.settings.Period, r.Address) // others that were unreachable may have returned too
		}
	case r.State == Left:
		if m.State != Left {
			v.setRecord(now, m, *r, Leaving)
		}
	case m.State == Dead || m.State == Left:
		if !same { // a later start or incarnation is dead or left as well
			v.setRecord(now, m, *r, Reported)
		}
	case r.State == Dead && m.State == Alive:
		v.verifyDeath(now, m, r, from)
	default:
		if !same {
			alive := *r
			alive.State, alive.By = Alive, ""
			v.setRecord(now, m, alive, Reported)
		}
		v.raiseSuspicion(now, m, accuser(r, from), Reported)
		if m.State == Suspect && r.State == Dead && !m.deadElsewhere {
			m.deadElsewhere = true
			v.setSuspicionDeadline(now, m)
		}
	}
}

// accuser returns the name of the member that found another member suspect or dead.
func accuser(r *Record, from string) string {
	if r.By == "" || r.By == r.Name {
		return from
	}
	return r.By
}

// verifyDeath probes a member that is alive in this view and dead in another process's view. A report alone does not make the
// member dead: the probe lets it refute the record, and it becomes suspect only if it does not answer this process either.
//
// This guards against false records and against outdated ones that arrive when a partition heals. Each verification costs one
// probe. No verification starts while 2*maxProbeWidth probes are in flight; the next exchange repeats the record.
func (v *View) verifyDeath(now time.Duration, m *member, r *Record, from string) {
	if len(v.probes) >= 2*maxProbeWidth || slices.ContainsFunc(v.probes, func(p probe) bool { return p.name == m.Name }) {
		return
	}
	claim := *r
	v.probe(now, m, &claim, accuser(r, from))
}
