package scale

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"brasswell/internal/rig/hollow"
)

// memberPlan is a member of the run and where it stands.
type memberPlan struct {
	name    string
	place   hollow.Place
	address netip.AddrPort
	boot    uint64 // of its present start; 0 for a real proxy's, which draws it
	voter   bool
	living  bool
	host    *host // nil of a real proxy
}

// plan is who is part of a run, voters first, then real proxies, then hollow members.
type plan struct {
	layout  hollow.Layout
	members []*memberPlan
	// solo is the hollow member that is the only one of its host, by which the cost of a host is measured; nil where there are fewer
	// than leastWithSolo hollow members.
	solo *memberPlan
}

// newPlan places all members: voters over the regions, as 2, 2 and 1 over three; real proxies in the first region; hollow members
// over all zones.
func newPlan(c *Config, base int, random *rand.Rand) *plan {
	p := &plan{layout: hollow.Layout{Base: base, Zones: c.Zones, Regions: c.Regions, RTT: c.RTT}}
	taken := map[hollow.Place]int{}
	add := func(place hollow.Place, voter bool) {
		m := &memberPlan{name: fmt.Sprintf("n%d", len(p.members)+1), place: place, voter: voter}
		m.address = p.layout.Address(place, taken[place])
		taken[place]++
		if !place.Real {
			m.boot = drawBoot(random)
		}
		p.members = append(p.members, m)
	}
	for i := range Voters {
		zones := p.layout.ZonesOf(i % c.Regions)
		add(hollow.Place{Zone: zones[i/c.Regions%len(zones)]}, true)
	}
	first := p.layout.ZonesOf(0)
	for i := range c.Real {
		add(hollow.Place{Zone: first[i%len(first)], Real: true}, false)
	}
	for i := range c.hollow() {
		add(hollow.Place{Zone: i % c.Zones}, false)
	}
	p.solo = p.chooseSolo(c)
	return p
}

// chooseSolo is the first hollow member that no event kills or cuts off, or the first of all where there is none such.
func (p *plan) chooseSolo(c *Config) *memberPlan {
	members := p.hollowMembers()
	if len(members) < leastWithSolo {
		return nil
	}
	untouched := func(m *memberPlan) bool {
		cutOff := c.Regions > 1 && p.layout.Region(m.place.Zone) == c.cutRegion()
		return m.place.Zone != p.failingZone() && !cutOff
	}
	return members[max(0, slices.IndexFunc(members, untouched))]
}

// failingZone is the zone whose members the zone event kills: the last voter's.
func (p *plan) failingZone() int { return p.members[Voters-1].place.Zone }

func (p *plan) addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range p.members {
		all = append(all, m.address)
		if m.place.Real {
			all = append(all, netip.AddrPortFrom(m.address.Addr(), consolePort), netip.AddrPortFrom(m.address.Addr(), proxyPort))
		}
	}
	return all
}

// voterNames are the voters', the one that founds first.
func (p *plan) voterNames() []string {
	var names []string
	for _, m := range p.members[:Voters] {
		names = append(names, m.name)
	}
	return names
}

// seeds are the addresses that members ask first.
func (p *plan) seeds() []string {
	const some = 3
	var seeds []string
	for _, m := range p.members[:some] {
		seeds = append(seeds, m.address.String())
	}
	return seeds
}

// hollowMembers are those that are neither voters nor real.
func (p *plan) hollowMembers() []*memberPlan {
	var all []*memberPlan
	for _, m := range p.members {
		if !m.voter && !m.place.Real {
			all = append(all, m)
		}
	}
	return all
}

// sharedMembers are the hollow members whose hosts have more than one: all but solo.
func (p *plan) sharedMembers() []*memberPlan {
	return slices.DeleteFunc(p.hollowMembers(), func(m *memberPlan) bool { return m == p.solo })
}

// realMembers are the processes of the whole program.
func (p *plan) realMembers() []*memberPlan {
	var all []*memberPlan
	for _, m := range p.members {
		if m.place.Real {
			all = append(all, m)
		}
	}
	return all
}

// living are the members that live.
func (p *plan) living() []*memberPlan {
	var all []*memberPlan
	for _, m := range p.members {
		if m.living {
			all = append(all, m)
		}
	}
	return all
}

// digest is the digest of the members that live, as every view should show it.
func (p *plan) digest() (digest uint64) {
	for _, m := range p.living() {
		digest ^= hollow.Digest(m.name)
	}
	return digest
}

// spec is what a host is told of a member.
func (m *memberPlan) spec(folder string) hollow.Spec {
	return hollow.Spec{Name: m.name, Address: m.address.String(), Zone: m.place.Zone, Boot: m.boot, Folder: folder}
}

// drawBoot draws the boot of one start of a member; 0 stands for none.
func drawBoot(random *rand.Rand) uint64 { return random.Uint64() | 1 }
