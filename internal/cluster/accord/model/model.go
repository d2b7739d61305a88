// Package model plays the agreement of a fleet on a clock of its own: proxies with clocks of different rates, disks, and a network
// with faults, all from a seed. A checker looks at every moment whether two proxies act on rules that contradict each other,
// whether anything that was acknowledged is lost, and whether two versions ever went by one number.
package model

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"go.etcd.io/raft/v3/raftpb"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/cluster/schedule"
	"brasswell/internal/rig/faults"
	"brasswell/internal/rig/story"
)

// Config is a fleet to be played.
type Config struct {
	Scenario *story.Story
	// Set changes each member's settings, to take defences out; may be nil.
	AdjustSettings func(*accord.Settings)
	// Drift is the most by which clocks are off their rate.
	Drift float64
	// Crash is how likely a process dies at a write of its disk, before or after the write holds.
	CrashRate float64
	// Corrupt is how likely a process that starts finds another document on its disk under the number that it had, unless it is of
	// the programs that know of no digests.
	CorruptRate float64
	// Write is how long one write of a disk takes. Meanwhile its process takes nothing in, and what came is taken in together.
	WriteTime time.Duration
}

// Figures are what a play has come to.
type Results struct {
	Messages, Bytes, Events, Writes int64
	Proposed, Agreed, Refused       int
	InForce                         []time.Duration // from a proposal until the last living proxy with a lease acts on it alone
	Leaders                         int
	Answers                         []Answer
	// Leased is the longest time that a proxy with a lease acted against what another held to be in force; it must be 0.
	LeasedBreach time.Duration
	// Alone is the same of proxies that had no lease and went on with what they knew.
	AloneBreach time.Duration
	// Reads are what proxies with a lease acted on, looked at each tick; Stale of them did not know a version that was in force
	// somewhere by then, which must not be.
	Reads, StaleReads int
	// Leaderless are the times for which no living keeper led, once one had.
	Leaderless []time.Duration
	// Deltas and Wholes are the standings that were sent, as differences and whole.
	Deltas, Wholes int
	// Lost is how often a process that ran had a lease run out.
	LeasesLost int
	// Corrupted are the disks that held another document, Mismatches how often a process found that it had another one.
	CorruptDisks, Mismatches int
	// Wrong is what must not be.
	Violations []string
}

// Answer is a change that its proposer was told of, with when.
type Answer struct {
	ProposedAt, AnsweredAt time.Duration
	Version                uint64
}

type process struct {
	name        string
	index       int
	up, paused  bool
	starts      int
	boot        uint64
	rate        float64
	offset      time.Duration
	core        *accord.Core
	basis       *accord.Basis
	disk        accord.Stored
	full, crash bool
	inbox       []event
	wake        time.Duration
	writing     time.Duration            // what it has to write takes so long
	busy        time.Duration            // until when it writes
	arrived     []*accord.Message        // while it writes
	leased      bool                     // as last looked
	breach      map[string]time.Duration // since when it acts against what others hold
	standing    rules.Status
	digest      rules.Digest // of the standing
}

// knows notes what a process acts on.
func (p *process) knows(s *rules.Status) {
	p.standing, p.digest = *s, s.Digest()
}

type kind uint8

const (
	wake kind = iota
	message
	written
	act
	propose
	look
)

type event struct {
	at   time.Duration
	kind kind
	to   int
	boot uint64
	text *accord.Message
	act  story.Act
}

// acked is a change that its proposer was told of.
type acked struct {
	id      string
	version uint64
	at      time.Duration // when it was proposed
}

// Fleet is a fleet in play.
type Fleet struct {
	config  Config
	now     time.Duration
	queue   schedule.Queue[event]
	network *faults.Network
	dice    *rand.Rand
	// numbers and disks draw from dice of their own, so that the faults of a story are the same with and without them.
	numbers, disks *rand.Rand
	layers         map[int]*faults.Layer
	// leaderless is since when nobody leads; 0 while one does.
	leaderless time.Duration
	everLed    bool
	procs      []*process
	byName     map[string]*process

	proposed map[string]time.Duration
	acked    []acked
	waiting  []acked           // agreed, and not in force everywhere yet
	known    map[uint64]string // by number, the id of the change that made the version
	servers  int
	Results  Results
}

