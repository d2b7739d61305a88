package balance

import "time"

// zoneLostThreshold servers of a zone in a row that are unreachable or silent, with no answer from the zone
// in between, are evidence that the whole zone is lost. At a low request rate it takes seconds to detect each
// of them by itself, and each detection costs the request that makes it.
const zoneLostThreshold = 3

// zoneHealth is what is known about a zone's servers together.
type zoneHealth struct {
	unresponsive int           // servers in a row that were unreachable or silent
	since        time.Duration // when the first of them was noticed
}

// recordUnresponsive notes that a server is unreachable or silent. One bad server does not make its zone
// lost, because others answer in between. Slow servers do not either, because one must be unreachable. Nor
// does a loss of this instance's own network, because a server elsewhere must have answered since.
func (b *Balancer) recordUnresponsive(now time.Duration, s *server, unreachable bool) {
	z := b.zones[s.entry.Zone]
	if z == nil {
		z = &zoneHealth{}
		b.zones[s.entry.Zone] = z
	}
	if !s.unreachable {
		s.unreachable = true
		if z.unresponsive++; z.unresponsive == 1 {
			z.since = now
		}
	}
	if !unreachable || z.unresponsive < zoneLostThreshold || b.lastAnswer <= z.since {
		return
	}
	for _, m := range b.order {
		if m.entry.Zone == s.entry.Zone && m.ejectedUntil == 0 && m.lastAnswer < z.since {
			m.ejectedUntil = now + minEjection/2 + time.Duration(b.random()*float64(minEjection))
		}
	}
	b.rebuildActive()
}

// recordResponsive notes an answer. The zone of its server is no longer lost, and servers that were ejected
// only because of the zone may be tried again.
func (b *Balancer) recordResponsive(now time.Duration, s *server) {
	s.unreachable = false
	if z := b.zones[s.entry.Zone]; z != nil && z.unresponsive > 0 {
		if z.unresponsive >= zoneLostThreshold {
			for _, m := range b.order {
				if m.entry.Zone == s.entry.Zone && m.ejectedUntil > 0 {
					m.ejectedUntil = min(m.ejectedUntil, now) // each may have its trial now
				}
			}
		}
		z.unresponsive = 0
	}
}
