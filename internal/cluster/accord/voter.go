package accord

import (
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"brasswell/internal/cluster/rules"
)

const (
	// helloEvery is between two hellos to all voters, in elections' times, and helloAgain while one of them does not vote.
	helloEvery, helloAgain = 4, 1
	// replaceAfter elections' times without a word from a log, its voter is replaced by one that has begun anew.
	replaceAfter = 10
)

// peer is another voter as it has said it is.
type peer struct {
	store uint64
	empty bool
	form  uint8
	heard time.Duration
}

// voter is a replica of the log that votes: one of the proxies that the settings name. Its methods run on the core's owner.
type voter struct {
	c     *Core
	id    uint64 // of the log
	log   *raft.MemoryStorage
	raft  *raft.RawNode
	state *replicatedState
	conf  *raftpb.ConfState
	// digests are those of the standings that there were, as far as leases may still rest on them.
	digests map[HeldVersions]rules.Digest
	empty   bool // the log holds nothing yet
	halted  bool
	term    uint64

	applied, snapshotIndex uint64
	nextHello              time.Duration // when the next round of hellos is due
	peers                  map[string]*peer
	byLog                  map[uint64]string

	lead            uint64
	leaderHeard     time.Duration // when a leader was last heard
	electionTimeout time.Duration // after that, another election

	leadership
}

// leadership is what a voter keeps while it leads.
type leadership struct {
	leads          bool
	nextHeartbeat  time.Duration
	electedAt      time.Duration
	majorityHeard  time.Duration // when a majority last confirmed that this voter leads
	silentUntil    time.Duration // until when nothing is said; 0 for speaking
	ownTermApplied bool          // an entry of this leader's own term is applied
	leases         map[holder]*lease
	unconfirmed    []*Message            // renewals that no round has yet
	rounds         map[uint64][]*Message // renewals by the round that is to confirm them
	round          uint64
	proposers      map[string]*Message      // who proposed, by the change's id
	sentSnapshots  []uint64                 // the logs that one was sent to since the last heartbeat
	worked         *differences             // for the newest standing; nil for not yet
	slowest        *lease                   // of a holder that kept all versions from being in force when last looked; nil for none
	enforcing      uint64                   // the newest version that an entry of this leader's brings into force, agreed or not
	agreedAt       map[uint64]time.Duration // when versions on their way were agreed, of those that were under this leader
	lastEnforce    time.Duration            // when an entry that enforces was last written
}

// startVoter makes this proxy a voter.
func (c *Core) startVoter(now time.Duration, disk Stored) error {
	v := &voter{c: c, leaderHeard: now, nextHello: now, peers: map[string]*peer{}, byLog: map[uint64]string{}}
	c.voter = v
	if disk.LogID == 0 {
		return v.begin()
	}
	if err := v.load(disk); err != nil {
		v.halt(err) // it is a proxy like others then; nothing on a disk keeps one from starting
		return nil
	}
	v.resetTimeout()
	return nil
}

// begin begins an empty log under a new id. One that has lost its folder is another log than before: what the old one had voted
// for and stored is not remembered, so it must not speak in its name.
func (v *voter) begin() error {
	v.id = v.c.rng.Uint64() | 1
	v.state = &replicatedState{Rules: rules.NewState(), Keepers: map[string]uint64{}}
	v.conf = &raftpb.ConfState{}
	v.log = raft.NewMemoryStorage()
	v.empty, v.applied, v.snapshotIndex, v.lead, v.term = true, 0, 0, 0, 0
	if err := v.c.host.Save(&Record{LogID: v.id}); err != nil {
		v.halt(err)
		return nil
	}
	v.resetTimeout()
	return v.open()
}

// halt ends this proxy's part as a voter: what cannot be stored must not be said.
func (v *voter) halt(err error) {
	if v.halted {
		return
	}
	v.halted, v.leads = true, false
	v.c.host.Notify(DiskFailed, Note{Err: err})
}

func (v *voter) nextWake() time.Duration {
	if v.halted {
		return 1<<63 - 1
	}
	next := v.nextHello
	if v.leads {
		next = min(next, v.nextHeartbeat)
	} else if !v.empty {
		next = min(next, v.leaderHeard+v.electionTimeout)
	}
	return next
}

