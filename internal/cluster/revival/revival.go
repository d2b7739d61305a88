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

// Step is a step of the recovery. Each step waits for something, with a time limit.
type Step uint8

// The steps, in order.
const (
	Peers     Step = iota // asks other proxies whether they are starting too
	Rules                 // waits for a lease on the agreed rules
	Lists                 // waits for a list from discovery
	Admitting             // admits classes as the backends become warm
	Done
)

func (s Step) String() string {
	return [...]string{"asks who else starts", "waits for the agreed rules", "waits for a list", "lets classes in", "done"}[s]
}

// Class is a class of requests.
type Class struct {
	Name  string
	Value float64 // of one request, relative to the other classes
}

// Times holds the time limits of the steps.
type Times struct {
	Peers time.Duration // how long other proxies are asked
	Rules time.Duration // how long to wait for a lease
	Lists time.Duration // how long to wait for a list
	// JustStarted is how long a proxy counts as just started.
	JustStarted time.Duration
	// WarmUpFactor times the backends' warm-up time is the time limit of Admitting.
	WarmUpFactor float64
}

// DefaultTimes returns the times for a fleet at one site.
func DefaultTimes() Times {
	return Times{Peers: time.Second, Rules: 2 * time.Second, Lists: time.Second, JustStarted: time.Minute, WarmUpFactor: 1.3}
}

// Settings are the settings of a Core.
type Settings struct {
	Name            string
	InstanceID      uint64 // random, new at each start
	Standalone      bool   // there are no other proxies to ask: one instance, or no membership view
	FleetSize       int    // number of proxies, including this one; 0 if unknown
	UsesRules       bool   // the fleet agrees on rules, so this proxy waits for a lease
	SameMachineBoot bool   // the machine has not been rebooted since the state was saved, so it had no power loss
	Classes         []Class
	// ColdCapacity and WarmUp say how a backend warms up: its capacity grows linearly from the share ColdCapacity to 1 within WarmUp.
	ColdCapacity float64
	WarmUp       time.Duration
	// Demand is the request rate before the start, by class, in requests a second; nil if unknown.
	Demand []float64
	Times  Times

	// Each of these disables one defence, so that a test can show that its checker detects the failure that the defence prevents.
	NoFleetRestart    bool // every start is treated as a Restart
	NoStagedAdmission bool // all classes are admitted at once
}

// Report is what a proxy sends to another about its start.
type Report struct {
	Name         string        `cbor:"1,keyasint" json:"name"`
	InstanceID   uint64        `cbor:"2,keyasint" json:"boot"`
	Uptime       time.Duration `cbor:"3,keyasint" json:"up"` // time since its start
	Step         Step          `cbor:"4,keyasint" json:"step"`
	Kind         Kind          `cbor:"5,keyasint" json:"kind"`
	AdmittingFor time.Duration `cbor:"6,keyasint,omitempty" json:"open,omitempty"` // how long the first proxy that it knows of has been admitting classes
	Reply        bool          `cbor:"7,keyasint,omitempty" json:"-"`              // an answer, which is not answered itself
}

// Encode encodes the report.
func (r *Report) Encode() ([]byte, error) { return cbor.Marshal(r) }

var decMode = strict.CBOR(cbor.DecOptions{TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16})

// Decode decodes and validates a report received from the network.
func Decode(b []byte) (*Report, error) {
	r := &Report{}
	if err := decMode.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("revival: %w", err)
	}
	switch {
	case r.Name == "" || len(r.Name) > view.MaxNameBytes:
		return nil, fmt.Errorf("revival: name has %d bytes", len(r.Name))
	case r.Uptime < 0 || r.AdmittingFor < 0 || r.AdmittingFor > r.Uptime+maxAdmittingLead:
		return nil, errors.New("revival: impossible times")
	case r.Step > Done || r.Kind > FleetRestart:
		return nil, fmt.Errorf("revival: unknown step %d or kind %d", r.Step, r.Kind)
	}
	return r, nil
}

