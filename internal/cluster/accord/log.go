package accord

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/protobuf/proto"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"brasswell/internal/cluster/rules"
)

const (
	// electionTicks has no effect, but the library requires more than 1. This package starts the elections itself,
	// because the library draws its timeouts from a generator that cannot be seeded, and counts ticks, which a paused
	// process does not get.
	electionTicks = 10
	// maxAppendBytes is the size of the entries in one message, and maxInflight the number of such messages in flight
	// to one voter.
	maxAppendBytes, maxInflight = 256 << 10, 64
	// maxUncommittedBytes is the size of the entries that wait for a majority.
	maxUncommittedBytes = 8 << 20
	// snapshotInterval is the number of entries after which the log is compacted. keptEntries of them remain for voters
	// that lag slightly.
	snapshotInterval, keptEntries = 512, 64
)

// replicatedState is the state that results from the voters' log.
type replicatedState struct {
	Rules  *rules.State      `cbor:"1,keyasint"`
	Voters map[string]uint64 `cbor:"2,keyasint"` // log IDs of the voters, by name
}

// command is an entry of the log.
type command struct {
	Propose *rules.Change `cbor:"1,keyasint,omitempty"`
	Enforce uint64        `cbor:"2,keyasint,omitempty"`
}

// load restores the voter from a disk.
func (v *voter) load(disk Stored) error {
	v.id, v.log, v.confState = disk.LogID, raft.NewMemoryStorage(), &raftpb.ConfState{}
	v.state = &replicatedState{Rules: rules.NewState(), Voters: map[string]uint64{}}
	v.empty = disk.Snapshot == nil
	if disk.Snapshot != nil {
		if err := v.log.ApplySnapshot(disk.Snapshot); err != nil {
			return fmt.Errorf("accord: the stored snapshot: %w", err)
		}
		if err := v.restore(disk.Snapshot); err != nil {
			return err
		}
	}
	if err := v.log.Append(disk.Entries); err != nil {
		return fmt.Errorf("accord: the stored log: %w", err)
	}
	if disk.Hard != nil {
		v.term = disk.Hard.GetTerm()
		if err := v.log.SetHardState(disk.Hard); err != nil {
			return fmt.Errorf("accord: the stored state: %w", err)
		}
		if last, _ := v.log.LastIndex(); disk.Hard.GetCommit() > last {
			return fmt.Errorf("accord: the stored log ends at entry %d, but the stored commit index is %d", last, disk.Hard.GetCommit())
		}
	}
	return v.open()
}

func (v *voter) open() error {
	var err error
	v.raft, err = raft.NewRawNode(&raft.Config{
		ID: v.id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: v.log, Applied: v.applied, MaxSizePerMsg: maxAppendBytes,
		MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommittedBytes, PreVote: true, Logger: silentLogger{},
		DisableProposalForwarding: true,
	})
	if err != nil {
		return fmt.Errorf("accord: %w", err)
	}
	return nil
}

// restore replaces the state by that of a snapshot.
func (v *voter) restore(s *raftpb.Snapshot) error {
	state := &replicatedState{}
	if err := decMode.Unmarshal(s.Data, state); err != nil {
		return fmt.Errorf("accord: a snapshot: %w", err)
	}
	if state.Rules == nil {
		return errors.New("accord: a snapshot with no rules")
	}
	state.Rules.Compact()
	if err := state.Rules.Validate(); err != nil {
		return fmt.Errorf("accord: a snapshot: %w", err)
	}
	if state.Rules.Form > v.c.settings.form() {
		return fmt.Errorf("accord: the snapshot has form %d, but this program understands %d: upgrade it", state.Rules.Form, v.c.settings.form())
	}
	if state.Voters == nil {
		state.Voters = map[string]uint64{}
	}
	v.state, v.confState, v.applied, v.snapshotIndex = state, s.Metadata.GetConfState(), s.Metadata.GetIndex(), s.Metadata.GetIndex()
	v.recordDigest()
	return nil
}

// processReady handles the library's Ready states until there is none.
func (v *voter) processReady() {
	for !v.halted && v.raft.HasReady() {
		r := v.raft.Ready()
		if r.SoftState != nil {
			v.leaderID = r.SoftState.Lead
			v.setRole(r.SoftState.RaftState == raft.StateLeader)
		}
		if !v.persist(&r) {
			return
		}
		for _, m := range r.Messages {
			v.sendRaft(m)
		}
		v.applyAll(r.CommittedEntries)
		for _, s := range r.ReadStates {
			v.roundConfirmed(s)
		}
		if v.halted {
			return
		}
		v.raft.Advance(r)
		v.snapshotIfDue()
	}
}

// persist writes a Ready state to disk and then to the log in memory, and reports whether both succeeded.
func (v *voter) persist(r *raft.Ready) bool {
	record := &Record{LogID: v.id, Hard: r.HardState, Entries: r.Entries}
	if !raft.IsEmptySnap(r.Snapshot) {
		record.Snapshot, record.Install = r.Snapshot, true
	}
	if record.Hard != nil || len(record.Entries) > 0 || record.Snapshot != nil {
		if err := v.c.host.Save(record); err != nil {
			v.halt(err)
			return false
		}
	}
	if record.Snapshot != nil {
		if err := v.log.ApplySnapshot(record.Snapshot); err != nil {
			v.halt(err)
			return false
		}
		if err := v.restore(record.Snapshot); err != nil {
			v.halt(err)
			return false
		}
		if v.empty {
			v.empty = false
			v.c.host.Notify(Joined, Note{Name: v.c.settings.Name})
		}
		v.c.adopt(v.state.Rules.Status.Copy())
	}
	if len(record.Entries) > 0 {
		v.empty = false
	}
	if record.Hard != nil {
		v.term = record.Hard.GetTerm()
		v.log.SetHardState(record.Hard) // no error is possible
	}
	if err := v.log.Append(record.Entries); err != nil {
		v.halt(err)
		return false
	}
	return true
}

