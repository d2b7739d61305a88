package host

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/balance"
	"brasswell/internal/backends"
)

// server counts requests and calls a function of the test with the connection of each one that has arrived whole.
type server struct {
	address  string
	received atomic.Int32
	l        net.Listener
	served   sync.WaitGroup
}

func newServer(t *testing.T, handle func(net.Conn)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String(), l: l}
	s.served.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.served.Go(func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					s.received.Add(1)
					handle(c)
				}
			})
		}
	})
	return s
}

func (s *server) close() { s.l.Close(); s.served.Wait() }

func serve(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }

// resetConn closes a connection with a reset, as when the server's process dies.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// testCaller is a caller that counts as gone once the test sets the flag.
type testCaller struct{ gone atomic.Bool }

func (w *testCaller) Gone() bool { return w.gone.Load() }

// fixture is an instance with test servers. Each connection that it opens waits until the test lets it be established.
type fixture struct {
	*Instance
	dials chan chan struct{} // one channel for each dial; closing it lets the connection be established
	pool  *backends.Pool
	// sendBuffer is the size in bytes of the send buffers of new connections; 0 for the kernel's default.
	sendBuffer atomic.Int32
}

// setSocketOption sets an option of a socket.
func setSocketOption(raw syscall.RawConn, option, value int) (err error) {
	control := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, value) })
	return errors.Join(control, err)
}

