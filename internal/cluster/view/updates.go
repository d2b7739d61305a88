package view

import (
	"math/bits"
	"slices"
)

// updateQueue holds the names whose records are to be disseminated by gossip, each a bounded number of times; names that were sent
// least often come first. An entry holds only a name; the record is looked up when it is sent.
type updateQueue struct {
	pending map[string]transmission
	unsent  []queueEntry // not sent yet
	resent  []queueEntry // sent before, the least recently sent first
	stamp   uint64
}

type transmission struct {
	count int
	stamp uint64
}

// queueEntry is a name in one of the queues. An entry whose stamp differs from that of its transmission is stale and is skipped.
type queueEntry struct {
	name  string
	stamp uint64
}

// push queues the record of a name for dissemination, and restarts its count of transmissions.
func (n *updateQueue) push(name string) {
	if n.pending == nil {
		n.pending = map[string]transmission{}
	}
	n.stamp++
	n.pending[name] = transmission{stamp: n.stamp}
	n.unsent = append(n.unsent, queueEntry{name, n.stamp})
	// Without members to send to, the queues must not grow with each change.
	const slack = 64
	if len(n.unsent)+len(n.resent) > 4*len(n.pending)+slack {
		stale := func(p queueEntry) bool { return n.pending[p.name].stamp != p.stamp }
		n.unsent, n.resent = slices.DeleteFunc(n.unsent, stale), slices.DeleteFunc(n.resent, stale)
	}
}

// empty reports whether no record is queued.
func (n *updateQueue) empty() bool { return len(n.pending) == 0 }

// take passes names to accept, those sent least often first, until accept reports that one does not fit. Each name is sent at most
// limit times. accept also reports whether the name still has a record.
func (n *updateQueue) take(limit int, accept func(name string) (fits, known bool)) {
	resent := len(n.resent) // names that are sent first in this call are not sent twice
	for i, queue := range []*[]queueEntry{&n.unsent, &n.resent} {
		for range []int{len(*queue), resent}[i] {
			p := (*queue)[0]
			t, queued := n.pending[p.name]
			if !queued || t.stamp != p.stamp {
				*queue = (*queue)[1:]
				continue
			}
			fits, known := accept(p.name)
			if !fits {
				return
			}
			*queue = (*queue)[1:]
			if t.count++; !known || t.count >= limit {
				delete(n.pending, p.name)
				continue
			}
			n.pending[p.name] = t
			n.resent = append(n.resent, p)
		}
	}
}

// maxTransmissions is how many times each process sends an update. A small multiple of the logarithm of the fleet's size reaches all
// members with high probability.
func (v *View) maxTransmissions() int { return 2 * (2 + bits.Len(uint(len(v.present)+1))) }

// takeUpdates appends the updates that fit into remaining bytes.
func (v *View) takeUpdates(to []Record, remaining int) []Record {
	v.updates.take(v.maxTransmissions(), func(name string) (bool, bool) {
		r := v.recordOf(name)
		if r == nil {
			return true, false
		}
		if remaining -= r.size(); remaining < 0 {
			return false, true
		}
		to = append(to, *r)
		return true, true
	})
	return to
}

// recordOf returns the record of a name, this process's own included; nil if it is unknown.
func (v *View) recordOf(name string) *Record {
	if name == v.self.Name && !v.displaced {
		return &v.self
	}
	if m := v.members[name]; m != nil {
		return &m.Record
	}
	return nil
}
