package host

import (
	"maps"
	"slices"
	"time"

	"brasswell/internal/cluster/parts"
	"brasswell/internal/cluster/rules"
)

// LogParts is the line that says which part of what all proxies may do is this one's own.
const LogFleetShares = "fleet: parts"

// LogNumber is the line that says by which own number this proxy cuts the list.
const LogSubsetNumber = "rules: number"

// Agreed takes in which servers are out at all proxies, and which share of their quotas tenants have.
func (i *Instance) ApplyAgreed(bans map[string]rules.Ban, quota float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	now := i.now()
	for id := range bans {
		if _, already := i.agreed[id]; !already {
			i.agreed[id] = false
		}
	}
	for _, id := range slices.Sorted(maps.Keys(i.agreed)) {
		if _, out := bans[id]; out {
			continue
		}
		known := i.agreed[id]
		delete(i.agreed, id)
		if _, byHand := i.byHand[id]; known && !byHand {
			i.balancer.Resume(now, id)
		}
	}
	i.applyAgreed(now)
	i.quota = quota
	i.setPart()
	i.keep()
}

// applyAgreed tells the balancer of servers that are out, as soon as a list has named them; mu is held.
func (i *Instance) applyAgreed(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(i.agreed)) {
		if !i.agreed[id] {
			i.agreed[id] = i.balancer.Suspend(now, id)
		}
	}
}

// SetPart tells the balancer which part of what the proxy may do is this instance's own, beside another at an upgrade.
func (i *Instance) SetUpgradeShare(part float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.part = part
	i.setPart()
}

// SetFleet tells the balancer which part of what all proxies may do is this proxy's own.
func (i *Instance) SetFleetShares(p parts.Factors) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if p == i.fleet || i.closed {
		return
	}
	i.fleet = p
	i.setPart()
	i.log.Info(LogFleetShares, "soft", p.Soft, "hard", p.Hard)
}

func (i *Instance) setPart() { i.balancer.SetShare(i.part*i.fleet.Hard, i.quota*i.fleet.Soft) }

// Renumber takes in this proxy's own number among so many that cut the list.
func (i *Instance) Renumber(self, of int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if was, among := i.balancer.Numbers(); i.closed || was == self && among == of {
		return
	}
	i.balancer.Renumber(i.now(), self, of)
	i.tellChannels()
	i.log.Info(LogSubsetNumber, "self", self, "of", of)
}
