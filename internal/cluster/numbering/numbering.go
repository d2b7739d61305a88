// Package numbering assigns a number to each proxy of a fleet, based on which proxies are alive. A proxy computes its
// subset of the backends from its number and the count of numbers (package balance). When a third of the proxies die, a
// third of the subsets has no proxy, and the load on the backends is uneven until the numbers change. The package has
// no I/O and no clock.
//
// The leader proposes a plan as a change of the rules. The plan applies once the change is in force: every proxy with a
// lease knows it then, so that no two proxies with a lease use the same number. A single change never moves a number
// from one living proxy to another, since the proxy that receives the change first would use the number while the other
// still uses it.
package numbering

import (
	"maps"
	"slices"
	"strings"
	"time"

	"brasswell/internal/cluster/rules"
)

// Settings configure a planner.
type Settings struct {
	// SettleTime is how long the set of living proxies must be unchanged before numbers are reassigned. Each
	// reassignment costs connections, and a restart takes less time than this.
	SettleTime time.Duration
	// MinInterval is the minimum time between two plans.
	MinInterval time.Duration
	// MaxProxies is the maximum number of living proxies; with more, nothing is planned.
	MaxProxies int
}

// DefaultSettings returns settings for fleets whose proxies restart within a few seconds.
func DefaultSettings() Settings {
	return Settings{SettleTime: 10 * time.Second, MinInterval: 10 * time.Second, MaxProxies: rules.MaxMembers}
}

// Planner plans the numbers of all proxies; it runs on the leader. It is not safe for concurrent use.
type Planner struct {
	settings    Settings
	living      []string
	livingSince time.Duration // since when exactly these proxies have been alive
	plannedAt   time.Duration
	hasPlanned  bool
}

// New returns a planner that knows no proxies.
func New(s Settings) *Planner { return &Planner{settings: s} }

// SetLiving sets the names of the living proxies, in any order, this proxy included.
func (p *Planner) SetLiving(now time.Duration, living []string) {
	living = slices.Compact(slices.Sorted(slices.Values(living)))
	if !slices.Equal(living, p.living) {
		p.living, p.livingSince = living, now
	}
}

// Plan returns the numbers to propose now and whether there are any to propose. held are the numbers in force.
func (p *Planner) Plan(now time.Duration, held map[string]int) (numbers map[string]int, due bool) {
	if len(p.living) == 0 || len(p.living) > p.settings.MaxProxies || now-p.livingSince < p.settings.SettleTime || p.hasPlanned && now-p.plannedAt < p.settings.MinInterval {
		return nil, false
	}
	numbers = Assign(p.living, held)
	if maps.Equal(numbers, held) {
		return nil, false
	}
	p.plannedAt, p.hasPlanned = now, true
	return numbers, true
}

// Assign gives each living proxy a number below the count of living proxies, so that the subsets remain as even as
// possible. A proxy keeps its number if that is below the count; any other proxy gets the lowest number that no living
// proxy holds or has been given. held must not contain a number twice.
func Assign(living []string, held map[string]int) map[string]int {
	count := len(living)
	numbers := make(map[string]int, count)
	used := map[int]bool{} // numbers that living proxies hold now or receive
	for _, name := range living {
		if n, has := held[name]; has {
			used[n] = true
			if n >= 0 && n < count {
				numbers[name] = n
			}
		}
	}
	// Names with a numeric suffix are sorted by its value, so that n2 precedes n10 in a first assignment.
	unassigned := slices.DeleteFunc(slices.Clone(living), func(name string) bool { _, has := numbers[name]; return has })
	slices.SortFunc(unassigned, compareNames)
	next := 0
	for _, name := range unassigned {
		for next < count && used[next] {
			next++
		}
		if next == count {
			break
		}
		numbers[name], used[next] = next, true
	}
	return numbers
}

// compareNames orders names by the text before their trailing digits, then by the value of those digits.
func compareNames(a, b string) int {
	textA, digitsA := splitName(a)
	textB, digitsB := splitName(b)
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

func splitName(name string) (text, digits string) {
	text = strings.TrimRight(name, "0123456789")
	return text, strings.TrimLeft(name[len(text):], "0")
}