func newFixture(t *testing.T, class balance.Class, servers ...*server) *fixture {
	t.Helper()
	c := &fixture{dials: make(chan chan struct{}, 8)}
	c.pool = backends.NewPool(backends.Limits{
		Conns: 8, ConnectTimeout: 30 * time.Second, ConnIdle: 30 * time.Second, Options: backends.DefaultOptions(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			up := make(chan struct{})
			c.dials <- up
			<-up
			if c.sendBuffer.Load() == 0 {
				return nil
			}
			return setSocketOption(raw, syscall.SO_SNDBUF, int(c.sendBuffer.Load()))
		},
	})
	set := balance.Settings{Instances: 1, MaxAttempts: 4, CanCancel: true, Classes: []balance.Class{class}}
	var err error
	if c.Instance, err = New(set, 1, c.pool, func() {}, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	var list []balance.Entry
	addresses := map[string]string{}
	for n, s := range servers {
		id := string(rune('a' + n))
		list, addresses[id] = append(list, balance.Entry{ID: id}), s.address
	}
	c.Update(balance.Full, list, addresses)
	return c
}

// addServer adds a server to the list.
func (c *fixture) addServer(id, address string) {
	c.Update(balance.Delta, []balance.Entry{{ID: id}}, map[string]string{id: address})
}

func (c *fixture) close() { c.Close(); c.pool.Close() }

// requestTimeout is the timeout of requests. No test may take that long.
const requestTimeout = 20 * time.Second

func (c *fixture) submit(w Caller) *Request {
	u := &url.URL{Path: "/api"}
	return c.Submit(w, &backends.Message{Method: "GET", URI: "/api", URL: u, Host: "x", Header: http.Header{}}, 0, -1, requestTimeout, 0)
}

func await[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(requestTimeout / 2):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

func class(effect balance.Effect, window time.Duration) balance.Class {
	return balance.Class{Aim: requestTimeout, ClientTimeout: requestTimeout, Value: 1, Effect: effect, DedupScope: balance.DedupAll, DedupWindow: window}
}

// TestWindowEndsWhileAConnectionComesUp guards against a repeat that is written after the deduplication window has
// ended. The first attempt may have run; the second is decided on within the window, but its connection is established
// only after it. Nothing may be written on that connection, and the request is abandoned at once.
func TestWindowEndsWhileAConnectionComesUp(t *testing.T) {
	defer goleak.VerifyNone(t)
	const window = 2 * time.Second
	a, b := newServer(t, resetConn), newServer(t, resetConn)
	defer a.close()
	defer b.close()
	c := newFixture(t, class(balance.Deduplicated, window), a, b)
	defer c.close()
	start := time.Now()
	q := c.submit(&testCaller{})
	close(await(t, "the first connection", c.dials))
	second := await(t, "the second connection", c.dials)
	time.Sleep(time.Until(start.Add(window + 50*time.Millisecond))) // until the window has certainly ended
	close(second)
	if f := await(t, "the answer", q.Final()); f.Outcome != Refused { // all servers drop repeats, so a retry is harmless
		t.Errorf("outcome %v", f.Outcome)
	}
	if n := a.received.Load() + b.received.Load(); n != 1 {
		t.Errorf("%d attempts were written, want only the first", n)
	}
}

// TestWindowEndsWhileARepeatWaits covers the end of the window for a repeat that the balancer holds because both
// servers were taken out while the repeat's connection was being established.
func TestWindowEndsWhileARepeatWaits(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newServer(t, resetConn), newServer(t, resetConn)
	defer a.close()
	defer b.close()
	c := newFixture(t, class(balance.Deduplicated, 2*time.Second), a, b)
	defer c.close()
	q := c.submit(&testCaller{})
	first := await(t, "the first connection", c.dials)
	close(first)
	second := await(t, "the second connection", c.dials)
	c.SetBanned("a", true)
	c.SetBanned("b", true) // whichever server the repeat is for is taken out while its connection is being established
	close(second)
	if f := await(t, "the answer", q.Final()); f.Outcome != Refused {
		t.Errorf("outcome %v", f.Outcome)
	}
	if n := a.received.Load() + b.received.Load(); n != 1 {
		t.Errorf("%d attempts were written, want only the first", n)
	}
}

// TestNoDialForACallerThatHasGone checks that no connection is opened for the next attempt if the caller has gone
// during the first one and only Gone reports it.
func TestNoDialForACallerThatHasGone(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := &testCaller{}
	goneAndReset := func(c net.Conn) { w.gone.Store(true); resetConn(c) }
	a, b := newServer(t, goneAndReset), newServer(t, goneAndReset)
	defer a.close()
	defer b.close()
	c := newFixture(t, class(balance.Idempotent, 0), a, b)
	defer c.close()
	q := c.submit(w)
	close(await(t, "the first connection", c.dials))
	if f := await(t, "the answer", q.Final()); f.Outcome != Failed {
		t.Errorf("outcome %v", f.Outcome)
	}
	if n := a.received.Load() + b.received.Load(); n != 1 || len(c.dials) != 0 {
		t.Errorf("%d attempts written and %d more connections opened, want 1 and 0", n, len(c.dials))
	}
}

// TestNothingIsSentForACallerThatWentWhileAConnectionCameUp checks that nothing is written if the caller goes while the
// attempt's connection is being established.
func TestNothingIsSentForACallerThatWentWhileAConnectionCameUp(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := &testCaller{}
	a := newServer(t, serve)
	defer a.close()
	c := newFixture(t, class(balance.Idempotent, 0), a)
	defer c.close()
	q := c.submit(w)
	up := await(t, "the connection", c.dials)
	w.gone.Store(true)
	close(up)
	if f := await(t, "the answer", q.Final()); f.Outcome != Failed || a.received.Load() != 0 {
		t.Errorf("outcome %v, %d attempts written", f.Outcome, a.received.Load())
	}
}

// TestUnsafeRepeats checks that a request that must never run twice is sent again only if the first attempt certainly
// did not run: after a refusal by the server, but not after a broken connection, a partial answer or an error, and
// never while an attempt is outstanding.
func TestUnsafeRepeats(t *testing.T) {
	defer goleak.VerifyNone(t)
	turnAway := func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
	}
	partialAnswer := func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"); resetConn(c) }
	serverError := func(c net.Conn) { io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n") }
	for _, k := range []struct {
		name     string
		first    func(net.Conn)
		attempts int32
		outcome  Outcome
	}{
		{"turned away", turnAway, 2, Served}, {"broken off", resetConn, 1, Failed}, {"half an answer", partialAnswer, 1, Failed},
		{"an error", serverError, 1, Failed},
	} {
		t.Run(k.name, func(t *testing.T) {
			var count atomic.Int32
			handle := func(c net.Conn) {
				if count.Add(1) == 1 {
					k.first(c)
					return
				}
				serve(c)
			}
			a, b := newServer(t, handle), newServer(t, handle)
			defer a.close()
			defer b.close()
			c := newFixture(t, class(balance.AtMostOnce, 0), a, b)
			defer c.close()
			q := c.submit(&testCaller{})
			close(await(t, "the first connection", c.dials))
			if k.attempts == 2 {
				close(await(t, "the second connection", c.dials))
			}
			f := await(t, "the answer", q.Final())
			if n := a.received.Load() + b.received.Load(); f.Outcome != k.outcome || n != k.attempts {
				t.Errorf("outcome %v after %d attempts, want %v after %d", f.Outcome, n, k.outcome, k.attempts)
			}
		})
	}
}

// TestDrainWhileAConnectionComesUp guards against an attempt that is written to a draining server because the list
// update came between the decision and the first byte.
func TestDrainWhileAConnectionComesUp(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newServer(t, serve), newServer(t, serve)
	defer a.close()
	defer b.close()
	c := newFixture(t, class(balance.AtMostOnce, 0), a, b)
	defer c.close()
	q := c.submit(&testCaller{})
	up := await(t, "the first connection", c.dials)
	c.mu.Lock()
	to := c.requests[q.id].attempts[0].to
	c.mu.Unlock()
	c.Update(balance.Delta, []balance.Entry{{ID: to.Server, State: balance.Draining}}, nil)
	close(up)
	close(await(t, "the connection to the other", c.dials))
	if f := await(t, "the answer", q.Final()); f.Outcome != Served {
		t.Errorf("outcome %v", f.Outcome)
	}
	drained, other := a, b
	if to.Address == b.address {
		drained, other = b, a
	}
	if drained.received.Load() != 0 || other.received.Load() != 1 {
		t.Errorf("%d requests written to the draining server, %d to the other", drained.received.Load(), other.received.Load())
	}
}

// TestReadyMeansThatItCanServe checks that an instance is not ready without a list or if all servers drain or are gone,
// and is ready again once a server is in service.
func TestReadyMeansThatItCanServe(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := newFixture(t, class(balance.Idempotent, 0))
	defer c.close()
	up := []balance.Entry{{ID: "a"}}
	for n, step := range []struct {
		kind    balance.ListKind
		entries []balance.Entry
		ready   bool
	}{
		{balance.Cached, nil, false},
		{balance.Full, up, true},
		{balance.Delta, []balance.Entry{{ID: "a", State: balance.Draining}}, false},
		{balance.Delta, up, true},
		{balance.Full, nil, false},
		{balance.ListFailed, nil, false},
		{balance.Full, up, true},
	} {
		c.Update(step.kind, step.entries, map[string]string{"a": "127.0.0.1:1"})
		if got := c.Ready(); got != step.ready {
			t.Errorf("step %d: ready %t, want %t", n, got, step.ready)
		}
	}
}