// tick is between two looks of the checker, beside those after each event.
const tick = 5 * time.Millisecond

// New returns a fleet whose members all start at once.
func New(c Config) (*Fleet, error) {
	if err := c.Scenario.Validate(); err != nil {
		return nil, err
	}
	f := &Fleet{
		config: c, network: faults.NewNetwork(c.Scenario.Seed), dice: rand.New(rand.NewPCG(c.Scenario.Seed, 31)),
		numbers: rand.New(rand.NewPCG(c.Scenario.Seed, 32)), disks: rand.New(rand.NewPCG(c.Scenario.Seed, 33)), layers: map[int]*faults.Layer{},
		byName: map[string]*process{}, proposed: map[string]time.Duration{}, known: map[uint64]string{}, servers: 20,
	}
	for i, name := range c.Scenario.Names() {
		p := &process{name: name, index: i, rate: 1 + c.Drift*(2*f.dice.Float64()-1), offset: time.Duration(f.dice.Int64N(int64(time.Hour))), breach: map[string]time.Duration{}}
		f.procs = append(f.procs, p)
		f.byName[name] = p
	}
	for _, p := range f.procs {
		f.start(p)
	}
	for _, a := range c.Scenario.Acts() {
		f.push(event{at: a.At, kind: act, act: a})
	}
	if c.Scenario.Changes > 0 {
		f.push(event{at: time.Second, kind: propose})
	}
	f.push(event{at: tick, kind: look})
	return f, nil
}

func (f *Fleet) push(e event) {
	f.queue.Push(e.at, e)
}

// local is the time on a process's own clock.
func (f *Fleet) local(p *process) time.Duration {
	return p.offset + time.Duration(p.rate*float64(f.now))
}

func (f *Fleet) start(p *process) {
	p.starts++
	p.up, p.paused, p.crash, p.boot, p.inbox, p.wake = true, false, false, f.dice.Uint64(), nil, -1
	p.writing, p.busy, p.arrived, p.leased = 0, 0, nil, false
	s := accord.Settings{Name: p.name, InstanceID: p.boot, Times: accord.DefaultTimes()}
	for i := range f.config.Scenario.Keepers {
		s.Voters = append(s.Voters, f.procs[i].name)
	}
	if f.config.AdjustSettings != nil {
		f.config.AdjustSettings(&s)
	}
	f.corrupt(p, &s)
	p.knows(&rules.Status{})
	if p.disk.Rules != nil {
		stored := p.disk.Rules.Copy() // which it acts on, and has no cause to store again
		stored.Compact()
		p.knows(stored)
	}
	core, err := accord.New(f.local(p), s, f.dice.Uint64(), p.disk, host{f, p})
	if err != nil {
		f.wrong("%s does not start: %v", p.name, err)
		p.up = false
		return
	}
	var others []string
	for _, q := range f.procs {
		others = append(others, q.name)
	}
	core.SetPeers(others)
	p.core = core
	f.after(p)
}

// corrupt may have a process find another document on its disk than it has stored.
func (f *Fleet) corrupt(p *process, s *accord.Settings) {
	if f.config.CorruptRate == 0 || s.NoDeltas || p.disk.Rules == nil || f.disks.Float64() >= f.config.CorruptRate {
		return
	}
	acts := p.disk.Rules.Copy()
	versions := []*rules.Version{&acts.InForce}
	for i := range acts.Pending {
		versions = append(versions, &acts.Pending[i])
	}
	changed := false
	for _, v := range versions {
		other := rules.Version{Number: v.Number, Doc: v.Doc, Change: v.Change} // its digests are not remembered
		if f.bend(&other.Doc) {
			changed = true
		}
		*v = other
	}
	if changed {
		f.Results.CorruptDisks++
		p.disk.Rules = acts
	}
}

