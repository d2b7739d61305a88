package rules

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// deterministic encodes equal values to equal bytes.
var deterministic = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(t interface{ Fatal(...any) }, v any) []byte {
	text, err := deterministic.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// decodedCopy returns a copy that shares nothing and caches no digests, like a status read from disk or received from a
// peer.
func decodedCopy(t interface{ Fatal(...any) }, s *Status) *Status {
	back := &Status{}
	if err := cbor.Unmarshal(encode(t, s), back); err != nil {
		t.Fatal(err)
	}
	return back
}

// drawChange draws a change that is usually applicable to the state.
func drawChange(t *rapid.T, s *State, id string) *Change {
	c := &Change{ID: id, Who: "ops", Why: rapid.SampledFrom([]string{"", "disk", "heat"}).Draw(t, "why")}
	c.Kind = Kind(rapid.IntRange(int(Suspend), int(AllowDrop)).Draw(t, "kind"))
	c.Server = rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server")
	other := drawDocument.Draw(t, "document")
	switch c.Kind {
	case Configure:
		c.Settings = &other.Settings
	case Renumber:
		c.Numbers = other.Numbers
	case AllowDrop:
		c.Servers = other.Droppable
	case Rollback:
		c.ToVersion = uint64(rapid.IntRange(1, int(s.Last())).Draw(t, "to"))
	}
	if rapid.IntRange(0, 9).Draw(t, "later form") == 0 {
		c.Form = 2
	}
	return c
}

// drawHistory draws a state after some changes, and returns also each earlier status that a proxy may still have.
func drawHistory(t *rapid.T) (s *State, kept []*Status) {
	s = NewState()
	s.Log = 7
	kept = append(kept, s.Copy())
	for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
		if rapid.Bool().Draw(t, "propose") || len(s.Pending) == 0 {
			s.Propose(drawChange(t, s, fmt.Sprint("change-", i)))
		} else {
			s.Enforce(s.Pending[rapid.IntRange(0, len(s.Pending)-1).Draw(t, "enforce")].Number)
		}
		kept = append(kept, s.Copy())
	}
	return s, kept
}

// TestDeltasReachTheSameStatus checks that a delta leads from each earlier status to the leader's, in content and in
// digest, also if the delta and the earlier status have been encoded and decoded.
func TestDeltasReachTheSameStatus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, kept := drawHistory(t)
		want := encode(t, s.Copy())
		for _, has := range kept {
			d, ok := DeltaFrom(s, has.Position())
			if !ok {
				t.Fatalf("no delta from position %+v", has.Position())
			}
			back := &Delta{}
			if err := cbor.Unmarshal(encode(t, d), back); err != nil {
				t.Fatal(err)
			}
			if back.Position() != s.Position() {
				t.Fatalf("the delta leads to %+v; wanted %+v", back.Position(), s.Position())
			}
			for _, base := range []*Status{has, decodedCopy(t, has)} {
				before := encode(t, base)
				got, err := Apply(base, back)
				if err != nil {
					t.Fatalf("a delta from %+v: %v", has.Position(), err)
				}
				if !bytes.Equal(encode(t, got), want) || got.Digest() != s.Status.Digest() {
					t.Fatalf("a delta from %+v: the result differs: %q", has.Position(), Diff(got.Meet(), s.Meet()))
				}
				if got.Digest() != decodedCopy(t, got).Digest() {
					t.Fatal("a cached digest differs from the computed one")
				}
				if err := got.Validate(); err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(encode(t, base), before) {
					t.Fatal("Apply changed the base")
				}
			}
		}
	})
}

