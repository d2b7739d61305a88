package revival

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"brasswell/internal/cluster/view"
	"brasswell/internal/strict"
)

// Step is how far a proxy has come back. Each waits for something, and for a stated time at most.
type Step uint8

// The steps, in order.
const (
	Peers     Step = iota // who else is just starting
	Rules                 // a lease on the agreed rules
	Lists                 // a list from discovery
	Admitting             // classes are let in as the backends get warm
	Done
)

func (s Step) String() string {
	return [...]string{"asks who else starts", "waits for the agreed rules", "waits for a list", "lets classes in", "done"}[s]
}

// Class is one class of requests.
type Class struct {
	Name  string
	Value float64 // of one request
}

// Times bound the steps.
type Times struct {
	Peers time.Duration // others are asked for so long
	Rules time.Duration // a lease is waited for
	Lists time.Duration // a list is waited for
	// Young is how long a proxy counts as just started.
	JustStarted time.Duration
	// Slack is by which factor Opening may take longer than the backends' warm-up.
	WarmUpFactor float64
}

// DefaultTimes fit one site.
func DefaultTimes() Times {
	return Times{Peers: time.Second, Rules: 2 * time.Second, Lists: time.Second, JustStarted: time.Minute, WarmUpFactor: 1.3}
}

// Settings are what a core is told.
type Settings struct {
	Name            string
	InstanceID      uint64 // drawn at each start
	Standalone      bool   // there are no others to ask: one instance, or no view of the fleet
	FleetSize       int    // how many proxies there are, this one included; 0 where that is not known
	UsesRules       bool   // rules are agreed on, so a lease is waited for
	SameMachineBoot bool   // the machine has run on since what was known was written: it has not lost its power
	Classes         []Class
	// ColdFrom and WarmUp say how a backend gets warm: from that share of what it can do to all of it, evenly.
	ColdCapacity float64
	WarmUp       time.Duration
	// Demand is what was asked for before, by class, in requests a second; nil where that is not known.
	Demand []float64
	Times  Times

	// Each takes one defence out, so that a checker can be seen to find what it guards against.
	NoFleetRestart    bool // every start is held to be a restart of one
	NoStagedAdmission bool // all classes are let in at once
}

// Report is what a proxy tells another of its start.
type Report struct {
	Name         string        `cbor:"1,keyasint" json:"name"`
	InstanceID   uint64        `cbor:"2,keyasint" json:"boot"`
	Uptime       time.Duration `cbor:"3,keyasint" json:"up"` // since its start
	Step         Step          `cbor:"4,keyasint" json:"step"`
	Kind         Kind          `cbor:"5,keyasint" json:"kind"`
	AdmittingFor time.Duration `cbor:"6,keyasint,omitempty" json:"open,omitempty"` // how long the first one that it knows of has been letting classes in
	Reply        bool          `cbor:"7,keyasint,omitempty" json:"-"`              // an answer, to which none is due
}

// Encode writes a report.
func (r *Report) Encode() ([]byte, error) { return cbor.Marshal(r) }

var reading = strict.CBOR(cbor.DecOptions{TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16})

// Decode reads a report from outside, and says what is wrong with it.
func Decode(b []byte) (*Report, error) {
	r := &Report{}
	if err := reading.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("revival: %w", err)
	}
	switch {
	case r.Name == "" || len(r.Name) > view.MaxNameBytes:
		return nil, fmt.Errorf("revival: a name of %d bytes", len(r.Name))
	case r.Uptime < 0 || r.AdmittingFor < 0 || r.AdmittingFor > r.Uptime+mostAhead:
		return nil, errors.New("revival: times that cannot be")
	case r.Step > Done || r.Kind > FleetRestart:
		return nil, fmt.Errorf("revival: no step %d of kind %d", r.Step, r.Kind)
	}
	return r, nil
}

const (
	// mostAhead is how much longer than it runs itself a proxy may say that others have been letting in.
	mostAhead = time.Hour
	// askEvery is between two rounds of questions before it is decided what this start is, and followEvery after it.
	askEvery    = 150 * time.Millisecond
	followEvery = time.Second
	// askMost others are asked in one round.
	askMost = 12
	// mostPeers reports are remembered.
	mostPeers = 4096
	// planEvery is between two plans of what is let in.
	planEvery = 250 * time.Millisecond
	// headroom is by how much what is let in at first may be over what the backends are thought to take.
	headroom = 1.25
	// trickle of a class that is shut is let in, so that what it would need is seen.
	trickle = 0.02
	// openStep is by how much the share of the worthiest class that is not wholly let in grows in a plan's time without trouble, and
	// shutShare what is left of a lesser one's share after trouble.
	openStep, shutShare = 0.34, 0.5
	// troubled is the share of a class's requests, once let in, that must be lost for it to be in trouble, and fewest how many must
	// have come.
	troubled, fewest = 0.1, 4
)