// bend makes another document, which allows what the first forbids, and says whether it has.
func (f *Fleet) bend(doc *rules.Document) bool {
	bans, names := slices.Sorted(maps.Keys(doc.Bans)), slices.Sorted(maps.Keys(doc.Numbers))
	if len(bans) > 0 {
		doc.Bans = maps.Clone(doc.Bans)
		delete(doc.Bans, bans[f.disks.IntN(len(bans))])
	}
	if len(names) > 1 {
		doc.Numbers = maps.Clone(doc.Numbers)
		i := f.disks.IntN(len(names) - 1)
		a, b := names[i], names[i+1]
		doc.Numbers[a], doc.Numbers[b] = doc.Numbers[b], doc.Numbers[a]
	}
	return len(bans) > 0 || len(names) > 1
}

func (f *Fleet) stop(p *process) {
	p.up, p.core, p.inbox, p.basis = false, nil, nil, nil
	clear(p.breach)
}

// after is after each event of a process: what it has died of, and when it is next due.
func (f *Fleet) after(p *process) {
	if p.crash && p.up {
		f.stop(p)
		f.push(event{at: f.now + time.Second, kind: wake, to: p.index, boot: p.boot}) // which starts it again
		return
	}
	if !p.up || p.core == nil {
		return
	}
	if p.writing > 0 {
		p.busy, p.writing = max(p.busy, f.now)+p.writing, 0
		f.push(event{at: p.busy, kind: written, to: p.index, boot: p.boot})
	}
	at := f.now + max(time.Duration(float64(p.core.NextTick()-f.local(p))/p.rate), 0) + 1
	if p.wake <= f.now || at < p.wake {
		p.wake = at
		f.push(event{at: at, kind: wake, to: p.index, boot: p.boot})
	}
}

// host is a process's side of its core.
type host struct {
	*Fleet
	p *process
}

func (h host) Send(to string, m *accord.Message) {
	f := h.Fleet
	q := f.byName[to]
	if h.p.crash || q == nil {
		return
	}
	text, err := m.Encode()
	if err != nil {
		f.wrong("%s cannot write a message: %v", h.p.name, err)
		return
	}
	f.Results.Messages++
	f.Results.Bytes += int64(len(text))
	switch {
	case m.Delta != nil:
		f.Results.Deltas++
	case m.Status != nil:
		f.Results.Wholes++
	}
	// What is sent is read as it would be from the wire, so that nothing is shared.
	read, err := accord.Decode(text)
	if err != nil {
		f.wrong("%s sends what cannot be read: %v", h.p.name, err)
		return
	}
	for _, d := range f.network.Datagram(f.now, faults.Path{From: h.p.name, To: to}, len(text)) {
		if d.Bit < 0 {
			delay := 200*time.Microsecond + time.Duration(f.dice.Float64()*float64(800*time.Microsecond))
			f.push(event{at: f.now + h.p.writing + delay + d.After, kind: message, to: q.index, text: read})
		}
	}
}

var errDisk = errors.New("no space left")

func (h host) Save(r *accord.Record) error {
	f, p := h.Fleet, h.p
	f.Results.Writes++
	p.writing += f.config.WriteTime
	if p.full {
		return errDisk
	}
	if f.dice.Float64() < f.config.CrashRate {
		p.crash = true
		if f.dice.IntN(2) == 0 {
			return errDisk // it died before the write held
		}
	}
	p.disk.Apply(clone(r))
	if p.crash {
		return errDisk // it held, and nothing more was said
	}
	return nil
}

// clone makes a record independent of the log that it comes from.
func clone(r *accord.Record) *accord.Record {
	c := *r
	c.Entries = slices.Clone(r.Entries)
	for i, e := range c.Entries {
		c.Entries[i] = proto.Clone(e).(*raftpb.Entry)
	}
	if r.Hard != nil {
		c.Hard = proto.Clone(r.Hard).(*raftpb.HardState)
	}
	if r.Snapshot != nil {
		c.Snapshot = proto.Clone(r.Snapshot).(*raftpb.Snapshot)
	}
	return &c
}

func (h host) SaveRules(s *rules.Status) {
	h.p.writing += h.config.WriteTime
	if !h.p.full {
		h.p.disk.Rules = s.Copy()
	}
}

func (h host) SetBasis(b *accord.Basis) { h.p.basis = b }

