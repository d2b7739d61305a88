package link

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"brasswell/internal/cluster/view"
)

// fixedPath delays all by the same time, and passes nothing while it is cut.
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

// TestPathDecides: what a link sends is as late as its path says, and does not arrive while that is cut.
func TestPathDecides(t *testing.T) {
	const oneWay = 30 * time.Millisecond
	path := &fixedPath{after: oneWay}
	a, _ := listenOn(t, "127.0.0.0/8", path)
	b, ear := listen(t, "127.0.0.0/8")

	began := time.Now()
	a.Send(b.Addr(), &view.Message{Kind: view.Ping, Seq: 1, From: record("a")})
	if m := <-ear.received; m.Seq != 1 || time.Since(began) < oneWay {
		t.Errorf("%d came after %v", m.Seq, time.Since(began))
	}
	began = time.Now()
	if _, err := a.Exchange(t.Context(), b.Addr(), nil); err != nil || time.Since(began) < 3*oneWay {
		t.Errorf("an exchange took %v, %v; it connects there and back and asks", time.Since(began), err)
	}

	path.cut.Store(true)
	a.Send(b.Addr(), &view.Message{Kind: view.Ping, Seq: 2, From: record("a")})
	short, cancel := context.WithTimeout(t.Context(), 3*oneWay)
	defer cancel()
	if _, err := a.Exchange(short, b.Addr(), nil); err == nil {
		t.Error("an exchange over a path that is cut")
	}
	path.cut.Store(false)
	a.Send(b.Addr(), &view.Message{Kind: view.Ping, Seq: 3, From: record("a")})
	if m := <-ear.received; m.Seq != 3 {
		t.Errorf("%d came over a path that was cut", m.Seq)
	}
	waitFor(t, "all three are counted as sent, the lost one too", func() bool { return a.Counts().Sent == 3 })
	if c := a.Counts(); c.Unsent != 0 {
		t.Errorf("%+v; what is lost on the way was sent", c)
	}
}

// TestPathDropsWhatComes: while the path of who receives is cut, nothing is taken in from one whose own path is not.
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
		t.Error("an exchange passed a path that is cut")
	}
	path.cut.Store(false)
	ping(2)
	if m := <-ear.received; m.Seq != 2 {
		t.Errorf("%d came through a path that was cut", m.Seq)
	}
	if got := b.Counts().Received; got != 1 {
		t.Errorf("%d were counted as received, and one was let in", got)
	}
}
