package balance

import (
	"cmp"
	"time"

	"brasswell/internal/estimate"
)

// Snapshot is the state that one instance leaves to the next at an upgrade, so that both together act like one. It
// contains no requests: the instance that accepted a request answers it. Times are on the clock that both share.
type Snapshot struct {
	Servers  []ServerSnapshot
	Slots    []string // IDs in the order in which the shuffle starts
	Banned   []string // IDs taken out by the operator, listed or not
	Seen     []string // IDs that a list has contained
	Limit    float64
	Retries  float64
	Classes  []ClassSnapshot
	Quota    []float64
	Served   float64 // successful answers per second
	Warm     float64 // of these, the answers of one warm server
	ServedAt time.Duration
}

// ServerSnapshot is one server's entry and health.
type ServerSnapshot struct {
	Entry      Entry
	Told       time.Duration // start time that the list reported; 0 if it is Entry.Boot
	Listed     time.Duration
	Resumed    time.Duration
	FailRun    int
	FailRate   float64
	Ejected    time.Duration
	Ejections  int
	Slow       float64
	Load       float64
	ColdTokens float64
	ColdAt     time.Duration
}

// ClassSnapshot holds the estimates of one class.
type ClassSnapshot struct {
	Cost, Tail, Mean, Base float64
	TailSeen               int
	Patience               time.Duration
	Votes                  int
}

// Snapshot returns the state for the next instance.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	c := b.SnapshotWithoutServers(now)
	for _, s := range b.servers {
		c.Servers = append(c.Servers, s.snapshot())
	}
	return c
}

// ShiftTimes moves all times that are on the previous instance's clock by offset. A server's start time is on that
// clock only if the list's value was not believed.
func (c *Snapshot) ShiftTimes(offset time.Duration) {
	c.ServedAt += offset
	for i := range c.Servers {
		s := &c.Servers[i]
		if s.Told != 0 && s.Told != s.Entry.Boot {
			s.Entry.Boot += offset
		}
		for _, at := range []*time.Duration{&s.Listed, &s.Resumed, &s.Ejected, &s.ColdAt} {
			if *at != 0 {
				*at += offset
			}
		}
	}
}

// ServerIDs returns the IDs of all known servers, in no particular order.
func (b *Balancer) ServerIDs() []string {
	ids := make([]string, 0, len(b.servers))
	for id := range b.servers {
		ids = append(ids, id)
	}
	return ids
}

// AppendServerSnapshots appends the snapshots of some servers, so that a Snapshot can be taken in small steps. It
// leaves out servers that are gone.
func (b *Balancer) AppendServerSnapshots(to []ServerSnapshot, ids []string) []ServerSnapshot {
	for _, id := range ids {
		if s := b.servers[id]; s != nil {
			to = append(to, s.snapshot())
		}
	}
	return to
}

func (s *server) snapshot() ServerSnapshot {
	return ServerSnapshot{
		Entry: s.entry, Told: s.reportedBoot, Listed: s.firstListed, Resumed: s.resumedAt,
		FailRun: s.failStreak, FailRate: s.failRate, Ejected: s.ejectedUntil, Ejections: s.ejections, Slow: s.slowness, Load: s.load,
		ColdTokens: s.coldTokens, ColdAt: s.coldUpdated,
	}
}

// SnapshotWithoutServers returns what Snapshot returns, except the servers.
func (b *Balancer) SnapshotWithoutServers(now time.Duration) Snapshot {
	c := Snapshot{
		Seen: b.seenIDs.All(), Limit: b.limit, Retries: b.retryBudget, Served: b.servedRate.At(now, rateTimeConstant),
		Warm: b.warmRate.At(now, rateTimeConstant), ServedAt: now,
	}
	for id := range b.banned {
		c.Banned = append(c.Banned, id)
	}
	for _, s := range b.slots {
		c.Slots = append(c.Slots, s.id)
	}
	for i := range b.settings.Classes {
		c.Classes = append(c.Classes, ClassSnapshot{
			Cost: float64(b.cost[i]), Tail: float64(b.tail[i].Quantile), TailSeen: b.tail[i].samples,
			Mean: float64(b.mean[i]), Base: float64(b.baseline[i]),
			Patience: b.usualTimeout[i].Value, Votes: b.usualTimeout[i].Votes,
		})
	}
	for _, q := range b.quota {
		c.Quota = append(c.Quota, q.Tokens)
	}
	return c
}

