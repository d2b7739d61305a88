// Package numbering decides which proxy has which own number, from who lives. A proxy cuts its subset of the backends from its
// number among so many (package balance), so when a third of the proxies die a third of the subsets has nobody, and backends
// get uneven loads for as long as that lasts. It has no I/O and no clock.
//
// What it plans is proposed as a change of rules, and holds once that is in force: then every proxy with a lease knows it, so no
// two of those act on one number. No number passes from one living proxy to another in one change, since the one that hears first
// would take it while the other still acts on it.
package numbering

import (
	"maps"
	"slices"
	"strings"
	"time"

	"brasswell/internal/cluster/rules"
)

// Settings are what a planner is told.
type Settings struct {
	// Settle is for how long nobody has come or gone before numbers are given anew: each time costs connections, and a restart
	// is over sooner.
	SettleTime time.Duration
	// Again is how long after a plan the next may come.
	MinInterval time.Duration
	// Most proxies have numbers; beyond, nothing is planned.
	MaxProxies int
}

// DefaultSettings fit restarts of some seconds.
func DefaultSettings() Settings {
	return Settings{SettleTime: 10 * time.Second, MinInterval: 10 * time.Second, MaxProxies: rules.MaxMembers}
}

// Planner plans numbers at one proxy, the leader. It is not safe for concurrent use.
type Planner struct {
	set     Settings
	living  []string
	since   time.Duration // that these live
	planned time.Duration
	ever    bool
}

// New returns a planner that knows nobody.
func New(s Settings) *Planner { return &Planner{set: s} }

// See takes in who lives, in any order, this proxy included.
func (p *Planner) SetLiving(now time.Duration, living []string) {
	living = slices.Compact(slices.Sorted(slices.Values(living)))
	if !slices.Equal(living, p.living) {
		p.living, p.since = living, now
	}
}

// Plan returns the numbers that are to be proposed now, if any: held are those in force.
func (p *Planner) Plan(now time.Duration, held map[string]int) (numbers map[string]int, due bool) {
	if len(p.living) == 0 || len(p.living) > p.set.MaxProxies || now-p.since < p.set.SettleTime || p.ever && now-p.planned < p.set.MinInterval {
		return nil, false
	}
	numbers = Assign(p.living, held)
	if maps.Equal(numbers, held) {
		return nil, false
	}
	p.planned, p.ever = now, true
	return numbers, true
}

// Assign gives each living proxy a number below their count, so that subsets stay as even as they can: who has one keeps it, and
// who has none, or one that is now too high, takes the lowest that nobody living holds. held names no number twice.
func Assign(living []string, held map[string]int) map[string]int {
	of := len(living)
	numbers := make(map[string]int, of)
	taken := map[int]bool{} // by living ones, before or after
	for _, name := range living {
		if n, has := held[name]; has {
			taken[n] = true
			if n >= 0 && n < of {
				numbers[name] = n
			}
		}
	}
	// By their counters where they have one, so that n2 comes before n10 and a first numbering is as people count.
	waiting := slices.DeleteFunc(slices.Clone(living), func(name string) bool { _, has := numbers[name]; return has })
	slices.SortFunc(waiting, compare)
	next := 0
	for _, name := range waiting {
		for next < of && taken[next] {
			next++
		}
		if next == of {
			break
		}
		numbers[name], taken[next] = next, true
	}
	return numbers
}

// compare orders names by what stands before their digits at the end, then by those as a number.
func compare(a, b string) int {
	textA, digitsA := split(a)
	textB, digitsB := split(b)
	if c := strings.Compare(textA, textB); c != 0 {
		return c
	}
	if c := len(digitsA) - len(digitsB); c != 0 {
		return c
	}
	if c := strings.Compare(digitsA, digitsB); c != 0 {
		return c
	}
	return strings.Compare(a, b)
}

func split(name string) (text, digits string) {
	text = strings.TrimRight(name, "0123456789")
	return text, strings.TrimLeft(name[len(text):], "0")
}
