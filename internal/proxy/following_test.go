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

// unreachableFleet is the link to a fleet of which no member answers: a start asks for other members until its timeout.
type unreachableFleet struct{}

var _ cluster.Carrier = unreachableFleet{}

func (unreachableFleet) SendPayload(string, []byte)   {}
func (unreachableFleet) OnPayload(func([]byte))       {}
func (unreachableFleet) Follow(func(s view.Snapshot)) {}

// stateFolder creates a folder for the state of processes. A process that ends does not wait for a slow disk, and may still
// write when the test is over, so the removal is retried.
func stateFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "state")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for end := time.Now().Add(eventTimeout); os.RemoveAll(folder) != nil; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Error("the folder cannot be removed")
				return
			}
		}
	})
	return folder
}

// startWithRecovery starts a process that recovers its state from a folder, in a fleet of that number of instances.
func startWithRecovery(t *testing.T, folder string, instances int, r *registry, ask bool, hosts ...string) *Proxy {
	t.Helper()
	c := testConfig(r.address, json.RawMessage(list(1, true, hosts...)))
	c.Settings.Balancer.AskForList, c.Settings.Balancer.AskEvery = ask, 100*time.Millisecond
	options := recovery.DefaultOptions()
	options.Folder = folder
	c.Recovery = recovery.Open(recovery.Config{
		Options: options, Name: "n1", Seed: 1, Instances: instances, Classes: c.Settings.Classes, Balancer: c.Settings.Balancer,
		Log: slog.New(slog.DiscardHandler),
	}, unreachableFleet{})
	p, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// awaitReady waits until discovery has confirmed a process's list and its host is ready.
func awaitReady(t *testing.T, p *Proxy) {
	t.Helper()
	awaitConfirmed(t, p)
	for end := time.Now().Add(eventTimeout); !p.host.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never ready")
		}
	}
}

// TestNewConfigurationWhileOthersAreAskedFor: discovery moves while a start still asks for other members. State from
// before the start, from disk or from the platform's file, must not replace the list from discovery.
func TestNewConfigurationWhileOthersAreAskedFor(t *testing.T) {
	up := []string{entry("s1", "127.0.0.1:1", "up"), entry("s2", "127.0.0.1:2", "up")}
	for _, disk := range []bool{false, true} {
		for _, ask := range []bool{false, true} {
			t.Run(fmt.Sprintf("disk=%t,ask=%t", disk, ask), func(t *testing.T) {
				t.Parallel()
				folder, r := stateFolder(t), newRegistry(t)
				if disk {
					before := startWithRecovery(t, folder, 1, newRegistry(t), ask, up...)
					awaitReady(t, before)
					before.Close()
				}
				p := startWithRecovery(t, folder, 2, r, ask, up...)
				p.MoveDiscovery(r.address)
				r.lists <- list(2, true, entry("s1", "127.0.0.1:1", "draining"), up[1])
				awaitReady(t, p)
				if !p.discovery.Fresh() {
					t.Fatal("the list does not count as confirmed any more")
				}
				for _, s := range p.host.State().Snapshot.Servers {
					if s.Entry.ID == "s1" && s.Entry.State != balance.Draining {
						t.Errorf("a draining server is %v, by a list that counts as confirmed", s.Entry.State)
					}
				}
			})
		}
	}
}
