package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	const rest = "X-Lane: search\r\nX-Remaining-Ms: 900\r\n"
	const hold = "X-Txn: a\r\nX-Lane: hold\r\nX-Remaining-Ms: 900\r\n"
	for name, request := range map[string]string{
		"no id":               "GET / HTTP/1.1\r\nHost: x\r\n" + rest + "\r\n",
		"two ids":             "GET / HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Txn: b\r\n" + rest + "\r\n",
		"no deadline":         "GET / HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Lane: search\r\n\r\n",
		"word for a deadline": "GET / HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Lane: search\r\nX-Remaining-Ms: soon\r\n\r\n",
		"NaN for a deadline":  "GET / HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Lane: search\r\nX-Remaining-Ms: NaN\r\n\r\n",
		"unknown class":       "GET / HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Lane: searchs\r\nX-Remaining-Ms: 900\r\n\r\n",
		"POST for a GET":      "POST / HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\n" + rest + "Content-Length: 0\r\n\r\n",
		"keyed without a key": "POST / HTTP/1.1\r\nHost: x\r\n" + hold + "Content-Length: 0\r\n\r\n",
		"GET with a body":     "GET / HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\n" + rest + "Content-Length: 2\r\n\r\nab",
		"negative length":     "POST / HTTP/1.1\r\nHost: x\r\n" + hold + "Idempotency-Key: k\r\nContent-Length: -4\r\n\r\nabcd",
		"two lengths":         "POST / HTTP/1.1\r\nHost: x\r\n" + hold + "Idempotency-Key: k\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nabcd",
		"body over 32 MiB":    "POST / HTTP/1.1\r\nHost: x\r\n" + hold + "Idempotency-Key: k\r\nContent-Length: 33554433\r\n\r\n",
		"bad chunks":          "POST / HTTP/1.1\r\nHost: x\r\n" + hold + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\n",
		"head without end":    "GET / HTTP/1.1\r\nHost: x\r\nX-Pad: " + strings.Repeat("p", 2*16<<10) + "\r\n",
		"half a body":         "POST / HTTP/1.1\r\nHost: x\r\n" + hold + "Idempotency-Key: k\r\nContent-Length: 9\r\n\r\nabcd",
		"half a head":         "GET / HTTP/1.1\r\nHost: x\r\nX-Tx",
		"silence":             "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, "127.0.0.1:0", idAnswer)
			c := newTestProxy(t, nil, entry("s1", b.address, "up")).dial()
			start := time.Now()
			status, _ := c.send(request).answer()
			if status != 0 && (status < 400 || status == 503) {
				t.Fatalf("answered %d", status)
			}
			if d := time.Since(start); d > eventTimeout/2 {
				t.Errorf("answered only after %v", d)
			}
			if status != 0 {
				c.expectClosed()
			}
			if len(b.requests) != 0 {
				t.Fatal("it reached a backend")
			}
		})
	}
}

// TestRequestInsideABodyIsNotPassedOn sends a request whose body, if read by its length, contains another request.
func TestRequestInsideABodyIsNotPassedOn(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	g := newTestProxy(t, nil, entry("s1", b.address, "up"))
	inner := "0\r\n\r\n" + head("hidden")
	for name, lead := range map[string]string{"first": "", "after another": head("sound")} {
		t.Run(name, func(t *testing.T) {
			c := g.dial().send(lead + fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: outer\r\nX-Lane: hold\r\n"+
				"X-Remaining-Ms: 900\r\nIdempotency-Key: k\r\ncontent-length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s",
				len(inner), inner))
			if lead != "" {
				if status, _ := c.answer(); status != 200 {
					t.Fatalf("the valid request was answered %d", status)
				}
				await(t, "the valid request", b.requests)
			}
			if status, _ := c.answer(); status != 400 {
				t.Fatalf("answered %d", status)
			}
			c.expectClosed()
			if len(b.requests) != 0 {
				t.Fatalf("%q reached a backend", <-b.requests)
			}
		})
	}
}

func TestChunkedRequestIsServed(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	c := newTestProxy(t, nil, entry("s1", b.address, "up")).dial()
	c.send("POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Lane: hold\r\nX-Remaining-Ms: 9000\r\nIdempotency-Key: k\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	if status, body := c.answer(); status != 200 || body != "a" {
		t.Fatalf("%d %q", status, body)
	}
}

