package accord

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"
)

const (
	// silentRest is for how many elections' times a leader without a majority keeps silent before it tries again.
	silentRest = 4
	// mostRounds wait for a majority's confirmation at one time.
	mostRounds = 64
)

func (v *voter) resetTimeout() {
	e := v.c.set.Times.Election
	v.electionTimeout = e + time.Duration(v.c.rng.Float64()*float64(e))
}

// heartbeat says that this voter leads, and has a majority confirm it.
func (v *voter) heartbeat() {
	now, t := v.c.now, &v.c.set.Times
	v.nextHeartbeat = now + t.Heartbeat
	if now-v.majorityHeard > 2*t.Election {
		// No majority answers. A leader whose messages arrive and who hears nobody would keep the others from an election, so
		// it is silent for longer than those wait.
		if now < v.silentUntil {
			return
		}
		if v.silentUntil == 0 || now >= v.silentUntil+t.Election/2 {
			v.silentUntil = now + silentRest*t.Election
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
	// A round is a heartbeat too, but for a log of one voter: that is confirmed by nobody else, and learners hear nothing of it.
	if !v.confirm() || !v.ownTermApplied || len(v.conf.GetVoters()) == 1 {
		v.raft.Tick()
	}
	v.maintain()
}

// confirm begins a round that a majority confirms, for all renewals that have come until now, and says whether it has.
func (v *voter) confirm() bool {
	if len(v.rounds) >= mostRounds {
		return false
	}
	v.round++
	v.rounds[v.round], v.unconfirmed = v.unconfirmed, nil
	v.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, v.round))
	return true
}

// confirmedRound grants what a majority has confirmed: this voter led after these were asked for.
func (v *voter) confirmedRound(s raft.ReadState) {
	if len(s.RequestCtx) != 8 || !v.leads || s.Index > v.applied {
		return // what is granted must be applied here; they ask again
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

// leader is the name of who leads, as far as this voter knows; "" for none.
func (v *voter) leader() string {
	if v.halted || v.lead == 0 {
		return ""
	}
	return v.name(v.lead)
}

// name is that of the voter with a log.
func (v *voter) name(id uint64) string {
	if id == v.id {
		return v.c.set.Name
	}
	for name, log := range v.state.Keepers {
		if log == id {
			return name
		}
	}
	return v.byLog[id]
}

// setRole takes in whether this voter leads.
func (v *voter) setRole(leads bool) {
	if leads == v.leads {
		return
	}
	now := v.c.now
	v.leads, v.ownTermApplied, v.silentUntil = leads, false, 0
	v.leases, v.unconfirmed, v.rounds, v.proposers, v.sentSnapshots = nil, nil, nil, nil, nil
	v.worked, v.slowest, v.enforcing, v.agreedAt = nil, nil, 0, map[uint64]time.Duration{}
	if !leads {
		v.leaderHeard = now
		v.resetTimeout()
		v.c.host.Notify(Deposed, Note{Name: v.c.set.Name})
		return
	}
	v.electedAt, v.majorityHeard, v.nextHeartbeat, v.lastEnforce = now, now, now, 0
	v.leases, v.rounds, v.proposers = map[holder]*lease{}, map[uint64][]*Message{}, map[string]*Message{}
	v.c.host.Notify(Elected, Note{Name: v.c.set.Name})
}
