package model

import (
	"math/rand/v2"
	"time"

	"brasswell/internal/discovery/plan"
)

// fleetSettings describe a simulation of many processes that use one list service.
type fleetSettings struct {
	Seed    uint64
	Service serviceSettings
	// Processes is the number of processes. The first FirstTier of them use the list of the first tier, the only
	// list that changes.
	Processes, FirstTier int
	// StartWithin is the time over which all processes start.
	StartWithin time.Duration
	// Move is when the processes begin to get another address, one after the other within MoveWithin.
	Move, MoveWithin time.Duration
	// From is when changes of ChangeEntries entries each and replacements of a process begin, both at equal
	// intervals, and To is when they end.
	From, To, ChangeEvery, ReplaceEvery time.Duration
	ChangeEntries                       int
	Length                              time.Duration
}

// The tiers of a fleet.
const (
	firstTier = iota
	otherTiers
	tiers
)

const (
	// replacementGap is the time between the end of a process and the start of its replacement.
	replacementGap = 300 * time.Millisecond
	// firstWatchDelay is the longest delay of the balancer before a first watch. It doubles with each failure.
	firstWatchDelay = defaultAskEvery / 16
	// maxWatchDoublings bounds how often firstWatchDelay doubles.
	maxWatchDoublings = 3
	movedAddress      = "b"
)

// fleetCounts count, after the move, the calls that are made and those that are refused at once.
type fleetCounts struct {
	moveAt        time.Duration
	made, refused callCounts
}

// callCounts count calls by whether they wait for a change.
type callCounts struct{ initial, watches int }

func (n *callCounts) add(c plan.Call) {
	if c.Hold > 0 {
		n.watches++
	} else {
		n.initial++
	}
}

// countMade counts a call.
func (n *fleetCounts) countMade(c plan.Call, now time.Duration) {
	if now >= n.moveAt {
		n.made.add(c)
	}
}

// countRefused counts a call that the service refused because of its queue.
func (n *fleetCounts) countRefused(c *serviceCall, now time.Duration) {
	if now >= n.moveAt {
		n.refused.add(c.Call)
	}
}

// fleetSimulation is a running simulation of a fleet.
type fleetSimulation struct {
	clock
	settings fleetSettings
	dice     *rand.Rand
	service  *listService
	address  string // given to new processes
	members  []*member
	ended    []*member // members that were replaced
	counts   fleetCounts
}

// simulateFleet runs a simulation to its end and returns it.
func simulateFleet(settings fleetSettings) *fleetSimulation {
	f := &fleetSimulation{
		settings: settings, dice: rand.New(rand.NewPCG(settings.Seed, 0xf1ee7)), address: firstAddress,
		members: make([]*member, settings.Processes), counts: fleetCounts{moveAt: settings.Move},
	}
	f.service = newListService(&f.clock, settings.Service, tiers, &f.counts)
	f.scheduleEvents()
	for f.now < settings.Length && f.next() {
	}
	return f
}

func (f *fleetSimulation) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(f.dice.Float64() * float64(limit))
}

func (f *fleetSimulation) scheduleEvents() {
	s := f.settings
	for slot := range f.members {
		f.at(f.randomUpTo(s.StartWithin), func() { f.start(slot) })
	}
	f.every(s.From, s.To, s.ChangeEvery, func() { f.service.change(firstTier, s.ChangeEntries) })
	f.every(s.From, s.To, s.ReplaceEvery, func() { f.replace(f.dice.IntN(s.Processes)) })
	f.every(0, s.Length, tick, f.sample)
	f.at(s.Move, func() {
		f.address = movedAddress
		for _, m := range f.members {
			if m != nil {
				f.after(f.randomUpTo(s.MoveWithin), m.move)
			}
		}
	})
}

// every schedules do at equal intervals.
func (f *fleetSimulation) every(from, to, interval time.Duration, do func()) {
	for at := from; at < to; at += interval {
		f.at(at, do)
	}
}

func (f *fleetSimulation) start(slot int) {
	m := newMember(f, slot)
	f.members[slot] = m
	f.service.add(m.session)
	m.scheduleWatch()
}

// replace ends a process and starts another one in its place.
func (f *fleetSimulation) replace(slot int) {
	m := f.members[slot]
	if m == nil {
		return
	}
	m.stop()
	f.ended = append(f.ended, m)
	f.members[slot] = nil
	f.after(replacementGap, func() { f.start(slot) })
}

func (f *fleetSimulation) sample() {
	for _, m := range f.members {
		if m != nil {
			m.sample()
		}
	}
}
