package proxy

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"brasswell/internal/cluster/rules"
)

// startWithListGuard starts a process that holds lists for confirmation by the given rules.
func (p *platform) startWithListGuard(a *fakeRules) *Proxy {
	p.t.Helper()
	file, err := p.listener.File()
	if err != nil {
		p.t.Fatal(err)
	}
	c := testConfig(p.registry.address, json.RawMessage(list(1, true, p.hosts...)))
	c.Inherited, c.Name, c.HandoverDir, c.Rules = file, "n1", p.folder, a
	proxy, err := New(c)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(proxy.Close)
	awaitConfirmed(p.t, proxy)
	return proxy
}

// TestHeldServersStayHeldAcrossUpgrades: servers that the newest list leaves out and that stay in use are released by
// the next process as well as by the previous one, once an operator accepts the loss.
func TestHeldServersStayHeldAcrossUpgrades(t *testing.T) {
	const drop = 0.22
	p := newPlatform(t, entry("s1", "127.0.0.1:1", "up"), entry("s2", "127.0.0.1:2", "up"), entry("s3", "127.0.0.1:3", "up"), entry("s4", "127.0.0.1:4", "up"))
	lost := []string{"s1", "s2", "s3"}
	before, after := newFakeRules(&rules.Document{}), newFakeRules(&rules.Document{})
	before.maxDrop, after.maxDrop = drop, drop
	first := p.startWithListGuard(before)
	var removed []string
	for _, id := range lost {
		removed = append(removed, entry(id, "127.0.0.1:1", "removed"))
	}
	p.registry.lists <- list(2, false, removed...)
	for end := time.Now().Add(eventTimeout); !first.lists.isHeld("s1"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the removed servers are not held")
		}
	}
	first.upgrade.start()
	second := p.startWithListGuard(after)
	accepted := leaseUntil(&rules.Document{Droppable: lost}, time.Hour)
	for name, process := range map[string]struct {
		proxy *Proxy
		rules *fakeRules
	}{"the previous process": {first, before}, "the next process": {second, after}} {
		process.rules.basis.Store(accepted)
		process.rules.onChange(accepted)
		if listed, _ := process.proxy.host.CountServers(); listed != 1 {
			t.Errorf("%s uses %d servers, and the newest list has one", name, listed)
		}
	}
}

// holdThreeServers starts the first process of a platform with four servers. Discovery leaves three of them out, and they
// are held.
func holdThreeServers(t *testing.T) (p *platform, first *Proxy, lost []string) {
	t.Helper()
	p = newPlatform(t, entry("s1", "127.0.0.1:1", "up"), entry("s2", "127.0.0.1:2", "up"), entry("s3", "127.0.0.1:3", "up"), entry("s4", "127.0.0.1:4", "up"))
	before := newFakeRules(&rules.Document{})
	before.maxDrop = 0.22
	first = p.startWithListGuard(before)
	p.registry.lists <- list(2, true, p.hosts[3])
	for end := time.Now().Add(eventTimeout); !first.lists.isHeld("s1"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the removed servers are not held")
		}
	}
	first.upgrade.start()
	return p, first, []string{"s1", "s2", "s3"}
}

// TestFullListIsCheckedAfterUpgrade: the next process checks a list against the servers of the previous one, reports to
// operators what it holds, and releases it once an operator accepts the loss.
func TestFullListIsCheckedAfterUpgrade(t *testing.T) {
	p, _, lost := holdThreeServers(t)
	p.registry = newRegistry(t)
	after := newFakeRules(&rules.Document{})
	after.maxDrop = 0.22
	second := p.startWithListGuard(after)
	if reported := after.reported.Load(); reported == nil || !slices.Equal(*reported, lost) {
		t.Errorf("reported as held: %v", reported)
	}
	p.registry.lists <- list(3, true, p.hosts[3], entry("s5", "127.0.0.1:5", "up"))
	for end := time.Now().Add(eventTimeout); second.discovery.Seq() != 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the update is never applied")
		}
	}
	if listed, _ := second.host.CountServers(); listed != 5 {
		t.Errorf("%d servers are in use; the list has two, and three are held", listed)
	}
	accepted := leaseUntil(&rules.Document{Droppable: lost}, time.Hour)
	after.basis.Store(accepted)
	after.onChange(accepted)
	if listed, _ := second.host.CountServers(); listed != 2 {
		t.Errorf("%d servers are in use, and the newest list has two", listed)
	}
}

// TestProcessWithoutListGuardReleasesHeldServers: servers that the previous process holds are released by a next process
// that does not hold lists.
func TestProcessWithoutListGuardReleasesHeldServers(t *testing.T) {
	p, _, _ := holdThreeServers(t)
	second := p.startWithListGuard(newFakeRules(&rules.Document{}))
	if listed, _ := second.host.CountServers(); listed != 1 {
		t.Errorf("%d servers are in use, and the newest list has one", listed)
	}
}
