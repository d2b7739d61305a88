// Package cluster is a proxy's part in its fleet: it puts the view (who is there), the link (sockets) and the folder
// together, and tells the rest of the process. One goroutine owns the view and decides with it; all others hand it events.
//
//	internal/cluster         a Node: owner, log lines, figures, `brasswell ctl fleet`
//	internal/cluster/view    decides; no I/O, no clock
//	internal/cluster/parts   decides which part of what all may do together is this proxy's own
//	internal/cluster/codec   bytes on the wire and on disk
//	internal/cluster/link    sockets
//	internal/cluster/model   many views on a clock of its own, for tests and experiments
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

// The log's lines about the fleet, which package rig reads back.
const (
	LogMember = "fleet: member" // a change of the view
	LogSelf   = "fleet: self"   // what this process has found out about itself
)

const (
	// mostWaiting events stand before the owner; datagrams beyond are dropped, as the network would. In a fleet of 1,400 as many
	// may ask or answer within milliseconds.
	maxQueuedEvents = 4096
	// mostExchanges full exchanges are begun at one time.
	maxExchanges = 2
	// bindEvery is between tries for an address that the process before this one still holds.
	bindInterval = 20 * time.Millisecond
	// leaveTime bounds what a leaving process waits for its owner.
	leaveTimeout = 500 * time.Millisecond
	// Followers are told how the view stands at most so often that it takes about one part in tellShare of the time, since in a fleet of
	// a thousand that starts or is cut apart the view changes with every message; and at least every mostTellWait while it changes. At
	// 1,400 members to tell takes 0.6 ms, so they know of a change 120 ms later at most, which is within the shortest patience of who
	// waits for an answer.
	notifyCostRatio, maxNotifyInterval = 200, time.Second
)

// Config is what a node is told.
type Config struct {
	Options    Options
	Name       string // this member's
	Seed       uint64
	InstanceID uint64 // drawn at random at each start
	// Succeeds: another process of this proxy may still hold the address, and will let go of it.
	ReplacesProcess bool
	// Path stands for the network between members in scale runs; nil for the network as it is.
	Path link.Path
	Log  *slog.Logger
}

// event is one thing for the owner to do.
type event func(v *view.View, now time.Duration)

// Node is this process as a member of its fleet. Its methods may be called at any time.
type Node struct {
	config    Config
	view      *view.View // the owner's
	startedAt time.Time
	events    chan event
	requests  chan event // from this process's own, never dropped

	link            atomic.Pointer[link.Link] // nil until the address is ours
	dropped         atomic.Int64              // datagrams that found the owner's line full
	exchanges       chan struct{}
	viewChanged     bool                                             // the view has changed since followers were told; the owner's
	notifyAt        time.Duration                                    // when they may be told next; the owner's
	followers       []func(view.Snapshot)                            // the owner's
	payloadHandlers [endpointKinds]atomic.Pointer[func(body []byte)] // by kind

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	closing sync.Once
	folder  *folder
}

// Open opens the sockets and begins to look for the fleet.
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

// takeOver waits until the process before this one has let go of the address.
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
			n.config.Log.Info(LogSelf, "what", "has taken the address over")
			return
		case !errors.Is(err, syscall.EADDRINUSE):
			n.config.Log.Error(LogSelf, "what", "cannot take the address over; this proxy is no member", "error", err)
			return
		}
	}
}

func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// own is the goroutine that the view belongs to.
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

// tellFollowers tells the folder and all followers how the view stands. The owner calls it.
func (n *Node) notifyFollowers() {
	began := n.now()
	if n.folder.enabled() {
		n.folder.save(n.view.Table())
	}
	if len(n.followers) > 0 {
		standing := n.view.Snapshot(began)
		for _, f := range n.followers {
			f(standing)
		}
	}
	n.notifyAt = began + notifyInterval(n.now()-began)
}

