package host

import (
	"maps"
	"slices"
	"time"
)

// SetBanned takes a server out on behalf of the operator or puts it back, and reports whether a list has ever named it.
// Once a call that takes a server out has returned, nothing new is sent there: an attempt that is decided on and not yet
// written is checked again right before its first byte.
func (i *Instance) SetBanned(id string, banned bool) (known bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	now := i.now()
	_, agreed := i.agreedBans[id]
	switch {
	case banned:
		known = i.balancer.Suspend(now, id)
	case agreed:
		known = true // it stays out until the agreed ban is lifted
	default:
		known = i.balancer.Resume(now, id)
	}
	if _, already := i.bannedSince[id]; !banned {
		delete(i.bannedSince, id)
	} else if known && !already {
		i.bannedSince[id] = now
	}
	i.updatePool() // connections to a server that is out lead to a process that will be restarted
	return known
}

// RecordBans records which of the servers that Adopt has restored as banned were taken out by the operator.
func (i *Instance) RecordBans(ids []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordBans(i.now(), ids)
}

// recordBans must be called with mu held.
func (i *Instance) recordBans(now time.Duration, ids []string) {
	for _, id := range ids {
		i.bannedSince[id] = now
	}
}

// BanAll takes out the servers that the operator had taken out before this start, whether or not a list has named them
// since.
func (i *Instance) BanAll(ids []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	now := i.now()
	i.balancer.Ban(now, ids)
	i.recordBans(now, ids)
	i.updatePool()
}

// Banned returns the servers that the operator has taken out, sorted.
func (i *Instance) Banned() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Sorted(maps.Keys(i.bannedSince))
}
