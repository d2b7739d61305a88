// Package model simulates the consensus of a fleet in virtual time: proxies with clocks of different rates, disks, and
// a network with faults, all derived from a seed. A checker verifies throughout the run that no two proxies apply
// contradictory rules, that no acknowledged change is lost, and that no two versions have the same number.
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

// Config configures a simulated fleet.
type Config struct {
	Scenario *story.Story
	// AdjustSettings changes each member's settings, to disable safeguards; may be nil.
	AdjustSettings func(*accord.Settings)
	// Drift is the maximum deviation of the clocks' rates, as a fraction.
	Drift float64
	// CrashRate is the probability that a process crashes at a disk write, before or after the write is durable.
	CrashRate float64
	// CorruptRate is the probability that a process that starts finds another document on its disk under the same
	// number. It does not apply to processes without digests.
	CorruptRate float64
	// WriteTime is the duration of a disk write. The process receives nothing meanwhile, and then all that arrived at
	// once.
	WriteTime time.Duration
}

// Results are the results of a run.
type Results struct {
	Messages, Bytes, Events, Writes int64
	Proposed, Agreed, Refused       int
	InForce                         []time.Duration // from a proposal until the change is in force at all running proxies with a lease
	Leaders                         int
	Answers                         []Answer
	// LeasedBreach is the longest time for which a proxy with a lease applied rules that contradicted those that
	// another proxy held to be in force; it must be 0.
	LeasedBreach time.Duration
	// AloneBreach is the same for proxies without a lease that continued with the rules that they knew.
	AloneBreach time.Duration
	// Reads counts the checks of the rules that a proxy with a lease applied. StaleReads of them found a proxy that did
	// not know a version that was already in force somewhere; it must be 0.
	Reads, StaleReads int
	// Leaderless are the durations without a running leader, after the first leader.
	Leaderless []time.Duration
	// Deltas and Wholes count the messages with deltas and with whole statuses.
	Deltas, Wholes int
	// LeasesLost counts the leases of running processes that expired.
	LeasesLost int
	// CorruptDisks counts the disks that contained another document, Mismatches the times when a process detected one.
	CorruptDisks, Mismatches int
	// Violations describes all other failed checks.
	Violations []string
}

// Answer is a change whose result was reported to its proposer.
type Answer struct {
	ProposedAt, AnsweredAt time.Duration
	Version                uint64
}

type process struct {
	name              string
	index             int
	up, paused        bool
	starts            int
	instanceID        uint64
	rate              float64
	offset            time.Duration
	core              *accord.Core
	basis             *accord.Basis
	disk              accord.Stored
	diskFull, crashed bool
	inbox             []event
	nextTick          time.Duration
	writeTime         time.Duration            // duration of the writes that it has to do
	busyUntil         time.Duration            // the current writes end then
	arrived           []*accord.Message        // messages that arrived during a write
	leased            bool                     // at the last check
	breaches          map[string]time.Duration // start of each contradiction to the rules of others
	status            rules.Status
	digest            rules.Digest // digest of the status
}

// setStatus records the rules that a process applies.
func (p *process) setStatus(s *rules.Status) {
	p.status, p.digest = *s, s.Digest()
}

type kind uint8

const (
	tickEvent kind = iota
	messageEvent
	writtenEvent
	faultEvent
	proposeEvent
	checkEvent
)

type event struct {
	at         time.Duration
	kind       kind
	to         int
	instanceID uint64
	message    *accord.Message
	fault      story.Act
}

// acknowledgedChange is a change that was acknowledged to its proposer.
type acknowledgedChange struct {
	id      string
	version uint64
	at      time.Duration // when it was proposed
}