// TestDeltasForEarlierPosition checks a delta whose receiver has advanced since the delta was made: it leads to the
// same status, or is rejected because its base is unknown.
func TestDeltasForEarlierPosition(t *testing.T) {
	crossed := 0
	rapid.Check(t, func(t *rapid.T) {
		s, kept := drawHistory(t)
		from := rapid.IntRange(0, len(kept)-1).Draw(t, "from")
		d, ok := DeltaFrom(s, kept[from].Position())
		if !ok {
			t.Fatal("no delta")
		}
		moved := kept[rapid.IntRange(from, len(kept)-1).Draw(t, "moved")]
		got, err := Apply(moved, d)
		switch {
		case errors.Is(err, ErrUnknownBase):
		case err != nil:
			t.Fatal(err)
		case !bytes.Equal(encode(t, got), encode(t, s.Copy())):
			t.Fatalf("the result differs: %q", Diff(got.Meet(), s.Meet()))
		case moved.Position() != kept[from].Position():
			crossed++
		}
	})
	if crossed == 0 {
		t.Error("no delta was applied to a later position than it was made for")
	}
}

// tamper changes one part of a document.
func tamper(t *rapid.T, doc *Document) {
	switch rapid.IntRange(0, 4).Draw(t, "part") {
	case 0:
		doc.Bans = maps.Clone(doc.Bans)
		if doc.Bans == nil {
			doc.Bans = map[string]Ban{}
		}
		doc.Bans["tampered"] = Ban{}
	case 1:
		doc.Classes = maps.Clone(doc.Classes)
		if doc.Classes == nil {
			doc.Classes = map[string]Class{}
		}
		doc.Classes["tampered"] = Class{}
	case 2:
		doc.Numbers = maps.Clone(doc.Numbers)
		if doc.Numbers == nil {
			doc.Numbers = map[string]int{}
		}
		doc.Numbers["tampered"] = 99
	case 3:
		doc.Droppable = append(slices.Clone(doc.Droppable), "tampered")
	case 4:
		doc.Quota = 0.125
	}
}

// TestTamperedBasesAreDetected checks that a base with the right number but the wrong content leads to a digest
// mismatch, unless a change replaces exactly that content.
func TestTamperedBasesAreDetected(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		s, kept := drawHistory(t)
		has := decodedCopy(t, kept[rapid.IntRange(0, len(kept)-1).Draw(t, "kept")])
		if n := len(has.Pending); n > 0 && rapid.Bool().Draw(t, "pending") {
			tamper(t, &has.Pending[rapid.IntRange(0, n-1).Draw(t, "which")].Doc)
		} else {
			tamper(t, &has.InForce.Doc)
		}
		d, ok := DeltaFrom(s, has.Position())
		if !ok {
			t.Fatal("no delta")
		}
		got, err := Apply(has, d)
		switch {
		case errors.Is(err, ErrDigestMismatch):
			found++
		case err != nil:
			t.Fatal(err)
		case !bytes.Equal(encode(t, got), encode(t, s.Copy())):
			t.Fatal("a tampered base leads to a different status, and the digest does not detect it")
		}
	})
	if found == 0 {
		t.Error("no tampered base was detected by its digest")
	}
}

// TestTamperedDeltasAreDetected checks that a delta that was changed in transit is rejected or leads to the leader's
// status.
func TestTamperedDeltasAreDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, kept := drawHistory(t)
		has := kept[rapid.IntRange(0, len(kept)-1).Draw(t, "kept")]
		d, ok := DeltaFrom(s, has.Position())
		if !ok {
			t.Fatal("no delta")
		}
		switch n := len(d.Differences); {
		case n == 0 || rapid.IntRange(0, 3).Draw(t, "what") == 0:
			d.Digest++
		default:
			one := &d.Differences[rapid.IntRange(0, n-1).Draw(t, "which")]
			switch rapid.IntRange(0, 3).Draw(t, "how") {
			case 0:
				one.Bans = map[string]Ban{"tampered": {}}
			case 1:
				one.Numbers = map[string]int{"tampered": 99}
			case 2:
				one.Change.Why += "tampered"
			case 3:
				one.RemovedClasses, one.Classes = nil, map[string]Class{"tampered": {Closed: true}}
			}
		}
		if got, err := Apply(has, d); err == nil && !bytes.Equal(encode(t, got), encode(t, s.Copy())) {
			t.Fatal("a tampered delta is applied")
		} else if err == nil && d.Digest != s.Status.Digest() {
			t.Fatal("a delta with a wrong digest is applied")
		}
	})
}

