package accord

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"brasswell/internal/cluster/rules"
)

// pair is a leader, the only voter, and a holder of a lease; what they send is written and read as on the wire.
type pair struct {
	t              *testing.T
	now            time.Duration
	leader, holder *Core
	sent           []*Message // to the holder, of kinds Grant and Tell, as read
	asked          []*Message // by the holder
	lose           func(m *Message) bool
	queue          []addressed
	kept           *rules.Status // by the holder
	told           map[Event]int // to the holder
	basis          *Basis        // the holder's
}

type addressed struct {
	to string
	m  *Message
}

// side is a core's host in a pair.
type side struct {
	*pair
	name string
}

func (s side) Send(to string, m *Message) {
	text, err := m.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	read, err := Decode(text)
	if err != nil {
		s.t.Fatal(err)
	}
	s.queue = append(s.queue, addressed{to, read})
}

func (side) Save(*Record) error        { return nil }
func (side) ProposalDone(rules.Answer) {}

func (s side) SaveRules(standing *rules.Status) {
	if s.name == "holder" {
		s.kept = standing.Copy()
	}
}

func (s side) SetBasis(b *Basis) {
	if s.name == "holder" {
		s.basis = b
	}
}

func (s side) Notify(what Event, _ Note) {
	if s.name == "holder" {
		s.told[what]++
	}
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{t: t, told: map[Event]int{}}
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

// run runs for a time.
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
		p.asked = append(p.asked, a.m)
		p.leader.Receive(p.now, a.m)
		return
	}
	if a.m.Kind == Grant || a.m.Kind == Update {
		p.sent = append(p.sent, a.m)
	}
	if p.holder != nil && (p.lose == nil || !p.lose(a.m)) {
		p.holder.Receive(p.now, a.m)
	}
}

func (p *pair) ban(server string) {
	p.t.Helper()
	if err := p.leader.Propose(p.now, rules.Change{ID: server, Kind: rules.Suspend, Server: server}); err != nil {
		p.t.Fatal(err)
	}
}

func (p *pair) count(is func(*Message) bool) (n int) {
	for _, m := range p.sent {
		if is(m) {
			n++
		}
	}
	return n
}

func whole(m *Message) bool { return m.Status != nil }
func delta(m *Message) bool { return m.Delta != nil }

// TestDifferencesAreSent to who says that it understands them, and whole standings to who does not.
func TestDifferencesAreSent(t *testing.T) {
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
		deltas, wholes := p.count(delta), p.count(whole)
		if older == "none" && (deltas < 10 || wholes > 0) || older != "none" && (deltas > 0 || wholes < 5) {
			t.Errorf("older: %s: %d differences, %d whole", older, deltas, wholes)
		}
		if len(p.basis.Doc.Bans) != 5 || p.basis.Version != 6 || p.basis.Mode(p.now) != Leased {
			t.Errorf("older: %s: version %d with %d bans, %v", older, p.basis.Version, len(p.basis.Doc.Bans), p.basis.Mode(p.now))
		}
	}
}

// corrupted is a standing with another document under the same numbers, as a disk may hold it.
func corrupted(s *rules.Status) *rules.Status {
	c := s.Copy()
	c.InForce = rules.Version{Number: s.InForce.Number, Change: s.InForce.Change, Doc: s.InForce.Doc}
	c.InForce.Doc.Bans = maps.Clone(s.InForce.Doc.Bans)
	delete(c.InForce.Doc.Bans, "node-0")
	return c
}

// TestAnotherDocumentUnderTheSameNumber: who starts with one gets no lease on it. Where nothing has changed it gets the whole with its
// first grant; where something has, the difference does not fit, and it asks for the whole.
func TestAnotherDocumentUnderTheSameNumber(t *testing.T) {
	for _, changed := range []bool{false, true} {
		p := newPair(t)
		p.run(3 * time.Second)
		p.holder = p.start("holder", Stored{}, nil)
		p.ban("node-0")
		p.run(time.Second)
		disk := Stored{Rules: corrupted(p.kept)}
		p.holder, p.sent, p.asked = nil, nil, nil
		p.run(2 * time.Second)
		if changed {
			p.ban("node-1")
			p.run(time.Second)
		}
		p.holder = p.start("holder", disk, nil)
		leasedOnOther := false
		for range 300 {
			p.run(10 * time.Millisecond)
			if p.basis.Mode(p.now) == Leased && p.basis.Doc.Decide(rules.Send{Server: "node-0"}) != rules.Banned {
				leasedOnOther = true
			}
		}
		if leasedOnOther {
			t.Errorf("changed %v: it held a lease on what it does not have", changed)
		}
		if p.basis.Mode(p.now) != Leased || p.told[DigestMismatch] != 1 {
			t.Errorf("changed %v: %v, told %d times", changed, p.basis.Mode(p.now), p.told[DigestMismatch])
		}
		asked := 0
		for _, m := range p.asked {
			if m.NeedsWhole {
				asked++
			}
		}
		if wholes := p.count(whole); wholes != 1 || changed && asked != 1 || !changed && asked != 0 {
			t.Errorf("changed %v: %d whole standings were sent, %d asked for", changed, wholes, asked)
		}
	}
}