// Restore makes an instance that has not taken any request yet continue from the snapshot of another one. Parts that
// do not match its settings, such as those from a file of another version, keep their initial values.
func (b *Balancer) Restore(now time.Duration, c Snapshot) {
	for _, id := range c.Seen {
		b.seenIDs.Add(id)
	}
	for _, id := range c.Banned {
		b.banned[id] = true
	}
	for _, k := range c.Servers {
		b.seenIDs.Add(k.Entry.ID)
		b.servers[k.Entry.ID] = &server{
			id: k.Entry.ID, entry: k.Entry, reportedBoot: cmp.Or(k.Told, k.Entry.Boot), firstListed: k.Listed,
			banned: b.banned[k.Entry.ID], resumedAt: k.Resumed, failStreak: k.FailRun, failRate: k.FailRate,
			ejectedUntil: k.Ejected, ejections: k.Ejections, slowness: k.Slow,
			load: k.Load, loadUpdated: now, coldTokens: k.ColdTokens, coldUpdated: k.ColdAt,
		}
	}
	for _, id := range c.Slots {
		if s := b.servers[id]; s != nil {
			b.slots = append(b.slots, s)
		}
	}
	b.limit = max(c.Limit, minLimit)
	b.retryBudget = min(max(c.Retries, 0), retryBurst)
	b.servedRate = estimate.Rate{PerSecond: max(c.Served, 0), Updated: c.ServedAt}
	b.warmRate = estimate.Rate{PerSecond: max(c.Warm, 0), Updated: c.ServedAt}
	if len(c.Classes) == len(b.settings.Classes) {
		for i, k := range c.Classes {
			b.cost[i], b.mean[i], b.baseline[i] = estimate.Quantile(k.Cost), estimate.Mean(k.Mean), estimate.Mean(k.Base)
			b.tail[i] = tail{estimate.Quantile(k.Tail), k.TailSeen}
			b.usualTimeout[i] = estimate.Majority{Value: k.Patience, Votes: k.Votes}
		}
	}
	if len(c.Quota) == len(b.quota) {
		for i, tokens := range c.Quota {
			b.quota[i] = estimate.TokenBucket{Tokens: tokens, Updated: now, Initialized: true}
		}
	}
	b.resubset(now)
	b.scheduleWatch()
}

// SetShare sets the share of its own limits that an instance may use: below 1 beside another instance that uses the
// same slice, or if there are more instances than configured. quotaShare is the same for tenants' quotas, and may be
// above 1.
func (b *Balancer) SetShare(share, quotaShare float64) { b.share, b.quotaShare = share, quotaShare }

// Renumber sets the instance's own number and how many instances divide the list now, after others have died or come
// back. Its share of what all instances may do together remains one of Settings.Instances. Numbers that are out of
// range change nothing.
func (b *Balancer) Renumber(now time.Duration, self, instances int) {
	if next := [2]int{self, instances}; self >= 0 && self < instances && next != b.position {
		b.position = next
		b.resubset(now)
		b.dispatchQueued(now)
	}
}

// Numbers returns the own number and how many instances divide the list.
func (b *Balancer) Numbers() (self, instances int) { return b.position[0], b.position[1] }

// Ejected reports whether a server is ejected now because requests to it failed.
func (b *Balancer) Ejected(id string) bool {
	s := b.servers[id]
	return s != nil && s.ejectedUntil > 0
}

// Ban takes out servers that the operator took out at another instance, whether or not a list has contained them
// here.
func (b *Balancer) Ban(now time.Duration, ids []string) {
	for _, id := range ids {
		b.seenIDs.Add(id)
		b.Suspend(now, id)
	}
}
