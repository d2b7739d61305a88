// Package cluster makes a proxy a member of its fleet: it connects the view (which members are present), the link (sockets) and the
// folder, and notifies the rest of the process. One goroutine, the owner, runs the view; all others send it events.
//
//	internal/cluster         a Node: owner, log lines, figures, `brasswell ctl fleet`
//	internal/cluster/view    membership decisions; no I/O, no clock
//	internal/cluster/parts   this proxy's share of limits that apply to the whole fleet
//	internal/cluster/codec   encoding on the wire and on disk
//	internal/cluster/link    sockets
//	internal/cluster/model   simulation of many views, for tests and experiments
package cluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"brasswell/internal/cluster/link"
	"brasswell/internal/cluster/view"
)

// Log messages about the fleet, which package rig parses.
const (
	LogMember = "fleet: member" // a change of the view
	LogSelf   = "fleet: self"   // a finding about this process itself
)

const (
	// maxQueuedEvents bounds the events queued for the owner; further datagrams are dropped, as on the network. In a fleet of 1,400
	// that many members may send within milliseconds.
	maxQueuedEvents = 4096
	// maxExchanges bounds the concurrent full exchanges that this process starts.
	maxExchanges = 2
	// bindInterval is the time between attempts to bind an address that the previous process still holds.
	bindInterval = 20 * time.Millisecond
	// leaveTimeout bounds how long Close waits for the owner to announce that this process leaves.
	leaveTimeout = 500 * time.Millisecond
	// The interval between notifications of followers is notifyCostRatio times the duration of the last one, so that they take about
	// 1/notifyCostRatio of the time: in a fleet of a thousand that starts or is partitioned, the view changes with each message. It is at
	// most maxNotifyInterval. At 1,400 members a notification takes 0.6 ms, so a change is reported after 120 ms at most, which is within
	// the shortest deadline of callers that wait for an answer.
	notifyCostRatio, maxNotifyInterval = 200, time.Second
)

// Config configures a Node.
type Config struct {
	Options    Options
	Name       string // of this member
	Seed       uint64
	InstanceID uint64 // drawn at random at each start
	// ReplacesProcess is set if another process of this proxy may still hold the address and will release it.
	ReplacesProcess bool
	// Path simulates the network between members in scale runs; nil uses the network unchanged.
	Path link.Path
	Log  *slog.Logger
}

// event is a function that the owner calls.
type event func(v *view.View, now time.Duration)

// Node is this process as a member of its fleet. Its methods are safe for concurrent use.
type Node struct {
	config    Config
	view      *view.View // used by the owner only
	startedAt time.Time
	events    chan event
	requests  chan event // from this process itself; never dropped

	link            atomic.Pointer[link.Link] // nil until this process has bound the address
	dropped         atomic.Int64              // datagrams dropped because the owner's queue was full
	exchanges       chan struct{}
	viewChanged     bool                                             // since the last notification; used by the owner only
	notifyAt        time.Duration                                    // earliest next notification; used by the owner only
	followers       []func(view.Snapshot)                            // used by the owner only
	payloadHandlers [endpointKinds]atomic.Pointer[func(body []byte)] // by kind

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	closing sync.Once
	folder  *folder
}

// Open opens the sockets and starts to join the fleet.
func Open(c Config) (*Node, error) {
	n := &Node{
		config: c, startedAt: time.Now(), events: make(chan event, maxQueuedEvents), requests: make(chan event), exchanges: make(chan struct{}, maxExchanges),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	l, err := n.listen()
	if err != nil && !(c.ReplacesProcess && errors.Is(err, syscall.EADDRINUSE)) {
		n.cancel()
		return nil, err
	}
	address := c.Options.Advertise
	if address == "" {
		address = c.Options.Listen
	}
	n.folder = newFolder(c.Options.Folder, c.Options.Name, c.Log)
	seeds := append(slices.Clone(c.Options.Seeds), n.folder.addresses(address)...)
	n.view, err = view.New(0, view.Settings{
		Name: c.Name, Address: address, InstanceID: c.InstanceID, Period: c.Options.Period, Seeds: seeds, MaxMembers: c.Options.MaxMembers,
	}, c.Seed, host{n})
	if err != nil {
		n.cancel()
		if l != nil {
			l.Close()
		}
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if l != nil {
		n.link.Store(l)
	} else {
		n.running.Go(n.awaitAddress)
	}
	n.running.Go(n.run)
	return n, nil
}

func (n *Node) listen() (*link.Link, error) {
	o := &n.config.Options
	return link.Listen(link.Config{Fleet: o.Name, Listen: o.Listen, Networks: o.prefixes(), Path: n.config.Path}, handler{n})
}

// awaitAddress retries until the previous process has released the address.
func (n *Node) awaitAddress() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(bindInterval):
		}
		l, err := n.listen()
		switch {
		case err == nil:
			n.link.Store(l)
			n.config.Log.Info(LogSelf, "what", "has bound the address released by the previous process")
			return
		case !errors.Is(err, syscall.EADDRINUSE):
			n.config.Log.Error(LogSelf, "what", "cannot bind the address; this proxy is not a member of the fleet", "error", err)
			return
		}
	}
}

