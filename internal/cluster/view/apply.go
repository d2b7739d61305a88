package view

import (
	"slices"
	"time"
)

// apply merges a record that a process has sent into the view.
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
			v.startExchange(now, v.settings.Period, r.Address) // it may not be the only one that is back
		}
	case r.State == Left:
		if m.State != Left {
			v.setRecord(now, m, *r, Leaving)
		}
	case m.State == Dead || m.State == Left:
		if !same { // it has gone once more, meanwhile
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

// accuser is the member that found another one suspect or dead.
func accuser(r *Record, from string) string {
	if r.By == "" || r.By == r.Name {
		return from
	}
	return r.By
}

// verifyDeath probes a member that is alive here and dead for another process. A member is not declared dead on another's word: it can
// refute, and only if it does not answer here either it becomes suspect.
//
// It guards against a false record, and against old ones that come back from behind a partition. It costs a probe each; those beyond
// mostWidth at one time are not sent, and come again with the next exchange.
func (v *View) verifyDeath(now time.Duration, m *member, r *Record, from string) {
	if len(v.probes) >= 2*maxProbeWidth || slices.ContainsFunc(v.probes, func(p probe) bool { return p.name == m.Name }) {
		return
	}
	claim := *r
	v.probe(now, m, &claim, accuser(r, from))
}
