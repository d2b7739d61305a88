package host

import (
	"maps"
	"slices"
	"time"
)

// ByHand takes a server out or puts it back, and reports whether a list has ever named it. Once it has returned from
// taking one out, nothing new begins to go there: a send that is decided and not yet written asks again right before its
// first byte.
func (i *Instance) SetBanned(id string, out bool) (known bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	now := i.now()
	_, agreed := i.agreed[id]
	switch {
	case out:
		known = i.balancer.Suspend(now, id)
	case agreed:
		known = true // it stays out until that is lifted
	default:
		known = i.balancer.Resume(now, id)
	}
	if _, already := i.byHand[id]; !out {
		delete(i.byHand, id)
	} else if known && !already {
		i.byHand[id] = now
	}
	i.keep() // what is held to a server that is out leads to a process that will be restarted
	return known
}

// NoteByHand takes in which of the servers that Adopt has told to be out are so by hand.
func (i *Instance) RecordBans(ids []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.noteByHand(i.now(), ids)
}

// noteByHand must be called with mu held.
func (i *Instance) noteByHand(now time.Duration, ids []string) {
	for _, id := range ids {
		i.byHand[id] = now
	}
}

// BanAll takes servers out by hand that were out before this start, listed since or not.
func (i *Instance) BanAll(ids []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	now := i.now()
	i.balancer.Ban(now, ids)
	i.noteByHand(now, ids)
	i.keep()
}

// Banned are the servers that are out by hand, in order.
func (i *Instance) Banned() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Sorted(maps.Keys(i.byHand))
}