func (h host) ProposalDone(a rules.Answer) {
	f := h.Fleet
	if a.Version == 0 {
		f.Results.Refused++
		return
	}
	f.Results.Agreed++
	one := acked{a.ID, a.Version, f.proposed[a.ID]}
	f.acked, f.waiting = append(f.acked, one), append(f.waiting, one)
	f.Results.Answers = append(f.Results.Answers, Answer{f.proposed[a.ID], f.now, a.Version})
	f.number(a.Version, a.ID)
}

func (h host) Notify(what accord.Event, n accord.Note) {
	switch what {
	case accord.Elected:
		h.Results.Leaders++
	case accord.DigestMismatch:
		h.Results.Mismatches++
	case accord.RulesChanged:
		r := h.p.core
		if r == nil {
			return // while it starts
		}
		standing := r.Report(0).Status
		h.p.knows(&standing)
		for _, v := range append([]rules.Version{h.p.standing.InForce}, h.p.standing.Pending...) {
			if v.Number > 1 {
				h.number(v.Number, v.Change.ID)
			}
		}
	}
}

// number notes which change made a version; two that did are wrong.
func (f *Fleet) number(version uint64, id string) {
	if was, known := f.known[version]; known && was != id {
		f.wrong("version %d is of change %s and of change %s", version, was, id)
	}
	f.known[version] = id
}

func (f *Fleet) wrong(format string, a ...any) {
	const most = 20
	if len(f.Results.Violations) < most {
		f.Results.Violations = append(f.Results.Violations, fmt.Sprintf("%v: ", f.now)+fmt.Sprintf(format, a...))
	}
}

// Play plays until a moment.
func (f *Fleet) Run(until time.Duration) {
	for {
		at, e, due := f.queue.Pop(until)
		if !due {
			break
		}
		f.now = at
		f.Results.Events++
		switch e.kind {
		case look:
			f.look()
			f.push(event{at: f.now + tick, kind: look})
		case act:
			f.act(e.act)
		case propose:
			f.propose()
		default:
			f.deliver(e)
		}
	}
	f.now = until
}

func (f *Fleet) deliver(e event) {
	p := f.procs[e.to]
	if e.kind == wake || e.kind == written {
		if e.boot != p.boot {
			return
		}
		if e.kind == wake && p.crash && !p.up {
			f.start(p)
			return
		}
	}
	switch {
	case !p.up:
	case p.paused:
		if p.inbox = append(p.inbox, e); len(p.inbox) > 256 {
			p.inbox = p.inbox[1:]
		}
	case e.kind == message:
		p.arrived = append(p.arrived, e.text)
		f.takeIn(p)
	case f.now < p.busy:
	default:
		f.takeIn(p)
		f.wake(p)
	}
}

// wake has a process do what is due, unless it has died or writes.
func (f *Fleet) wake(p *process) {
	if !p.up || f.now < p.busy {
		return
	}
	if f.local(p) >= p.core.NextTick() {
		p.core.Tick(f.local(p))
	}
	f.after(p)
}

// takeIn has a process that does not write take in what has arrived.
func (f *Fleet) takeIn(p *process) {
	if len(p.arrived) == 0 || f.now < p.busy {
		return
	}
	arrived := p.arrived
	p.arrived = nil
	p.core.Receive(f.local(p), arrived...)
	f.after(p)
}

// propose has a change proposed at some member: a ban or its lifting, mostly; now and then numbers for all members.
func (f *Fleet) propose() {
	if f.now > time.Duration(f.config.Scenario.Length) {
		return
	}
	f.push(event{at: f.now + time.Duration(float64(time.Second)*(0.5+f.dice.Float64())/f.config.Scenario.Changes), kind: propose})
	p := f.procs[f.dice.IntN(len(f.procs))]
	if !p.up || p.paused {
		return
	}
	c := rules.Change{ID: fmt.Sprintf("%016x", f.dice.Uint64()), Who: p.name, Why: "drawn"}
	server := fmt.Sprintf("node-%02d", f.dice.IntN(f.servers))
	_, out := p.standing.Meet().Bans[server]
	switch d := f.dice.IntN(10); {
	case d == 0:
		c.Kind, c.Settings = rules.Configure, &rules.Settings{Quota: 0.5 + f.dice.Float64()/2, Classes: map[string]rules.Class{"hold": {NoRepeat: f.dice.IntN(2) == 0}}}
	case d == 2:
		c.Kind, c.Numbers = rules.Renumber, map[string]int{}
		for i, n := range f.numbers.Perm(len(f.procs)) {
			c.Numbers[f.procs[i].name] = n
		}
	case d == 1 && p.standing.InForce.Number > 1:
		c.Kind, c.ToVersion = rules.Rollback, p.standing.InForce.Number-1
	case out:
		c.Kind, c.Server = rules.Resume, server
	default:
		c.Kind, c.Server = rules.Suspend, server
	}
	f.Results.Proposed++
	f.proposed[c.ID] = f.now
	if err := p.core.Propose(f.local(p), c); err != nil {
		f.Results.Refused++
	}
	f.after(p)
}

