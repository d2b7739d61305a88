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
	// helloInterval is the time between two Hellos to all voters, in election timeouts, and helloRetryInterval the time
	// while one of them is not a voter in the log.
	helloInterval, helloRetryInterval = 4, 1
	// replaceAfter is the time without a message from a log after which a new log of the same voter replaces it, in
	// election timeouts.
	replaceAfter = 10
)

// peer is another voter, as it described itself in its last Hello.
type peer struct {
	logID     uint64
	empty     bool
	form      uint8
	lastHeard time.Duration
}

// voter is a replica of the log, at one of the proxies that the settings name. Its methods run in the goroutine that
// owns the Core.
type voter struct {
	c         *Core
	id        uint64 // ID of the log
	log       *raft.MemoryStorage
	raft      *raft.RawNode
	state     *replicatedState
	confState *raftpb.ConfState
	// digests are the digests of earlier statuses that leases may still cover.
	digests map[HeldVersions]rules.Digest
	empty   bool // the log is still empty
	halted  bool
	term    uint64

	applied, snapshotIndex uint64
	nextHello              time.Duration // when the next round of Hellos is due
	peers                  map[string]*peer
	byLog                  map[uint64]string

	leaderID        uint64
	leaderHeard     time.Duration // when a message of a leader last arrived
	electionTimeout time.Duration // time without a leader before this voter starts an election

	leadership
}

// leadership is the state of a voter while it leads.
type leadership struct {
	isLeader       bool
	nextHeartbeat  time.Duration
	electedAt      time.Duration
	majorityHeard  time.Duration // when a majority last confirmed that this voter leads
	silentUntil    time.Duration // no messages are sent until then; 0 if they are sent
	ownTermApplied bool          // an entry of this leader's own term has been applied
	leases         map[holder]*lease
	unconfirmed    []*Message            // renewals that are not yet part of a round
	rounds         map[uint64][]*Message // renewals, by the round that confirms them
	round          uint64
	proposers      map[string]*Message      // proposals, by the change's ID
	sentSnapshots  []uint64                 // logs that a snapshot was sent to since the last heartbeat
	deltas         *deltaCache              // for the newest status; nil if none was computed yet
	slowest        *lease                   // a lease that kept all pending versions from being in force at the last check; nil for none
	enforcing      uint64                   // the newest version that an entry of this leader enforces, committed or not
	agreedAt       map[uint64]time.Duration // when pending versions were committed, for those committed under this leader
	lastEnforce    time.Duration            // when an Enforce entry was last appended
}

// startVoter makes this proxy a voter.
func (c *Core) startVoter(now time.Duration, disk Stored) error {
	v := &voter{c: c, leaderHeard: now, nextHello: now, peers: map[string]*peer{}, byLog: map[uint64]string{}}
	c.voter = v
	if disk.LogID == 0 {
		return v.beginEmptyLog()
	}
	if err := v.load(disk); err != nil {
		v.halt(err) // continues as a proxy that does not vote; a damaged disk must not prevent a start
		return nil
	}
	v.resetTimeout()
	return nil
}

// beginEmptyLog starts an empty log under a new ID. A voter that has lost its folder no longer knows what it voted for
// and stored, so it must not send messages under the ID of the lost log.
func (v *voter) beginEmptyLog() error {
	v.id = v.c.rng.Uint64() | 1
	v.state = &replicatedState{Rules: rules.NewState(), Voters: map[string]uint64{}}
	v.confState = &raftpb.ConfState{}
	v.log = raft.NewMemoryStorage()
	v.empty, v.applied, v.snapshotIndex, v.leaderID, v.term = true, 0, 0, 0, 0
	if err := v.c.host.Save(&Record{LogID: v.id}); err != nil {
		v.halt(err)
		return nil
	}
	v.resetTimeout()
	return v.open()
}

// halt stops this voter: it must not send anything that depends on state that it could not store.
func (v *voter) halt(err error) {
	if v.halted {
		return
	}
	v.halted, v.isLeader = true, false
	v.c.host.Notify(DiskFailed, Note{Err: err})
}

