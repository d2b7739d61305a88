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
		if _, already := i.agreedBans[id]; !already {
			i.agreedBans[id] = false
		}
	}
	for _, id := range slices.Sorted(maps.Keys(i.agreedBans)) {
		if _, out := bans[id]; out {
			continue
		}
		applied := i.agreedBans[id]
		delete(i.agreedBans, id)
		if _, byHand := i.bannedSince[id]; applied && !byHand {
			i.balancer.Resume(now, id)
		}
	}
	i.applyAgreedBans(now)
	i.quotaShare = quota
	i.updateShares()
	i.updatePool()
}

// applyAgreed tells the balancer of servers that are out, as soon as a list has named them; mu is held.
func (i *Instance) applyAgreedBans(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(i.agreedBans)) {
		if !i.agreedBans[id] {
			i.agreedBans[id] = i.balancer.Suspend(now, id)
		}
	}
}

// SetPart tells the balancer which part of what the proxy may do is this instance's own, beside another at an upgrade.
func (i *Instance) SetUpgradeShare(part float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.upgradeShare = part
	i.updateShares()
}

// SetFleet tells the balancer which part of what all proxies may do is this proxy's own.
func (i *Instance) SetFleetShares(p parts.Parts) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if p == i.fleetShares || i.closed {
		return
	}
	i.fleetShares = p
	i.updateShares()
	i.log.Info(LogFleetShares, "soft", p.Soft, "hard", p.Hard)
}

func (i *Instance) updateShares() {
	i.balancer.SetPart(i.upgradeShare*i.fleetShares.Hard, i.quotaShare*i.fleetShares.Soft)
}

// Renumber takes in this proxy's own number among so many that cut the list.
func (i *Instance) Renumber(self, total int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if oldSelf, oldTotal := i.balancer.Numbers(); i.closed || oldSelf == self && oldTotal == total {
		return
	}
	i.balancer.Renumber(i.now(), self, total)
	i.updateChannels()
	i.log.Info(LogSubsetNumber, "self", self, "of", total)
}
