package balance

import "time"

// seenMost bounds how many ids of servers are remembered as listed once; ids are ever new.
const seenMost = 4096

// Suspend takes a server out by hand: nothing new goes there until Resume, whatever the list says of that id
// meanwhile, also once it has been removed and comes again. It reports whether a list has ever named the
// server; one that is out already stays so.
func (b *Balancer) Suspend(now time.Duration, id string) bool {
	if !b.everListed(id) {
		return false
	}
	b.banned[id] = true
	if s := b.servers[id]; s != nil && !s.banned {
		s.banned = true
		b.host.Log("taken out by hand: " + id)
		b.refresh()
	}
	return true
}

// Resume puts a server back. It was restarted meanwhile, maybe with no news of it, so it counts as cold from
// now on, and what it did before counts for nothing. A server that is not out stays as it is.
func (b *Balancer) Resume(now time.Duration, id string) bool {
	if !b.everListed(id) {
		return false
	}
	if !b.banned[id] {
		return true
	}
	delete(b.banned, id)
	if s := b.servers[id]; s != nil {
		s.banned, s.resumed = false, now
		// A part of a send is free, at random: all instances may put it back at once, and must not meet.
		s.coldAt, s.coldTokens = now, b.random()
		s.forgive()
		s.slow = 0
		b.host.Log("put back by hand: " + id)
		b.refresh()
		b.retryHeld(now)
	}
	return true
}

func (b *Balancer) everListed(id string) bool {
	return b.seen.Has(id) || b.servers[id] != nil || b.banned[id]
}

// MaySend says whether something new may begin to go to a server now.
func (b *Balancer) MaySend(id string) bool {
	s := b.servers[id]
	return s != nil && s.usable()
}

// Pool counts the servers in the list, and those of them that are avoided now by hand or for their failures.
func (b *Balancer) ServerCounts() (listed, avoided int) {
	for _, s := range b.servers {
		if s.entry.State == Gone {
			continue
		}
		listed++
		if s.banned || s.ejected > 0 {
			avoided++
		}
	}
	return listed, avoided
}

// usable says whether anything new may go to a server at all.
func (s *server) usable() bool { return s.entry.State == InService && !s.banned }

// out says whether turns pass over a member, so that a spare serves in its place.
func (s *server) out() bool { return !s.usable() || s.ejected > 0 }

// forgive forgets a server's failures.
func (s *server) forgive() {
	s.failRun, s.failRate, s.ejected, s.ejections, s.away = 0, 0, 0, 0, false
}
