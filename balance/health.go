package balance

import "time"

const (
	// A server's slowness is its answers' time over their classes' means, counted up to slowMost. Of a server
	// over its peers' by sickMargin, late answers do not move the limit, and those over overdueMost means do
	// not clear it.
	slowMost, slowStep, sickMargin = 4.0, 0.1, 0.5
	overdueMost                    = 2.0
	// A member is ejected after ejectRun failures in a row, or when failMemory-smoothed failures pass
	// ejectShare; for ejectBase at first, doubling to ejectMost. A single trial request lets it back.
	ejectRun   = 3
	ejectShare = 0.5
	failMemory = 0.15
	ejectBase  = 2 * time.Second
	ejectMost  = 16 * time.Second
	// stallStep is how long apart attempts that stay out too long count against their server.
	stallStep = 50 * time.Millisecond
	// panicShare of the slice stays whatever its members' failures: if so many look bad, the cause is shared.
	// An answer within hearing shows that the network is well.
	panicShare = 0.5
	hearing    = 500 * time.Millisecond
)

// sick says whether a server takes much longer than its peers: then the cause is its own, and no crowd.
func (b *Balancer) sick(s *server) bool {
	sum := 0.0
	for _, m := range b.active {
		sum += m.slow
	}
	return s.slow > sum/float64(max(len(b.active), 1))+sickMargin
}

// sound says whether a server is not ejected, or may now have its single trial request.
func (b *Balancer) sound(now time.Duration, s *server) bool {
	return s.ejected == 0 || now >= s.ejected && !s.trial
}

// overdue says whether a server answered far too late for the request's class, and is slower than its peers:
// such an answer does not clear it.
func (b *Balancer) overdue(q *request, s *server, r Result) bool {
	return r.Outcome == OK && r.Latency.Seconds() > overdueMost*float64(b.mean[q.Class]) && b.sick(s)
}

// judge learns a server's health from an outcome: errors, time-outs and refusals count as failures.
func (b *Balancer) judge(now time.Duration, s *server, o Outcome, overdue bool) {
	failed := 0.0
	switch o {
	case Canceled, Ignored, Rejected:
		s.trial = false
		return
	case OK:
		b.served.Add(now, 1, rateMemory)
		b.notePerWarm(now)
		if overdue {
			s.trial = false
			if s.ejected > 0 {
				b.considerEjection(now, s, true) // its trial shows that it is as slow as before
			}
			return
		}
		s.failRun = 0
		if s.ejected > 0 {
			s.ejected, s.failRate, b.panicked = 0, 0, false
			b.refresh()
		}
		s.ejections = 0
	default:
		failed = 1
		s.failRun++
	}
	s.trial = false
	s.failRate += failMemory * (failed - s.failRate)
	if failed > 0 {
		if o == ConnectError {
			b.unheard(now, s, true)
		}
		b.considerEjection(now, s, o == ConnectError)
	}
}

// considerEjection ejects a server that looks dead, for longer each time in a row.
func (b *Balancer) considerEjection(now time.Duration, s *server, dead bool) {
	dead = dead || s.failRun >= ejectRun || s.failRate > ejectShare
	if dead && now >= s.ejected && b.mayEject(now, s) {
		s.ejected = now + min(ejectBase<<min(s.ejections, 4), ejectMost)
		s.ejections++
		if s.ejections == 1 {
			b.host.Log("ejected " + s.id)
		}
		b.refresh()
	}
}

// mayEject is the panic threshold: failures that most of the slice shares do not come from its members, and
// ejecting these would pile the load onto the last few. Who cannot be reached serves nothing either way, and
// does not count while others answer, which shows that the network between is well.
func (b *Balancer) mayEject(now time.Duration, s *server) bool {
	if s.ejected > 0 {
		return true // it is out already: the trial has failed
	}
	well := now <= b.heard+hearing // the network between
	out, all := 0, 0
	for _, m := range b.order[:b.slice] {
		switch {
		case well && m.away:
			continue
		case m.ejected > 0 || m.banned:
			out++
		}
		all++
	}
	if well && s.away || float64(out+1) <= panicShare*float64(all) {
		return true
	}
	if !b.panicked {
		b.panicked = true
		b.host.Log("panic threshold: no further ejections, too much of the subset is out")
	}
	return false
}

// stalled notes that an attempt is out for longer than nearly all of its class take. A silent server shows in
// nothing else, so it counts as a failure until an answer comes. It counts only where others are answered
// meanwhile and this server says nothing at all, or is slower than its peers: one that has answered since is
// not dead, and where nobody has answered anything as young, the silence is the network's or our own. Many
// attempts may meet one short pause; they count once in stallStep. No second copy is sent: copies took the
// retry budget from real failures and multiplied from tier to tier.
func (b *Balancer) stalled(now time.Duration, q *request, index int) {
	a := &q.attempts[index]
	if a.over || q.answered || a.s.answered > a.at && !b.sick(a.s) {
		return
	}
	if b.newest < a.at || now < a.s.stalledAt+stallStep {
		b.afterFor(q, stallStep, func(now time.Duration) { b.stalled(now, q, index) })
		return
	}
	a.s.stalledAt = now
	a.s.failRun++
	if a.s.answered <= a.at {
		b.unheard(now, a.s, false)
	}
	b.considerEjection(now, a.s, false)
}
