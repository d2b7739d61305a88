package model

import (
	"slices"
	"time"
)

// shorten removes from a schedule everything without which it is still late by the same notice rule.
func shorten(c Schedule, rule func(Schedule) StalenessRule) (Schedule, Result) {
	play := func(c Schedule) Result {
		if rule == nil {
			return Run(c, nil)
		}
		return Run(c, rule(c))
	}
	best := play(c)
	for again := true; again; {
		again = false
		for _, shorter := range shorterBy(c) {
			if v := play(shorter); v.Late > 0 && v.LateRule == best.LateRule {
				c, best, again = shorter, v, true
				break
			}
		}
	}
	return c, best
}

// shorterBy returns all schedules that lack one element of c.
func shorterBy(c Schedule) (shorter []Schedule) {
	add := func(without func(*Schedule)) {
		one := c
		without(&one)
		shorter = append(shorter, one)
	}
	times := func(of func(*Schedule) *[]time.Duration) {
		for i := range *of(&c) {
			add(func(c *Schedule) { *of(c) = slices.Delete(slices.Clone(*of(c)), i, i+1) })
		}
	}
	times(func(c *Schedule) *[]time.Duration { return &c.Changes })
	times(func(c *Schedule) *[]time.Duration { return &c.WatchResets })
	times(func(c *Schedule) *[]time.Duration { return &c.WatchSilences })
	times(func(c *Schedule) *[]time.Duration { return &c.Moves })
	times(func(c *Schedule) *[]time.Duration { return &c.Renumberings })
	for i := range c.Stalls {
		add(func(c *Schedule) { c.Stalls = slices.Delete(slices.Clone(c.Stalls), i, i+1) })
	}
	for i := range c.Outages {
		add(func(c *Schedule) { c.Outages = slices.Delete(slices.Clone(c.Outages), i, i+1) })
	}
	for i := range c.Phases {
		add(func(c *Schedule) { c.Phases = slices.Delete(slices.Clone(c.Phases), i, i+1) })
		for k := range c.Phases[i].Shares {
			add(func(c *Schedule) {
				c.Phases = slices.Clone(c.Phases)
				c.Phases[i].Shares = slices.Delete(slices.Clone(c.Phases[i].Shares), k, k+1)
			})
		}
	}
	if c.Start > 0 {
		add(func(c *Schedule) { c.Start = 0 })
	}
	if c.WholeLists > 0 {
		add(func(c *Schedule) { c.WholeLists = 0 })
	}
	if c.AskEvery != 0 && c.AskEvery != defaultAskEvery {
		add(func(c *Schedule) { c.AskEvery = defaultAskEvery })
	}
	return shorter
}

// size returns the number of elements of a schedule.
func size(c Schedule) int {
	n := len(c.Changes) + len(c.WatchResets) + len(c.WatchSilences) + len(c.Moves) + len(c.Renumberings) + len(c.Stalls) + len(c.Outages)
	for _, p := range c.Phases {
		n += len(p.Shares)
	}
	if c.Start > 0 {
		n++
	}
	return n
}
