// Package plan makes the decisions about WebSocket channels: which upgrades are admitted and when refused clients may
// retry, when a channel leaves a draining server, when an end is pinged, and when a channel is ended because an end does
// not respond. It takes events and the time as arguments and returns actions; it does no I/O and reads no clock.
//
// Package balance chooses the server of an upgrade. A Planner only limits how many upgrades go to each server in a second
// (AllowUpgrade). A Planner is not safe for concurrent use.
package plan

import (
	"math/rand/v2"
	"time"

	"brasswell/internal/channel/frame"
	"brasswell/internal/estimate"
	"brasswell/internal/linked"
	"brasswell/internal/recent"
)

// Settings configure a Planner. Durations are above 0 unless stated otherwise.
type Settings struct {
	Rate     float64       // upgrades admitted in a second, over all servers
	NodeRate float64       // upgrades a second that a warm server takes from this proxy
	MaxWait  time.Duration // the longest wait for a slot at a client's first refusal; twice that later on

	MaxChannels       int // open at one time, including those being opened
	MaxTenantChannels int // of one tenant, or of all clients without a known tenant; 0 for no limit

	MoveWindow   time.Duration // over which the channels of a draining server are moved
	CloseTimeout time.Duration // how long an end may leave a Close unanswered

	PingInterval time.Duration // after which a silent end is pinged
	PongTimeout  time.Duration // how long a pinged end may stay silent
	IdleTimeout  time.Duration // after which a channel without messages is closed; 0 for never
	FrameGrace   time.Duration // how long a frame may take beyond what MinFrameRate allows
	MinFrameRate int64         // bytes a second that a frame must make once it has begun

	ColdShare float64       // the share of its capacity that a server has at its start, at least
	WarmUp    time.Duration // the time until it has all of it; 0 for at once
}

// ID identifies a channel. IDs are never reused.
type ID uint64

// Side is one end of a channel.
type Side int

// The ends of a channel, and their number.
const (
	Client Side = iota
	Server
	NumSides
)

// Node describes a server as far as channels need it.
type Node struct {
	ID        string
	StartTime time.Duration // of the server, by the Planner's clock; 0 for long ago
	Usable    bool          // new channels may go to it
	// InRoundRobin says that the server is in the balancer's round robin, so that its capacity counts. Other usable
	// servers replace a member that is lost. They are not counted, because the capacity that was lost is not known yet.
	InRoundRobin bool
}

// Activity is the state of one end of an open channel.
type Activity struct {
	LastRead    time.Duration // when its last bytes were read
	LastMessage time.Duration // when the last bytes of a message were read
	FrameStart  time.Duration // when its unfinished frame began, plus the time it waited for the other end; 0 for none
	FrameBytes  int64         // payload bytes of that frame that have been forwarded
	Parked      bool          // its read is parked
	Blocked     bool          // its data waits for the other end, so that nothing is read from it
}

// Action is a step to be taken for a channel.
type Action struct {
	ID     ID
	Kind   Kind
	Side   Side       // of Ping, Park, PeerTimeout and FrameTimeout
	Code   frame.Code // of CloseAfterMessage and CloseNow
	Reason string     // for the Close frame and the log
}

// Kind is the type of an action.
type Kind int

// The kinds of actions.
const (
	Ping              Kind = iota // send a ping to an end
	Park                          // an end is silent: wait for it with as little memory as possible
	CloseAfterMessage             // send a Close to the client after the current message
	CloseNow                      // send a Close to the client even within a message
	Abort                         // close both connections at once
	PeerTimeout                   // an end did not answer a ping: disconnect it, and send a Close to the other end
	FrameTimeout                  // an end does not finish a frame in time: send a Close to both ends
)

// channel is one open channel.
type channel struct {
	id           ID
	node         *node
	tenant       int
	pinged       [NumSides]time.Duration // when an end was pinged; 0 if no answer is outstanding
	closeSent    bool                    // a Close was requested
	closeNowSent bool                    // a Close was requested even within a message
	aborted      bool
	entry        entry // in the timing wheel

	linked.Links[channel] // in its node's remaining or leaving list
}