const (
	// maxAdmittingLead is how much longer than its own uptime a proxy may report that others have been admitting.
	maxAdmittingLead = time.Hour
	// queryInterval is the time between two rounds of queries until the kind of this start is decided, and lateQueryInterval after that.
	queryInterval     = 150 * time.Millisecond
	lateQueryInterval = time.Second
	// maxQueriedPeers is how many proxies are asked in one round.
	maxQueriedPeers = 12
	// maxPeers is how many proxies' reports are kept.
	maxPeers = 4096
	// planInterval is the time between two updates of the admitted shares.
	planInterval = 250 * time.Millisecond
	// headroom is the ratio of the load that is admitted at first to the estimated capacity of the backends.
	headroom = 1.25
	// minShare of a class is admitted even while the class waits, so that its cost can be measured.
	minShare = 0.02
	// shareStep is added at each update to the share of the most valuable class that is not admitted in full, unless a class is
	// overloaded. The shares of classes less valuable than an overloaded one are multiplied by shareBackoff.
	shareStep, shareBackoff = 0.34, 0.5
	// A class is overloaded if more than overloadRatio of its admitted requests fail, out of at least minSamples.
	overloadRatio, minSamples = 0.1, 4
)

// Count holds the outcomes of a class's requests since the previous count.
type Count struct {
	Received float64
	Admitted float64 // requests that were not rejected
	Failed   float64 // admitted requests that were refused or failed
}

// Host carries out the decisions of a Core. Its methods are called from the Core's methods and must not call the Core.
type Host interface {
	// SendReport sends a report to the named proxy; it may be lost.
	SendReport(to string, r *Report)
	// RestoreState restores the saved state, as the kind of this start permits. It is called once. At a fleet restart, admittingFor is
	// how long other proxies have been admitting classes, so backends may have been warming up since then.
	RestoreState(k Kind, admittingFor time.Duration)
	// SetShares replaces the shares of the classes' requests that are admitted.
	SetShares(shares []float64)
	// StepChanged reports a new step and the reason for it.
	StepChanged(to Step, why string)
}

type peer struct {
	instanceID   uint64
	uptime       time.Duration // at receivedAt
	step         Step
	kind         Kind
	admittingFor time.Duration // at receivedAt
	receivedAt   time.Duration // when the last report arrived
}

// Core is the recovery of one proxy. It is not safe for concurrent use.
type Core struct {
	settings  Settings
	host      Host
	rng       *rand.Rand
	startedAt time.Duration
	now       time.Duration
	step      Step
	stepStart time.Duration // when the current step began
	kind      Kind
	why       string

	members     []string // the other proxies that are considered alive
	peers       map[string]peer
	nextQuery   time.Duration // when other proxies are asked next
	nextPlan    time.Duration // when the shares are updated next
	hasLease    bool
	hasList     bool
	startTimes  []time.Duration // of the backends in service, as far as they are trusted, on the clock of this Core
	maxBackends int             // the most backends that were in service at any one time
	byValue     []int           // indexes of the classes, most valuable first
	counts      []Count         // since the last update of the shares, by class
	shares      []float64
}

// New returns the Core of a proxy that starts now.
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

// Next returns when Tick must be called at the latest.
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

// Tick performs the actions that are due.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if !c.settings.Standalone && now >= c.nextQuery && c.step != Done {
		c.queryPeers()
	}
	c.advance()
}

// queryPeers reports this start to some of the other proxies; each of them answers.
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

// admittingFor returns how long the first known proxy of this fleet restart has been admitting classes; 0 if none is.
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

// SetMembers sets the names of the proxies that are considered alive.
func (c *Core) SetMembers(now time.Duration, names []string) {
	c.now = now
	c.members = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == c.settings.Name })
	if c.step == Peers {
		c.nextQuery = min(c.nextQuery, now) // a new member may know of running proxies
	}
}

