// Package callers tracks the callers' connections and keeps their number within limits.
package callers

import (
	"net"
	"net/http"
	"sync"
	"time"

	"brasswell/internal/linked"
	"brasswell/internal/memory"
)

// Set tracks the callers' connections and limits their number. Up to softLimit, all connections are kept. Beyond
// that, each new connection replaces one that has no open request; if there is none to replace, requests are
// refused. At hardLimit, new connections are closed at once. The cost of every operation is independent of the
// number of connections.
//
// The limits protect against callers that connect and send nothing, send only part of a request, or keep connections
// that they no longer use, in any number: a new connection is always either accepted or closed, so the accept queue
// never stalls. The cost is borne by callers that pause for longer than silentGrace before a first request, or for
// longer than headGrace within a head, while many others do the same.
type Set struct {
	softLimit, hardLimit int

	mu sync.Mutex
	// onceIdle is how long a connection that has carried only one request may idle once new connections arrive. Many
	// callers send one request and keep their connection open for good; each such connection costs a descriptor,
	// buffers and a goroutine. A caller that has sent several requests will probably send another one, possibly when
	// no new connection is available.
	onceIdle time.Duration
	open     map[*Conn]struct{}
	active   int
	// byKind holds the connections that have no open request, by kind. Each list is in the order in which the
	// connections entered it.
	byKind [numKinds]linked.List[Conn, *Conn]
	counts [numKinds]int // lengths of the lists in byKind
	closed closeCounts

	parking *Parking        // nil if connections are not parked; set before the first connection
	memory  *memory.Account // set before the first connection

	toClose     []net.Conn // closed after mu is released: a close waits for a running read, and that may wait for mu
	shutdown    bool       // no connection is accepted, and nothing more is read
	lingering   int
	lingerGroup sync.WaitGroup
}

// kind classifies the connections that have no open request.
type kind int

const (
	kindSilent     kind = iota // has sent nothing yet
	kindOnce                   // idle after a single request
	kindIdle                   // idle after several requests
	kindPartial                // has sent part of a head
	kindParkedOnce             // like kindOnce, and parked or about to be
	kindParkedIdle             // like kindIdle, and parked or about to be
	numKinds
	kindBusy kind = -1 // has an open request
)

const (
	// silentGrace is how long a new connection may send nothing before it becomes the first candidate for eviction.
	// Callers connect when they have something to send.
	silentGrace = 100 * time.Millisecond
	// headGrace is how long the bytes of a head may stall before the connection can be evicted if no connection is
	// idle. A connection that sends slowly but steadily is kept.
	headGrace = 500 * time.Millisecond
	// idleGrace is how long a connection that has been answered may be idle before it can be evicted to make room in the
	// account.
	idleGrace = time.Second
)

// NewSet returns a set that keeps up to soft connections, and up to hard while the excess ones are open only so that
// their requests can be refused.
func NewSet(soft, hard int, onceIdle time.Duration) *Set {
	return &Set{softLimit: soft, hardLimit: hard, onceIdle: onceIdle, open: map[*Conn]struct{}{}}
}

// admit adds a new connection to the set. It returns nil if there is no capacity for it.
func (c *Set) admit(conn net.Conn) *Conn {
	c.mu.Lock()
	defer c.unlock()
	now := time.Now()
	c.evictDue([]kind{kindParkedOnce, kindOnce}, maxEvictBatch, func(k *Conn) bool { return now.Sub(k.since) >= c.onceIdle })
	if c.shutdown || len(c.open) >= c.softLimit && !c.evictOne(now) && len(c.open) >= c.hardLimit {
		c.closed.noSocket++
		return nil
	}
	if !c.memory.Reserve(memory.Connections, memory.ConnectionBytes) {
		if !c.evictSlowest(now) || !c.memory.Reserve(memory.Connections, memory.ConnectionBytes) {
			c.closed.noMemory++
			return nil
		}
	}
	k := &Conn{Conn: conn, raw: raw(conn), set: c, kind: kindBusy, held: memory.ConnectionBytes}
	c.open[k] = struct{}{}
	c.setKind(k, kindSilent, now)
	return k
}

