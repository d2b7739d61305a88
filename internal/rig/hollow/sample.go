package hollow

import (
	"os"
	"slices"

	"brasswell/internal/rig/procfs"
)

// Sample is how the members stand.
func (h *Host) Sample() *Sample {
	s := &Sample{Views: map[uint64]int{}, MemoryB: procfs.ResidentMemory(os.Getpid())}
	for i, m := range h.all() {
		m.mu.Lock()
		m.sample(s, i == 0)
		m.mu.Unlock()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.Lost, s.FalseDeaths, s.Elected = h.lost, h.falseDeaths, slices.Clone(h.elections)
	return s
}

// sample adds a member to a sample. Its lock is held.
func (m *member) sample(s *Sample, first bool) {
	s.Living++
	if m.leased {
		s.Leased++
	}
	if m.joined > 0 {
		s.Joined++
		s.JoinedNS = max(s.JoinedNS, m.joined)
	}
	if m.leads {
		s.Leader = m.spec.Name
	}
	s.Views[m.present]++
	s.ViewChangedNS = max(s.ViewChangedNS, m.changed)
	var now learned
	if n := len(m.versions); n > 0 {
		now = m.versions[n-1]
	}
	if first || now.version < s.LowVersion {
		s.LowVersion = now.version
	}
	s.HighVersion = max(s.HighVersion, now.version)
	s.LastVersion = max(s.LastVersion, now.last)
}

// Spread is how changes have spread.
func (h *Host) Spread(ask SpreadRequest) []Spread {
	members := h.all()
	h.mu.Lock()
	cuts := slices.Clone(h.cuts)
	h.mu.Unlock()
	var spreads []Spread
	for _, c := range ask.Changes {
		s := Spread{Version: c.Version}
		for _, m := range members {
			m.mu.Lock()
			m.spread(&s, c, ask.CutOff, cuts, h.fleet.Layout.Region(m.spec.Zone))
			m.mu.Unlock()
		}
		spreads = append(spreads, s)
	}
	return spreads
}

// spread adds a member to a change's spread, if it counts. Its lock is held.
func (m *member) spread(s *Spread, c Change, cutOff bool, cuts []cutSpan, region int) {
	if m.joined == 0 || m.joined > c.ProposedNS {
		return
	}
	knew, acted := m.knew(c.Version), m.acted(c.Version)
	missed := func(cut cutSpan) bool {
		over := cut.end > 0 && c.ProposedNS >= cut.end
		before := acted > 0 && acted <= cut.begin
		return cut.region == region && !over && !before
	}
	if slices.ContainsFunc(cuts, missed) != cutOff {
		return
	}
	s.Members++
	if knew > 0 {
		s.Known++
		s.KnownNS = max(s.KnownNS, knew)
	}
	if acted > 0 {
		s.Acting++
		s.ActingNS = max(s.ActingNS, acted)
	}
}
