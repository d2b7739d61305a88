// Package host runs one balancer: it passes events to the balancer and carries out its actions. It makes no decisions
// of its own.
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

// Instance runs one balancer and implements balance.Host. The balancer calls its Host while mu is held, so those
// methods must not block or call back. Work that takes time runs in its own goroutine and returns through an event.
type Instance struct {
	clock             clock.Steady // Unix time, like the start times in the server list
	backends          *backends.Pool
	watch             func()        // starts a watch on the server list
	channels          Channels      // nil if channels are not used
	agreedRules       AgreedRules   // nil if there are no agreed rules
	admissionGate     AdmissionGate // nil if all requests are admitted
	serverList        ServerList    // nil if requests may always be sent by the current list
	listRetryAfter    time.Duration
	staleListUnserved atomic.Int64  // requests that were not sent because the list was stale
	earliestStart     time.Duration // start times of servers before it are not believed; 0 accepts any
	rulesRetryAfter   time.Duration
	log               *slog.Logger

	mu        sync.Mutex
	balancer  *balance.Balancer
	requests  map[string]*Request
	lastID    uint64
	endpoints map[string]backends.Endpoint // of each server that is in service according to the list
	// When a listed server was first seen to drain, and when the operator took a server out. The times are only for
	// status pages.
	drainingSince, bannedSince map[string]time.Duration
	agreedBans                 map[string]bool // servers banned by agreement; true once the balancer has suspended them
	quotaShare                 float64         // the agreed factor on tenants' quotas
	closed                     bool
	upgradeShare               float64       // while another process of this proxy runs
	fleetShares                parts.Factors // of the limits of all proxies

	timers      *timers
	work        chan *attempt  // to idle workers
	idleWorkers atomic.Int32   // number of workers that wait for an attempt or are about to
	stopping    chan struct{}  // closed to stop the idle workers
	workers     sync.WaitGroup // running workers
}

// Channels receives the servers that an instance may use, and is asked before a request for a channel is sent to one. Its
// methods are called while the instance is locked, so they must not block or call back.
type Channels interface {
	// SetNodes passes all listed servers in service. Channels at other servers, or at servers that are not usable, must
	// be moved.
	SetNodes([]plan.Node)
	// AllowUpgrade reports whether a request for a channel may be sent to a server now, and counts it if so.
	AllowUpgrade(server string) bool
}

// AgreedRules applies the rules that the proxies of the fleet have agreed on. Its methods are called while the instance
// is locked, so they must not block or call back.
type AgreedRules interface {
	// Open reports whether requests of a class are accepted now.
	Open(class int) bool
	// Decide returns whether an attempt may be sent now, and the basis of the decision. mayHaveRun means that an earlier
	// attempt of the request may have run.
	Decide(server string, class int, mayHaveRun bool) (rules.Decision, rules.DecisionBasis)
}

// Caller is the client that waits for a request's answer. Gone is called while the instance is locked, so it must not
// block.
type Caller interface {
	// Gone reports whether the caller has given the request up, even if this has not been read from its connection yet.
	Gone() bool
}

// AdmissionGate decides which requests are admitted while a proxy recovers after a start. Its methods are called while
// the instance is locked, so they must not block or call back.
type AdmissionGate interface {
	// Admit reports whether a request of a class is admitted now. If not, wait is the delay after which the caller is
	// asked to retry; 0 gives no advice.
	Admit(class int) (ok bool, wait time.Duration)
	// Ready reports whether any requests are admitted.
	Ready() bool
}

// ServerList reports how current the server list is. Fresh and Ready are called while the instance is locked, so they
// must not block or call back.
type ServerList interface {
	// Fresh reports whether requests may be sent by the current list.
	Fresh() bool
	// Ready reports whether the process should receive requests.
	Ready() bool
	// CatchUp waits until all list updates that have arrived at this process are applied, or ctx is done.
	CatchUp(ctx context.Context)
}

// SetServerList sets the ServerList. It must be called before the first list update or request. retryAfter is the delay
// after which callers are asked to retry if their requests are refused because the list is stale; 0 gives no advice.
func (i *Instance) SetServerList(l ServerList, retryAfter time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.serverList, i.listRetryAfter = l, retryAfter
}

// StaleListUnserved returns how many requests were not sent because the list was stale.
func (i *Instance) StaleListUnserved() int64 { return i.staleListUnserved.Load() }

// SetAdmissionGate sets the AdmissionGate. It must be called before the first list update or request.
func (i *Instance) SetAdmissionGate(g AdmissionGate) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.admissionGate = g
}

// SetAgreedRules sets the AgreedRules. It must be called before the first list update or request. retryAfter is the
// delay after which callers are asked to retry if the rules do not allow their requests; 0 gives no advice.
func (i *Instance) SetAgreedRules(r AgreedRules, retryAfter time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.agreedRules, i.rulesRetryAfter = r, retryAfter
}

// SetChannels sets the Channels. It must be called before the first list update or request.
func (i *Instance) SetChannels(c Channels) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.channels = c
	i.updateChannels()
}

// updateChannels must be called with mu held whenever the set of usable servers has changed.
func (i *Instance) updateChannels() {
	if i.channels == nil {
		return
	}
	nodes := make([]plan.Node, 0, len(i.endpoints))
	for id, to := range i.endpoints {
		nodes = append(nodes, plan.Node{ID: id, StartTime: to.StartTime, Usable: i.balancer.MaySend(id), InRoundRobin: i.balancer.InRoundRobin(id)})
	}
	i.channels.SetNodes(nodes)
}

// New returns an instance without servers. watch starts a watch on the server list and must not block.
func New(settings balance.Settings, seed uint64, pool *backends.Pool, watch func(), log *slog.Logger) (*Instance, error) {
	i := &Instance{
		clock: clock.NewSteady(), backends: pool, watch: watch, log: log,
		requests: map[string]*Request{}, endpoints: map[string]backends.Endpoint{},
		drainingSince: map[string]time.Duration{}, bannedSince: map[string]time.Duration{}, agreedBans: map[string]bool{}, quotaShare: 1,
		work: make(chan *attempt), stopping: make(chan struct{}), upgradeShare: 1, fleetShares: parts.FullShare,
	}
	i.timers = newTimers(i.now, i.timer)
	var err error
	i.balancer, err = balance.New(settings, seed, i)
	return i, err
}

func (i *Instance) now() time.Duration { return i.clock.Now() }

// Now returns the time by the clock on which the instance's times are based.
func (i *Instance) Now() time.Duration { return i.now() }

// SetTimer schedules one Timer event. Timers are never canceled; none runs much longer than the longest deadline.
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

// Log writes a line for operators.
func (i *Instance) Log(line string) { i.log.Info(line) }

// Close cancels outstanding attempts, fails open requests, and returns once no attempt runs. It is called when a proxy
// ends and no caller waits for an answer any more.
func (i *Instance) Close() {
	i.mu.Lock()
	if i.closed {
		i.mu.Unlock()
		return
	}
	i.closed = true
	for _, q := range i.requests {
		q.answer(Final{Outcome: Failed})
		for _, a := range q.attempts {
			a.cancel(backends.ErrCanceled)
		}
	}
	i.mu.Unlock()
	i.timers.stop()
	close(i.stopping)
	i.workers.Wait()
}
