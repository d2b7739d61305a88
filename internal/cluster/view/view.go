// Package view decides, for one proxy, who else of its fleet is there. It has no I/O and no clock: events with their time
// go in, actions come out, and equal settings, seed and events give equal actions. It is not safe for concurrent use.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with these extensions: suspicions that the suspect refutes, local health and
// suspicion timeouts that get shorter with confirmations (Lifeguard, Dadgar, Phillips, Currey 2018), a digest of the view on each
// message, by which differences are detected at no cost while there are none, and pings to dead members, by which the halves of a
// partitioned fleet find each other again. docs/design/view.md weighs them.
//
// The files: probe.go probes members, suspicion.go raises and ends suspicions, health.go is this process's own health, message.go sends
// and receives datagrams, news.go disseminates records, apply.go merges records into the view, member.go holds them, exchange.go
// compares and exchanges whole views, join.go finds the fleet by seeds and dead members, and name.go settles who has this process's name.
package view

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// newsMessages are sent in a period while there are records to disseminate, beside those that are sent anyway.
	gossipMessages = 2
	// duplicatePeriods is how long another process under this name is reported after it was last heard.
	duplicatePeriods = 200
)

// View is one process's view of its fleet.
type View struct {
	settings Settings
	host     Host
	rng      *rand.Rand

	self    Record
	members map[string]*member
	byName  []*member // all members, in the order of their names, so that a Standing need not sort them
	present []*member // alive and suspect ones, in no order
	suspect map[string]*member
	gone    []*member // dead and left ones, the oldest first; some of them may be present again
	digest  uint64
	updates updateQueue

	startedAt      time.Duration
	nextPeriod     time.Duration
	lastReceivedAt time.Duration // when any message was last received
	changedAt      time.Duration // when the view last changed
	leaving        bool
	rejected       int // records that were not taken for want of room

	// Probing:
	seq          uint64
	order        []*member // the rest of this round's probes, the next one last
	roundBegun   bool      // the first round has
	probes       []probe
	pendingPings map[uint64]pendingPing
	width        int  // probes that begin in a period
	probesFailed bool // since the period began

	// Suspicions:
	// suspicionDue is when a suspicion may first end: no suspect's deadline is earlier; never where there is none. A suspicion that is
	// refuted or lasts longer leaves it as it is, until Wake looks at all suspects then.
	nextSuspicionEnd time.Duration
	suspicionScans   int           // how often all suspects were looked at for it
	falseSuspicions  int           // suspicions of this process that were refuted lately
	falseSuspicionAt time.Duration // when one of them was last forgotten, or the first one came
	health           int           // the local health score; 0 for well
	noSuspicionUntil time.Duration // until when no member is suspected

	// Exchanges:
	digestsDifferSince time.Duration // 0 if they agree
	exchangeForcedAt   time.Duration // when they have differed for so long that changes do not keep this process from an exchange
	matchingDigests    int           // how many messages in a row have shown the same digest
	exchangedAt        time.Duration // when the last exchange was begun here
	merged             bool          // an exchange has brought something

	// This process's name:
	displaced       bool    // another process has it
	duplicate       *Record // another process that claims it
	duplicateSeenAt time.Duration
	claimedAt       time.Duration // when the name was last claimed from another process
	backoff         int           // periods until it may be again
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
	// Processes that are started together do not all probe at one time.
	v.nextPeriod = now + time.Duration(v.rng.Float64()*float64(s.Period)/2)
	v.digest = hash(&v.self)
	v.updates.push(v.self.Name)
	for _, seed := range s.Seeds {
		v.pingAddress(now, seed)
	}
	return v, nil
}

// Next is when Wake is to be called at the latest.
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

// Wake does what is due.
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

// beginPeriod probes the next members of the round, and pings some others whose answer would be news.
func (v *View) beginPeriod(now time.Duration) {
	p := v.settings.Period
	v.nextPeriod += p
	if v.nextPeriod <= now { // the clock has run ahead
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

// sendNews sends messages that carry nothing but records, while there are any to disseminate.
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

// chance is true with a probability.
func (v *View) chance(p float64) bool { return p >= 1 || v.rng.Float64() < p }

// Leave tells some members that this process leaves. Nothing is done after it.
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
