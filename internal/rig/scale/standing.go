package scale

import (
	"maps"
	"slices"

	"brasswell/internal/rig/hollow"
)

// standing is how all members of a run stand, put together from their hosts' samples.
type standing struct {
	hollow.Sample
}

// add puts one host's sample to it.
func (s *standing) add(o *hollow.Sample) {
	if o.Living > 0 && (s.Living == 0 || o.LowVersion < s.LowVersion) {
		s.LowVersion = o.LowVersion
	}
	s.Living += o.Living
	s.Leased += o.Leased
	s.Joined += o.Joined
	s.JoinedNS = max(s.JoinedNS, o.JoinedNS)
	s.Lost += o.Lost
	s.FalseDeaths += o.FalseDeaths
	if s.Views == nil {
		s.Views = map[uint64]int{}
	}
	for digest, members := range o.Views {
		s.Views[digest] += members
	}
	s.ViewChangedNS = max(s.ViewChangedNS, o.ViewChangedNS)
	if o.Leader != "" {
		s.Leader = o.Leader
	}
	s.Elected = append(s.Elected, o.Elected...)
	s.HighVersion = max(s.HighVersion, o.HighVersion)
	s.LastVersion = max(s.LastVersion, o.LastVersion)
	s.MemoryB += o.MemoryB
}

// right is how many members see just the members of a digest.
func (s *standing) right(digest uint64) int { return s.Views[digest] }

// allLeased says whether all of so many members live and hold a lease.
func (s *standing) allLeased(members int) bool { return s.Living == members && s.Leased == members }

// elections are those from a moment on.
func (s *standing) elections(since int64) int {
	elected := slices.Clone(s.Elected)
	return len(slices.DeleteFunc(elected, func(at int64) bool { return at < since }))
}

// clone is a copy that is not changed any more.
func (s *standing) clone() standing {
	c := *s
	c.Views, c.Elected = maps.Clone(s.Views), slices.Clone(s.Elected)
	return c
}
