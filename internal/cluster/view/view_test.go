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

// recordingHost records a view's actions.
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

// takeSent returns the messages sent since the last call.
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

// receiveFrom delivers to a view a message from a member with updates about others.
func receiveFrom(v *View, now time.Duration, from Record, kind Kind, updates ...Record) {
	v.Receive(now, from.Address, &Message{Kind: kind, Seq: 1, From: from, Updates: updates})
}

// TestSuspicionIsRefuted: a living member that another one reports suspect is pinged with that record, and its refutation ends the
// suspicion.
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
		t.Fatalf("b is %v, want suspect", v.StateOf("b"))
	}
	notified := slices.ContainsFunc(d.takeSent(), func(s sent) bool {
		return s.to == b.Address && s.m.Kind == Ping && slices.ContainsFunc(s.m.Updates, func(r Record) bool { return r.Name == "b" && r.State == Suspect })
	})
	if !notified {
		t.Error("no ping with the suspicion was sent to b")
	}
	receiveFrom(v, 2, newRecord("b", 2, 2, Alive), Gossip)
	if v.StateOf("b") != Alive {
		t.Errorf("b is %v after its refutation, want alive", v.StateOf("b"))
	}
}

// TestReportedDeathIsVerified: a process to which a member is reported dead probes that member; only a probe of its own that stays
// without an answer makes the member suspect.
func TestReportedDeathIsVerified(t *testing.T) {
	v, d := newView(t, Settings{})
	receiveFrom(v, 0, newRecord("a", 1, 1, Alive), Ping)
	receiveFrom(v, 0, newRecord("b", 2, 1, Alive), Ping)
	d.takeSent()
	receiveFrom(v, 1, newRecord("a", 1, 1, Alive), Gossip, newRecord("b", 2, 1, Dead))
	if v.StateOf("b") != Alive {
		t.Fatalf("b is %v after a's report alone, want alive", v.StateOf("b"))
	}
	var seq uint64
	for _, s := range d.takeSent() {
		if s.to == "b:1" && s.m.Kind == Ping {
			seq = s.m.Seq
		}
	}
	if seq == 0 {
		t.Fatal("no ping was sent to b")
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

// TestUnresponsiveMemberIsDeclaredDead: a member that never answers becomes suspect after a probe and dead after the suspicion timeout,
// and remains in the view as dead.
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
	// The dead member is pinged from time to time, and its first message makes it alive again.
	asked := slices.ContainsFunc(d.takeSent(), func(s sent) bool { return s.to == "a:1" && len(s.m.Updates) == 1 && s.m.Updates[0].State == Dead })
	if receiveFrom(v, 41*p, newRecord("a", 1, 2, Alive), Ping); !asked || v.StateOf("a") != Alive || len(d.exchanges) == 0 {
		t.Errorf("pinged %v, state %v, %d exchanges", asked, v.StateOf("a"), len(d.exchanges))
	}
}

// TestSuspectsAreNotScannedForEachMessage: while hundreds of members are suspect, as when a region is cut off, a received message does
// not cause a scan of all suspects; each of them is still declared dead in the end.
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
	if scans := v.suspicionScans - before; len(v.suspect) != suspects || scans > 0 {
		t.Errorf("%d suspects were scanned %d times for %d messages", len(v.suspect), scans, messages)
	}

	before = v.suspicionScans
	calls := 0
	for now := v.Next(); now < 60*p; now = v.Next() {
		v.Wake(now)
		calls++
	}
	if scans := v.suspicionScans - before; scans > calls {
		t.Errorf("%d scans of the suspects in %d calls of Wake", scans, calls)
	}
	for i := range suspects {
		if held := v.StateOf(table[i].Name); held != Dead {
			t.Fatalf("%s is %v after all suspicions have expired", table[i].Name, held)
		}
	}
}

// TestExchangesAreSpread: views that begin to differ at the same time and keep changing do not all send their whole tables in the same
// period.
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
		t.Errorf("%d of %d views started an exchange, %d of them in one period: %v", all, views, most, begun)
	}
}

// TestPausedProcessSuspectsNobody: a process that resumes after a pause lowers its own health instead of suspecting members whose answers
// it has missed.
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
	v.Wake(60 * p) // it was paused since
	if v.Snapshot(60*p).Health == 0 {
		t.Error("the health score is 0 after a pause")
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

// TestRefutesRecordsOfItself: a wrong record of the process itself is refuted with a higher incarnation, except where the incarnation is
// so high that none above it is valid.
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
		t.Errorf("incarnation %d, want %d as before", got, before)
	}
}

// TestRestartTakesItsName: a restarted process takes its name from its predecessor. No clock is involved, so one that is set back does
// not matter.
func TestRestartTakesItsName(t *testing.T) {
	v, _ := newView(t, Settings{})
	receiveFrom(v, 0, newRecord("a", 1, 1, Alive), Ack, newRecord("me", 3, 90, Alive))
	if got := v.Snapshot(0).Self; got.Incarnation != 91 || got.InstanceID != 7 {
		t.Errorf("%+v", got)
	}
	receiveFrom(v, p, newRecord("a", 1, 1, Alive), Ack, newRecord("me", 3, 91, Dead)) // the predecessor's death, detected late
	if got := v.Snapshot(p).Self; got.Incarnation <= 91 && got.InstanceID < 3 || v.Snapshot(p).Displaced {
		t.Errorf("%+v", got)
	}
}

