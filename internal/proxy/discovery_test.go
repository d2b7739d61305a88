package proxy

import (
	"strings"
	"testing"

	"brasswell/balance"
)

// TestMoveOfDiscovery moves while a watch is out at the old address.
func TestMoveOfDiscovery(t *testing.T) {
	a := newBackend(t, "127.0.0.1:0", whole)
	b := newBackend(t, "127.0.0.1:0", whole)
	g := newRig(t, nil, host("a", a.address, "up"))
	go g.discovery.follow(g.watching)
	await(t, "the first watch", g.registry.calls)

	other := newRegistry(t)
	g.MoveDiscovery(other.address)
	if query := await(t, "a call at the new address", other.calls); !strings.Contains(query, "from=1&") {
		t.Fatalf("%q: what changed since the list that is held is not asked for", query)
	}
	c := g.dial()
	if status, _ := c.send(head("before")).answer(); status != 200 {
		t.Fatalf("with the old list, answered %d", status)
	}
	await(t, "the request with the old list", a.requests)
	other.lists <- list(2, false, host("a", a.address, "draining"), host("b", b.address, "up"))
	await(t, "the next watch", other.calls)
	if status, _ := c.send(head("after")).answer(); status != 200 {
		t.Fatalf("with the new list, answered %d", status)
	}
	await(t, "the request with the new list", b.requests)
}

// TestVersionsThatStartAnew: a service that counts from elsewhere is asked for the whole list.
func TestVersionsThatStartAnew(t *testing.T) {
	g := newRig(t, nil)
	g.discovery.seq.Store(40)
	go g.discovery.follow(g.watching)
	await(t, "the watch", g.registry.calls)
	g.registry.lists <- list(3, false)
	if query := await(t, "the next call", g.registry.calls); query != "" {
		t.Fatalf("asked %q, not for the whole list", query)
	}
}

func TestOddEntriesLeaveTheOthers(t *testing.T) {
	c, err := readCatalog([]byte(list(1, true, host("good", "127.0.0.1:1", "up"), host("odd", "127.0.0.1:2", "puzzled"),
		host("", "127.0.0.1:3", "up"), host("nowhere", "no address", "up"),
		strings.Replace(host("afar", "127.0.0.1:4", "up"), "kita", "moon", 1))))
	if err != nil {
		t.Fatal(err)
	}
	entries, _, odd := c.entries(map[string]int{"kita": 0})
	if odd == nil {
		t.Error("nothing is said of the odd entries")
	}
	got := map[string]balance.State{}
	for _, e := range entries {
		got[e.ID] = e.State
	}
	want := map[string]balance.State{
		"good": balance.InService, "odd": balance.Draining, "nowhere": balance.Draining, "afar": balance.Draining,
	}
	if len(got) != len(want) {
		t.Fatalf("entries %v, want %v", got, want)
	}
	for id, state := range want {
		if got[id] != state {
			t.Errorf("%s is %v, want %v", id, got[id], state)
		}
	}
}

// TestSilentWatchIsFollowedByAnother: discovery takes the watch and never says a word.
func TestSilentWatchIsFollowedByAnother(t *testing.T) {
	g := newRig(t, nil)
	go g.discovery.follow(g.watching)
	await(t, "the first watch", g.registry.calls)
	await(t, "another watch", g.registry.calls)
}