// tellPause is how long after followers were told, which took so long, they are told again at the earliest.
func notifyInterval(took time.Duration) time.Duration {
	return min(notifyCostRatio*took, maxNotifyInterval)
}

// ask has the owner do something and waits until it is done; false if the node is closed.
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

// handler is the link's side of a node.
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
		return // of a later version's part
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

// sender is the name of who has sent from an address; the address where none is known. It is who accuses where a record
// does not say.
func senderName(v *view.View, address string) string {
	if name := v.NameAt(address); name != "" {
		return name
	}
	return address
}

// host is the view's side of a node; its methods run on the owner.
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
		return // the next difference begins another
	}
	table := h.view.Table()
	h.running.Go(func() {
		defer func() { <-h.exchanges }()
		got, err := l.Exchange(h.ctx, to, table)
		if err != nil {
			h.config.Log.Debug("fleet: an exchange failed", "with", to, "error", err)
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
		log.Warn(LogSelf, "what", string(c.Why), "health", "what was believed is looked at again")
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

// Part is a part of the program that talks to its like at other members, by parcels of its own. The kind stands before each.
type Endpoint struct {
	*Node
	kind byte
}

// Carrier is the fleet's link as a part sees it: a Part, or a test's own.
type Carrier interface {
	Carry(to string, body []byte)
	OnParcel(take func(body []byte))
	Follow(f func(view.Snapshot))
}

var _ Carrier = Endpoint{}

// The kinds of parts.
const (
	AgreementKind byte = iota + 1 // package agreement
	RecoveryKind                  // package recovery
	endpointKinds
)

// Part is the part of a kind.
func (n *Node) Endpoint(kind byte) Endpoint { return Endpoint{n, kind} }

// Carry sends a parcel to a member's address. It does not block, and the parcel may be lost.
func (p Endpoint) Carry(to string, body []byte) {
	if l := p.link.Load(); l != nil {
		l.SendPayload(to, append([]byte{p.kind}, body...))
	}
}

// CarryLatest does the same for a parcel of which only the newest of its topic counts: one that still waits to be sent to that address
// is not.
func (p Endpoint) CarryLatest(to, topic string, body []byte) {
	if l := p.link.Load(); l != nil {
		l.SendLatestPayload(to, string([]byte{p.kind})+topic, append([]byte{p.kind}, body...))
	}
}

// OnParcel has take called with each parcel of this kind that comes, from several goroutines; it must not block for long.
func (p Endpoint) OnParcel(take func(body []byte)) { p.payloadHandlers[p.kind].Store(&take) }

// Follow tells f how the view stands, now and after every change, in order and from one goroutine. Changes that come close together
// are told as one. f must not block.
func (n *Node) Follow(f func(view.Snapshot)) {
	n.do(n.ctx, func(v *view.View, now time.Duration) {
		n.followers = append(n.followers, f)
		f(v.Snapshot(now))
	})
}

// SetSeeds replaces the addresses by which the fleet is found.
func (n *Node) SetSeeds(seeds []string) {
	n.do(n.ctx, func(v *view.View, now time.Duration) { v.SetSeeds(now, seeds) })
}

// Standing is how the view stands, and how long ago each member came into its state.
func (n *Node) Snapshot(ctx context.Context) (s view.Snapshot, now time.Duration, ok bool) {
	ok = n.do(ctx, func(v *view.View, at time.Duration) { s, now = v.Snapshot(at), at })
	return s, now, ok
}

// Counts is what has passed on the link; lost is what the owner had no time for.
func (n *Node) Counts() (c link.Counts, lost int64) {
	if l := n.link.Load(); l != nil {
		c = l.Counts()
	}
	return c, n.dropped.Load()
}

// Close ends this process's part in the fleet and returns once nothing of it runs. With leave it says so to others;
// without, as where another process of this proxy goes on, it lets go of the address and says nothing.
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

// HandOver lets go of the address for another process of this proxy, which is the same member: nothing is said to others.
func (n *Node) HandOver() { n.Close(false) }
