// Package recovery runs the recovery of a proxy after a start. It connects the decisions (package revival), the disk (package state)
// and the connections to the fleet. One goroutine owns the core, another the disk; request handling reads one atomic plan.
package recovery

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"brasswell/balance"
	"brasswell/internal/cluster"
	"brasswell/internal/cluster/revival"
	"brasswell/internal/cluster/view"
	"brasswell/internal/handover"
	"brasswell/internal/state"
)

// Log messages, which package rig parses.
const (
	LogStep   = "recovery: step"
	LogBegin  = "recovery: begins"
	LogFolder = "recovery: folder"
)

const (
	// maxQueuedEvents is the length of the queue of the goroutine that owns the core; events beyond it are dropped, as the network
	// might drop their messages.
	maxQueuedEvents = 256
	// pollInterval is how often the state of the proxy is read during recovery, and donePollInterval after it.
	pollInterval     = 50 * time.Millisecond
	donePollInterval = time.Second
	// lockRetryInterval is the time between attempts to open a folder that the previous process still holds.
	lockRetryInterval = 200 * time.Millisecond
)

// Proxy is what a Node uses of the proxy. Its methods must be safe for concurrent use.
type Proxy interface {
	// RestoreState applies saved state. After it, no start time of a backend before trustedSince is trusted. It is called once.
	RestoreState(k handover.State, trustedSince time.Duration)
	// Now returns the time on the clock that start times of backends refer to.
	Now() time.Duration
	// State returns the current state of this proxy. It may be slow.
	State() handover.State
	// Outcomes returns how many requests have arrived so far, by class, and how many of them were not served.
	Outcomes() (received, failed []int64)
	// StartTimes returns the start times of the backends in service.
	StartTimes() []time.Duration
	// Leased reports whether this proxy holds a lease on the agreed rules.
	Leased() bool
	// Banned returns the backends taken out by the operator.
	Banned() []string
	// Ban takes backends out as the operator did before this start, including backends that no list has named yet.
	Ban(ids []string)
}

// Config is the configuration of a Node.
type Config struct {
	Options    Options
	Name       string
	InstanceID uint64
	Seed       uint64
	Instances  int
	UsesRules  bool // the fleet agrees on rules
	Classes    []string
	Balancer   balance.Settings
	Log        *slog.Logger
}

type event func(c *revival.Core, now time.Duration)