func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// run is the owner, the goroutine that uses the view.
func (n *Node) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		next := n.view.Next()
		if n.viewChanged {
			next = min(next, n.notifyAt)
		}
		timer.Reset(next - n.now())
		select {
		case <-n.ctx.Done():
			return
		case e := <-n.events:
			e(n.view, n.now())
		case e := <-n.requests:
			e(n.view, n.now())
		case <-timer.C:
			if now := n.now(); now >= n.view.Next() {
				n.view.Wake(now)
			}
		}
		if n.viewChanged && n.now() >= n.notifyAt {
			n.viewChanged = false
			n.notifyFollowers()
		}
	}
}

// notifyFollowers passes the current members to the folder and a snapshot of the view to all followers. Only the owner calls it.
func (n *Node) notifyFollowers() {
	began := n.now()
	if n.folder.enabled() {
		n.folder.save(n.view.Table())
	}
	if len(n.followers) > 0 {
		snapshot := n.view.Snapshot(began)
		for _, f := range n.followers {
			f(snapshot)
		}
	}
	n.notifyAt = began + notifyInterval(n.now()-began)
}

// notifyInterval returns the minimum time from the start of a notification that took the given time to the next one.
func notifyInterval(took time.Duration) time.Duration {
	return min(notifyCostRatio*took, maxNotifyInterval)
}