// Fleet is a simulated fleet.
type Fleet struct {
	config  Config
	now     time.Duration
	queue   schedule.Queue[event]
	network *faults.Network
	rng     *rand.Rand
	// numbersRNG and disksRNG are separate generators, so that the faults of a scenario do not depend on their use.
	numbersRNG, disksRNG *rand.Rand
	layers               map[int]*faults.Layer
	// leaderlessSince is the time since which there is no leader; 0 while there is one.
	leaderlessSince time.Duration
	everLed         bool
	procs           []*process
	byName          map[string]*process

	proposed        map[string]time.Duration
	acknowledged    []acknowledgedChange
	awaitingForce   []acknowledgedChange // committed, but not yet in force everywhere
	changeByVersion map[uint64]string    // the ID of the change that made each version, by number
	servers         int
	Results         Results
}

// checkInterval is the time between two checks.
const checkInterval = 5 * time.Millisecond

// New returns a fleet whose members all start at once.
func New(c Config) (*Fleet, error) {
	if err := c.Scenario.Validate(); err != nil {
		return nil, err
	}
	f := &Fleet{
		config: c, network: faults.NewNetwork(c.Scenario.Seed), rng: rand.New(rand.NewPCG(c.Scenario.Seed, 31)),
		numbersRNG: rand.New(rand.NewPCG(c.Scenario.Seed, 32)), disksRNG: rand.New(rand.NewPCG(c.Scenario.Seed, 33)), layers: map[int]*faults.Layer{},
		byName: map[string]*process{}, proposed: map[string]time.Duration{}, changeByVersion: map[uint64]string{}, servers: 20,
	}
	for i, name := range c.Scenario.Names() {
		p := &process{name: name, index: i, rate: 1 + c.Drift*(2*f.rng.Float64()-1), offset: time.Duration(f.rng.Int64N(int64(time.Hour))), breaches: map[string]time.Duration{}}
		f.procs = append(f.procs, p)
		f.byName[name] = p
	}
	for _, p := range f.procs {
		f.start(p)
	}
	for _, a := range c.Scenario.Acts() {
		f.push(event{at: a.At, kind: faultEvent, fault: a})
	}
	if c.Scenario.Changes > 0 {
		f.push(event{at: time.Second, kind: proposeEvent})
	}
	f.push(event{at: checkInterval, kind: checkEvent})
	return f, nil
}

func (f *Fleet) push(e event) {
	f.queue.Push(e.at, e)
}

// local returns the time on a process's own clock.
func (f *Fleet) local(p *process) time.Duration {
	return p.offset + time.Duration(p.rate*float64(f.now))
}

func (f *Fleet) start(p *process) {
	p.starts++
	p.up, p.paused, p.crashed, p.instanceID, p.inbox, p.nextTick = true, false, false, f.rng.Uint64(), nil, -1
	p.writeTime, p.busyUntil, p.arrived, p.leased = 0, 0, nil, false
	s := accord.Settings{Name: p.name, InstanceID: p.instanceID, Times: accord.DefaultTimes()}
	for i := range f.config.Scenario.Keepers {
		s.Voters = append(s.Voters, f.procs[i].name)
	}
	if f.config.AdjustSettings != nil {
		f.config.AdjustSettings(&s)
	}
	f.corruptDisk(p, &s)
	p.setStatus(&rules.Status{})
	if p.disk.Rules != nil {
		stored := p.disk.Rules.Copy() // it applies these rules without storing them again
		stored.Compact()
		p.setStatus(stored)
	}
	core, err := accord.New(f.local(p), s, f.rng.Uint64(), p.disk, host{f, p})
	if err != nil {
		f.recordViolation("%s failed to start: %v", p.name, err)
		p.up = false
		return
	}
	var others []string
	for _, q := range f.procs {
		others = append(others, q.name)
	}
	core.SetPeers(others)
	p.core = core
	f.afterEvent(p)
}

// corruptDisk replaces the documents on a process's disk by others, with the configured probability.
func (f *Fleet) corruptDisk(p *process, s *accord.Settings) {
	if f.config.CorruptRate == 0 || s.NoDeltas || p.disk.Rules == nil || f.disksRNG.Float64() >= f.config.CorruptRate {
		return
	}
	status := p.disk.Rules.Copy()
	versions := []*rules.Version{&status.InForce}
	for i := range status.Pending {
		versions = append(versions, &status.Pending[i])
	}
	changed := false
	for _, v := range versions {
		other := rules.Version{Number: v.Number, Doc: v.Doc, Change: v.Change} // a new value, so that no cached digest is reused
		if f.alterDocument(&other.Doc) {
			changed = true
		}
		*v = other
	}
	if changed {
		f.Results.CorruptDisks++
		p.disk.Rules = status
	}
}

