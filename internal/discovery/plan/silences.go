package plan

import "time"

// waitToldWithin behind the wait of a call that stays silent, what it should have told counts as told.
const waitToldWithin = 2 * time.Second

// silences knows when something that calls may have missed counts as told. Any call that is out may have fallen silent as it began.
type silences struct {
	out    map[CallID]openCall
	missed missed
}

// openCall is a call that is out.
type openCall struct {
	sent      time.Duration
	hold      time.Duration
	confirmed bool // a list of later than its sending is held
}

// missed is what calls may have missed that are over.
type missed struct {
	any   bool
	told  time.Duration // when the first of it counts, at the earliest
	until time.Duration // when the last of these calls ended
}

func newSilences() silences { return silences{out: map[CallID]openCall{}} }

// told is when what the call misses counts as told.
func (c openCall) told() time.Duration {
	if c.hold > 0 && !c.confirmed {
		return c.sent + min(c.hold+waitToldWithin, NotifiedWithin)
	}
	return c.sent + NotifiedWithin
}

func (s *silences) began(c Call, now time.Duration) { s.out[c.ID] = openCall{sent: now, hold: c.Hold} }

// ended takes in that a call is out no more. A list of asOf is held.
func (s *silences) ended(id CallID, end CallEnd, now, asOf time.Duration) {
	c, out := s.out[id]
	delete(s.out, id)
	if !out || end == Answered {
		return
	}
	if end.failsInSight() {
		if c.sent >= asOf {
			return // what discovery has counts by its own time before that
		}
		c.hold = 0
	}
	told := c.told()
	if end == Superseded {
		told = min(told, asOf) // an answer to it may be on its way
	}
	if !s.missed.any || told < s.missed.told {
		s.missed.told = told
	}
	s.missed.any, s.missed.until = true, now
}

// confirmed takes in that a list of a time is held.
func (s *silences) confirmed(asOf time.Duration) {
	if s.missed.until <= asOf {
		s.missed = missed{}
	}
	for id, c := range s.out {
		if c.sent <= asOf {
			c.confirmed = true
			s.out[id] = c
		}
	}
}

// told is when something that a call has missed counts as told.
func (s *silences) told() time.Duration {
	told := never - leaseSlack
	if s.missed.any {
		told = s.missed.told
	}
	for _, c := range s.out {
		told = min(told, c.told())
	}
	return told
}
