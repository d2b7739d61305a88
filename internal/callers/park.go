package callers

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"brasswell/internal/idle"
	"brasswell/internal/memory"
)

// Parking holds connections of a Set that have been idle for a while, without the server's goroutine and buffers. To
// the server, such a connection has ended; when bytes arrive, Accept returns it as a new one. Nothing is read from a
// parked connection, so a caller may send again what arrives while it is closed for idleness, as on any idle
// connection.
//
// It prevents memory from growing with the number of idle connections. A request on a parked connection costs some
// more system calls and a new goroutine, so a caller that sends its next request within Policy.ParkAfter is never
// parked.
type Parking struct {
	set    *Set
	poller *idle.Poller
	policy idle.Policy
	addr   net.Addr
	ready  chan *Conn

	closed    chan struct{}
	closeOnce sync.Once
}

// Park makes the set park its idle connections. It must be called before the server accepts any connection. The
// server must serve the returned Parking too, and Run must be called.
func (c *Set) Park(policy idle.Policy, addr net.Addr) (*Parking, error) {
	poller, err := idle.NewPoller()
	if err != nil {
		return nil, err
	}
	c.parking = &Parking{set: c, poller: poller, policy: policy, addr: addr, ready: make(chan *Conn), closed: make(chan struct{})}
	return c.parking, nil
}

// Run parks connections and closes those that have been idle for too long, until ctx is done; then it closes all
// parked ones.
func (p *Parking) Run(ctx context.Context) error {
	var group sync.WaitGroup
	failed := make(chan error, 1)
	group.Go(func() { failed <- p.poller.Run() })
	ticker := time.NewTicker(p.policy.CheckInterval())
	defer func() {
		ticker.Stop()
		p.Close()
		p.poller.Close()
		group.Wait()
		p.dropParked()
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return fmt.Errorf("parked connections are no longer monitored: %w", err)
		case <-ticker.C:
			p.tick(time.Now())
		}
	}
}

// dropParked removes the connections that are still parked or about to be. They are closed, and must not count
// against the limits any more.
func (p *Parking) dropParked() {
	c := p.set
	c.mu.Lock()
	defer c.unlock()
	c.evictDue([]kind{kindParkedOnce, kindParkedIdle}, len(c.open), func(*Conn) bool { return true })
}

// tick interrupts the reads of connections that are to be parked, and closes parked ones whose idle timeout is over,
// a limited number at a time.
func (p *Parking) tick(now time.Time) {
	c := p.set
	c.mu.Lock()
	defer c.unlock()
	batch := p.policy.BatchSize(len(c.open))
	batch -= c.evictDue([]kind{kindParkedOnce, kindParkedIdle}, batch, func(k *Conn) bool { return p.policy.ShouldClose(k.since, now) })
	for _, kind := range []kind{kindOnce, kindIdle} {
		for k := c.byKind[kind].Front(); k != nil && batch > 0 && p.policy.ShouldPark(k.since, now); k = c.byKind[kind].Front() {
			// The expired deadline makes net/http close the connection, and Close parks it.
			c.setKind(k, kind.parkedKind(), k.since)
			k.parkPending = true
			k.Conn.SetReadDeadline(time.Unix(1, 0))
			batch--
		}
	}
}

// parkedKind returns the kind of a parked connection that was of kind k.
func (k kind) parkedKind() kind {
	if k == kindOnce {
		return kindParkedOnce
	}
	return kindParkedIdle
}

// park holds a connection that the server has closed because its read was interrupted, and returns false for any
// other connection.
func (p *Parking) park(k *Conn) bool {
	c := p.set
	c.mu.Lock()
	defer c.mu.Unlock()
	tcp, isTCP := k.Conn.(*net.TCPConn)
	if _, open := c.open[k]; !open || !k.parkPending || !isTCP {
		return false
	}
	// The server may still refer to k, for which the connection has ended, so the parked connection gets a new Conn.
	parked := &Conn{set: c, kind: kindBusy, requests: k.requests}
	parked.framing.copyFrom(&k.framing)
	kind, since := k.kind, k.since
	c.remove(k)
	pollerKey, err := p.poller.Park(tcp, parked)
	if err != nil {
		return true // Park has closed the connection
	}
	parked.pollerKey, parked.poller = pollerKey, p.poller
	c.open[parked] = struct{}{}
	c.setKind(parked, kind, since)
	return true
}

// SetReadDeadline leaves an interrupted read as it is: the server may set its deadline for the next request right
// after the interruption.
func (k *Conn) SetReadDeadline(t time.Time) error {
	if k.set.parking == nil {
		return k.Conn.SetReadDeadline(t)
	}
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	if k.parkPending {
		return nil
	}
	return k.Conn.SetReadDeadline(t)
}

// SocketReady returns a parked connection to the server because bytes have arrived on it or because it has ended.
func (k *Conn) SocketReady() {
	c := k.set
	c.mu.Lock()
	if _, open := c.open[k]; !open || k.poller == nil {
		c.mu.Unlock()
		return
	}
	conn, err := k.poller.Unpark(k.pollerKey)
	k.poller = nil
	if err != nil {
		c.remove(k)
		c.mu.Unlock()
		return
	}
	k.Conn, k.raw = conn, raw(conn)
	k.held = memory.ConnectionBytes
	c.memory.Charge(memory.Connections, k.held)
	c.setKind(k, kindPartial, time.Now())
	c.mu.Unlock()
	select {
	case c.parking.ready <- k:
	case <-c.parking.closed:
		k.Close()
		c.Track(k, http.StateClosed)
	}
}

// Accept returns a parked connection on which bytes have arrived.
func (p *Parking) Accept() (net.Conn, error) {
	select {
	case k := <-p.ready:
		return k, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (p *Parking) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}

// Addr returns the address on which the connections were first accepted.
func (p *Parking) Addr() net.Addr { return p.addr }

// Len returns the number of parked connections.
func (p *Parking) Len() int { return p.poller.Len() }
