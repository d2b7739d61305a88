// Package callers keeps the callers' connections within their share of the sockets.
package callers

import (
	"net"
	"net/http"
	"sync"
	"time"

	"brasswell/internal/linked"
)

// Set tracks the callers' connections within their share of the sockets. Up to soft all are kept. Beyond,
// each new one takes the place of one on which no request is open, and where there is none, requests are
// refused; at hard, new connections are closed at once. Every step costs the same however many there are.
//
// It guards against callers that connect and say nothing, say half of what they want, or keep what they no longer
// use, and should hold against any pile of such connections: a newcomer always gets in or gets a close, so the accept
// queue never stands still. It would harm callers who pause for over silentGrace before a first request, or for over
// headGrace within a head, while so many others do the same.
type Set struct {
	softLimit, hardLimit int

	mu sync.Mutex
	// onceIdle is how long a connection that has carried a single request so far may idle, once others come. Many
	// callers ask once and keep their connection for good; each costs a descriptor, buffers and a goroutine. Who
	// has asked again will do so, maybe when no new connection can be had.
	onceIdle time.Duration
	open     map[*Conn]struct{}
	active   int
	// waiting holds the connections on which no request is open by what is known of them, in the order in which they
	// became so.
	byKind [numKinds]linked.List[Conn, *Conn]
	counts [numKinds]int // how many are in each

	parking *Parking // nil where none is parked; set before the first connection

	toClose     []net.Conn // to be closed once mu is let go of: a close waits for a read that may wait for mu
	shutdown    bool       // no connection is taken in, and nothing more is read
	lingering   int
	lingerGroup sync.WaitGroup
}

// kind is what a connection on which no request is open is known for.
type kind int

const (
	kindSilent     kind = iota // has said nothing yet
	kindOnce                   // idles after a single request
	kindIdle                   // idles after several
	kindPartial                // has begun a head, and not ended it
	kindParkedOnce             // like once, and is parked or about to be
	kindParkedIdle             // like idling
	numKinds
	kindBusy kind = -1 // has a request open
)

const (
	// silentGrace is how long a connection may stay silent before it goes first when room is wanted. Callers connect
	// when they have something to send.
	silentGrace = 100 * time.Millisecond
	// headGrace is how long a head may stand still before its connection goes when room is wanted and nothing idles.
	// Who writes slowly and moves is kept.
	headGrace = 500 * time.Millisecond
)

// NewSet holds up to soft connections, and up to hard while some are open only to be refused.
func NewSet(soft, hard int, onceIdle time.Duration) *Set {
	return &Set{softLimit: soft, hardLimit: hard, onceIdle: onceIdle, open: map[*Conn]struct{}{}}
}

// admit takes a new connection in, or nil if there is no place for it.
func (c *Set) admit(conn net.Conn) *Conn {
	c.mu.Lock()
	defer c.unlock()
	now := time.Now()
	c.evictDue([]kind{kindParkedOnce, kindOnce}, maxEvictBatch, func(k *Conn) bool { return now.Sub(k.since) >= c.onceIdle })
	if c.shutdown || len(c.open) >= c.softLimit && !c.evictOne(now) && len(c.open) >= c.hardLimit {
		return nil
	}
	k := &Conn{Conn: conn, raw: raw(conn), set: c, kind: kindBusy}
	c.open[k] = struct{}{}
	c.setKind(k, kindSilent, now)
	return k
}

// makeRoom ends the connection that is missed least: the one that has been silent longest from the start, or
// else has idled longest, of those that have carried a single request if there are any, or else the head that has stood
// still longest.
func (c *Set) evictOne(now time.Time) bool {
	for _, q := range []struct {
		kind  kind
		grace time.Duration
	}{{kindSilent, silentGrace}, {kindParkedOnce, 0}, {kindOnce, 0}, {kindParkedIdle, 0}, {kindIdle, 0}, {kindPartial, headGrace}} {
		if k := c.byKind[q.kind].Front(); k != nil && now.Sub(k.since) >= q.grace {
			c.evict(k)
			return true
		}
	}
	return false
}

// become moves a connection to the end of the list of its new kind; c.mu must be held.
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

// unlock lets go of c.mu, and closes the connections that were ended while it was held.
func (c *Set) unlock() {
	closing := c.toClose
	c.toClose = nil
	c.mu.Unlock()
	for _, conn := range closing {
		conn.Close()
	}
}

// end ends a connection on which no request is open; c.mu must be held, and unlock closes the connection. What the caller may have
// sent meanwhile has not been read, so it may be sent again.
func (c *Set) evict(k *Conn) {
	k.closed = true
	c.remove(k)
	if k.lot != nil {
		k.lot.Drop(k.lotKey)
		return
	}
	c.toClose = append(c.toClose, k.Conn)
}

func (c *Set) remove(k *Conn) {
	if _, open := c.open[k]; open {
		delete(c.open, k)
		c.setKind(k, kindBusy, k.since)
		if k.state == http.StateActive {
			c.active--
		}
	}
}

// Track is the server's ConnState hook.
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
	if k.state == http.StateActive {
		c.active--
	}
	k.state = state
	now := time.Now()
	switch {
	case state == http.StateActive:
		c.active++
		k.requests++
		c.setKind(k, kindBusy, now)
	case state != http.StateIdle:
	case !k.framing.Between():
		c.setKind(k, kindPartial, now) // the next request has begun behind the last
	case k.requests <= 1:
		c.setKind(k, kindOnce, now)
	default:
		c.setKind(k, kindIdle, now)
	}
}

// Crowded says whether there are more open requests than sockets for them.
func (c *Set) OverSoftLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active > c.softLimit
}

// CloseQuiet closes the connections on which no request has begun for so long, and counts the others.
func (c *Set) CloseIdle(minIdle time.Duration) (others int) {
	now := time.Now()
	for {
		c.mu.Lock()
		ended := c.evictDue([]kind{kindSilent, kindOnce, kindIdle, kindParkedOnce, kindParkedIdle}, maxEvictBatch, func(k *Conn) bool { return now.Sub(k.since) >= minIdle })
		others = len(c.open)
		c.unlock()
		if ended < maxEvictBatch {
			return others
		}
	}
}

// Shut takes no connection in any more and closes those on which no request is open, also where one has been read in part or is just
// being handed on: nothing more is read, so callers may send what they get no answer for again. It counts the others.
func (c *Set) Shutdown() (busy int) {
	c.mu.Lock()
	defer c.unlock()
	c.shutdown = true
	c.evictDue([]kind{kindSilent, kindOnce, kindIdle, kindPartial, kindParkedOnce, kindParkedIdle}, len(c.open), func(*Conn) bool { return true })
	return len(c.open)
}

// mostAtOnce bounds the connections that are closed with the lock held, for which all others wait.
const maxEvictBatch = 256

// endFirst ends so many connections of these kinds at most, the longest so first, while they are due; c.mu must be held.
func (c *Set) evictDue(kinds []kind, limit int, due func(*Conn) bool) (ended int) {
	for _, kind := range kinds {
		for k := c.byKind[kind].Front(); k != nil && ended < limit && due(k); k = c.byKind[kind].Front() {
			c.evict(k)
			ended++
		}
	}
	return ended
}

// SetLimits changes how many connections are kept. Those that are over the new limits stay until their places are
// wanted.
func (c *Set) SetLimits(soft, hard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.softLimit, c.hardLimit = soft, hard
}

// Len is how many connections are open.
func (c *Set) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// SetOnceIdle changes how long a connection that has carried a single request may idle once others come.
func (c *Set) SetOnceIdle(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onceIdle = d
}

// States counts the connections by what is known of them.
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
