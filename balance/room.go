package balance

import "time"

// roomLost members of a room in a row, unreachable or silent with nothing heard from the room between, are
// evidence against all of it. At a low rate it takes seconds to find out about each of them by itself, and
// each costs the request that does.
const roomLost = 3

// room is what is known of a zone's servers together.
type room struct {
	unheard int           // servers in a row of which nothing was heard
	since   time.Duration // when the first of them showed
}

// unheard notes that a server could not be reached, or is silent. One bad server condemns no room, as others
// answer between, nor do slow ones: one must be out of reach. Nor does a loss of our own network: somebody
// elsewhere must have answered since.
func (b *Balancer) unheard(now time.Duration, s *server, unreachable bool) {
	r := b.rooms[s.entry.Zone]
	if r == nil {
		r = &room{}
		b.rooms[s.entry.Zone] = r
	}
	if !s.away {
		s.away = true
		if r.unheard++; r.unheard == 1 {
			r.since = now
		}
	}
	if !unreachable || r.unheard < roomLost || b.heard <= r.since {
		return
	}
	for _, m := range b.order {
		if m.entry.Zone == s.entry.Zone && m.ejected == 0 && m.answered < r.since {
			m.ejected = now + ejectBase/2 + time.Duration(b.random()*float64(ejectBase))
		}
	}
	b.refresh()
}

// backAgain notes an answer: its room is no longer lost, and who was out for the room's sake alone is back.
func (b *Balancer) backAgain(now time.Duration, s *server) {
	s.away = false
	if r := b.rooms[s.entry.Zone]; r != nil && r.unheard > 0 {
		if r.unheard >= roomLost {
			for _, m := range b.order {
				if m.entry.Zone == s.entry.Zone && m.ejected > 0 {
					m.ejected = min(m.ejected, now) // each may have its trial
				}
			}
		}
		r.unheard = 0
	}
}
