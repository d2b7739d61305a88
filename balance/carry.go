package balance

import (
	"cmp"
	"time"

	"brasswell/internal/estimate"
)

// Carried is what one instance leaves to the next at an upgrade, so that both together act like one. It holds no
// requests: whoever took one answers it. Times are of the clock that both share.
type Snapshot struct {
	Servers  []ServerSnapshot
	Slots    []string // ids in the order that the shuffle starts from
	Banned   []string // by hand, listed or not
	Seen     []string // ids that a list has named
	Limit    float64
	Retries  float64
	Classes  []ClassSnapshot
	Quota    []float64
	Served   float64 // answers a second
	Warm     float64 // of these, a warm member's
	ServedAt time.Duration
}

// CarriedServer is one server's entry and health.
type ServerSnapshot struct {
	Entry      Entry
	Told       time.Duration // when the list says that it started; 0 for what the entry has
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

// CarriedClass is what has been learned of one class.
type ClassSnapshot struct {
	Cost, Tail, Mean, Base float64
	TailSeen               int
	Patience               time.Duration
	Votes                  int
}

// Carry returns what the next instance is to know.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	c := b.SnapshotWithoutServers(now)
	for _, s := range b.servers {
		c.Servers = append(c.Servers, s.carry())
	}
	return c
}

// Shift moves all times that are of the clock of the instance that was carried by so much. When a server started is such a time only where
// the list's word was not believed.
func (c *Snapshot) ShiftTimes(by time.Duration) {
	c.ServedAt += by
	for i := range c.Servers {
		s := &c.Servers[i]
		if s.Told != 0 && s.Told != s.Entry.Boot {
			s.Entry.Boot += by
		}
		for _, at := range []*time.Duration{&s.Listed, &s.Resumed, &s.Ejected, &s.ColdAt} {
			if *at != 0 {
				*at += by
			}
		}
	}
}

// IDs are those of all servers that are kept in mind, in no order.
func (b *Balancer) ServerIDs() []string {
	ids := make([]string, 0, len(b.servers))
	for id := range b.servers {
		ids = append(ids, id)
	}
	return ids
}

// CarryServers appends some servers' part of what Carry returns, so that it can be taken in small steps. Those that are gone are
// left out.
func (b *Balancer) AppendServerSnapshots(to []ServerSnapshot, ids []string) []ServerSnapshot {
	for _, id := range ids {
		if s := b.servers[id]; s != nil {
			to = append(to, s.carry())
		}
	}
	return to
}

func (s *server) carry() ServerSnapshot {
	return ServerSnapshot{
		Entry: s.entry, Told: s.told, Listed: s.listed, Resumed: s.resumed, FailRun: s.failRun, FailRate: s.failRate,
		Ejected: s.ejected, Ejections: s.ejections, Slow: s.slow, Load: s.load,
		ColdTokens: s.coldTokens, ColdAt: s.coldAt,
	}
}

// CarryRest is what Carry returns but for the servers.
func (b *Balancer) SnapshotWithoutServers(now time.Duration) Snapshot {
	c := Snapshot{
		Seen: b.seen.All(), Limit: b.limit, Retries: b.retries, Served: b.served.At(now, rateMemory), Warm: b.warm.At(now, rateMemory), ServedAt: now,
	}
	for id := range b.banned {
		c.Banned = append(c.Banned, id)
	}
	for _, s := range b.slots {
		c.Slots = append(c.Slots, s.id)
	}
	for i := range b.set.Classes {
		c.Classes = append(c.Classes, ClassSnapshot{
			Cost: float64(b.cost[i]), Tail: float64(b.tail[i].Quantile), TailSeen: b.tail[i].seen,
			Mean: float64(b.mean[i]), Base: float64(b.base[i]),
			Patience: b.patience[i].Value, Votes: b.patience[i].Votes,
		})
	}
	for _, q := range b.quota {
		c.Quota = append(c.Quota, q.Tokens)
	}
	return c
}

// Adopt makes an instance that has taken nothing on yet go on where another is. What does not fit its settings, from
// another version's file, is left at its start.
func (b *Balancer) Restore(now time.Duration, c Snapshot) {
	for _, id := range c.Seen {
		b.seen.Add(id)
	}
	for _, id := range c.Banned {
		b.banned[id] = true
	}
	for _, k := range c.Servers {
		b.seen.Add(k.Entry.ID)
		b.servers[k.Entry.ID] = &server{
			id: k.Entry.ID, entry: k.Entry, told: cmp.Or(k.Told, k.Entry.Boot), listed: k.Listed, banned: b.banned[k.Entry.ID], resumed: k.Resumed,
			failRun: k.FailRun, failRate: k.FailRate, ejected: k.Ejected, ejections: k.Ejections, slow: k.Slow,
			load: k.Load, loadAt: now, coldTokens: k.ColdTokens, coldAt: k.ColdAt,
		}
	}
	for _, id := range c.Slots {
		if s := b.servers[id]; s != nil {
			b.slots = append(b.slots, s)
		}
	}
	b.limit = max(c.Limit, limitLeast)
	b.retries = min(max(c.Retries, 0), retryBurst)
	b.served = estimate.Rate{PerSecond: max(c.Served, 0), Updated: c.ServedAt}
	b.warm = estimate.Rate{PerSecond: max(c.Warm, 0), Updated: c.ServedAt}
	if len(c.Classes) == len(b.set.Classes) {
		for i, k := range c.Classes {
			b.cost[i], b.mean[i], b.base[i] = estimate.Quantile(k.Cost), estimate.Mean(k.Mean), estimate.Mean(k.Base)
			b.tail[i] = tail{estimate.Quantile(k.Tail), k.TailSeen}
			b.patience[i] = estimate.Majority{Value: k.Patience, Votes: k.Votes}
		}
	}
	if len(c.Quota) == len(b.quota) {
		for i, tokens := range c.Quota {
			b.quota[i] = estimate.TokenBucket{Tokens: tokens, Updated: now, Initialized: true}
		}
	}
	b.cut(now)
	b.watchSoon()
}

// SetPart tells an instance which part of what it may do by itself is its own: less than 1 beside another that cuts the
// same slice, or where there are more instances than was said. soft is the same for tenants' quotas, and may be over 1.
func (b *Balancer) SetShare(part, soft float64) { b.part, b.soft = part, soft }

// Renumber gives an instance another own number, of so many instances that cut the list now, where others have died or come back.
// Its share of what all may do stays cut for Settings.Instances. Numbers that make no sense change nothing.
func (b *Balancer) Renumber(now time.Duration, self, instances int) {
	if next := [2]int{self, instances}; self >= 0 && self < instances && next != b.numbers {
		b.numbers = next
		b.cut(now)
		b.retryHeld(now)
	}
}

// Numbers are the own number and how many instances cut the list.
func (b *Balancer) Numbers() (self, instances int) { return b.numbers[0], b.numbers[1] }

// Ejected says whether a server is avoided now for what became of requests to it.
func (b *Balancer) Ejected(id string) bool {
	s := b.servers[id]
	return s != nil && s.ejected > 0
}

// Ban takes servers out by hand that another instance has taken out, whether a list has named them here or not.
func (b *Balancer) Ban(now time.Duration, ids []string) {
	for _, id := range ids {
		b.seen.Add(id)
		b.Suspend(now, id)
	}
}