// TestDeltasShareUnchangedParts checks that the numbers, which a ban doesn't change, are neither copied nor sent.
func TestDeltasShareUnchangedParts(t *testing.T) {
	s := NewState()
	numbers := map[string]int{}
	for i := range 1000 {
		numbers[fmt.Sprintf("proxy-%04d", i)] = i
	}
	s.Propose(&Change{ID: "1", Kind: Renumber, Numbers: numbers})
	s.Enforce(2)
	has := decodedCopy(t, s.Copy())
	s.Propose(&Change{ID: "2", Kind: Suspend, Server: "a"})
	d, ok := DeltaFrom(s, has.Position())
	if !ok {
		t.Fatal("no delta")
	}
	if n := len(encode(t, d)); n > 100 {
		t.Errorf("the delta of a ban takes %d bytes", n)
	}
	got, err := Apply(has, d)
	if err != nil {
		t.Fatal(err)
	}
	if !sameMap(got.Pending[0].Doc.Numbers, has.InForce.Doc.Numbers) || !sameMap(got.Meet().Numbers, has.InForce.Doc.Numbers) {
		t.Error("unchanged numbers are copied")
	}
	whole := decodedCopy(t, s.Copy())
	whole.Compact()
	if !sameMap(whole.InForce.Doc.Numbers, whole.Pending[0].Doc.Numbers) {
		t.Error("equal numbers of a whole status are stored twice")
	}
}

// TestNoDelta checks that there is no delta from a position of another log, ahead of the state or no longer in the
// history, and that Apply rejects a delta for another base and an invalid delta.
func TestNoDelta(t *testing.T) {
	s := NewState()
	s.Log = 7
	first := s.Copy()
	for i := range maxHistory + 10 {
		s.Propose(&Change{ID: fmt.Sprint(i), Kind: AllowDrop, Servers: []string{fmt.Sprint("node", i)}})
		s.Enforce(s.Last())
	}
	last := s.Last()
	for name, has := range map[string]Position{
		"no longer in the history": first.Position(), "another log": {Log: 8, InForce: last, Last: last}, "ahead": {Log: 7, InForce: last, Last: last + 1},
		"more in force": {Log: 7, InForce: last + 1, Last: last},
	} {
		if _, ok := DeltaFrom(s, has); ok {
			t.Errorf("%s: there is a delta", name)
		}
	}
	d, ok := DeltaFrom(s, Position{Log: 7, InForce: last - 1, Last: last - 1})
	if !ok {
		t.Fatal("no delta from the version before")
	}
	if _, err := Apply(first, d); !errors.Is(err, ErrUnknownBase) {
		t.Errorf("a delta applied to an older status than its base: %v", err)
	}
	long := Delta{Base: 1, InForce: 1, Differences: make([]Difference, MaxPending+2)}
	for i := range long.Differences {
		long.Differences[i].Number = uint64(i + 2)
	}
	gap := Delta{Base: 1, InForce: 1, Differences: []Difference{{Number: 2}, {Number: 4}}}
	ahead := Delta{Base: 1, InForce: 3, Differences: []Difference{{Number: 2}}}
	for name, d := range map[string]*Delta{"too many": &long, "a gap": &gap, "version in force missing": &ahead} {
		if d.Validate() == nil {
			t.Errorf("%s: the delta is valid", name)
		}
	}
	bad := Delta{Log: 7, Base: 1, InForce: 1, Differences: []Difference{{Number: 2, Numbers: map[string]int{"a": 1, "b": 1}}}}
	if _, err := Apply(first, &bad); err == nil || errors.Is(err, ErrDigestMismatch) {
		t.Errorf("two proxies with one number: %v", err)
	}
}

