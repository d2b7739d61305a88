package rules

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"math"
	"reflect"
	"slices"
)

// Digest stands for the content of versions: two that differ in it differ in content, and two that are equal in it are equal but
// with a chance of 1 in 2^64. It finds mistakes of disks and programs, not an adversary. 0 stands for none.
//
// It is taken over a canonical form (maps in the order of their keys, each text behind its length), which names each field by hand:
// what an older program does not know it must not have to take into account. A part that later documents have is added to the form
// only where it is set, and needs a later Form.
type Digest uint64

// partDigests are remembered with a version, so that each part of a document is digested once. 0 stands for not yet.
type partDigests struct {
	bans, classes, numbers, dropped, whole Digest
}

// canonical is the canonical form of what is digested.
type canonical []byte

func (c *canonical) number(n uint64) { *c = binary.AppendUvarint(*c, n) }

func (c *canonical) text(s string) {
	c.number(uint64(len(s)))
	*c = append(*c, s...)
}

func (c *canonical) flag(b bool) {
	if b {
		c.number(1)
	} else {
		c.number(0)
	}
}

func (c *canonical) digest() Digest {
	sum := sha256.Sum256(*c)
	return max(Digest(binary.BigEndian.Uint64(sum[:])), 1)
}

// digestMap digests a map in the order of its keys.
func digestMap[V any](of map[string]V, write func(*canonical, V)) Digest {
	const perEntry = 48
	c := make(canonical, 0, perEntry*len(of))
	for _, key := range slices.Sorted(maps.Keys(of)) {
		c.text(key)
		write(&c, of[key])
	}
	return c.digest()
}

func writeBan(c *canonical, b Ban) {
	c.text(b.Who)
	c.text(b.Why)
}

func writeClass(c *canonical, class Class) {
	c.flag(class.NoRepeat)
	c.flag(class.Closed)
}

func writeNumber(c *canonical, n int) { c.number(uint64(n)) }

func digestDropped(ids []string) Digest {
	var c canonical
	for _, id := range ids {
		c.text(id)
	}
	return c.digest()
}

func writeChange(c *canonical, change *Change) {
	c.text(change.ID)
	c.number(uint64(change.Kind))
	c.text(change.Server)
	c.number(change.ToVersion)
	c.text(change.Who)
	c.text(change.Why)
	c.number(uint64(change.At))
	c.number(change.BaseVersion)
	c.number(uint64(change.Form))
}

// computeDigests fills in a version's digests, and its size. Parts that it shares with a base, which may be nil, are not digested again.
func (v *Version) computeDigests(base *Version) {
	if v.digests.whole != 0 {
		return
	}
	if base == nil {
		base = &Version{}
	}
	is, was := &v.digests, &base.digests
	is.bans, is.classes, is.numbers, is.dropped = 0, 0, 0, 0
	if sameMap(v.Doc.Bans, base.Doc.Bans) {
		is.bans = was.bans
	}
	if sameMap(v.Doc.Classes, base.Doc.Classes) {
		is.classes = was.classes
	}
	if sameMap(v.Doc.Numbers, base.Doc.Numbers) {
		is.numbers = was.numbers
	}
	if sameSlice(v.Doc.Droppable, base.Doc.Droppable) {
		is.dropped = was.dropped
	}
	if is.bans == 0 {
		is.bans = digestMap(v.Doc.Bans, writeBan)
	}
	if is.classes == 0 {
		is.classes = digestMap(v.Doc.Classes, writeClass)
	}
	if is.numbers == 0 {
		is.numbers = digestMap(v.Doc.Numbers, writeNumber)
	}
	if is.dropped == 0 {
		is.dropped = digestDropped(v.Doc.Droppable)
	}
	var c canonical
	c.number(v.Number)
	for _, part := range []Digest{is.bans, is.classes, is.numbers, is.dropped} {
		c.number(uint64(part))
	}
	c.number(math.Float64bits(v.Doc.Quota))
	writeChange(&c, &v.Change)
	is.whole = c.digest()
	v.bytes = v.Doc.size()
}

// Digest is that of a version: its number, its document and the change that made it.
func (v *Version) Digest() Digest {
	if v.digests.whole != 0 {
		return v.digests.whole
	}
	computed := Version{Number: v.Number, Doc: v.Doc, Change: v.Change} // a version that others may read is not written to
	computed.computeDigests(nil)
	return computed.digests.whole
}

// Digest is that of a standing: of which version is in force, and of every version in it.
func (s *Status) Digest() Digest {
	var c canonical
	c.number(s.Log)
	c.number(s.Term)
	c.number(uint64(max(s.Form, 1)))
	c.number(uint64(s.InForce.Digest()))
	for i := range s.Pending {
		c.number(uint64(s.Pending[i].Digest()))
	}
	return c.digest()
}

// Compact has equal parts of successive versions shared and computes the digests, once, of a standing that has come from outside
// and that nobody else reads yet.
func (s *Status) Compact() { compactVersions(&s.InForce, s.Pending) }

// Compact does for a state what it does for a standing.
func (s *State) Compact() {
	if len(s.History) > 0 {
		compactVersions(&s.History[0], s.History[1:])
		newest := &s.History[len(s.History)-1]
		shareParts(&s.InForce, newest)
		s.InForce.computeDigests(newest)
	}
	s.Status.Compact()
}

func compactVersions(first *Version, rest []Version) {
	first.computeDigests(nil)
	before := first
	for i := range rest {
		v := &rest[i]
		shareParts(v, before)
		v.computeDigests(before)
		before = v
	}
}

// shareParts has a version share the parts in which it equals another.
func shareParts(v, other *Version) {
	if maps.Equal(v.Doc.Bans, other.Doc.Bans) {
		v.Doc.Bans = other.Doc.Bans
	}
	if maps.Equal(v.Doc.Classes, other.Doc.Classes) {
		v.Doc.Classes = other.Doc.Classes
	}
	if maps.Equal(v.Doc.Numbers, other.Doc.Numbers) {
		v.Doc.Numbers = other.Doc.Numbers
	}
	if slices.Equal(v.Doc.Droppable, other.Doc.Droppable) {
		v.Doc.Droppable = other.Doc.Droppable
	}
}

// sameMap says whether two maps are one, without looking into them.
func sameMap[V any](a, b map[string]V) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}

// sameSlice says whether two slices are one, without looking into them.
func sameSlice(a, b []string) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
