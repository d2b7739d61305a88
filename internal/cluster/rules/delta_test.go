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

// sorted writes equal values as equal bytes.
var sorted = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encoded(t interface{ Fatal(...any) }, v any) []byte {
	text, err := sorted.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// wired is a copy that shares nothing and remembers no digests, as one that has come from a disk or a peer.
func wired(t interface{ Fatal(...any) }, s *Status) *Status {
	back := &Status{}
	if err := cbor.Unmarshal(encoded(t, s), back); err != nil {
		t.Fatal(err)
	}
	return back
}

// drawChange is a change that fits a state, mostly.
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

// drawHistory is a state after some changes, and each standing that somebody may have kept from before.
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

// TestDeltasComeToTheSame: from whatever somebody has, a delta leads to what the leader has, in content and in digest; and also
// from what has come over the wire, and the delta itself over it.
func TestDeltasComeToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, kept := drawHistory(t)
		want := encoded(t, s.Copy())
		for _, has := range kept {
			d, ok := DeltaFrom(s, has.Position())
			if !ok {
				t.Fatalf("no delta from %+v", has.Position())
			}
			back := &Delta{}
			if err := cbor.Unmarshal(encoded(t, d), back); err != nil {
				t.Fatal(err)
			}
			if back.Position() != s.Position() {
				t.Fatalf("a delta to %+v; wanted %+v", back.Position(), s.Position())
			}
			for _, base := range []*Status{has, wired(t, has)} {
				before := encoded(t, base)
				got, err := Apply(base, back)
				if err != nil {
					t.Fatalf("from %+v: %v", has.Position(), err)
				}
				if !bytes.Equal(encoded(t, got), want) || got.Digest() != s.Status.Digest() {
					t.Fatalf("from %+v: %q", has.Position(), Diff(got.Meet(), s.Meet()))
				}
				if got.Digest() != wired(t, got).Digest() {
					t.Fatal("a digest that is remembered is another than one that is computed")
				}
				if err := got.Validate(); err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(encoded(t, base), before) {
					t.Fatal("the base was written to")
				}
			}
		}
	})
}

// TestDeltasThatCross: a delta that was made for what its receiver had before leads to the same, or is turned away for its base.
func TestDeltasThatCross(t *testing.T) {
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
		case !bytes.Equal(encoded(t, got), encoded(t, s.Copy())):
			t.Fatalf("%q", Diff(got.Meet(), s.Meet()))
		case moved.Position() != kept[from].Position():
			crossed++
		}
	})
	if crossed == 0 {
		t.Error("no delta crossed another")
	}
}

// tamper changes one thing in a document.
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

// TestTamperedBasesAreFound: what somebody has under a right number with another content leads to another digest, unless a change
// replaces just that content.
func TestTamperedBasesAreFound(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		s, kept := drawHistory(t)
		has := wired(t, kept[rapid.IntRange(0, len(kept)-1).Draw(t, "kept")])
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
		case !bytes.Equal(encoded(t, got), encoded(t, s.Copy())):
			t.Fatal("a tampered base leads to something else, and that is not found")
		}
	})
	if found == 0 {
		t.Error("no tampered base was found by its digest")
	}
}

// TestTamperedDeltasAreFound: nothing but what the leader has results from a delta that was changed on its way.
func TestTamperedDeltasAreFound(t *testing.T) {
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
		if got, err := Apply(has, d); err == nil && !bytes.Equal(encoded(t, got), encoded(t, s.Copy())) {
			t.Fatal("it is applied")
		} else if err == nil && d.Digest != s.Status.Digest() {
			t.Fatal("a delta with another digest is applied")
		}
	})
}

// TestDeltasShareWhatStays: a ban leaves the numbers as they are, and they are neither copied nor sent.
func TestDeltasShareWhatStays(t *testing.T) {
	s := NewState()
	numbers := map[string]int{}
	for i := range 1000 {
		numbers[fmt.Sprintf("proxy-%04d", i)] = i
	}
	s.Propose(&Change{ID: "1", Kind: Renumber, Numbers: numbers})
	s.Enforce(2)
	has := wired(t, s.Copy())
	s.Propose(&Change{ID: "2", Kind: Suspend, Server: "a"})
	d, ok := DeltaFrom(s, has.Position())
	if !ok {
		t.Fatal("no delta")
	}
	if n := len(encoded(t, d)); n > 100 {
		t.Errorf("a ban takes %d bytes", n)
	}
	got, err := Apply(has, d)
	if err != nil {
		t.Fatal(err)
	}
	if !sameMap(got.Pending[0].Doc.Numbers, has.InForce.Doc.Numbers) || !sameMap(got.Meet().Numbers, has.InForce.Doc.Numbers) {
		t.Error("numbers that did not change are copied")
	}
	whole := wired(t, s.Copy())
	whole.Compact()
	if !sameMap(whole.InForce.Doc.Numbers, whole.Pending[0].Doc.Numbers) {
		t.Error("equal numbers of a whole standing are kept twice")
	}
}

