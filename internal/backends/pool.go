package backends

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Pool holds the connections to all backends. Its size is bounded by limit, and an idle connection's life by
// idleFor, which ends before the backend's own patience does.
//
// A plain http.Transport would not do: it sends a GET or a keyed request again by itself when a reused
// connection breaks, behind the balancer's back and maybe a second time.
type Pool struct {
	transport      *http.Transport
	control        func(network, address string, c syscall.RawConn) error // of each socket; may be nil
	connectTimeout time.Duration
	idleFor        time.Duration
	limit          int
	written        func(class int) // may be nil

	mu      sync.Mutex
	options Options
	closed  bool
	open    int                    // connections open or being opened
	idle    map[Endpoint]*idleList // none is empty
	wanted  map[Endpoint]bool      // whose connections are kept
}

// Limits is what a pool is told. All of it must be above 0, but the functions may be nil.
type Limits struct {
	Conns          int           // open at one time, to all backends
	ConnectTimeout time.Duration // a connection not up by then counts as failed
	ConnIdle       time.Duration // a backend closes a connection that idles for so long
	// Control is called for each socket before it connects, as net.Dialer has it.
	Control func(network, address string, c syscall.RawConn) error
	// Written is called with the request's class once for each attempt that has been written whole. It must not block.
	OnWritten func(class int)
	Options   Options
}

// NewPool returns a pool that keeps no connections until Keep names the endpoints that are wanted.
func NewPool(l Limits) *Pool {
	p := &Pool{
		control:        l.Control,
		connectTimeout: l.ConnectTimeout,
		// A request that crosses the backend's close ends as a reset, and may have run for all we know.
		// The fifth left is for answers that took their time to be read.
		idleFor: l.ConnIdle * 4 / 5,
		limit:   l.Conns, options: l.Options, written: l.OnWritten,
		idle: map[Endpoint]*idleList{},
	}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHead,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return ctx.Value(dialed{}).(*conn), nil
		},
	}
	return p
}

// stoppedTimer is a timer that calls f once it has been reset.
func stoppedTimer(f func()) *time.Timer {
	t := time.AfterFunc(time.Hour, f)
	t.Stop()
	return t
}

// dialed is the context key under which a connection is handed to the transport.
type dialed struct{}

// get takes the idle connection that was used last and has settled, or opens one.
func (p *Pool) get(ctx context.Context, to Endpoint) (c *conn, reused bool, err error) {
	var dead []*conn
	p.mu.Lock()
	now := time.Now()
	for c == nil && p.idle[to] != nil {
		k := p.idle[to].lastSettled(now, p.options.SettleTime)
		if k == nil {
			break
		}
		p.unpark(k)
		if k.cc.Err() != nil || now.Sub(k.parkedAt) >= p.idleFor {
			dead = append(dead, k)
			continue
		}
		k.renew()
		c = k
	}
	if c == nil && p.open-len(dead) >= p.limit {
		if oldest := p.oldestIdle(); oldest != nil {
			p.unpark(oldest)
			dead = append(dead, oldest)
		} else {
			err = errNoSockets
		}
	}
	if c == nil && err == nil {
		p.open++
	}
	p.mu.Unlock()
	for _, d := range dead {
		d.discard()
	}
	if c != nil || err != nil {
		return c, c != nil, err
	}
	c, err = p.dial(ctx, to)
	return c, false, err
}

func (p *Pool) dial(ctx context.Context, to Endpoint) (*conn, error) {
	nc, err := p.dialAddress(ctx, to.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("connect to %s: %w", to.Address, err)
	}
	c := &conn{Conn: nc, pool: p, endpoint: to}
	c.retire = stoppedTimer(func() { p.retire(c) })
	c.rest = stoppedTimer(c.restOver)
	if c.cc, err = p.transport.NewClientConn(context.WithValue(ctx, dialed{}, c), "http", to.Address); err != nil {
		c.Close()
		return nil, fmt.Errorf("connect to %s: %w", to.Address, err)
	}
	return c, nil
}

// release gives back a connection on which no answer is outstanding.
func (p *Pool) release(c *conn) {
	c.unwatchRest()
	if c.cc.Available() == 0 {
		c.discard()
		return
	}
	p.mu.Lock()
	unwanted := p.closed || !p.wanted[c.endpoint]
	if c.inRead && !unwanted {
		p.park(c)
	} else {
		c.done = true
	}
	p.mu.Unlock()
	if unwanted {
		c.discard()
	}
}

// Keep closes the idle connections to all endpoints but these, now and as they come free.
func (p *Pool) SetWanted(wanted map[Endpoint]bool) {
	p.mu.Lock()
	p.wanted = wanted
	var drop []*conn
	for to, idle := range p.idle {
		if !wanted[to] {
			drop = slices.AppendSeq(drop, idle.All())
		}
	}
	p.drop(drop)
}

// distrust closes the idle connections to an endpoint that does not answer.
func (p *Pool) distrust(to Endpoint) {
	p.mu.Lock()
	var all []*conn
	if idle := p.idle[to]; idle != nil {
		all = slices.Collect(idle.All())
	}
	p.drop(all)
}

// drop unparks and ends connections. It is called with p.mu held and gives it back.
func (p *Pool) drop(conns []*conn) {
	for _, c := range conns {
		p.unpark(c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.discard()
	}
}

// park and unpark need p.mu held, and so must not call what takes the connection's own lock.
func (p *Pool) park(c *conn) {
	if c.closed {
		return
	}
	c.parked, c.parkedAt = true, time.Now()
	idle := p.idle[c.endpoint]
	if idle == nil {
		idle = &idleList{}
		p.idle[c.endpoint] = idle
	}
	idle.Push(c)
	if !c.retiring {
		c.retiring = true
		c.retire.Reset(p.idleFor)
	}
}

// retire ends a connection that has idled for too long. Its timer is not stopped when the connection is used: it
// looks again when it fires, which costs a busy connection one look in each idleFor.
func (p *Pool) retire(c *conn) {
	p.mu.Lock()
	c.retiring = false
	over := false
	if c.parked {
		if left := p.idleFor - time.Since(c.parkedAt); left > 0 {
			c.retiring = true
			c.retire.Reset(left)
		} else {
			over = true
			p.unpark(c)
		}
	}
	p.mu.Unlock()
	if over {
		c.discard()
	}
}

func (p *Pool) unpark(c *conn) {
	c.parked = false
	idle := p.idle[c.endpoint]
	if idle.Remove(c); idle.Front() == nil {
		delete(p.idle, c.endpoint)
	}
}

func (p *Pool) oldestIdle() *conn {
	var oldest *conn
	for _, idle := range p.idle {
		if c := idle.Front(); oldest == nil || c.parkedAt.Before(oldest.parkedAt) {
			oldest = c
		}
	}
	return oldest
}

// SetLimit changes how many connections may be open. Those that are over it end as they come free or idle on.
func (p *Pool) SetLimit(conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = conns
}

// SetOptions changes the options while the pool is in use.
func (p *Pool) SetOptions(o Options) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options = o
}

// Close ends the idle connections, and those in use as they come free.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var idle []*conn
	for _, conns := range p.idle {
		idle = slices.AppendSeq(idle, conns.All())
	}
	p.drop(idle)
}

// States counts the connections that are open or being opened, and those of them that idle.
func (p *Pool) ConnCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := 0
	for _, l := range p.idle {
		for range l.All() {
			idle++
		}
	}
	return map[string]int{"idle": idle, "busy": p.open - idle}
}
