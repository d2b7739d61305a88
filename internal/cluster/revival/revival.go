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

var decMode = strict.CBOR(cbor.DecOptions{TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16})

// Decode reads a report from outside, and says what is wrong with it.
func Decode(b []byte) (*Report, error) {
	r := &Report{}
	if err := decMode.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("revival: %w", err)
	}
	switch {
	case r.Name == "" || len(r.Name) > view.MostName:
		return nil, fmt.Errorf("revival: a name of %d bytes", len(r.Name))
	case r.Uptime < 0 || r.AdmittingFor < 0 || r.AdmittingFor > r.Uptime+maxAdmittingLead:
		return nil, errors.New("revival: times that cannot be")
	case r.Step > Done || r.Kind > FleetRestart:
		return nil, fmt.Errorf("revival: no step %d of kind %d", r.Step, r.Kind)
	}
	return r, nil
}

const (
	// mostAhead is how much longer than it runs itself a proxy may say that others have been letting in.
	maxAdmittingLead = time.Hour
	// askEvery is between two rounds of questions before it is decided what this start is, and followEvery after it.
	queryInterval     = 150 * time.Millisecond
	lateQueryInterval = time.Second
	// askMost others are asked in one round.
	maxQueriedPeers = 12
	// mostPeers reports are remembered.
	maxPeers = 4096
	// planEvery is between two plans of what is let in.
	planInterval = 250 * time.Millisecond
	// headroom is by how much what is let in at first may be over what the backends are thought to take.
	headroom = 1.25
	// trickle of a class that is shut is let in, so that what it would need is seen.
	minShare = 0.02
	// openStep is by how much the share of the worthiest class that is not wholly let in grows in a plan's time without trouble, and
	// shutShare what is left of a lesser one's share after trouble.
	shareStep, shareBackoff = 0.34, 0.5
	// troubled is the share of a class's requests, once let in, that must be lost for it to be in trouble, and fewest how many must
	// have come.
	overloadRatio, minSamples = 0.1, 4
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
	instanceID   uint64
	uptime       time.Duration // at heard
	step         Step
	kind         Kind
	admittingFor time.Duration // at heard
	receivedAt   time.Duration // when it was heard
}

// Core is one proxy's way back. It is not safe for concurrent use.
type Core struct {
	settings  Settings
	host      Host
	rng       *rand.Rand
	startedAt time.Duration
	now       time.Duration
	step      Step
	stepStart time.Duration // that it is in this step
	kind      Kind
	why       string

	members     []string // others who are held to live
	peers       map[string]peer
	nextQuery   time.Duration // when others are asked next
	nextPlan    time.Duration // when the next plan is due
	hasLease    bool
	hasList     bool
	startTimes  []time.Duration // of the backends in service, as far as they are believed, on this core's clock
	maxBackends int             // backends that there have been at one time, before or now
	byValue     []int           // classes by worth
	counts      []Count         // since the last plan, by class
	shares      []float64
}

// New returns the core of a proxy that starts now.
func New(now time.Duration, s Settings, seed uint64, host Host) *Core {
	c := &Core{
		settings: s, host: host, rng: rand.New(rand.NewPCG(seed, s.InstanceID)), startedAt: now, now: now, stepStart: now, peers: map[string]peer{}, nextQuery: now, nextPlan: now,
		counts: make([]Count, len(s.Classes)), shares: make([]float64, len(s.Classes)),
	}
	for i := range s.Classes {
		c.byValue = append(c.byValue, i)
	}
	slices.SortStableFunc(c.byValue, func(a, b int) int { return cmp.Compare(s.Classes[b].Value, s.Classes[a].Value) })
	c.advance()
	return c
}

// Next is when Wake is to be called at the latest.
func (c *Core) Next() time.Duration {
	next := c.stepStart + planInterval
	switch c.step {
	case Peers:
		next = c.stepStart + c.settings.Times.Peers
	case Rules:
		next = c.stepStart + c.settings.Times.Rules
	case Lists:
		next = c.stepStart + c.settings.Times.Lists
	case Admitting:
		next = c.nextPlan
	case Done:
		return c.now + time.Hour
	}
	if !c.settings.Standalone {
		next = min(next, c.nextQuery)
	}
	return next
}

// Wake does what is due.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if !c.settings.Standalone && now >= c.nextQuery && c.step != Done {
		c.queryPeers()
	}
	c.advance()
}

// askOthers tells some of the others of this start; each answers.
func (c *Core) queryPeers() {
	interval := lateQueryInterval
	if c.step == Peers {
		interval = queryInterval
	}
	c.nextQuery = c.now + interval - time.Duration(c.rng.Float64()*float64(interval)/4)
	queried := slices.Clone(c.members)
	c.rng.Shuffle(len(queried), func(i, j int) { queried[i], queried[j] = queried[j], queried[i] })
	for _, name := range queried[:min(len(queried), maxQueriedPeers)] {
		c.host.SendReport(name, c.report(false))
	}
}

func (c *Core) report(reply bool) *Report {
	return &Report{Name: c.settings.Name, InstanceID: c.settings.InstanceID, Uptime: c.now - c.startedAt, Step: c.step, Kind: c.kind, AdmittingFor: c.admittingFor(), Reply: reply}
}

