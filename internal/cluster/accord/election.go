package accord

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"
)

const (
	// silentElections is the time for which a leader without a majority sends nothing before it tries again, in
	// election timeouts.
	silentElections = 4
	// maxRounds bounds the rounds that wait for confirmation by a majority.
	maxRounds = 64
)

func (v *voter) resetTimeout() {
	e := v.c.settings.Times.Election
	v.electionTimeout = e + time.Duration(v.c.rng.Float64()*float64(e))
}

// heartbeat announces that this voter leads, and starts a round in which a majority confirms it.
func (v *voter) heartbeat() {
	now, t := v.c.now, &v.c.settings.Times
	v.nextHeartbeat = now + t.Heartbeat
	if now-v.majorityHeard > 2*t.Election {
		// No majority answers. A leader whose messages arrive but which receives none would keep the others from an
		// election, so it sends nothing for longer than their election timeout.
		if now < v.silentUntil {
			return
		}
		if v.silentUntil == 0 || now >= v.silentUntil+t.Election/2 {
			v.silentUntil = now + silentElections*t.Election
			v.unconfirmed = nil
			return
		}
	} else {
		v.silentUntil = 0
	}
	for _, id := range v.sentSnapshots {
		v.raft.ReportSnapshot(id, raft.SnapshotFinish)
	}
	v.sentSnapshots = nil
	// A round is a heartbeat too, except in a log with one voter: no other voter confirms it, and learners get no
	// message for it.
	if !v.confirm() || !v.ownTermApplied || len(v.confState.GetVoters()) == 1 {
		v.raft.Tick()
	}
	v.maintain()
}

// confirm starts a round in which a majority confirms the leader, for all renewals received so far, and reports whether
// it did.
func (v *voter) confirm() bool {
	if len(v.rounds) >= maxRounds {
		return false
	}
	v.round++
	v.rounds[v.round], v.unconfirmed = v.unconfirmed, nil
	v.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, v.round))
	return true
}

// roundConfirmed grants the renewals of a confirmed round: a majority confirmed that this voter led after they were
// requested.
func (v *voter) roundConfirmed(s raft.ReadState) {
	if len(s.RequestCtx) != 8 || !v.isLeader || s.Index > v.applied {
		return // the granted entries must be applied here first; the holders renew again
	}
	round := binary.BigEndian.Uint64(s.RequestCtx)
	requests := v.rounds[round]
	for r := range v.rounds {
		if r <= round {
			delete(v.rounds, r)
		}
	}
	v.majorityHeard = v.c.now
	for _, m := range requests {
		v.grant(m)
	}
	if len(v.unconfirmed) > 0 && len(v.rounds) == 0 {
		v.confirm()
	}
}

// leaderName returns the name of the leader, as far as this voter knows; "" for none.
func (v *voter) leaderName() string {
	if v.halted || v.leaderID == 0 {
		return ""
	}
	return v.nameOf(v.leaderID)
}

// nameOf returns the name of the voter with the given log.
func (v *voter) nameOf(id uint64) string {
	if id == v.id {
		return v.c.settings.Name
	}
	for name, log := range v.state.Voters {
		if log == id {
			return name
		}
	}
	return v.byLog[id]
}

// setRole switches between leader and follower.
func (v *voter) setRole(leads bool) {
	if leads == v.isLeader {
		return
	}
	now := v.c.now
	v.isLeader, v.ownTermApplied, v.silentUntil = leads, false, 0
	v.leases, v.unconfirmed, v.rounds, v.proposers, v.sentSnapshots = nil, nil, nil, nil, nil
	v.deltas, v.slowest, v.enforcing, v.agreedAt = nil, nil, 0, map[uint64]time.Duration{}
	if !leads {
		v.leaderHeard = now
		v.resetTimeout()
		v.c.host.Notify(Deposed, Note{Name: v.c.settings.Name})
		return
	}
	v.electedAt, v.majorityHeard, v.nextHeartbeat, v.lastEnforce = now, now, now, 0
	v.leases, v.rounds, v.proposers = map[holder]*lease{}, map[uint64][]*Message{}, map[string]*Message{}
	v.c.host.Notify(Elected, Note{Name: v.c.settings.Name})
}
