package proxy

import (
	"testing"
	"time"

	"brasswell/balance"
	"brasswell/internal/handover"
)

// TestStoredStateDoesNotReplaceNewerList starts a watch by a new configuration while a proxy still recovers the state from
// before its start. The watch's list is newer than the state on disk, and discovery does not send it again.
func TestStoredStateDoesNotReplaceNewerList(t *testing.T) {
	g := newTestProxy(t, nil, entry("s1", "127.0.0.1:1", "up"), entry("s2", "127.0.0.1:2", "up"))
	stored := handover.State{}
	stored.Balancer, stored.Addresses = g.host.Snapshot()
	g.registry.lists <- list(2, false, entry("s1", "127.0.0.1:1", "draining"))
	for end := time.Now().Add(eventTimeout); g.host.State().InRoundRobin != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the update is never applied")
		}
	}
	recoverySide{g.Proxy}.RestoreState(stored, 0)
	if !g.discovery.Fresh() {
		return // the list from disk is not used as confirmed
	}
	for _, s := range g.host.State().Snapshot.Servers {
		if s.Entry.ID == "s1" && s.Entry.State == balance.InService {
			t.Error("a draining server is in service again, by a list that counts as confirmed")
		}
	}
}
