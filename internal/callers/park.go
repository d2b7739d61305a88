package callers

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"brasswell/internal/idle"
)

// Parking holds the connections of a Set that have idled for a while without the server's goroutine and buffers. The
// server takes such a connection for one that has ended; when bytes come, it is accepted anew. Nothing has been read of
// it meanwhile, so what comes on it as it is closed for idleness may be sent again, as ever.
//
// It guards against memory that grows with connections that do nothing. It costs a request on a parked connection some
// system calls and a new goroutine more, so who asks again within Pace.After never is.
type Parking struct {
	set   *Set
	lot   *idle.Poller
	pace  idle.Policy
	addr  net.Addr
	woken chan *Conn

	closed chan struct{}
	end    sync.Once
}

// Park has the set's idle connections held. It is called before the server accepts any; the server must serve the
// Parking, too, and Run must be called.
func (c *Set) Park(pace idle.Policy, addr net.Addr) (*Parking, error) {
	lot, err := idle.NewPoller()
	if err != nil {
		return nil, err
	}
	c.parking = &Parking{set: c, lot: lot, pace: pace, addr: addr, woken: make(chan *Conn), closed: make(chan struct{})}
	return c.parking, nil
}

// Run parks connections and closes those that have idled for too long, until ctx is done; then it closes all.
func (p *Parking) Run(ctx context.Context) error {
	var waking sync.WaitGroup
	failed := make(chan error, 1)
	waking.Go(func() { failed <- p.lot.Run() })
	ticker := time.NewTicker(p.pace.CheckInterval())
	defer func() {
		ticker.Stop()
		p.Close()
		p.lot.Close()
		waking.Wait()
		p.forget()
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return fmt.Errorf("no idle connection is heard any more: %w", err)
		case <-ticker.C:
			p.tick(time.Now())
		}
	}
}

// forget ends what is still parked, or about to be: it is closed, and must not take places any more.
func (p *Parking) forget() {
	c := p.set
	c.mu.Lock()
	defer c.unlock()
	c.endFirst([]kind{parkedOnce, parkedIdle}, len(c.open), func(*Conn) bool { return true })
}

// tick breaks off the reads of connections that are to be parked, and closes those whose time is over, so many at a time.
func (p *Parking) tick(now time.Time) {
	c := p.set
	c.mu.Lock()
	defer c.unlock()
	batch := p.pace.BatchSize(len(c.open))
	batch -= c.endFirst([]kind{parkedOnce, parkedIdle}, batch, func(k *Conn) bool { return p.pace.ShouldClose(k.since, now) })
	for _, kind := range []kind{once, idling} {
		for k := c.waiting[kind].Front(); k != nil && batch > 0 && p.pace.ShouldPark(k.since, now); k = c.waiting[kind].Front() {
			// net/http ends what it reads no more from; Close parks it.
			c.become(k, kind.parked(), k.since)
			k.breaking = true
			k.Conn.SetReadDeadline(time.Unix(1, 0))
			batch--
		}
	}
}

// parked is the kind of one that idles and is parked.
func (k kind) parked() kind {
	if k == once {
		return parkedOnce
	}
	return parkedIdle
}

// take holds a connection that the server has closed because its read was broken off; false for any other.
func (p *Parking) take(k *Conn) bool {
	c := p.set
	c.mu.Lock()
	defer c.mu.Unlock()
	tcp, plain := k.Conn.(*net.TCPConn)
	if _, open := c.open[k]; !open || !k.breaking || !plain {
		return false
	}
	// The server may still speak of k; it has ended there.
	held := &Conn{set: c, framing: k.framing, kind: busy, requests: k.requests}
	kind, since := k.kind, k.since
	c.forget(k)
	key, err := p.lot.Park(tcp, held)
	if err != nil {
		return true // it is closed
	}
	held.key, held.lot = key, p.lot
	c.open[held] = struct{}{}
	c.become(held, kind, since)
	return true
}

// SetReadDeadline leaves a read that is broken off as it is: the server may set its time for the next request right after.
func (k *Conn) SetReadDeadline(t time.Time) error {
	if k.set.parking == nil {
		return k.Conn.SetReadDeadline(t)
	}
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	if k.breaking {
		return nil
	}
	return k.Conn.SetReadDeadline(t)
}

// Woken takes in that a parked connection has bytes, or is over.
func (k *Conn) SocketReady() {
	c := k.set
	c.mu.Lock()
	if _, open := c.open[k]; !open || k.lot == nil {
		c.mu.Unlock()
		return
	}
	conn, err := k.lot.Unpark(k.key)
	k.lot = nil
	if err != nil {
		c.forget(k)
		c.mu.Unlock()
		return
	}
	k.Conn, k.raw = conn, raw(conn)
	c.become(k, partial, time.Now())
	c.mu.Unlock()
	select {
	case c.parking.woken <- k:
	case <-c.parking.closed:
		k.Close()
		c.Track(k, http.StateClosed)
	}
}

// Accept returns a connection that was parked and has bytes.
func (p *Parking) Accept() (net.Conn, error) {
	select {
	case k := <-p.woken:
		return k, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (p *Parking) Close() error {
	p.end.Do(func() { close(p.closed) })
	return nil
}

// Addr is where the connections were accepted first.
func (p *Parking) Addr() net.Addr { return p.addr }

// Len is how many connections are parked.
func (p *Parking) Len() int { return p.lot.Len() }