// TestNoDelta: where the base is of another log, ahead, or no longer kept, only the whole helps; and an apply says so too.
func TestNoDelta(t *testing.T) {
	s := NewState()
	s.Log = 7
	first := s.Copy()
	for i := range mostHistory + 10 {
		s.Propose(&Change{ID: fmt.Sprint(i), Kind: AllowDrop, Servers: []string{fmt.Sprint("node", i)}})
		s.Enforce(s.Last())
	}
	last := s.Last()
	for name, has := range map[string]Position{
		"no longer kept": first.Position(), "another log": {Log: 8, InForce: last, Last: last}, "ahead": {Log: 7, InForce: last, Last: last + 1},
		"more in force": {Log: 7, InForce: last + 1, Last: last},
	} {
		if _, ok := DeltaFrom(s, has); ok {
			t.Errorf("%s: a delta", name)
		}
	}
	d, ok := DeltaFrom(s, Position{Log: 7, InForce: last - 1, Last: last - 1})
	if !ok {
		t.Fatal("no delta from the version before")
	}
	if _, err := Apply(first, d); !errors.Is(err, ErrUnknownBase) {
		t.Errorf("applied to what it was not made from: %v", err)
	}
	long := Delta{Base: 1, InForce: 1, Differences: make([]Difference, MaxPending+2)}
	for i := range long.Differences {
		long.Differences[i].Number = uint64(i + 2)
	}
	gap := Delta{Base: 1, InForce: 1, Differences: []Difference{{Number: 2}, {Number: 4}}}
	ahead := Delta{Base: 1, InForce: 3, Differences: []Difference{{Number: 2}}}
	for name, d := range map[string]*Delta{"too many": &long, "a gap": &gap, "in force and not there": &ahead} {
		if d.Validate() == nil {
			t.Errorf("%s: it is sound", name)
		}
	}
	bad := Delta{Log: 7, Base: 1, InForce: 1, Differences: []Difference{{Number: 2, Numbers: map[string]int{"a": 1, "b": 1}}}}
	if _, err := Apply(first, &bad); err == nil || errors.Is(err, ErrDigestMismatch) {
		t.Errorf("two with one number: %v", err)
	}
}

// FuzzDelta: whatever is read as a delta is applied to a standing or turned away, and what is applied is sound.
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
		f.Add(encoded(f, d))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d := &Delta{}
		if cbor.Unmarshal(text, d) != nil {
			return
		}
		before := encoded(t, has)
		got, err := Apply(has, d)
		if err == nil && got.Validate() != nil || errors.Is(err, ErrDigestMismatch) && got.Validate() != nil {
			t.Errorf("what resulted is not sound: %v", got.Validate())
		}
		if !bytes.Equal(before, encoded(t, has)) {
			t.Error("the base was written to")
		}
	})
}

// TestFormsOfBounds: what goes beyond the bounds of Form 1 needs Form 2 and must say so; what does not stays agreeable.
func TestFormsOfBounds(t *testing.T) {
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
		"1,000 numbers":           {Change{Kind: Renumber, Numbers: numbers(form1Members)}, 1},
		"1,001 numbers":           {Change{Kind: Renumber, Numbers: numbers(form1Members + 1)}, 2},
		"64 classes":              {Change{Kind: Configure, Settings: &Settings{Classes: classes(form1Classes)}}, 1},
		"65 classes":              {Change{Kind: Configure, Settings: &Settings{Classes: classes(form1Classes + 1)}}, 2},
		"1,001 numbers in a file": {Change{Kind: Configure, Settings: &Settings{Numbers: numbers(form1Members + 1)}}, 2},
		"all that there may be":   {Change{Kind: Renumber, Numbers: numbers(MaxMembers)}, 2},
	} {
		if got := c.change.RequiredForm(); got != c.needs {
			t.Errorf("%s: form %d; wanted %d", name, got, c.needs)
		}
		s := NewState()
		c.change.ID = "1"
		if a := s.Propose(&c.change); (a.Version == 0) != (c.needs > 1) {
			t.Errorf("%s, with no form said: %+v", name, a)
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
		t.Error("more numbers than there may be")
	}
	// The bytes of a document are bounded as before until something needs Form 2.
	long := &Change{ID: "1", Kind: AllowDrop}
	for i := range MaxDroppable {
		long.Servers = append(long.Servers, fmt.Sprintf("%0200d", i))
	}
	s := NewState()
	if a := s.Propose(long); a.Version != 0 {
		t.Error("a document of over 96 KiB under Form 1")
	}
	long.ID, long.Servers = "2", long.Servers[:600]
	if a := s.Propose(long); a.Version != 0 {
		t.Error("a document of 126 KiB under Form 1")
	}
	s.Propose(&Change{ID: "3", Kind: Suspend, Server: "a", Form: 2})
	long.ID = "4"
	if a := s.Propose(long); a.Version == 0 {
		t.Errorf("a document of 126 KiB under Form 2: %s", a.Rejection)
	}
}
