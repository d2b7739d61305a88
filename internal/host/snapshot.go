package host

import (
	"maps"
	"time"

	"brasswell/balance"
	"brasswell/internal/backends"
	"brasswell/internal/clock"
)

// State describes an instance for status pages.
type State struct {
	Now          time.Duration // the time by the instance's clock, on which all times here are based
	Snapshot     balance.Snapshot
	Since        map[string]time.Duration // when servers were first seen to drain or were taken out by the operator
	InRoundRobin int                      // number of servers in the round robin
	Unanswered   map[int]int              // number of unanswered requests by class
}

// State returns the state of the instance. Its cost is proportional to the number of servers and requests.
func (i *Instance) State() State {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := State{Now: i.now(), Since: maps.Clone(i.drainingSince), Unanswered: map[int]int{}}
	s.Snapshot = i.balancer.Snapshot(s.Now)
	maps.Copy(s.Since, i.bannedSince)
	for id := range i.endpoints {
		if i.balancer.InRoundRobin(id) {
			s.InRoundRobin++
		}
	}
	for _, q := range i.requests {
		if !q.answered {
			s.Unanswered[q.message.Class]++
		}
	}
	return s
}

// Snapshot returns the balancer's state and the servers' addresses, for another instance to continue from.
func (i *Instance) Snapshot() (balance.Snapshot, map[string]string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	addresses := make(map[string]string, len(i.endpoints))
	for id, to := range i.endpoints {
		addresses[id] = to.Address
	}
	return i.balancer.Snapshot(i.now()), addresses
}

// Clock reads the clock on which the instance's times are based, for another process that continues from a Snapshot.
func (i *Instance) Clock() clock.Reading { return i.clock.Read() }

// Adopt continues from the state of an instance in another process on this machine; reading is that process's clock, on
// which the times of the state are based. It must be called before the instance has accepted any request or list.
func (i *Instance) Adopt(c balance.Snapshot, addresses map[string]string, reading clock.Reading) {
	i.mu.Lock()
	defer i.mu.Unlock()
	offset := i.clock.Read().Ahead(reading)
	if offset.Abs() > time.Second {
		i.log.Warn("the wall clock was stepped between the starts of the two processes; restored times are corrected by the monotonic clock", "by", offset)
	}
	c.ShiftTimes(offset)
	i.adopt(c, addresses)
	i.updatePool()
}

// adopt must be called with mu held, and updatePool after it.
func (i *Instance) adopt(c balance.Snapshot, addresses map[string]string) {
	for _, s := range c.Servers {
		if address := addresses[s.Entry.ID]; s.Entry.State == balance.InService && address != "" {
			i.endpoints[s.Entry.ID] = backends.Endpoint{Server: s.Entry.ID, Address: address, StartTime: s.Entry.Boot}
		}
	}
	i.balancer.Restore(i.now(), c)
}

// Restore continues from the state that was saved before a restart. It must be called before the instance has accepted
// any request or list. From then on no earlier start time of a server than earliestStart is believed: a server that the
// list says was started before counts as started at earliestStart, and is treated as cold accordingly. 0 accepts any
// start time.
func (i *Instance) Restore(c balance.Snapshot, addresses map[string]string, earliestStart time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.earliestStart = earliestStart
	i.adopt(c, addresses)
	now := i.now()
	i.recordBans(now, c.Banned)
	i.applyAgreedBans(now)
	i.updatePool()
}

// StartTimes returns the start times of the servers in service, as corrected by earliestStart.
func (i *Instance) StartTimes() (starts []time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, to := range i.endpoints {
		starts = append(starts, to.StartTime)
	}
	return starts
}

// snapshotBatch is how many servers are copied each time that the lock is held.
const snapshotBatch = 256

// SnapshotInBatches returns the same as Snapshot, but the parts are of different moments. It holds the lock no longer
// than it takes to copy snapshotBatch servers, so that requests are not delayed for longer.
func (i *Instance) SnapshotInBatches() (balance.Snapshot, map[string]string) {
	i.mu.Lock()
	c := i.balancer.SnapshotWithoutServers(i.now())
	ids := i.balancer.ServerIDs()
	i.mu.Unlock()
	addresses := make(map[string]string, len(ids))
	for len(ids) > 0 {
		batch := ids[:min(len(ids), snapshotBatch)]
		ids = ids[len(batch):]
		i.mu.Lock()
		c.Servers = i.balancer.AppendServerSnapshots(c.Servers, batch)
		for _, id := range batch {
			if to, listed := i.endpoints[id]; listed {
				addresses[id] = to.Address
			}
		}
		i.mu.Unlock()
	}
	return c, addresses
}