// TestTheWholeIsNotSentAgainAndAgain while the last one is still on its way: once in a third of a lease, and it holds no lease.
func TestTheWholeIsNotSentAgainAndAgain(t *testing.T) {
	p := newPair(t)
	p.run(3 * time.Second)
	p.ban("node-0")
	p.run(time.Second)
	p.lose = whole
	p.holder = p.start("holder", Stored{}, nil)
	const seconds = 10
	p.run(seconds * time.Second)
	if wholes := p.count(whole); wholes > 3*seconds+1 || wholes < seconds {
		t.Errorf("%d whole standings in %d s", wholes, seconds)
	}
	if p.basis.Mode(p.now) == Leased {
		t.Error("it holds a lease on what has never come")
	}
	p.lose = nil
	p.run(time.Second)
	if p.basis.Mode(p.now) != Leased || len(p.basis.Doc.Bans) != 1 {
		t.Errorf("%v with %d bans", p.basis.Mode(p.now), len(p.basis.Doc.Bans))
	}
}

// newPairOfLongDifferences is a leader that takes every difference for too long to go with a grant, and a holder with a lease; from now on
// no standing and no difference reaches the holder.
func newPairOfLongDifferences(t *testing.T) *pair {
	t.Helper()
	p := newPair(t)
	p.leader = p.start("leader", Stored{}, func(s *Settings) { s.MaxInlineDelta = 1 })
	p.run(3 * time.Second)
	p.holder = p.start("holder", Stored{}, nil)
	p.run(time.Second)
	p.lose = func(m *Message) bool { return delta(m) || whole(m) }
	return p
}

// TestALeaseRestsOnWhatIsThere while what is new takes its time: nothing that the holder does not know is in force meanwhile. Where it
// never comes the lease ends, and the change is in force without the holder.
func TestALeaseRestsOnWhatIsThere(t *testing.T) {
	p := newPairOfLongDifferences(t)
	p.ban("node-0")
	p.sent = nil
	p.run(400 * time.Millisecond)
	inForce := func() uint64 { return p.leader.voter.state.Rules.InForce.Number }
	if p.basis.Mode(p.now) != Leased || p.basis.Until < p.now+500*time.Millisecond || p.basis.Last != 1 || inForce() != 1 {
		t.Errorf("%v until %v at %v on version %d; %d in force", p.basis.Mode(p.now), p.basis.Until, p.now, p.basis.Last, inForce())
	}
	if n := p.count(func(m *Message) bool { return m.Kind == Grant && delta(m) }); n > 0 {
		t.Errorf("%d grants with what is too long for them", n)
	}
	p.run(2 * time.Second)
	if p.basis.Mode(p.now) == Leased || inForce() != 2 {
		t.Errorf("%v on version %d; %d in force", p.basis.Mode(p.now), p.basis.Last, inForce())
	}
	// What it has is less than what is in force: no lease rests on that.
	p.sent = nil
	p.run(2 * time.Second)
	if n := p.count(func(m *Message) bool { return m.Kind == Grant && m.Held.Last < 2 }); n > 0 || p.basis.Mode(p.now) == Leased {
		t.Errorf("%d grants on what is no longer in force, %v", n, p.basis.Mode(p.now))
	}
	p.lose = nil
	p.run(time.Second)
	if p.basis.Mode(p.now) != Leased || p.basis.Version != 2 {
		t.Errorf("%v on version %d", p.basis.Mode(p.now), p.basis.Version)
	}
}

