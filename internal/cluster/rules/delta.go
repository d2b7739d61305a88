package rules

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Position identifies the versions that a proxy has: the log, the number of the version in force and that of the newest
// version.
type Position struct {
	Log, InForce, Last uint64
}

// Position returns the position of the status.
func (s *Status) Position() Position {
	return Position{Log: s.Log, InForce: s.InForce.Number, Last: s.Last()}
}

// Difference turns one version into another: it lists the entries to set and to remove. All other entries are unchanged.
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

// Delta turns a status that the receiver has into a newer one.
type Delta struct {
	Log  uint64 `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint,omitempty"`
	Form uint8  `cbor:"3,keyasint,omitempty"`
	// Base is the version that the first difference applies to; each further difference applies to the result of the
	// previous one.
	Base        uint64       `cbor:"4,keyasint"`
	InForce     uint64       `cbor:"5,keyasint"` // the version in force
	Differences []Difference `cbor:"6,keyasint,omitempty"`
	// Digest is the digest of the resulting status.
	Digest Digest `cbor:"7,keyasint"`

	encoded []byte // the cached encoding, if any: many receivers lack the same versions
}

// plainDelta has the fields of Delta without its MarshalCBOR method.
type plainDelta Delta

// MarshalCBOR encodes the delta, or returns the cached encoding.
func (d *Delta) MarshalCBOR() ([]byte, error) {
	if d.encoded != nil {
		return d.encoded, nil
	}
	return cbor.Marshal((*plainDelta)(d))
}

// CacheEncoding encodes the delta once for all its receivers. The delta must not be changed afterwards.
func (d *Delta) CacheEncoding() error {
	data, err := cbor.Marshal((*plainDelta)(d))
	d.encoded = data
	return err
}

// Errors of Apply that mean that the receiver has to request the whole status.
var (
	ErrUnknownBase    = errors.New("delta: the base version is not known here")
	ErrDigestMismatch = errors.New("delta: the result has a different digest")
)

// EncodedSize returns the size in bytes of the encoding that CacheEncoding stored.
func (d *Delta) EncodedSize() int { return len(d.encoded) }

// Last returns the number of the newest version after the delta is applied.
func (d *Delta) Last() uint64 {
	if n := len(d.Differences); n > 0 {
		return d.Differences[n-1].Number
	}
	return max(d.Base, d.InForce)
}

// Position returns the position of the resulting status.
func (d *Delta) Position() Position { return Position{Log: d.Log, InForce: d.InForce, Last: d.Last()} }

// NewerThan reports whether the resulting status is newer than a status of the same log; see Status.NewerThan.
func (d *Delta) NewerThan(s *Status) bool {
	return d.Last() > s.Last() || d.Last() == s.Last() && d.InForce > s.InForce.Number
}

// Validate checks a received delta, as far as this is possible without its base.
func (d *Delta) Validate() error {
	if len(d.Differences) > MaxPending+1 {
		return fmt.Errorf("delta: %d versions; %d at most", len(d.Differences), MaxPending+1)
	}
	before := d.Base
	for i := range d.Differences {
		number := d.Differences[i].Number
		if number <= before || i > 0 && number != before+1 {
			return fmt.Errorf("delta: version %d follows version %d", number, before)
		}
		before = number
	}
	if d.InForce > before {
		return fmt.Errorf("delta: version %d is in force, but the newest version is %d", d.InForce, before)
	}
	return nil
}