// Count is what became of a class's requests since the last one.
type Count struct {
	Received float64
	Admitted float64 // let in
	Failed   float64 // of these, refused or failed
}

// Host carries out what a core decides. Its methods are called from within the core's own and must not call back.
type Host interface {
	// Tell sends a report to a proxy by its name; it may be lost.
	SendReport(to string, r *Report)
	// Begin takes up what is known, by the kind of this start. It is called once. Where it is a return, others have been letting
	// classes in for so long, so backends may have been warming up since then.
	RestoreState(k Kind, ago time.Duration)
	// Admit replaces the shares of the classes' requests that are let in.
	SetShares(shares []float64)
	// Moved tells that a step has been taken, and why.
	StepChanged(to Step, why string)
}

type peer struct {
	boot uint64
	up   time.Duration // at heard
	step Step
	kind Kind
	open time.Duration // at heard
	at   time.Duration // when it was heard
}

// Core is one proxy's way back. It is not safe for concurrent use.
type Core struct {
	set   Settings
	host  Host
	rng   *rand.Rand
	began time.Duration
	now   time.Duration
	step  Step
	since time.Duration // that it is in this step
	kind  Kind
	why   string

	members []string // others who are held to live
	peers   map[string]peer
	ask     time.Duration // when others are asked next
	plan    time.Duration // when the next plan is due
	leased  bool
	listed  bool
	births  []time.Duration // of the backends in service, as far as they are believed, on this core's clock
	most    int             // backends that there have been at one time, before or now
	order   []int           // classes by worth
	counts  []Count         // since the last plan, by class
	shares  []float64
}

// New returns the core of a proxy that starts now.
func New(now time.Duration, s Settings, seed uint64, host Host) *Core {
	c := &Core{
		set: s, host: host, rng: rand.New(rand.NewPCG(seed, s.InstanceID)), began: now, now: now, since: now, peers: map[string]peer{}, ask: now, plan: now,
		counts: make([]Count, len(s.Classes)), shares: make([]float64, len(s.Classes)),
	}
	for i := range s.Classes {
		c.order = append(c.order, i)
	}
	slices.SortStableFunc(c.order, func(a, b int) int { return cmp.Compare(s.Classes[b].Value, s.Classes[a].Value) })
	c.advance()
	return c
}

// Next is when Wake is to be called at the latest.
func (c *Core) Next() time.Duration {
	next := c.since + planEvery
	switch c.step {
	case Peers:
		next = c.since + c.set.Times.Peers
	case Rules:
		next = c.since + c.set.Times.Rules
	case Lists:
		next = c.since + c.set.Times.Lists
	case Admitting:
		next = c.plan
	case Done:
		return c.now + time.Hour
	}
	if !c.set.Standalone {
		next = min(next, c.ask)
	}
	return next
}

// Wake does what is due.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if !c.set.Standalone && now >= c.ask && c.step != Done {
		c.askOthers()
	}
	c.advance()
}

// askOthers tells some of the others of this start; each answers.
func (c *Core) askOthers() {
	every := followEvery
	if c.step == Peers {
		every = askEvery
	}
	c.ask = c.now + every - time.Duration(c.rng.Float64()*float64(every)/4)
	some := slices.Clone(c.members)
	c.rng.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	for _, name := range some[:min(len(some), askMost)] {
		c.host.SendReport(name, c.report(false))
	}
}

func (c *Core) report(reply bool) *Report {
	return &Report{Name: c.set.Name, InstanceID: c.set.InstanceID, Uptime: c.now - c.began, Step: c.step, Kind: c.kind, AdmittingFor: c.opened(), Reply: reply}
}

// opened is for how long the first proxy of this return that is known of has been letting classes in; 0 while none is.
func (c *Core) opened() (longest time.Duration) {
	if c.step == Admitting {
		longest = c.now - c.since
	}
	if c.kind != FleetRestart {
		return longest
	}
	for _, p := range c.peers {
		if p.kind == FleetRestart && p.open > 0 && p.step != Done {
			longest = max(longest, p.open+c.now-p.at)
		}
	}
	return longest
}

// SetMembers says who else is held to live, by name.
func (c *Core) SetMembers(now time.Duration, names []string) {
	c.now = now
	c.members = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == c.set.Name })
	if c.step == Peers {
		c.ask = min(c.ask, now) // somebody new may know
	}
}

