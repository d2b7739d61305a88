package view

import (
	"math/bits"
	"slices"
)

// news is what is to be told, each piece so often: infection by rumour. What has been told least goes first. A piece is a
// name; what is told is what is held of it at that moment.
type updateQueue struct {
	pending map[string]transmission
	unsent  []queueEntry // never told
	resent  []queueEntry // the one told longest ago first
	stamp   uint64
}

type transmission struct {
	count int
	stamp uint64
}

// piece is a place in a line. One whose stamp is not that of its telling has been overtaken and counts for nothing.
type queueEntry struct {
	name  string
	stamp uint64
}

// tell makes what is held of a name news again.
func (n *updateQueue) push(name string) {
	if n.pending == nil {
		n.pending = map[string]transmission{}
	}
	n.stamp++
	n.pending[name] = transmission{stamp: n.stamp}
	n.unsent = append(n.unsent, queueEntry{name, n.stamp})
	// What nobody is there to hear must not grow with every change.
	const slack = 64
	if len(n.unsent)+len(n.resent) > 4*len(n.pending)+slack {
		stale := func(p queueEntry) bool { return n.pending[p.name].stamp != p.stamp }
		n.unsent, n.resent = slices.DeleteFunc(n.unsent, stale), slices.DeleteFunc(n.resent, stale)
	}
}

// empty says whether there is nothing to tell.
func (n *updateQueue) empty() bool { return len(n.pending) == 0 }

// take hands pieces on, those told least first, until give says that there is no room for one; each is told most times.
// give says as well whether there still is anything to say of a name.
func (n *updateQueue) take(most int, accept func(name string) (room, known bool)) {
	resent := len(n.resent) // what is told first now is not told twice
	for i, queue := range []*[]queueEntry{&n.unsent, &n.resent} {
		for range []int{len(*queue), resent}[i] {
			p := (*queue)[0]
			t, pending := n.pending[p.name]
			if !pending || t.stamp != p.stamp {
				*queue = (*queue)[1:]
				continue
			}
			fits, known := accept(p.name)
			if !fits {
				return
			}
			*queue = (*queue)[1:]
			if t.count++; !known || t.count >= most {
				delete(n.pending, p.name)
				continue
			}
			n.pending[p.name] = t
			n.resent = append(n.resent, p)
		}
	}
}

// mostTold is how often each process passes a piece of news on: some multiple of the logarithm of the fleet's size
// reaches all with high probability.
func (v *View) maxTransmissions() int { return 2 * (2 + bits.Len(uint(len(v.present)+1))) }

// takeNews appends news that fits into so many bytes.
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

// record is what is held of a name, this process's own included.
func (v *View) recordOf(name string) *Record {
	if name == v.self.Name && !v.displaced {
		return &v.self
	}
	if m := v.members[name]; m != nil {
		return &m.Record
	}
	return nil
}
