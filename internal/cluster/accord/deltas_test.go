package accord

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"brasswell/internal/cluster/rules"
)

// pair is a leader, the only voter, and a holder of a lease. Their messages are encoded and decoded as on the wire.
type pair struct {
	t              *testing.T
	now            time.Duration
	leader, holder *Core
	sent           []*Message // to the holder, of kinds Grant and Update, as decoded
	requests       []*Message // by the holder
	drop           func(m *Message) bool
	queue          []addressed
	savedRules     *rules.Status // by the holder
	notices        map[Event]int // to the holder
	basis          *Basis        // the holder's
}

type addressed struct {
	to string
	m  *Message
}

// side is the host of one core of a pair.
type side struct {
	*pair
	name string
}

func (s side) Send(to string, m *Message) {
	data, err := m.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	read, err := Decode(data)
	if err != nil {
		s.t.Fatal(err)
	}
	s.queue = append(s.queue, addressed{to, read})
}

func (side) Save(*Record) error        { return nil }
func (side) ProposalDone(rules.Answer) {}

func (s side) SaveRules(status *rules.Status) {
	if s.name == "holder" {
		s.savedRules = status.Copy()
	}
}

func (s side) SetBasis(b *Basis) {
	if s.name == "holder" {
		s.basis = b
	}
}

func (s side) Notify(event Event, _ Note) {
	if s.name == "holder" {
		s.notices[event]++
	}
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{t: t, notices: map[Event]int{}}
	p.leader = p.start("leader", Stored{}, nil)
	return p
}

func (p *pair) start(name string, disk Stored, change func(*Settings)) *Core {
	p.t.Helper()
	s := Settings{Name: name, InstanceID: 1, Voters: []string{"leader"}, Times: DefaultTimes()}
	if change != nil {
		change(&s)
	}
	c, err := New(p.now, s, 1, disk, side{p, name})
	if err != nil {
		p.t.Fatal(err)
	}
	return c
}

// run runs the pair for a time.
func (p *pair) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := p.now + d; p.now < end; p.now += step {
		for _, c := range []*Core{p.leader, p.holder} {
			if c != nil && p.now >= c.NextTick() {
				c.Tick(p.now)
			}
		}
		for len(p.queue) > 0 {
			next := p.queue[0]
			p.queue = p.queue[1:]
			p.deliver(next)
		}
	}
}

func (p *pair) deliver(a addressed) {
	if a.to == "leader" {
		p.requests = append(p.requests, a.m)
		p.leader.Receive(p.now, a.m)
		return
	}
	if a.m.Kind == Grant || a.m.Kind == Update {
		p.sent = append(p.sent, a.m)
	}
	if p.holder != nil && (p.drop == nil || !p.drop(a.m)) {
		p.holder.Receive(p.now, a.m)
	}
}

func (p *pair) ban(server string) {
	p.t.Helper()
	if err := p.leader.Propose(p.now, rules.Change{ID: server, Kind: rules.Suspend, Server: server}); err != nil {
		p.t.Fatal(err)
	}
}

func (p *pair) count(match func(*Message) bool) (n int) {
	for _, m := range p.sent {
		if match(m) {
			n++
		}
	}
	return n
}

func hasWholeStatus(m *Message) bool { return m.Status != nil }
func hasDelta(m *Message) bool       { return m.Delta != nil }

// TestDeltasAreSent checks that deltas are sent to holders that understand them, and whole statuses to others.
func TestDeltasAreSent(t *testing.T) {
	for _, older := range []string{"none", "holder", "leader"} {
		p := newPair(t)
		p.leader = p.start("leader", Stored{}, func(s *Settings) { s.NoDeltas = older == "leader" })
		p.run(3 * time.Second)
		p.holder = p.start("holder", Stored{}, func(s *Settings) { s.NoDeltas = older == "holder" })
		p.run(time.Second)
		p.sent = nil
		for i := range 5 {
			p.ban(fmt.Sprint("node-", i))
			p.run(time.Second)
		}
		deltas, wholes := p.count(hasDelta), p.count(hasWholeStatus)
		if older == "none" && (deltas < 10 || wholes > 0) || older != "none" && (deltas > 0 || wholes < 5) {
			t.Errorf("older: %s: %d deltas, %d whole statuses", older, deltas, wholes)
		}
		if len(p.basis.Doc.Bans) != 5 || p.basis.Version != 6 || p.basis.Mode(p.now) != Leased {
			t.Errorf("older: %s: version %d with %d bans, %v", older, p.basis.Version, len(p.basis.Doc.Bans), p.basis.Mode(p.now))
		}
	}
}

