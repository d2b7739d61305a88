package proxy

import (
	"testing"
	"time"
)

// TestIdleCallersFillTheirShareWhileDiscoveryIsDown connects more callers than there are descriptors. They send nothing
// or half a head, while discovery does not answer. New callers are served or their connections are closed. Once
// discovery answers again, the watch opens, the drain is applied, and a backend that was never used gets a connection.
func TestIdleCallersFillTheirShareWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	a := newBackend(t, "127.0.0.1:0", idAnswer)
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	const sockets = 96
	g := newTestProxy(t, func(c *Config) {
		c.Sockets = sockets
		c.Settings.Balancer.AskForList, c.Settings.Balancer.AskEvery = true, 10*time.Second
	}, entry("a", a.address, "up"))
	await(t, "the watch", g.registry.calls) // it gets no answer
	var all []*testCaller
	for n := range 3 * sockets {
		c := g.dial()
		if n%2 == 1 {
			c.send(head("half")[:30])
		}
		all = append(all, c)
		if open := g.callers.Len(); open > g.limits.hardCallers {
			t.Fatalf("%d callers' connections are open, %d at most", open, g.limits.hardCallers)
		}
	}
	// All connections still open are past their grace period, so that a new caller can replace one.
	time.Sleep(600 * time.Millisecond)
	if status, body := g.dial().send(head("before")).answer(); status != 200 || body != "before" {
		t.Errorf("while the connections are full: %d %q", status, body)
	}
	await(t, "the request before", a.requests)
	g.registry.lists <- list(2, false, entry("a", a.address, "draining"), entry("b", b.address, "up"))
	await(t, "the next watch", g.registry.calls)
	if status, body := g.dial().send(head("after")).answer(); status != 200 || body != "after" {
		t.Errorf("once discovery is back: %d %q", status, body)
	}
	await(t, "the request after", b.requests)
	if n := len(a.requests); n != 0 {
		t.Errorf("%d requests to the draining server", n)
	}
	for _, c := range all {
		c.Close()
	}
	for g.callers.Len() > 2 { // closed connections free their places
		time.Sleep(time.Millisecond)
	}
}
