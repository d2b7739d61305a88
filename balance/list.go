package balance

import "time"

const (
	watchFailuresLogged = 4           // failed watches in a row before they are logged
	maxWatchWait        = time.Second // before the next watch, since new changes soon count as notified
)

// Update handles a server list, or the failure to get one.
func (b *Balancer) Update(now time.Duration, kind ListKind, entries []Entry) {
	if kind == ListFailed {
		if b.watchFailures++; b.watchFailures == watchFailuresLogged {
			b.host.Log("list: no answer to several watches in a row; continuing with the current list")
		}
		b.scheduleWatch()
		return
	}
	if kind == Cached {
		b.scheduleWatch()
	} else {
		b.watchFailures = 0
	}
	if kind != Cached {
		defer func() { b.lastUpdate = now }()
	}
	if kind == Delta && len(entries) == 0 {
		return // the list service reports that nothing has changed
	}
	if kind != Delta {
		for _, s := range b.servers {
			s.entry.State = Gone
		}
	}
	for _, e := range entries {
		s := b.servers[e.ID]
		if s == nil {
			s = &server{id: e.ID, firstListed: now, banned: b.banned[e.ID]}
			b.servers[e.ID] = s
			b.seenIDs.Add(e.ID)
		}
		if s.reportedBoot != e.Boot {
			// The first sends of all instances must not coincide, so each starts with a random debt.
			s.coldUpdated, s.coldTokens = now, 1-2*b.random()
			s.clearFailures()
			s.entry.Boot = b.plausibleBoot(now, e.Boot)
		}
		s.reportedBoot, e.Boot = e.Boot, s.entry.Boot
		s.entry = e
	}
	b.resubset(now)
	b.dispatchQueued(now)
}

// scheduleWatch subscribes if the list must be asked for. The wait is random and grows with each failure, so
// that a whole tier that starts at once does not overload the list service.
func (b *Balancer) scheduleWatch() {
	if !b.settings.AskForList {
		return
	}
	wait := min(b.settings.AskEvery/16<<min(b.watchFailures, 3), maxWatchWait)
	b.schedule(time.Duration(b.random()*float64(wait)), func(time.Duration) { b.host.Watch() })
}