// FuzzDelta checks that any decoded delta is either rejected or leads to a valid status.
func FuzzDelta(f *testing.F) {
	s := NewState()
	s.Propose(&Change{ID: "1", Kind: Configure, Settings: &Settings{Quota: 0.5, Numbers: map[string]int{"a": 0, "b": 1}}})
	has := s.Copy()
	s.Propose(&Change{ID: "2", Kind: Suspend, Server: "x"})
	s.Enforce(2)
	s.Propose(&Change{ID: "3", Kind: AllowDrop, Servers: []string{"x", "y"}})
	for _, position := range []Position{has.Position(), NewState().Position(), s.Position()} {
		d, ok := DeltaFrom(s, position)
		if !ok {
			f.Fatal("no delta")
		}
		f.Add(encode(f, d))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d := &Delta{}
		if cbor.Unmarshal(text, d) != nil {
			return
		}
		before := encode(t, has)
		got, err := Apply(has, d)
		if err == nil && got.Validate() != nil || errors.Is(err, ErrDigestMismatch) && got.Validate() != nil {
			t.Errorf("the result is not valid: %v", got.Validate())
		}
		if !bytes.Equal(before, encode(t, has)) {
			t.Error("Apply changed the base")
		}
	})
}

// TestFormRequiredByBounds checks that a change beyond the bounds of form 1 requires form 2 and is rejected if it
// doesn't state that form, and that a change within the bounds is accepted without it.
func TestFormRequiredByBounds(t *testing.T) {
	numbers := func(n int) map[string]int {
		all := map[string]int{}
		for i := range n {
			all[fmt.Sprintf("proxy-%04d", i)] = i
		}
		return all
	}
	classes := func(n int) map[string]Class {
		all := map[string]Class{}
		for i := range n {
			all[fmt.Sprint("class-", i)] = Class{Closed: true}
		}
		return all
	}
	for name, c := range map[string]struct {
		change Change
		needs  uint8
	}{
		"1,000 numbers":           {Change{Kind: Renumber, Numbers: numbers(maxMembersForm1)}, 1},
		"1,001 numbers":           {Change{Kind: Renumber, Numbers: numbers(maxMembersForm1 + 1)}, 2},
		"64 classes":              {Change{Kind: Configure, Settings: &Settings{Classes: classes(maxClassesForm1)}}, 1},
		"65 classes":              {Change{Kind: Configure, Settings: &Settings{Classes: classes(maxClassesForm1 + 1)}}, 2},
		"1,001 numbers in a file": {Change{Kind: Configure, Settings: &Settings{Numbers: numbers(maxMembersForm1 + 1)}}, 2},
		"the most numbers":        {Change{Kind: Renumber, Numbers: numbers(MaxMembers)}, 2},
	} {
		if got := c.change.RequiredForm(); got != c.needs {
			t.Errorf("%s: form %d; wanted %d", name, got, c.needs)
		}
		s := NewState()
		c.change.ID = "1"
		if a := s.Propose(&c.change); (a.Version == 0) != (c.needs > 1) {
			t.Errorf("%s, without a stated form: %+v", name, a)
		}
		c.change.ID, c.change.Form = "2", c.needs
		s = NewState()
		if a := s.Propose(&c.change); a.Version == 0 || s.Form != c.needs {
			t.Errorf("%s: %+v, form %d", name, a, s.Form)
		}
		if err := s.Validate(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := (&Change{ID: "1", Kind: Renumber, Numbers: numbers(MaxMembers + 1)}).Validate(); err == nil {
		t.Error("more numbers than MaxMembers are valid")
	}
	// The size bound of form 1 applies until a change requires form 2.
	long := &Change{ID: "1", Kind: AllowDrop}
	for i := range MaxDroppable {
		long.Servers = append(long.Servers, fmt.Sprintf("%0200d", i))
	}
	s := NewState()
	if a := s.Propose(long); a.Version != 0 {
		t.Error("a document of over 96 KiB is accepted under form 1")
	}
	long.ID, long.Servers = "2", long.Servers[:600]
	if a := s.Propose(long); a.Version != 0 {
		t.Error("a document of 126 KiB is accepted under form 1")
	}
	s.Propose(&Change{ID: "3", Kind: Suspend, Server: "a", Form: 2})
	long.ID = "4"
	if a := s.Propose(long); a.Version == 0 {
		t.Errorf("a document of 126 KiB is rejected under form 2: %s", a.Rejection)
	}
}
