package view

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"
)

const p = 100 * time.Millisecond

// desk notes what a view decides.
type recordingHost struct {
	sent      []sent
	exchanges []string
	changes   []Change
}

type sent struct {
	to string
	m  *Message
}

func (d *recordingHost) Send(to string, m *Message) { d.sent = append(d.sent, sent{to, m}) }
func (d *recordingHost) Exchange(to string)         { d.exchanges = append(d.exchanges, to) }
func (d *recordingHost) Changed(c Change)           { d.changes = append(d.changes, c) }

// take empties what was sent.
func (d *recordingHost) takeSent() []sent {
	s := d.sent
	d.sent = nil
	return s
}

func newRecord(name string, boot, incarnation uint64, s State) Record {
	return Record{Name: name, InstanceID: boot, Incarnation: incarnation, State: s, Address: name + ":1"}
}

func newView(t testing.TB, set Settings) (*View, *recordingHost) {
	t.Helper()
	if set.Name == "" {
		set.Name = "me"
	}
	set.Address, set.InstanceID, set.Period = set.Name+":1", 7, p
	if set.MaxMembers == 0 {
		set.MaxMembers = 100
	}
	d := &recordingHost{}
	v, err := New(0, set, 1, d)
	if err != nil {
		t.Fatal(err)
	}
	return v, d
}

// hear gives a view a message from a member about others.
func receiveFrom(v *View, now time.Duration, from Record, kind Kind, news ...Record) {
	v.Receive(now, from.Address, &Message{Kind: kind, Seq: 1, From: from, Updates: news})
}

// TestSuspicionIsRefuted: a lie about a living member is told to it with the question, and its answer clears it.
func TestSuspicionIsRefuted(t *testing.T) {
	v, d := newView(t, Settings{})
	a, b := newRecord("a", 1, 1, Alive), newRecord("b", 2, 1, Alive)
	receiveFrom(v, 0, a, Ping)
	lie := newRecord("b", 2, 1, Suspect)
	lie.By = "a"
	receiveFrom(v, 0, b, Ping)
	d.takeSent()
	receiveFrom(v, 1, a, Gossip, lie)
	if v.StateOf("b") != Suspect {
		t.Fatalf("b is held %v", v.StateOf("b"))
	}
	told := slices.ContainsFunc(d.takeSent(), func(s sent) bool {
		return s.to == b.Address && s.m.Kind == Ping && slices.ContainsFunc(s.m.Updates, func(r Record) bool { return r.Name == "b" && r.State == Suspect })
	})
	if !told {
		t.Error("b is not told that it is suspect")
	}
	receiveFrom(v, 2, newRecord("b", 2, 2, Alive), Gossip)
	if v.StateOf("b") != Alive {
		t.Errorf("refuted, b is held %v", v.StateOf("b"))
	}
}

// TestNobodyIsDeadOnAnothersWord: who is told that a member is dead asks it; only its own silence here counts.
func TestReportedDeathIsVerified(t *testing.T) {
	v, d := newView(t, Settings{})
	receiveFrom(v, 0, newRecord("a", 1, 1, Alive), Ping)
	receiveFrom(v, 0, newRecord("b", 2, 1, Alive), Ping)
	d.takeSent()
	receiveFrom(v, 1, newRecord("a", 1, 1, Alive), Gossip, newRecord("b", 2, 1, Dead))
	if v.StateOf("b") != Alive {
		t.Fatalf("b is held %v on a's word", v.StateOf("b"))
	}
	var seq uint64
	for _, s := range d.takeSent() {
		if s.to == "b:1" && s.m.Kind == Ping {
			seq = s.m.Seq
		}
	}
	if seq == 0 {
		t.Fatal("b is not asked")
	}
	v.Receive(2, "b:1", &Message{Kind: Ack, Seq: seq, From: newRecord("b", 2, 2, Alive)})
	for now := time.Duration(0); now < 3*p; now += p / 4 {
		v.Wake(now)
	}
	for _, c := range d.changes {
		if c.Name == "b" && c.State != Alive {
			t.Errorf("%+v", c)
		}
	}
}

