// Package host hosts one balancer: it feeds it events and carries its actions out. It decides nothing.
package host

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"brasswell/balance"
	"brasswell/internal/backends"
	"brasswell/internal/channel/plan"
	"brasswell/internal/clock"
	"brasswell/internal/cluster/parts"
	"brasswell/internal/cluster/rules"
)

// Instance hosts one balancer. It is the balancer's Host: the calls come while mu is held, so none of them may
// block or call back; what takes time runs in a goroutine of its own and comes back through an event.
type Instance struct {
	clock    clock.Steady // Unix time, as the list's start times are
	backends *backends.Pool
	watch    func()        // starts a watch on the server list
	channels Channels      // nil where there are none
	gate     AgreedRules   // nil where no rules are agreed on
	door     AdmissionGate // nil where all are let in
	list     ServerList    // nil where the list that is held may always be acted on
	listWait time.Duration
	heldBack atomic.Int64  // requests that were not sent for want of a fresh list
	lost     time.Duration // no start of a server before it is believed; 0 for any
	gateWait time.Duration
	log      *slog.Logger

	mu       sync.Mutex
	balancer *balance.Balancer
	requests map[string]*Request
	lastID   uint64
	address  map[string]backends.Endpoint // of each server that the list has in service
	// When a listed server was first seen to drain, and when one that is out was taken out by hand; for people.
	drains, byHand map[string]time.Duration
	agreed         map[string]bool // out by agreement; true once the balancer knows of it
	quota          float64         // the agreed share of tenants' quotas
	closed         bool
	part           float64       // beside another process of this proxy
	fleet          parts.Factors // among all proxies

	timers  *timers
	work    chan *attempt  // to workers that wait for some
	idle    atomic.Int32   // workers that wait, or are about to
	ending  chan struct{}  // closed when they are to end
	running sync.WaitGroup // workers
}

// Channels is what an instance tells of its servers, and asks before a request for a channel goes to one. The calls come
// while the instance is locked, so none of them may block or call back.
type Channels interface {
	// Nodes names the servers that may be used now; others are to be left.
	SetNodes([]plan.Node)
	// MayOpen says whether a request for a channel may go to a server now, and counts it.
	AllowUpgrade(server string) bool
}

// Gate says what the proxies of the fleet have agreed on. The calls come while the instance is locked, so none of them may block
// or call back.
type AgreedRules interface {
	// Open says whether requests of a class are taken now.
	Open(class int) bool
	// Rule says whether an attempt may be sent now, and on what that rests. again: an earlier one may have run.
	Rule(server string, class int, again bool) (rules.Decision, rules.DecisionBasis)
}

// Caller is who waits for a request's answer. Gone is asked while the instance is locked, so it may not block.
type Caller interface {
	// Gone says whether it has given the request up, also where nobody has read so from its connection yet.
	Gone() bool
}

// Door says who is let in while a proxy comes back. The calls come while the instance is locked, so none of them may block or call
// back.
type AdmissionGate interface {
	// Admit says whether a request of a class is let in now, and if not, for how long its caller is asked to stay away; 0 for no advice.
	Admit(class int) (ok bool, wait time.Duration)
	// Ready says whether any are.
	Ready() bool
}

// ServerList says how far the server list can be relied on. Calls of Fresh and Ready come while the instance is locked, so they may not block
// or call back.
type ServerList interface {
	// Fresh says whether the list that is held may be acted on now.
	Fresh() bool
	// Ready says whether the process should be given requests.
	Ready() bool
	// CatchUp waits until all news of the list that have come to this process are taken in, or ctx is done.
	CatchUp(ctx context.Context)
}

// SetServerList is for an instance that has taken nothing on yet. Callers whose requests are not sent for want of a fresh list are asked
// to stay away for so long; 0 for no advice.
func (i *Instance) SetServerList(l ServerList, wait time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.list, i.listWait = l, wait
}

// HeldBack is how many requests were not sent for want of a fresh list.
func (i *Instance) StaleListUnserved() int64 { return i.heldBack.Load() }

// SetDoor is for an instance that has taken nothing on yet.
func (i *Instance) SetAdmissionGate(d AdmissionGate) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.door = d
}

// SetGate is for an instance that has taken nothing on yet. Callers whose requests the agreed rules don't let in are asked to stay
// away for so long; 0 for no advice.
func (i *Instance) SetAgreedRules(g AgreedRules, wait time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.gate, i.gateWait = g, wait
}

// SetChannels is for an instance that has taken nothing on yet.
func (i *Instance) SetChannels(c Channels) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.channels = c
	i.tellChannels()
}

// tellChannels is called with mu held whenever what may be used has changed.
func (i *Instance) tellChannels() {
	if i.channels == nil {
		return
	}
	nodes := make([]plan.Node, 0, len(i.address))
	for id, to := range i.address {
		nodes = append(nodes, plan.Node{ID: id, StartTime: to.StartTime, Usable: i.balancer.MaySend(id), InRoundRobin: i.balancer.InRoundRobin(id)})
	}
	i.channels.SetNodes(nodes)
}

// New returns an instance that knows no servers yet. watch starts a watch on the server list; it must not block.
func New(settings balance.Settings, seed uint64, pool *backends.Pool, watch func(), log *slog.Logger) (*Instance, error) {
	i := &Instance{
		clock: clock.NewSteady(), backends: pool, watch: watch, log: log,
		requests: map[string]*Request{}, address: map[string]backends.Endpoint{},
		drains: map[string]time.Duration{}, byHand: map[string]time.Duration{}, agreed: map[string]bool{}, quota: 1,
		work: make(chan *attempt), ending: make(chan struct{}), part: 1, fleet: parts.FullShare,
	}
	i.timers = newTimers(i.now, i.timer)
	var err error
	i.balancer, err = balance.New(settings, seed, i)
	return i, err
}

func (i *Instance) now() time.Duration { return i.clock.Now() }

// Now is the time by the clock that the instance's own times are of.
func (i *Instance) Now() time.Duration { return i.now() }

// SetTimer asks for one Timer event. Timers are never withdrawn; none outlives the longest deadline by much.
func (i *Instance) SetTimer(delay time.Duration, token uint64) {
	i.timers.set(delay, token)
}

func (i *Instance) timer(now time.Duration, token uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.closed {
		i.balancer.Timer(now, token)
	}
}

// Watch subscribes to the server list.
func (i *Instance) Watch() { i.watch() }

// Log writes a line for people.
func (i *Instance) Log(line string) { i.log.Info(line) }

// Close ends the instance: it calls off what is out, fails what is open, and returns once no attempt runs. It is
// for the end of a proxy, when nobody waits for an answer any more.
func (i *Instance) Close() {
	i.mu.Lock()
	if i.closed {
		i.mu.Unlock()
		return
	}
	i.closed = true
	for _, q := range i.requests {
		q.answer(Final{Verdict: Failed})
		for _, a := range q.attempts {
			a.cancel(backends.ErrCanceled)
		}
	}
	i.mu.Unlock()
	i.timers.end()
	close(i.ending)
	i.running.Wait()
}