// led notes for how long nobody leads.
func (f *Fleet) led() {
	if slices.ContainsFunc(f.procs, func(p *process) bool { return p.up && !p.paused && p.core.IsLeader() }) {
		if f.leaderless > 0 {
			f.Results.Leaderless = append(f.Results.Leaderless, f.now-f.leaderless)
		}
		f.leaderless, f.everLed = 0, true
	} else if f.everLed && f.leaderless == 0 {
		f.leaderless = f.now
	}
}

// countLost notes the leases that have run out.
func (f *Fleet) countLost() {
	for _, p := range f.procs {
		leased := p.up && !p.paused && p.basis != nil && p.basis.Mode(f.local(p)) == accord.Leased
		if p.leased && !leased && p.up && !p.paused {
			f.Results.LeasesLost++
		}
		p.leased = leased
	}
}

// read takes what each proxy with a lease acts on for an answer to a read: one that began once a version was in force anywhere has
// to know that version (a regular register, Lamport 1986). That two who read at one time see the same is neither promised nor so.
func (f *Fleet) read() {
	newest := map[uint64]uint64{} // in force, by log
	var readers []*process
	for _, p := range f.procs {
		if p.up && !p.paused && p.basis != nil && p.basis.Mode(f.local(p)) == accord.Leased {
			readers = append(readers, p)
			newest[p.basis.Log] = max(newest[p.basis.Log], p.basis.Version)
		}
	}
	for _, p := range readers {
		if f.Results.Reads++; p.basis.Last < newest[p.basis.Log] {
			f.Results.StaleReads++
		}
	}
}

// look is the checker: it compares what each proxy acts on with what every other holds to be in force.
func (f *Fleet) look() {
	f.led()
	f.countLost()
	f.read()
	type known struct {
		inForce, last uint64
		digest        rules.Digest
	}
	forbidding := map[known]*rules.Status{}
	for _, q := range f.procs {
		if q.up && !q.paused && q.basis != nil && q.basis.Mode(f.local(q)) == accord.Leased {
			forbidding[known{q.standing.InForce.Number, q.standing.Last(), q.digest}] = &q.standing
		}
	}
	for _, p := range f.procs {
		if !p.up || p.paused || p.basis == nil {
			continue
		}
		mode := p.basis.Mode(f.local(p))
		if _, same := forbidding[known{p.basis.Version, p.basis.Last, p.digest}]; same && len(forbidding) == 1 {
			clear(p.breach)
			continue // what all hold cannot contradict itself
		}
		doc := p.basis.Doc
		if mode == accord.Alone {
			doc = p.basis.Unleased
		}
		now := map[string]time.Duration{}
		if mode != accord.Inactive {
			for _, q := range forbidding {
				for _, b := range against(doc, q) {
					since, before := p.breach[b]
					if !before {
						since = f.now
					}
					now[b] = since
					if lasted := f.now - since + tick; mode == accord.Leased {
						f.Results.LeasedBreach = max(f.Results.LeasedBreach, lasted)
					} else {
						f.Results.AloneBreach = max(f.Results.AloneBreach, lasted)
					}
				}
			}
		}
		p.breach = now
	}
	f.waiting = slices.DeleteFunc(f.waiting, func(a acked) bool {
		for _, p := range f.procs {
			if p.up && !p.paused && p.basis.Mode(f.local(p)) == accord.Leased && p.basis.Version < a.version {
				return false
			}
		}
		f.Results.InForce = append(f.Results.InForce, f.now-a.at)
		return true
	})
}

