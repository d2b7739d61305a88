package host

import (
	"maps"
	"slices"
	"time"

	"brasswell/internal/cluster/parts"
	"brasswell/internal/cluster/rules"
)

// LogFleetShares is the message of the log line with this proxy's shares of the limits that all proxies have together.
const LogFleetShares = "fleet: parts"

// LogSubsetNumber is the message of the log line with the number by which this proxy selects its subset of the list.
const LogSubsetNumber = "rules: number"

// ApplyAgreed applies the agreed bans, which take servers out at all proxies, and the agreed share of tenants' quotas.
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
		if _, banned := i.bannedSince[id]; applied && !banned {
			i.balancer.Resume(now, id)
		}
	}
	i.applyAgreedBans(now)
	i.quotaShare = quota
	i.updateShares()
	i.updatePool()
}

// applyAgreedBans suspends the banned servers in the balancer as soon as a list has named them; mu is held.
func (i *Instance) applyAgreedBans(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(i.agreedBans)) {
		if !i.agreedBans[id] {
			i.agreedBans[id] = i.balancer.Suspend(now, id)
		}
	}
}

// SetUpgradeShare sets the share of the proxy's limits that this instance has while two processes run during an upgrade.
func (i *Instance) SetUpgradeShare(share float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.upgradeShare = share
	i.updateShares()
}

// SetFleetShares sets this proxy's shares of the limits that all proxies have together.
func (i *Instance) SetFleetShares(p parts.Factors) {
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
	i.balancer.SetShare(i.upgradeShare*i.fleetShares.Hard, i.quotaShare*i.fleetShares.Soft)
}

// Renumber sets this proxy's number, from 0, among the total number of proxies that select subsets of the list.
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
