package model

import (
	"slices"
	"time"

	"brasswell/internal/discovery/plan"
)

// serviceSettings describe a list service that all processes of a fleet call. It processes lines one after the
// other.
type serviceSettings struct {
	// Rate is how many lines the service processes per second.
	Rate float64
	// CallLines is the work of a call that begins a watch, in lines, in addition to one line for each change in its
	// answer.
	CallLines float64
	// MaxQueueDelay bounds the work that may be queued before a call. A call that finds more is refused at once.
	MaxQueueDelay time.Duration
}

const (
	// refusalLatency is the time until a call is refused.
	refusalLatency = 3 * time.Millisecond
	// oldAddressOpen is how long after a process's move the service keeps its watch at the old address open.
	oldAddressOpen = 1500 * time.Millisecond
)

// client is a process that calls the list service. Its methods are called within events of the clock.
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

// session is the service's state for one process.
type session struct {
	client     client
	tier       int
	watch      *serviceCall // the call that waits for a change; nil for none
	lastAnswer optionalTime
}

// optionalTime is a time that may not be set.
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
	busyUntil time.Duration // when all accepted work will be done
	counts    *fleetCounts
}

func newListService(c *clock, settings serviceSettings, tiers int, counts *fleetCounts) *listService {
	s := &listService{clock: c, settings: settings, versions: make([]int64, tiers), counts: counts}
	for tier := range s.versions {
		s.versions[tier] = firstVersion
	}
	return s
}

// add adds a process.
func (s *listService) add(sess *session) { s.sessions = append(s.sessions, sess) }

// change makes the given number of changes to a tier's list, and answers the calls that wait for one.
func (s *listService) change(tier, entries int) {
	s.versions[tier] += int64(entries)
	for _, sess := range s.sessions {
		if c := sess.watch; c != nil && sess.tier == tier {
			sess.watch = nil
			s.enqueue(c, s.changeLines(c))
		}
	}
}

// call accepts a call. If it arrives right after an answer, it continues its process's watch. If it is made beside a
// watch, it ends that watch and begins another one.
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

// changeLines returns the work of the changes in the answer to a call, in lines.
func (s *listService) changeLines(c *serviceCall) float64 {
	return float64(s.versions[c.session.tier] - max(c.From, firstVersion))
}

// mustWait reports whether a call has to wait for a change.
func (s *listService) mustWait(c *serviceCall) bool {
	return c.From == s.versions[c.session.tier] && c.arrived+c.Hold > s.now
}

// enqueue queues the work of a call and answers the call once the work is done. It refuses the call if too much work
// is queued already.
func (s *listService) enqueue(c *serviceCall, lines float64) {
	s.busyUntil = max(s.busyUntil, s.now)
	doneAt := s.busyUntil + time.Duration(lines/s.settings.Rate*float64(time.Second))
	if doneAt-s.now > s.settings.MaxQueueDelay {
		s.counts.countRefused(c, s.now)
		s.after(refusalLatency, func() { s.fail(c, plan.TurnedAway) })
		return
	}
	s.busyUntil = doneAt
	s.at(doneAt, func() {
		if !c.done && s.mustWait(c) {
			s.holdWatch(c)
			return
		}
		s.answer(c)
	})
}

// holdWatch makes a call wait for a change.
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

// finish ends a call, and reports whether it had not ended before.
func (s *listService) finish(c *serviceCall) (first bool) {
	if c.session.watch == c {
		c.session.watch = nil
	}
	first = !c.done
	c.done = true
	return first
}

// cancel ends a watch that its process has closed. Work that was accepted is done nevertheless.
func (s *listService) cancel(sess *session, id plan.CallID) {
	if sess.watch != nil && sess.watch.ID == id {
		s.finish(sess.watch)
	}
}

// closeAtOldAddress ends a process's watch at the address before its move.
func (s *listService) closeAtOldAddress(sess *session, address string) {
	if sess.watch != nil && sess.watch.Address != address {
		s.fail(sess.watch, plan.NoAnswer)
	}
}

// remove removes a process.
func (s *listService) remove(sess *session) {
	s.sessions = slices.DeleteFunc(s.sessions, func(other *session) bool { return other == sess })
}