// TestLeasesRestWithinTheStatedTime: no lease is granted on less than is agreed once one would last beyond the stated time, and none for
// a version of a leader before.
func TestLeasesRestWithinTheStatedTime(t *testing.T) {
	p := newPairOfLongDifferences(t)
	p.ban("node-0")
	agreed := p.now
	v := p.leader.voter
	if !v.restsInTime(2) || v.restsInTime(1) || !v.restsInTime(3) {
		t.Errorf("after it was agreed: %v", v.agreedAt)
	}
	p.run(3 * time.Second)
	if bound := DefaultTimes().ConvergenceBound(); p.basis.Last != 1 || p.basis.Until > agreed+bound {
		t.Errorf("a lease on version %d until %v; agreed at %v, and %v is stated", p.basis.Last, p.basis.Until, agreed, bound)
	}
	p.now = agreed + DefaultTimes().ConvergenceBound()
	v.c.now = p.now
	if v.agreedAt[2] = agreed; v.restsInTime(2) {
		t.Error("a lease may rest on less than is agreed for longer than is stated")
	}
	v.setRole(false)
	v.setRole(true)
	if v.restsInTime(2) {
		t.Error("a lease rests on less than a leader before has agreed on")
	}
}

// TestALateGrantBringsItsStanding: what comes after its renewal was given up gives no lease, but what it brings is known then, so that
// the next grant needs not bring it again.
func TestALateGrantBringsItsStanding(t *testing.T) {
	p := newPair(t)
	p.run(3 * time.Second)
	p.ban("node-0")
	p.run(time.Second)
	var late []*Message
	p.lose = func(m *Message) bool {
		if whole(m) {
			late = append(late, m)
		}
		return whole(m)
	}
	p.holder = p.start("holder", Stored{}, nil)
	p.run(240 * time.Millisecond)
	if len(late) == 0 || late[0].Kind != Grant {
		t.Fatalf("%d whole standings", len(late))
	}
	p.holder.Receive(p.now, late[0])
	if len(p.basis.Doc.Bans) != 1 || p.basis.Mode(p.now) == Leased {
		t.Errorf("%d bans, %v", len(p.basis.Doc.Bans), p.basis.Mode(p.now))
	}
}

// olderMessage is a message as programs from before there were differences write and read it.
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

// TestMessagesBesideOlderPrograms: an older program reads what this one says and passes over what it does not know, and one that
// passes a renewal on leaves that out, so that the leader sends the whole.
func TestMessagesBesideOlderPrograms(t *testing.T) {
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
		text, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		older := &olderMessage{}
		if err := reading.Unmarshal(text, older); err != nil {
			t.Fatalf("an older program cannot read %+v: %v", m, err)
		}
		if older.Kind != m.Kind || older.From != m.From || older.Seq != m.Seq || older.Holds != m.Held || older.Boot != m.InstanceID || older.Form != m.Form {
			t.Errorf("an older program reads %+v from %+v", older, m)
		}
		if (older.Standing == nil) != (m.Status == nil) {
			t.Errorf("the standing of %+v is lost", m)
		}
		if text, err = cbor.Marshal(older); err != nil {
			t.Fatal(err)
		}
		back, err := Decode(text)
		if err != nil {
			t.Fatal(err)
		}
		if back.AcceptsDeltas || back.NeedsWhole || back.Digest != 0 || back.Delta != nil || back.Seq != m.Seq {
			t.Errorf("passed on by an older program: %+v", back)
		}
	}
	// A grant whose difference was left out on its way gives no lease.
	p := newPair(t)
	p.run(3 * time.Second)
	p.holder = p.start("holder", Stored{}, nil)
	p.run(time.Second)
	p.lose = func(m *Message) bool { m.Delta = nil; return m.Kind == Update }
	p.ban("node-0")
	p.run(1500 * time.Millisecond)
	if p.basis.Mode(p.now) == Leased || p.basis.Last != 1 {
		t.Errorf("version %d, %v", p.basis.Last, p.basis.Mode(p.now))
	}
}

// TestTheGreatestMessages: a standing of the greatest documents is read, and is within the bound of a message.
func TestTheGreatestMessages(t *testing.T) {
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
	text, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(text); err != nil {
		t.Errorf("%d bytes: %v", len(text), err)
	}
	t.Logf("%d bytes of %d", len(text), MaxMessageBytes)
	snapshot, err := cbor.Marshal(&replicatedState{Rules: state, Keepers: map[string]uint64{}})
	if err != nil || len(snapshot) > MaxMessageBytes {
		t.Errorf("a snapshot of %d bytes, %v", len(snapshot), err)
	}
	back := &replicatedState{}
	if err := reading.Unmarshal(snapshot, back); err != nil {
		t.Error(err)
	}
}
