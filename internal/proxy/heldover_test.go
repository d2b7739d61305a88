package proxy

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"brasswell/internal/cluster/rules"
)

// startHolding starts a process of a platform that holds lists back by an agreement.
func (p *platform) startHolding(a *agreement) *Proxy {
	p.t.Helper()
	file, err := p.listener.File()
	if err != nil {
		p.t.Fatal(err)
	}
	c := rigConfig(p.registry.address, json.RawMessage(list(1, true, p.hosts...)))
	c.Inherited, c.Name, c.HandoverDir, c.Rules = file, "n1", p.folder, a
	proxy, err := New(c)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(proxy.Close)
	confirmed(p.t, proxy)
	return proxy
}

// TestWhatIsHeldBackIsHeldBackOverUpgrades: servers that the newest list leaves out, and that are gone on with, are let go of by the next process
// as by the one before, once an operator accepts the loss.
func TestWhatIsHeldBackIsHeldBackOverUpgrades(t *testing.T) {
	const drop = 0.22
	p := newPlatform(t, entry("s1", "127.0.0.1:1", "up"), entry("s2", "127.0.0.1:2", "up"), entry("s3", "127.0.0.1:3", "up"), entry("s4", "127.0.0.1:4", "up"))
	lost := []string{"s1", "s2", "s3"}
	before, after := agreeOn(&rules.Document{}), agreeOn(&rules.Document{})
	before.drop, after.drop = drop, drop
	first := p.startHolding(before)
	var removed []string
	for _, id := range lost {
		removed = append(removed, entry(id, "127.0.0.1:1", "removed"))
	}
	p.registry.lists <- list(2, false, removed...)
	for end := time.Now().Add(patient); !first.lists.holds("s1"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the loss is not held back")
		}
	}
	first.upgrade.begin()
	second := p.startHolding(after)
	accepted := basisOf(&rules.Document{Droppable: lost}, time.Hour)
	for name, process := range map[string]struct {
		proxy *Proxy
		rules *agreement
	}{"the process before": {first, before}, "the next process": {second, after}} {
		process.rules.basis.Store(accepted)
		process.rules.follow(accepted)
		if listed, _ := process.proxy.host.CountServers(); listed != 1 {
			t.Errorf("%s goes on with %d servers, and the newest list has one", name, listed)
		}
	}
}

// holdingThree is a platform of four servers, and its first process: discovery has left three of them out, and they are held.
func holdingThree(t *testing.T) (p *platform, first *Proxy, lost []string) {
	t.Helper()
	p = newPlatform(t, entry("s1", "127.0.0.1:1", "up"), entry("s2", "127.0.0.1:2", "up"), entry("s3", "127.0.0.1:3", "up"), entry("s4", "127.0.0.1:4", "up"))
	before := agreeOn(&rules.Document{})
	before.drop = 0.22
	first = p.startHolding(before)
	p.registry.lists <- list(2, true, p.hosts[3])
	for end := time.Now().Add(patient); !first.lists.holds("s1"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the loss is not held back")
		}
	}
	first.upgrade.begin()
	return p, first, []string{"s1", "s2", "s3"}
}

// TestAWholeListIsJudgedBehindAnUpgrade: the next process judges a list by the servers that the one before has, tells people what it holds, and lets
// go of that once an operator accepts the loss.
func TestAWholeListIsJudgedBehindAnUpgrade(t *testing.T) {
	p, _, lost := holdingThree(t)
	p.registry = newRegistry(t)
	after := agreeOn(&rules.Document{})
	after.drop = 0.22
	second := p.startHolding(after)
	if told := after.held.Load(); told == nil || !slices.Equal(*told, lost) {
		t.Errorf("people are told that %v are held", told)
	}
	p.registry.lists <- list(3, true, p.hosts[3], entry("s5", "127.0.0.1:5", "up"))
	for end := time.Now().Add(patient); second.discovery.Seq() != 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the news are never taken in")
		}
	}
	if listed, _ := second.host.CountServers(); listed != 5 {
		t.Errorf("%d servers are gone on with; the list has two, and three are held", listed)
	}
	accepted := basisOf(&rules.Document{Droppable: lost}, time.Hour)
	after.basis.Store(accepted)
	after.follow(accepted)
	if listed, _ := second.host.CountServers(); listed != 2 {
		t.Errorf("%d servers are gone on with, and the newest list has two", listed)
	}
}

// TestAProcessThatHoldsNothingLetsGoAtAnUpgrade: what the process before holds is let go of by a next one that holds nothing back.
func TestAProcessThatHoldsNothingLetsGoAtAnUpgrade(t *testing.T) {
	p, _, _ := holdingThree(t)
	second := p.startHolding(agreeOn(&rules.Document{}))
	if listed, _ := second.host.CountServers(); listed != 1 {
		t.Errorf("%d servers are gone on with, and the newest list has one", listed)
	}
}
