package proxy

import (
	"fmt"
	"testing"
)

// TestSeveralProxiesInOneProcess: each proxy has its own balancer, list and callers, and the end of one does not affect the
// other.
func TestSeveralProxiesInOneProcess(t *testing.T) {
	a, b := newBackend(t, "127.0.0.1:0", idAnswer), newBackend(t, "127.0.0.1:0", idAnswer)
	one, two := newTestProxy(t, nil, entry("s1", a.address, "up")), newTestProxy(t, nil, entry("s1", b.address, "up"))
	callOne, callTwo := one.dial(), two.dial()
	for i := range 3 {
		id := fmt.Sprint("r", i) // the same id is open at both
		callOne.send(head(id))
		callTwo.send(head(id))
		for _, c := range []*testCaller{callOne, callTwo} {
			if status, body := c.answer(); status != 200 || body != id {
				t.Fatalf("%d %q", status, body)
			}
		}
	}
	if len(a.requests) != 3 || len(b.requests) != 3 {
		t.Fatalf("backends got %d and %d requests, want 3 each", len(a.requests), len(b.requests))
	}
	one.Close()
	callOne.expectClosed()
	if status, body := callTwo.send(head("after")).answer(); status != 200 || body != "after" {
		t.Fatalf("after the other had ended: %d %q", status, body)
	}
}
