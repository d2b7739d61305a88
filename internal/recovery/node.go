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
	mostWaiting = 256
	// lookEvery is between two looks at the proxy while it comes back, and restEvery after that.
	lookEvery = 50 * time.Millisecond
	restEvery = time.Second
	// heldEvery is between tries for a folder that the process before still holds.
	heldEvery = 200 * time.Millisecond
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
	config  Config
	carrier cluster.Carrier // nil for none
	began   time.Time
	found   *state.Contents
	age     state.Age
	plan    atomic.Pointer[plan]
	events  chan event
	dice    *dice // of admissions

	// turned is how many requests were not let in, by class.
	turned []atomic.Int64

	// Set by Start:
	side   Proxy
	core   *revival.Core // the owner's
	joined bool          // it goes on where a running process is

	mu        sync.Mutex
	folder    *state.Folder
	keeper    *state.Writer
	waiting   bool // for a folder that another process holds
	addresses map[string]string
	trusted   []ItemTrust
	demand    []float64

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Open reads the folder. Nothing in it, and no fault of it, keeps a proxy from starting.
func Open(c Config, carrier cluster.Carrier) *Node {
	n := &Node{config: c, carrier: carrier, began: time.Now(), found: &state.Contents{}, events: make(chan event, mostWaiting), dice: newDice(c.Seed), demand: make([]float64, len(c.Classes)), turned: make([]atomic.Int64, len(c.Classes))}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	first := &plan{shares: make([]float64, len(c.Classes))}
	if c.Balancer.RetryAfter {
		first.wait = c.Balancer.MaxRetryAfter
	}
	n.plan.Store(first)
	folder, err := state.OpenFolder(c.Options.Folder)
	if err != nil {
		n.waiting = errors.Is(err, state.ErrLocked)
		if n.waiting {
			c.Log.Info(LogFolder, "what", "is held by another process, and taken once that lets go of it; until then bans by hand do not last", "error", err)
		} else {
			c.Log.Error(LogFolder, "what", "cannot be used; this start knows nothing of before, and bans by hand will not last", "error", err)
		}
		return n
	}
	n.folder = folder
	store, found := state.Open(folder, c.Name)
	n.found = found
	for _, t := range found.Problems {
		c.Log.Warn(LogFolder, "what", t)
	}
	n.age = state.Age{Max: state.UnknownAge}
	if found.Learned != nil {
		n.age = state.AgeOf(found.Learned.Written, state.Now())
	}
	n.keeper = state.StartWriter(store, c.Options.SaveInterval, n.learned, c.Log)
	return n
}

// Start begins the way back of a proxy. joined says that it goes on where a running process is, so there is no way to go.
func (n *Node) Start(side Proxy, joined bool) {
	n.side = side
	c := &n.config
	s := revival.Settings{
		Name: c.Name, InstanceID: c.InstanceID, Standalone: n.carrier == nil || c.Instances == 1, UsesRules: c.UsesRules, FleetSize: c.Instances,
		ColdCapacity: c.Balancer.ColdCapacity, WarmUp: c.Balancer.WarmUp, Times: revival.DefaultTimes(),
	}
	s.Times.JustStarted = c.Options.JustStarted
	for i, name := range c.Classes {
		s.Classes = append(s.Classes, revival.Class{Name: name, Value: c.Balancer.Classes[i].Value})
	}
	if l := n.found.Learned; l != nil {
		s.SameMachineBoot = l.Written.Machine != "" && l.Written.Machine == state.Now().Machine
		for _, name := range c.Classes {
			s.Demand = append(s.Demand, l.Demand[name])
		}
	}
	n.joined = joined
	if joined {
		n.admitAll()
		n.running.Go(n.rest)
	} else {
		n.core = revival.New(n.now(), s, c.Seed, host{n})
		if n.carrier != nil {
			n.carrier.OnParcel(n.parcel)
			n.carrier.Follow(n.members)
		}
		n.running.Go(n.own)
	}
	if n.waiting {
		n.running.Go(n.openLater)
	}
}

func (n *Node) now() time.Duration { return time.Since(n.began) }

// own is the goroutine that the core belongs to.
func (n *Node) own() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	measured, asked := n.now(), n.tally()
	counted := asked
	for {
		every := lookEvery
		if n.core.Step() == revival.Done {
			every = restEvery
		}
		timer.Reset(max(min(n.core.Next()-n.now(), every), 0))
		select {
		case <-n.ctx.Done():
			return
		case e := <-n.events:
			e(n.core, n.now())
			continue
		case <-timer.C:
		}
		now := n.now()
		if n.side.Leased() {
			n.core.SetLeased(now)
		}
		tally := n.tally()
		n.core.AddCounts(now, tally.since(counted))
		counted = tally
		if past := now - measured; past >= time.Second {
			n.demanded(tally.since(asked), past)
			measured, asked = now, tally
		}
		n.core.Tick(now)
	}
}

func (n *Node) parcel(body []byte) {
	r, err := revival.Decode(body)
	if err != nil {
		n.config.Log.Debug("recovery: a message is dropped", "error", err)
		return
	}
	n.event(func(c *revival.Core, now time.Duration) { c.ReceiveReport(now, r) })
}

func (n *Node) event(e event) {
	select {
	case n.events <- e:
	default:
	}
}

func (n *Node) members(s view.Snapshot) {
	addresses, living := s.Addresses()
	n.mu.Lock()
	n.addresses = addresses
	n.mu.Unlock()
	n.event(func(c *revival.Core, now time.Duration) { c.SetMembers(now, living) })
}

// Listed says that a list has come from discovery, or from before; it must not be called with the proxy's locks held.
func (n *Node) ListUpdated(fresh bool) {
	births := n.side.StartTimes()
	ahead := n.now() - n.side.Now() // of the core's clock
	for i := range births {
		births[i] += ahead
	}
	n.event(func(c *revival.Core, now time.Duration) { c.SetList(now, fresh, births) })
}

// Close ends the way back, writes what is known a last time and lets go of the folder.
func (n *Node) Close() {
	n.cancel()
	n.running.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.keeper != nil {
		n.keeper.Close()
		n.folder.Close()
	}
}