// corrupted returns a status with another document under the same numbers, as a corrupted disk may hold it.
func corrupted(s *rules.Status) *rules.Status {
	c := s.Copy()
	c.InForce = rules.Version{Number: s.InForce.Number, Change: s.InForce.Change, Doc: s.InForce.Doc}
	c.InForce.Doc.Bans = maps.Clone(s.InForce.Doc.Bans)
	delete(c.InForce.Doc.Bans, "node-0")
	return c
}

// TestCorruptDocumentUnderTheSameNumber checks that a proxy that starts with a corrupted document gets no lease on it.
// Without a change it gets the whole status with its first grant. After a change the delta does not fit its document,
// and it requests the whole status.
func TestCorruptDocumentUnderTheSameNumber(t *testing.T) {
	for _, changed := range []bool{false, true} {
		p := newPair(t)
		p.run(3 * time.Second)
		p.holder = p.start("holder", Stored{}, nil)
		p.ban("node-0")
		p.run(time.Second)
		disk := Stored{Rules: corrupted(p.savedRules)}
		p.holder, p.sent, p.requests = nil, nil, nil
		p.run(2 * time.Second)
		if changed {
			p.ban("node-1")
			p.run(time.Second)
		}
		p.holder = p.start("holder", disk, nil)
		leasedOnCorrupt := false
		for range 300 {
			p.run(10 * time.Millisecond)
			if p.basis.Mode(p.now) == Leased && p.basis.Doc.Decide(rules.Send{Server: "node-0"}) != rules.Banned {
				leasedOnCorrupt = true
			}
		}
		if leasedOnCorrupt {
			t.Errorf("changed %v: a lease covered a document that the holder does not have", changed)
		}
		if p.basis.Mode(p.now) != Leased || p.notices[DigestMismatch] != 1 {
			t.Errorf("changed %v: mode %v, %d mismatch events", changed, p.basis.Mode(p.now), p.notices[DigestMismatch])
		}
		asked := 0
		for _, m := range p.requests {
			if m.NeedsWhole {
				asked++
			}
		}
		if wholes := p.count(hasWholeStatus); wholes != 1 || changed && asked != 1 || !changed && asked != 0 {
			t.Errorf("changed %v: %d whole statuses were sent, %d requested", changed, wholes, asked)
		}
	}
}

// TestWholeStatusIsRateLimited checks that the whole status is sent once per third of a lease while none arrives, and
// that the holder gets no lease meanwhile.
func TestWholeStatusIsRateLimited(t *testing.T) {
	p := newPair(t)
	p.run(3 * time.Second)
	p.ban("node-0")
	p.run(time.Second)
	p.drop = hasWholeStatus
	p.holder = p.start("holder", Stored{}, nil)
	const seconds = 10
	p.run(seconds * time.Second)
	if wholes := p.count(hasWholeStatus); wholes > 3*seconds+1 || wholes < seconds {
		t.Errorf("%d whole statuses in %d s", wholes, seconds)
	}
	if p.basis.Mode(p.now) == Leased {
		t.Error("the lease covers rules that never arrived")
	}
	p.drop = nil
	p.run(time.Second)
	if p.basis.Mode(p.now) != Leased || len(p.basis.Doc.Bans) != 1 {
		t.Errorf("%v with %d bans", p.basis.Mode(p.now), len(p.basis.Doc.Bans))
	}
}

// newPairWithLongDeltas returns a pair whose leader treats every delta as too long for a grant, and whose holder has a
// lease. From then on no status and no delta reaches the holder.
func newPairWithLongDeltas(t *testing.T) *pair {
	t.Helper()
	p := newPair(t)
	p.leader = p.start("leader", Stored{}, func(s *Settings) { s.MaxInlineDelta = 1 })
	p.run(3 * time.Second)
	p.holder = p.start("holder", Stored{}, nil)
	p.run(time.Second)
	p.drop = func(m *Message) bool { return hasDelta(m) || hasWholeStatus(m) }
	return p
}