// Heard takes in another proxy's report.
func (c *Core) ReceiveReport(now time.Duration, r *Report) {
	c.now = now
	if r.Name == c.set.Name {
		return // another process under this name: the view tells of it
	}
	if _, known := c.peers[r.Name]; known || len(c.peers) < mostPeers {
		c.peers[r.Name] = peer{boot: r.InstanceID, up: r.Uptime, step: r.Step, kind: r.Kind, open: r.AdmittingFor, at: now}
	}
	if !r.Reply {
		c.host.SendReport(r.Name, c.report(true))
	}
	c.advance()
}

// Leased says that rules which keepers vouch for are acted on.
func (c *Core) SetLeased(now time.Duration) {
	c.now, c.leased = now, true
	c.advance()
}

// Listed says that discovery has told a list, and when the backends in service were born, as far as that is believed.
func (c *Core) SetList(now time.Duration, fresh bool, births []time.Duration) {
	c.now = now
	c.listed = c.listed || fresh
	c.births = births
	c.most = max(c.most, len(births))
	c.advance()
}

// Counted takes in what has become of requests since it was called last, by class.
func (c *Core) AddCounts(now time.Duration, counts []Count) {
	c.now = now
	for i := range min(len(counts), len(c.counts)) {
		c.counts[i].Admitted += counts[i].Admitted
		c.counts[i].Failed += counts[i].Failed
	}
}

// advance takes the steps that are due.
func (c *Core) advance() {
	for {
		before := c.step
		switch c.step {
		case Peers:
			c.decide()
		case Rules:
			switch late := c.now-c.since >= c.set.Times.Rules; {
			case !c.set.UsesRules:
				c.move(Lists, "no rules are agreed on")
			case c.leased:
				c.move(Lists, "holds a lease on the agreed rules")
			case late:
				c.move(Lists, "no keeper vouches for the rules in time: goes on carefully with those from before")
			}
		case Lists:
			switch late := c.now-c.since >= c.set.Times.Lists; {
			case c.listed:
				c.open("discovery has told a list")
			case late && len(c.births) > 0:
				c.open("discovery tells no list in time: goes on with the one from before")
			case late:
				c.open("there is no list, of any age: opens when one comes")
			}
		case Admitting:
			c.admit()
		}
		if c.step == before {
			return
		}
	}
}

func (c *Core) move(to Step, why string) {
	c.step, c.since, c.why = to, c.now, why
	c.host.StepChanged(to, why)
}

// decide says what this start is one of, as soon as that is clear or others have been asked for long enough.
func (c *Core) decide() {
	late := c.now-c.since >= c.set.Times.Peers
	old, young := 0, 0
	for _, p := range c.peers {
		// Who has just started and found that the fleet runs on is as good as one that has: a rolling restart is no return.
		if p.kind == Restart || p.up+c.now-p.at >= c.set.Times.JustStarted && (p.kind != FleetRestart || p.step == Done) {
			old++
		} else {
			young++
		}
	}
	switch {
	case c.set.NoFleetRestart:
		c.begin(Restart, "returns are not told from restarts")
	case c.set.Standalone && c.set.SameMachineBoot:
		c.begin(Restart, "there are no others, and this machine has kept its power")
	case c.set.Standalone:
		c.begin(FleetRestart, "there are no others, and this machine may have lost its power")
	case old > young && 2*(old+young) > len(c.members) && len(c.members) > 0:
		c.begin(Restart, fmt.Sprintf("%d of %d others that were heard have been running on", old, old+young))
	case old == 0 && c.set.FleetSize > 1 && 2*(young+1) > c.set.FleetSize:
		c.begin(FleetRestart, fmt.Sprintf("%d others of %d have just started too, which are most", young, c.set.FleetSize))
	case late && old > young:
		c.begin(Restart, fmt.Sprintf("%d of %d others that were heard have been running on", old, old+young))
	case late && old+young > 0:
		c.begin(FleetRestart, fmt.Sprintf("%d of %d others that were heard have just started too", young, old+young))
	case late:
		// Nobody alone believes that it is alone: the others may be behind a cut, and come back just now.
		c.begin(FleetRestart, "no other was heard")
	}
}

func (c *Core) begin(k Kind, why string) {
	c.kind = k
	c.host.RestoreState(k, c.opened())
	c.move(Rules, why)
}

// open begins to let classes in.
func (c *Core) open(why string) {
	if c.kind == Restart || c.set.NoStagedAdmission {
		// Backends are warm, or found to be cold one by one, and others serve beside.
		c.letIn(func(int) float64 { return 1 })
		c.move(Done, why)
		return
	}
	c.plan = c.now
	c.move(Admitting, why)
}

// bound is how long classes are let in one after another.
func (c *Core) bound() time.Duration {
	return time.Duration(c.set.Times.WarmUpFactor * float64(c.set.WarmUp))
}

