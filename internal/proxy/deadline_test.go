package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brasswell/internal/front"
)

// TestDeadlineIncludesTimeInSocketBuffer guards deadlines after a pause: a process that was stopped while a request
// arrived would treat it as new, answer late, and send its server a longer deadline than its caller has.
func TestDeadlineIncludesTimeInSocketBuffer(t *testing.T) {
	const (
		delay = 600 * time.Millisecond
		slack = 150 * time.Millisecond // allowed by the protocol
	)
	for method, request := range map[string]string{
		http.MethodGet:  head("a"),
		http.MethodPost: keyed("a", "/") + "Content-Length: 4\r\n\r\nbody",
	} {
		t.Run(method, func(t *testing.T) {
			received := make(chan string, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				received <- r.Header.Get(front.RemainingField)
				fmt.Fprint(w, "ok")
			}))
			defer server.Close()
			var caller net.Conn
			var sent time.Time
			newTestProxyWith(t, nil, func(p *Proxy) {
				awaitConfirmed(t, p)
				var err error
				if caller, err = net.Dial("tcp", p.Addr().String()); err != nil {
					t.Fatal(err)
				}
				sent = time.Now()
				fmt.Fprint(caller, request)
				time.Sleep(delay) // no process accepts the connection
			}, entry("s1", server.Listener.Addr().String(), "up"))
			defer caller.Close()
			text := <-received
			left := 9*time.Second - time.Since(sent)
			ms, err := strconv.Atoi(text)
			if err != nil || time.Duration(ms)*time.Millisecond > left+slack {
				t.Errorf("the server got a deadline of %s ms, and the caller waits for %v", text, left)
			}
		})
	}
}

// TestDeadlineIncludesTimeOfABodyInSocketBuffer guards against an answer that comes later than its caller waits: the last
// byte of a long body stood in the socket's buffer while a server read slowly, and the time counted from its reading.
func TestDeadlineIncludesTimeOfABodyInSocketBuffer(t *testing.T) {
	const (
		patience = 2 * time.Second
		never    = time.Hour
		late     = 500 * time.Millisecond // a request that is answered later is lost
		inProxy  = 140 << 10              // more than the proxy reads ahead, and less than its buffers take besides
		inCaller = 900 << 10              // more than that, and less than the caller's own system takes
	)
	for _, k := range []struct {
		framing string
		size    int
		hold    time.Duration // how long the server reads nothing
		rate    int           // bytes per second that it reads then; 0 for no limit
	}{
		{"length", inProxy, time.Second, 0}, {"chunks", inProxy, time.Second, 0},
		{"length", inProxy, never, 0}, {"chunks", inProxy, never, 0},
		{"length", inCaller, never, 0}, {"chunks", inCaller, never, 0},
		{"length", inCaller, 0, 100 << 10}, {"chunks", inCaller, 0, 100 << 10},
	} {
		t.Run(fmt.Sprint(k.framing, " of ", k.size, " ", k.hold, " ", k.rate), func(t *testing.T) {
			t.Parallel()
			size := k.size
			g := newTestProxy(t, nil, entry("s1", newSilentReader(t, k.hold, k.rate), "up"))
			c := g.dial()
			text := strings.Replace(keyed("a", "/"), "9000", strconv.FormatInt(patience.Milliseconds(), 10), 1)
			if k.framing == "length" {
				text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, pattern(size))
			} else {
				text = chunked("a", patience, size)
			}
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			sent := time.Now()
			if status, _ := c.answer(); status == http.StatusOK {
				t.Error("served by a server that does not answer")
			}
			if took := time.Since(sent); took > patience+late {
				t.Errorf("answered %v after the last byte, and the caller waits for %v", took, patience)
			}
		})
	}
}

// chunked returns a keyed request whose body is sent in chunks of some KiB.
func chunked(id string, patience time.Duration, size int) string {
	const chunk = 8 << 10
	var text strings.Builder
	text.WriteString(strings.Replace(keyed(id, "/"), "9000", strconv.FormatInt(patience.Milliseconds(), 10), 1))
	text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for sent := 0; sent < size; sent += chunk {
		n := min(chunk, size-sent)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	text.WriteString("0\r\nX-Trailer: x\r\n\r\n")
	return text.String()
}

// TestChunkedBodyOfAnySizeBeforeAHungServer guards against answers that come seconds late for a few sizes: where the end of
// a body stands (net/http's buffer, the proxy's socket, the caller's) depends on the size of all that comes before.
func TestChunkedBodyOfAnySizeBeforeAHungServer(t *testing.T) {
	const (
		patience = time.Second
		late     = 500 * time.Millisecond
		callers  = 90
		least    = 64 << 10
		step     = 1700
	)
	g := newTestProxy(t, nil, entry("s1", newSilentReader(t, time.Hour, 0), "up"))
	var all sync.WaitGroup
	defer all.Wait()
	for n := range callers {
		size := least + n*step
		c := g.dial()
		all.Go(func() {
			if _, err := io.WriteString(c, chunked(fmt.Sprint("a", n), patience, size)); err != nil {
				t.Errorf("%d bytes: %v", size, err)
				return
			}
			sent := time.Now()
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil || resp.StatusCode < http.StatusInternalServerError {
				t.Errorf("%d bytes: %v, %v", size, resp, err)
			}
			if took := time.Since(sent); took > patience+late {
				t.Errorf("%d bytes: answered after %v", size, took)
			}
		})
	}
}

// TestLongUploadOutlastsAPauseOfItsServer guards against an upload that is ended because its server pauses for longer than
// the caller waits for an answer, while the caller is certainly still writing.
func TestLongUploadOutlastsAPauseOfItsServer(t *testing.T) {
	const (
		patience = 300 * time.Millisecond
		pause    = 4 * patience
		size     = 8 << 20
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	}))
	defer server.Close()
	c := newTestProxy(t, nil, entry("s1", server.Listener.Addr().String(), "up")).dial()
	text := strings.Replace(keyed("a", "/"), "9000", strconv.FormatInt(patience.Milliseconds(), 10), 1)
	text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, pattern(size))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	if status, got := c.answer(); status != http.StatusOK || got != strconv.Itoa(size) {
		t.Errorf("%d %q", status, got)
	}
}

// newSilentReader starts a server that reads nothing for a while, then everything, at a rate in bytes per second if that is
// above 0, and never answers. Its receive buffer is small. It returns the server's address.
func newSilentReader(t *testing.T, hold time.Duration, rate int) (address string) {
	t.Helper()
	const receiveBuffer = 16 << 10 // bytes
	listen := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		control := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(control, err)
	}}
	l, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				select {
				case <-time.After(hold):
					discardAtRate(t, c, rate)
				case <-t.Context().Done():
				}
			}()
		}
	}()
	return l.Addr().String()
}

// discardAtRate reads from a connection until it ends or the test does.
func discardAtRate(t *testing.T, c net.Conn, rate int) {
	if rate == 0 {
		io.Copy(io.Discard, c)
		return
	}
	const interval = 20 * time.Millisecond
	piece := make([]byte, rate/int(time.Second/interval))
	for t.Context().Err() == nil {
		if _, err := io.ReadFull(c, piece); err != nil {
			return
		}
		time.Sleep(interval)
	}
}