// TestLaterProcessKeepsTheName: a process that has run for a while pings another claimant of its name. If the claimant answers, the
// process yields, and reclaims the name when the claimant has left. If not, it claims the name again.
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
		t.Fatal("no ping was sent to the claimant")
		return nil, nil, 0
	}
	v, d, seq := ready()
	other := newRecord("me", 99, 5, Alive)
	other.Address = "other:1"
	v.Receive(late+1, "other:1", &Message{Kind: Ack, Seq: seq, From: other})
	s := v.Snapshot(late + 1)
	if !s.Displaced || s.Duplicate == nil || s.Duplicate.InstanceID != 99 || len(s.Members) != 2 {
		t.Fatalf("after the claimant's answer: %+v", s)
	}
	receiveFrom(v, late+2, newRecord("a", 1, 1, Alive), Gossip, newRecord("me", 99, 5, Left))
	if s := v.Snapshot(late + 2); s.Displaced || s.Self.Incarnation != 6 || d.changes[len(d.changes)-1].Why != Retaken {
		t.Errorf("after the claimant left: %+v", s)
	}

	v, _, _ = ready()
	for now := late; now < late+30*p; now += p / 10 {
		v.Wake(now)
		receiveFrom(v, now, newRecord("a", 1, 1, Alive), Ping)
	}
	if s := v.Snapshot(late + 30*p); s.Displaced || s.Self.Incarnation <= 5 {
		t.Errorf("claimant did not answer: %+v", s)
	}
}

// TestLeaveIsAnnounced: Leave sends the state to other members, and the view does nothing afterwards.
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
		t.Errorf("sent after Leave: %+v", s)
	}
}

// TestMembersAreBounded: a full view evicts the members that have been gone longest, and rejects new members if none are gone.
func TestMembersAreBounded(t *testing.T) {
	v, _ := newView(t, Settings{MaxMembers: 10})
	for i := range 100 {
		receiveFrom(v, 0, newRecord(fmt.Sprintf("n%d", i), 1, 1, Alive), Gossip)
	}
	if s := v.Snapshot(0); len(s.Members) != 10 || s.Rejected != 91 {
		t.Errorf("%d members, %d rejected", len(s.Members), s.Rejected)
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
			t.Errorf("%+v: no error", s)
		}
	}
}

// TestRandomEventsKeepInvariants: for any sequence of events nothing panics, all state stays bounded, the digest is that of the present
// members, and the process holds itself alive.
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

// checkInvariants checks that the parts of a view's state are consistent.
func checkInvariants(t *rapid.T, v *View) {
	for _, m := range v.suspect {
		if m.deadline < v.nextSuspicionEnd {
			t.Fatalf("the suspicion of %s ends at %v, before nextSuspicionEnd %v", m.Name, m.deadline, v.nextSuspicionEnd)
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
		t.Fatalf("a snapshot with unsorted members: %+v", s.Members)
	case digest != v.digest:
		t.Fatalf("digest %x, of the present members %x", v.digest, digest)
	case len(v.members) > v.settings.MaxMembers || len(v.probes) > 3*maxProbeWidth || len(v.pendingPings) > maxPendingPings:
		t.Fatalf("%d members, %d probes, %d pending pings", len(v.members), len(v.probes), len(v.pendingPings))
	case len(v.byName) != len(v.members) || !slices.IsSortedFunc(v.byName, func(a, b *member) int { return strings.Compare(a.Name, b.Name) }):
		t.Fatalf("%d members, %d in byName, or unsorted", len(v.members), len(v.byName))
	case slices.ContainsFunc(v.byName, func(m *member) bool { return v.members[m.Name] != m }):
		t.Fatal("byName and members hold different members of one name")
	case len(v.present)+len(v.gone) != len(v.members):
		t.Fatalf("%d present and %d gone of %d", len(v.present), len(v.gone), len(v.members))
	case !v.displaced && s.Self.State != Alive:
		t.Fatalf("its own record: %+v", s.Self)
	case len(v.updates.unsent)+len(v.updates.resent) > 4*len(v.updates.pending)+65:
		t.Fatalf("%d unsent and %d resent queue entries for %d names", len(v.updates.unsent), len(v.updates.resent), len(v.updates.pending))
	}
	for name, m := range v.suspect {
		if m.State != Suspect || v.members[name] != m {
			t.Fatalf("%s is in View.suspect with state %v", name, m.State)
		}
	}
	for i, m := range v.present {
		if m.index != i || !m.State.present() {
			t.Fatalf("%s at %d has index %d, state %v", m.Name, i, m.index, m.State)
		}
	}
}

// BenchmarkEvents measures the cost of a received message with its answer in a stable fleet.
func BenchmarkEvents(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, d := newView(b, Settings{MaxMembers: 2 * n})
			for i := range n {
				receiveFrom(v, 0, newRecord(fmt.Sprintf("n%d", i), uint64(i+1), 1, Alive), Ping)
			}
			dice := rand.New(rand.NewPCG(1, 1))
			for range 200 * n { // until all updates are disseminated
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

// BenchmarkSnapshot measures a snapshot of a view of 1,400 members, as it is taken after a change of the view.
func BenchmarkSnapshot(b *testing.B) {
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
