package view

import (
	"slices"
	"time"
)

// This file handles records of this process's own name: it refutes wrong records and decides which of two processes with the same name
// keeps it.
//
// A process that starts claims its name from the process that had it before, as after a restart. Later it pings another claimant
// first. If the claimant answers, this process yields and is no longer a member. If it does not, as when a partition heals and an
// outdated record arrives, this process claims the name again. So of two living processes with one name the later one keeps it, and no
// record of a dead process displaces a living one permanently.

const (
	// joinPeriods is how many periods after its start this process may make its first claim of the name without pinging the claimant;
	// all other claims follow a ping that stays unanswered.
	joinPeriods = 10
	// maxClaimBackoff bounds the number of periods between two claims of a name that another process claims too. It doubles with each claim.
	maxClaimBackoff = 4096
)

// applyOwn merges a record of this process's own name: it refutes one that does not hold this process alive, and handles claims by
// other processes.
func (v *View) applyOwn(now time.Duration, r *Record) {
	if v.displaced {
		return
	}
	if r.InstanceID == v.self.InstanceID {
		if r.State != Alive && r.Incarnation >= v.self.Incarnation {
			v.degradeHealth(1) // others did not receive this process's answer: it may be slow
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
			return // a ping already verifies this claim
		}
	}
	v.ping(now, r.Address, nil, pendingPing{until: now + v.scaledByHealth(3*v.settings.Period), claimant: r.InstanceID, claimIncarnation: r.Incarnation})
}

// raiseIncarnation sets this process's incarnation above another, which refutes all records up to that incarnation.
func (v *View) raiseIncarnation(now time.Duration, other uint64) {
	if other >= maxIncarnation {
		return
	}
	v.digest ^= hash(&v.self)
	v.self.Incarnation = other + 1
	v.digest ^= hash(&v.self)
	v.markChanged(now, v.self.Name)
}

// claimName claims the name from a claimant that does not answer. The interval between claims grows, since a claimant that is alive but
// unreachable does the same.
func (v *View) claimName(now time.Duration, claimed uint64) {
	if v.displaced || now-v.claimedAt < time.Duration(v.backoff)*v.settings.Period {
		return
	}
	v.claimedAt, v.backoff = now, min(2*v.backoff, maxClaimBackoff)
	v.raiseIncarnation(now, max(v.self.Incarnation, claimed))
}

// yieldName cedes the name to a later process that has sent a message itself.
func (v *View) yieldName(now time.Duration, r Record) {
	v.displaced = true
	v.digest ^= hash(&v.self)
	m := &member{Record: r, since: now, index: -1}
	v.insertMember(m)
	v.insertPresent(m)
	v.markChanged(now, r.Name)
	v.host.Changed(Change{Record: r, Was: Alive, Why: Displaced})
}

// retakeName reclaims the name once the process that had it is gone.
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