// alterDocument changes a document so that it allows something that it forbade, and reports whether it did.
func (f *Fleet) alterDocument(doc *rules.Document) bool {
	bans, names := slices.Sorted(maps.Keys(doc.Bans)), slices.Sorted(maps.Keys(doc.Numbers))
	if len(bans) > 0 {
		doc.Bans = maps.Clone(doc.Bans)
		delete(doc.Bans, bans[f.disksRNG.IntN(len(bans))])
	}
	if len(names) > 1 {
		doc.Numbers = maps.Clone(doc.Numbers)
		i := f.disksRNG.IntN(len(names) - 1)
		a, b := names[i], names[i+1]
		doc.Numbers[a], doc.Numbers[b] = doc.Numbers[b], doc.Numbers[a]
	}
	return len(bans) > 0 || len(names) > 1
}

func (f *Fleet) stop(p *process) {
	p.up, p.core, p.inbox, p.basis = false, nil, nil, nil
	clear(p.breaches)
}

// afterEvent runs after each event of a process: it handles a crash and schedules the next events.
func (f *Fleet) afterEvent(p *process) {
	if p.crashed && p.up {
		f.stop(p)
		f.push(event{at: f.now + time.Second, kind: tickEvent, to: p.index, instanceID: p.instanceID}) // restarts it
		return
	}
	if !p.up || p.core == nil {
		return
	}
	if p.writeTime > 0 {
		p.busyUntil, p.writeTime = max(p.busyUntil, f.now)+p.writeTime, 0
		f.push(event{at: p.busyUntil, kind: writtenEvent, to: p.index, instanceID: p.instanceID})
	}
	at := f.now + max(time.Duration(float64(p.core.NextTick()-f.local(p))/p.rate), 0) + 1
	if p.nextTick <= f.now || at < p.nextTick {
		p.nextTick = at
		f.push(event{at: at, kind: tickEvent, to: p.index, instanceID: p.instanceID})
	}
}

// host is the host of a process's core.
type host struct {
	*Fleet
	p *process
}

func (h host) Send(to string, m *accord.Message) {
	f := h.Fleet
	q := f.byName[to]
	if h.p.crashed || q == nil {
		return
	}
	data, err := m.Encode()
	if err != nil {
		f.recordViolation("%s cannot encode a message: %v", h.p.name, err)
		return
	}
	f.Results.Messages++
	f.Results.Bytes += int64(len(data))
	switch {
	case m.Delta != nil:
		f.Results.Deltas++
	case m.Status != nil:
		f.Results.Wholes++
	}
	// The message is decoded as from the wire, so that sender and receiver share no memory.
	read, err := accord.Decode(data)
	if err != nil {
		f.recordViolation("%s sends a message that cannot be decoded: %v", h.p.name, err)
		return
	}
	for _, d := range f.network.Datagram(f.now, faults.Path{From: h.p.name, To: to}, len(data)) {
		if d.Bit < 0 {
			delay := 200*time.Microsecond + time.Duration(f.rng.Float64()*float64(800*time.Microsecond))
			f.push(event{at: f.now + h.p.writeTime + delay + d.After, kind: messageEvent, to: q.index, message: read})
		}
	}
}

var errDisk = errors.New("no space left")

func (h host) Save(r *accord.Record) error {
	f, p := h.Fleet, h.p
	f.Results.Writes++
	p.writeTime += f.config.WriteTime
	if p.diskFull {
		return errDisk
	}
	if f.rng.Float64() < f.config.CrashRate {
		p.crashed = true
		if f.rng.IntN(2) == 0 {
			return errDisk // it crashed before the write was durable
		}
	}
	p.disk.Apply(clone(r))
	if p.crashed {
		return errDisk // the write was durable, but nothing was sent afterwards
	}
	return nil
}

