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
		data, err := m.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Decode(text)
		if err != nil {
			return
		}
		// A voter and a proxy that is not a voter accept every valid message without a panic.
		for _, name := range []string{"n1", "n4"} {
			c, err := New(0, Settings{Name: name, Voters: []string{"n1", "n2", "n3"}, Times: DefaultTimes()}, 1, Stored{}, nopHost{})
			if err != nil {
				t.Fatal(err)
			}
			c.Receive(time.Millisecond, m)
			c.Tick(time.Second)
		}
	})
}

// nopHost is a Host that does nothing.
type nopHost struct{}

func (nopHost) Send(string, *Message)     {}
func (nopHost) Save(*Record) error        { return nil }
func (nopHost) SaveRules(*rules.Status)   {}
func (nopHost) SetBasis(*Basis)           {}
func (nopHost) ProposalDone(rules.Answer) {}
func (nopHost) Notify(Event, Note)        {}

// TestBasis checks the decisions of a proxy with a lease, without a lease, and after a pause.
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
			t.Errorf("at %d, %+v: %v, want %v", c.at, c.send, got, c.want)
		}
	}
	if b.RefuseWithoutLease = true; b.Decide(120, send("in", false)) != rules.NoLease {
		t.Error("a proxy that must refuse without a lease serves without one")
	}
}

func TestInvalidSettings(t *testing.T) {
	good := Settings{Name: "a", Voters: []string{"a", "b", "c"}, Times: DefaultTimes()}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	if bound := good.Times.ConvergenceBound(); bound > 2*time.Second {
		t.Errorf("the convergence bound is %v", bound)
	}
	for name, change := range map[string]func(*Settings){
		"two keepers": func(s *Settings) { s.Voters = s.Voters[:2] }, "one named twice": func(s *Settings) { s.Voters = []string{"a", "b", "a"} },
		"no name": func(s *Settings) { s.Name = "" }, "a short lease": func(s *Settings) { s.Times.Lease = s.Times.Renew },
		"a short election": func(s *Settings) { s.Times.Election = s.Times.Heartbeat }, "no request timeout": func(s *Settings) { s.Times.RequestTimeout = 0 },
		"no drift": func(s *Settings) { s.Times.MaxDrift = 0 },
	} {
		s := good
		change(&s)
		if s.Validate() == nil {
			t.Errorf("%s: the settings are accepted", name)
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
