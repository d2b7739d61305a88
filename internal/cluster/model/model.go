// Package model simulates a fleet's views on a virtual clock: many members, a network with faults, and processes that are killed,
// paused and started again, all from a seed. It covers sizes and durations that tests with real processes cannot, and shows the effect
// of a defence by running the same seeds without it. It does not model processor time, buffers or the kernel.
package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"brasswell/internal/cluster/schedule"
	"brasswell/internal/cluster/view"
	"brasswell/internal/rig/faults"
	"brasswell/internal/rig/story"
)

// Config configures a simulated fleet.
type Config struct {
	Scenario *story.Story
	Seeds    int // how many members are seeds of all members; 0 means 3
	// Configure changes each member's settings, to disable defences; may be nil.
	Configure func(*view.Settings)
	// Size returns the bytes of a message; if nil, no bytes are counted.
	Size func(*view.Message) int
	// OnChange is called with every change, in order; may be nil.
	OnChange func(now time.Duration, member string, c view.Change)
}

// The delay of a path without faults is uniform between minDelay and minDelay+delaySpread.
const (
	minDelay    = 200 * time.Microsecond
	delaySpread = 800 * time.Microsecond
	// falseDeathGracePeriods is how long after a path fault, a pause or a start a declared death does not count as false: updates about
	// it may still be in flight.
	falseDeathGracePeriods = 24 // periods
)

type process struct {
	name, address   string
	index           int
	up, paused      bool
	boot            uint64
	starts          int
	view            *view.View
	inbox           []event       // events received while it is paused
	wakeAt          time.Duration // the time of the queued wake event
	pathsSoundSince time.Duration // since when its paths have no faults
	runningSince    time.Duration // since when it is up and not paused
	mismatches      int           // members whose presence its view has wrong
	holds           []bool        // by member, whether its view holds the member present
}

type eventKind uint8

const (
	wake eventKind = iota
	datagram
	exchangeAsk
	exchangeAnswer
	act
)

type event struct {
	at      time.Duration
	kind    eventKind
	to      int
	from    string // address
	message *view.Message
	table   []view.Record
	act     story.Act
	boot    uint64 // of the receiver, for streams that end with it
}

// Stats are the results of a simulation.
type Stats struct {
	Datagrams int64
	Bytes     int64
	Exchanges int64
	Events    int64
	// Deaths counts how often a member was declared dead; FalseDeaths counts those of running members on paths without faults.
	Deaths, FalseDeaths int
	Refuted             int
	Convergences        []Convergence
}

// Convergence is the time from an act until all views of running processes were correct again.
type Convergence struct {
	Do   string
	End  bool
	At   time.Duration
	Took time.Duration // negative if the next act came first
}

// Fleet is a simulated fleet.
type Fleet struct {
	config     Config
	now        time.Duration
	queue      schedule.Queue[event]
	network    *faults.Network
	rng        *rand.Rand
	layers     map[int]*faults.Layer
	procs      []*process
	byAddr     map[string]*process
	byName     map[string]*process
	running    []bool // by member, whether it is running
	wrongViews int    // running, unpaused processes whose view has a mismatch
	pending    *Convergence
	Stats      Stats
}

// New returns a fleet in which all members start at once, except those that the scenario starts later. Their first periods begin at
// random times.
func New(c Config) (*Fleet, error) {
	if err := c.Scenario.Validate(); err != nil {
		return nil, err
	}
	if c.Seeds == 0 {
		c.Seeds = 3
	}
	f := &Fleet{
		config: c, network: faults.NewNetwork(c.Scenario.Seed), rng: rand.New(rand.NewPCG(c.Scenario.Seed, 7)),
		layers: map[int]*faults.Layer{}, byAddr: map[string]*process{}, byName: map[string]*process{},
		running: make([]bool, c.Scenario.Members),
	}
	for i, name := range c.Scenario.Names() {
		p := &process{name: name, address: fmt.Sprintf("127.1.%d.%d:7", i/250, 1+i%250), index: i, holds: make([]bool, c.Scenario.Members)}
		f.procs = append(f.procs, p)
		f.byAddr[p.address], f.byName[name] = p, p
	}
	for _, p := range f.procs {
		if !slices.Contains(c.Scenario.Late, p.name) {
			f.start(p)
		}
	}
	for _, a := range c.Scenario.Acts() {
		f.push(event{at: a.At, kind: act, act: a})
	}
	f.pending = &Convergence{Do: "begin"}
	f.recount()
	return f, nil
}

func (f *Fleet) push(e event) {
	f.queue.Push(e.at, e)
}

// host implements view.Host for a simulated process.
type host struct {
	fleet *Fleet
	proc  *process
}

