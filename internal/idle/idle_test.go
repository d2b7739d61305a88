package idle

import (
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestPace(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	p := Policy{ParkAfter: time.Second, Timeout: 10 * time.Second}
	for _, c := range []struct {
		since       time.Duration
		hold, close bool
	}{{0, false, false}, {time.Second - 1, false, false}, {time.Second, true, false}, {10*time.Second - 1, true, false}, {10 * time.Second, true, true}} {
		if got := p.ShouldPark(ago(c.since), now); got != c.hold {
			t.Errorf("idle for %v: held %v", c.since, got)
		}
		if got := p.ShouldClose(ago(c.since), now); got != c.close {
			t.Errorf("idle for %v: closed %v", c.since, got)
		}
	}
	if (Policy{Timeout: time.Second}).ShouldPark(ago(time.Hour), now) {
		t.Error("held where nothing is to be")
	}
	// 200,000 that are due at once go within half a minute, and no step is over a hundredth of them.
	steps := 0
	for left := 200_000; left > 0; steps++ {
		n := p.BatchSize(left)
		if n > 2000 {
			t.Fatalf("%d in one step", n)
		}
		left -= min(n, left)
	}
	if took := time.Duration(steps) * p.CheckInterval(); took > 30*time.Second {
		t.Errorf("all are closed after %v", took)
	}
}

// waiter counts how often it is told.
type waiter struct{ told chan struct{} }

func (w waiter) SocketReady() { w.told <- struct{}{} }

// socketPair is both ends of a TCP connection.
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

func running(t *testing.T) *Poller {
	t.Helper()
	l, err := NewPoller()
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		if err := l.Run(); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { l.Close(); all.Wait() })
	return l
}

// TestHeldSocketsComeBackWithWhatCame holds a socket, gives it back when bytes come or have come already, and again.
func TestHeldSocketsComeBackWithWhatCame(t *testing.T) {
	l := running(t)
	ours, theirs := socketPair(t)
	w := waiter{make(chan struct{}, 10)}
	for round := range 20 {
		if round%2 == 0 { // before it is held, or after
			theirs.Write([]byte("hold"))
		}
		key, err := l.Park(ours, w)
		if err != nil {
			t.Fatal(err)
		}
		if round%2 == 1 {
			theirs.Write([]byte("hold"))
		}
		<-w.told
		if ours, err = l.Unpark(key); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 10)
		if n, err := ours.Read(b); err != nil || string(b[:n]) != "hold" {
			t.Fatalf("%q, %v", b[:n], err)
		}
	}
	if len(w.told) > 0 || l.Len() > 0 {
		t.Errorf("told %d times too often, %d held", len(w.told), l.Len())
	}
	ours.Close()
}

func TestEndsOfHeldSockets(t *testing.T) {
	l := running(t)
	w := waiter{make(chan struct{}, 10)}
	ours, theirs := socketPair(t)
	key, err := l.Park(ours, w)
	if err != nil {
		t.Fatal(err)
	}
	theirs.Close()
	<-w.told
	l.Drop(key)
	l.Drop(key)
	if _, err := l.Unpark(key); err == nil {
		t.Error("a socket that was dropped was given back")
	}
	ours, theirs = socketPair(t)
	if _, err = l.Park(ours, w); err != nil {
		t.Fatal(err)
	}
	l.Close()
	l.Close()
	if _, err := theirs.Read(make([]byte, 1)); err == nil {
		t.Error("a held socket outlived its lot")
	}
	ours, theirs = socketPair(t)
	if _, err = l.Park(ours, w); err == nil {
		t.Error("a closed lot holds a socket")
	}
	if _, err := theirs.Read(make([]byte, 1)); err == nil {
		t.Error("a socket that was not held is open")
	}
}
