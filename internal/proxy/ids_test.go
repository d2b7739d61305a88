package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// once returns the head of a request that must not run twice and carries no key.
func once(id string) string {
	return strings.Replace(strings.Replace(head(id), "search", "once", 1), "GET", "POST", 1)
}

// heldBackend answers each request once hold is closed, and counts how often each id has run.
type heldBackend struct {
	*backend
	mu   sync.Mutex
	runs map[string]int
}

func newHeldBackend(t *testing.T, hold chan struct{}) *heldBackend {
	b := &heldBackend{runs: map[string]int{}}
	b.backend = newBackend(t, "127.0.0.1:0", func(id string) string {
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
		select {
		case <-hold:
		case <-t.Context().Done():
		}
		return idAnswer(id)
	})
	return b
}

func (b *heldBackend) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// TestOpenIDIsRejectedByTheOtherProcess guards against a request that runs twice during an upgrade: a bad client sends the
// id of an open request on a connection that the other process has accepted.
func TestOpenIDIsRejectedByTheOtherProcess(t *testing.T) {
	const requests, copies = 6, 6
	hold := make(chan struct{})
	b := newHeldBackend(t, hold)
	p := newPlatform(t, entry("s1", b.address, "up"))
	p.start()
	p.start()
	address := p.listener.Addr().String()
	var open []*testCaller
	for n := range requests {
		id := fmt.Sprint("open", n)
		open = append(open, dialAt(t, address).send(once(id)))
		if got := await(t, "the request", b.requests); got != id {
			t.Fatalf("%s runs in place of %s", got, id)
		}
		for range copies { // the kernel gives each connection to one of the processes
			if status, _ := dialAt(t, address).send(once(id)).answer(); status != http.StatusConflict {
				t.Errorf("a copy of %s is answered %d", id, status)
			}
		}
	}
	close(hold)
	for n, c := range open {
		id := fmt.Sprint("open", n)
		if status, text := c.answer(); status != http.StatusOK || text != id {
			t.Errorf("%s: %d %q", id, status, text)
		}
		if runs := b.runsOf(id); runs != 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
	}
}

// TestIDThatComesAgainAfterItsClientLeft guards against an effect that happens twice: a client leaves while its request
// runs, and the same id comes again at this process or, after an upgrade, at the next one.
func TestIDThatComesAgainAfterItsClientLeft(t *testing.T) {
	for _, c := range []struct {
		class   string
		request func(id string) string
		again   int // the status of the second request
	}{
		{"once", once, http.StatusConflict},
		{"keyed", func(id string) string { return keyed(id, "/") + "Content-Length: 0\r\n\r\n" }, http.StatusConflict},
		{"idempotent", head, http.StatusOK},
	} {
		for _, upgraded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, upgraded %t", c.class, upgraded), func(t *testing.T) {
				t.Parallel()
				hold := make(chan struct{})
				b := newHeldBackend(t, hold)
				p := newPlatform(t, entry("s1", b.address, "up"))
				first := p.start()
				caller := dialAt(t, p.listener.Addr().String()).send(c.request("a"))
				await(t, "the request", b.requests)
				caller.Close()
				for first.callers.Len() > 0 {
					time.Sleep(time.Millisecond)
				}
				close(hold)
				if upgraded {
					p.start()
					first.stop()
				}
				status, _ := dialAt(t, p.listener.Addr().String()).send(c.request("a")).answer()
				if status != c.again {
					t.Errorf("the second request is answered %d, want %d", status, c.again)
				}
				if runs := b.runsOf("a"); c.again == http.StatusConflict && runs != 1 {
					t.Errorf("ran %d times", runs)
				}
			})
		}
	}
}

// TestIDOfARequestThatNeverRanMayComeAgain guards against a client that is turned away for good: no attempt of its request
// has run, so the same id, sent again, can do no harm.
func TestIDOfARequestThatNeverRanMayComeAgain(t *testing.T) {
	turnedAway := true
	b := newBackend(t, "127.0.0.1:0", func(id string) string {
		if turnedAway {
			return "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return idAnswer(id)
	})
	g := newTestProxy(t, func(c *Config) { c.Settings.Balancer.MaxAttempts = 1 }, entry("s1", b.address, "up"))
	if status, _ := g.dial().send(once("a")).answer(); status != http.StatusServiceUnavailable {
		t.Fatalf("answered %d", status)
	}
	await(t, "the first attempt", b.requests)
	turnedAway = false
	if status, text := g.dial().send(once("a")).answer(); status != http.StatusOK || text != "a" {
		t.Errorf("the second request is answered %d %q", status, text)
	}
}
