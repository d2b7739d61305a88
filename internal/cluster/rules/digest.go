package rules

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"math"
	"reflect"
	"slices"
)

// Digest is a hash of the content of versions. Different digests mean different content; equal digests mean equal
// content, except with a probability of 1 in 2^64. It detects faults of disks and programs, but gives no protection
// against an adversary. 0 means no digest.
//
// The hash covers a canonical encoding (maps sorted by key, each text preceded by its length) that lists each field
// explicitly, so that an older program need not include fields that it doesn't know. A new part of a document is added
// to the encoding only where it is set, and requires a higher document form.
type Digest uint64

// partDigests caches the digests of a version, so that each part of a document is hashed only once. 0 means not
// computed yet.
type partDigests struct {
	bans, classes, numbers, droppable, whole Digest
}

// canonical is a buffer for the canonical encoding that a digest covers.
type canonical []byte

func (c *canonical) appendUint(n uint64) { *c = binary.AppendUvarint(*c, n) }

func (c *canonical) appendText(s string) {
	c.appendUint(uint64(len(s)))
	*c = append(*c, s...)
}

func (c *canonical) appendBool(b bool) {
	if b {
		c.appendUint(1)
	} else {
		c.appendUint(0)
	}
}

func (c *canonical) digest() Digest {
	sum := sha256.Sum256(*c)
	return max(Digest(binary.BigEndian.Uint64(sum[:])), 1)
}

// digestMap returns the digest of a map, sorted by key.
func digestMap[V any](m map[string]V, write func(*canonical, V)) Digest {
	const perEntry = 48
	c := make(canonical, 0, perEntry*len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		c.appendText(key)
		write(&c, m[key])
	}
	return c.digest()
}

func writeBan(c *canonical, b Ban) {
	c.appendText(b.Who)
	c.appendText(b.Why)
}

func writeClass(c *canonical, class Class) {
	c.appendBool(class.NoRepeat)
	c.appendBool(class.Closed)
}

func writeNumber(c *canonical, n int) { c.appendUint(uint64(n)) }

func digestDroppable(ids []string) Digest {
	var c canonical
	for _, id := range ids {
		c.appendText(id)
	}
	return c.digest()
}

func writeChange(c *canonical, change *Change) {
	c.appendText(change.ID)
	c.appendUint(uint64(change.Kind))
	c.appendText(change.Server)
	c.appendUint(change.ToVersion)
	c.appendText(change.Who)
	c.appendText(change.Why)
	c.appendUint(uint64(change.At))
	c.appendUint(change.BaseVersion)
	c.appendUint(uint64(change.Form))
}

// computeDigests sets a version's digests and size. Parts that it shares with base, which may be nil, are not hashed
// again.
func (v *Version) computeDigests(base *Version) {
	if v.digests.whole != 0 {
		return
	}
	if base == nil {
		base = &Version{}
	}
	digests, baseDigests := &v.digests, &base.digests
	digests.bans, digests.classes, digests.numbers, digests.droppable = 0, 0, 0, 0
	if sameMap(v.Doc.Bans, base.Doc.Bans) {
		digests.bans = baseDigests.bans
	}
	if sameMap(v.Doc.Classes, base.Doc.Classes) {
		digests.classes = baseDigests.classes
	}
	if sameMap(v.Doc.Numbers, base.Doc.Numbers) {
		digests.numbers = baseDigests.numbers
	}
	if sameSlice(v.Doc.Droppable, base.Doc.Droppable) {
		digests.droppable = baseDigests.droppable
	}
	if digests.bans == 0 {
		digests.bans = digestMap(v.Doc.Bans, writeBan)
	}
	if digests.classes == 0 {
		digests.classes = digestMap(v.Doc.Classes, writeClass)
	}
	if digests.numbers == 0 {
		digests.numbers = digestMap(v.Doc.Numbers, writeNumber)
	}
	if digests.droppable == 0 {
		digests.droppable = digestDroppable(v.Doc.Droppable)
	}
	var c canonical
	c.appendUint(v.Number)
	for _, part := range []Digest{digests.bans, digests.classes, digests.numbers, digests.droppable} {
		c.appendUint(uint64(part))
	}
	c.appendUint(math.Float64bits(v.Doc.Quota))
	writeChange(&c, &v.Change)
	digests.whole = c.digest()
	v.bytes = v.Doc.size()
}

// Digest returns the digest of the version: of its number, its document and the change that produced it.
func (v *Version) Digest() Digest {
	if v.digests.whole != 0 {
		return v.digests.whole
	}
	computed := Version{Number: v.Number, Doc: v.Doc, Change: v.Change} // a copy, because other goroutines may read the version
	computed.computeDigests(nil)
	return computed.digests.whole
}

// Digest returns the digest of the status: of its log, term, form and versions, with the version in force first.
func (s *Status) Digest() Digest {
	var c canonical
	c.appendUint(s.Log)
	c.appendUint(s.Term)
	c.appendUint(uint64(max(s.Form, 1)))
	c.appendUint(uint64(s.InForce.Digest()))
	for i := range s.Pending {
		c.appendUint(uint64(s.Pending[i].Digest()))
	}
	return c.digest()
}

// Compact makes successive versions share their equal parts and computes the digests. It is called once for a status
// that was received or read from disk, before any other goroutine reads it.
func (s *Status) Compact() { compactVersions(&s.InForce, s.Pending) }

// Compact does the same as Status.Compact for the whole state, including the history.
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

// shareParts makes a version share the parts that are equal in another version.
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

// sameMap reports whether two variables hold the same map, without comparing its entries.
func sameMap[V any](a, b map[string]V) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}

// sameSlice reports whether two slices share the same elements in memory, without comparing them.
func sameSlice(a, b []string) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
