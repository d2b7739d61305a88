package host

import (
	"bufio"
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

// server takes requests and does with each connection what the test says once one has come whole.
type server struct {
	address string
	took    atomic.Int32
	l       net.Listener
	served  sync.WaitGroup
}

func newServer(t *testing.T, then func(net.Conn)) *server {
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
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					s.took.Add(1)
					then(c)
				}
			})
		}
	})
	return s
}

func (s *server) close() { s.l.Close(); s.served.Wait() }

func serve(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }

// breakOff ends a connection as a process that dies does.
func breakOff(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// waiter is a caller that goes when the test says so.
type waiter struct{ gone atomic.Bool }

func (w *waiter) Gone() bool { return w.gone.Load() }

// crossing is an instance before two servers. Each connection that it opens is held until the test lets it come up.
type crossing struct {
	*Instance
	dials chan chan struct{} // of each connection that is asked for, what lets it come up when closed
	pool  *backends.Pool
}

func newCrossing(t *testing.T, class balance.Class, servers ...*server) *crossing {
	t.Helper()
	c := &crossing{dials: make(chan chan struct{}, 8)}
	c.pool = backends.NewPool(backends.Limits{
		Conns: 8, ConnectTimeout: 30 * time.Second, ConnIdle: 30 * time.Second, Options: backends.DefaultOptions(),
		Control: func(_, _ string, _ syscall.RawConn) error {
			up := make(chan struct{})
			c.dials <- up
			<-up
			return nil
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

func (c *crossing) close() { c.Close(); c.pool.Close() }

// long is a request's time; nothing here may take that long.
const long = 20 * time.Second

func (c *crossing) submit(w Caller) *Request {
	u := &url.URL{Path: "/api"}
	return c.Submit(w, &backends.Message{Method: "GET", URI: "/api", URL: u, Host: "x", Header: http.Header{}}, 0, -1, long, 0)
}

func await[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(long / 2):
		t.Fatalf("%s did not come", what)
		panic("unreachable")
	}
}

func class(effect balance.Effect, window time.Duration) balance.Class {
	return balance.Class{Aim: long, ClientTimeout: long, Value: 1, Effect: effect, DedupScope: balance.DedupAll, DedupWindow: window}
}

// TestWindowEndsWhileAConnectionComesUp: the first attempt may have run; the second is decided within the window, and its
// connection is up only behind its end. Nothing is written on it, and the request is given up at once.
func TestWindowEndsWhileAConnectionComesUp(t *testing.T) {
	defer goleak.VerifyNone(t)
	const window = 2 * time.Second
	a, b := newServer(t, breakOff), newServer(t, breakOff)
	defer a.close()
	defer b.close()
	c := newCrossing(t, class(balance.Deduplicated, window), a, b)
	defer c.close()
	begun := time.Now()
	q := c.submit(&waiter{})
	close(await(t, "the first connection", c.dials))
	second := await(t, "the second connection", c.dials)
	time.Sleep(time.Until(begun.Add(window + 50*time.Millisecond))) // until the window is over for certain
	close(second)
	if f := await(t, "the answer", q.Final()); f.Verdict != Refused { // all drop repeats: harmless
		t.Errorf("verdict %v", f.Verdict)
	}
	if n := a.took.Load() + b.took.Load(); n != 1 {
		t.Errorf("%d attempts were written, want the first alone", n)
	}
}

// TestWindowEndsWhileARepeatWaits is the same for a repeat that is held, since its servers can take none for now.
func TestWindowEndsWhileARepeatWaits(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newServer(t, breakOff), newServer(t, breakOff)
	defer a.close()
	defer b.close()
	c := newCrossing(t, class(balance.Deduplicated, 2*time.Second), a, b)
	defer c.close()
	q := c.submit(&waiter{})
	first := await(t, "the first connection", c.dials)
	close(first)
	second := await(t, "the second connection", c.dials)
	c.SetBanned("a", true)
	c.SetBanned("b", true) // whichever it goes to: it is taken out while its connection comes up
	close(second)
	if f := await(t, "the answer", q.Final()); f.Verdict != Refused {
		t.Errorf("verdict %v", f.Verdict)
	}
	if n := a.took.Load() + b.took.Load(); n != 1 {
		t.Errorf("%d attempts were written, want the first alone", n)
	}
}

// TestNoDialForACallerThatHasGone: the caller goes while the first attempt is out, and its connection does not say so
// here. No connection is asked for the next one.
func TestNoDialForACallerThatHasGone(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := &waiter{}
	leave := func(c net.Conn) { w.gone.Store(true); breakOff(c) }
	a, b := newServer(t, leave), newServer(t, leave)
	defer a.close()
	defer b.close()
	c := newCrossing(t, class(balance.Idempotent, 0), a, b)
	defer c.close()
	q := c.submit(w)
	close(await(t, "the first connection", c.dials))
	if f := await(t, "the answer", q.Final()); f.Verdict != Failed {
		t.Errorf("verdict %v", f.Verdict)
	}
	if n := a.took.Load() + b.took.Load(); n != 1 || len(c.dials) != 0 {
		t.Errorf("%d attempts written and %d more connections asked for, want 1 and none", n, len(c.dials))
	}
}

// TestNothingIsSentForACallerThatWentWhileAConnectionCameUp.
func TestNothingIsSentForACallerThatWentWhileAConnectionCameUp(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := &waiter{}
	a := newServer(t, serve)
	defer a.close()
	c := newCrossing(t, class(balance.Idempotent, 0), a)
	defer c.close()
	q := c.submit(w)
	up := await(t, "the connection", c.dials)
	w.gone.Store(true)
	close(up)
	if f := await(t, "the answer", q.Final()); f.Verdict != Failed || a.took.Load() != 0 {
		t.Errorf("verdict %v, %d attempts written", f.Verdict, a.took.Load())
	}
}

// TestUnsafeRepeats: a request that must never run twice is sent again only where the first was surely never written: not
// behind a break, and never while one is out.
func TestUnsafeRepeats(t *testing.T) {
	defer goleak.VerifyNone(t)
	turnAway := func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
	}
	half := func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"); breakOff(c) }
	failed := func(c net.Conn) { io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n") }
	for _, k := range []struct {
		name    string
		first   func(net.Conn)
		took    int32
		verdict Verdict
	}{
		{"turned away", turnAway, 2, Served}, {"broken off", breakOff, 1, Failed}, {"half an answer", half, 1, Failed},
		{"an error", failed, 1, Failed},
	} {
		t.Run(k.name, func(t *testing.T) {
			var turn atomic.Int32
			then := func(c net.Conn) {
				if turn.Add(1) == 1 {
					k.first(c)
					return
				}
				serve(c)
			}
			a, b := newServer(t, then), newServer(t, then)
			defer a.close()
			defer b.close()
			c := newCrossing(t, class(balance.AtMostOnce, 0), a, b)
			defer c.close()
			q := c.submit(&waiter{})
			close(await(t, "the first connection", c.dials))
			if k.took == 2 {
				close(await(t, "the second connection", c.dials))
			}
			f := await(t, "the answer", q.Final())
			if n := a.took.Load() + b.took.Load(); f.Verdict != k.verdict || n != k.took {
				t.Errorf("verdict %v after %d attempts, want %v after %d", f.Verdict, n, k.verdict, k.took)
			}
		})
	}
}

// TestDrainWhileAConnectionComesUp: the list takes the server out between the decision and the first byte.
func TestDrainWhileAConnectionComesUp(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newServer(t, serve), newServer(t, serve)
	defer a.close()
	defer b.close()
	c := newCrossing(t, class(balance.AtMostOnce, 0), a, b)
	defer c.close()
	q := c.submit(&waiter{})
	up := await(t, "the first connection", c.dials)
	c.mu.Lock()
	to := c.requests[q.id].attempts[0].to
	c.mu.Unlock()
	c.Update(balance.Delta, []balance.Entry{{ID: to.Server, State: balance.Draining}}, nil)
	close(up)
	close(await(t, "the connection to the other", c.dials))
	if f := await(t, "the answer", q.Final()); f.Verdict != Served {
		t.Errorf("verdict %v", f.Verdict)
	}
	drained, other := a, b
	if to.Address == b.address {
		drained, other = b, a
	}
	if drained.took.Load() != 0 || other.took.Load() != 1 {
		t.Errorf("%d written to the one that drains, %d to the other", drained.took.Load(), other.took.Load())
	}
}

// TestReadyMeansThatItCanServe: with no list, with one of servers that all drain or are gone, and again once one is there.
func TestReadyMeansThatItCanServe(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := newCrossing(t, class(balance.Idempotent, 0))
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
