package hollow

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"brasswell/internal/cluster/link"
	"brasswell/internal/rig/faults"
)

const (
	// betweenZones and withinZone are one-way delays inside a region.
	betweenZones = time.Millisecond
	withinZone   = 100 * time.Microsecond
	// jitterShare of a delay is added to it at most.
	jitterShare = 0.1
)

// Network is the network between the members of a run as one host sees it: every host has one of its own, with the same layout. A
// path leads from zone to zone. Its delays and cuts are applied where something is sent.
//
// Real proxies delay nothing that they send, so what goes to one is late by the round trip, and what comes from one by nothing. For
// the same reason what real proxies send over a path that is cut is dropped where it arrives.
type Network struct {
	layout Layout
	began  time.Time
	paths  [][]faults.Path // by the index of each end

	mu     sync.Mutex
	faults *faults.Network
	cuts   map[int]*faults.Layer // by region
}

// NewNetwork returns the network of a layout, on which nothing is cut.
func NewNetwork(layout Layout, seed uint64) *Network {
	n := &Network{layout: layout, began: time.Now(), faults: faults.NewNetwork(seed), cuts: map[int]*faults.Layer{}}
	places := n.places()
	n.paths = make([][]faults.Path, len(places))
	for i, from := range places {
		for _, to := range places {
			n.paths[i] = append(n.paths[i], faults.Path{From: from.name(), To: to.name()})
		}
	}
	for delay, paths := range n.byDelay() {
		n.faults.Add(paths, faults.Condition{Delay: delay, Jitter: time.Duration(jitterShare * float64(delay))})
	}
	return n
}

// places are all places, each at its index.
func (n *Network) places() []Place {
	var places []Place
	for zone := range n.layout.Zones {
		places = append(places, Place{Zone: zone})
	}
	for zone := range n.layout.Zones {
		places = append(places, Place{Zone: zone, Real: true})
	}
	return places
}

func (n *Network) index(p Place) int {
	if p.Real {
		return n.layout.Zones + p.Zone
	}
	return p.Zone
}

// byDelay are the paths by how late what is sent on them arrives.
func (n *Network) byDelay() map[time.Duration][]faults.Path {
	paths := map[time.Duration][]faults.Path{}
	for _, from := range n.places() {
		for _, to := range n.places() {
			delay := n.delay(from, to)
			paths[delay] = append(paths[delay], n.paths[n.index(from)][n.index(to)])
		}
	}
	return paths
}

func (n *Network) delay(from, to Place) time.Duration {
	if from.Real {
		return 0
	}
	delay := betweenZones
	switch {
	case from.Zone == to.Zone:
		delay = withinZone
	case n.layout.Region(from.Zone) != n.layout.Region(to.Zone):
		delay = n.layout.RTT / 2
	}
	if to.Real {
		delay *= 2 // its answer comes at once
	}
	return delay
}

// Cut lets nothing pass between a region and the others, until Heal.
func (n *Network) Cut(region int) {
	var paths []faults.Path
	for _, from := range n.places() {
		for _, to := range n.places() {
			if (n.layout.Region(from.Zone) == region) != (n.layout.Region(to.Zone) == region) {
				paths = append(paths, n.paths[n.index(from)][n.index(to)])
			}
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[region] == nil {
		n.cuts[region] = n.faults.Add(paths, faults.Condition{Cut: true})
	}
}

// Heal ends the cut of a region.
func (n *Network) Heal(region int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if layer := n.cuts[region]; layer != nil {
		n.faults.Remove(layer)
		delete(n.cuts, region)
	}
}

// Reaches says whether anything passes from one place to another.
func (n *Network) Reaches(from, to Place) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.faults.On(n.path(from, to)).Cut
}

func (n *Network) path(from, to Place) faults.Path { return n.paths[n.index(from)][n.index(to)] }

// From is the network as a member at a place sends on it.
func (n *Network) From(p Place) link.Path { return &sender{network: n, from: p} }

// sender is the network from one place.
type sender struct {
	network *Network
	from    Place
}

var _ link.Path = (*sender)(nil)

// Datagram implements link.Path.
func (s *sender) Datagram(to netip.AddrPort, size int) (time.Duration, bool) {
	return s.send(to, func(now time.Duration, path faults.Path) (time.Duration, bool) {
		copies := s.network.faults.Datagram(now, path, size)
		if len(copies) == 0 {
			return 0, false
		}
		first := slices.MinFunc(copies, func(a, b faults.Delivery) int { return cmp.Compare(a.After, b.After) })
		return first.After, true
	})
}

// Stream implements link.Path.
func (s *sender) Stream(to netip.AddrPort, size int) (time.Duration, bool) {
	return s.send(to, func(now time.Duration, path faults.Path) (time.Duration, bool) {
		return s.network.faults.Stream(now, path, size)
	})
}

// send asks, with the network locked, what becomes of something that is sent now on the path to an address. What goes to one that is
// none of the run's arrives at once.
func (s *sender) send(to netip.AddrPort, outcome func(now time.Duration, path faults.Path) (time.Duration, bool)) (time.Duration, bool) {
	n := s.network
	at, ok := n.layout.PlaceOf(to.Addr())
	if !ok {
		return 0, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return outcome(time.Since(n.began), n.path(s.from, at))
}

// Accepts implements link.Path: what real proxies send is not delayed or cut where they send it.
func (s *sender) Accepts(from netip.Addr) bool {
	at, ok := s.network.layout.PlaceOf(from)
	return !ok || !at.Real || s.network.Reaches(at, s.from)
}
