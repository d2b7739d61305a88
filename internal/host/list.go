package host

import (
	"slices"
	"time"

	"brasswell/balance"
	"brasswell/internal/backends"
)

// Update gives the balancer what discovery says. addresses holds where to dial the entries' servers.
func (i *Instance) Update(kind balance.ListKind, entries []balance.Entry, addresses map[string]string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	if kind == balance.Full || kind == balance.Cached {
		clear(i.address)
	}
	if i.lost > 0 {
		entries = slices.Clone(entries)
		for n := range entries {
			entries[n].Boot = max(entries[n].Boot, i.lost)
		}
	}
	for _, e := range entries {
		if address := addresses[e.ID]; e.State == balance.InService && address != "" {
			i.address[e.ID] = backends.Endpoint{Server: e.ID, Address: address, StartTime: e.Boot}
		} else {
			delete(i.address, e.ID)
		}
	}
	i.noteDrains(kind, entries)
	i.traceList(kind, entries)
	i.balancer.Update(i.now(), kind, entries)
	i.applyAgreed(i.now())
	if kind != balance.ListFailed && (kind != balance.Delta || len(entries) > 0) {
		i.keep()
	}
}

// keep tells the pool whose connections may be used again. It is called with mu held, so that two calls cannot pass
// each other.
func (i *Instance) keep() {
	wanted := make(map[backends.Endpoint]bool, len(i.address))
	for id, to := range i.address {
		if i.balancer.MaySend(id) {
			wanted[to] = true
		}
	}
	i.backends.SetWanted(wanted)
	i.tellChannels()
}

// noteDrains remembers since when servers drain; mu is held.
func (i *Instance) noteDrains(kind balance.ListKind, entries []balance.Entry) {
	before := i.drains
	if kind == balance.Full || kind == balance.Cached {
		i.drains = map[string]time.Duration{}
	}
	for _, e := range entries {
		at, known := before[e.ID]
		switch {
		case e.State != balance.Draining:
			delete(i.drains, e.ID)
		case known:
			i.drains[e.ID] = at
		default:
			i.drains[e.ID] = i.now()
		}
	}
}

// Failing are those of some servers that are avoided now for what their answers were.
func (i *Instance) Ejected(ids []string) (failing []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, id := range ids {
		if i.balancer.Ejected(id) {
			failing = append(failing, id)
		}
	}
	return failing
}

// Pool counts the servers in the list and those of them that are avoided.
func (i *Instance) CountServers() (listed, avoided int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.balancer.ServerCounts()
}

// Ready says whether there is a server to send to, by a list that was confirmed once or waited for long enough.
func (i *Instance) Ready() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.address) > 0 && (i.door == nil || i.door.Ready()) && (i.list == nil || i.list.Ready())
}
