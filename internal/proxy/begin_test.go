package proxy

import (
	"testing"
	"time"

	"brasswell/balance"
	"brasswell/internal/handover"
)

// TestWhatTheDiskKnowsDoesNotReplaceWhatDiscoveryHasTold: a new configuration begins a watch while a proxy still looks for what it knew before its
// start. What that watch has told is newer than the disk, and is not told again.
func TestWhatTheDiskKnowsDoesNotReplaceWhatDiscoveryHasTold(t *testing.T) {
	g := newRig(t, nil, entry("s1", "127.0.0.1:1", "up"), entry("s2", "127.0.0.1:2", "up"))
	disk := handover.State{}
	disk.Balancer, disk.Addresses = g.host.Snapshot()
	g.registry.lists <- list(2, false, entry("s1", "127.0.0.1:1", "draining"))
	for end := time.Now().Add(patient); g.host.State().InRoundRobin != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the news are never taken in")
		}
	}
	side{g.Proxy}.RestoreState(disk, 0)
	if !g.discovery.Fresh() {
		return // a list of the disk is not acted on
	}
	for _, s := range g.host.State().Snapshot.Servers {
		if s.Entry.ID == "s1" && s.Entry.State == balance.InService {
			t.Error("a server that drains is in service again, by a list that is taken for confirmed")
		}
	}
}
