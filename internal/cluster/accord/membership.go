package accord

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"go.etcd.io/raft/v3/raftpb"

	"brasswell/internal/cluster/rules"
)

// This file contains the membership of the voters: how the log is founded, and how a voter that has lost its folder
// rejoins it.
//
// Each voter's log has an ID, drawn at random when the log is started, and the Raft configuration contains these IDs,
// not names. A voter that comes back with an empty folder is therefore a new member, which does not vote until the
// others have added it. It never votes a second time in an election in which the lost folder voted.

// sendHellos sends this voter's Hello to the other voters.
func (v *voter) sendHellos() {
	for _, name := range v.c.settings.Voters {
		if name != v.c.settings.Name {
			v.c.host.Send(name, v.helloTo(name, false))
		}
	}
}

func (v *voter) helloTo(name string, reply bool) *Message {
	m := &Message{Kind: Hello, From: v.c.settings.Name, To: name, LogID: v.id, Empty: v.empty, Reply: reply, Term: v.state.Rules.Term, Form: v.c.settings.form()}
	if p := v.peers[name]; p != nil && v.isLeader {
		if progress, ok := v.raft.Status().Progress[p.logID]; ok {
			m.Match = progress.Match
		}
	}
	return m
}

// handleHello records another voter's log.
func (v *voter) handleHello(m *Message) {
	if !slices.Contains(v.c.settings.Voters, m.From) || m.LogID == 0 || m.From == v.c.settings.Name {
		return
	}
	if m.Term > v.state.Rules.Term && !m.Empty && !v.empty {
		v.c.host.Notify(Superseded, Note{Name: m.From})
		v.resetLog()
		return
	}
	p := v.peers[m.From]
	if p == nil {
		p = &peer{}
		v.peers[m.From] = p
	}
	delete(v.byLog, p.logID)
	v.byLog[m.LogID] = m.From
	// A new log is ignored while messages of the same name's agreed log are recent: two processes may use one name.
	if agreed := v.state.Voters[m.From]; agreed != 0 && p.logID == agreed && m.LogID != agreed && v.c.now-p.lastHeard < replaceAfter*v.c.settings.Times.Election {
		return
	}
	*p = peer{logID: m.LogID, empty: m.Empty, form: m.Form, lastHeard: v.c.now}
	if last, _ := v.log.LastIndex(); m.Match > last {
		v.resetLog()
		return
	}
	if !m.Reply {
		v.c.host.Send(m.From, v.helloTo(m.From, true))
	}
}

// foundIfDue founds the voters' log at the first voter, once all others have announced that their logs are empty. It is
// a log with one voter, which adds the others in the same way as those that come later, so that a log starts in only
// one way.
func (v *voter) foundIfDue() {
	s := &v.c.settings
	if !v.empty || s.Voters[0] != s.Name {
		return
	}
	for _, name := range s.Voters[1:] {
		if p := v.peers[name]; p == nil || !p.empty || v.c.now-p.lastHeard > replaceAfter*s.Times.Election {
			return
		}
	}
	if err := v.install(rules.NewState()); err != nil {
		v.halt(err)
		return
	}
	v.c.host.Notify(Founded, Note{Name: s.Name})
}

// refound starts a log with this voter alone, under the next term of the rules. It includes all entries of the old log,
// committed or not, because they may have been acknowledged.
func (v *voter) refound() error {
	last, err := v.log.LastIndex()
	if err != nil {
		return fmt.Errorf("accord: %w", err)
	}
	if last > v.applied {
		entries, err := v.log.Entries(v.applied+1, last+1, 1<<63)
		if err != nil {
			return fmt.Errorf("accord: %w", err)
		}
		v.isLeader = false
		before := versionsOf(&v.state.Rules.Status)
		for _, e := range entries {
			cmd := &command{}
			if e.GetType() == raftpb.EntryNormal && len(e.Data) > 0 && decMode.Unmarshal(e.Data, cmd) == nil {
				v.execute(cmd)
			}
		}
		v.adoptIfChanged(before)
	}
	state := v.state.Rules.Clone()
	state.Term++
	v.id = v.c.rng.Uint64() | 1
	if err := v.install(state); err != nil {
		v.halt(err)
		return err
	}
	v.c.host.Notify(Refounded, Note{Name: v.c.settings.Name})
	return nil
}

