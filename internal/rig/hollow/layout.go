package hollow

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	// Port is that of every member, on an address of its own, below those that the kernel gives out.
	Port = 17950
	// MostZones bounds the second bytes of addresses that a run takes.
	MostZones = 64
	// MostOfZone bounds the members of one kind in one zone.
	MostOfZone = realFrom * lastBytes

	lastBytes = 250 // fourth bytes in use, from 1 on
	realFrom  = 128 // third bytes of real proxies begin here
)

// Layout says where every member of a run stands, and how far apart that is: the second byte of an address tells the zone, and
// zones go to regions in turn.
type Layout struct {
	Base    int           `json:"base"` // second byte of the first zone's addresses
	Zones   int           `json:"zones"`
	Regions int           `json:"regions"`
	RTT     time.Duration `json:"rtt"` // round trip between any two regions
}

// Place is where a member stands.
type Place struct {
	Zone int
	Real bool // a process of the whole program, which does not delay what it sends
}

// Region is the region of a zone.
func (l Layout) Region(zone int) int { return zone % l.Regions }

// ZonesOf are the zones of a region.
func (l Layout) ZonesOf(region int) []int {
	var zones []int
	for zone := region; zone < l.Zones; zone += l.Regions {
		zones = append(zones, zone)
	}
	return zones
}

// Address is that of the member with a number, from 0 on, at a place.
func (l Layout) Address(p Place, number int) netip.AddrPort {
	third := number / lastBytes
	if p.Real {
		third += realFrom
	}
	ip := netip.AddrFrom4([4]byte{127, byte(l.Base + p.Zone), byte(third), byte(number%lastBytes + 1)})
	return netip.AddrPortFrom(ip, Port)
}

// ClaimAddress is an address of a zone that no member has: who runs members in that zone listens there, so that nobody else does.
func (l Layout) ClaimAddress(zone int) netip.AddrPort {
	const last = 255
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(l.Base + zone), last, last - 1}), Port)
}

// PlaceOf is the place of an address; ok is false where it is none of the run's.
func (l Layout) PlaceOf(ip netip.Addr) (p Place, ok bool) {
	ip = ip.Unmap()
	if !ip.Is4() {
		return p, false
	}
	b := ip.As4()
	zone := int(b[1]) - l.Base
	if b[0] != 127 || zone < 0 || zone >= l.Zones {
		return p, false
	}
	return Place{Zone: zone, Real: b[2] >= realFrom}, true
}

// name is that of a place on the paths of package faults.
func (p Place) name() string {
	if p.Real {
		return fmt.Sprintf("real-%d", p.Zone)
	}
	return fmt.Sprintf("zone-%d", p.Zone)
}