// do has the owner call e and waits until it has returned. It returns false if the node is closed or ctx is done before.
func (n *Node) do(ctx context.Context, e event) bool {
	done := make(chan struct{})
	select {
	case n.requests <- func(v *view.View, now time.Duration) { defer close(done); e(v, now) }:
		<-done
		return true
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	return false
}

// handler implements link.Handler for a node.
type handler struct{ *Node }

func (h handler) Datagram(from string, m *view.Message) {
	select {
	case h.events <- func(v *view.View, now time.Duration) { v.Receive(now, from, m) }:
	default:
		h.dropped.Add(1)
	}
}

func (h handler) Payload(body []byte) {
	if len(body) == 0 || body[0] == 0 || body[0] >= endpointKinds {
		return // an endpoint kind of a later version
	}
	if take := h.payloadHandlers[body[0]].Load(); take != nil {
		(*take)(body[1:])
	}
}

func (h handler) Exchange(ctx context.Context, from string, table []view.Record) (own []view.Record, err error) {
	if !h.do(ctx, func(v *view.View, now time.Duration) {
		own = v.Table()
		v.Merge(now, table, senderName(v, from))
	}) {
		return nil, errors.New("fleet: closed")
	}
	return own, nil
}

// senderName returns the name of the member with an address, or the address if none is known. It names the accuser if a record does
// not.
func senderName(v *view.View, address string) string {
	if name := v.NameAt(address); name != "" {
		return name
	}
	return address
}

// host implements view.Host for a node; its methods run on the owner.
type host struct{ *Node }

func (h host) Send(to string, m *view.Message) {
	if l := h.link.Load(); l != nil {
		l.Send(to, m)
	}
}

func (h host) Exchange(to string) {
	l := h.link.Load()
	if l == nil {
		return
	}
	select {
	case h.exchanges <- struct{}{}:
	default:
		return // the next message with a different digest starts another
	}
	table := h.view.Table()
	h.running.Go(func() {
		defer func() { <-h.exchanges }()
		got, err := l.Exchange(h.ctx, to, table)
		if err != nil {
			h.config.Log.Debug("fleet: full exchange failed", "with", to, "error", err)
			return
		}
		h.do(h.ctx, func(v *view.View, now time.Duration) { v.Merge(now, got, senderName(v, to)) })
	})
}

func (h host) Changed(c view.Change) {
	h.viewChanged = true
	log := h.config.Log
	switch c.Why {
	case view.Paused:
		log.Warn(LogSelf, "what", string(c.Why), "health", "suspicions raised before the pause start anew")
	case view.Displaced, view.Duplicate:
		log.Error(LogSelf, "what", string(c.Why), "address", c.Address, "boot", strconv.FormatUint(c.InstanceID, 16), "incarnation", c.Incarnation)
	case view.Retaken:
		log.Warn(LogSelf, "what", string(c.Why), "boot", strconv.FormatUint(c.InstanceID, 16), "incarnation", c.Incarnation)
	default:
		was := "unknown"
		if c.Was != 0 {
			was = c.Was.String()
		}
		log.Info(LogMember, "member", c.Name, "state", c.State.String(), "was", was, "why", string(c.Why), "by", c.By,
			"incarnation", c.Incarnation, "boot", strconv.FormatUint(c.InstanceID, 16), "address", c.Address)
	}
}

// Endpoint lets one component of the program exchange payloads with the same component at other members. Each payload is prefixed with
// the endpoint's kind.
type Endpoint struct {
	*Node
	kind byte
}

// Carrier is the fleet's transport as a component uses it: an Endpoint, or a fake in tests.
type Carrier interface {
	SendPayload(to string, body []byte)
	OnPayload(receive func(body []byte))
	Follow(f func(view.Snapshot))
}

var _ Carrier = Endpoint{}

// The kinds of endpoints.
const (
	AgreementKind byte = iota + 1 // package agreement
	RecoveryKind                  // package recovery
	endpointKinds
)

// Endpoint returns the endpoint of a kind.
func (n *Node) Endpoint(kind byte) Endpoint { return Endpoint{n, kind} }

// SendPayload sends a payload to a member's address. It does not block, and the payload may be lost.
func (p Endpoint) SendPayload(to string, body []byte) {
	if l := p.link.Load(); l != nil {
		l.SendPayload(to, append([]byte{p.kind}, body...))
	}
}

// SendLatestPayload does the same for a payload that supersedes earlier ones of its topic: it replaces one that is still queued for
// that address.
func (p Endpoint) SendLatestPayload(to, topic string, body []byte) {
	if l := p.link.Load(); l != nil {
		l.SendLatestPayload(to, string([]byte{p.kind})+topic, append([]byte{p.kind}, body...))
	}
}

// OnPayload sets the function that is called with each received payload of this kind. It is called from several goroutines and must not
// block for long.
func (p Endpoint) OnPayload(receive func(body []byte)) { p.payloadHandlers[p.kind].Store(&receive) }

// Follow calls f with a snapshot of the view now and after changes, in order and from one goroutine. Changes in quick succession are
// coalesced into one call. f must not block.
func (n *Node) Follow(f func(view.Snapshot)) {
	n.do(n.ctx, func(v *view.View, now time.Duration) {
		n.followers = append(n.followers, f)
		f(v.Snapshot(now))
	})
}

// SetSeeds replaces the seed addresses.
func (n *Node) SetSeeds(seeds []string) {
	n.do(n.ctx, func(v *view.View, now time.Duration) { v.SetSeeds(now, seeds) })
}

// Snapshot returns a snapshot of the view and the time on the node's clock, to which Member.Since refers; ok is false if the node is
// closed or ctx is done before.
func (n *Node) Snapshot(ctx context.Context) (s view.Snapshot, now time.Duration, ok bool) {
	ok = n.do(ctx, func(v *view.View, at time.Duration) { s, now = v.Snapshot(at), at })
	return s, now, ok
}

// Counts returns the link's counts; lost is the number of datagrams dropped because the owner's queue was full.
func (n *Node) Counts() (c link.Counts, lost int64) {
	if l := n.link.Load(); l != nil {
		c = l.Counts()
	}
	return c, n.dropped.Load()
}

// Close ends this process's membership and returns once all its goroutines have ended. With leave it announces to other members that
// it leaves; without, as when another process of this proxy takes over, it only releases the address.
func (n *Node) Close(leave bool) {
	n.closing.Do(func() {
		if leave {
			ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
			n.do(ctx, func(v *view.View, now time.Duration) { v.Leave(now) })
			cancel()
		}
		n.cancel()
		n.running.Wait()
		if l := n.link.Load(); l != nil {
			l.Close()
		}
		n.folder.close()
	})
}

// HandOver releases the address for another process of this proxy, which continues as the same member: nothing is announced to others.
func (n *Node) HandOver() { n.Close(false) }
