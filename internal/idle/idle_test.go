package idle

import (
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestPolicy(t *testing.T) {
	now := time.Now()
	before := func(d time.Duration) time.Time { return now.Add(-d) }
	p := Policy{ParkAfter: time.Second, Timeout: 10 * time.Second}
	for _, c := range []struct {
		since       time.Duration
		park, close bool
	}{{0, false, false}, {time.Second - 1, false, false}, {time.Second, true, false}, {10*time.Second - 1, true, false}, {10 * time.Second, true, true}} {
		if got := p.ShouldPark(before(c.since), now); got != c.park {
			t.Errorf("idle for %v: ShouldPark %v", c.since, got)
		}
		if got := p.ShouldClose(before(c.since), now); got != c.close {
			t.Errorf("idle for %v: ShouldClose %v", c.since, got)
		}
	}
	if (Policy{Timeout: time.Second}).ShouldPark(before(time.Hour), now) {
		t.Error("parked though parking is disabled")
	}
	// 200,000 connections that are due at once are closed within 30 s, and no step closes over a hundredth of them.
	steps := 0
	for left := 200_000; left > 0; steps++ {
		n := p.BatchSize(left)
		if n > 2000 {
			t.Fatalf("%d connections in one step", n)
		}
		left -= min(n, left)
	}
	if took := time.Duration(steps) * p.CheckInterval(); took > 30*time.Second {
		t.Errorf("all connections are closed after %v", took)
	}
}

// testHandler reports each call to a channel.
type testHandler struct{ notified chan struct{} }

func (w testHandler) SocketReady() { w.notified <- struct{}{} }

// socketPair returns both ends of a TCP connection.
func socketPair(t *testing.T) (ours *net.TCPConn, theirs net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if theirs, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { theirs.Close(); c.Close() })
	return c.(*net.TCPConn), theirs
}

func startPoller(t *testing.T) *Poller {
	t.Helper()
	p, err := NewPoller()
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		if err := p.Run(); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { p.Close(); all.Wait() })
	return p
}

// TestParkedSocketsKeepTheirData parks and unparks a socket repeatedly, with bytes that arrive before or after it is
// parked.
func TestParkedSocketsKeepTheirData(t *testing.T) {
	p := startPoller(t)
	ours, theirs := socketPair(t)
	h := testHandler{make(chan struct{}, 10)}
	for round := range 20 {
		if round%2 == 0 { // write before the socket is parked, or else after
			theirs.Write([]byte("hold"))
		}
		key, err := p.Park(ours, h)
		if err != nil {
			t.Fatal(err)
		}
		if round%2 == 1 {
			theirs.Write([]byte("hold"))
		}
		<-h.notified
		if ours, err = p.Unpark(key); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 10)
		if n, err := ours.Read(b); err != nil || string(b[:n]) != "hold" {
			t.Fatalf("%q, %v", b[:n], err)
		}
	}
	if len(h.notified) > 0 || p.Len() > 0 {
		t.Errorf("%d surplus notifications, %d sockets parked", len(h.notified), p.Len())
	}
	ours.Close()
}

func TestClosingOfParkedSockets(t *testing.T) {
	p := startPoller(t)
	h := testHandler{make(chan struct{}, 10)}
	ours, theirs := socketPair(t)
	key, err := p.Park(ours, h)
	if err != nil {
		t.Fatal(err)
	}
	theirs.Close()
	<-h.notified
	p.Drop(key)
	p.Drop(key)
	if _, err := p.Unpark(key); err == nil {
		t.Error("Unpark returned a dropped socket")
	}
	ours, theirs = socketPair(t)
	if _, err = p.Park(ours, h); err != nil {
		t.Fatal(err)
	}
	p.Close()
	p.Close()
	if _, err := theirs.Read(make([]byte, 1)); err == nil {
		t.Error("a parked socket is open after Close")
	}
	ours, theirs = socketPair(t)
	if _, err = p.Park(ours, h); err == nil {
		t.Error("a closed poller accepts a socket")
	}
	if _, err := theirs.Read(make([]byte, 1)); err == nil {
		t.Error("a socket that was not accepted is open")
	}
}
