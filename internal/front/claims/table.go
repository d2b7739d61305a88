// Package claims records which request ids are in use or may have had an effect, so that no id is served twice. The
// processes of a proxy that run at the same time share one table, in a file that all of them map into memory.
package claims

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"runtime"
	"sync/atomic"
	"time"

	"brasswell/internal/clock"
)

const (
	slotsPerBucket = 8
	buckets        = 4096
	slots          = buckets * slotsPerBucket
	seedBytes      = 32
)

// Table is a set of claims on ids, of bounded size. An id that is claimed cannot be claimed again until the claim is
// released or expires. If there is no room for a claim, it replaces the one of an ended request that expires first.
//
// A table holds no lock, so a process that is paused or killed at any point keeps no other process waiting. The claims of
// a killed process stay until they expire: its requests may have had their effect. An id is represented by a keyed hash,
// so callers cannot choose ids that collide. All methods may be called concurrently.
type Table struct {
	slots []atomic.Uint64 // in buckets; each slot holds a word, or 0 if it is free
	seed  [seedBytes]byte // key of the hash
	now   func() time.Duration
}

// New returns a table that only this process uses.
func New() *Table {
	t := &Table{slots: make([]atomic.Uint64, slots), now: clock.Shared}
	rand.Read(t.seed[:])
	return t
}

// Claim is the claim of one request on its id.
type Claim struct {
	table *Table
	slot  *atomic.Uint64 // nil if the claim is not recorded
	held  word
}

// Claim claims an id for a request that begins. It returns false if the id is claimed already.
//
// If two processes claim the same id in the same moment, one of them or both are told that it is claimed, but never
// neither.
func (t *Table) Claim(id string) (c Claim, ok bool) {
	bucket, fingerprint := t.locate(id)
	held := newWord(fingerprint, t.now()+maxOpen, true)
	for {
		slot, current, claimed := t.findSlot(bucket, fingerprint)
		if claimed {
			return Claim{}, false
		}
		if slot == nil {
			return Claim{}, true // more requests are open than fit: not recorded
		}
		if !slot.CompareAndSwap(uint64(current), uint64(held)) {
			continue
		}
		if t.claimedElsewhere(bucket, fingerprint, slot) {
			slot.CompareAndSwap(uint64(held), 0)
			return Claim{}, false
		}
		return Claim{table: t, slot: slot, held: held}, true
	}
}

// Release ends a claim. The id may be claimed again.
func (c Claim) Release() {
	c.end(0)
}

// Retain ends a claim, but keeps the id from being claimed again for some time.
func (c Claim) Retain(d time.Duration) {
	if c.slot != nil {
		c.end(newWord(c.held.fingerprint(), c.table.now()+min(d, maxOpen), false))
	}
}

// end replaces a claim's word, unless the claim has expired and its slot is used by another one.
func (c Claim) end(next word) {
	if c.slot == nil {
		return
	}
	c.slot.CompareAndSwap(uint64(c.held), uint64(next))
	runtime.KeepAlive(c.table) // the slot is mapped as long as the table is reachable
}

// locate returns an id's bucket and its fingerprint there.
func (t *Table) locate(id string) (bucket []atomic.Uint64, fingerprint uint64) {
	text := append(make([]byte, 0, 128), t.seed[:]...)
	sum := sha256.Sum256(append(text, id...))
	first := int(binary.BigEndian.Uint32(sum[8:])%buckets) * slotsPerBucket
	return t.slots[first : first+slotsPerBucket], binary.BigEndian.Uint64(sum[:])
}

// findSlot returns the slot of a bucket that a new claim is to use, and what the slot holds: a free one, or else that of
// the ended request whose claim expires first. slot is nil if all belong to open requests. claimed reports whether there
// is a claim with the fingerprint.
func (t *Table) findSlot(bucket []atomic.Uint64, fingerprint uint64) (slot *atomic.Uint64, current word, claimed bool) {
	now := t.now()
	least := maxOpen + 1
	for i := range bucket {
		held := word(bucket[i].Load())
		left := held.left(now)
		if left >= 0 && held.matches(fingerprint) {
			return nil, 0, true
		}
		if left >= 0 && held.open() || left >= least {
			continue
		}
		slot, current, least = &bucket[i], held, left
	}
	return slot, current, false
}

// claimedElsewhere reports whether another slot of a bucket has a claim with the fingerprint.
func (t *Table) claimedElsewhere(bucket []atomic.Uint64, fingerprint uint64, own *atomic.Uint64) bool {
	now := t.now()
	for i := range bucket {
		held := word(bucket[i].Load())
		if &bucket[i] != own && held.left(now) >= 0 && held.matches(fingerprint) {
			return true
		}
	}
	return false
}
