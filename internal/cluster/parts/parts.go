// Package parts computes this proxy's share of the limits that all proxies of a fleet have together, from its view of
// the fleet. It has no I/O and no state.
//
// There are two kinds of limits, which have to be treated differently. A soft limit, such as a tenant's quota, may be
// exceeded somewhat for a while: a proxy's share of it grows when other proxies are considered dead. A hard limit, such
// as the load on a cold backend, may not be exceeded: a proxy that is silent here may be cut off from this proxy alone
// and still send to the same backend. The share of a hard limit never grows because others are silent, and shrinks at
// once when a proxy joins.
package parts

import "brasswell/internal/cluster/view"

// Factors scale this proxy's configured share of the soft and hard limits, which was computed for a number of
// instances. A factor of 1 leaves the share unchanged.
type Factors struct{ Soft, Hard float64 }

// FullShare applies without a view of the fleet.
var FullShare = Factors{Soft: 1, Hard: 1}

// MemberCounts are the numbers of members in a view, by state.
type MemberCounts struct {
	Present int // alive or suspected, including this process
	Dead    int // considered dead; they may be alive on the other side of a network partition
	Left    int // announced that they leave
}

// CountMembers counts the members of a view.
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
		c.Present++ // this process serves too; its name counts for another process
	}
	return c
}

// maxSoft bounds the soft factor. The share of a strict majority never needs more. In a fleet that has been permanently
// reduced, the configured number of instances has to be changed.
const maxSoft = 2

// Decide returns the factors of a proxy whose share was computed for the given number of instances.
//
// Soft: the remaining members divide the whole limit, but only if they are more than half of all members that may be
// alive. A smaller remainder cannot distinguish the death of the others from its own isolation, and both sides of a
// partition would use the whole limit. Instances that have never been seen keep their share, since at a start none has
// been seen.
//
// Hard: at most 1. If more members may be alive than the share was computed for, it is computed for those. Members that
// announced that they leave do not raise it: the budget is measured on this proxy's own traffic, which grows by itself
// when their traffic arrives here, so raising the factor would count that traffic twice (docs/design/view.md).
func Decide(instances int, c MemberCounts) Factors {
	f := FullShare
	if instances < 1 || c.Present < 1 {
		return f
	}
	// Instances that have never been seen may be alive too.
	neverSeen := max(instances-c.Present-c.Dead-c.Left, 0)
	living := c.Present + c.Dead + neverSeen
	if living > instances {
		f.Hard = float64(instances) / float64(living)
	}
	if 2*c.Present > living {
		f.Soft = min(float64(instances)/float64(c.Present+neverSeen), maxSoft)
	} else {
		f.Soft = min(f.Soft, float64(instances)/float64(max(living, 1)))
	}
	return f
}
