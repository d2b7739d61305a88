package proxy

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"brasswell/balance"
	"brasswell/internal/cluster"
	"brasswell/internal/cluster/view"
	"brasswell/internal/recovery"
)

// silentFleet is the link of a fleet of which nobody is heard: a start asks for others for as long as it may.
type silentFleet struct{}

var _ cluster.Carrier = silentFleet{}

func (silentFleet) Carry(string, []byte)         {}
func (silentFleet) OnParcel(func([]byte))        {}
func (silentFleet) Follow(func(s view.Snapshot)) {}

// stateFolder is a folder for what processes know. One that ends does not wait for a slow disk, and may still write when the test is over.
func stateFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "state")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for end := time.Now().Add(patient); os.RemoveAll(folder) != nil; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Error("the folder cannot be removed")
				return
			}
		}
	})
	return folder
}

// startRecovering starts a process that recovers what it knew from a folder, among so many.
func startRecovering(t *testing.T, folder string, instances int, r *registry, ask bool, hosts ...string) *Proxy {
	t.Helper()
	c := rigConfig(r.address, json.RawMessage(list(1, true, hosts...)))
	c.Settings.Balancer.AskForList, c.Settings.Balancer.AskEvery = ask, 100*time.Millisecond
	options := recovery.DefaultOptions()
	options.Folder = folder
	c.Recovery = recovery.Open(recovery.Config{
		Options: options, Name: "n1", Seed: 1, Instances: instances, Classes: c.Settings.Classes, Balancer: c.Settings.Balancer,
		Log: slog.New(slog.DiscardHandler),
	}, silentFleet{})
	p, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// untilReady waits until a process has begun, and discovery has confirmed its list.
func untilReady(t *testing.T, p *Proxy) {
	t.Helper()
	confirmed(t, p)
	for end := time.Now().Add(patient); !p.host.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never ready")
		}
	}
}

// TestNewConfigurationWhileOthersAreAskedFor: discovery moves while a start still asks who else is there. What is known from before the start, by
// the disk or the platform's file, does not replace what discovery tells.
func TestNewConfigurationWhileOthersAreAskedFor(t *testing.T) {
	up := []string{entry("s1", "127.0.0.1:1", "up"), entry("s2", "127.0.0.1:2", "up")}
	for _, disk := range []bool{false, true} {
		for _, ask := range []bool{false, true} {
			t.Run(fmt.Sprintf("disk=%t,ask=%t", disk, ask), func(t *testing.T) {
				t.Parallel()
				folder, r := stateFolder(t), newRegistry(t)
				if disk {
					before := startRecovering(t, folder, 1, newRegistry(t), ask, up...)
					untilReady(t, before)
					before.Close()
				}
				p := startRecovering(t, folder, 2, r, ask, up...)
				p.MoveDiscovery(r.address)
				r.lists <- list(2, true, entry("s1", "127.0.0.1:1", "draining"), up[1])
				untilReady(t, p)
				if !p.discovery.Fresh() {
					t.Fatal("the list is not acted on any more")
				}
				for _, s := range p.host.State().Snapshot.Servers {
					if s.Entry.ID == "s1" && s.Entry.State != balance.Draining {
						t.Errorf("a server that drains is %v by a list that is taken for confirmed", s.Entry.State)
					}
				}
			})
		}
	}
}
