package host

import (
	"maps"
	"time"

	"brasswell/balance"
	"brasswell/internal/backends"
	"brasswell/internal/clock"
)

// State is how an instance stands, for people.
type State struct {
	Now          time.Duration // of the clock that all times here are of
	Snapshot     balance.Snapshot
	Since        map[string]time.Duration // when servers began to drain or were taken out by hand, as far as that was seen
	InRoundRobin int                      // servers that turns go to
	Unanswered   map[int]int              // requests that are not answered yet, by class
}

// State returns how the instance stands. It costs as much as there are servers and requests.
func (i *Instance) State() State {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := State{Now: i.now(), Since: maps.Clone(i.drains), Unanswered: map[int]int{}}
	s.Snapshot = i.balancer.Snapshot(s.Now)
	maps.Copy(s.Since, i.byHand)
	for id := range i.address {
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

// Carry returns what the balancer knows and where to dial the servers, for another instance to go on from.
func (i *Instance) Snapshot() (balance.Snapshot, map[string]string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	addresses := make(map[string]string, len(i.address))
	for id, to := range i.address {
		addresses[id] = to.Address
	}
	return i.balancer.Snapshot(i.now()), addresses
}

// Clock is a reading of the clock that the instance's times are of, for another process that goes on from what Carry tells.
func (i *Instance) Clock() clock.Reading { return i.clock.Read() }

// Adopt goes on from what an instance of another process of this machine knows, whose times are of a clock that was read as told; it is
// for one that has taken nothing on yet.
func (i *Instance) Adopt(c balance.Snapshot, addresses map[string]string, of clock.Reading) {
	i.mu.Lock()
	defer i.mu.Unlock()
	ahead := i.clock.Read().Ahead(of)
	if ahead.Abs() > time.Second {
		i.log.Warn("the wall clock was stepped between the starts of both processes; times are taken over by the steady one", "by", ahead)
	}
	c.ShiftTimes(ahead)
	i.adopt(c, addresses)
	i.keep()
}

// adopt must be called with mu held, and keep after it.
func (i *Instance) adopt(c balance.Snapshot, addresses map[string]string) {
	for _, s := range c.Servers {
		if address := addresses[s.Entry.ID]; s.Entry.State == balance.InService && address != "" {
			i.address[s.Entry.ID] = backends.Endpoint{Server: s.Entry.ID, Address: address, StartTime: s.Entry.Boot}
		}
	}
	i.balancer.Restore(i.now(), c)
}

// Revive goes on from what was known before a start; it is for one that has taken nothing on yet. No start of a server before lost
// is believed from then on: whoever ran before that is cold, whatever anybody says. 0 for any.
func (i *Instance) Restore(c balance.Snapshot, addresses map[string]string, lost time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lost = lost
	i.adopt(c, addresses)
	now := i.now()
	i.noteByHand(now, c.Banned)
	i.applyAgreed(now)
	i.keep()
}

// Births are when the servers in service were started, as far as that is believed.
func (i *Instance) StartTimes() (births []time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, to := range i.address {
		births = append(births, to.StartTime)
	}
	return births
}

// carryStep servers are looked at for one time that the lock is held.
const carryStep = 256

// CarryInSteps returns what Carry does, not as of one moment, and holds up nothing that serves for longer than carryStep servers take.
func (i *Instance) SnapshotInBatches() (balance.Snapshot, map[string]string) {
	i.mu.Lock()
	c := i.balancer.SnapshotWithoutServers(i.now())
	ids := i.balancer.ServerIDs()
	i.mu.Unlock()
	addresses := make(map[string]string, len(ids))
	for len(ids) > 0 {
		some := ids[:min(len(ids), carryStep)]
		ids = ids[len(some):]
		i.mu.Lock()
		c.Servers = i.balancer.AppendServerSnapshots(c.Servers, some)
		for _, id := range some {
			if to, listed := i.address[id]; listed {
				addresses[id] = to.Address
			}
		}
		i.mu.Unlock()
	}
	return c, addresses
}
