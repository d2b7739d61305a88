package host

import (
	"slices"
	"time"

	"brasswell/balance"
	"brasswell/internal/backends"
)

// Update passes a list update from discovery to the balancer. addresses maps the IDs of the entries to dial addresses.
func (i *Instance) Update(kind balance.ListKind, entries []balance.Entry, addresses map[string]string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	if kind == balance.Full || kind == balance.Cached {
		clear(i.endpoints)
	}
	if i.earliestStart > 0 {
		entries = slices.Clone(entries)
		for n := range entries {
			entries[n].Boot = max(entries[n].Boot, i.earliestStart)
		}
	}
	for _, e := range entries {
		if address := addresses[e.ID]; e.State == balance.InService && address != "" {
			i.endpoints[e.ID] = backends.Endpoint{Server: e.ID, Address: address, StartTime: e.Boot}
		} else {
			delete(i.endpoints, e.ID)
		}
	}
	i.recordDrains(kind, entries)
	i.traceList(kind, entries)
	i.balancer.Update(i.now(), kind, entries)
	i.applyAgreedBans(i.now())
	if kind != balance.ListFailed && (kind != balance.Delta || len(entries) > 0) {
		i.updatePool()
	}
}

// updatePool tells the connection pool which endpoints' connections may be reused. It is called with mu held, so that two
// calls cannot overtake each other.
func (i *Instance) updatePool() {
	wanted := make(map[backends.Endpoint]bool, len(i.endpoints))
	for id, to := range i.endpoints {
		if i.balancer.MaySend(id) {
			wanted[to] = true
		}
	}
	i.backends.SetWanted(wanted)
	i.updateChannels()
}

// recordDrains records when servers were first seen to drain; mu is held.
func (i *Instance) recordDrains(kind balance.ListKind, entries []balance.Entry) {
	before := i.drainingSince
	if kind == balance.Full || kind == balance.Cached {
		i.drainingSince = map[string]time.Duration{}
	}
	for _, e := range entries {
		at, known := before[e.ID]
		switch {
		case e.State != balance.Draining:
			delete(i.drainingSince, e.ID)
		case known:
			i.drainingSince[e.ID] = at
		default:
			i.drainingSince[e.ID] = i.now()
		}
	}
}

// Ejected returns those of the given servers that the balancer has ejected because of the outcomes of their requests.
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

// CountServers returns the number of servers in the list and the number of them that are ejected or taken out.
func (i *Instance) CountServers() (listed, avoided int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.balancer.ServerCounts()
}

// Ready reports whether there is a server to send to, the admission gate is ready, and the list has been confirmed once
// or waited for long enough.
func (i *Instance) Ready() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.endpoints) > 0 && (i.admissionGate == nil || i.admissionGate.Ready()) && (i.serverList == nil || i.serverList.Ready())
}