// TestLeaseOnHeldVersions checks that a holder keeps its lease while a change takes long to arrive, and that the change
// is not in force meanwhile. If the change never arrives, the lease expires, and the change comes into force without
// the holder.
func TestLeaseOnHeldVersions(t *testing.T) {
	p := newPairWithLongDeltas(t)
	p.ban("node-0")
	p.sent = nil
	p.run(400 * time.Millisecond)
	inForce := func() uint64 { return p.leader.voter.state.Rules.InForce.Number }
	if p.basis.Mode(p.now) != Leased || p.basis.Until < p.now+500*time.Millisecond || p.basis.Last != 1 || inForce() != 1 {
		t.Errorf("%v until %v at %v on version %d; %d in force", p.basis.Mode(p.now), p.basis.Until, p.now, p.basis.Last, inForce())
	}
	if n := p.count(func(m *Message) bool { return m.Kind == Grant && hasDelta(m) }); n > 0 {
		t.Errorf("%d grants with a delta that is too long for them", n)
	}
	p.run(2 * time.Second)
	if p.basis.Mode(p.now) == Leased || inForce() != 2 {
		t.Errorf("%v on version %d; %d in force", p.basis.Mode(p.now), p.basis.Last, inForce())
	}
	// The holder lacks the version in force, so it gets no lease.
	p.sent = nil
	p.run(2 * time.Second)
	if n := p.count(func(m *Message) bool { return m.Kind == Grant && m.Held.Last < 2 }); n > 0 || p.basis.Mode(p.now) == Leased {
		t.Errorf("%d grants for versions that are no longer in force, mode %v", n, p.basis.Mode(p.now))
	}
	p.drop = nil
	p.run(time.Second)
	if p.basis.Mode(p.now) != Leased || p.basis.Version != 2 {
		t.Errorf("%v on version %d", p.basis.Mode(p.now), p.basis.Version)
	}
}

// TestLeasesEndWithinConvergenceBound checks that a lease that lacks a committed version is not granted if it would
// last beyond ConvergenceBound after the commit, nor if the version was committed under an earlier leader.
func TestLeasesEndWithinConvergenceBound(t *testing.T) {
	p := newPairWithLongDeltas(t)
	p.ban("node-0")
	agreed := p.now
	v := p.leader.voter
	if !v.leaseEndsInTime(2) || v.leaseEndsInTime(1) || !v.leaseEndsInTime(3) {
		t.Errorf("after the commit: %v", v.agreedAt)
	}
	p.run(3 * time.Second)
	if bound := DefaultTimes().ConvergenceBound(); p.basis.Last != 1 || p.basis.Until > agreed+bound {
		t.Errorf("a lease on version %d until %v; committed at %v, and the bound is %v", p.basis.Last, p.basis.Until, agreed, bound)
	}
	p.now = agreed + DefaultTimes().ConvergenceBound()
	v.c.now = p.now
	if v.agreedAt[2] = agreed; v.leaseEndsInTime(2) {
		t.Error("a lease that lacks a committed version may outlast the bound")
	}
	v.setRole(false)
	v.setRole(true)
	if v.leaseEndsInTime(2) {
		t.Error("a lease may lack a version that an earlier leader committed")
	}
}

// TestLateGrantUpdatesStatus checks that a grant that arrives after the renewal's timeout gives no lease, but that its
// rules are applied, so that the next grant need not repeat them.
func TestLateGrantUpdatesStatus(t *testing.T) {
	p := newPair(t)
	p.run(3 * time.Second)
	p.ban("node-0")
	p.run(time.Second)
	var late []*Message
	p.drop = func(m *Message) bool {
		if hasWholeStatus(m) {
			late = append(late, m)
		}
		return hasWholeStatus(m)
	}
	p.holder = p.start("holder", Stored{}, nil)
	p.run(240 * time.Millisecond)
	if len(late) == 0 || late[0].Kind != Grant {
		t.Fatalf("%d whole statuses, or the first one is not in a grant", len(late))
	}
	p.holder.Receive(p.now, late[0])
	if len(p.basis.Doc.Bans) != 1 || p.basis.Mode(p.now) == Leased {
		t.Errorf("%d bans, %v", len(p.basis.Doc.Bans), p.basis.Mode(p.now))
	}
}

// olderMessage is a message as programs that predate deltas encode and decode it.
type olderMessage struct {
	Kind     MessageKind   `cbor:"1,keyasint"`
	From     string        `cbor:"2,keyasint"`
	To       string        `cbor:"3,keyasint,omitempty"`
	Seq      uint64        `cbor:"4,keyasint,omitempty"`
	Path     []string      `cbor:"5,keyasint,omitempty"`
	Holds    HeldVersions  `cbor:"6,keyasint,omitempty"`
	Standing *rules.Status `cbor:"7,keyasint,omitempty"`
	Change   *rules.Change `cbor:"8,keyasint,omitempty"`
	Answer   *rules.Answer `cbor:"9,keyasint,omitempty"`
	Raft     []byte        `cbor:"10,keyasint,omitempty"`
	Store    uint64        `cbor:"11,keyasint,omitempty"`
	Empty    bool          `cbor:"12,keyasint,omitempty"`
	Reply    bool          `cbor:"13,keyasint,omitempty"`
	Match    uint64        `cbor:"14,keyasint,omitempty"`
	Boot     uint64        `cbor:"15,keyasint,omitempty"`
	Reign    uint64        `cbor:"16,keyasint,omitempty"`
	Form     uint8         `cbor:"17,keyasint,omitempty"`
}