// clone returns a copy of a record that shares no memory with the log.
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
	h.p.writeTime += h.config.WriteTime
	if !h.p.diskFull {
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
	one := acknowledgedChange{a.ID, a.Version, f.proposed[a.ID]}
	f.acknowledged, f.awaitingForce = append(f.acknowledged, one), append(f.awaitingForce, one)
	f.Results.Answers = append(f.Results.Answers, Answer{f.proposed[a.ID], f.now, a.Version})
	f.recordVersion(a.Version, a.ID)
}

func (h host) Notify(event accord.Event, n accord.Note) {
	switch event {
	case accord.Elected:
		h.Results.Leaders++
	case accord.DigestMismatch:
		h.Results.Mismatches++
	case accord.RulesChanged:
		r := h.p.core
		if r == nil {
			return // the process is starting
		}
		status := r.Report(0).Status
		h.p.setStatus(&status)
		for _, v := range append([]rules.Version{h.p.status.InForce}, h.p.status.Pending...) {
			if v.Number > 1 {
				h.recordVersion(v.Number, v.Change.ID)
			}
		}
	}
}

// recordVersion records which change made a version. Two changes with the same version are a violation.
func (f *Fleet) recordVersion(version uint64, id string) {
	if other, known := f.changeByVersion[version]; known && other != id {
		f.recordViolation("version %d is of change %s and of change %s", version, other, id)
	}
	f.changeByVersion[version] = id
}

func (f *Fleet) recordViolation(format string, a ...any) {
	const maxViolations = 20
	if len(f.Results.Violations) < maxViolations {
		f.Results.Violations = append(f.Results.Violations, fmt.Sprintf("%v: ", f.now)+fmt.Sprintf(format, a...))
	}
}

// Run runs the simulation until the given time.
func (f *Fleet) Run(until time.Duration) {
	for {
		at, e, due := f.queue.Pop(until)
		if !due {
			break
		}
		f.now = at
		f.Results.Events++
		switch e.kind {
		case checkEvent:
			f.checkContradictions()
			f.push(event{at: f.now + checkInterval, kind: checkEvent})
		case faultEvent:
			f.applyFault(e.fault)
		case proposeEvent:
			f.propose()
		default:
			f.deliver(e)
		}
	}
	f.now = until
}