// admit lets classes in, the worthiest first: at first as much as the backends are thought to take, and then more while nothing of
// what is let in is lost, and less of the lesser classes where a worthier one loses.
//
// It guards cold backends against all callers who come back in one second, and holds against the searches among them. What the
// backends can do is known only by a guess, so it is found out as TCP finds a path's rate (additive increase, multiplicative decrease;
// Chiu and Jain 1989). It harms where requests are lost for another cause than want of room: then lesser classes wait until the
// stated end in vain.
func (c *Core) admit() {
	if c.now < c.plan {
		return
	}
	c.plan = c.now + planEvery
	counts := c.counts
	c.counts = make([]Count, len(counts))
	switch {
	case c.now-c.since >= c.bound():
		c.letIn(func(int) float64 { return 1 })
		c.move(Done, "the backends have had the time to get warm")
		return
	case c.level() >= 1:
		c.letIn(func(int) float64 { return 1 })
		c.move(Done, "the backends are warm")
		return
	case slices.Max(c.shares) == 0:
		c.guess()
		return
	}
	trouble := len(c.order)
	for place, class := range c.order {
		if n := counts[class]; n.Admitted >= fewest && n.Failed > troubled*n.Admitted {
			trouble = place
			break
		}
	}
	growing := true
	c.letIn(func(place int) float64 {
		share := c.shares[c.order[place]]
		switch {
		case place > trouble:
			return max(share*shutShare, trickle)
		case place == trouble || !growing:
			return share
		case share < 1:
			growing = false // lesser ones wait until this one is wholly in
			return min(share+openStep, 1)
		}
		return share
	})
}

// guess lets in what was asked for before, as far as the backends are thought to take it by now if they took all of it before.
func (c *Core) guess() {
	level, before := c.level(), 0.0
	for _, d := range c.set.Demand {
		before += d
	}
	left := headroom * level * before
	c.letIn(func(place int) float64 {
		if place == 0 && before == 0 {
			return 1 // nothing is known: the worthiest alone
		}
		wants := 0.0
		if class := c.order[place]; class < len(c.set.Demand) {
			wants = c.set.Demand[class]
		}
		share := trickle
		if wants > 0 {
			share = min(max(left/wants, trickle), 1)
		}
		left = max(left-wants, 0)
		return share
	})
}

// level is what the backends can do by now, of what all of them do warm.
func (c *Core) level() float64 {
	if c.most == 0 {
		return 0
	}
	sum := 0.0
	for _, born := range c.births {
		warm := 1.0
		if c.set.WarmUp > 0 {
			warm = min(max(float64(c.now-born)/float64(c.set.WarmUp), 0), 1)
		}
		sum += c.set.ColdCapacity + (1-c.set.ColdCapacity)*warm
	}
	level := sum / float64(c.most)
	if c.set.WarmUp > 0 {
		// All follow the one that began first, so that who starts late does not hold back what others let in.
		level = max(level, c.set.ColdCapacity+(1-c.set.ColdCapacity)*min(float64(c.opened())/float64(c.set.WarmUp), 1)*float64(len(c.births))/float64(c.most))
	}
	return level
}

// letIn sets the shares by the classes' places in the order of worth. No class has more than a worthier one.
func (c *Core) letIn(share func(place int) float64) {
	shares := make([]float64, len(c.order))
	most := 1.0
	for place, class := range c.order {
		most = min(most, share(place))
		shares[class] = most
	}
	if !slices.Equal(shares, c.shares) {
		c.shares = shares
		c.host.SetShares(shares)
	}
}

// Status is how a proxy has come back, for people.
type Status struct {
	Step         Step
	Kind         Kind
	Why          string        // of the last step
	InStep       time.Duration // in this step
	MaxRemaining time.Duration // from now, when the step is over at the latest; 0 for a step that waits for nothing
	Capacity     float64       // what the backends can do by now, as far as known
	Shares       []float64     // by class
	JustStarted  int           // others that have just started
	Running      int
}

// Status says how far this proxy has come back.
func (c *Core) Status(now time.Duration) Status {
	c.now = now
	s := Status{Step: c.step, Kind: c.kind, Why: c.why, InStep: now - c.since, Capacity: c.level(), Shares: c.shares}
	bound := map[Step]time.Duration{Peers: c.set.Times.Peers, Rules: c.set.Times.Rules, Lists: c.set.Times.Lists, Admitting: c.bound()}[c.step]
	if bound > 0 {
		s.MaxRemaining = max(bound-s.InStep, 0)
	}
	for _, p := range c.peers {
		if p.up+now-p.at >= c.set.Times.JustStarted {
			s.Running++
		} else {
			s.JustStarted++
		}
	}
	return s
}

// Step is how far this proxy has come back.
func (c *Core) Step() Step { return c.step }
