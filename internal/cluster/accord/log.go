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
	// electionTicks is of no meaning to us but has to be over 1: elections are begun by this package, as the library draws its
	// times from a generator that cannot be seeded, and keeps its own count of ticks that a paused process has not had.
	electionTicks = 10
	// mostAppend is the bytes of entries in one message, mostInflight how many of those are out to one voter.
	mostAppend, mostInflight = 256 << 10, 64
	// mostUncommitted is the bytes of entries that wait for a majority.
	mostUncommitted = 8 << 20
	// snapshotEvery entries the log is compacted; keepEntries stay for voters that are a little behind.
	snapshotEvery, keepEntries = 512, 64
)

// replicatedState is what the voters' log comes to.
type replicatedState struct {
	Rules   *rules.State      `cbor:"1,keyasint"`
	Keepers map[string]uint64 `cbor:"2,keyasint"` // the log of each, by name
}

// command is an entry of the log.
type command struct {
	Propose *rules.Change `cbor:"1,keyasint,omitempty"`
	Enforce uint64        `cbor:"2,keyasint,omitempty"`
}

// load goes on with what a disk holds.
func (v *voter) load(disk Stored) error {
	v.id, v.log, v.conf = disk.LogID, raft.NewMemoryStorage(), &raftpb.ConfState{}
	v.state = &replicatedState{Rules: rules.NewState(), Keepers: map[string]uint64{}}
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
			return fmt.Errorf("accord: the stored log ends at %d before %d, which it says is agreed", last, disk.Hard.GetCommit())
		}
	}
	return v.open()
}

func (v *voter) open() error {
	var err error
	v.raft, err = raft.NewRawNode(&raft.Config{
		ID: v.id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: v.log, Applied: v.applied, MaxSizePerMsg: mostAppend,
		MaxInflightMsgs: mostInflight, MaxUncommittedEntriesSize: mostUncommitted, PreVote: true, Logger: silentLogger{},
		DisableProposalForwarding: true,
	})
	if err != nil {
		return fmt.Errorf("accord: %w", err)
	}
	return nil
}

// restore takes a snapshot's state.
func (v *voter) restore(s *raftpb.Snapshot) error {
	state := &replicatedState{}
	if err := reading.Unmarshal(s.Data, state); err != nil {
		return fmt.Errorf("accord: a snapshot: %w", err)
	}
	if state.Rules == nil {
		return errors.New("accord: a snapshot with no rules")
	}
	state.Rules.Compact()
	if err := state.Rules.Validate(); err != nil {
		return fmt.Errorf("accord: a snapshot: %w", err)
	}
	if state.Rules.Form > v.c.set.form() {
		return fmt.Errorf("accord: a snapshot of form %d, and this program understands %d: upgrade it", state.Rules.Form, v.c.set.form())
	}
	if state.Keepers == nil {
		state.Keepers = map[string]uint64{}
	}
	v.state, v.conf, v.applied, v.snapshotIndex = state, s.Metadata.GetConfState(), s.Metadata.GetIndex(), s.Metadata.GetIndex()
	v.noteDigest()
	return nil
}

// processReady carries out what the log has for us, until it has nothing.
func (v *voter) processReady() {
	for !v.halted && v.raft.HasReady() {
		r := v.raft.Ready()
		if r.SoftState != nil {
			v.lead = r.SoftState.Lead
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
			v.confirmedRound(s)
		}
		if v.halted {
			return
		}
		v.raft.Advance(r)
		v.snapshotIfDue()
	}
}

// persist makes last what the log is to remember, and then takes it over.
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
			v.c.host.Notify(Joined, Note{Name: v.c.set.Name})
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
	name := v.name(m.GetTo())
	if name == "" || name == v.c.set.Name {
		return
	}
	if m.GetType() == raftpb.MsgSnap {
		// It may be lost as any other, and is then sent anew, at the next beat and not at the pace of the network.
		v.sentSnapshots = append(v.sentSnapshots, m.GetTo())
	}
	text, err := proto.Marshal(m)
	if err == nil {
		v.c.host.Send(name, &Message{Kind: Raft, From: v.c.set.Name, To: name, Raft: text})
	}
}

// applyAll takes agreed entries in, and tells of what they come to together: what many changes cost in messages and writes of the disk
// is then that of one.
func (v *voter) applyAll(entries []*raftpb.Entry) {
	before := holdsOf(&v.state.Rules.Status)
	var answers []*rules.Answer
	executed := false
	for _, e := range entries {
		cmd := v.apply(e)
		if v.halted {
			break // what follows rests on what could not be taken in
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
	v.adoptSince(before)
	if v.leads {
		v.announce(answers)
	}
}

// apply takes an agreed entry in, and returns the command that it holds; nil for none.
func (v *voter) apply(e *raftpb.Entry) *command {
	v.applied = e.GetIndex()
	if e.GetTerm() == v.term && v.leads {
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
			return nil // a new leader's first
		}
		cmd := &command{}
		if err := reading.Unmarshal(e.Data, cmd); err != nil || cmd.Propose == nil && cmd.Enforce == 0 {
			// To pass over what this version does not understand would make its state another than the others'.
			v.halt(fmt.Errorf("accord: entry %d is of a newer version of the program", v.applied))
			return nil
		}
		if cmd.Propose != nil && cmd.Propose.RequiredForm() > v.c.set.form() {
			v.halt(fmt.Errorf("accord: entry %d needs form %d of documents, and this program understands %d: upgrade it", v.applied, cmd.Propose.RequiredForm(), v.c.set.form()))
			return nil
		}
		return cmd
	}
	return nil
}

// execute carries an agreed command out, and returns what became of the proposal in it; nil where there is none.
func (v *voter) execute(cmd *command) *rules.Answer {
	state := v.state.Rules.Clone()
	before := holdsOf(&state.Status)
	var answer *rules.Answer
	last := state.Last()
	if cmd.Propose != nil {
		a := state.Propose(cmd.Propose)
		answer = &a
		if v.c.set.NoPreparePhase {
			state.Enforce(a.Version)
		}
	} else {
		state.Enforce(cmd.Enforce)
	}
	v.state.Rules = state
	if holdsOf(&state.Status) != before {
		v.noteDigest()
		if state.Last() > last {
			v.noteAgreed()
		}
	}
	return answer
}

// adoptSince has this voter's own proxy act on the standing, where that is another one than before.
func (v *voter) adoptSince(before HeldVersions) {
	if s := &v.state.Rules.Status; holdsOf(s) != before {
		v.c.adopt(s.Copy())
	}
}

// announce has a leader tell proposers and holders of leases what has just been agreed.
func (v *voter) announce(answers []*rules.Answer) {
	for _, answer := range answers {
		if m := v.proposers[answer.ID]; m != nil {
			delete(v.proposers, answer.ID)
			v.c.answer(m, &Message{Kind: Result, Answer: answer})
		}
	}
	v.notifyHolders()
	v.lastEnforce = 0
	v.enforce()
}

// snapshotIfDue cuts the log now and then.
func (v *voter) snapshotIfDue() {
	if v.halted || v.applied < v.snapshotIndex+snapshotEvery {
		return
	}
	if err := v.takeSnapshot(); err != nil {
		v.halt(err)
	}
}

func (v *voter) takeSnapshot() error {
	text, err := cbor.Marshal(v.state)
	if err != nil {
		return fmt.Errorf("accord: a snapshot: %w", err)
	}
	s, err := v.log.CreateSnapshot(v.applied, v.conf, text)
	if err != nil {
		return fmt.Errorf("accord: a snapshot: %w", err)
	}
	upTo := max(v.applied, keepEntries) - keepEntries
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