// TestSilenceKills: who answers nobody is suspect after a probe and dead after a suspicion, and stays remembered.
func TestUnresponsiveMemberIsDeclaredDead(t *testing.T) {
	v, d := newView(t, Settings{})
	receiveFrom(v, 0, newRecord("a", 1, 1, Alive), Ping)
	var states []State
	for now := time.Duration(0); now < 40*p; now += p / 10 {
		if now >= v.Next() {
			v.Wake(now)
		}
	}
	for _, c := range d.changes {
		if c.Name == "a" {
			states = append(states, c.State)
		}
	}
	if !slices.Equal(states, []State{Alive, Suspect, Dead}) || v.Present() != 1 {
		t.Errorf("%v, %d present", states, v.Present())
	}
	s := v.Snapshot(40 * p)
	if len(s.Members) != 2 || s.Members[0].State != Dead {
		t.Errorf("%+v", s.Members)
	}
	// It is asked now and then, and back with its first word.
	asked := slices.ContainsFunc(d.takeSent(), func(s sent) bool { return s.to == "a:1" && len(s.m.Updates) == 1 && s.m.Updates[0].State == Dead })
	if receiveFrom(v, 41*p, newRecord("a", 1, 2, Alive), Ping); !asked || v.StateOf("a") != Alive || len(d.exchanges) == 0 {
		t.Errorf("asked %v, held %v, %d exchanges", asked, v.StateOf("a"), len(d.exchanges))
	}
}

// TestManySuspectsCostNoLookEach: while hundreds are suspect, as when a region is cut off, a message does not have all of them looked at;
// each of them is dead in the end all the same.
func TestSuspectsAreNotScannedForEachMessage(t *testing.T) {
	const members, suspects, messages = 400, 300, 1000
	v, _ := newView(t, Settings{MaxMembers: 2 * members})
	var table []Record
	for i := range members {
		table = append(table, newRecord(fmt.Sprintf("m%d", i), 1, 1, Alive))
	}
	v.Merge(0, table, "m0")
	well := table[suspects:]
	for i := range suspects {
		r := table[i]
		r.State = Suspect
		receiveFrom(v, 1, well[i%len(well)], Gossip, r)
	}
	before := v.suspicionScans
	for i := range messages {
		receiveFrom(v, 2, well[i%len(well)], Gossip)
		v.Next()
	}
	if looks := v.suspicionScans - before; len(v.suspect) != suspects || looks > 0 {
		t.Errorf("%d suspects were looked at %d times for %d messages", len(v.suspect), looks, messages)
	}

	before = v.suspicionScans
	wakes := 0
	for now := v.Next(); now < 60*p; now = v.Next() {
		v.Wake(now)
		wakes++
	}
	if looks := v.suspicionScans - before; looks > wakes {
		t.Errorf("%d looks in %d wakes", looks, wakes)
	}
	for i := range suspects {
		if held := v.StateOf(table[i].Name); held != Dead {
			t.Fatalf("%s is held %v after all suspicions are over", table[i].Name, held)
		}
	}
}

// TestExchangesAreSpread: views that begin to differ at one moment, and change on and on, do not all send their whole tables in one
// period for that.
func TestExchangesAreSpread(t *testing.T) {
	const views, periods = 120, maxDifferPeriods + exchangePeriods
	var begun [periods + 2]int // by period
	for i := range uint64(views) {
		d := &recordingHost{}
		v, err := New(0, Settings{Name: "me", Address: "me:1", InstanceID: i, Period: p, MaxMembers: 100}, i, d)
		if err != nil {
			t.Fatal(err)
		}
		v.Merge(0, []Record{newRecord("a", 1, 1, Alive)}, "a")
		for period := range begun {
			now := time.Duration(period) * p
			for now >= v.Next() {
				v.Wake(now)
			}
			change := newRecord(fmt.Sprintf("m%d", period), 1, 1, Alive)
			d.exchanges = nil
			v.Receive(now, "a:1", &Message{Kind: Gossip, From: newRecord("a", 1, 1, Alive), Updates: []Record{change}, Digest: 1})
			begun[period] += len(d.exchanges)
		}
	}
	most, all := slices.Max(begun[:]), 0
	for _, n := range begun {
		all += n
	}
	if all != views || most > views/exchangePeriods*2 {
		t.Errorf("%d of %d begin an exchange, %d of them in one period: %v", all, views, most, begun)
	}
}

