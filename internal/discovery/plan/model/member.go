package model

import (
	"math/rand/v2"
	"time"

	"brasswell/internal/discovery/plan"
)

// member is one process of a fleet.
type member struct {
	fleet    *fleetSimulation
	core     *core
	session  *session
	started  time.Duration
	stopped  bool
	failures int // consecutive failures
	timer    int // number of the event for the follower's next timer; 0 for none
	timerAt  time.Duration
	open     map[plan.CallID]*openCall
	staleSamples
}

// staleSamples record for how long a process may not act on its list.
type staleSamples struct {
	stale        bool
	staleSince   time.Duration
	longestStale time.Duration // after the move
	staleTicks   int           // after the move
	ticks        int           // after the move
}

func newMember(f *fleetSimulation, slot int) *member {
	tier := otherTiers
	if slot < f.settings.FirstTier {
		tier = firstTier
	}
	m := &member{fleet: f, started: f.now, open: map[plan.CallID]*openCall{}, staleSamples: staleSamples{stale: true, staleSince: f.now}}
	m.session = &session{client: m, tier: tier}
	m.core = newCoreAt(f.address, f.service.versions[tier], f.now, defaultAskEvery, rand.New(rand.NewPCG(f.dice.Uint64(), 1)))
	return m
}

// scheduleWatch begins a watch after the balancer's delay.
func (m *member) scheduleWatch() {
	limit := min(firstWatchDelay<<min(m.failures, maxWatchDoublings), maxWatchDelay)
	m.after(m.fleet.randomUpTo(limit), m.watch)
}

// after schedules do, which is skipped if the process has ended by then.
func (m *member) after(d time.Duration, do func()) {
	m.fleet.after(d, func() {
		if !m.stopped {
			do()
		}
	})
}

func (m *member) watch() {
	m.core.watch(m.fleet.now)
	m.runActions()
}

// move makes a process use the new address.
func (m *member) move() {
	if m.stopped {
		return
	}
	now := m.fleet.now
	m.core.resumed(now-time.Microsecond, now) // it last ran right before
	m.core.moved(movedAddress, now)
	m.watch()
	m.after(oldAddressOpen, func() { m.fleet.service.closeAtOldAddress(m.session, movedAddress) })
}

func (m *member) stop() {
	m.stopped = true
	m.fleet.service.remove(m.session)
	clear(m.open)
}

// runActions executes the follower's decisions.
func (m *member) runActions() {
	for _, action := range m.core.actions() {
		switch a := action.(type) {
		case plan.MakeCall:
			m.call(a.Call)
		case plan.CancelCall:
			m.cancelCall(a.ID)
		case plan.ReportFailure:
			m.failures++
			m.scheduleWatch()
		}
	}
	m.setTimer()
}

func (m *member) setTimer() {
	at, ok := m.core.nextTick()
	if !ok || m.timer != 0 && m.timerAt == at {
		return
	}
	var event int
	event = m.fleet.at(at, func() {
		if m.stopped || event != m.timer {
			return
		}
		m.timer = 0
		m.core.tick(m.fleet.now)
		m.runActions()
	})
	m.timer, m.timerAt = event, at
}

func (m *member) call(c plan.Call) {
	o := &openCall{Call: c, begun: m.fleet.now, closedAt: never}
	m.open[c.ID] = o
	m.fleet.counts.countMade(c, m.fleet.now)
	m.after(c.Timeout, func() {
		if m.open[c.ID] == o {
			m.fleet.service.cancel(m.session, c.ID)
			m.failed(c.ID, plan.TimedOut)
		}
	})
	m.after(callLatency, func() {
		if m.open[c.ID] == o {
			m.fleet.service.call(m.session, c)
		}
	})
}

func (m *member) cancelCall(id plan.CallID) {
	if m.open[id] == nil {
		return
	}
	delete(m.open, id)
	m.fleet.service.cancel(m.session, id)
}

// answered handles a complete answer.
func (m *member) answered(id plan.CallID, version int64, whole bool) {
	o := m.open[id]
	if m.stopped || o == nil {
		return
	}
	delete(m.open, id)
	now := m.fleet.now
	m.core.listBegun(o, now)
	use, ok := m.core.answerReceived(o, version, whole, now)
	if !ok {
		return
	}
	m.runActions()
	m.failures = 0
	m.core.answerApplied(o, use, now)
	m.runActions()
}

// failed handles the end of a call without a complete answer.
func (m *member) failed(id plan.CallID, end plan.CallEnd) {
	o := m.open[id]
	if m.stopped || o == nil {
		return
	}
	delete(m.open, id)
	m.core.callEnded(o, end, m.fleet.now)
	m.runActions()
}

// sample records whether the process may act on its list.
func (m *member) sample() {
	now := m.fleet.now
	afterMove := now >= m.fleet.settings.Move
	stale := !m.core.mayAct(now)
	if stale && !m.stale {
		m.staleSince = now
	}
	m.stale = stale
	if !afterMove {
		return
	}
	m.ticks++
	if stale {
		m.staleTicks++
		m.longestStale = max(m.longestStale, now-max(m.staleSince, m.fleet.settings.Move))
	}
}
