// Package parts decides which part of what all proxies of a fleet may do together is this one's own, from its view of the
// fleet. It has no I/O and no state.
//
// There are two kinds, and the difference is the point. A soft part, such as a tenant's quota, may be somewhat more than
// its share for a while: it grows when others are held dead. A hard part, such as what a cold backend gets, may not: who
// is silent here may be cut off from us alone and still send to the same backend. It never grows because others are
// silent, and shrinks at once when one joins.
package parts

import "brasswell/internal/cluster/view"

// Parts are factors on this proxy's own share of what was agreed for so many instances; 1 for just that share.
type Factors struct{ Soft, Hard float64 }

// Whole is what holds with no view of the fleet.
var FullShare = Factors{Soft: 1, Hard: 1}

// Count is what a view says, as far as it matters here.
type MemberCounts struct {
	Present int // members that are there, suspects and this process included
	Dead    int // held dead: they may live behind a cut
	Left    int // said that they go
}

// Of counts a view.
func CountMembers(s *view.Snapshot) MemberCounts {
	var c MemberCounts
	for i := range s.Members {
		switch s.Members[i].State {
		case view.Alive, view.Suspect:
			c.Present++
		case view.Dead:
			c.Dead++
		case view.Left:
			c.Left++
		}
	}
	if s.Displaced {
		c.Present++ // this process serves as well, under a name that counts for another
	}
	return c
}

// mostSoft bounds the growth of a soft part: what is over a strict majority's share cannot come up, and a fleet that has
// been made smaller for good has its number of instances to be changed.
const mostSoft = 2

// Decide returns a proxy's parts where its share was cut for so many instances.
//
// Soft: what is left of the fleet shares the whole, but only where it is more than half of all that may live. A smaller
// rest cannot tell others' death from its own being cut off, and both sides of a cut would take the whole. Who was never
// heard of keeps a share: at a start all are.
//
// Hard: at most 1. Where more may live than the share was cut for, it is cut for those. That some said they leave does
// not raise it: the budget is measured on this proxy's own traffic, which grows by itself as theirs comes here, and to
// count it twice would be too much (docs/design/view.md).
func Decide(instances int, c MemberCounts) Factors {
	p := FullShare
	if instances < 1 || c.Present < 1 {
		return p
	}
	// Those of the instances that were never heard of may be there too.
	unseen := max(instances-c.Present-c.Dead-c.Left, 0)
	living := c.Present + c.Dead + unseen
	if living > instances {
		p.Hard = float64(instances) / float64(living)
	}
	if 2*c.Present > living {
		p.Soft = min(float64(instances)/float64(c.Present+unseen), mostSoft)
	} else {
		p.Soft = min(p.Soft, float64(instances)/float64(max(living, 1)))
	}
	return p
}
