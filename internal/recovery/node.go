// Package recovery brings a proxy back after a start: it puts the decisions (package revival), the disk (package state) and the
// fleet's link together. One goroutine owns the core, another the disk; what serves asks one atomic plan.
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

// The log's lines, which package rig reads back.
const (
	LogStep   = "recovery: step"
	LogBegin  = "recovery: begins"
	LogFolder = "recovery: folder"
)

const (
	// mostWaiting events stand before the owner; messages beyond are dropped, as the network would.
	maxQueuedEvents = 256
	// lookEvery is between two looks at the proxy while it comes back, and restEvery after that.
	pollInterval     = 50 * time.Millisecond
	donePollInterval = time.Second
	// heldEvery is between tries for a folder that the process before still holds.
	lockRetryInterval = 200 * time.Millisecond
)

// Side is the proxy's side. Its methods may be called at any time.
type Proxy interface {
	// Begin takes up what is known. No start of a backend before lost is believed from then on. It is called once.
	RestoreState(k handover.State, lost time.Duration)
	// Now is the time of the clock that backends' starts are told in.
	Now() time.Duration
	// Known is what this proxy knows now. It may take its time.
	State() handover.State
	// Outcomes are how many requests have come so far, by class, and how many of them were not served.
	Outcomes() (asked, lost []int64)
	// Births are when the backends in service were started.
	StartTimes() []time.Duration
	// Leased says whether keepers vouch for the agreed rules.
	Leased() bool
	// Banned are the backends out by hand.
	Banned() []string
	// Ban takes backends out by hand, as was said before this start, also where no list has named them yet.
	Ban(ids []string)
}

// Config is what a node is told.
type Config struct {
	Options    Options
	Name       string
	InstanceID uint64
	Seed       uint64
	Instances  int
	UsesRules  bool // rules are agreed on
	Classes    []string
	Balancer   balance.Settings
	Log        *slog.Logger
}

type event func(c *revival.Core, now time.Duration)

// Node is this process's way back. Its methods may be called at any time.
type Node struct {
	config    Config
	carrier   cluster.Carrier // nil for none
	startedAt time.Time
	saved     *state.Contents
	age       state.Age
	plan      atomic.Pointer[plan]
	events    chan event
	rng       *lockedRand // of admissions

	// turned is how many requests were not let in, by class.
	rejected []atomic.Int64

	// Set by Start:
	proxy  Proxy
	core   *revival.Core // the owner's
	joined bool          // it goes on where a running process is

	mu             sync.Mutex
	folder         *state.Folder
	writer         *state.Writer
	awaitingFolder bool // for a folder that another process holds
	addresses      map[string]string
	itemTrust      []ItemTrust
	demand         []float64

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Open reads the folder. Nothing in it, and no fault of it, keeps a proxy from starting.
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
			c.Log.Info(LogFolder, "what", "is held by another process, and taken once that lets go of it; until then bans by hand do not last", "error", err)
		} else {
			c.Log.Error(LogFolder, "what", "cannot be used; this start knows nothing of before, and bans by hand will not last", "error", err)
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

// Start begins the way back of a proxy. joined says that it goes on where a running process is, so there is no way to go.
func (n *Node) Start(side Proxy, joined bool) {
	n.proxy = side
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
			n.carrier.OnParcel(n.receive)
			n.carrier.Follow(n.setMembers)
		}
		n.running.Go(n.run)
	}
	if n.awaitingFolder {
		n.running.Go(n.openWhenReleased)
	}
}

func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// own is the goroutine that the core belongs to.
func (n *Node) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	measured, asked := n.now(), n.totals()
	counted := asked
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
		tally := n.totals()
		n.core.AddCounts(now, tally.since(counted))
		counted = tally
		if elapsed := now - measured; elapsed >= time.Second {
			n.updateDemand(tally.since(asked), elapsed)
			measured, asked = now, tally
		}
		n.core.Tick(now)
	}
}

func (n *Node) receive(body []byte) {
	r, err := revival.Decode(body)
	if err != nil {
		n.config.Log.Debug("recovery: a message is dropped", "error", err)
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

func (n *Node) setMembers(s view.Standing) {
	addresses, living := s.Addresses()
	n.mu.Lock()
	n.addresses = addresses
	n.mu.Unlock()
	n.enqueue(func(c *revival.Core, now time.Duration) { c.SetMembers(now, living) })
}

// Listed says that a list has come from discovery, or from before; it must not be called with the proxy's locks held.
func (n *Node) ListUpdated(fresh bool) {
	births := n.proxy.StartTimes()
	ahead := n.now() - n.proxy.Now() // of the core's clock
	for i := range births {
		births[i] += ahead
	}
	n.enqueue(func(c *revival.Core, now time.Duration) { c.SetList(now, fresh, births) })
}

// Close ends the way back, writes what is known a last time and lets go of the folder.
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
