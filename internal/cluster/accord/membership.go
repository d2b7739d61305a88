package accord

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"go.etcd.io/raft/v3/raftpb"

	"brasswell/internal/cluster/rules"
)

// This file is about who the voters are: how the log is founded, and how one that has lost its folder gets a new place in it.
//
// A log has an id of its own, drawn when it is begun, and the log of the voters names ids, not names. So a voter that comes back
// with an empty folder is another one, which votes for nothing until the others have taken it in; it never votes a second time
// in an election in which the lost folder has voted.

// sendHellos tells the other voters who this one is, as long as one of them is not known to hold the log.
func (v *voter) sendHellos() {
	for _, name := range v.c.set.Voters {
		if name != v.c.set.Name {
			v.c.host.Send(name, v.helloTo(name, false))
		}
	}
}

func (v *voter) helloTo(name string, reply bool) *Message {
	m := &Message{Kind: Hello, From: v.c.set.Name, To: name, LogID: v.id, Empty: v.empty, Reply: reply, Term: v.state.Rules.Term, Form: v.c.set.form()}
	if p := v.peers[name]; p != nil && v.leads {
		if progress, there := v.raft.Status().Progress[p.store]; there {
			m.Match = progress.Match
		}
	}
	return m
}

// handleHello takes in who another voter is.
func (v *voter) handleHello(m *Message) {
	if !slices.Contains(v.c.set.Voters, m.From) || m.LogID == 0 || m.From == v.c.set.Name {
		return
	}
	if m.Term > v.state.Rules.Term && !m.Empty && !v.empty {
		v.c.host.Notify(Superseded, Note{Name: m.From})
		v.startOver()
		return
	}
	p := v.peers[m.From]
	if p == nil {
		p = &peer{}
		v.peers[m.From] = p
	}
	delete(v.byLog, p.store)
	v.byLog[m.LogID] = m.From
	// A log that speaks under a name whose other log was just heard waits: two processes may go by one name.
	if agreed := v.state.Keepers[m.From]; agreed != 0 && p.store == agreed && m.LogID != agreed && v.c.now-p.heard < replaceAfter*v.c.set.Times.Election {
		return
	}
	*p = peer{store: m.LogID, empty: m.Empty, form: m.Form, heard: v.c.now}
	if last, _ := v.log.LastIndex(); m.Match > last {
		v.startOver()
		return
	}
	if !m.Reply {
		v.c.host.Send(m.From, v.helloTo(m.From, true))
	}
}

// foundIfDue begins the voters' log, at the first of them, once all others have said that they hold none. It is a log of one that
// takes the others in, as it does with those that come later: there is no second way for a log to begin.
func (v *voter) foundIfDue() {
	s := &v.c.set
	if !v.empty || s.Voters[0] != s.Name {
		return
	}
	for _, name := range s.Voters[1:] {
		if p := v.peers[name]; p == nil || !p.empty || v.c.now-p.heard > replaceAfter*s.Times.Election {
			return
		}
	}
	if err := v.install(rules.NewState()); err != nil {
		v.halt(err)
		return
	}
	v.c.host.Notify(Founded, Note{Name: s.Name})
}

// refound goes on alone under the next reign. All that is in the log counts, agreed or not: it may have been acknowledged.
func (v *voter) refound() error {
	last, err := v.log.LastIndex()
	if err != nil {
		return fmt.Errorf("accord: %w", err)
	}
	if last > v.applied {
		rest, err := v.log.Entries(v.applied+1, last+1, 1<<63)
		if err != nil {
			return fmt.Errorf("accord: %w", err)
		}
		v.leads = false
		before := holdsOf(&v.state.Rules.Status)
		for _, e := range rest {
			cmd := &command{}
			if e.GetType() == raftpb.EntryNormal && len(e.Data) > 0 && reading.Unmarshal(e.Data, cmd) == nil {
				v.execute(cmd)
			}
		}
		v.adoptSince(before)
	}
	state := v.state.Rules.Clone()
	state.Term++
	v.id = v.c.rng.Uint64() | 1
	if err := v.install(state); err != nil {
		v.halt(err)
		return err
	}
	v.c.host.Notify(Refounded, Note{Name: v.c.set.Name})
	return nil
}