// install starts a log with this voter alone, with the given state and this voter's current ID.
func (v *voter) install(state *rules.State) error {
	state.Log = v.id
	data, err := cbor.Marshal(&replicatedState{Rules: state, Voters: map[string]uint64{v.c.settings.Name: v.id}})
	if err != nil {
		return err
	}
	index, term := uint64(1), uint64(1)
	snapshot := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{
		ConfState: &raftpb.ConfState{Voters: []uint64{v.id}}, Index: &index, Term: &term,
	}}
	hard := &raftpb.HardState{Term: &term, Commit: &index}
	if err := v.c.host.Save(&Record{LogID: v.id, Hard: hard, Snapshot: snapshot, Install: true}); err != nil {
		return err
	}
	v.setRole(false)
	v.leaderID = 0
	if err := v.load(Stored{LogID: v.id, Hard: hard, Snapshot: snapshot}); err != nil {
		return err
	}
	return v.raft.Campaign()
}

// updateMembership adds the voters that the settings name, one at a time and first as learners, which do not vote until
// they have the log. It also removes the logs that they replace.
func (v *voter) updateMembership() {
	if !v.ownTermApplied {
		return
	}
	status := v.raft.Status()
	voters, learners := v.confState.GetVoters(), v.confState.GetLearners()
	for _, id := range learners {
		if p, ok := status.Progress[id]; ok && p.Match > 0 && p.Match+8 >= v.applied {
			v.proposeConfChange(raftpb.ConfChangeAddNode, id, v.nameOf(id))
			return
		}
	}
	if len(learners) > 0 {
		// Only one learner at a time; but a learner that was lost before it had the log must not block the next log of
		// its name.
		id := learners[0]
		if p := v.peers[v.nameOf(id)]; p != nil && p.logID != id {
			v.proposeConfChange(raftpb.ConfChangeRemoveNode, id, v.nameOf(id))
		}
		return
	}
	for _, name := range v.c.settings.Voters {
		p, agreed := v.peers[name], v.state.Voters[name]
		if name == v.c.settings.Name || p == nil || p.logID == agreed || v.c.now-p.lastHeard > replaceAfter*v.c.settings.Times.Election {
			continue
		}
		switch {
		case slices.Contains(voters, agreed) && len(voters) > 1:
			v.proposeConfChange(raftpb.ConfChangeRemoveNode, agreed, name)
		case p.empty:
			v.proposeConfChange(raftpb.ConfChangeAddLearnerNode, p.logID, name)
		}
		return
	}
}

func (v *voter) proposeConfChange(kind raftpb.ConfChangeType, id uint64, name string) {
	v.raft.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &id, Context: []byte(name)}) // a failed change is proposed again
}

// changeConf applies a committed change of the voters.
func (v *voter) changeConf(cc *raftpb.ConfChange) {
	v.confState = v.raft.ApplyConfChange(cc)
	name, id := string(cc.Context), cc.GetNodeId()
	if cc.GetNodeId() == 0 || name == "" {
		return // another change was in progress, and this one had no effect
	}
	state := &replicatedState{Rules: v.state.Rules, Voters: maps.Clone(v.state.Voters)}
	if cc.GetType() == raftpb.ConfChangeRemoveNode {
		if state.Voters[name] == id {
			delete(state.Voters, name)
		}
	} else {
		state.Voters[name] = id
	}
	v.state = state
	if cc.GetType() == raftpb.ConfChangeAddLearnerNode {
		// A log accepts no snapshot that does not name it, so there must be one that does.
		if err := v.takeSnapshot(); err != nil {
			v.halt(err)
			return
		}
	}
	v.c.host.Notify(VotersChanged, Note{Name: name})
}
