// Package revival decides how a proxy recovers after a start: which saved state it reuses, what it asks other proxies, in which order
// it resumes its work, and how much of each class it admits until the backends are warm. It has no I/O and no clock: it takes events
// with their times and returns decisions, and equal settings, seed and events give equal decisions.
package revival

import (
	"time"

	"brasswell/balance"
	"brasswell/internal/handover"
	"brasswell/internal/state"
)

// Kind is the kind of a start.
type Kind uint8

// The kinds of starts.
const (
	Undecided Kind = iota
	// Restart means that only this proxy was down. The backends have not changed, and other proxies know the current state.
	Restart
	// FleetRestart means that all proxies were down, or that this cannot be ruled out. No proxy's state of the backends is valid.
	FleetRestart
)

func (k Kind) String() string { return [...]string{"undecided", "restart", "return"}[k] }

// StateItem is one part of the state that a proxy had before its start.
type StateItem uint8

// The state items.
const (
	List         StateItem = iota // which backends exist, and their addresses
	Bans                          // backends taken out by the operator
	Drains                        // draining backends
	StartTimes                    // when backends were started, and so which of them are warm
	Budgets                       // cold tokens, quota tokens, the retry budget
	Health                        // which backends failed, are slow or are ejected
	ClassStats                    // how long answers take, by class; how long callers wait for them
	Throughput                    // the concurrency limit, and how many requests a second were answered
	WarmRate                      // requests a second that one warm backend answered for this proxy; budgets of cold backends are a share of it
	AgreedRules                   // agreed rules and member numbers of the fleet
	OpenRequests                  // open requests, and the idempotency keys that had been sent
	numStateItems
)

var stateItemNames = [...]string{"list", "bans by hand", "drains", "starts of backends", "budgets", "health", "lessons", "level", "pace of a warm backend", "agreed rules and numbers", "open requests and keys"}

func (b StateItem) String() string { return stateItemNames[b] }

// StateItems returns all state items, in order.
func StateItems() (all []StateItem) {
	for b := range numStateItems {
		all = append(all, b)
	}
	return all
}

// Trust says how a saved state item is used after a start.
type Trust uint8

// The ways to use a saved state item.
const (
	Reused      Trust = iota // used unchanged
	Provisional              // used unchanged until newer information replaces it
	Refetched                // requested from other proxies; the saved value is not used
	Discarded
)

func (t Trust) String() string {
	return [...]string{"taken", "taken until tested", "asked for", "thrown away"}[t]
}

const (
	// maxHealthAge is the age up to which health and throughput still describe backends that have kept running.
	maxHealthAge = time.Minute
	// maxClassStatsAge is the age up to which saved response times are better than none.
	maxClassStatsAge = 30 * 24 * time.Hour
	// maxWarmRateAge is the age up to which the rates that the proxies saved add up to the capacity of the backends. Later the fleet may
	// have more proxies, and each would still use its rate from the smaller fleet.
	maxWarmRateAge = 24 * time.Hour
	// minFleetWarmRate is the rate that all proxies together start with for each warm backend, in requests a second. At 0, a cold
	// backend would get no request until it is warm, and so its rate would not be measured.
	minFleetWarmRate = 4
	// typicalSubset is how many backends a proxy uses when the list is long.
	typicalSubset = 8
)

// TrustIn returns how a state item of the given age is used. It implements the table in docs/operators/recovery.md.
func TrustIn(k Kind, age state.Age, b StateItem) Trust {
	switch b {
	case Bans:
		// An operator took these backends out, and only an operator puts them back, however long that takes.
		return Reused
	case List, Drains:
		// A list of any age is better than none, as discovery may recover last: backends that are missing from the list get no requests,
		// and backends that no longer exist refuse connections. A backend that was draining then has left, or has been restarted and
		// the new list shows it.
		return Provisional
	case AgreedRules, OpenRequests:
		// The consensus code has its own files and leases. Idempotency keys are not saved: see the design note.
		return map[StateItem]Trust{AgreedRules: Refetched, OpenRequests: Discarded}[b]
	case StartTimes:
		// A backend that was warm before a power loss is cold after it, even if the disk or discovery says otherwise.
		if k == FleetRestart {
			return Discarded
		}
		return Provisional
	case Budgets:
		return Discarded // starting with empty budgets never sends too much
	case ClassStats:
		if age.Max <= maxClassStatsAge || k == Restart && age.Min <= maxHealthAge {
			return Provisional
		}
		return Discarded
	case WarmRate:
		if age.Max <= maxWarmRateAge {
			return Provisional
		}
		return Discarded
	case Health, Throughput:
		if k == Restart && age.Max <= maxHealthAge {
			return Provisional
		}
		return Discarded
	}
	return Discarded
}

// InitialState returns the state that a proxy starts with, derived from its saved state. now is a reading of the clock in which the
// start times of backends are given. trustedSince is a reading of the same clock: earlier start times of backends are not trusted. It is
// 0 for a Restart. instances is the number of proxies.
func InitialState(k Kind, age state.Age, bans []string, saved *state.Learned, now time.Duration, instances int) (initial handover.State, trustedSince time.Duration) {
	initial.Seq = -1 // requests the whole list, as discovery may have restarted its version numbers
	initial.Balancer.Banned, initial.Balancer.ServedAt = bans, now
	defer func() {
		b := &initial.Balancer
		b.Warm = max(b.Warm, minFleetWarmRate*float64(max(len(b.Servers), typicalSubset))/float64(typicalSubset*max(instances, 1)))
	}()
	if k == FleetRestart {
		trustedSince = now
	}
	if saved == nil {
		return initial, trustedSince
	}
	known := &saved.Knowledge
	initial.Addresses = known.Addresses
	initial.LongestDeadline, initial.LatencyP95 = known.LongestDeadline, known.LatencyP95
	b := &initial.Balancer
	b.Slots, b.Seen = known.Balancer.Slots, known.Balancer.Seen
	healthy, warm := TrustIn(k, age, Health) == Provisional, TrustIn(k, age, StartTimes) == Provisional
	for _, s := range known.Balancer.Servers {
		if s.Entry.State == balance.Gone {
			continue
		}
		next := balance.ServerSnapshot{Entry: s.Entry, Listed: min(s.Listed, now), Load: s.Load}
		if warm {
			next.Told, next.Resumed = s.Told, min(s.Resumed, now)
		} else {
			next.Entry.Boot, next.ColdAt = trustedSince, now
		}
		if healthy {
			next.FailRun, next.FailRate, next.Slow, next.Ejections = s.FailRun, s.FailRate, s.Slow, s.Ejections
			if s.Ejected > 0 {
				next.Ejected = min(s.Ejected, now+maxHealthAge) // a clock that was set back must not eject the backend for a year
			}
		}
		b.Servers = append(b.Servers, next)
	}
	if TrustIn(k, age, ClassStats) == Provisional {
		b.Classes = known.Balancer.Classes
	}
	if TrustIn(k, age, Throughput) == Provisional {
		b.Limit, b.Served = known.Balancer.Limit, known.Balancer.Served
	}
	if TrustIn(k, age, WarmRate) == Provisional {
		b.Warm = max(known.Balancer.Warm, 0)
	}
	return initial, trustedSince
}