func (v *voter) sendRaft(m *raftpb.Message) {
	name := v.nameOf(m.GetTo())
	if name == "" || name == v.c.settings.Name {
		return
	}
	if m.GetType() == raftpb.MsgSnap {
		// Like any message it may be lost. It is then sent again after the next heartbeat, and not as fast as the
		// network allows.
		v.sentSnapshots = append(v.sentSnapshots, m.GetTo())
	}
	data, err := proto.Marshal(m)
	if err == nil {
		v.c.host.Send(name, &Message{Kind: Raft, From: v.c.settings.Name, To: name, Raft: data})
	}
}

// applyAll applies committed entries and then announces their combined result, so that many changes cost as many
// messages and disk writes as one.
func (v *voter) applyAll(entries []*raftpb.Entry) {
	before := versionsOf(&v.state.Rules.Status)
	var answers []*rules.Answer
	executed := false
	for _, e := range entries {
		cmd := v.apply(e)
		if v.halted {
			break // later entries depend on the one that could not be applied
		}
		if cmd == nil {
			continue
		}
		executed = true
		if a := v.execute(cmd); a != nil {
			answers = append(answers, a)
		}
	}
	if !executed {
		return
	}
	v.adoptIfChanged(before)
	if v.isLeader {
		v.announce(answers)
	}
}

// apply applies a committed entry, and returns the command in it; nil for none.
func (v *voter) apply(e *raftpb.Entry) *command {
	v.applied = e.GetIndex()
	if e.GetTerm() == v.term && v.isLeader {
		v.ownTermApplied = true
	}
	switch e.GetType() {
	case raftpb.EntryConfChange:
		cc := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.Data, cc); err != nil {
			v.halt(fmt.Errorf("accord: entry %d: %w", v.applied, err))
			return nil
		}
		v.changeConf(cc)
	case raftpb.EntryNormal:
		if len(e.Data) == 0 {
			return nil // the first entry of a new leader
		}
		cmd := &command{}
		if err := decMode.Unmarshal(e.Data, cmd); err != nil || cmd.Propose == nil && cmd.Enforce == 0 {
			// Skipping an entry that this version does not understand would make its state diverge from that of the
			// others.
			v.halt(fmt.Errorf("accord: entry %d was written by a newer version of the program", v.applied))
			return nil
		}
		if cmd.Propose != nil && cmd.Propose.RequiredForm() > v.c.settings.form() {
			v.halt(fmt.Errorf("accord: entry %d needs form %d of documents, but this program understands %d: upgrade it", v.applied, cmd.Propose.RequiredForm(), v.c.settings.form()))
			return nil
		}
		return cmd
	}
	return nil
}

// execute executes a committed command, and returns the result of the proposal in it; nil if it contains none.
func (v *voter) execute(cmd *command) *rules.Answer {
	state := v.state.Rules.Clone()
	before := versionsOf(&state.Status)
	var answer *rules.Answer
	last := state.Last()
	if cmd.Propose != nil {
		a := state.Propose(cmd.Propose)
		answer = &a
		if v.c.settings.NoPreparePhase {
			state.Enforce(a.Version)
		}
	} else {
		state.Enforce(cmd.Enforce)
	}
	v.state.Rules = state
	if versionsOf(&state.Status) != before {
		v.recordDigest()
		if state.Last() > last {
			v.recordAgreed()
		}
	}
	return answer
}

// adoptIfChanged makes this voter's own proxy apply the status if its versions changed.
func (v *voter) adoptIfChanged(before HeldVersions) {
	if s := &v.state.Rules.Status; versionsOf(s) != before {
		v.c.adopt(s.Copy())
	}
}

// announce sends the committed changes and results to the proposers and the holders of leases.
func (v *voter) announce(answers []*rules.Answer) {
	for _, answer := range answers {
		if m := v.proposers[answer.ID]; m != nil {
			delete(v.proposers, answer.ID)
			v.c.reply(m, &Message{Kind: Result, Answer: answer})
		}
	}
	v.notifyHolders()
	v.lastEnforce = 0
	v.enforce()
}

// snapshotIfDue takes a snapshot and compacts the log after every snapshotInterval entries.
func (v *voter) snapshotIfDue() {
	if v.halted || v.applied < v.snapshotIndex+snapshotInterval {
		return
	}
	if err := v.takeSnapshot(); err != nil {
		v.halt(err)
	}
}

func (v *voter) takeSnapshot() error {
	data, err := cbor.Marshal(v.state)
	if err != nil {
		return fmt.Errorf("accord: a snapshot: %w", err)
	}
	s, err := v.log.CreateSnapshot(v.applied, v.confState, data)
	if err != nil {
		return fmt.Errorf("accord: a snapshot: %w", err)
	}
	upTo := max(v.applied, keptEntries) - keptEntries
	if err := v.c.host.Save(&Record{LogID: v.id, Snapshot: s, Compact: upTo}); err != nil {
		return err
	}
	v.snapshotIndex = v.applied
	if first, _ := v.log.FirstIndex(); upTo < first {
		return nil
	}
	if err := v.log.Compact(upTo); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return fmt.Errorf("accord: the log: %w", err)
	}
	return nil
}
