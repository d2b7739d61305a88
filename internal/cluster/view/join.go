package view

import (
	"slices"
	"time"
)

// pingsPerPeriod is the expected number of pings that all members together send to dead members and seeds in one period. For a suspect
// it is doubled.
const pingsPerPeriod = 4.0

// pingSeed pings a seed that is not a present member. All members together send about pingsPerPeriod such pings in a period.
func (v *View) pingSeed(now time.Duration, all float64) {
	if len(v.settings.Seeds) == 0 || !v.chance(pingsPerPeriod/all) {
		return
	}
	seed := v.settings.Seeds[v.rng.IntN(len(v.settings.Seeds))]
	if seed != v.self.Address && !slices.ContainsFunc(v.present, func(m *member) bool { return m.Address == seed }) {
		v.pingAddress(now, seed)
	}
}

// pingDead pings a dead member: after a partition the two halves of a fleet hold each other dead, and only seeds could otherwise merge
// them again. Members that another process holds alive come first.
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

// SetSeeds replaces the seed addresses and pings the new ones.
func (v *View) SetSeeds(now time.Duration, seeds []string) {
	for _, seed := range seeds {
		if !slices.Contains(v.settings.Seeds, seed) {
			v.pingAddress(now, seed)
		}
	}
	v.settings.Seeds = slices.Clone(seeds)
}