func (f *Fleet) deliver(e event) {
	p := f.procs[e.to]
	if e.kind == tickEvent || e.kind == writtenEvent {
		if e.instanceID != p.instanceID {
			return
		}
		if e.kind == tickEvent && p.crashed && !p.up {
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
	case e.kind == messageEvent:
		p.arrived = append(p.arrived, e.message)
		f.receiveArrived(p)
	case f.now < p.busyUntil:
	default:
		f.receiveArrived(p)
		f.tickProcess(p)
	}
}

// tickProcess ticks a process's core if that is due, unless the process has crashed or is writing.
func (f *Fleet) tickProcess(p *process) {
	if !p.up || f.now < p.busyUntil {
		return
	}
	if f.local(p) >= p.core.NextTick() {
		p.core.Tick(f.local(p))
	}
	f.afterEvent(p)
}

// receiveArrived passes the arrived messages to a process, unless it is writing.
func (f *Fleet) receiveArrived(p *process) {
	if len(p.arrived) == 0 || f.now < p.busyUntil {
		return
	}
	arrived := p.arrived
	p.arrived = nil
	p.core.Receive(f.local(p), arrived...)
	f.afterEvent(p)
}

// propose proposes a random change at a random member: usually a ban or its end, and sometimes new settings, new
// numbers for all members, or a rollback.
func (f *Fleet) propose() {
	if f.now > time.Duration(f.config.Scenario.Length) {
		return
	}
	f.push(event{at: f.now + time.Duration(float64(time.Second)*(0.5+f.rng.Float64())/f.config.Scenario.Changes), kind: proposeEvent})
	p := f.procs[f.rng.IntN(len(f.procs))]
	if !p.up || p.paused {
		return
	}
	c := rules.Change{ID: fmt.Sprintf("%016x", f.rng.Uint64()), Who: p.name, Why: "drawn"}
	server := fmt.Sprintf("node-%02d", f.rng.IntN(f.servers))
	_, banned := p.status.Meet().Bans[server]
	switch d := f.rng.IntN(10); {
	case d == 0:
		c.Kind, c.Settings = rules.Configure, &rules.Settings{Quota: 0.5 + f.rng.Float64()/2, Classes: map[string]rules.Class{"hold": {NoRepeat: f.rng.IntN(2) == 0}}}
	case d == 2:
		c.Kind, c.Numbers = rules.Renumber, map[string]int{}
		for i, n := range f.numbersRNG.Perm(len(f.procs)) {
			c.Numbers[f.procs[i].name] = n
		}
	case d == 1 && p.status.InForce.Number > 1:
		c.Kind, c.ToVersion = rules.Rollback, p.status.InForce.Number-1
	case banned:
		c.Kind, c.Server = rules.Resume, server
	default:
		c.Kind, c.Server = rules.Suspend, server
	}
	f.Results.Proposed++
	f.proposed[c.ID] = f.now
	if err := p.core.Propose(f.local(p), c); err != nil {
		f.Results.Refused++
	}
	f.afterEvent(p)
}

// checkLeader records the durations without a leader.
func (f *Fleet) checkLeader() {
	if slices.ContainsFunc(f.procs, func(p *process) bool { return p.up && !p.paused && p.core.IsLeader() }) {
		if f.leaderlessSince > 0 {
			f.Results.Leaderless = append(f.Results.Leaderless, f.now-f.leaderlessSince)
		}
		f.leaderlessSince, f.everLed = 0, true
	} else if f.everLed && f.leaderlessSince == 0 {
		f.leaderlessSince = f.now
	}
}

// countLost counts the leases that have expired.
func (f *Fleet) countLost() {
	for _, p := range f.procs {
		leased := p.up && !p.paused && p.basis != nil && p.basis.Mode(f.local(p)) == accord.Leased
		if p.leased && !leased && p.up && !p.paused {
			f.Results.LeasesLost++
		}
		p.leased = leased
	}
}

// checkReads treats the rules that each proxy with a lease applies as the result of a read: a read that starts after a
// version is in force anywhere must know that version (a regular register, Lamport 1986). Two simultaneous reads may
// see different versions.
func (f *Fleet) checkReads() {
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

// checkContradictions compares the rules that each proxy applies with those that every other proxy with a lease holds
// to be in force. It also runs the other periodic checks.
func (f *Fleet) checkContradictions() {
	f.checkLeader()
	f.countLost()
	f.checkReads()
	type known struct {
		inForce, last uint64
		digest        rules.Digest
	}
	forbidding := map[known]*rules.Status{}
	for _, q := range f.procs {
		if q.up && !q.paused && q.basis != nil && q.basis.Mode(f.local(q)) == accord.Leased {
			forbidding[known{q.status.InForce.Number, q.status.Last(), q.digest}] = &q.status
		}
	}
	for _, p := range f.procs {
		if !p.up || p.paused || p.basis == nil {
			continue
		}
		mode := p.basis.Mode(f.local(p))
		if _, same := forbidding[known{p.basis.Version, p.basis.Last, p.digest}]; same && len(forbidding) == 1 {
			clear(p.breaches)
			continue // all proxies have the same rules, which cannot contradict themselves
		}
		doc := p.basis.Doc
		if mode == accord.Alone {
			doc = p.basis.Unleased
		}
		now := map[string]time.Duration{}
		if mode != accord.Inactive {
			for _, q := range forbidding {
				for _, b := range contradictions(doc, q) {
					since, before := p.breaches[b]
					if !before {
						since = f.now
					}
					now[b] = since
					if lasted := f.now - since + checkInterval; mode == accord.Leased {
						f.Results.LeasedBreach = max(f.Results.LeasedBreach, lasted)
					} else {
						f.Results.AloneBreach = max(f.Results.AloneBreach, lasted)
					}
				}
			}
		}
		p.breaches = now
	}
	f.awaitingForce = slices.DeleteFunc(f.awaitingForce, func(a acknowledgedChange) bool {
		for _, p := range f.procs {
			if p.up && !p.paused && p.basis.Mode(f.local(p)) == accord.Leased && p.basis.Version < a.version {
				return false
			}
		}
		f.Results.InForce = append(f.Results.InForce, f.now-a.at)
		return true
	})
}

// contradictions returns what a document allows although a status forbids it, under its version in force and under all
// pending ones.
func contradictions(doc *rules.Document, q *rules.Status) []string {
	found := rules.Breaches(doc, &q.InForce.Doc)
	for i := range q.Pending {
		pending := rules.Breaches(doc, &q.Pending[i].Doc)
		found = slices.DeleteFunc(found, func(b string) bool { return !slices.Contains(pending, b) })
	}
	return found
}

func (f *Fleet) applyFault(a story.Act) {
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
	members := e.Who
	if len(members) == 0 {
		members = f.config.Scenario.Names()
	}
	for _, name := range members {
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
			f.checkContradictions() // it may send a request before it handles any event
			inbox := p.inbox
			p.inbox = nil
			for _, e := range inbox {
				f.deliver(e)
			}
			f.afterEvent(p)
		}
	}
}

// Refound makes a member refound the log alone, as an operator does.
func (f *Fleet) Refound(name string) error {
	p := f.byName[name]
	if !p.up || p.paused {
		return errors.New("model: the member is not running")
	}
	defer f.afterEvent(p)
	return p.core.Refound(f.local(p))
}

// FillDisk makes a member's disk full, permanently.
func (f *Fleet) FillDisk(name string) { f.byName[name].diskFull = true }

// Propose proposes a change at a member.
func (f *Fleet) Propose(name string, c rules.Change) error {
	p := f.byName[name]
	f.proposed[c.ID] = f.now
	defer f.afterEvent(p)
	return p.core.Propose(f.local(p), c)
}

// Kill kills a member's process.
func (f *Fleet) Kill(name string) { f.stop(f.byName[name]) }

// Start starts a member's process.
func (f *Fleet) Start(name string) { f.start(f.byName[name]) }

// Mode returns the mode of a member.
func (f *Fleet) Mode(name string) accord.Mode {
	p := f.byName[name]
	return p.basis.Mode(f.local(p))
}

// Status returns the rules that a member applies.
func (f *Fleet) Status(name string) rules.Status { return f.byName[name].status }

// Check verifies at the end of a run that no acknowledged change is lost and that all running members have a lease on
// the same version.
func (f *Fleet) Check() {
	var newest *rules.Status
	for _, p := range f.procs {
		if !p.up || p.paused {
			continue
		}
		r := p.core.Report(f.local(p))
		if mode := p.basis.Mode(f.local(p)); mode != accord.Leased {
			f.recordViolation("%s is %v at the end (leader %q)", p.name, mode, r.Leader)
		}
		if newest == nil || r.Status.NewerThan(newest) {
			s := r.Status
			newest = &s
		}
	}
	if newest == nil {
		f.recordViolation("no member is running at the end")
		return
	}
	for _, p := range f.procs {
		if p.up && !p.paused && p.status.InForce.Number != newest.InForce.Number {
			f.recordViolation("%s has version %d in force at the end; the newest is %d", p.name, p.status.InForce.Number, newest.InForce.Number)
		}
	}
	for _, a := range f.acknowledged {
		if a.version > newest.Last() {
			f.recordViolation("version %d was acknowledged, but the newest is %d", a.version, newest.Last())
		}
		if f.changeByVersion[a.version] != a.id {
			f.recordViolation("change %s was acknowledged as version %d, which is change %s", a.id, a.version, f.changeByVersion[a.version])
		}
	}
}