func TestDuplicateIDOfOpenRequestIsRejected(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, "127.0.0.1:0", func(id string) string { <-release; return idAnswer(id) })
	g := newTestProxy(t, nil, entry("s1", b.address, "up"))
	first := g.dial().send(head("a"))
	await(t, "the first request", b.requests)
	if status, _ := g.dial().send(head("a")).answer(); status != 409 {
		t.Fatalf("the second was answered %d", status)
	}
	close(release)
	if status, _ := first.answer(); status != 200 {
		t.Fatalf("the first was answered %d", status)
	}
	if status, _ := g.dial().send(head("a")).answer(); status != 200 {
		t.Fatalf("after the first had ended, answered %d", status)
	}
}

// TestIdleCallersAreClosedForNewcomers opens more connections than the proxy allows, some silent and some with one
// request each, and then sends a request on a new connection.
func TestIdleCallersAreClosedForNewcomers(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	for name, first := range map[string]string{"silent": "", "asked once": "yes"} {
		t.Run(name, func(t *testing.T) {
			g := newTestProxy(t, func(c *Config) { c.Sockets = 64 }, entry("s1", b.address, "up"))
			for i := range 40 {
				c := g.dial()
				if first != "" {
					if status, _ := c.send(head(fmt.Sprint("r", i))).answer(); status != 200 {
						t.Fatalf("request %d was answered %d", i, status)
					}
				}
			}
			// Silent connections are closed only after some time, so a new caller may get a close first.
			for end := time.Now().Add(eventTimeout); ; {
				if status, _ := g.dial().send(head("late")).answer(); status == 200 {
					return
				}
				if time.Now().After(end) {
					t.Fatal("never served")
				}
			}
		})
	}
}

// TestCallersThatAskAgainKeepTheirConnection fills the places with callers that send one request each. A connection with
// several requests must not be closed for them.
func TestCallersThatAskAgainKeepTheirConnection(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	g := newTestProxy(t, func(c *Config) { c.Sockets = 64 }, entry("s1", b.address, "up"))
	steady := g.dial()
	for _, id := range []string{"s1", "s2"} {
		steady.send(head(id)).answer()
	}
	for i := range 40 {
		if status, _ := g.dial().send(head(fmt.Sprint("r", i))).answer(); status != 200 {
			t.Fatalf("request %d was answered %d", i, status)
		}
	}
	if status, body := steady.send(head("s3")).answer(); status != 200 || body != "s3" {
		t.Fatalf("%d %q: its connection was closed before those with one request", status, body)
	}
}

// TestCallerThatLeavesEndsItsAttempt checks that the backend's connection is closed soon after the caller has left.
func TestCallerThatLeavesEndsItsAttempt(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", func(string) string { return "" })
	g := newTestProxy(t, nil, entry("s1", b.address, "up"))
	for name, leave := range map[string]func(net.Conn){
		"close":      func(c net.Conn) { c.Close() },
		"half close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			c := g.dial().send(head("a"))
			await(t, "the request", b.requests)
			start := time.Now()
			leave(c.Conn)
			await(t, "the end of the attempt", b.gone)
			if d := time.Since(start); d > 8*time.Second {
				t.Fatalf("the attempt continued for %v, up to its deadline", d)
			}
		})
	}
}

// TestShutdownServesRemainingCallers: during a planned restart connections stay in use, requests that cannot be served in
// time fail, and then all connections are closed.
func TestShutdownServesRemainingCallers(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", func(id string) string {
		if id == "never" {
			return ""
		}
		return idAnswer(id)
	})
	g := newTestProxy(t, nil, entry("s1", b.address, "up"))
	asks, waits := g.dial(), g.dial()
	asks.send(head("before")).answer()
	waits.send(head("never"))
	await(t, "the request before", b.requests)
	await(t, "the request that is never answered", b.requests)

	g.restart.Begin()
	if status, _ := g.dial().send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").answer(); status != 503 {
		t.Errorf("health during the shutdown: %d", status)
	}
	if status, body := asks.send(head("during")).answer(); status != 200 || body != "during" {
		t.Errorf("during the shutdown: %d %q", status, body)
	}
	ended := make(chan struct{})
	go func() {
		g.restart.Run(g.connsClosed)
		close(ended)
	}()
	if status, _ := waits.answer(); status != 502 {
		t.Errorf("the request that cannot be served in time was answered %d", status)
	}
	asks.expectClosed()
	waits.expectClosed()
	await(t, "the end", ended)
}
