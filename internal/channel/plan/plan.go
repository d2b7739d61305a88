// Package plan decides about WebSocket channels: which upgrades are let in and when those that are not may come again,
// when a channel leaves a server that drains, which are pinged and which are given up. Events in, actions out, the
// time as an argument: it has no I/O, and reads no clock.
//
// Which server an upgrade goes to is balance's decision; what a plan adds is a bound on how many go to each in a second
// (MayOpen). It is not safe for concurrent use.
package plan

import (
	"math/rand/v2"
	"time"

	"brasswell/internal/channel/frame"
	"brasswell/internal/estimate"
	"brasswell/internal/linked"
	"brasswell/internal/recent"
)

// Settings are what a plan is told at its start. Times are above 0 unless said otherwise.
type Settings struct {
	Rate     float64       // upgrades let in a second, over all servers
	NodeRate float64       // upgrades a second that a warm server takes from this proxy
	MaxWait  time.Duration // the longest that a client is sent away for with a place in the line

	MaxChannels       int // open at one time, those being opened included
	MaxTenantChannels int // of one tenant, or of all clients without a known one; 0 for no bound

	MoveWindow   time.Duration // over which the channels of a server that drains are moved
	CloseTimeout time.Duration // how long an end may leave a Close unanswered

	PingInterval time.Duration // after which an end that says nothing is asked
	PongTimeout  time.Duration // how long it may take to show that it lives
	IdleTimeout  time.Duration // after which a channel without messages ends; 0 for never
	FrameGrace   time.Duration // that a frame may take beyond what FrameRate allows
	MinFrameRate int64         // bytes a second of a frame that has begun

	ColdShare float64       // a server starts with at least this share of its capacity
	WarmUp    time.Duration // until it has all of it; 0 for at once
}

// ID names a channel. IDs are never used again.
type ID uint64

// Side is one end of a channel.
type Side int

// The ends.
const (
	Client Side = iota
	Server
	NumSides
)

// Node is a server as far as channels go.
type Node struct {
	ID        string
	StartTime time.Duration // clock time of its last start; 0 for long ago
	Usable    bool          // something new may go there
	// InTurns says that the balancer's turns go there, so that its capacity counts. Others are used in place of a
	// member that is lost, and what is lost with it is not known yet.
	InRoundRobin bool
}

// Activity is what is known of one end of an open channel.
type Activity struct {
	LastRead    time.Duration // when its last bytes came
	LastMessage time.Duration // when the last bytes of a message came
	FrameStart  time.Duration // since when a frame has been on its way from it, the other end's slowness aside; 0 for none
	FrameBytes  int64         // of that frame so far
	Parked      bool          // it waits at the least cost
	Blocked     bool          // its bytes wait for the other end, so that nothing it does could be heard
}

// Action is what is to be done to a channel.
type Action struct {
	ID     ID
	Kind   Kind
	Side   Side       // of Ping, Rest, Dead and Slow
	Code   frame.Code // of Go
	Reason string     // the reason, for the ends and for people
}

// Kind is the kind of an action.
type Kind int

// The kinds.
const (
	Ping              Kind = iota // ask an end whether it lives
	Park                          // an end is quiet: wait for it at the least cost
	CloseAfterMessage             // tell the client to go, after the message at hand
	CloseNow                      // the same, within a message too
	Abort                         // close both connections at once
	PeerTimeout                   // an end is gone: close it, and tell the other
	FrameTimeout                  // an end does not get on with a frame: tell both
)

// channel is one open channel.
type channel struct {
	id      ID
	node    *node
	tenant  int
	pinged  [NumSides]time.Duration // when an end was asked; 0 if no answer is outstanding
	told    bool                    // to go
	pressed bool                    // told to go within a message too
	cut     bool
	entry   entry // in the wheel

	linked.Links[channel] // in its node's list of those that stay, or of those that were told
}

// node is a server that is listed or still has channels.
type node struct {
	Node
	listed  bool
	stay    linked.List[channel, *channel]
	going   linked.List[channel, *channel]
	staying int
	open    int           // stay and going
	until   time.Duration // by when the channels are to have left it; 0 if they may stay
	paced   time.Duration // up to when owed is counted
	owed    float64       // how many of those that stay should have gone by then
	opens   estimate.TokenBucket
}

// single is a bucket that holds one token.
func single(now time.Duration) estimate.TokenBucket {
	return estimate.TokenBucket{Tokens: 1, Updated: now, Initialized: true}
}

// Plan is the decisions about one proxy's channels.
type Planner struct {
	set      Settings
	rng      *rand.PCG
	nodes    map[string]*node
	channels map[ID]*channel
	tenants  map[int]int // channels by tenant, those being opened included
	opening  int         // let in, and neither open nor given up
	wheel    wheel
	leaving  bool // the proxy itself ends
	moves    estimate.TokenBucket
	line     line
	spent    *recent.Set // the tickets that have let in

	looked time.Duration // when capacity was found
	known  float64       // the capacity
}

// spentMost bounds how many used tickets are remembered: at 1,000 a second those of the longest waits.
const spentMost = 1 << 17

// New returns a plan without servers. Equal settings, seed and events give equal actions.
func New(s Settings, seed uint64) *Planner {
	return &Planner{
		set: s, rng: rand.NewPCG(seed, 1), nodes: map[string]*node{}, channels: map[ID]*channel{},
		tenants: map[int]int{}, spent: recent.New(spentMost), line: newLine(s.MaxWait),
	}
}