// node is a server that is listed or still has channels.
type node struct {
	Node
	listed         bool
	remaining      linked.List[channel, *channel] // no Close was requested
	leaving        linked.List[channel, *channel] // a Close was requested
	remainingCount int
	open           int                  // remaining and leaving
	deadline       time.Duration        // by when all channels must have left; 0 if they may stay
	pacedAt        time.Duration        // when movesDue was last updated
	movesDue       float64              // how many of the remaining channels should have been closed by then
	upgrades       estimate.TokenBucket // limits the upgrades that are sent to it
}

// oneToken returns a bucket that holds one token.
func oneToken(now time.Duration) estimate.TokenBucket {
	return estimate.TokenBucket{Tokens: 1, Updated: now, Initialized: true}
}

// Planner makes the decisions about the channels of one proxy.
type Planner struct {
	settings     Settings
	rng          *rand.PCG
	nodes        map[string]*node
	channels     map[ID]*channel
	tenants      map[int]int // channels by tenant, including those being opened
	opening      int         // admitted, and neither open nor failed
	wheel        wheel
	shuttingDown bool                 // the proxy itself ends
	moveTokens   estimate.TokenBucket // limits the channels that are moved
	queue        slotQueue
	usedTickets  *recent.Set // the tickets that have admitted their clients

	capacityAt     time.Duration // when cachedCapacity was computed
	cachedCapacity float64
}

// maxUsedTickets bounds the used tickets that are remembered. At 1,000 a second it covers the longest waits.
const maxUsedTickets = 1 << 17

// New returns a Planner without servers. Equal settings, seeds and events yield equal actions.
func New(s Settings, seed uint64) *Planner {
	return &Planner{
		settings: s, rng: rand.NewPCG(seed, 1), nodes: map[string]*node{}, channels: map[ID]*channel{},
		tenants: map[int]int{}, usedTickets: recent.New(maxUsedTickets), queue: newSlotQueue(s.MaxWait),
	}
}

// SetNodes sets the servers: those that upgrades may go to, and those that must not be used any more. A server that is
// not in nodes is removed.
func (p *Planner) SetNodes(now time.Duration, nodes []Node) {
	for _, n := range p.nodes {
		n.listed = false
	}
	for _, update := range nodes {
		n := p.nodes[update.ID]
		if n == nil {
			n = &node{}
			// The bucket starts with one token: an empty one with a low rate would delay the first upgrade.
			n.upgrades = oneToken(now)
			p.nodes[update.ID] = n
		}
		n.Node, n.listed = update, true
	}
	for id, n := range p.nodes {
		n.Usable = n.Usable && n.listed
		switch {
		case !n.listed && n.open == 0:
			delete(p.nodes, id)
		case n.Usable:
			n.deadline = 0 // channels without a requested Close may stay
		case n.deadline == 0:
			n.startLeaving(now, now+p.settings.MoveWindow)
		}
	}
	p.capacityAt = 0
}

// Shutdown makes every channel leave within the given time, because the proxy ends. Nothing is admitted any more.
func (p *Planner) Shutdown(now, within time.Duration) {
	p.shuttingDown = true
	for _, n := range p.nodes {
		if deadline := now + within; n.deadline == 0 || deadline < n.deadline {
			n.startLeaving(now, deadline)
		}
	}
}

// startLeaving makes the channels of a server leave by the deadline.
func (n *node) startLeaving(now, deadline time.Duration) {
	n.deadline, n.pacedAt, n.movesDue = deadline, now, 0
}

// capacityShare returns the share of its full capacity that a server has at least. It is lower while the server is cold.
func (p *Planner) capacityShare(now time.Duration, n *node) float64 {
	age := now - n.StartTime
	if n.StartTime <= 0 || age >= p.settings.WarmUp {
		return 1
	}
	return p.settings.ColdShare + (1-p.settings.ColdShare)*float64(max(age, 0))/float64(p.settings.WarmUp)
}

// capacityTTL is how long a computed capacity is reused. Servers warm up slowly, so it changes little meanwhile.
const capacityTTL = 100 * time.Millisecond

