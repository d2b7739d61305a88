package hollow

import (
	"net/netip"
	"testing"
	"time"
)

// threeRegions are seven zones: 0, 3 and 6 in the first region, 1 and 4 in the second, 2 and 5 in the third.
var threeRegions = Layout{Base: 64, Zones: 7, Regions: 3, RTT: 80 * time.Millisecond}

func TestAddressesTellPlaces(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for zone := range threeRegions.Zones {
		for _, real := range []bool{false, true} {
			for _, number := range []int{0, 1, lastBytes - 1, lastBytes, 3*lastBytes + 7} {
				p := Place{Zone: zone, Real: real}
				at := threeRegions.Address(p, number)
				if got, ok := threeRegions.PlaceOf(at.Addr()); !ok || got != p || seen[at] {
					t.Errorf("%v, number %d: %v, of %v, %v; seen before: %v", p, number, at, got, ok, seen[at])
				}
				seen[at] = true
			}
		}
	}
	for _, text := range []string{"127.0.0.1", "127.63.0.1", "127.71.0.1", "10.64.0.1", "::1"} {
		if p, ok := threeRegions.PlaceOf(netip.MustParseAddr(text)); ok {
			t.Errorf("%s is of the run, at %v", text, p)
		}
	}
}

// TestDelays: each way is as late as its two ends are apart, and what goes to a real proxy by the round trip.
func TestDelays(t *testing.T) {
	n := NewNetwork(threeRegions, 1)
	for _, c := range []struct {
		name     string
		from, to Place
		delay    time.Duration
	}{
		{"within a zone", Place{Zone: 0}, Place{Zone: 0}, withinZone},
		{"between zones", Place{Zone: 0}, Place{Zone: 3}, betweenZones},
		{"between regions", Place{Zone: 0}, Place{Zone: 1}, 40 * time.Millisecond},
		{"to a real proxy of the zone", Place{Zone: 3}, Place{Zone: 3, Real: true}, 2 * withinZone},
		{"to a real proxy of another region", Place{Zone: 4}, Place{Zone: 0, Real: true}, 80 * time.Millisecond},
	} {
		to := threeRegions.Address(c.to, 5)
		most := c.delay + time.Duration(jitterShare*float64(c.delay))
		for range 100 {
			if after, arrives := n.From(c.from).Datagram(to, 100); !arrives || after < c.delay || after > most {
				t.Errorf("%s: a datagram %v, %v; %v to %v is right", c.name, after, arrives, c.delay, most)
			}
			if after, open := n.From(c.from).Stream(to, 100); !open || after < c.delay || after > most {
				t.Errorf("%s: a stream %v, %v; %v to %v is right", c.name, after, open, c.delay, most)
			}
		}
	}
	if after, arrives := n.From(Place{}).Datagram(netip.MustParseAddrPort("127.0.0.1:80"), 100); after != 0 || !arrives {
		t.Errorf("to an address that is none of the run's: %v, %v", after, arrives)
	}
}

// TestCut: a region that is cut off reaches no other and is reached by none, real proxies included, until it is healed.
func TestCut(t *testing.T) {
	n := NewNetwork(threeRegions, 1)
	places := append(n.places()[:threeRegions.Zones:threeRegions.Zones], Place{Zone: 0, Real: true})
	check := func(when string, reaches func(a, b Place) bool) {
		t.Helper()
		for _, from := range places {
			for _, to := range places {
				at, want := threeRegions.Address(to, 0), reaches(from, to)
				if from.Real {
					continue // it has no path of its own
				}
				_, arrives := n.From(from).Datagram(at, 1)
				_, open := n.From(from).Stream(at, 1)
				accepts := n.From(from).Accepts(at.Addr())
				if arrives != want || open != want || n.Reaches(from, to) != want || accepts != (want || !to.Real) {
					t.Errorf("%s: from %v to %v: datagram %v, stream %v, reaches %v, accepts %v; want %v", when, from, to, arrives, open, n.Reaches(from, to), accepts, want)
				}
			}
		}
	}
	all := func(Place, Place) bool { return true }
	apart := func(a, b Place) bool {
		return (threeRegions.Region(a.Zone) == 2) == (threeRegions.Region(b.Zone) == 2)
	}
	check("before", all)
	n.Cut(2)
	n.Cut(2) // which it is
	check("cut", apart)
	n.Heal(2)
	n.Heal(2)
	check("healed", all)
}
