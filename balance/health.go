package balance

import "time"

const (
	// A server's slowness is the ratio of its answer times to its classes' means, counted up to maxSlowness.
	// If a server exceeds its peers' slowness by slowMargin, its late answers do not move the limit, and its
	// answers over overdueRatio means do not clear its failures.
	maxSlowness, slownessStep, slowMargin = 4.0, 0.1, 0.5
	overdueRatio                          = 2.0
	// A member is ejected after ejectAfterFailures failures in a row, or when its failure rate, smoothed by
	// failRateStep, exceeds ejectFailRate. The ejection lasts minEjection at first, doubling up to
	// maxEjection. A single trial request that succeeds ends it.
	ejectAfterFailures = 3
	ejectFailRate      = 0.5
	failRateStep       = 0.15
	minEjection        = 2 * time.Second
	maxEjection        = 16 * time.Second
	// stallInterval is the shortest time between two attempts that count against their server for taking too
	// long.
	stallInterval = 50 * time.Millisecond
	// panicThreshold of the slice stays in use whatever its members' failures: if so many members fail, they
	// share the cause. An answer within recentAnswer shows that the network works.
	panicThreshold = 0.5
	recentAnswer   = 500 * time.Millisecond
)

// slowerThanPeers reports whether a server takes much longer than its peers. In that case the cause is the
// server itself, not the load.
func (b *Balancer) slowerThanPeers(s *server) bool {
	sum := 0.0
	for _, m := range b.active {
		sum += m.slowness
	}
	return s.slowness > sum/float64(max(len(b.active), 1))+slowMargin
}

// notEjected reports whether a server is not ejected, or may now receive its single trial request.
func (b *Balancer) notEjected(now time.Duration, s *server) bool {
	return s.ejectedUntil == 0 || now >= s.ejectedUntil && !s.probing
}

// overdue reports whether a server answered far too late for the request's class and is slower than its
// peers. Such an answer does not clear its failures.
func (b *Balancer) overdue(q *request, s *server, r Result) bool {
	return r.Outcome == OK && r.Latency.Seconds() > overdueRatio*float64(b.mean[q.Class]) &&
		b.slowerThanPeers(s)
}

// recordOutcome updates a server's health with an outcome. Errors, timeouts and refusals count as failures.
func (b *Balancer) recordOutcome(now time.Duration, s *server, o Outcome, overdue bool) {
	failed := 0.0
	switch o {
	case Canceled, Ignored, Rejected:
		s.probing = false
		return
	case OK:
		b.servedRate.Add(now, 1, rateTimeConstant)
		b.recordWarmAnswer(now)
		if overdue {
			s.probing = false
			if s.ejectedUntil > 0 {
				b.considerEjection(now, s, true) // its trial shows that it is as slow as before
			}
			return
		}
		s.failStreak = 0
		if s.ejectedUntil > 0 {
			s.ejectedUntil, s.failRate, b.panicMode = 0, 0, false
			b.rebuildActive()
		}
		s.ejections = 0
	default:
		failed = 1
		s.failStreak++
	}
	s.probing = false
	s.failRate += failRateStep * (failed - s.failRate)
	if failed > 0 {
		if o == ConnectError {
			b.recordUnresponsive(now, s, true)
		}
		b.considerEjection(now, s, o == ConnectError)
	}
}

// considerEjection ejects a server that appears dead, for longer each time in a row.
func (b *Balancer) considerEjection(now time.Duration, s *server, dead bool) {
	dead = dead || s.failStreak >= ejectAfterFailures || s.failRate > ejectFailRate
	if dead && now >= s.ejectedUntil && b.mayEject(now, s) {
		s.ejectedUntil = now + min(minEjection<<min(s.ejections, 4), maxEjection)
		s.ejections++
		if s.ejections == 1 {
			b.host.Log("ejected " + s.id)
		}
		b.rebuildActive()
	}
}

// mayEject applies the panic threshold: failures that most of the slice shares are not caused by its members,
// and ejecting these would move the load onto the last few. Unreachable members serve nothing either way.
// They do not count while others answer, which shows that the network to the servers works.
func (b *Balancer) mayEject(now time.Duration, s *server) bool {
	if s.ejectedUntil > 0 {
		return true // it is ejected already: the trial has failed
	}
	networkOK := now <= b.lastAnswer+recentAnswer // the network to the servers
	out, all := 0, 0
	for _, m := range b.order[:b.sliceSize] {
		switch {
		case networkOK && m.unreachable:
			continue
		case m.ejectedUntil > 0 || m.banned:
			out++
		}
		all++
	}
	if networkOK && s.unreachable || float64(out+1) <= panicThreshold*float64(all) {
		return true
	}
	if !b.panicMode {
		b.panicMode = true
		b.host.Log("panic threshold: no further ejections, too much of the subset is out")
	}
	return false
}

// recordStall handles an attempt that is outstanding for longer than nearly all of its class take. A silent
// server shows no other sign, so this counts as a failure until an answer arrives. It counts only if other
// attempts are answered meanwhile, and this server has not answered since or is slower than its peers. A
// server that has answered since is not dead, and if no attempt as recent was answered, the silence is caused
// by the network or by this process. Many attempts may meet one short pause, so they count once per
// stallInterval. No second copy is sent: copies used up the retry budget of real failures and multiplied from
// tier to tier.
func (b *Balancer) recordStall(now time.Duration, q *request, index int) {
	a := &q.attempts[index]
	if a.ended || q.finished || a.server.lastAnswer > a.sentAt && !b.slowerThanPeers(a.server) {
		return
	}
	if b.newestAnswered < a.sentAt || now < a.server.lastStall+stallInterval {
		b.scheduleFor(q, stallInterval, func(now time.Duration) { b.recordStall(now, q, index) })
		return
	}
	a.server.lastStall = now
	a.server.failStreak++
	if a.server.lastAnswer <= a.sentAt {
		b.recordUnresponsive(now, a.server, false)
	}
	b.considerEjection(now, a.server, false)
}