// SetMemory sets the account that the connections are charged to. It must be called before the first connection.
func (c *Set) SetMemory(a *memory.Account) { c.memory = a }

// MakeRoom evicts up to count connections that have no open request, to make room in the account.
func (c *Set) MakeRoom(count int) (evicted int) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlock()
	for evicted < count && c.evictSlowest(now) {
		evicted++
	}
	return evicted
}

// evictOne evicts the connection that is least likely to be missed and returns whether there was one: the longest
// silent new connection, else the longest idle one, with those that have carried a single request first, else the
// connection whose head has stalled longest.
func (c *Set) evictOne(now time.Time) bool {
	return c.evictFirst(now, []evictable{
		{kindSilent, silentGrace}, {kindParkedOnce, 0}, {kindOnce, 0}, {kindParkedIdle, 0}, {kindIdle, 0}, {kindPartial, headGrace},
	})
}

// evictSlowest is like evictOne, to make room in the account: callers that are silent or slow go before those that are idle after
// an answer. Parked connections hold no memory to speak of.
func (c *Set) evictSlowest(now time.Time) bool {
	return c.evictFirst(now, []evictable{{kindSilent, silentGrace}, {kindPartial, headGrace}, {kindOnce, idleGrace}, {kindIdle, idleGrace}})
}

// evictable is a kind of connections that may be evicted once they have been of that kind for grace.
type evictable struct {
	kind  kind
	grace time.Duration
}

// evictFirst evicts the oldest connection of the first of the kinds that has one to evict. c.mu must be held.
func (c *Set) evictFirst(now time.Time, order []evictable) bool {
	for _, q := range order {
		if k := c.byKind[q.kind].Front(); k != nil && now.Sub(k.since) >= q.grace {
			c.evict(k)
			return true
		}
	}
	return false
}

// setKind moves a connection to the end of the list of its new kind. c.mu must be held.
func (c *Set) setKind(k *Conn, to kind, now time.Time) {
	if k.kind != kindBusy {
		c.byKind[k.kind].Remove(k)
		c.counts[k.kind]--
	}
	k.kind, k.since = to, now
	if to != kindBusy {
		c.byKind[to].Push(k)
		c.counts[to]++
	}
}

// unlock releases c.mu and closes the connections that were evicted while it was held.
func (c *Set) unlock() {
	toClose := c.toClose
	c.toClose = nil
	c.mu.Unlock()
	for _, conn := range toClose {
		conn.Close()
	}
}

// evict ends a connection that has no open request. c.mu must be held, and unlock closes the connection. Anything
// that the caller has sent meanwhile has not been read, so the caller may send it again.
func (c *Set) evict(k *Conn) {
	k.closed = true
	c.closed.evicted[k.kind]++
	c.remove(k)
	if k.poller != nil {
		k.poller.Drop(k.pollerKey)
		return
	}
	c.toClose = append(c.toClose, k.Conn)
}

func (c *Set) remove(k *Conn) {
	if _, open := c.open[k]; open {
		delete(c.open, k)
		c.memory.Release(memory.Connections, k.held)
		k.held = 0
		k.releaseHead()
		k.releaseReadAhead()
		c.setKind(k, kindBusy, k.since)
		if k.state == http.StateActive {
			c.active--
		}
	}
}

