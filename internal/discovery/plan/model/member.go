package model

import (
	"math/rand/v2"
	"time"

	"brasswell/internal/discovery/plan"
)

// member is one process of a fleet.
type member struct {
	fleet    *fleet
	core     *core
	session  *session
	started  time.Duration
	stopped  bool
	failures int // in a row
	timer    int // the number of the event that is the follower's time; 0 for none
	timerAt  time.Duration
	open     map[plan.CallID]*openCall
	observed
}

// observed is for how long a process may not act on its list.
type observed struct {
	held      bool
	heldSince time.Duration
	longest   time.Duration // behind the move
	heldTicks int           // the same
	ticks     int           // the same
}

func newMember(f *fleet, slot int) *member {
	tier := otherTiers
	if slot < f.settings.FirstTier {
		tier = firstTier
	}
	m := &member{fleet: f, started: f.now, open: map[plan.CallID]*openCall{}, observed: observed{held: true, heldSince: f.now}}
	m.session = &session{caller: m, tier: tier}
	m.core = newCoreAt(f.address, f.service.versions[tier], f.now, defaultAskEvery, rand.New(rand.NewPCG(f.dice.Uint64(), 1)))
	return m
}

// watchSoon has the balancer's pause go by, and then a watch begin.
func (m *member) watchSoon() {
	most := min(balancerFirst<<min(m.failures, balancerDoublings), balancerMost)
	m.after(m.fleet.drawn(most), m.watch)
}

// after has something happen that a process which has ended does not see.
func (m *member) after(d time.Duration, do func()) {
	m.fleet.after(d, func() {
		if !m.stopped {
			do()
		}
	})
}

func (m *member) watch() {
	m.core.watch(m.fleet.now)
	m.carryOut()
}

// move has a process told the new address.
func (m *member) move() {
	if m.stopped {
		return
	}
	now := m.fleet.now
	m.core.heldUp(now-time.Microsecond, now) // it was last seen to run right before
	m.core.move(movedAddress, now)
	m.watch()
	m.after(oldAddressOpen, func() { m.fleet.service.closeOld(m.session, movedAddress) })
}

func (m *member) stop() {
	m.stopped = true
	m.fleet.service.end(m.session)
	clear(m.open)
}

// carryOut carries out what the follower has decided.
func (m *member) carryOut() {
	for _, action := range m.core.actions() {
		switch a := action.(type) {
		case plan.MakeCall:
			m.call(a.Call)
		case plan.CancelCall:
			m.giveUp(a.ID)
		case plan.ReportFailure:
			m.failures++
			m.watchSoon()
		}
	}
	m.setTimer()
}

func (m *member) setTimer() {
	at, ok := m.core.next()
	if !ok || m.timer != 0 && m.timerAt == at {
		return
	}
	var mine int
	mine = m.fleet.at(at, func() {
		if m.stopped || mine != m.timer {
			return
		}
		m.timer = 0
		m.core.time(m.fleet.now)
		m.carryOut()
	})
	m.timer, m.timerAt = mine, at
}

func (m *member) call(c plan.Call) {
	o := &openCall{Call: c, begun: m.fleet.now, closedAt: never}
	m.open[c.ID] = o
	m.fleet.counts.madeAt(c, m.fleet.now)
	m.after(c.Timeout, func() {
		if m.open[c.ID] == o {
			m.fleet.service.abandon(m.session, c.ID)
			m.failed(c.ID, plan.TimedOut)
		}
	})
	m.after(callLatency, func() {
		if m.open[c.ID] == o {
			m.fleet.service.call(m.session, c)
		}
	})
}

func (m *member) giveUp(id plan.CallID) {
	if m.open[id] == nil {
		return
	}
	delete(m.open, id)
	m.fleet.service.abandon(m.session, id)
}

// answered takes in a whole answer.
func (m *member) answered(id plan.CallID, version int64, whole bool) {
	o := m.open[id]
	if m.stopped || o == nil {
		return
	}
	delete(m.open, id)
	now := m.fleet.now
	m.core.listBegun(o, now)
	use, ok := m.core.received(o, version, whole, now)
	if !ok {
		return
	}
	m.carryOut()
	m.failures = 0
	m.core.taken(o, use, now)
	m.carryOut()
}

// failed takes in the end of a call without a whole answer.
func (m *member) failed(id plan.CallID, end plan.CallEnd) {
	o := m.open[id]
	if m.stopped || o == nil {
		return
	}
	delete(m.open, id)
	m.core.ended(o, end, m.fleet.now)
	m.carryOut()
}

// observe notes whether the process may act on its list.
func (m *member) observe() {
	now := m.fleet.now
	behindMove := now >= m.fleet.settings.Move
	held := !m.core.mayAct(now)
	if held && !m.held {
		m.heldSince = now
	}
	m.held = held
	if !behindMove {
		return
	}
	m.ticks++
	if held {
		m.heldTicks++
		m.longest = max(m.longest, now-max(m.heldSince, m.fleet.settings.Move))
	}
}
