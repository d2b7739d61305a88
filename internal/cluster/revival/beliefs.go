// Package revival decides how a proxy comes back: what it believes of what it knew before, what it asks of others, in which order
// it takes up its work, and how much of which class it lets in until the backends are warm. It has no I/O and no clock; events with
// their time go in, decisions come out, and equal settings, seed and events give equal decisions.
package revival

import (
	"time"

	"brasswell/balance"
	"brasswell/internal/handover"
	"brasswell/internal/state"
)

// Kind is what a start is one of.
type Kind uint8

// The kinds of starts.
const (
	Undecided Kind = iota
	// Restart: this proxy alone was away. Backends are as they were, and others know.
	Restart
	// Return: all were away, or nobody can say that they were not. Nobody's memory of the backends holds.
	FleetRestart
)

func (k Kind) String() string { return [...]string{"undecided", "restart", "return"}[k] }

// Belief is something that was known before.
type StateItem uint8

// The beliefs.
const (
	List         StateItem = iota // which backends there are, and where
	Bans                          // backends out by hand
	Drains                        // backends that drain
	StartTimes                    // when backends were started, and so who is warm
	Budgets                       // cold tokens, quota tokens, the budget of repeats
	Health                        // who failed, is slow, is avoided
	ClassStats                    // how long answers take, by class; how long callers wait
	Throughput                    // how much was let in, and how much was answered
	WarmRate                      // what one warm backend answered of this proxy's requests: what cold ones' budgets are measured by
	AgreedRules                   // rules and numbers of the fleet
	OpenRequests                  // what was open, and which keys had been sent
	beliefs
)

var beliefNames = [...]string{"list", "bans by hand", "drains", "starts of backends", "budgets", "health", "lessons", "level", "pace of a warm backend", "agreed rules and numbers", "open requests and keys"}

func (b StateItem) String() string { return beliefNames[b] }

// Beliefs are all of them, in order.
func StateItems() (all []StateItem) {
	for b := range beliefs {
		all = append(all, b)
	}
	return all
}

// Trust is what becomes of a belief.
type Trust uint8

// The trusts.
const (
	Reused      Trust = iota // as it was
	Provisional              // as it was, until what comes says otherwise
	Refetched                // of others; nothing rests on what was known
	Discarded
)

func (t Trust) String() string {
	return [...]string{"taken", "taken until tested", "asked for", "thrown away"}[t]
}

const (
	// recently is up to when health and levels still say something of backends that have run on.
	recently = time.Minute
	// lessonsLast is for how long times of answers are worth more than no times.
	lessonsLast = 30 * 24 * time.Hour
	// paceLasts is for how long the proxies' paces of one time add up to what backends take: after that there may be more proxies, and
	// each would go by what it had when there were fewer.
	paceLasts = 24 * time.Hour
	// leastPace is what all proxies together begin with for each backend, as requests a second to a warm one. With nothing, no cold
	// backend would ever be sent a first request, and nothing be learned of its pace, until it is warm.
	leastPace = 4
	// usualSlice is how many backends a proxy cuts from the list, where the list is long.
	usualSlice = 8
)

// Judge says what becomes of a belief of some age. It is the table of docs/operators/recovery.md.
func TrustIn(k Kind, age state.Age, b StateItem) Trust {
	switch b {
	case Bans:
		// Staff took them out, and only staff puts them back, however long that takes.
		return Reused
	case List, Drains:
		// A list of any age is better than none, as discovery may come back last; what it leaves out is not sent to, what it has too
		// much refuses connections. Who drained then has gone, or was started anew and is listed as such.
		return Provisional
	case AgreedRules, OpenRequests:
		// The accord has its own files and leases. Keys are not kept: see the design note.
		return map[StateItem]Trust{AgreedRules: Refetched, OpenRequests: Discarded}[b]
	case StartTimes:
		// A backend that was warm before a power loss is cold after it, whatever any disk or discovery says.
		if k == FleetRestart {
			return Discarded
		}
		return Provisional
	case Budgets:
		return Discarded // to begin with none is never too much
	case ClassStats:
		if age.Max <= lessonsLast || k == Restart && age.Min <= recently {
			return Provisional
		}
		return Discarded
	case WarmRate:
		if age.Max <= paceLasts {
			return Provisional
		}
		return Discarded
	case Health, Throughput:
		if k == Restart && age.Max <= recently {
			return Provisional
		}
		return Discarded
	}
	return Discarded
}

// Revive returns what a proxy begins with, from what it knew. now is of the clock that backends' starts are told in, and lost the
// moment before which no start of a backend is believed, in the same clock: 0 for a Restart. instances is how many proxies there are.
func InitialState(k Kind, age state.Age, bans []string, was *state.Learned, now time.Duration, instances int) (begin handover.State, lost time.Duration) {
	begin.Seq = -1 // the whole list is asked for: versions may be counted anew
	begin.Balancer.Banned, begin.Balancer.ServedAt = bans, now
	defer func() {
		b := &begin.Balancer
		b.Warm = max(b.Warm, leastPace*float64(max(len(b.Servers), usualSlice))/float64(usualSlice*max(instances, 1)))
	}()
	if k == FleetRestart {
		lost = now
	}
	if was == nil {
		return begin, lost
	}
	old := &was.Knowledge
	begin.Addresses = old.Addresses
	begin.LongestDeadline, begin.LatencyP95 = old.LongestDeadline, old.LatencyP95
	b := &begin.Balancer
	b.Slots, b.Seen = old.Balancer.Slots, old.Balancer.Seen
	healthy, warm := TrustIn(k, age, Health) == Provisional, TrustIn(k, age, StartTimes) == Provisional
	for _, s := range old.Balancer.Servers {
		if s.Entry.State == balance.Gone {
			continue
		}
		next := balance.ServerSnapshot{Entry: s.Entry, Listed: min(s.Listed, now), Load: s.Load}
		if warm {
			next.Told, next.Resumed = s.Told, min(s.Resumed, now)
		} else {
			next.Entry.Boot, next.ColdAt = lost, now
		}
		if healthy {
			next.FailRun, next.FailRate, next.Slow, next.Ejections = s.FailRun, s.FailRate, s.Slow, s.Ejections
			if s.Ejected > 0 {
				next.Ejected = min(s.Ejected, now+recently) // a clock that was set back must not keep it out for a year
			}
		}
		b.Servers = append(b.Servers, next)
	}
	if TrustIn(k, age, ClassStats) == Provisional {
		b.Classes = old.Balancer.Classes
	}
	if TrustIn(k, age, Throughput) == Provisional {
		b.Limit, b.Served = old.Balancer.Limit, old.Balancer.Served
	}
	if TrustIn(k, age, WarmRate) == Provisional {
		b.Warm = max(old.Balancer.Warm, 0)
	}
	return begin, lost
}
