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
	soft, hard int

	mu sync.Mutex
	// onceIdle is how long a connection that has carried a single request so far may idle, once others come. Many
	// callers ask once and keep their connection for good; each costs a descriptor, buffers and a goroutine. Who
	// has asked again will do so, maybe when no new connection can be had.
	onceIdle time.Duration
	open     map[*Conn]struct{}
	active   int
	// waiting holds the connections on which no request is open by what is known of them, in the order in which they
	// became so.
	waiting [kinds]linked.List[Conn, *Conn]
	many    [kinds]int // how many are in each

	parking *Parking // nil where none is parked; set before the first connection

	closing   []net.Conn // to be closed once mu is let go of: a close waits for a read that may wait for mu
	shut      bool       // no connection is taken in, and nothing more is read
	lingering int
	lingers   sync.WaitGroup
}

// kind is what a connection on which no request is open is known for.
type kind int

const (
	silent     kind = iota // has said nothing yet
	once                   // idles after a single request
	idling                 // idles after several
	partial                // has begun a head, and not ended it
	parkedOnce             // like once, and is parked or about to be
	parkedIdle             // like idling
	kinds
	busy kind = -1 // has a request open
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
	return &Set{soft: soft, hard: hard, onceIdle: onceIdle, open: map[*Conn]struct{}{}}
}

// admit takes a new connection in, or nil if there is no place for it.
func (c *Set) admit(conn net.Conn) *Conn {
	c.mu.Lock()
	defer c.unlock()
	now := time.Now()
	c.endFirst([]kind{parkedOnce, once}, mostAtOnce, func(k *Conn) bool { return now.Sub(k.since) >= c.onceIdle })
	if c.shut || len(c.open) >= c.soft && !c.makeRoom(now) && len(c.open) >= c.hard {
		return nil
	}
	k := &Conn{Conn: conn, raw: raw(conn), set: c, kind: busy}
	c.open[k] = struct{}{}
	c.become(k, silent, now)
	return k
}

// makeRoom ends the connection that is missed least: the one that has been silent longest from the start, or
// else has idled longest, of those that have carried a single request if there are any, or else the head that has stood
// still longest.
func (c *Set) makeRoom(now time.Time) bool {
	for _, q := range []struct {
		kind  kind
		grace time.Duration
	}{{silent, silentGrace}, {parkedOnce, 0}, {once, 0}, {parkedIdle, 0}, {idling, 0}, {partial, headGrace}} {
		if k := c.waiting[q.kind].Front(); k != nil && now.Sub(k.since) >= q.grace {
			c.end(k)
			return true
		}
	}
	return false
}

// become moves a connection to the end of the list of its new kind; c.mu must be held.
func (c *Set) become(k *Conn, to kind, now time.Time) {
	if k.kind != busy {
		c.waiting[k.kind].Remove(k)
		c.many[k.kind]--
	}
	k.kind, k.since = to, now
	if to != busy {
		c.waiting[to].Push(k)
		c.many[to]++
	}
}

// unlock lets go of c.mu, and closes the connections that were ended while it was held.
func (c *Set) unlock() {
	closing := c.closing
	c.closing = nil
	c.mu.Unlock()
	for _, conn := range closing {
		conn.Close()
	}
}

// end ends a connection on which no request is open; c.mu must be held, and unlock closes the connection. What the caller may have
// sent meanwhile has not been read, so it may be sent again.
func (c *Set) end(k *Conn) {
	k.ended = true
	c.forget(k)
	if k.lot != nil {
		k.lot.Drop(k.key)
		return
	}
	c.closing = append(c.closing, k.Conn)
}

func (c *Set) forget(k *Conn) {
	if _, open := c.open[k]; open {
		delete(c.open, k)
		c.become(k, busy, k.since)
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
		c.forget(k)
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
		c.become(k, busy, now)
	case state != http.StateIdle:
	case !k.framing.AtMessageBoundary():
		c.become(k, partial, now) // the next request has begun behind the last
	case k.requests <= 1:
		c.become(k, once, now)
	default:
		c.become(k, idling, now)
	}
}

// Crowded says whether there are more open requests than sockets for them.
func (c *Set) OverSoftLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active > c.soft
}

// CloseQuiet closes the connections on which no request has begun for so long, and counts the others.
func (c *Set) CloseIdle(quiet time.Duration) (others int) {
	now := time.Now()
	for {
		c.mu.Lock()
		ended := c.endFirst([]kind{silent, once, idling, parkedOnce, parkedIdle}, mostAtOnce, func(k *Conn) bool { return now.Sub(k.since) >= quiet })
		others = len(c.open)
		c.unlock()
		if ended < mostAtOnce {
			return others
		}
	}
}

// Shut takes no connection in any more and closes those on which no request is open, also where one has been read in part or is just
// being handed on: nothing more is read, so callers may send what they get no answer for again. It counts the others.
func (c *Set) Shutdown() (busy int) {
	c.mu.Lock()
	defer c.unlock()
	c.shut = true
	c.endFirst([]kind{silent, once, idling, partial, parkedOnce, parkedIdle}, len(c.open), func(*Conn) bool { return true })
	return len(c.open)
}

// mostAtOnce bounds the connections that are closed with the lock held, for which all others wait.
const mostAtOnce = 256

// endFirst ends so many connections of these kinds at most, the longest so first, while they are due; c.mu must be held.
func (c *Set) endFirst(kinds []kind, most int, due func(*Conn) bool) (ended int) {
	for _, kind := range kinds {
		for k := c.waiting[kind].Front(); k != nil && ended < most && due(k); k = c.waiting[kind].Front() {
			c.end(k)
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
	c.soft, c.hard = soft, hard
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
		"silent": c.many[silent], "once": c.many[once] + c.many[parkedOnce], "idle": c.many[idling] + c.many[parkedIdle],
		"partial": c.many[partial], "busy": len(c.open),
	}
	for _, n := range c.many {
		counts["busy"] -= n
	}
	return counts
}