// install begins a log of one with a state, under this voter's present id.
func (v *voter) install(state *rules.State) error {
	state.Log = v.id
	text, err := cbor.Marshal(&replicatedState{Rules: state, Keepers: map[string]uint64{v.c.set.Name: v.id}})
	if err != nil {
		return err
	}
	index, term := uint64(1), uint64(1)
	snapshot := &raftpb.Snapshot{Data: text, Metadata: &raftpb.SnapshotMetadata{
		ConfState: &raftpb.ConfState{Voters: []uint64{v.id}}, Index: &index, Term: &term,
	}}
	hard := &raftpb.HardState{Term: &term, Commit: &index}
	if err := v.c.host.Save(&Record{LogID: v.id, Hard: hard, Snapshot: snapshot, Install: true}); err != nil {
		return err
	}
	v.setRole(false)
	v.lead = 0
	if err := v.load(Stored{LogID: v.id, Hard: hard, Snapshot: snapshot}); err != nil {
		return err
	}
	return v.raft.Campaign()
}

// membership takes in voters that the settings name, one at a time and first as learners, which vote for nothing until they
// have the log; and takes out the logs that they come in place of.
func (v *voter) membership() {
	if !v.ownTermApplied {
		return
	}
	status := v.raft.Status()
	voters, learners := v.conf.GetVoters(), v.conf.GetLearners()
	for _, id := range learners {
		if p, there := status.Progress[id]; there && p.Match > 0 && p.Match+8 >= v.applied {
			v.proposeConfChange(raftpb.ConfChangeAddNode, id, v.name(id))
			return
		}
	}
	if len(learners) > 0 {
		// One at a time; but one that is gone before it had the log must not keep its name from the next.
		id := learners[0]
		if p := v.peers[v.name(id)]; p != nil && p.store != id {
			v.proposeConfChange(raftpb.ConfChangeRemoveNode, id, v.name(id))
		}
		return
	}
	for _, name := range v.c.set.Voters {
		p, agreed := v.peers[name], v.state.Keepers[name]
		if name == v.c.set.Name || p == nil || p.store == agreed || v.c.now-p.heard > replaceAfter*v.c.set.Times.Election {
			continue
		}
		switch {
		case slices.Contains(voters, agreed) && len(voters) > 1:
			v.proposeConfChange(raftpb.ConfChangeRemoveNode, agreed, name)
		case p.empty:
			v.proposeConfChange(raftpb.ConfChangeAddLearnerNode, p.store, name)
		}
		return
	}
}

func (v *voter) proposeConfChange(kind raftpb.ConfChangeType, id uint64, name string) {
	v.raft.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &id, Context: []byte(name)}) // one that fails is tried again
}

// changeConf takes in an agreed change of the voters.
func (v *voter) changeConf(cc *raftpb.ConfChange) {
	v.conf = v.raft.ApplyConfChange(cc)
	name, id := string(cc.Context), cc.GetNodeId()
	if cc.GetNodeId() == 0 || name == "" {
		return // another was under way, and this one came to nothing
	}
	state := &replicatedState{Rules: v.state.Rules, Keepers: maps.Clone(v.state.Keepers)}
	if cc.GetType() == raftpb.ConfChangeRemoveNode {
		if state.Keepers[name] == id {
			delete(state.Keepers, name)
		}
	} else {
		state.Keepers[name] = id
	}
	v.state = state
	if cc.GetType() == raftpb.ConfChangeAddLearnerNode {
		// A log takes no snapshot that does not name it, so there has to be one that does.
		if err := v.takeSnapshot(); err != nil {
			v.halt(err)
			return
		}
	}
	v.c.host.Notify(VotersChanged, Note{Name: name})
}