// TestPausedProcessAccusesNobody: one that wakes late holds its own silence against itself.
func TestPausedProcessSuspectsNobody(t *testing.T) {
	v, d := newView(t, Settings{})
	names := []string{"a", "b", "c", "d"}
	for i, n := range names {
		receiveFrom(v, 0, newRecord(n, uint64(i+1), 1, Alive), Ping)
	}
	for now := time.Duration(0); now < 2*p; now += p / 10 {
		v.Wake(now)
		for _, s := range d.takeSent() {
			if i := slices.Index(names, s.to[:1]); i >= 0 && s.m.Kind == Ping {
				v.Receive(now, s.to, &Message{Kind: Ack, Seq: s.m.Seq, From: newRecord(names[i], uint64(i+1), 1, Alive)})
			}
		}
	}
	v.Wake(60 * p) // it was away since
	if v.Snapshot(60*p).Health == 0 {
		t.Error("it does not doubt itself")
	}
	for now := 60 * p; now < 62*p; now += p / 10 {
		v.Wake(now)
	}
	for _, c := range d.changes {
		if c.State == Dead || c.State == Suspect {
			t.Errorf("%+v", c)
		}
	}
}

// TestRefutesWhatIsSaidOfItself by a later incarnation, but for numbers that would leave no room.
func TestRefutesRecordsOfItself(t *testing.T) {
	v, _ := newView(t, Settings{})
	a := newRecord("a", 1, 1, Alive)
	for _, s := range []State{Suspect, Dead, Left} {
		before := v.Snapshot(0).Self.Incarnation
		receiveFrom(v, 0, a, Gossip, newRecord("me", 7, before, s))
		if got := v.Snapshot(0).Self; got.Incarnation != before+1 || got.State != Alive {
			t.Errorf("%v at %d: %+v", s, before, got)
		}
	}
	before := v.Snapshot(0).Self.Incarnation
	receiveFrom(v, 0, a, Gossip, newRecord("me", 7, maxIncarnation, Dead), newRecord("me", 7, 1, Dead))
	if got := v.Snapshot(0).Self.Incarnation; got != before {
		t.Errorf("%d, it was %d", got, before)
	}
}

// TestRestartTakesItsName from the process before, also with a clock set back: none is read.
func TestRestartTakesItsName(t *testing.T) {
	v, _ := newView(t, Settings{})
	receiveFrom(v, 0, newRecord("a", 1, 1, Alive), Ack, newRecord("me", 3, 90, Alive))
	if got := v.Snapshot(0).Self; got.Incarnation != 91 || got.InstanceID != 7 {
		t.Errorf("%+v", got)
	}
	receiveFrom(v, p, newRecord("a", 1, 1, Alive), Ack, newRecord("me", 3, 91, Dead)) // the old one's death, found late
	if got := v.Snapshot(p).Self; got.Incarnation <= 91 && got.InstanceID < 3 || v.Snapshot(p).Displaced {
		t.Errorf("%+v", got)
	}
}

// TestLaterProcessKeepsTheName: who is established looks into a claim. An answer makes it yield; when the other has gone it
// takes the name back. No answer, and it claims the name again.
func TestLaterProcessKeepsTheName(t *testing.T) {
	late := 50 * p
	ready := func() (*View, *recordingHost, uint64) {
		v, d := newView(t, Settings{})
		receiveFrom(v, 0, newRecord("a", 1, 1, Alive), Ping)
		for now := time.Duration(0); now < late; now += p / 10 {
			v.Wake(now)
			receiveFrom(v, now, newRecord("a", 1, 1, Alive), Ping)
		}
		d.takeSent()
		other := newRecord("me", 99, 5, Alive)
		other.Address = "other:1"
		receiveFrom(v, late, newRecord("a", 1, 1, Alive), Gossip, other)
		for _, s := range d.takeSent() {
			if s.to == "other:1" && s.m.Kind == Ping {
				return v, d, s.m.Seq
			}
		}
		t.Fatal("the claimant is not asked")
		return nil, nil, 0
	}
	v, d, seq := ready()
	other := newRecord("me", 99, 5, Alive)
	other.Address = "other:1"
	v.Receive(late+1, "other:1", &Message{Kind: Ack, Seq: seq, From: other})
	s := v.Snapshot(late + 1)
	if !s.Displaced || s.Duplicate == nil || s.Duplicate.InstanceID != 99 || len(s.Members) != 2 {
		t.Fatalf("answered: %+v", s)
	}
	receiveFrom(v, late+2, newRecord("a", 1, 1, Alive), Gossip, newRecord("me", 99, 5, Left))
	if s := v.Snapshot(late + 2); s.Displaced || s.Self.Incarnation != 6 || d.changes[len(d.changes)-1].Why != Retaken {
		t.Errorf("left: %+v", s)
	}

	v, _, _ = ready()
	for now := late; now < late+30*p; now += p / 10 {
		v.Wake(now)
		receiveFrom(v, now, newRecord("a", 1, 1, Alive), Ping)
	}
	if s := v.Snapshot(late + 30*p); s.Displaced || s.Self.Incarnation <= 5 {
		t.Errorf("not answered: %+v", s)
	}
}

