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

	"brasswell/internal/framing"
	"brasswell/internal/memory"
)

// Pool holds the connections to all backends. The number of connections is bounded by limit, and the time that one
// may be idle by maxIdle, which is shorter than the backend's own idle timeout.
//
// A plain http.Transport is unsuitable: when a reused connection breaks, it repeats a GET request or one with an
// idempotency key by itself. The balancer would not know of the repetition, and the request might run twice.
type Pool struct {
	transport      *http.Transport
	control        func(network, address string, c syscall.RawConn) error // called for each socket; may be nil
	connectTimeout time.Duration
	maxIdle        time.Duration
	limit          int
	onWritten      func(class int) // may be nil
	memory         *memory.Account // that buffered responses are charged to

	mu      sync.Mutex
	options Options
	closed  bool
	open    int                    // connections open or being opened
	idle    map[Endpoint]*idleList // never contains an empty list
	wanted  map[Endpoint]bool      // the endpoints whose idle connections are kept
}

// Limits configures a pool. All values must be above 0; the functions may be nil.
type Limits struct {
	Conns          int           // maximum number of open connections, to all backends together
	ConnectTimeout time.Duration // a connection that is not established by then counts as failed
	ConnIdle       time.Duration // idle time after which a backend closes a connection
	// Control is called for each socket before it connects, like net.Dialer's field of this name.
	Control func(network, address string, c syscall.RawConn) error
	// OnWritten is called with the request's class once for each attempt whose request was written completely. It must
	// not block.
	OnWritten func(class int)
	Memory    *memory.Account // that buffered responses are charged to; nil for no bound
	Options   Options
}

// NewPool returns a pool. It keeps no idle connections until SetWanted names the wanted endpoints.
func NewPool(l Limits) *Pool {
	p := &Pool{
		control:        l.Control,
		connectTimeout: l.ConnectTimeout,
		// A request that is sent while the backend closes the connection ends with a reset, and may have been
		// executed. The remaining fifth allows for responses that took long to read.
		maxIdle: l.ConnIdle * 4 / 5,
		limit:   l.Conns, options: l.Options, onWritten: l.OnWritten, memory: l.Memory,
		idle: map[Endpoint]*idleList{},
	}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHead,
		ReadBufferSize:         transportBuffer,
		WriteBufferSize:        transportBuffer,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return ctx.Value(connKey{}).(*conn), nil
		},
	}
	return p
}

// transportBuffer is the size of net/http's buffers for a connection, which hold heads; bodies mostly bypass them.
const transportBuffer = 2 << 10

// stoppedTimer returns a stopped timer that calls f when it expires after a Reset.
func stoppedTimer(f func()) *time.Timer {
	t := time.AfterFunc(time.Hour, f)
	t.Stop()
	return t
}

// connKey is the context key of the connection that the transport is to use.
type connKey struct{}

// get returns the most recently parked connection that has settled, or opens a new one.
func (p *Pool) get(ctx context.Context, to Endpoint) (c *conn, reused bool, err error) {
	var dead []*conn
	p.mu.Lock()
	now := time.Now()
	for c == nil && p.idle[to] != nil {
		candidate := p.idle[to].lastSettled(now, p.options.SettleTime)
		if candidate == nil {
			break
		}
		p.unpark(candidate)
		if candidate.cc.Err() != nil || now.Sub(candidate.parkedAt) >= p.maxIdle {
			dead = append(dead, candidate)
			continue
		}
		candidate.reset()
		c = candidate
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
	c := &conn{Conn: nc, pool: p, endpoint: to, framing: framing.NewResponseTracker()}
	c.idleTimer = stoppedTimer(func() { p.onIdleTimer(c) })
	c.answer.timer = stoppedTimer(c.onAnswerTimer)
	if c.cc, err = p.transport.NewClientConn(context.WithValue(ctx, connKey{}, c), "http", to.Address); err != nil {
		c.Close()
		return nil, fmt.Errorf("connect to %s: %w", to.Address, err)
	}
	return c, nil
}

// release returns a connection to the pool. No response may be outstanding on it.
func (p *Pool) release(c *conn) {
	c.endAnswerWatch()
	if c.cc.Available() == 0 {
		c.discard()
		return
	}
	c.released.Store(true)
	p.mu.Lock()
	c.stopDeliveryTimer()
	c.dropCharge()
	c.headTaken = false
	unwanted := p.closed || !p.wanted[c.endpoint]
	if c.inRead && !unwanted {
		unwanted = !p.park(c)
	} else {
		c.answerRead = true
	}
	p.mu.Unlock()
	if unwanted {
		c.discard()
	}
}

// SetWanted closes the connections to all other endpoints: idle ones at once, and others when they are released.
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

// dropIdle closes the idle connections to an endpoint that does not respond.
func (p *Pool) dropIdle(to Endpoint) {
	p.mu.Lock()
	var all []*conn
	if idle := p.idle[to]; idle != nil {
		all = slices.Collect(idle.All())
	}
	p.drop(all)
}

// drop unparks and closes connections. It is called with p.mu held and unlocks it.
func (p *Pool) drop(conns []*conn) {
	for _, c := range conns {
		p.unpark(c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.discard()
	}
}

// park adds a connection to its endpoint's idle list. It returns false if the connection is closed, or if there is no memory for
// idle ones and it has to be closed. park and unpark are called with p.mu held, so they must not call
// functions that take the connection's own lock.
func (p *Pool) park(c *conn) (parked bool) {
	if c.closed || !p.memory.Reserve(memory.IdleBackends, memory.IdleBackendBytes) {
		return false
	}
	c.parked, c.parkedAt = true, time.Now()
	idle := p.idle[c.endpoint]
	if idle == nil {
		idle = &idleList{}
		p.idle[c.endpoint] = idle
	}
	idle.Push(c)
	if !c.idleTimerSet {
		c.idleTimerSet = true
		c.idleTimer.Reset(p.maxIdle)
	}
	return true
}

// onIdleTimer closes a connection that has been idle for too long. The timer is not stopped when the connection is used.
// Instead, the idle time is checked when it fires, which costs a busy connection one check per maxIdle.
func (p *Pool) onIdleTimer(c *conn) {
	p.mu.Lock()
	c.idleTimerSet = false
	over := false
	if c.parked {
		if left := p.maxIdle - time.Since(c.parkedAt); left > 0 {
			c.idleTimerSet = true
			c.idleTimer.Reset(left)
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
	p.memory.Release(memory.IdleBackends, memory.IdleBackendBytes)
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

// SetLimit changes how many connections may be open. Connections over a lowered limit are not closed at once: they end
// when they have been idle for too long, or are discarded for another reason.
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

// Close closes the idle connections at once, and those in use when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var idle []*conn
	for _, conns := range p.idle {
		idle = slices.AppendSeq(idle, conns.All())
	}
	p.drop(idle)
}

// ConnCounts returns the number of idle connections, and of those in use or being opened.
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
