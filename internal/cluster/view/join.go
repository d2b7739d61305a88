package view

import (
	"slices"
	"time"
)

// fleetPings is about how many members, of all, ping a dead member, a seed or a suspect in one period.
const pingsPerPeriod = 4.0

// pingSeed pings a seed that is no known member, about fleetPings times a period over the fleet.
func (v *View) pingSeed(now time.Duration, all float64) {
	if len(v.settings.Seeds) == 0 || !v.chance(pingsPerPeriod/all) {
		return
	}
	seed := v.settings.Seeds[v.rng.IntN(len(v.settings.Seeds))]
	if seed != v.self.Address && !slices.ContainsFunc(v.present, func(m *member) bool { return m.Address == seed }) {
		v.pingAddress(now, seed)
	}
}

// pingDead pings a dead member: two halves of a fleet that were partitioned hold each other dead, and nothing else would merge them
// again. Members that another process holds alive come first.
func (v *View) pingDead(now time.Duration, all float64) {
	n := 0
	for _, m := range v.gone {
		if m.aliveElsewhere && m.State == Dead && n < maxProbeWidth {
			n++
			m.aliveElsewhere = false
			v.ping(now, m.Address, &m.Record, pendingPing{until: now + 4*v.settings.Period})
		}
	}
	if n > 0 || len(v.gone) == 0 || !v.chance(pingsPerPeriod/all) {
		return
	}
	if m := v.gone[v.rng.IntN(len(v.gone))]; m.State == Dead && m.Name != v.self.Name {
		v.ping(now, m.Address, &m.Record, pendingPing{until: now + 4*v.settings.Period})
	}
}

// SetSeeds replaces the addresses by which the fleet is found, and pings the new ones.
func (v *View) SetSeeds(now time.Duration, seeds []string) {
	for _, seed := range seeds {
		if !slices.Contains(v.settings.Seeds, seed) {
			v.pingAddress(now, seed)
		}
	}
	v.settings.Seeds = slices.Clone(seeds)
}
