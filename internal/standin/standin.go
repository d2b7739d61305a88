// Package standin is a whole deployment on loopback for tests and demonstrations: backends that fail on command,
// discovery by the protocol, callers, and an auditor that keeps what really happened. Scripts are data, and what is
// random follows from a seed and a request's id, not from the order of events.
//
// It knows nothing of the proxy under test but its address.
package standin

import (
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"brasswell/internal/standin/audit"
)

// Class is one class of requests, as callers, backends and settings see it.
type Class struct {
	Name   string        `json:"name"`
	Effect audit.Effect  `json:"effect"`
	Aim    time.Duration `json:"aim_ns"`     // an answer after this is worth nothing
	GiveUp time.Duration `json:"give_up_ns"` // how long a caller waits for a try
	Window time.Duration `json:"window_ns"`  // of a Keyed class
	Worth  float64       `json:"worth"`
	Share  float64       `json:"share"` // of all requests
	Work   time.Duration `json:"work_ns"`
}

// Catalogue is the classes of a union catalogue, at a pace for tests.
func Catalogue() []Class {
	return []Class{
		{Name: "search", Effect: audit.Safe, Aim: 750 * time.Millisecond, GiveUp: time.Second, Worth: 3, Share: 0.44, Work: 4 * time.Millisecond},
		{Name: "hold", Effect: audit.Keyed, Aim: time.Second, GiveUp: 2 * time.Second, Window: 7500 * time.Millisecond, Worth: 5, Share: 0.41, Work: 8 * time.Millisecond},
		{Name: "record-add", Effect: audit.Unsafe, Aim: time.Second, GiveUp: 2 * time.Second, Worth: 3, Share: 0.15, Work: 12 * time.Millisecond},
	}
}

// Books is an auditor with the clock that all stand-ins share. Events go into a queue, and whoever notes one goes on at once: an auditor
// behind a lock holds up all stand-ins, for as long as a busy machine does not run the one that has the lock.
type Books struct {
	start time.Time
	audit *audit.Auditor // used by the one that works the queue off

	mu      sync.Mutex // held for no longer than a change of these takes
	queue   []func(a *audit.Auditor)
	working bool // somebody works the queue off
}

// NewBooks begins an audit.
func NewBooks(rules audit.Rules) *Books {
	return &Books{start: time.Now(), audit: audit.New(rules)}
}

// Now is the time since the audit began.
func (b *Books) Now() time.Duration { return b.time(time.Now()) }

// time is a moment as a time of Now.
func (b *Books) time(moment time.Time) time.Duration { return moment.Sub(b.start) }

// note hands the auditor an event that happens now. Events are taken in one by one, in the order in which they are noted.
func (b *Books) note(event func(a *audit.Auditor, now time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	b.add(func(a *audit.Auditor) { event(a, now) })
}

// noteAt hands the auditor an event that happened at a moment, in the order of the notes as well.
func (b *Books) noteAt(moment time.Time, event func(a *audit.Auditor, at time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(func(a *audit.Auditor) { event(a, b.time(moment)) })
}

// add puts an event in the queue, and has it worked off; b.mu must be held.
func (b *Books) add(event func(a *audit.Auditor)) {
	b.queue = append(b.queue, event)
	if !b.working {
		b.working = true
		go b.work()
	}
}

// work takes in events until none is left.
func (b *Books) work() {
	for {
		b.mu.Lock()
		events := b.queue
		b.queue = nil
		b.working = len(events) > 0
		b.mu.Unlock()
		if len(events) == 0 {
			return
		}
		for _, event := range events {
			event(b.audit)
		}
	}
}

// await is note, and returns once the event has been taken in, and all before it.
func (b *Books) await(event func(a *audit.Auditor, now time.Duration)) {
	done := make(chan struct{})
	b.note(func(a *audit.Auditor, now time.Duration) {
		defer close(done)
		event(a, now)
	})
	<-done
}

// Report is the auditor's findings so far.
func (b *Books) Report() (r audit.Report) {
	b.await(func(a *audit.Auditor, _ time.Duration) { r = a.Report() })
	return r
}

// ByHand notes that an operator was told yes: a backend is out, or back.
func (b *Books) ByHand(id string, out bool) {
	b.note(func(a *audit.Auditor, now time.Duration) { a.Told(now, id, out) })
}

// Started notes that a proxy's process starts, with the list as it is now.
func (b *Books) Started(proxy string) {
	b.note(func(a *audit.Auditor, _ time.Duration) { a.Started(proxy) })
}

// DeemTold notes that a server's state counts as told to one proxy since a moment of Now, whether or not it has been written there; off says
// that it drains or is gone.
func (b *Books) DeemTold(proxy, id string, since time.Duration, off bool) {
	b.note(func(a *audit.Auditor, _ time.Duration) { a.ToldProxy(since, proxy, id, off) })
}

// Settle closes the books: what is open has been lost.
func (b *Books) Settle() { b.await(func(a *audit.Auditor, now time.Duration) { a.Settle(now) }) }

// chance is a generator for one request at one place: equal for equal seeds and ids, however events fall.
func chance(seed uint64, place, id string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(place))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// listen opens a listener on loopback: at an address, or on a free port for "".
func listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	return net.Listen("tcp", address)
}

// reset ends a connection so that the other side reads a reset, as when a process dies.
func reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