// against is what a document allows and a standing forbids, under the version in force there and all that are on their way.
func against(doc *rules.Document, q *rules.Status) []string {
	found := rules.Breaches(doc, &q.InForce.Doc)
	for i := range q.Pending {
		also := rules.Breaches(doc, &q.Pending[i].Doc)
		found = slices.DeleteFunc(found, func(b string) bool { return !slices.Contains(also, b) })
	}
	return found
}

func (f *Fleet) act(a story.Act) {
	e := f.config.Scenario.Events[a.Event]
	if e.Network() {
		if a.End {
			f.network.Remove(f.layers[a.Event])
			delete(f.layers, a.Event)
		} else {
			f.layers[a.Event] = f.network.Add(f.config.Scenario.Paths(e), e.Condition())
		}
		return
	}
	who := e.Who
	if len(who) == 0 {
		who = f.config.Scenario.Names()
	}
	for _, name := range who {
		p := f.byName[name]
		if p == nil {
			continue
		}
		switch {
		case (e.Do == story.Kill || e.Do == story.Stop) && !a.End:
			f.stop(p)
		case e.Do == story.Kill || e.Do == story.Stop || e.Do == story.Start:
			if e.Folder == "lost" {
				p.disk = accord.Stored{}
			}
			if !p.up {
				f.start(p)
			}
		case e.Do == story.Pause && !a.End:
			p.paused = p.up
		case e.Do == story.Pause && p.paused:
			p.paused = false
			f.look() // it may act before it has seen to anything
			inbox := p.inbox
			p.inbox = nil
			for _, e := range inbox {
				f.deliver(e)
			}
			f.after(p)
		}
	}
}

// Refound has a member go on alone as a keeper, as an operator does.
func (f *Fleet) Refound(name string) error {
	p := f.byName[name]
	if !p.up || p.paused {
		return errors.New("model: it is not there")
	}
	defer f.after(p)
	return p.core.Refound(f.local(p))
}

// Fill makes a member's disk full, for good.
func (f *Fleet) FillDisk(name string) { f.byName[name].full = true }

// Propose has a change proposed at a member.
func (f *Fleet) Propose(name string, c rules.Change) error {
	p := f.byName[name]
	f.proposed[c.ID] = f.now
	defer f.after(p)
	return p.core.Propose(f.local(p), c)
}

// Down kills a member's process, and Up starts it.
func (f *Fleet) Kill(name string) { f.stop(f.byName[name]) }

// Up starts a member's process.
func (f *Fleet) Start(name string) { f.start(f.byName[name]) }

// Mode is on what a member acts.
func (f *Fleet) Mode(name string) accord.Mode {
	p := f.byName[name]
	return p.basis.Mode(f.local(p))
}

// Standing is what a member acts on.
func (f *Fleet) Status(name string) rules.Status { return f.byName[name].standing }

// Judge says at the end of a play what must not be: whether all that was acknowledged is there, and everybody agrees.
func (f *Fleet) Check() {
	var newest *rules.Status
	for _, p := range f.procs {
		if !p.up || p.paused {
			continue
		}
		r := p.core.Report(f.local(p))
		if mode := p.basis.Mode(f.local(p)); mode != accord.Leased {
			f.wrong("%s is %v at the end (leader %q)", p.name, mode, r.Leader)
		}
		if newest == nil || r.Status.NewerThan(newest) {
			s := r.Status
			newest = &s
		}
	}
	if newest == nil {
		f.wrong("nobody is left")
		return
	}
	for _, p := range f.procs {
		if p.up && !p.paused && p.standing.InForce.Number != newest.InForce.Number {
			f.wrong("%s has version %d in force at the end; the newest is %d", p.name, p.standing.InForce.Number, newest.InForce.Number)
		}
	}
	for _, a := range f.acked {
		if a.version > newest.Last() {
			f.wrong("version %d was acknowledged, and the newest is %d", a.version, newest.Last())
		}
		if f.known[a.version] != a.id {
			f.wrong("change %s was acknowledged as version %d, which is %s", a.id, a.version, f.known[a.version])
		}
	}
}
