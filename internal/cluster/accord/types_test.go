package accord

import (
	"testing"
	"time"

	"brasswell/internal/cluster/rules"
)

func FuzzDecode(f *testing.F) {
	for _, m := range []*Message{
		{Kind: Renew, From: "n1", Seq: 7, Held: HeldVersions{Log: 1, InForce: 2, Last: 3}},
		{Kind: Grant, From: "n1", To: "n2", Path: []string{"n3"}, Status: &rules.Status{InForce: rules.Version{Number: 1}}},
		{Kind: Propose, From: "n1", Change: &rules.Change{ID: "a", Kind: rules.Suspend, Server: "node-00"}},
		{Kind: Raft, From: "n1", Raft: []byte{8, 1}},
		{Kind: Renew, From: "n1", Seq: 7, Held: HeldVersions{Log: 1, InForce: 2, Last: 3}, Form: 2, AcceptsDeltas: true, NeedsWhole: true, Digest: 9},
		{Kind: Update, From: "n1", To: "n4", Delta: &rules.Delta{Base: 1, InForce: 1, Differences: []rules.Difference{{Number: 2, Bans: map[string]rules.Ban{"a": {}}}}}},
	} {
		text, err := m.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Decode(text)
		if err != nil {
			return
		}
		// Whatever is sound is taken in by a keeper and by one that is none.
		for _, name := range []string{"n1", "n4"} {
			c, err := New(0, Settings{Name: name, Voters: []string{"n1", "n2", "n3"}, Times: DefaultTimes()}, 1, Stored{}, nobody{})
			if err != nil {
				t.Fatal(err)
			}
			c.Receive(time.Millisecond, m)
			c.Tick(time.Second)
		}
	})
}

// nobody carries nothing out.
type nobody struct{}

func (nobody) Send(string, *Message)     {}
func (nobody) Save(*Record) error        { return nil }
func (nobody) SaveRules(*rules.Status)   {}
func (nobody) SetBasis(*Basis)           {}
func (nobody) ProposalDone(rules.Answer) {}
func (nobody) Notify(Event, Note)        {}

// TestBasis: what a proxy may do follows from its lease, and after a pause from nothing.
func TestBasis(t *testing.T) {
	ban := &rules.Document{Bans: map[string]rules.Ban{"out": {}}}
	b := Basis{Doc: ban, Unleased: rules.Unleased(ban), Until: 10, LastUnanswered: 100, AliveWindow: 50}
	send := func(server string, again bool) rules.Send {
		return rules.Send{Server: server, Class: "hold", MayHaveRun: again}
	}
	for _, c := range []struct {
		at   time.Duration
		send rules.Send
		want rules.Decision
	}{
		{10, send("in", true), rules.Allowed}, {10, send("out", false), rules.Banned},
		{120, send("in", false), rules.Allowed}, {120, send("in", true), rules.NoRepeat}, {120, send("out", false), rules.Banned},
		{151, send("in", false), rules.NoLease},
	} {
		if got := b.Decide(c.at, c.send); got != c.want {
			t.Errorf("at %d, %+v: %v, wanted %v", c.at, c.send, got, c.want)
		}
	}
	if b.RefuseWithoutLease = true; b.Decide(120, send("in", false)) != rules.NoLease {
		t.Error("one that is to refuse serves without a lease")
	}
}

func TestSettingsThatCannotBe(t *testing.T) {
	good := Settings{Name: "a", Voters: []string{"a", "b", "c"}, Times: DefaultTimes()}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	if bound := good.Times.ConvergenceBound(); bound > 2*time.Second {
		t.Errorf("the stated time is %v", bound)
	}
	for name, change := range map[string]func(*Settings){
		"two keepers": func(s *Settings) { s.Voters = s.Voters[:2] }, "one named twice": func(s *Settings) { s.Voters = []string{"a", "b", "a"} },
		"no name": func(s *Settings) { s.Name = "" }, "a short lease": func(s *Settings) { s.Times.Lease = s.Times.Renew },
		"a short election": func(s *Settings) { s.Times.Election = s.Times.Heartbeat }, "no patience": func(s *Settings) { s.Times.RequestTimeout = 0 },
		"no drift": func(s *Settings) { s.Times.MaxDrift = 0 },
	} {
		s := good
		change(&s)
		if s.Validate() == nil {
			t.Errorf("%s: it passes", name)
		}
	}
}

func BenchmarkRule(b *testing.B) {
	ban := &rules.Document{Bans: map[string]rules.Ban{"out": {}}, Settings: rules.Settings{Classes: map[string]rules.Class{"hold": {NoRepeat: true}}}}
	basis := Basis{Doc: ban, Unleased: rules.Unleased(ban), Until: time.Hour}
	b.ReportAllocs()
	for b.Loop() {
		if basis.Decide(time.Second, rules.Send{Server: "in", Class: "hold"}) != rules.Allowed {
			b.Fatal("not allowed")
		}
	}
}