func (h host) Send(to string, m *view.Message) {
	f := h.fleet
	f.Stats.Datagrams++
	size := 100
	if f.config.Size != nil {
		size = f.config.Size(m)
		f.Stats.Bytes += int64(size)
	}
	q := f.byAddr[to]
	if q == nil {
		return
	}
	for _, d := range f.network.Datagram(f.now, faults.Path{From: h.proc.name, To: q.name}, size) {
		if d.Bit >= 0 {
			continue // the checksum detects the flipped bit
		}
		f.push(event{at: f.now + f.delay() + d.After, kind: datagram, to: q.index, from: h.proc.address, message: m})
	}
}

func (f *Fleet) delay() time.Duration {
	return minDelay + time.Duration(f.rng.Float64()*float64(delaySpread))
}

func (h host) Exchange(to string) {
	f := h.fleet
	f.Stats.Exchanges++
	f.stream(h.proc, to, exchangeAsk, h.proc.view.Table())
}

func (f *Fleet) stream(from *process, to string, kind eventKind, table []view.Record) {
	q := f.byAddr[to]
	if q == nil || !q.up {
		return
	}
	after, open := f.network.Stream(f.now, faults.Path{From: from.name, To: q.name}, 60*len(table))
	if f.config.Size != nil {
		f.Stats.Bytes += int64(60 * len(table))
	}
	if !open {
		return
	}
	f.push(event{at: f.now + 2*f.delay() + after, kind: kind, to: q.index, from: from.address, table: table, boot: q.boot})
}

func (h host) Changed(c view.Change) {
	f, p := h.fleet, h.proc
	if f.config.OnChange != nil {
		f.config.OnChange(f.now, p.name, c)
	}
	q := f.byName[c.Name]
	if q == nil || q == p || c.Why == view.Paused {
		return
	}
	switch {
	case c.State == view.Dead:
		f.Stats.Deaths++
		grace := time.Duration(falseDeathGracePeriods) * time.Duration(f.config.Scenario.Period)
		if q.up && !q.paused && f.now-q.runningSince > grace && f.now-q.pathsSoundSince > grace && f.now-p.pathsSoundSince > grace {
			f.Stats.FalseDeaths++
		}
	case c.Was == view.Suspect && c.State == view.Alive:
		f.Stats.Refuted++
	}
	f.setPresent(p, q.index, c.State == view.Alive || c.State == view.Suspect)
}

// setPresent records whether p's view holds a member present.
func (f *Fleet) setPresent(p *process, member int, present bool) {
	if p.holds[member] == present {
		return
	}
	before := p.mismatches
	p.holds[member] = present
	if present == f.running[member] {
		p.mismatches--
	} else {
		p.mismatches++
	}
	if p.up && !p.paused {
		f.count(before, p.mismatches)
	}
}

// count updates the number of wrong views after the mismatches of one view changed.
func (f *Fleet) count(before, after int) {
	if before == 0 && after > 0 {
		f.wrongViews++
	} else if before > 0 && after == 0 {
		f.wrongViews--
	}
	f.settle()
}

func (f *Fleet) settle() {
	if f.wrongViews == 0 && f.pending != nil {
		f.pending.Took = f.now - f.pending.At
		f.Stats.Convergences = append(f.Stats.Convergences, *f.pending)
		f.pending = nil
	}
}

// recount recomputes all mismatches after an act.
func (f *Fleet) recount() {
	f.wrongViews = 0
	for _, p := range f.procs {
		if !p.up || p.paused {
			continue
		}
		p.mismatches = 0
		for i, present := range p.holds {
			if i != p.index && present != f.running[i] {
				p.mismatches++
			}
		}
		if p.mismatches > 0 {
			f.wrongViews++
		}
	}
}

func (f *Fleet) start(p *process) {
	p.starts++
	p.up, p.paused, p.boot, p.runningSince = true, false, f.rng.Uint64(), f.now
	clear(p.holds)
	f.running[p.index] = true
	s := view.Settings{
		Name: p.name, Address: p.address, InstanceID: p.boot, Period: time.Duration(f.config.Scenario.Period), MaxMembers: 2*len(f.procs) + 16,
	}
	for i := range min(f.config.Seeds, len(f.procs)) {
		s.Seeds = append(s.Seeds, f.procs[i].address)
	}
	if f.config.Configure != nil {
		f.config.Configure(&s)
	}
	v, err := view.New(f.now, s, f.config.Scenario.Seed+uint64(p.index)<<16+uint64(p.starts), host{f, p})
	if err != nil {
		panic(err) // the settings are built here, so an error is a bug
	}
	p.view, p.wakeAt, p.inbox = v, -1, nil
	f.schedule(p)
}

func (f *Fleet) stop(p *process, leave bool) {
	if leave && p.up && !p.paused {
		p.view.Leave(f.now)
	}
	p.up, p.view, p.inbox = false, nil, nil
	f.running[p.index] = false
}

// schedule queues the process's next wake event.
func (f *Fleet) schedule(p *process) {
	if next := max(p.view.Next(), f.now); p.wakeAt < f.now || next < p.wakeAt {
		p.wakeAt = next
		f.push(event{at: next, kind: wake, to: p.index, boot: p.boot})
	}
}