func (v *voter) nextTick() time.Duration {
	if v.halted {
		return 1<<63 - 1
	}
	next := v.nextHello
	if v.isLeader {
		next = min(next, v.nextHeartbeat)
	} else if !v.empty {
		next = min(next, v.leaderHeard+v.electionTimeout)
	}
	return next
}

func (v *voter) tick() {
	if v.halted {
		return
	}
	now, t := v.c.now, &v.c.settings.Times
	if now >= v.nextHello {
		v.nextHello = now + helloRetryInterval*t.Election
		if len(v.confState.GetVoters()) == len(v.c.settings.Voters) {
			v.nextHello = now + helloInterval*t.Election
		}
		v.sendHellos()
		v.foundIfDue()
	}
	switch {
	case v.isLeader && now >= v.nextHeartbeat:
		v.heartbeat()
	case !v.isLeader && !v.empty && now >= v.leaderHeard+v.electionTimeout:
		v.leaderHeard = now
		v.resetTimeout()
		v.raft.Campaign() // fails only if this log is not a voter, which needs no report
	}
	v.processReady()
}

// handleRequest handles a request if this voter leads, and reports whether it did.
func (v *voter) handleRequest(m *Message) bool {
	if v.halted || !v.isLeader {
		return false
	}
	switch m.Kind {
	case Acknowledge:
		if l := v.leases[holder{m.From, m.InstanceID}]; l != nil {
			l.acceptsDeltas = m.AcceptsDeltas && !v.c.settings.NoDeltas
			v.recordHeld(l, m.Held)
			v.enforce()
		}
	case Renew:
		if v.c.settings.NoQuorumCheck {
			v.grant(m)
			break
		}
		if len(v.unconfirmed) < maxUnconfirmed {
			v.unconfirmed = append(v.unconfirmed, m)
		}
	case Propose:
		v.propose(m)
	}
	return true
}

// receive handles a message of another voter.
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
	t := &v.c.settings.Times
	last, _ := v.log.LastIndex()
	switch r.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgVote:
		// A voter that hears its leader ignores candidates: a voter that is cut off from the leader only would
		// otherwise depose it again and again.
		if v.isLeader && v.c.now-v.majorityHeard < t.Election || !v.isLeader && v.leaderID != 0 && v.c.now-v.leaderHeard < t.Election {
			return
		}
	case raftpb.MsgHeartbeat:
		if r.GetTerm() >= v.term && r.GetCommit() > last {
			v.resetLog() // the leader knows that this log had more entries: the folder is older than the messages sent from it
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
	v.raft.Step(r) // fails only for a voter that the log does not name, or for an outdated state
	if name := m.From; name != "" {
		if p := v.peers[name]; p != nil && p.logID == r.GetFrom() {
			p.lastHeard = v.c.now
		}
	}
}

// resetLog replaces the log by an empty one, as a voter that has lost its folder does.
func (v *voter) resetLog() {
	v.c.host.Notify(LogOutdated, Note{})
	v.isLeader, v.leases, v.deltas, v.slowest = false, nil, nil, nil
	if err := v.beginEmptyLog(); err != nil {
		v.halt(err)
	}
}

// report adds the voter's part to a report.
func (v *voter) report(now time.Duration, r *Report) {
	r.Halted, r.IsLeader = v.halted, v.isLeader && !v.halted
	if name := v.leaderName(); name != "" {
		r.Leader = name
	}
	r.Voters = map[string]bool{}
	for name, id := range v.state.Voters {
		r.Voters[name] = slices.Contains(v.confState.GetVoters(), id)
	}
	r.History = append(slices.Clone(v.state.Rules.History), v.state.Rules.Pending...)
	for _, h := range slices.SortedFunc(maps.Keys(v.leases), compareHolders) {
		l := v.leases[h]
		r.Holders = append(r.Holders, Holder{Name: h.name, Held: l.held, LeaseLeft: max(l.until-now, 0)})
	}
}
