package rules

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Position is what somebody has, by number: a log, the version in force in it and the newest one.
type Position struct {
	Log, InForce, Last uint64
}

// Position is that of a standing.
func (s *Status) Position() Position {
	return Position{Log: s.Log, InForce: s.InForce.Number, Last: s.Last()}
}

// Difference makes one version from another: what is set, and what is removed. What it leaves out stays as it is.
type Difference struct {
	Number           uint64           `cbor:"1,keyasint"`
	Change           Change           `cbor:"2,keyasint"`
	Bans             map[string]Ban   `cbor:"3,keyasint,omitempty"`
	RemovedBans      []string         `cbor:"4,keyasint,omitempty"`
	Classes          map[string]Class `cbor:"5,keyasint,omitempty"`
	RemovedClasses   []string         `cbor:"6,keyasint,omitempty"`
	Quota            *float64         `cbor:"7,keyasint,omitempty"`
	Numbers          map[string]int   `cbor:"8,keyasint,omitempty"`
	RemovedNumbers   []string         `cbor:"9,keyasint,omitempty"`
	Droppable        []string         `cbor:"10,keyasint,omitempty"`
	RemovedDroppable []string         `cbor:"11,keyasint,omitempty"`
}

// Delta makes a newer standing from one that its receiver has.
type Delta struct {
	Log  uint64 `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint,omitempty"`
	Form uint8  `cbor:"3,keyasint,omitempty"`
	// Base is the version from which the first difference goes on, each other one from the one before it.
	Base        uint64       `cbor:"4,keyasint"`
	InForce     uint64       `cbor:"5,keyasint"` // the version in force
	Differences []Difference `cbor:"6,keyasint,omitempty"`
	// Digest is that of the standing that is to result.
	Digest Digest `cbor:"7,keyasint"`

	encoded []byte // as it is written, where that is known: many receivers lack the same
}

// plainDelta is written field by field.
type plainDelta Delta

// MarshalCBOR writes a delta.
func (d *Delta) MarshalCBOR() ([]byte, error) {
	if d.encoded != nil {
		return d.encoded, nil
	}
	return cbor.Marshal((*plainDelta)(d))
}

// Freeze has a delta written once for all that it goes to. It must not change after that.
func (d *Delta) CacheEncoding() error {
	text, err := cbor.Marshal((*plainDelta)(d))
	d.encoded = text
	return err
}

// What can be wrong with a delta and what it is applied to. Who meets one of them asks for the whole standing.
var (
	ErrUnknownBase    = errors.New("delta: made from a version that is not here")
	ErrDigestMismatch = errors.New("delta: what results has another digest")
)

// Size is the bytes of a delta that has been frozen.
func (d *Delta) EncodedSize() int { return len(d.encoded) }

// Last is the number of the newest version that a delta leads to.
func (d *Delta) Last() uint64 {
	if n := len(d.Differences); n > 0 {
		return d.Differences[n-1].Number
	}
	return max(d.Base, d.InForce)
}

// Position is that of the standing that a delta leads to.
func (d *Delta) Position() Position { return Position{Log: d.Log, InForce: d.InForce, Last: d.Last()} }

// NewerThan says whether a delta leads to more than a standing of its log has: see Standing.NewerThan.
func (d *Delta) NewerThan(s *Status) bool {
	return d.Last() > s.Last() || d.Last() == s.Last() && d.InForce > s.InForce.Number
}

// Sound says what is wrong with a delta that has come from outside, as far as it shows without its base.
func (d *Delta) Validate() error {
	if len(d.Differences) > MaxPending+1 {
		return fmt.Errorf("delta: %d versions; %d at most", len(d.Differences), MaxPending+1)
	}
	before := d.Base
	for i := range d.Differences {
		number := d.Differences[i].Number
		if number <= before || i > 0 && number != before+1 {
			return fmt.Errorf("delta: version %d after %d", number, before)
		}
		before = number
	}
	if d.InForce > before {
		return fmt.Errorf("delta: version %d in force, and %d is the newest", d.InForce, before)
	}
	return nil
}

// Between is what somebody lacks who has a position. ok is false where that is of another log, is ahead, or is so far behind that
// its newest version is not kept any more: only the whole standing helps then.
func DeltaFrom(s *State, has Position) (d *Delta, ok bool) {
	if has.Log != s.Log || has.Last > s.Last() || has.InForce > s.InForce.Number {
		return nil, false
	}
	base, found := s.Version(has.Last)
	if !found {
		return nil, false
	}
	d = &Delta{Log: s.Log, Term: s.Term, Form: s.Form, Base: base.Number, InForce: s.InForce.Number, Digest: s.Status.Digest()}
	for _, v := range s.versions() {
		if v.Number > base.Number {
			d.Differences = append(d.Differences, difference(&base, &v))
			base = v
		}
	}
	return d, true
}

// versions are all of a standing, the one in force first.
func (s *Status) versions() []Version {
	return append([]Version{s.InForce}, s.Pending...)
}

