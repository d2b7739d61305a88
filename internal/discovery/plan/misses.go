package plan

import "time"

// waitNotifiedWithin is how long after the end of the hold time of an unanswered call the changes that it should have
// reported count as notified.
const waitNotifiedWithin = 2 * time.Second

// missTracker tracks when changes that calls may have missed count as notified. Any open call may have been
// unresponsive from its start.
type missTracker struct {
	open   map[CallID]openCall
	missed missedChanges
}

// openCall is what missTracker knows of an open call.
type openCall struct {
	sent      time.Duration
	hold      time.Duration
	confirmed bool // the list is confirmed for a time no earlier than sent
}

// missedChanges describes what calls that have ended may have missed.
type missedChanges struct {
	any      bool
	noticeAt time.Duration // the earliest time at which a missed change may count as notified
	lastEnd  time.Duration // when the last of these calls ended
}

func newMissTracker() missTracker { return missTracker{open: map[CallID]openCall{}} }

// noticeAt is when the changes that the call misses count as notified.
func (c openCall) noticeAt() time.Duration {
	if c.hold > 0 && !c.confirmed {
		return c.sent + min(c.hold+waitNotifiedWithin, NotifiedWithin)
	}
	return c.sent + NotifiedWithin
}

func (s *missTracker) callStarted(c Call, now time.Duration) {
	s.open[c.ID] = openCall{sent: now, hold: c.Hold}
}

// callEnded records that a call is no longer open. asOf is the time for which the held list is confirmed.
func (s *missTracker) callEnded(id CallID, end CallEnd, now, asOf time.Duration) {
	c, known := s.open[id]
	delete(s.open, id)
	if !known || end == Answered {
		return
	}
	if end.observedFailure() {
		if c.sent >= asOf {
			return // the time limit that counts from asOf ends no later
		}
		c.hold = 0
	}
	noticeAt := c.noticeAt()
	if end == Superseded {
		noticeAt = min(noticeAt, asOf) // an answer to it may be in transit
	}
	if !s.missed.any || noticeAt < s.missed.noticeAt {
		s.missed.noticeAt = noticeAt
	}
	s.missed.any, s.missed.lastEnd = true, now
}

// confirmed records that the held list is confirmed for a time.
func (s *missTracker) confirmed(asOf time.Duration) {
	if s.missed.lastEnd <= asOf {
		s.missed = missedChanges{}
	}
	for id, c := range s.open {
		if c.sent <= asOf {
			c.confirmed = true
			s.open[id] = c
		}
	}
}

// noticeAt is when a change that a call may have missed counts as notified.
func (s *missTracker) noticeAt() time.Duration {
	noticeAt := never - leaseSlack
	if s.missed.any {
		noticeAt = s.missed.noticeAt
	}
	for _, c := range s.open {
		noticeAt = min(noticeAt, c.noticeAt())
	}
	return noticeAt
}