// TestLeaveIsTold to others, and nothing is done after it.
func TestLeaveIsAnnounced(t *testing.T) {
	v, d := newView(t, Settings{})
	receiveFrom(v, 0, newRecord("a", 1, 1, Alive), Ping)
	d.takeSent()
	v.Leave(p)
	if s := d.takeSent(); len(s) != 1 || s[0].to != "a:1" || s[0].m.From.State != Left {
		t.Errorf("%+v", s)
	}
	receiveFrom(v, 2*p, newRecord("a", 1, 1, Alive), Ping)
	v.Wake(100 * p)
	if s := d.takeSent(); len(s) > 0 {
		t.Errorf("after it: %+v", s)
	}
}

// TestMembersAreBounded: beyond the bound the ones gone longest are forgotten, and then nobody is taken in.
func TestMembersAreBounded(t *testing.T) {
	v, _ := newView(t, Settings{MaxMembers: 10})
	for i := range 100 {
		receiveFrom(v, 0, newRecord(fmt.Sprintf("n%d", i), 1, 1, Alive), Gossip)
	}
	if s := v.Snapshot(0); len(s.Members) != 10 || s.Rejected != 91 {
		t.Errorf("%d members, %d not taken", len(s.Members), s.Rejected)
	}
	receiveFrom(v, 0, newRecord("n0", 1, 1, Left), Gossip, newRecord("n0", 1, 1, Left))
	receiveFrom(v, 0, newRecord("late", 1, 1, Alive), Gossip)
	if v.StateOf("late") != Alive || v.StateOf("n0") != 0 {
		t.Errorf("late %v, n0 %v", v.StateOf("late"), v.StateOf("n0"))
	}
}

func TestSettings(t *testing.T) {
	for _, s := range []Settings{{}, {Name: "a", Address: "b:1", MaxMembers: 10}, {Name: "a", Address: "b:1", Period: p, MaxMembers: 1}, {Name: "a", Period: p, MaxMembers: 10}} {
		if _, err := New(0, s, 1, &recordingHost{}); err == nil {
			t.Errorf("%+v is taken", s)
		}
	}
}

// TestAnythingMayCome: whatever order of whatever events, nothing panics, all stays bounded, the digest is that of who is
// there, and this process holds itself alive.
func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &recordingHost{}
		v, err := New(0, Settings{Name: "n0", Address: "n0:1", InstanceID: 5, Period: p, MaxMembers: 12, Seeds: []string{"n1:1", "n0:1"}}, rapid.Uint64().Draw(t, "seed"), d)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		record := func() Record {
			n := fmt.Sprintf("n%d", rapid.IntRange(0, 20).Draw(t, "name"))
			return newRecord(n, rapid.Uint64Range(1, 9).Draw(t, "boot"), rapid.Uint64Range(0, 12).Draw(t, "incarnation"), State(rapid.IntRange(1, 4).Draw(t, "state")))
		}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(p)).Draw(t, "passes"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				v.Wake(max(now, v.Next()))
				now = max(now, v.Next()-p)
			case 2:
				m := &Message{Kind: Kind(rapid.IntRange(1, 4).Draw(t, "kind")), Seq: v.seq, From: record(), Digest: rapid.Uint64().Draw(t, "digest")}
				for range rapid.IntRange(0, 4).Draw(t, "news") {
					m.Updates = append(m.Updates, record())
				}
				if m.Kind == Request {
					r := record()
					m.Target = &r
				}
				v.Receive(now, m.From.Address, m)
			case 3:
				v.Merge(now, []Record{record(), record(), record()}, "n1")
			case 4:
				now += time.Duration(rapid.Int64Range(0, int64(30*p)).Draw(t, "away"))
			}
			checkInvariants(t, v)
		}
	})
}

