package rules

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

var drawDocument = rapid.Custom(func(t *rapid.T) *Document {
	d := &Document{Bans: map[string]Ban{}}
	for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID).Draw(t, "bans") {
		d.Bans[id] = Ban{Why: "drawn"}
	}
	d.Classes = rapid.MapOf(rapid.SampledFrom([]string{"hold", "search", AllClasses}), rapid.Custom(func(t *rapid.T) Class {
		return Class{NoRepeat: rapid.Bool().Draw(t, "no repeat"), Closed: rapid.Bool().Draw(t, "closed")}
	})).Draw(t, "classes")
	d.Quota = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "quota")
	d.Numbers = rapid.MapOfNValues(rapid.SampledFrom([]int{0, 1, 2}), 0, 3, func(n int) string { return fmt.Sprint("n", n%2) }).Draw(t, "numbers")
	d.Droppable = rapid.SampledFrom([][]string{nil, {"a"}, {"b", "d"}}).Draw(t, "dropped")
	return d
})

// TestMeetProperties checks that a meet contradicts neither document, is commutative, and is no stricter than necessary.
func TestMeetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument.Draw(t, "a"), drawDocument.Draw(t, "b")
		m := Meet(a, b)
		if found := append(Breaches(m, a), Breaches(m, b)...); len(found) > 0 {
			t.Fatalf("the meet breaches a document: %q", found)
		}
		if d := Diff(m, Meet(b, a)); len(d) > 0 {
			t.Fatalf("the meet is not commutative: %q", d)
		}
		for _, server := range []string{"a", "b", "c", "d"} {
			for _, class := range []string{"hold", "search", "other"} {
				for n := range 4 {
					s := Send{Server: server, Class: class, MayHaveRun: n&1 > 0, DropHeld: n&2 > 0}
					if both := a.Decide(s) == Allowed && b.Decide(s) == Allowed; both != (m.Decide(s) == Allowed) {
						t.Fatalf("%+v: %v and %v, but %v under the meet", s, a.Decide(s), b.Decide(s), m.Decide(s))
					}
				}
			}
		}
		if v := Unleased(a); v.Decide(Send{Server: "d", Class: "other", MayHaveRun: true}) != NoRepeat && v.Decide(Send{Server: "d", Class: "other", MayHaveRun: true}) != Closed {
			t.Fatal("a proxy without a lease may repeat a send")
		}
	})
}

// TestMeetOfStatus checks that the meet of a status equals the meet of its documents, computed one after another.
func TestMeetOfStatus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := drawHistory(t)
		one := s.InForce.Doc
		want := &one
		for i := range s.Pending {
			want = Meet(want, &s.Pending[i].Doc)
		}
		got := s.Meet()
		if d := Diff(want, got); len(d) > 0 || got.QuotaShare() != want.QuotaShare() {
			t.Fatalf("the meets differ: %q", d)
		}
		for _, v := range s.versions() {
			if found := Breaches(got, &v.Doc); len(found) > 0 {
				t.Fatalf("the meet breaches version %d: %q", v.Number, found)
			}
		}
	})
}

// TestDocumentRoundTrip checks that a decoded document equals the encoded one. Two fields with the same CBOR key would
// fail here.
func TestDocumentRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument.Draw(t, "document")
		text, err := cbor.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		var back Document
		if err := cbor.Unmarshal(text, &back); err != nil {
			t.Fatal(err)
		}
		if diff := Diff(d, &back); len(diff) > 0 {
			t.Fatalf("the decoded document differs: %q", diff)
		}
	})
}