// Nodes takes in the servers that upgrades may go to, and those that must not be used any more. A server that is not
// named is gone.
func (p *Planner) SetNodes(now time.Duration, nodes []Node) {
	for _, n := range p.nodes {
		n.listed = false
	}
	for _, told := range nodes {
		n := p.nodes[told.ID]
		if n == nil {
			n = &node{}
			// One upgrade is free: a slow bucket would hold the first one back.
			n.opens = single(now)
			p.nodes[told.ID] = n
		}
		n.Node, n.listed = told, true
	}
	for id, n := range p.nodes {
		n.Usable = n.Usable && n.listed
		switch {
		case !n.listed && n.open == 0:
			delete(p.nodes, id)
		case n.Usable:
			n.until = 0 // those that have not been told yet may stay
		case n.until == 0:
			n.leave(now, now+p.set.MoveWindow)
		}
	}
	p.looked = 0
}

// Leave makes every channel move off within a time: the proxy ends. Nothing is let in any more.
func (p *Planner) Shutdown(now, within time.Duration) {
	p.leaving = true
	for _, n := range p.nodes {
		if end := now + within; n.until == 0 || end < n.until {
			n.leave(now, end)
		}
	}
}

// leave makes a server's channels go by a time.
func (n *node) leave(now, until time.Duration) { n.until, n.paced, n.owed = until, now, 0 }

// warmth is the part of its capacity that a server can be counted on to have.
func (p *Planner) warmth(now time.Duration, n *node) float64 {
	age := now - n.StartTime
	if n.StartTime <= 0 || age >= p.set.WarmUp {
		return 1
	}
	return p.set.ColdShare + (1-p.set.ColdShare)*float64(max(age, 0))/float64(p.set.WarmUp)
}

// capacityFor is how long a capacity that was found is gone by: servers warm up slowly.
const capacityFor = 100 * time.Millisecond

// capacity is how many upgrades a second the usable servers take together, cold ones least of all.
func (p *Planner) capacity(now time.Duration) float64 {
	if p.looked > 0 && now-p.looked < capacityFor && now >= p.looked {
		return p.known
	}
	var sum float64
	for _, n := range p.nodes {
		if n.Usable && n.InRoundRobin {
			sum += p.set.NodeRate * p.warmth(now, n)
		}
	}
	p.known, p.looked = min(sum, p.set.Rate), now
	return p.known
}

// burst is how many seconds of a rate may come at once.
const burst = 0.25

// MayOpen says whether an upgrade may go to a server now, and counts it if so. It is asked right before the upgrade is
// sent, for each attempt.
func (p *Planner) AllowUpgrade(now time.Duration, id string) bool {
	n := p.nodes[id]
	if n == nil || !n.Usable || p.leaving {
		return false
	}
	rate := p.set.NodeRate * p.warmth(now, n)
	return n.opens.Take(now, rate, max(burst*rate, 1))
}

// Opened takes in that an upgrade that was let in has become a channel.
func (p *Planner) Opened(now time.Duration, id ID, server string, tenant int) {
	p.opening--
	n := p.nodes[server]
	if n == nil { // gone while the answer was on its way
		n = &node{Node: Node{ID: server}}
		p.nodes[server] = n
	}
	if !n.Usable && n.until == 0 {
		n.leave(now, now+p.set.MoveWindow)
	}
	c := &channel{id: id, node: n, tenant: tenant}
	c.entry.channel = c
	p.channels[id] = c
	n.stay.Push(c)
	n.staying++
	n.open++
	p.wheel.put(&c.entry, now, now+p.lookEvery())
}

// GivenUp takes in that an upgrade that was let in did not become a channel.
func (p *Planner) OpenFailed(tenant int) {
	p.opening--
	p.release(tenant)
}

func (p *Planner) release(tenant int) {
	if p.tenants[tenant]--; p.tenants[tenant] <= 0 {
		delete(p.tenants, tenant)
	}
}

// Closed takes in that a channel is over.
func (p *Planner) Closed(id ID) {
	c := p.channels[id]
	if c == nil {
		return
	}
	delete(p.channels, id)
	p.release(c.tenant)
	p.wheel.remove(&c.entry)
	n := c.node
	if c.told {
		n.going.Remove(c)
	} else {
		n.stay.Remove(c)
		n.staying--
	}
	if n.open--; n.open == 0 && !n.listed {
		delete(p.nodes, n.ID)
	}
}

// Open is how many channels are open.
func (p *Planner) Len() int { return len(p.channels) }

// Held is how many channels each server holds; it may be kept.
func (p *Planner) OpenByServer() map[string]int {
	held := make(map[string]int, len(p.nodes))
	for id, n := range p.nodes {
		held[id] = n.open
	}
	return held
}

// Tick does what is due: moves first, then the channels whose time to be looked at has come. It is to be called every
// TickEvery or so; look says how a channel stands.
func (p *Planner) Tick(now time.Duration, look func(ID) [NumSides]Activity) []Action {
	actions := p.move(now, nil)
	for e := p.wheel.due(now); e != nil; e = p.wheel.due(now) {
		actions = p.keep(now, e.channel, look(e.channel.id), actions)
	}
	return actions
}

// TickEvery is how often Tick is to be called.
const TickInterval = 50 * time.Millisecond

// random is uniform in [0, 1) from the plan's own seed.
func (p *Planner) random() float64 { return float64(p.rng.Uint64()>>11) / (1 << 53) }