// DeltaFrom returns the delta that a proxy at the given position needs. ok is false if the position belongs to another
// log, is ahead of the state, or is so old that the history no longer contains its newest version: the proxy needs the
// whole status then.
func DeltaFrom(s *State, from Position) (d *Delta, ok bool) {
	if from.Log != s.Log || from.Last > s.Last() || from.InForce > s.InForce.Number {
		return nil, false
	}
	base, found := s.Version(from.Last)
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

// versions returns all versions of the status, the one in force first.
func (s *Status) versions() []Version {
	return append([]Version{s.InForce}, s.Pending...)
}

// difference returns the difference between two versions.
func difference(from, to *Version) Difference {
	d := Difference{Number: to.Number, Change: to.Change}
	d.Bans, d.RemovedBans = diffMaps(from.Doc.Bans, to.Doc.Bans)
	d.Classes, d.RemovedClasses = diffMaps(from.Doc.Classes, to.Doc.Classes)
	d.Numbers, d.RemovedNumbers = diffMaps(from.Doc.Numbers, to.Doc.Numbers)
	d.Droppable, d.RemovedDroppable = diffSorted(from.Doc.Droppable, to.Doc.Droppable)
	if quota := to.Doc.Quota; quota != from.Doc.Quota {
		d.Quota = &quota
	}
	return d
}

// diffMaps returns the entries to set and the sorted keys to remove to turn one map into another.
func diffMaps[V comparable](from, to map[string]V) (set map[string]V, removed []string) {
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

// patchMap applies the result of diffMaps to a map. It returns the same map if nothing changes.
func patchMap[V any](from, set map[string]V, removed []string) map[string]V {
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

// diffSorted returns the elements to add and to remove to turn one sorted list into another.
func diffSorted(from, to []string) (added, removed []string) {
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

// patchSorted applies the result of diffSorted to a list. It returns the same list if nothing changes.
func patchSorted(from, added, removed []string) []string {
	if len(added) == 0 && len(removed) == 0 {
		return from
	}
	drop := make(map[string]bool, len(removed))
	for _, id := range removed {
		drop[id] = true
	}
	kept := slices.DeleteFunc(slices.Clone(from), func(id string) bool { return drop[id] })
	return slices.Compact(slices.Sorted(slices.Values(append(kept, added...))))
}

// applyTo returns the version that results from applying the difference to its base. Unchanged parts are shared with
// the base.
func (d *Difference) applyTo(base *Version) Version {
	doc := base.Doc
	doc.Bans = patchMap(doc.Bans, d.Bans, d.RemovedBans)
	doc.Classes = patchMap(doc.Classes, d.Classes, d.RemovedClasses)
	doc.Numbers = patchMap(doc.Numbers, d.Numbers, d.RemovedNumbers)
	doc.Droppable = patchSorted(doc.Droppable, d.Droppable, d.RemovedDroppable)
	if d.Quota != nil {
		doc.Quota = *d.Quota
	}
	v := Version{Number: d.Number, Doc: doc, Change: d.Change}
	v.computeDigests(base)
	return v
}

// startFrom returns the versions of a status that the delta builds on and the differences that remain to be applied. The
// receiver may have advanced since the delta was made, so the last of these versions is the newest one that the delta
// knows: its base or a later one.
func (d *Delta) startFrom(s *Status) (versions []Version, remaining []Difference) {
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

// Apply returns the status that results from applying a delta. It shares unchanged parts with the given status, and it
// is valid if that one is.
//
// With ErrDigestMismatch, Apply returns the result too. It must not be acted on; it exists for a checker that disables
// the digest check.
func Apply(s *Status, d *Delta) (*Status, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	versions, remaining := d.startFrom(s)
	if len(versions) == 0 || s.Log != d.Log {
		return nil, ErrUnknownBase
	}
	for i := range remaining {
		base := versions[len(versions)-1]
		v := remaining[i].applyTo(&base)
		if err := v.validate(&base); err != nil {
			return nil, err
		}
		versions = append(versions, v)
	}
	inForce := slices.IndexFunc(versions, func(v Version) bool { return v.Number == d.InForce })
	if inForce < 0 {
		return nil, ErrUnknownBase
	}
	next := &Status{Log: d.Log, Term: d.Term, Form: d.Form, InForce: versions[inForce], Pending: slices.Clone(versions[inForce+1:])}
	if err := next.validateNumbers(); err != nil {
		return nil, err
	}
	if next.Digest() != d.Digest {
		return next, ErrDigestMismatch
	}
	return next, nil
}
