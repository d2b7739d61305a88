package view

import (
	"slices"
	"time"
)

// This file is about this process's own name: refuting what others hold of it, and settling which of two processes under one name has
// it.
//
// A process that starts claims its name from the process that had it, as after a restart. Later it pings another claimant first: if
// that one answers, this process yields and is no member any more; if it does not, as when an old record comes back from behind a
// partition, it claims the name again. So two living processes under one name settle on the later one, and no record of a dead one
// displaces a living one for good.

const (
	// joinPeriods after its start this process claims its name from any other process that has it; later it pings that one first.
	joinPeriods = 10
	// mostBackoff bounds the periods between two claims of a name that another process claims too. They double each time.
	maxClaimBackoff = 4096
)

// applyOwn merges a record of this process's own name: it refutes one that does not hold it alive, and settles who has the name.
func (v *View) applyOwn(now time.Duration, r *Record) {
	if v.displaced {
		return
	}
	if r.InstanceID == v.self.InstanceID {
		if r.State != Alive && r.Incarnation >= v.self.Incarnation {
			v.degradeHealth(1) // others did not get our answer: perhaps we are slow
			v.raiseIncarnation(now, r.Incarnation)
		} else if r.Incarnation > v.self.Incarnation {
			v.raiseIncarnation(now, r.Incarnation)
		}
		return
	}
	if !r.supersedes(&v.self) {
		return
	}
	if !r.State.present() {
		v.raiseIncarnation(now, r.Incarnation)
		return
	}
	if now-v.startedAt < joinPeriods*v.settings.Period && v.backoff == 1 {
		v.backoff = 2
		v.claimedAt = now
		v.raiseIncarnation(now, r.Incarnation)
		return
	}
	for _, a := range v.pendingPings {
		if a.claimant == r.InstanceID {
			return // a ping verifies that already
		}
	}
	v.ping(now, r.Address, nil, pendingPing{until: now + v.scaledByHealth(3*v.settings.Period), claimant: r.InstanceID, claimIncarnation: r.Incarnation})
}

// raiseIncarnation sets this process's incarnation above another, which refutes all records up to that.
func (v *View) raiseIncarnation(now time.Duration, other uint64) {
	if other >= maxIncarnation {
		return
	}
	v.digest ^= hash(&v.self)
	v.self.Incarnation = other + 1
	v.digest ^= hash(&v.self)
	v.markChanged(now, v.self.Name)
}

// claimName takes the name from a claimant that does not answer, at ever longer intervals: a claimant that is alive and cannot be
// reached does the same.
func (v *View) claimName(now time.Duration, claimed uint64) {
	if v.displaced || now-v.claimedAt < time.Duration(v.backoff)*v.settings.Period {
		return
	}
	v.claimedAt, v.backoff = now, min(2*v.backoff, maxClaimBackoff)
	v.raiseIncarnation(now, max(v.self.Incarnation, claimed))
}

// yieldName leaves the name to a later process that has sent a message itself.
func (v *View) yieldName(now time.Duration, r Record) {
	v.displaced = true
	v.digest ^= hash(&v.self)
	m := &member{Record: r, since: now, index: -1}
	v.insertMember(m)
	v.insertPresent(m)
	v.markChanged(now, r.Name)
	v.host.Changed(Change{Record: r, Was: Alive, Why: Displaced})
}

// retakeName takes the name back once the process that had it is gone.
func (v *View) retakeName(now time.Duration) {
	m := v.members[v.self.Name]
	v.removeMember(m)
	v.gone = slices.DeleteFunc(v.gone, func(g *member) bool { return g == m })
	v.displaced, v.duplicate = false, nil
	v.self.State = Alive
	v.digest ^= hash(&v.self)
	v.raiseIncarnation(now, max(m.Incarnation, v.self.Incarnation))
	v.host.Changed(Change{Record: v.self, Was: m.State, Why: Retaken})
}
