package model

import (
	"slices"
	"time"
)

// shorten removes from a schedule everything without which it is still late by the same notice rule.
func shorten(s Schedule, rule func(Schedule) StalenessRule) (Schedule, Result) {
	runOnce := func(s Schedule) Result {
		if rule == nil {
			return Run(s, nil)
		}
		return Run(s, rule(s))
	}
	best := runOnce(s)
	for again := true; again; {
		again = false
		for _, shorter := range shorterBy(s) {
			if v := runOnce(shorter); v.Late > 0 && v.LateRule == best.LateRule {
				s, best, again = shorter, v, true
				break
			}
		}
	}
	return s, best
}

// shorterBy returns all schedules that lack one element of c.
func shorterBy(s Schedule) (shorter []Schedule) {
	add := func(without func(*Schedule)) {
		one := s
		without(&one)
		shorter = append(shorter, one)
	}
	times := func(of func(*Schedule) *[]time.Duration) {
		for i := range *of(&s) {
			add(func(s *Schedule) { *of(s) = slices.Delete(slices.Clone(*of(s)), i, i+1) })
		}
	}
	times(func(s *Schedule) *[]time.Duration { return &s.Changes })
	times(func(s *Schedule) *[]time.Duration { return &s.WatchResets })
	times(func(s *Schedule) *[]time.Duration { return &s.WatchSilences })
	times(func(s *Schedule) *[]time.Duration { return &s.Moves })
	times(func(s *Schedule) *[]time.Duration { return &s.Renumberings })
	for i := range s.Stalls {
		add(func(s *Schedule) { s.Stalls = slices.Delete(slices.Clone(s.Stalls), i, i+1) })
	}
	for i := range s.Outages {
		add(func(s *Schedule) { s.Outages = slices.Delete(slices.Clone(s.Outages), i, i+1) })
	}
	for i := range s.Phases {
		add(func(s *Schedule) { s.Phases = slices.Delete(slices.Clone(s.Phases), i, i+1) })
		for k := range s.Phases[i].Shares {
			add(func(s *Schedule) {
				s.Phases = slices.Clone(s.Phases)
				s.Phases[i].Shares = slices.Delete(slices.Clone(s.Phases[i].Shares), k, k+1)
			})
		}
	}
	if s.Start > 0 {
		add(func(s *Schedule) { s.Start = 0 })
	}
	if s.WholeLists > 0 {
		add(func(s *Schedule) { s.WholeLists = 0 })
	}
	if s.AskEvery != 0 && s.AskEvery != defaultAskEvery {
		add(func(s *Schedule) { s.AskEvery = defaultAskEvery })
	}
	return shorter
}

// size returns the number of elements of a schedule.
func size(s Schedule) int {
	n := len(s.Changes) + len(s.WatchResets) + len(s.WatchSilences) + len(s.Moves) + len(s.Renumberings) + len(s.Stalls) + len(s.Outages)
	for _, p := range s.Phases {
		n += len(p.Shares)
	}
	if s.Start > 0 {
		n++
	}
	return n
}
