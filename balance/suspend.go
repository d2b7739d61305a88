package balance

import "time"

// maxSeenIDs bounds how many server IDs are remembered as listed before. New IDs never stop coming.
const maxSeenIDs = 4096

// Suspend takes a server out on the operator's behalf: it receives nothing new until Resume, whatever the
// list says about its ID meanwhile, even if the server is removed and listed again. Suspend reports whether a
// list has ever contained the server. A suspended server stays suspended.
func (b *Balancer) Suspend(now time.Duration, id string) bool {
	if !b.everListed(id) {
		return false
	}
	b.banned[id] = true
	if s := b.servers[id]; s != nil && !s.banned {
		s.banned = true
		b.host.Log("taken out by hand: " + id)
		b.rebuildActive()
	}
	return true
}

// Resume ends the suspension of a server. It may have been restarted meanwhile without a report in the list,
// so it counts as cold from now on and its earlier failures do not count. A server that is not suspended
// stays as it is. Resume reports whether a list has ever contained the server.
func (b *Balancer) Resume(now time.Duration, id string) bool {
	if !b.everListed(id) {
		return false
	}
	if !b.banned[id] {
		return true
	}
	delete(b.banned, id)
	if s := b.servers[id]; s != nil {
		s.banned, s.resumedAt = false, now
		// Start with a random part of a token: all instances may resume the server at once, and their first
		// sends must not coincide.
		s.coldUpdated, s.coldTokens = now, b.random()
		s.clearFailures()
		s.slowness = 0
		b.host.Log("put back by hand: " + id)
		b.rebuildActive()
		b.dispatchQueued(now)
	}
	return true
}

func (b *Balancer) everListed(id string) bool {
	return b.seenIDs.Has(id) || b.servers[id] != nil || b.banned[id]
}

// MaySend reports whether a new request may be sent to a server now.
func (b *Balancer) MaySend(id string) bool {
	s := b.servers[id]
	return s != nil && s.usable()
}

// ServerCounts returns how many servers are listed, and how many of those are avoided now because the
// operator took them out or because of their failures.
func (b *Balancer) ServerCounts() (listed, avoided int) {
	for _, s := range b.servers {
		if s.entry.State == Gone {
			continue
		}
		listed++
		if s.banned || s.ejectedUntil > 0 {
			avoided++
		}
	}
	return listed, avoided
}

// usable reports whether new requests may be sent to a server at all.
func (s *server) usable() bool { return s.entry.State == InService && !s.banned }

// excluded reports whether round robin skips a member, so that a spare serves in its place.
func (s *server) excluded() bool { return !s.usable() || s.ejectedUntil > 0 }

// clearFailures resets a server's record of failures.
func (s *server) clearFailures() {
	s.failStreak, s.failRate, s.ejectedUntil, s.ejections, s.unreachable = 0, 0, 0, 0, false
}
