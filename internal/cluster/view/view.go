// Package view decides, for one proxy, which other members of its fleet are present. It has no I/O and no clock: events with their
// time go in, actions come out, and equal settings, seed and events give equal actions. It is not safe for concurrent use.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with these extensions: suspicions that the suspect refutes, local health and
// suspicion timeouts that shorten with confirmations (Lifeguard, Dadgar, Phillips, Currey 2018), a digest of the view on each
// message, which detects differences at no cost while there are none, and pings to dead members, by which the halves of a
// partitioned fleet find each other again. docs/design/view.md weighs them.
//
// The files: probe.go probes members, suspicion.go raises and ends suspicions, health.go tracks this process's own health, message.go
// sends and receives messages, updates.go disseminates records, apply.go merges records into the view, member.go stores them, exchange.go
// compares and exchanges whole views, join.go finds the fleet through seeds and dead members, name.go decides which process has this
// process's name, and snapshot.go takes snapshots.
package view

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// gossipMessages is the number of additional messages in a period while there are records to disseminate.
	gossipMessages = 2
	// duplicatePeriods is how many periods after its last message another process with this name is reported.
	duplicatePeriods = 200
)

// View is one process's view of its fleet.
type View struct {
	settings Settings
	host     Host
	rng      *rand.Rand

	self    Record
	members map[string]*member
	byName  []*member // all members sorted by name, so that Snapshot need not sort them
	present []*member // alive and suspect members, unordered
	suspect map[string]*member
	gone    []*member // dead and left members, the oldest first; some of them may be present again
	digest  uint64
	updates updateQueue

	startedAt      time.Duration
	nextPeriod     time.Duration
	lastReceivedAt time.Duration // when any message was last received
	changedAt      time.Duration // when the view last changed
	leaving        bool
	rejected       int // records that were rejected because the view was full

	// Probing:
	seq          uint64
	order        []*member // the rest of this round, the next member to probe last
	roundBegun   bool      // whether the first round has begun
	probes       []probe
	pendingPings map[uint64]pendingPing
	width        int  // probes that start in a period
	probesFailed bool // since the current period began

	// Suspicions:
	// nextSuspicionEnd is a lower bound of all suspects' deadlines; never if there are none. It does not change when a suspicion is
	// refuted or extended; Wake scans all suspects when it is reached.
	nextSuspicionEnd time.Duration
	suspicionScans   int           // how often all suspects were scanned for it
	falseSuspicions  int           // recent suspicions by this process that were refuted
	falseSuspicionAt time.Duration // when the count last decreased, or the first one was refuted
	health           int           // the local health score; 0 is healthy
	noSuspicionUntil time.Duration // until then failed probes are ignored and no suspect is declared dead

	// Exchanges:
	digestsDifferSince time.Duration // 0 if they match
	exchangeForcedAt   time.Duration // after that time this process starts an exchange although the view keeps changing
	matchingDigests    int           // consecutive messages with the same digest, up to 3
	exchangedAt        time.Duration // when this process last started an exchange
	merged             bool          // whether a table was received in an exchange

	// This process's name:
	displaced       bool    // another process has it
	duplicate       *Record // another process that claims it
	duplicateSeenAt time.Duration
	claimedAt       time.Duration // when the name was last claimed from another process
	backoff         int           // minimum periods until the next claim
}

// New returns the view of a process that starts now and knows no other member.
func New(now time.Duration, s Settings, seed uint64, host Host) (*View, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	v := &View{
		settings: s, host: host, rng: rand.New(rand.NewPCG(seed, s.InstanceID)),
		self:    Record{Name: s.Name, InstanceID: s.InstanceID, Incarnation: 1, State: Alive, Address: s.Address},
		members: map[string]*member{}, suspect: map[string]*member{}, pendingPings: map[uint64]pendingPing{},
		startedAt: now, width: 1, nextSuspicionEnd: never, lastReceivedAt: now, changedAt: now, backoff: 1, exchangedAt: now - exchangePeriods*s.Period,
	}
	v.seq = v.rng.Uint64() >> 1
	// Processes that start together should not all probe at the same time.
	v.nextPeriod = now + time.Duration(v.rng.Float64()*float64(s.Period)/2)
	v.digest = hash(&v.self)
	v.updates.push(v.self.Name)
	for _, seed := range s.Seeds {
		v.pingAddress(now, seed)
	}
	return v, nil
}

// Next returns the latest time at which Wake has to be called.
func (v *View) Next() time.Duration {
	next := min(v.nextPeriod, v.nextSuspicionEnd)
	for i := range v.probes {
		p := &v.probes[i]
		next = min(next, p.deadline)
		if p.indirectAt > 0 {
			next = min(next, p.indirectAt)
		}
	}
	return next
}

// Wake carries out what is due: indirect probes, failed probes, expired suspicions and the next period.
func (v *View) Wake(now time.Duration) {
	v.detectPause(now)
	if v.leaving {
		return
	}
	for i := 0; i < len(v.probes); {
		p := &v.probes[i]
		if p.indirectAt > 0 && now >= p.indirectAt {
			p.indirectAt = 0
			v.probeIndirectly(now, p)
		}
		if now < p.deadline {
			i++
			continue
		}
		ended := *p
		v.probes = slices.Delete(v.probes, i, i+1)
		v.probeFailed(now, &ended)
	}
	if now >= v.nextSuspicionEnd {
		v.endSuspicions(now)
	}
	if now >= v.nextPeriod {
		v.beginPeriod(now)
	}
}

// beginPeriod probes the next members of the round, and pings suspects, dead members and seeds, whose answers would change the view.
func (v *View) beginPeriod(now time.Duration) {
	p := v.settings.Period
	v.nextPeriod += p
	if v.nextPeriod <= now { // the process was delayed by more than a period
		v.nextPeriod = now + p
	}
	v.adjustWidth(now)
	for range v.width {
		v.probeNext(now)
	}
	all := float64(len(v.present) + 1)
	if !v.settings.NoSuspectPings {
		v.pingSuspects(now, all)
	}
	if !v.settings.NoDeadPings {
		v.pingDead(now, all)
	}
	v.pingSeed(now, all)
	v.sendGossip()
	v.forgetGone(now)
	if v.duplicate != nil && now-v.duplicateSeenAt > duplicatePeriods*p {
		v.duplicate = nil
	}
	v.expirePings(now)
}

// sendGossip sends messages that carry only updates, while there are any to disseminate.
func (v *View) sendGossip() {
	for range gossipMessages {
		if v.updates.empty() || len(v.present) == 0 {
			return
		}
		if m := v.present[v.rng.IntN(len(v.present))]; m.State == Alive || v.chance(0.5) {
			v.send(m.Address, &m.Record, &Message{Kind: Gossip})
		}
	}
}

// chance returns true with probability p.
func (v *View) chance(p float64) bool { return p >= 1 || v.rng.Float64() < p }

// Leave announces to some members that this process leaves. The view does nothing after it.
func (v *View) Leave(now time.Duration) {
	if v.leaving || v.displaced {
		v.leaving = true
		return
	}
	v.self.State, v.self.By = Left, v.self.Name
	v.updates.push(v.self.Name)
	order := slices.Clone(v.present)
	v.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, m := range order[:min(len(order), 4*indirectProbes)] {
		v.updates.push(v.self.Name)
		v.send(m.Address, nil, &Message{Kind: Gossip})
	}
	v.leaving = true
}
