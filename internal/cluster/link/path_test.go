package link

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"brasswell/internal/cluster/view"
)

// fixedPath is a Path with a constant delay; nothing passes while it is cut.
type fixedPath struct {
	after time.Duration
	cut   atomic.Bool
	asked atomic.Int64
}

func (p *fixedPath) Datagram(netip.AddrPort, int) (time.Duration, bool) {
	p.asked.Add(1)
	return p.after, !p.cut.Load()
}

func (p *fixedPath) Stream(netip.AddrPort, int) (time.Duration, bool) {
	p.asked.Add(1)
	return p.after, !p.cut.Load()
}

func (p *fixedPath) Accepts(netip.Addr) bool { return !p.cut.Load() }

// TestPathDecides: data that a link sends has the delay of its path, and does not arrive while the path is cut.
func TestPathDecides(t *testing.T) {
	const oneWay = 30 * time.Millisecond
	path := &fixedPath{after: oneWay}
	a, _ := listenOn(t, "127.0.0.0/8", path)
	b, ear := listen(t, "127.0.0.0/8")

	began := time.Now()
	a.Send(b.Addr(), &view.Message{Kind: view.Ping, Seq: 1, From: record("a")})
	if m := <-ear.received; m.Seq != 1 || time.Since(began) < oneWay {
		t.Errorf("message %d arrived after %v", m.Seq, time.Since(began))
	}
	began = time.Now()
	if _, err := a.Exchange(t.Context(), b.Addr(), nil); err != nil || time.Since(began) < 3*oneWay {
		t.Errorf("an exchange took %v, error %v; want at least a round trip to connect and one way for the table", time.Since(began), err)
	}

	path.cut.Store(true)
	a.Send(b.Addr(), &view.Message{Kind: view.Ping, Seq: 2, From: record("a")})
	short, cancel := context.WithTimeout(t.Context(), 3*oneWay)
	defer cancel()
	if _, err := a.Exchange(short, b.Addr(), nil); err == nil {
		t.Error("no error for an exchange over a cut path")
	}
	path.cut.Store(false)
	a.Send(b.Addr(), &view.Message{Kind: view.Ping, Seq: 3, From: record("a")})
	if m := <-ear.received; m.Seq != 3 {
		t.Errorf("message %d arrived, although the path was cut when it was sent", m.Seq)
	}
	waitFor(t, "all three are counted as sent, including the lost one", func() bool { return a.Counts().Sent == 3 })
	if c := a.Counts(); c.Unsent != 0 {
		t.Errorf("%+v; a lost datagram must be counted as sent", c)
	}
}

// TestPathDropsReceived: while the receiver's path is cut, it receives nothing, even from a sender whose own path is open.
func TestPathDropsReceived(t *testing.T) {
	path := &fixedPath{}
	a, _ := listen(t, "127.0.0.0/8")
	b, ear := listenOn(t, "127.0.0.0/8", path)
	ping := func(seq uint64) { a.Send(b.Addr(), &view.Message{Kind: view.Ping, Seq: seq, From: record("a")}) }

	path.cut.Store(true)
	ping(1)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, err := a.Exchange(ctx, b.Addr(), []view.Record{record("a")}); err == nil {
		t.Error("no error for an exchange over a cut path")
	}
	path.cut.Store(false)
	ping(2)
	if m := <-ear.received; m.Seq != 2 {
		t.Errorf("message %d arrived, although the path was cut when it was sent", m.Seq)
	}
	if got := b.Counts().Received; got != 1 {
		t.Errorf("%d datagrams were counted as received, want 1", got)
	}
}