// Track updates the set when the state of a connection changes. It is the server's ConnState hook.
func (c *Set) Track(conn net.Conn, state http.ConnState) {
	k := conn.(*Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		c.remove(k)
		k.state = state
		return
	}
	if _, open := c.open[k]; !open || k.state == state {
		return
	}
	if state == http.StateActive {
		c.activate(k)
		return
	}
	if k.state == http.StateActive {
		c.active--
	}
	k.state = state
	k.releaseHead()
	now := time.Now()
	switch {
	case state != http.StateIdle:
	case k.framing.requestPending():
		c.setKind(k, kindBusy, now) // net/http has read the next request together with the last one
	case !k.framing.atMessageBoundary() || len(k.buffered) > 0:
		c.setKind(k, kindPartial, now) // the next request has begun right after the last one
	case k.requests <= 1:
		c.setKind(k, kindOnce, now)
	default:
		c.setKind(k, kindIdle, now)
	}
}

// beginRequest records that a connection's next request is served. net/http does not report that by a change of state if
// it has read the request together with the one before it. Without this, such a request would count as none: its
// connection could be closed like an idle one, and nothing would be read that tells that its caller has left.
func (c *Set) beginRequest(k *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.open[k]; open && k.state != http.StateActive {
		c.activate(k)
	}
}

// activate records that a connection has an open request. c.mu must be held.
func (c *Set) activate(k *Conn) {
	k.state = http.StateActive
	k.answering.Store(false)
	c.active++
	k.requests++
	c.setKind(k, kindBusy, time.Now())
}

// OverSoftLimit reports whether more requests are open than the soft limit allows connections.
func (c *Set) OverSoftLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active > c.softLimit
}

// CloseIdle closes the connections on which no request has begun for at least minIdle, and returns the number of the
// others.
func (c *Set) CloseIdle(minIdle time.Duration) (others int) {
	now := time.Now()
	for {
		c.mu.Lock()
		evicted := c.evictDue([]kind{kindSilent, kindOnce, kindIdle, kindParkedOnce, kindParkedIdle}, maxEvictBatch, func(k *Conn) bool { return now.Sub(k.since) >= minIdle })
		others = len(c.open)
		c.unlock()
		if evicted < maxEvictBatch {
			return others
		}
	}
}

// Shutdown stops accepting connections and closes those that have no open request, including those whose request has
// been read in part or is just being passed to the server. Nothing more is read, so callers may send anything
// unanswered again. It returns the number of the remaining connections.
func (c *Set) Shutdown() (busy int) {
	c.mu.Lock()
	defer c.unlock()
	c.shutdown = true
	c.evictDue([]kind{kindSilent, kindOnce, kindIdle, kindPartial, kindParkedOnce, kindParkedIdle}, len(c.open), func(*Conn) bool { return true })
	return len(c.open)
}

// maxEvictBatch bounds how many connections are evicted with the lock held, since all other connections wait for it.
const maxEvictBatch = 256

// evictDue evicts connections of the given kinds while they are due, those that have been of their kind longest
// first and at most limit in all. It returns their number. c.mu must be held.
func (c *Set) evictDue(kinds []kind, limit int, due func(*Conn) bool) (evicted int) {
	for _, kind := range kinds {
		for k := c.byKind[kind].Front(); k != nil && evicted < limit && due(k); k = c.byKind[kind].Front() {
			c.evict(k)
			evicted++
		}
	}
	return evicted
}

// SetLimits changes how many connections are kept. Connections over the new limits stay until their capacity is
// needed.
func (c *Set) SetLimits(soft, hard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.softLimit, c.hardLimit = soft, hard
}

// Len returns the number of open connections.
func (c *Set) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// SetOnceIdle changes how long a connection that has carried a single request may idle once new connections arrive.
func (c *Set) SetOnceIdle(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onceIdle = d
}

// States returns the number of connections in each state, by name.
func (c *Set) States() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{
		"silent": c.counts[kindSilent], "once": c.counts[kindOnce] + c.counts[kindParkedOnce], "idle": c.counts[kindIdle] + c.counts[kindParkedIdle],
		"partial": c.counts[kindPartial], "busy": len(c.open),
	}
	for _, n := range c.counts {
		counts["busy"] -= n
	}
	return counts
}