func (v *voter) wake() {
	if v.halted {
		return
	}
	now, t := v.c.now, &v.c.set.Times
	if now >= v.nextHello {
		v.nextHello = now + helloAgain*t.Election
		if len(v.conf.GetVoters()) == len(v.c.set.Voters) {
			v.nextHello = now + helloEvery*t.Election
		}
		v.sendHellos()
		v.foundIfDue()
	}
	switch {
	case v.leads && now >= v.nextHeartbeat:
		v.heartbeat()
	case !v.leads && !v.empty && now >= v.leaderHeard+v.electionTimeout:
		v.leaderHeard = now
		v.resetTimeout()
		v.raft.Campaign() // no error but for one that is no voter, which is no news
	}
	v.processReady()
}

// handleRequest takes a request if this voter leads and speaks, and says whether it has.
func (v *voter) handleRequest(m *Message) bool {
	if v.halted || !v.leads {
		return false
	}
	switch m.Kind {
	case Acknowledge:
		if l := v.leases[holder{m.From, m.InstanceID}]; l != nil {
			l.deltas = m.AcceptsDeltas && !v.c.set.NoDeltas
			v.noteHolds(l, m.Held)
			v.enforce()
		}
	case Renew:
		if v.c.set.NoQuorumCheck {
			v.grant(m)
			break
		}
		if len(v.unconfirmed) < mostAsking {
			v.unconfirmed = append(v.unconfirmed, m)
		}
	case Propose:
		v.propose(m)
	}
	return true
}

// receive takes in what another voter says.
func (v *voter) receive(m *Message) {
	if v.halted {
		return
	}
	if m.Kind == Hello {
		v.handleHello(m)
		return
	}
	r, err := raftMessage(m.Raft)
	if err != nil || r.GetTo() != v.id || raft.IsLocalMsg(r.GetType()) {
		return
	}
	t := &v.c.set.Times
	last, _ := v.log.LastIndex()
	switch r.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgVote:
		// Who hears its leader keeps it: one that is cut off from the leader alone would otherwise depose it for ever anew.
		if v.leads && v.c.now-v.majorityHeard < t.Election || !v.leads && v.lead != 0 && v.c.now-v.leaderHeard < t.Election {
			return
		}
	case raftpb.MsgHeartbeat:
		if r.GetTerm() >= v.term && r.GetCommit() > last {
			v.startOver() // it knows of more than is here: this folder is older than what it has said
			return
		}
		fallthrough
	case raftpb.MsgApp, raftpb.MsgSnap:
		if r.GetTerm() >= v.term {
			v.leaderHeard = v.c.now
		}
	case raftpb.MsgProp, raftpb.MsgReadIndex, raftpb.MsgReadIndexResp:
		return
	}
	v.raft.Step(r) // an error is of a voter that the log does not name, or of a state that has passed
	if name := m.From; name != "" {
		if p := v.peers[name]; p != nil && p.store == r.GetFrom() {
			p.heard = v.c.now
		}
	}
}

// startOver begins the log anew, as one that has lost its folder does.
func (v *voter) startOver() {
	v.c.host.Notify(LogOutdated, Note{})
	v.leads, v.leases, v.worked, v.slowest = false, nil, nil, nil
	if err := v.begin(); err != nil {
		v.halt(err)
	}
}

// report adds what a voter knows to a report.
func (v *voter) report(now time.Duration, r *Report) {
	r.Halted, r.IsLeader = v.halted, v.leads && !v.halted
	if name := v.leader(); name != "" {
		r.Leader = name
	}
	r.Voters = map[string]bool{}
	for name, id := range v.state.Keepers {
		r.Voters[name] = slices.Contains(v.conf.GetVoters(), id)
	}
	r.History = append(slices.Clone(v.state.Rules.History), v.state.Rules.Pending...)
	for _, h := range slices.SortedFunc(maps.Keys(v.leases), compareHolders) {
		l := v.leases[h]
		r.Holders = append(r.Holders, Holder{Name: h.name, Held: l.holds, LeaseLeft: max(l.until-now, 0)})
	}
}