// opened is for how long the first proxy of this return that is known of has been letting classes in; 0 while none is.
func (c *Core) admittingFor() (longest time.Duration) {
	if c.step == Admitting {
		longest = c.now - c.stepStart
	}
	if c.kind != FleetRestart {
		return longest
	}
	for _, p := range c.peers {
		if p.kind == FleetRestart && p.admittingFor > 0 && p.step != Done {
			longest = max(longest, p.admittingFor+c.now-p.receivedAt)
		}
	}
	return longest
}

// SetMembers says who else is held to live, by name.
func (c *Core) SetMembers(now time.Duration, names []string) {
	c.now = now
	c.members = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == c.settings.Name })
	if c.step == Peers {
		c.nextQuery = min(c.nextQuery, now) // somebody new may know
	}
}

// Heard takes in another proxy's report.
func (c *Core) ReceiveReport(now time.Duration, r *Report) {
	c.now = now
	if r.Name == c.settings.Name {
		return // another process under this name: the view tells of it
	}
	if _, known := c.peers[r.Name]; known || len(c.peers) < maxPeers {
		c.peers[r.Name] = peer{instanceID: r.InstanceID, uptime: r.Uptime, step: r.Step, kind: r.Kind, admittingFor: r.AdmittingFor, receivedAt: now}
	}
	if !r.Reply {
		c.host.SendReport(r.Name, c.report(true))
	}
	c.advance()
}

// Leased says that rules which keepers vouch for are acted on.
func (c *Core) SetLeased(now time.Duration) {
	c.now, c.hasLease = now, true
	c.advance()
}

// Listed says that discovery has told a list, and when the backends in service were born, as far as that is believed.
func (c *Core) SetList(now time.Duration, fresh bool, startTimes []time.Duration) {
	c.now = now
	c.hasList = c.hasList || fresh
	c.startTimes = startTimes
	c.maxBackends = max(c.maxBackends, len(startTimes))
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
			c.decideKind()
		case Rules:
			switch late := c.now-c.stepStart >= c.settings.Times.Rules; {
			case !c.settings.UsesRules:
				c.setStep(Lists, "no rules are agreed on")
			case c.hasLease:
				c.setStep(Lists, "holds a lease on the agreed rules")
			case late:
				c.setStep(Lists, "no keeper vouches for the rules in time: goes on carefully with those from before")
			}
		case Lists:
			switch late := c.now-c.stepStart >= c.settings.Times.Lists; {
			case c.hasList:
				c.startAdmitting("discovery has told a list")
			case late && len(c.startTimes) > 0:
				c.startAdmitting("discovery tells no list in time: goes on with the one from before")
			case late:
				c.startAdmitting("there is no list, of any age: opens when one comes")
			}
		case Admitting:
			c.updateShares()
		}
		if c.step == before {
			return
		}
	}
}

func (c *Core) setStep(to Step, why string) {
	c.step, c.stepStart, c.why = to, c.now, why
	c.host.StepChanged(to, why)
}

// decide says what this start is one of, as soon as that is clear or others have been asked for long enough.
func (c *Core) decideKind() {
	late := c.now-c.stepStart >= c.settings.Times.Peers
	running, justStarted := 0, 0
	for _, p := range c.peers {
		// Who has just started and found that the fleet runs on is as good as one that has: a rolling restart is no return.
		if p.kind == Restart || p.uptime+c.now-p.receivedAt >= c.settings.Times.JustStarted && (p.kind != FleetRestart || p.step == Done) {
			running++
		} else {
			justStarted++
		}
	}
	switch {
	case c.settings.NoFleetRestart:
		c.setKind(Restart, "returns are not told from restarts")
	case c.settings.Standalone && c.settings.SameMachineBoot:
		c.setKind(Restart, "there are no others, and this machine has kept its power")
	case c.settings.Standalone:
		c.setKind(FleetRestart, "there are no others, and this machine may have lost its power")
	case running > justStarted && 2*(running+justStarted) > len(c.members) && len(c.members) > 0:
		c.setKind(Restart, fmt.Sprintf("%d of %d others that were heard have been running on", running, running+justStarted))
	case running == 0 && c.settings.FleetSize > 1 && 2*(justStarted+1) > c.settings.FleetSize:
		c.setKind(FleetRestart, fmt.Sprintf("%d others of %d have just started too, which are most", justStarted, c.settings.FleetSize))
	case late && running > justStarted:
		c.setKind(Restart, fmt.Sprintf("%d of %d others that were heard have been running on", running, running+justStarted))
	case late && running+justStarted > 0:
		c.setKind(FleetRestart, fmt.Sprintf("%d of %d others that were heard have just started too", justStarted, running+justStarted))
	case late:
		// Nobody alone believes that it is alone: the others may be behind a cut, and come back just now.
		c.setKind(FleetRestart, "no other was heard")
	}
}

func (c *Core) setKind(k Kind, why string) {
	c.kind = k
	c.host.RestoreState(k, c.admittingFor())
	c.setStep(Rules, why)
}