// TestChangesAndTheirAnswers checks each kind of change, its answer, and its effect on the pending versions and the
// version in force.
func TestChangesAndTheirAnswers(t *testing.T) {
	s := NewState()
	suspend := func(id, server string) *Change {
		return &Change{ID: id, Kind: Suspend, Server: server, Who: "ops", Why: "disk"}
	}
	if a := s.Propose(suspend("1", "a")); a.Version != 2 || a.Rejection != "" {
		t.Fatalf("%+v", a)
	}
	if a := s.Propose(suspend("1", "a")); a.Version != 2 || len(s.Pending) != 1 {
		t.Errorf("the same change twice: %+v, %d pending", a, len(s.Pending))
	}
	if a := s.Propose(&Change{ID: "2", Kind: Resume, Server: "b"}); a.Version != 0 || !strings.Contains(a.Rejection, "is not out") {
		t.Errorf("%+v", a)
	}
	if a := s.Propose(&Change{ID: "3", Kind: Suspend, Server: "b", BaseVersion: 1}); a.Version != 0 || !strings.Contains(a.Rejection, "the newest is 2") {
		t.Errorf("a change for an older version: %+v", a)
	}
	s.Propose(suspend("4", "b"))
	if m := s.Meet(); len(m.Bans) != 2 || len(s.InForce.Doc.Bans) != 0 {
		t.Errorf("bans in the meet: %v; in force: %v", m.Bans, s.InForce.Doc.Bans)
	}
	if !s.Enforce(2) || s.InForce.Number != 2 || len(s.Pending) != 1 || s.Enforce(2) {
		t.Errorf("version %d in force, %d pending", s.InForce.Number, len(s.Pending))
	}
	s.Enforce(3)
	if a := s.Propose(&Change{ID: "5", Kind: Rollback, ToVersion: 2}); a.Version != 4 {
		t.Fatalf("%+v", a)
	}
	s.Enforce(4)
	if got := slices.Sorted(maps.Keys(s.InForce.Doc.Bans)); !slices.Equal(got, []string{"a"}) {
		t.Errorf("bans after a rollback: %q", got)
	}
	numbers := map[string]int{"n1": 0, "n2": 1}
	s.Propose(&Change{ID: "7", Kind: Renumber, Numbers: numbers})
	s.Propose(&Change{ID: "8", Kind: AllowDrop, Servers: []string{"z", "a", "z"}})
	s.Propose(&Change{ID: "9", Kind: Configure, Settings: &Settings{Quota: 0.5}})
	s.Enforce(s.Last())
	if d := &s.InForce.Doc; !maps.Equal(d.Numbers, numbers) || !slices.Equal(d.Droppable, []string{"a", "z"}) || d.Quota != 0.5 {
		t.Errorf("after settings without numbers: %+v", d)
	}
	for _, c := range []*Change{{ID: "10", Kind: Renumber, Numbers: numbers}, {ID: "11", Kind: AllowDrop, Servers: []string{"z", "a"}}} {
		if a := s.Propose(c); a.Version != 0 {
			t.Errorf("a change without effect is accepted: %+v", a)
		}
	}
	if a := s.Propose(&Change{ID: "6", Kind: Rollback, ToVersion: 99}); !strings.Contains(a.Rejection, "is not kept") {
		t.Errorf("%+v", a)
	}
	for i := range MaxPending + 1 {
		s.Propose(suspend(fmt.Sprint("many", i), fmt.Sprint("node", i)))
	}
	if len(s.Pending) != MaxPending {
		t.Errorf("%d pending", len(s.Pending))
	}
	if err := s.Validate(); err != nil {
		t.Error(err)
	}
}

// TestInvalidChanges checks that Validate rejects faulty changes and names the fault.
func TestInvalidChanges(t *testing.T) {
	for want, c := range map[string]Change{
		"id: empty":               {Kind: Suspend, Server: "a"},
		"backend: empty":          {ID: "1", Kind: Suspend},
		"not plain text":          {ID: "1", Kind: Suspend, Server: "a\n"},
		"no settings":             {ID: "1", Kind: Configure},
		"no kind 9":               {ID: "1", Kind: 9},
		"no version to go back":   {ID: "1", Kind: Rollback},
		"above 0 and up to 1":     {ID: "1", Kind: Configure, Settings: &Settings{Quota: 2}},
		"is n1's; no two may":     {ID: "1", Kind: Configure, Settings: &Settings{Numbers: map[string]int{"n1": 4, "n2": 4}}},
		"number of n1: -1 is bel": {ID: "1", Kind: Configure, Settings: &Settings{Numbers: map[string]int{"n1": -1}}},
		"over 200 bytes":          {ID: "1", Kind: Suspend, Server: "a", Why: strings.Repeat("x", 201)},
	} {
		if err := c.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v; wanted %q", err, want)
		}
	}
}

// BenchmarkEnforce measures Enforce for a ban, with documents for 1,400 proxies in the history.
func BenchmarkEnforce(b *testing.B) {
	s := NewState()
	numbers := map[string]int{}
	for i := range 1400 {
		numbers[fmt.Sprintf("proxy-%04d", i)] = i
	}
	s.Propose(&Change{ID: "numbers", Kind: Renumber, Numbers: numbers, Form: 2})
	s.Enforce(s.Last())
	for i := range maxHistory {
		s.Propose(&Change{ID: fmt.Sprint(i), Kind: Suspend, Server: fmt.Sprint("node-", i)})
		s.Enforce(s.Last())
	}
	s.Propose(&Change{ID: "last", Kind: Suspend, Server: "last"})
	for b.Loop() {
		if !s.Clone().Enforce(s.Last()) {
			b.Fatal("the version is not pending")
		}
	}
}

// TestStateSizeBounds checks that many bans with long reasons make neither a document nor the history larger than a
// message may be.
func TestStateSizeBounds(t *testing.T) {
	s := NewState()
	refused := 0
	for i := range MaxBans + 200 {
		c := &Change{ID: fmt.Sprint(i), Kind: Suspend, Server: fmt.Sprintf("node-%04d", i), Why: strings.Repeat("x", MaxReasonBytes)}
		if a := s.Propose(c); a.Version == 0 {
			refused++
		}
		s.Enforce(s.Last())
	}
	if n := s.InForce.Doc.size(); n > MaxDocumentBytes || refused == 0 {
		t.Errorf("a document of %d bytes, %d changes rejected", n, refused)
	}
	text, err := cbor.Marshal(s)
	if err != nil || len(text) > 2*maxHistoryBytes || len(s.History) < 2 {
		t.Errorf("a state of %d bytes with %d versions, error %v", len(text), len(s.History), err)
	}
}