// ReceiveReport processes another proxy's report.
func (c *Core) ReceiveReport(now time.Duration, r *Report) {
	c.now = now
	if r.Name == c.settings.Name {
		return // another process with this name; the membership view reports it
	}
	if _, known := c.peers[r.Name]; known || len(c.peers) < maxPeers {
		c.peers[r.Name] = peer{instanceID: r.InstanceID, uptime: r.Uptime, step: r.Step, kind: r.Kind, admittingFor: r.AdmittingFor, receivedAt: now}
	}
	if !r.Reply {
		c.host.SendReport(r.Name, c.report(true))
	}
	c.advance()
}

// SetLeased records that this proxy holds a lease on the agreed rules.
func (c *Core) SetLeased(now time.Duration) {
	c.now, c.hasLease = now, true
	c.advance()
}

// SetList records the start times of the backends in service, as far as they are trusted. fresh says whether the list came from
// discovery during this start.
func (c *Core) SetList(now time.Duration, fresh bool, startTimes []time.Duration) {
	c.now = now
	c.hasList = c.hasList || fresh
	c.startTimes = startTimes
	c.maxBackends = max(c.maxBackends, len(startTimes))
	c.advance()
}

// AddCounts adds the outcomes of requests since its last call, by class.
func (c *Core) AddCounts(now time.Duration, counts []Count) {
	c.now = now
	for i := range min(len(counts), len(c.counts)) {
		c.counts[i].Admitted += counts[i].Admitted
		c.counts[i].Failed += counts[i].Failed
	}
}

// advance performs the step changes that are due.
func (c *Core) advance() {
	for {
		before := c.step
		switch c.step {
		case Peers:
			c.decideKind()
		case Rules:
			switch late := c.now-c.stepStart >= c.settings.Times.Rules; {
			case !c.settings.UsesRules:
				c.setStep(Lists, "the fleet agrees on no rules")
			case c.hasLease:
				c.setStep(Lists, "holds a lease on the agreed rules")
			case late:
				c.setStep(Lists, "no voter granted a lease in time: continues cautiously with the saved rules")
			}
		case Lists:
			switch late := c.now-c.stepStart >= c.settings.Times.Lists; {
			case c.hasList:
				c.startAdmitting("discovery sent a list")
			case late && len(c.startTimes) > 0:
				c.startAdmitting("discovery sent no list in time: continues with the saved one")
			case late:
				c.startAdmitting("there is no list, not even a saved one: admits classes once a list arrives")
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

// decideKind sets the kind of this start as soon as it is clear or the time to ask other proxies is over.
func (c *Core) decideKind() {
	late := c.now-c.stepStart >= c.settings.Times.Peers
	running, justStarted := 0, 0
	for _, p := range c.peers {
		// A proxy that has just started and found the fleet running counts as running: a rolling restart is not a fleet restart.
		if p.kind == Restart || p.uptime+c.now-p.receivedAt >= c.settings.Times.JustStarted && (p.kind != FleetRestart || p.step == Done) {
			running++
		} else {
			justStarted++
		}
	}
	switch {
	case c.settings.NoFleetRestart:
		c.setKind(Restart, "fleet restarts are not detected")
	case c.settings.Standalone && c.settings.SameMachineBoot:
		c.setKind(Restart, "there are no other proxies, and this machine was not rebooted")
	case c.settings.Standalone:
		c.setKind(FleetRestart, "there are no other proxies, and this machine may have lost power")
	case running > justStarted && 2*(running+justStarted) > len(c.members) && len(c.members) > 0:
		c.setKind(Restart, fmt.Sprintf("%d of the %d other proxies that reported were already running", running, running+justStarted))
	case running == 0 && c.settings.FleetSize > 1 && 2*(justStarted+1) > c.settings.FleetSize:
		c.setKind(FleetRestart, fmt.Sprintf("%d other proxies of a fleet of %d have just started too: a majority, with this one", justStarted, c.settings.FleetSize))
	case late && running > justStarted:
		c.setKind(Restart, fmt.Sprintf("%d of the %d other proxies that reported were already running", running, running+justStarted))
	case late && running+justStarted > 0:
		c.setKind(FleetRestart, fmt.Sprintf("%d of the %d other proxies that reported have just started too", justStarted, running+justStarted))
	case late:
		// A proxy that gets no report does not conclude that it alone restarted: the others may be in another network partition, and
		// be starting at this moment.
		c.setKind(FleetRestart, "no other proxy reported")
	}
}

func (c *Core) setKind(k Kind, why string) {
	c.kind = k
	c.host.RestoreState(k, c.admittingFor())
	c.setStep(Rules, why)
}

// startAdmitting begins to admit requests.
func (c *Core) startAdmitting(why string) {
	if c.kind == Restart || c.settings.NoStagedAdmission {
		// Backends are warm, or are found to be cold one by one, and the other proxies serve too.
		c.setShares(func(int) float64 { return 1 })
		c.setStep(Done, why)
		return
	}
	c.nextPlan = c.now
	c.setStep(Admitting, why)
}

// maxAdmitting returns the time limit of Admitting, in which classes are admitted one after another.
func (c *Core) maxAdmitting() time.Duration {
	return time.Duration(c.settings.Times.WarmUpFactor * float64(c.settings.WarmUp))
}

// updateShares admits classes, the most valuable first. It starts with the estimated capacity of the backends, raises the shares while
// no class is overloaded, and lowers those of all classes less valuable than an overloaded one.
//
// It protects cold backends when all callers return within one second, and protects requests of a valuable class, such as holds, from
// a surge of less valuable ones, such as searches. The capacity of the backends is only an estimate, so the shares are adjusted as TCP
// adjusts its rate (additive increase, multiplicative decrease; Chiu and Jain 1989). The drawback: if requests fail for another reason
// than lack of capacity, less valuable classes wait until the time limit for no benefit.
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
		c.setStep(Done, "the time limit for the warm-up of the backends is over")
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
			growing = false // less valuable classes wait until this one is admitted in full
			return min(share+shareStep, 1)
		}
		return share
	})
}