// Run runs the simulation until a time of the fleet's clock.
func (f *Fleet) Run(until time.Duration) {
	for {
		at, e, due := f.queue.Pop(until)
		if !due {
			break
		}
		f.now = at
		f.Stats.Events++
		if e.kind == act {
			f.act(e.act)
			continue
		}
		f.deliver(f.procs[e.to], e)
	}
	f.now = until
}

func (f *Fleet) deliver(p *process, e event) {
	switch {
	case !p.up || e.kind != datagram && e.boot != p.boot:
		return
	case p.paused:
		const socketBuffer = 300 // datagrams that the kernel buffers for a process that does not read
		if e.kind != wake && len(p.inbox) < socketBuffer {
			p.inbox = append(p.inbox, e)
		}
		return
	}
	switch e.kind {
	case wake:
		if e.at != p.wakeAt {
			return // replaced by an earlier one
		}
		p.wakeAt = -1
		p.view.Wake(f.now)
	case datagram:
		m := *e.message
		m.Updates = slices.Clone(m.Updates)
		p.view.Receive(f.now, e.from, &m)
	case exchangeAsk:
		answer := p.view.Table()
		p.view.Merge(f.now, e.table, f.byAddr[e.from].name)
		f.stream(p, e.from, exchangeAnswer, answer)
	case exchangeAnswer:
		p.view.Merge(f.now, e.table, f.byAddr[e.from].name)
	}
	f.schedule(p)
}

// targets returns the members that an event affects; all of them if it names none.
func (f *Fleet) targets(e story.Event) []*process {
	if len(e.Who) == 0 {
		return f.procs
	}
	var who []*process
	for _, n := range e.Who {
		if p := f.byName[n]; p != nil {
			who = append(who, p)
		}
	}
	return who
}

func (f *Fleet) act(a story.Act) {
	if f.pending != nil {
		f.pending.Took = -1
		f.Stats.Convergences = append(f.Stats.Convergences, *f.pending)
	}
	e := f.config.Scenario.Events[a.Event]
	f.pending = &Convergence{Do: e.Do, End: a.End, At: a.At}
	switch {
	case e.Network() && !a.End:
		f.layers[a.Event] = f.network.Add(f.config.Scenario.Paths(e), e.Condition())
		f.pathsChanged()
	case e.Network():
		f.network.Remove(f.layers[a.Event])
		delete(f.layers, a.Event)
		f.pathsChanged()
	case e.Do == story.Start || a.End && (e.Do == story.Kill || e.Do == story.Stop):
		for _, p := range f.targets(e) {
			if !p.up {
				f.start(p)
			}
		}
	case e.Do == story.Kill || e.Do == story.Stop:
		for _, p := range f.targets(e) {
			f.stop(p, e.Do == story.Stop)
		}
	case e.Do == story.Pause:
		for _, p := range f.targets(e) {
			f.pause(p, !a.End)
		}
	}
	if e.Network() && !a.End && (e.Do == story.Cut || e.Do == story.CutTo) {
		f.pending = nil // the expected views during a cut are not modelled
	}
	f.recount()
	f.settle()
}

// pathsChanged resets the time since which paths have no faults. While there is a cut, any process may be on the other side of it, so
// no process's paths count as free of faults.
func (f *Fleet) pathsChanged() {
	since := f.now
	for i := range f.layers {
		if f.config.Scenario.Events[i].Condition().Cut {
			since = never
		}
	}
	for _, p := range f.procs {
		p.pathsSoundSince = since
	}
}

// never is later than the end of any scenario.
const never = time.Duration(1 << 62)

func (f *Fleet) pause(p *process, on bool) {
	if !p.up {
		return
	}
	p.paused, p.runningSince = on, f.now
	if on {
		return
	}
	inbox := p.inbox
	p.inbox = nil
	p.wakeAt = -1
	for _, e := range inbox {
		if p.up {
			e.at = f.now
			f.deliver(p, e)
		}
	}
	f.schedule(p)
}

// Now returns the time of the fleet's clock.
func (f *Fleet) Now() time.Duration { return f.now }

// Converged reports whether the views of all running, unpaused processes hold exactly the running members present.
func (f *Fleet) Converged() bool { return f.wrongViews == 0 }

// Mismatches describes each wrong entry in the views of running, unpaused processes, for test output.
func (f *Fleet) Mismatches() []string {
	var lines []string
	for _, p := range f.procs {
		if !p.up || p.paused {
			continue
		}
		for i, present := range p.holds {
			if i != p.index && present != f.running[i] {
				lines = append(lines, fmt.Sprintf("%s holds %s %v", p.name, f.procs[i].name, p.view.StateOf(f.procs[i].name)))
			}
		}
	}
	return lines
}

// View returns a member's view; nil while its process is not running.
func (f *Fleet) View(name string) *view.View { return f.byName[name].view }