// open begins to let classes in.
func (c *Core) startAdmitting(why string) {
	if c.kind == Restart || c.settings.NoStagedAdmission {
		// Backends are warm, or found to be cold one by one, and others serve beside.
		c.setShares(func(int) float64 { return 1 })
		c.setStep(Done, why)
		return
	}
	c.nextPlan = c.now
	c.setStep(Admitting, why)
}

// bound is how long classes are let in one after another.
func (c *Core) maxAdmitting() time.Duration {
	return time.Duration(c.settings.Times.WarmUpFactor * float64(c.settings.WarmUp))
}

// admit lets classes in, the worthiest first: at first as much as the backends are thought to take, and then more while nothing of
// what is let in is lost, and less of the lesser classes where a worthier one loses.
//
// It guards cold backends against all callers who come back in one second, and holds against the searches among them. What the
// backends can do is known only by a guess, so it is found out as TCP finds a path's rate (additive increase, multiplicative decrease;
// Chiu and Jain 1989). It harms where requests are lost for another cause than want of room: then lesser classes wait until the
// stated end in vain.
func (c *Core) updateShares() {
	if c.now < c.nextPlan {
		return
	}
	c.nextPlan = c.now + planInterval
	counts := c.counts
	c.counts = make([]Count, len(counts))
	switch {
	case c.now-c.stepStart >= c.maxAdmitting():
		c.setShares(func(int) float64 { return 1 })
		c.setStep(Done, "the backends have had the time to get warm")
		return
	case c.capacity() >= 1:
		c.setShares(func(int) float64 { return 1 })
		c.setStep(Done, "the backends are warm")
		return
	case slices.Max(c.shares) == 0:
		c.setInitialShares()
		return
	}
	overloaded := len(c.byValue)
	for place, class := range c.byValue {
		if n := counts[class]; n.Admitted >= minSamples && n.Failed > overloadRatio*n.Admitted {
			overloaded = place
			break
		}
	}
	growing := true
	c.setShares(func(place int) float64 {
		share := c.shares[c.byValue[place]]
		switch {
		case place > overloaded:
			return max(share*shareBackoff, minShare)
		case place == overloaded || !growing:
			return share
		case share < 1:
			growing = false // lesser ones wait until this one is wholly in
			return min(share+shareStep, 1)
		}
		return share
	})
}

// guess lets in what was asked for before, as far as the backends are thought to take it by now if they took all of it before.
func (c *Core) setInitialShares() {
	capacity, total := c.capacity(), 0.0
	for _, d := range c.settings.Demand {
		total += d
	}
	remaining := headroom * capacity * total
	c.setShares(func(place int) float64 {
		if place == 0 && total == 0 {
			return 1 // nothing is known: the worthiest alone
		}
		wanted := 0.0
		if class := c.byValue[place]; class < len(c.settings.Demand) {
			wanted = c.settings.Demand[class]
		}
		share := minShare
		if wanted > 0 {
			share = min(max(remaining/wanted, minShare), 1)
		}
		remaining = max(remaining-wanted, 0)
		return share
	})
}

// level is what the backends can do by now, of what all of them do warm.
func (c *Core) capacity() float64 {
	if c.maxBackends == 0 {
		return 0
	}
	sum := 0.0
	for _, startTime := range c.startTimes {
		warm := 1.0
		if c.settings.WarmUp > 0 {
			warm = min(max(float64(c.now-startTime)/float64(c.settings.WarmUp), 0), 1)
		}
		sum += c.settings.ColdCapacity + (1-c.settings.ColdCapacity)*warm
	}
	capacity := sum / float64(c.maxBackends)
	if c.settings.WarmUp > 0 {
		// All follow the one that began first, so that who starts late does not hold back what others let in.
		capacity = max(capacity, c.settings.ColdCapacity+(1-c.settings.ColdCapacity)*min(float64(c.admittingFor())/float64(c.settings.WarmUp), 1)*float64(len(c.startTimes))/float64(c.maxBackends))
	}
	return capacity
}

// letIn sets the shares by the classes' places in the order of worth. No class has more than a worthier one.
func (c *Core) setShares(share func(place int) float64) {
	shares := make([]float64, len(c.byValue))
	limit := 1.0
	for place, class := range c.byValue {
		limit = min(limit, share(place))
		shares[class] = limit
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
	s := Status{Step: c.step, Kind: c.kind, Why: c.why, InStep: now - c.stepStart, Capacity: c.capacity(), Shares: c.shares}
	bound := map[Step]time.Duration{Peers: c.settings.Times.Peers, Rules: c.settings.Times.Rules, Lists: c.settings.Times.Lists, Admitting: c.maxAdmitting()}[c.step]
	if bound > 0 {
		s.MaxRemaining = max(bound-s.InStep, 0)
	}
	for _, p := range c.peers {
		if p.uptime+now-p.receivedAt >= c.settings.Times.JustStarted {
			s.Running++
		} else {
			s.JustStarted++
		}
	}
	return s
}

// Step is how far this proxy has come back.
func (c *Core) Step() Step { return c.step }