// setInitialShares admits the demand from before the start, up to the estimated current capacity of the backends. The estimate assumes
// that the warm backends could serve all of that demand.
func (c *Core) setInitialShares() {
	capacity, total := c.capacity(), 0.0
	for _, d := range c.settings.Demand {
		total += d
	}
	remaining := headroom * capacity * total
	c.setShares(func(place int) float64 {
		if place == 0 && total == 0 {
			return 1 // the demand is unknown: only the most valuable class
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

// capacity returns the estimated current capacity of the backends, as a share of the capacity of all of them when warm.
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
		// All proxies follow the one that began to admit first, so that one that starts late does not admit less than the others.
		capacity = max(capacity, c.settings.ColdCapacity+(1-c.settings.ColdCapacity)*min(float64(c.admittingFor())/float64(c.settings.WarmUp), 1)*float64(len(c.startTimes))/float64(c.maxBackends))
	}
	return capacity
}

// setShares sets the shares by the classes' places in the order of value. No class gets a higher share than a more valuable one.
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

// Status is the state of the recovery, for operators.
type Status struct {
	Step         Step
	Kind         Kind
	Why          string        // reason for the last step change
	InStep       time.Duration // time spent in this step
	MaxRemaining time.Duration // time until the step ends at the latest; 0 for a step without a limit
	Capacity     float64       // estimated current capacity of the backends, 1 when all are warm
	Shares       []float64     // by class
	JustStarted  int           // other proxies that have just started
	Running      int           // other proxies that were running before
}

// Status returns the state of the recovery.
func (c *Core) Status(now time.Duration) Status {
	c.now = now
	s := Status{Step: c.step, Kind: c.kind, Why: c.why, InStep: now - c.stepStart, Capacity: c.capacity(), Shares: c.shares}
	limit := map[Step]time.Duration{Peers: c.settings.Times.Peers, Rules: c.settings.Times.Rules, Lists: c.settings.Times.Lists, Admitting: c.maxAdmitting()}[c.step]
	if limit > 0 {
		s.MaxRemaining = max(limit-s.InStep, 0)
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

// Step returns the current step.
func (c *Core) Step() Step { return c.step }
