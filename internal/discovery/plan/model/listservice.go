package model

import (
	"slices"
	"time"

	"brasswell/internal/discovery/plan"
)

// serviceSettings describe a list service that all processes of a fleet call. It works off lines, one after the other.
type serviceSettings struct {
	// Rate is how many lines the service works off each second.
	Rate float64
	// CallLines is the work of a call that begins a watch, beside a line for each change that it tells.
	CallLines float64
	// Patience is how much work may lie before a call. One that meets more is refused at once.
	MaxQueueDelay time.Duration
}

const (
	// refusalLatency is until a call is refused.
	refusalLatency = 3 * time.Millisecond
	// oldAddressOpen is how long behind a process's move the service keeps its watch at the old address open.
	oldAddressOpen = 1500 * time.Millisecond
)

// caller is a process that calls the list service. Its methods are called within events of the clock.
type client interface {
	answered(id plan.CallID, version int64, whole bool)
	failed(id plan.CallID, end plan.CallEnd)
}

// serviceCall is a call at the service.
type serviceCall struct {
	plan.Call
	session *session
	arrived time.Duration
	done    bool
}

// session is what the service knows of one process.
type session struct {
	client     client
	tier       int
	watch      *serviceCall // that waits for a change; nil for none
	lastAnswer optionalTime
}

// moment is a time that may not have come yet.
type optionalTime struct {
	at  time.Duration
	set bool
}

// listService answers calls for the lists of several tiers, on a virtual clock.
type listService struct {
	*clock
	settings  serviceSettings
	versions  []int64 // by tier
	sessions  []*session
	busyUntil time.Duration // when all work that was taken on will be done
	counts    *fleetCounts
}

func newListService(c *clock, settings serviceSettings, tiers int, counts *fleetCounts) *listService {
	s := &listService{clock: c, settings: settings, versions: make([]int64, tiers), counts: counts}
	for tier := range s.versions {
		s.versions[tier] = firstVersion
	}
	return s
}

// add takes in a process.
func (s *listService) add(sess *session) { s.sessions = append(s.sessions, sess) }

// change makes so many changes to the list of a tier, and answers the watches that wait for one.
func (s *listService) change(tier, entries int) {
	s.versions[tier] += int64(entries)
	for _, sess := range s.sessions {
		if c := sess.watch; c != nil && sess.tier == tier {
			sess.watch = nil
			s.enqueue(c, s.changeLines(c))
		}
	}
}

// call takes in a call. One that comes right behind an answer goes on with its process's watch. One that is made beside a watch ends that, and begins
// another.
func (s *listService) call(sess *session, c plan.Call) {
	sc := &serviceCall{Call: c, session: sess, arrived: s.now}
	continues := sess.watch == nil && sess.lastAnswer.set && s.now-sess.lastAnswer.at <= watchGap
	if sess.watch != nil {
		s.fail(sess.watch, plan.TurnedAway)
	}
	switch {
	case !continues:
		s.enqueue(sc, s.settings.CallLines+s.changeLines(sc))
	case s.mustWait(sc):
		s.holdWatch(sc)
	default:
		s.enqueue(sc, s.changeLines(sc))
	}
}

// news is the work of what a call is told.
func (s *listService) changeLines(c *serviceCall) float64 {
	return float64(s.versions[c.session.tier] - max(c.From, firstVersion))
}

// waits says whether a call waits for a change.
func (s *listService) mustWait(c *serviceCall) bool {
	return c.From == s.versions[c.session.tier] && c.arrived+c.Hold > s.now
}

// work takes on the work of a call, and answers it once that is done.
func (s *listService) enqueue(c *serviceCall, lines float64) {
	s.busyUntil = max(s.busyUntil, s.now)
	free := s.busyUntil + time.Duration(lines/s.settings.Rate*float64(time.Second))
	if free-s.now > s.settings.MaxQueueDelay {
		s.counts.countRefused(c, s.now)
		s.after(refusalLatency, func() { s.fail(c, plan.TurnedAway) })
		return
	}
	s.busyUntil = free
	s.at(free, func() {
		if !c.done && s.mustWait(c) {
			s.holdWatch(c)
			return
		}
		s.answer(c)
	})
}

// park has a call wait for a change.
func (s *listService) holdWatch(c *serviceCall) {
	if c.session.watch != nil {
		s.fail(c.session.watch, plan.TurnedAway)
	}
	c.session.watch = c
	s.at(c.arrived+c.Hold, func() {
		if c.session.watch == c {
			s.answer(c)
		}
	})
}

func (s *listService) answer(c *serviceCall) {
	if !s.finish(c) {
		return
	}
	sess := c.session
	sess.lastAnswer = optionalTime{s.now, true}
	version := s.versions[sess.tier]
	s.after(callLatency, func() { sess.client.answered(c.ID, version, c.From < 0) })
}

// fail ends a call without an answer.
func (s *listService) fail(c *serviceCall, end plan.CallEnd) {
	if s.finish(c) {
		c.session.client.failed(c.ID, end)
	}
}

// finish is done with a call, and says whether it was not before.
func (s *listService) finish(c *serviceCall) (first bool) {
	if c.session.watch == c {
		c.session.watch = nil
	}
	first = !c.done
	c.done = true
	return first
}

// abandon takes in that a process closes a watch. Work that was taken on is done all the same.
func (s *listService) cancel(sess *session, id plan.CallID) {
	if sess.watch != nil && sess.watch.ID == id {
		s.finish(sess.watch)
	}
}

// closeOld ends a process's watch at the address before its move.
func (s *listService) closeAtOldAddress(sess *session, address string) {
	if sess.watch != nil && sess.watch.Address != address {
		s.fail(sess.watch, plan.NoAnswer)
	}
}

// end is done with a process.
func (s *listService) remove(sess *session) {
	s.sessions = slices.DeleteFunc(s.sessions, func(other *session) bool { return other == sess })
}
