package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// leaveActions are the ways in which a caller may leave.
var leaveActions = map[string]func(*testCaller){
	"closes":      func(c *testCaller) { c.Close() },
	"half-closes": func(c *testCaller) { c.Conn.(*net.TCPConn).CloseWrite() },
	"resets":      func(c *testCaller) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
}

// TestCallerLeavesAfterExtraBytes: a caller sends more bytes after its open request and leaves. net/http reads one byte of
// them and would not detect the end of the connection after them. The open attempt must be canceled, and none of the
// further bytes may be forwarded.
func TestCallerLeavesAfterExtraBytes(t *testing.T) {
	t.Parallel()
	var many strings.Builder
	for n := range 400 {
		many.WriteString(head(fmt.Sprint("flood", n)))
	}
	for what, more := range map[string]string{
		"nothing": "", "a byte": "G", "half a head": head("next")[:40], "a request": head("next"), "two requests": head("next") + head("third"),
		"a flood": many.String(),
	} {
		for way, leave := range leaveActions {
			t.Run(way+" after "+what, func(t *testing.T) {
				b := newBackend(t, "127.0.0.1:0", func(string) string { return "" })
				g := newTestProxy(t, nil, entry("s1", b.address, "up"))
				c := g.dial().send(head("open"))
				if id := await(t, "the request", b.requests); id != "open" {
					t.Fatal(id)
				}
				c.send(more)
				leave(c)
				await(t, "the end of the attempt", b.gone)
				for g.callers.Len() > 0 { // until the connection is closed
					time.Sleep(time.Millisecond)
				}
				if n := len(b.requests); n != 0 {
					t.Errorf("%d requests were forwarded for a caller that has left, the first %s", n, <-b.requests)
				}
			})
		}
	}
}

// noticeTime is how long the proxy may take to notice that a caller has left.
const noticeTime = 100 * time.Millisecond

// TestCallerLeavesDuringALaterPipelinedRequest: a caller sends many requests at once, reads some answers and leaves, while
// its system still holds much of what it has sent, and so the end of the connection. net/http has read the open request
// together with the ones before it. None of the further requests may be forwarded.
func TestCallerLeavesDuringALaterPipelinedRequest(t *testing.T) {
	t.Parallel()
	const answered, flood = 3, 10_000
	for way, leave := range leaveActions {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			open := fmt.Sprint("r", answered)
			left := make(chan struct{})
			b := newBackend(t, "127.0.0.1:0", func(id string) string {
				if id == open {
					<-left
				}
				return idAnswer(id)
			})
			g := newTestProxy(t, nil, entry("s1", b.address, "up"))
			c := g.dial()
			var all strings.Builder
			for n := range flood {
				all.WriteString(head(fmt.Sprint("r", n)))
			}
			if _, err := c.Write([]byte(all.String())); err != nil { // the caller's own system takes most of it
				t.Fatal(err)
			}
			for n := range answered {
				if status, text := c.answer(); status != 200 || text != fmt.Sprint("r", n) {
					t.Fatalf("%d: %d %q", n, status, text)
				}
			}
			for id := ""; id != open; id = await(t, "the open request", b.requests) {
			}
			leave(c)
			time.Sleep(noticeTime)
			close(left)
			for g.callers.Len() > 0 { // until the connection is closed
				time.Sleep(time.Millisecond)
			}
			if n := len(b.requests); n != 0 {
				t.Errorf("%d requests were forwarded for a caller that has left, the first %s", n, <-b.requests)
			}
		})
	}
}

// openFirst returns a caller whose first request is open at a backend. The backend answers it once hold is closed, and
// other requests at once.
func openFirst(t *testing.T) (c *testCaller, b *backend, hold chan struct{}) {
	t.Helper()
	hold = make(chan struct{})
	b = newBackend(t, "127.0.0.1:0", func(id string) string {
		if id == "first" {
			<-hold
		}
		return idAnswer(id)
	})
	c = newTestProxy(t, nil, entry("s1", b.address, "up")).dial().send(head("first"))
	await(t, "the first request", b.requests)
	return c, b, hold
}

// TestPipelinedRequestsAreServedInOrder: requests that are read ahead while the first is open are not lost.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	t.Parallel()
	c, b, hold := openFirst(t)
	c.send(head("second")[:30])
	c.send(head("second")[30:] + head("third"))
	close(hold)
	for _, id := range []string{"first", "second", "third"} {
		if status, text := c.answer(); status != 200 || text != id {
			t.Fatalf("%s: %d %q", id, status, text)
		}
	}
	for _, id := range []string{"second", "third"} {
		if got := await(t, id, b.requests); got != id {
			t.Errorf("%s was forwarded in place of %s", got, id)
		}
	}
}

// TestFloodOfPipelinedRequests: more bytes follow an open request than the proxy buffers. That request is answered, and
// then the connection ends, so that the caller knows to send the others again.
func TestFloodOfPipelinedRequests(t *testing.T) {
	t.Parallel()
	c, b, hold := openFirst(t)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for n := range 4000 {
			if _, err := c.Write([]byte(head(fmt.Sprint("more", n)))); err != nil {
				return
			}
		}
	}()
	await(t, "the end of sending", sent)
	// Once the proxy's socket has received everything, the proxy has read most of it: the socket buffers at most 128
	// KiB, and far more was sent.
	for unsentBytes(c.Conn.(*net.TCPConn)) > 0 {
		time.Sleep(time.Millisecond)
	}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go b.drain(done)
	close(hold)
	answers := 0
	for {
		status, text := c.answer()
		if status == 0 {
			break
		}
		if answers++; answers == 1 && (status != 200 || text != "first") {
			t.Fatalf("%d %q", status, text)
		}
	}
	// The proxy buffers 16 KiB, and net/http up to 4 KiB after the first head.
	if most := 2 + (20<<10)/len(head("more0")); answers < 1 || answers > most {
		t.Errorf("%d answers, want the first and those of the buffered requests, at most %d", answers, most)
	}
}
