package scale

import (
	"math/rand/v2"
	"testing"

	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/loopback"
)

// TestSoloMember: one hollow member has a host of its own, and it is one that no event kills or cuts off where there is such a one.
func TestSoloMember(t *testing.T) {
	for _, c := range []struct {
		name                          string
		members, real, regions, zones int
		number                        int // of the members
	}{
		{"defaults", 60, 0, 3, 11, Voters},
		{"after the real ones", 60, 6, 3, 11, Voters + 6},
		{"the last voter stands in the first zone", 60, 0, 1, 4, Voters + 1},
		{"the last voter stands in the first zone, and the second is cut off", 60, 0, 2, 3, Voters + 2},
		{"no zone is safe", 60, 0, 1, 1, Voters},
		{"the least that have one", 8, 0, 3, 11, Voters},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := DefaultConfig()
			config.Members, config.Real, config.Regions, config.Zones = c.members, c.real, c.regions, c.zones
			p := newPlan(&config, 64, rand.New(rand.NewPCG(1, 1)))
			if p.solo != p.members[c.number] {
				t.Errorf("%+v; %+v is wanted", p.solo, p.members[c.number])
			}
			shared := p.sharedMembers()
			if len(shared) != len(p.hollowMembers())-1 || len(shared) != config.shared() {
				t.Errorf("%d of %d share hosts; config %d", len(shared), len(p.hollowMembers()), config.shared())
			}
			for _, m := range shared {
				if m == p.solo {
					t.Errorf("%+v shares a host", m)
				}
			}
		})
	}
}

// TestNoSoloMember: where the others would not share a host, there is none.
func TestNoSoloMember(t *testing.T) {
	for _, hollow := range []int{1, 2} {
		config := DefaultConfig()
		config.Members = Voters + hollow
		p := newPlan(&config, 64, rand.New(rand.NewPCG(1, 1)))
		if p.solo != nil || len(p.sharedMembers()) != hollow || config.shared() != hollow {
			t.Errorf("%d hollow: %+v, %d share hosts; config %d", hollow, p.solo, len(p.sharedMembers()), config.shared())
		}
	}
}

// TestEventsSpareTheSoloMember: what is drawn to die or restart is never the member that is measured alone.
func TestEventsSpareTheSoloMember(t *testing.T) {
	config := DefaultConfig()
	config.Zones = 3 // so that racks are in its zone
	random := rand.New(rand.NewPCG(1, 1))
	r := &run{config: config, plan: newPlan(&config, 64, random), random: random}
	for range 200 {
		for _, m := range append(r.drawHollow(restarts), r.drawRack()...) {
			if m == r.plan.solo {
				t.Fatalf("%+v is drawn", m)
			}
		}
	}
}

// TestDrawnBasesAreOfScaleRuns: all zones of a drawn base are within the range that other kinds of runs leave alone.
func TestDrawnBasesAreOfScaleRuns(t *testing.T) {
	for _, zones := range []int{1, 11, hollow.MostZones} {
		for range 2000 {
			base := drawBase(zones)
			if base < int(loopback.ScaleRuns.First) || base+zones-1 > int(loopback.ScaleRuns.Last) {
				t.Fatalf("%d with %d zones", base, zones)
			}
		}
	}
}
