package proxy

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestMoveOfDiscovery moves discovery while a watch is open at the old address.
func TestMoveOfDiscovery(t *testing.T) {
	a := newBackend(t, "127.0.0.1:0", idAnswer)
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	g := newTestProxy(t, nil, entry("a", a.address, "up"))
	await(t, "the first watch", g.registry.calls)

	other := newRegistry(t)
	g.MoveDiscovery(other.address)
	if query := await(t, "a call at the new address", other.calls); !strings.Contains(query, "from=1&") {
		t.Fatalf("%q: the changes since the current list are not requested", query)
	}
	c := g.dial()
	if status, _ := c.send(head("before")).answer(); status != 200 {
		t.Fatalf("with the old list, answered %d", status)
	}
	await(t, "the request with the old list", a.requests)
	other.lists <- list(2, false, entry("a", a.address, "draining"), entry("b", b.address, "up"))
	await(t, "the next watch", other.calls)
	if status, _ := c.send(head("after")).answer(); status != 200 {
		t.Fatalf("with the new list, answered %d", status)
	}
	await(t, "the request with the new list", b.requests)
}

// TestDiscoveryVersionsThatRestart: if the service's versions restart at a lower number, the whole list is requested.
func TestDiscoveryVersionsThatRestart(t *testing.T) {
	g := newTestProxy(t, func(c *Config) { c.CachedList = json.RawMessage(list(40, true)) })
	await(t, "the watch", g.registry.calls)
	g.registry.lists <- list(3, false)
	if query := await(t, "the next call", g.registry.calls); query != "" {
		t.Fatalf("requested %q, not the whole list", query)
	}
}

// TestSilentWatchIsFollowedByAnother: discovery accepts the watch and never answers.
func TestSilentWatchIsFollowedByAnother(t *testing.T) {
	t.Parallel()
	g := newTestProxy(t, nil)
	await(t, "the first watch", g.registry.calls)
	await(t, "another watch", g.registry.calls)
}
