package proxy

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// endableServer is a backend whose process can end: its connections are reset, and its address is free again.
type endableServer struct {
	address  string
	requests chan string
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

// newEndableServer starts a server that answers every request but those whose id begins with "held".
func newEndableServer(t *testing.T, address string) *endableServer {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	e := &endableServer{address: l.Addr().String(), requests: make(chan string, 100), listener: l}
	b := &backend{requests: e.requests, gone: make(chan string, 100)}
	t.Cleanup(e.end)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, c)
			e.mu.Unlock()
			go b.serve(c, func(id string) string {
				if len(id) > 4 && id[:4] == "held" {
					return ""
				}
				return idAnswer(id)
			})
		}
	}()
	return e
}

// end resets all connections, as the end of a process does.
func (e *endableServer) end() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// TestNewBackendAtTheAddressOfOneThatHasGone guards against a new process that is taken for the one before it at its
// address: what was out at that one must not run again, and nothing may use its connections or its name.
func TestNewBackendAtTheAddressOfOneThatHasGone(t *testing.T) {
	for _, told := range []bool{true, false} { // whether discovery tells of the change before the new process is up
		t.Run(fmt.Sprintf("told first %t", told), func(t *testing.T) {
			old := newEndableServer(t, "127.0.0.1:0")
			g := newTestProxy(t, nil, entry("s1", old.address, "up"))
			idle := g.dial()
			if status, _ := idle.send(once("first")).answer(); status != http.StatusOK {
				t.Fatalf("the first request is answered %d", status)
			}
			await(t, "the first request", old.requests)
			held := g.dial().send(once("held-once"))
			await(t, "the held request", old.requests)
			await(t, "a watch", g.registry.calls)
			old.end()
			if status, _ := held.answer(); status != http.StatusBadGateway {
				t.Errorf("a request that may have run is answered %d", status)
			}
			tell := func() {
				g.registry.lists <- list(2, true, entry("s2", old.address, "up"))
				for end := time.Now().Add(eventTimeout); g.discovery.Seq() != 2; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("the change is never taken")
					}
				}
			}
			if told {
				tell()
			}
			next := newEndableServer(t, old.address)
			if !told {
				tell()
			}
			for n := range 20 {
				id := fmt.Sprint("next", n)
				if status, text := idle.send(once(id)).answer(); status != http.StatusOK || text != id {
					t.Errorf("%s: %d %q", id, status, text)
				}
				if got := await(t, "a request", next.requests); got != id {
					t.Errorf("%s runs in place of %s", got, id)
				}
			}
			if n := len(next.requests); n > 0 {
				t.Errorf("%d requests more than were sent, the first %s", n, <-next.requests)
			}
		})
	}
}