// difference is what makes one version from another.
func difference(from, to *Version) Difference {
	d := Difference{Number: to.Number, Change: to.Change}
	d.Bans, d.RemovedBans = compareMaps(from.Doc.Bans, to.Doc.Bans)
	d.Classes, d.RemovedClasses = compareMaps(from.Doc.Classes, to.Doc.Classes)
	d.Numbers, d.RemovedNumbers = compareMaps(from.Doc.Numbers, to.Doc.Numbers)
	d.Droppable, d.RemovedDroppable = compareSorted(from.Doc.Droppable, to.Doc.Droppable)
	if quota := to.Doc.Quota; quota != from.Doc.Quota {
		d.Quota = &quota
	}
	return d
}

// compareMaps is what has to be set and removed, in order, to make one map from another.
func compareMaps[V comparable](from, to map[string]V) (set map[string]V, removed []string) {
	if sameMap(from, to) {
		return nil, nil
	}
	for key, value := range to {
		if was, had := from[key]; had && was == value {
			continue
		}
		if set == nil {
			set = map[string]V{}
		}
		set[key] = value
	}
	for key := range from {
		if _, has := to[key]; !has {
			removed = append(removed, key)
		}
	}
	slices.Sort(removed)
	return set, removed
}

// changeMap makes one map from another; the same one where nothing changes.
func changeMap[V any](from, set map[string]V, removed []string) map[string]V {
	if len(set) == 0 && len(removed) == 0 {
		return from
	}
	to := maps.Clone(from)
	if to == nil {
		to = make(map[string]V, len(set))
	}
	for _, key := range removed {
		delete(to, key)
	}
	maps.Copy(to, set)
	return to
}

// compareSorted is what has to be added and removed to make one ordered list from another.
func compareSorted(from, to []string) (added, removed []string) {
	if sameSlice(from, to) {
		return nil, nil
	}
	for _, id := range to {
		if _, had := slices.BinarySearch(from, id); !had {
			added = append(added, id)
		}
	}
	for _, id := range from {
		if _, has := slices.BinarySearch(to, id); !has {
			removed = append(removed, id)
		}
	}
	return added, removed
}

// changeSorted makes one ordered list from another; the same one where nothing changes.
func changeSorted(from, added, removed []string) []string {
	if len(added) == 0 && len(removed) == 0 {
		return from
	}
	out := make(map[string]bool, len(removed))
	for _, id := range removed {
		out[id] = true
	}
	kept := slices.DeleteFunc(slices.Clone(from), func(id string) bool { return out[id] })
	return slices.Compact(slices.Sorted(slices.Values(append(kept, added...))))
}

// applyTo makes a version from the one that a difference was made from. Parts that do not change are shared.
func (d *Difference) applyTo(base *Version) Version {
	doc := base.Doc
	doc.Bans = changeMap(doc.Bans, d.Bans, d.RemovedBans)
	doc.Classes = changeMap(doc.Classes, d.Classes, d.RemovedClasses)
	doc.Numbers = changeMap(doc.Numbers, d.Numbers, d.RemovedNumbers)
	doc.Droppable = changeSorted(doc.Droppable, d.Droppable, d.RemovedDroppable)
	if d.Quota != nil {
		doc.Quota = *d.Quota
	}
	v := Version{Number: d.Number, Doc: doc, Change: d.Change}
	v.computeDigests(base)
	return v
}

// start is from which versions of a standing a delta goes on, with which differences. The receiver may have moved on since the delta
// was made, so that is the newest one that the delta knows, its base or a later one.
func (d *Delta) start(s *Status) (versions []Version, rest []Difference) {
	versions = s.versions()
	for n := len(versions); n > 0; n-- {
		number := versions[n-1].Number
		if number == d.Base {
			return versions[:n], d.Differences
		}
		if i := slices.IndexFunc(d.Differences, func(o Difference) bool { return o.Number == number }); i >= 0 {
			return versions[:n], d.Differences[i+1:]
		}
	}
	return nil, nil
}

// Apply makes a newer standing by a delta. It shares with the one before what has not changed, and is Sound where that was.
//
// With ErrDigest it returns what resulted, which must not be acted on: it is there for a checker that takes the defence out.
func Apply(s *Status, d *Delta) (*Status, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	versions, rest := d.start(s)
	if len(versions) == 0 || s.Log != d.Log {
		return nil, ErrUnknownBase
	}
	for i := range rest {
		base := versions[len(versions)-1]
		v := rest[i].applyTo(&base)
		if err := v.sound(&base); err != nil {
			return nil, err
		}
		versions = append(versions, v)
	}
	at := slices.IndexFunc(versions, func(v Version) bool { return v.Number == d.InForce })
	if at < 0 {
		return nil, ErrUnknownBase
	}
	next := &Status{Log: d.Log, Term: d.Term, Form: d.Form, InForce: versions[at], Pending: slices.Clone(versions[at+1:])}
	if err := next.soundNumbers(); err != nil {
		return nil, err
	}
	if next.Digest() != d.Digest {
		return next, ErrDigestMismatch
	}
	return next, nil
}