// TestMessagesOfOlderPrograms checks that an older program decodes new messages and ignores unknown fields. If it
// forwards a renewal, it drops these fields, so that the leader sends the whole status.
func TestMessagesOfOlderPrograms(t *testing.T) {
	state := rules.NewState()
	has := rules.Position{InForce: 1, Last: 1}
	state.Propose(&rules.Change{ID: "1", Kind: rules.Suspend, Server: "a"})
	d, ok := rules.DeltaFrom(state, has)
	if !ok {
		t.Fatal("no delta")
	}
	for _, m := range []*Message{
		{Kind: Renew, From: "n4", Seq: 7, InstanceID: 9, Held: HeldVersions{Log: 1, InForce: 2, Last: 3}, Form: 2, AcceptsDeltas: true, NeedsWhole: true, Digest: 1 << 63},
		{Kind: Grant, From: "n1", To: "n4", Seq: 7, Held: HeldVersions{Log: 1, InForce: 2, Last: 3}, Digest: 5, Status: state.Copy()},
		{Kind: Grant, From: "n1", To: "n4", Seq: 7, Held: HeldVersions{InForce: 1, Last: 2}, Digest: 5, Delta: d},
	} {
		data, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		older := &olderMessage{}
		if err := decMode.Unmarshal(data, older); err != nil {
			t.Fatalf("an older program cannot decode %+v: %v", m, err)
		}
		if older.Kind != m.Kind || older.From != m.From || older.Seq != m.Seq || older.Holds != m.Held || older.Boot != m.InstanceID || older.Form != m.Form {
			t.Errorf("an older program decodes %+v from %+v", older, m)
		}
		if (older.Standing == nil) != (m.Status == nil) {
			t.Errorf("the status of %+v is lost", m)
		}
		if data, err = cbor.Marshal(older); err != nil {
			t.Fatal(err)
		}
		back, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if back.AcceptsDeltas || back.NeedsWhole || back.Digest != 0 || back.Delta != nil || back.Seq != m.Seq {
			t.Errorf("forwarded by an older program: %+v", back)
		}
	}
	// A grant whose delta was dropped by a forwarding proxy gives no lease.
	p := newPair(t)
	p.run(3 * time.Second)
	p.holder = p.start("holder", Stored{}, nil)
	p.run(time.Second)
	p.drop = func(m *Message) bool { m.Delta = nil; return m.Kind == Update }
	p.ban("node-0")
	p.run(1500 * time.Millisecond)
	if p.basis.Mode(p.now) == Leased || p.basis.Last != 1 {
		t.Errorf("version %d, %v", p.basis.Last, p.basis.Mode(p.now))
	}
}

// TestLargestMessages checks that a status with documents of maximum size can be decoded and is within MaxMessageBytes.
func TestLargestMessages(t *testing.T) {
	state := rules.NewState()
	for i := range rules.MaxPending {
		numbers := map[string]int{}
		for n := range rules.MaxMembers {
			numbers[fmt.Sprintf("proxy-%04d-of-a-region-%d", n, i%10)] = n
		}
		if a := state.Propose(&rules.Change{ID: fmt.Sprint(i), Kind: rules.Renumber, Numbers: numbers, Form: 2}); a.Version == 0 {
			t.Fatal(a.Rejection)
		}
	}
	state.Enforce(2)
	m := &Message{Kind: Update, From: "n1", To: "n2", Status: state.Copy()}
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(data); err != nil {
		t.Errorf("%d bytes: %v", len(data), err)
	}
	t.Logf("%d bytes of %d", len(data), MaxMessageBytes)
	snapshot, err := cbor.Marshal(&replicatedState{Rules: state, Voters: map[string]uint64{}})
	if err != nil || len(snapshot) > MaxMessageBytes {
		t.Errorf("a snapshot of %d bytes, %v", len(snapshot), err)
	}
	back := &replicatedState{}
	if err := decMode.Unmarshal(snapshot, back); err != nil {
		t.Error(err)
	}
}