// capacity returns how many upgrades a second the usable servers accept together. Cold servers count for less.
func (p *Planner) capacity(now time.Duration) float64 {
	if p.capacityAt > 0 && now-p.capacityAt < capacityTTL && now >= p.capacityAt {
		return p.cachedCapacity
	}
	var sum float64
	for _, n := range p.nodes {
		if n.Usable && n.InRoundRobin {
			sum += p.settings.NodeRate * p.capacityShare(now, n)
		}
	}
	p.cachedCapacity, p.capacityAt = min(sum, p.settings.Rate), now
	return p.cachedCapacity
}

// burstSeconds is how many seconds' worth of a rate may be used at once.
const burstSeconds = 0.25

// AllowUpgrade reports whether an upgrade may go to a server now, and counts it if so. It must be called for each
// attempt, right before the upgrade is sent.
func (p *Planner) AllowUpgrade(now time.Duration, id string) bool {
	n := p.nodes[id]
	if n == nil || !n.Usable || p.shuttingDown {
		return false
	}
	rate := p.settings.NodeRate * p.capacityShare(now, n)
	return n.upgrades.Take(now, rate, max(burstSeconds*rate, 1))
}

// Opened records that an admitted upgrade has become a channel.
func (p *Planner) Opened(now time.Duration, id ID, server string, tenant int) {
	p.opening--
	n := p.nodes[server]
	if n == nil { // it was removed while its answer was in transit
		n = &node{Node: Node{ID: server}}
		p.nodes[server] = n
	}
	if !n.Usable && n.deadline == 0 {
		n.startLeaving(now, now+p.settings.MoveWindow)
	}
	c := &channel{id: id, node: n, tenant: tenant}
	c.entry.channel = c
	p.channels[id] = c
	n.remaining.Push(c)
	n.remainingCount++
	n.open++
	p.wheel.put(&c.entry, now, now+p.checkInterval())
}

// OpenFailed records that an admitted upgrade did not become a channel.
func (p *Planner) OpenFailed(tenant int) {
	p.opening--
	p.releaseTenant(tenant)
}

// releaseTenant counts one channel of a tenant less.
func (p *Planner) releaseTenant(tenant int) {
	if p.tenants[tenant]--; p.tenants[tenant] <= 0 {
		delete(p.tenants, tenant)
	}
}

// Closed records that a channel has ended. Unknown IDs are ignored.
func (p *Planner) Closed(id ID) {
	c := p.channels[id]
	if c == nil {
		return
	}
	delete(p.channels, id)
	p.releaseTenant(c.tenant)
	p.wheel.remove(&c.entry)
	n := c.node
	if c.closeSent {
		n.leaving.Remove(c)
	} else {
		n.remaining.Remove(c)
		n.remainingCount--
	}
	if n.open--; n.open == 0 && !n.listed {
		delete(p.nodes, n.ID)
	}
}

// Len returns the number of open channels.
func (p *Planner) Len() int { return len(p.channels) }

// OpenByServer returns the number of open channels of each server, in a new map.
func (p *Planner) OpenByServer() map[string]int {
	open := make(map[string]int, len(p.nodes))
	for id, n := range p.nodes {
		open[id] = n.open
	}
	return open
}

// Tick returns the actions that are due: first the channels to be moved, then those of the channels that are due for a
// check. It should be called about every TickInterval. activity returns the state of a channel's ends.
func (p *Planner) Tick(now time.Duration, activity func(ID) [NumSides]Activity) []Action {
	actions := p.moveChannels(now, nil)
	for e := p.wheel.due(now); e != nil; e = p.wheel.due(now) {
		actions = p.checkChannel(now, e.channel, activity(e.channel.id), actions)
	}
	return actions
}

// TickInterval is how often Tick should be called.
const TickInterval = 50 * time.Millisecond

// random returns a number in [0, 1), uniformly distributed, from the Planner's own generator.
func (p *Planner) random() float64 { return float64(p.rng.Uint64()>>11) / (1 << 53) }