// Node runs the recovery of this process. Its methods are safe for concurrent use.
type Node struct {
	config    Config
	carrier   cluster.Carrier // nil for none
	startedAt time.Time
	saved     *state.Contents
	age       state.Age
	plan      atomic.Pointer[plan]
	events    chan event
	rng       *lockedRand // for admission

	// rejected counts the requests that were not admitted, by class.
	rejected []atomic.Int64

	// Set by Start:
	proxy  Proxy
	core   *revival.Core // used only by run and the events that it executes
	joined bool          // this process continues the work of a running one

	mu             sync.Mutex
	folder         *state.Folder
	writer         *state.Writer
	awaitingFolder bool // another process holds the folder
	addresses      map[string]string
	itemTrust      []ItemTrust
	demand         []float64

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Open reads the folder. Neither its contents nor an error in reading it prevents a proxy from starting.
func Open(c Config, carrier cluster.Carrier) *Node {
	n := &Node{config: c, carrier: carrier, startedAt: time.Now(), saved: &state.Contents{}, events: make(chan event, maxQueuedEvents), rng: newLockedRand(c.Seed), demand: make([]float64, len(c.Classes)), rejected: make([]atomic.Int64, len(c.Classes))}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	first := &plan{shares: make([]float64, len(c.Classes))}
	if c.Balancer.RetryAfter {
		first.retryAfter = c.Balancer.MaxRetryAfter
	}
	n.plan.Store(first)
	folder, err := state.OpenFolder(c.Options.Folder)
	if err != nil {
		n.awaitingFolder = errors.Is(err, state.ErrLocked)
		if n.awaitingFolder {
			c.Log.Info(LogFolder, "what", "is held by another process and will be opened when released; until then operator bans are not persistent", "error", err)
		} else {
			c.Log.Error(LogFolder, "what", "cannot be used; this start has no saved state, and operator bans will not be persistent", "error", err)
		}
		return n
	}
	n.folder = folder
	store, saved := state.Open(folder, c.Name)
	n.saved = saved
	for _, t := range saved.Problems {
		c.Log.Warn(LogFolder, "what", t)
	}
	n.age = state.Age{Max: state.UnknownAge}
	if saved.Learned != nil {
		n.age = state.AgeOf(saved.Learned.Written, state.Now())
	}
	n.writer = state.StartWriter(store, c.Options.SaveInterval, n.learnedState, c.Log)
	return n
}

// Start begins the recovery of a proxy. joined says that this process continues the work of a running one, so it admits all requests
// at once.
func (n *Node) Start(proxy Proxy, joined bool) {
	n.proxy = proxy
	c := &n.config
	s := revival.Settings{
		Name: c.Name, InstanceID: c.InstanceID, Standalone: n.carrier == nil || c.Instances == 1, UsesRules: c.UsesRules, FleetSize: c.Instances,
		ColdCapacity: c.Balancer.ColdCapacity, WarmUp: c.Balancer.WarmUp, Times: revival.DefaultTimes(),
	}
	s.Times.JustStarted = c.Options.JustStarted
	for i, name := range c.Classes {
		s.Classes = append(s.Classes, revival.Class{Name: name, Value: c.Balancer.Classes[i].Value})
	}
	if l := n.saved.Learned; l != nil {
		s.SameMachineBoot = l.Written.Machine != "" && l.Written.Machine == state.Now().Machine
		for _, name := range c.Classes {
			s.Demand = append(s.Demand, l.Demand[name])
		}
	}
	n.joined = joined
	if joined {
		n.admitAll()
		n.running.Go(n.measureDemand)
	} else {
		n.core = revival.New(n.now(), s, c.Seed, host{n})
		if n.carrier != nil {
			n.carrier.OnPayload(n.receive)
			n.carrier.Follow(n.setMembers)
		}
		n.running.Go(n.run)
	}
	if n.awaitingFolder {
		n.running.Go(n.openWhenReleased)
	}
}

func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// run is the goroutine that owns the core.
func (n *Node) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	demandAt, demandTotals := n.now(), n.totals()
	previous := demandTotals
	for {
		interval := pollInterval
		if n.core.Step() == revival.Done {
			interval = donePollInterval
		}
		timer.Reset(max(min(n.core.Next()-n.now(), interval), 0))
		select {
		case <-n.ctx.Done():
			return
		case e := <-n.events:
			e(n.core, n.now())
			continue
		case <-timer.C:
		}
		now := n.now()
		if n.proxy.Leased() {
			n.core.SetLeased(now)
		}
		current := n.totals()
		n.core.AddCounts(now, current.since(previous))
		previous = current
		if elapsed := now - demandAt; elapsed >= time.Second {
			n.updateDemand(current.since(demandTotals), elapsed)
			demandAt, demandTotals = now, current
		}
		n.core.Tick(now)
	}
}

func (n *Node) receive(body []byte) {
	r, err := revival.Decode(body)
	if err != nil {
		n.config.Log.Debug("recovery: invalid message dropped", "error", err)
		return
	}
	n.enqueue(func(c *revival.Core, now time.Duration) { c.ReceiveReport(now, r) })
}

func (n *Node) enqueue(e event) {
	select {
	case n.events <- e:
	default:
	}
}

func (n *Node) setMembers(s view.Snapshot) {
	addresses, living := s.Addresses()
	n.mu.Lock()
	n.addresses = addresses
	n.mu.Unlock()
	n.enqueue(func(c *revival.Core, now time.Duration) { c.SetMembers(now, living) })
}

// ListUpdated notifies the core of a list; fresh says that it came from discovery and is not a saved one. It must not be called with
// the proxy's locks held.
func (n *Node) ListUpdated(fresh bool) {
	startTimes := n.proxy.StartTimes()
	offset := n.now() - n.proxy.Now() // offset of the core's clock
	for i := range startTimes {
		startTimes[i] += offset
	}
	n.enqueue(func(c *revival.Core, now time.Duration) { c.SetList(now, fresh, startTimes) })
}

// Close stops the recovery, saves the state a last time and releases the folder.
func (n *Node) Close() {
	n.cancel()
	n.running.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.writer != nil {
		n.writer.Close()
		n.folder.Close()
	}
}