// check holds a view's parts against each other.
func checkInvariants(t *rapid.T, v *View) {
	for _, m := range v.suspect {
		if m.deadline < v.nextSuspicionEnd {
			t.Fatalf("the suspicion of %s ends at %v, and the next one is due at %v", m.Name, m.deadline, v.nextSuspicionEnd)
		}
	}
	s := v.Snapshot(0)
	var digest uint64
	for i := range s.Members {
		if m := &s.Members[i]; m.State.present() {
			digest ^= hash(&m.Record)
		}
	}
	switch {
	case !slices.IsSortedFunc(s.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) }):
		t.Fatalf("a standing out of order: %+v", s.Members)
	case digest != v.digest:
		t.Fatalf("digest %x, of who is there %x", v.digest, digest)
	case len(v.members) > v.settings.MaxMembers || len(v.probes) > 3*maxProbeWidth || len(v.pendingPings) > maxPendingPings:
		t.Fatalf("%d members, %d probes, %d asked", len(v.members), len(v.probes), len(v.pendingPings))
	case len(v.byName) != len(v.members) || !slices.IsSortedFunc(v.byName, func(a, b *member) int { return strings.Compare(a.Name, b.Name) }):
		t.Fatalf("%d members, %d of them by name, or not in order", len(v.members), len(v.byName))
	case slices.ContainsFunc(v.byName, func(m *member) bool { return v.members[m.Name] != m }):
		t.Fatal("another member by name")
	case len(v.present)+len(v.gone) != len(v.members):
		t.Fatalf("%d present and %d gone of %d", len(v.present), len(v.gone), len(v.members))
	case !v.displaced && s.Self.State != Alive:
		t.Fatalf("itself: %+v", s.Self)
	case len(v.updates.unsent)+len(v.updates.resent) > 4*len(v.updates.pending)+65:
		t.Fatalf("%d and %d pieces of news about %d", len(v.updates.unsent), len(v.updates.resent), len(v.updates.pending))
	}
	for name, m := range v.suspect {
		if m.State != Suspect || v.members[name] != m {
			t.Fatalf("%s in the list of suspects is %v", name, m.State)
		}
	}
	for i, m := range v.present {
		if m.index != i || !m.State.present() {
			t.Fatalf("%s at %d says %d, %v", m.Name, i, m.index, m.State)
		}
	}
}

// BenchmarkEvents is the cost of a datagram with its answer in a fleet at rest.
func BenchmarkEvents(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, d := newView(b, Settings{MaxMembers: 2 * n})
			for i := range n {
				receiveFrom(v, 0, newRecord(fmt.Sprintf("n%d", i), uint64(i+1), 1, Alive), Ping)
			}
			dice := rand.New(rand.NewPCG(1, 1))
			for range 200 * n { // until all news is told
				i := dice.IntN(n)
				receiveFrom(v, 1, newRecord(fmt.Sprintf("n%d", i), uint64(i+1), 1, Alive), Ping)
				d.sent = d.sent[:0]
			}
			from := make([]Record, n)
			for i := range from {
				from[i] = newRecord(fmt.Sprintf("n%d", i), uint64(i+1), 1, Alive)
			}
			m := &Message{Kind: Ping, Seq: 9}
			b.ReportAllocs()
			for b.Loop() {
				m.From = from[dice.IntN(n)]
				v.Receive(2, m.From.Address, m)
				d.sent = d.sent[:0]
			}
			b.ReportMetric(float64(unsafe.Sizeof(member{})), "B/member-struct")
		})
	}
}

// BenchmarkStanding is a snapshot of a view of 1,400, which a change of the view takes.
func BenchmarkStanding(b *testing.B) {
	const members = 1400
	v, _ := newView(b, Settings{MaxMembers: members})
	table := make([]Record, 0, members)
	for i := range members - 1 {
		table = append(table, newRecord(fmt.Sprintf("n%d", i), uint64(i+1), 1, Alive))
	}
	v.Merge(0, table, "n0")
	if s := v.Snapshot(0); len(s.Members) != members {
		b.Fatalf("%d members", len(s.Members))
	}
	for b.Loop() {
		v.Snapshot(0)
	}
}
