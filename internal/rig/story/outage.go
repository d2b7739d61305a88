package story

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Outage draws a loss of power: after a quarter of the story all members and all backends die at one moment; each comes back at a time
// of its own, the backends cold, some members with an empty folder, in a part of the stories one of them never, and in a part
// discovery last. Half of the stories have a second loss, while the first is being recovered from. Rules are changed all the while.
// The last part is calm.
func Outage(seed uint64, members int, length time.Duration) *Story {
	dice := rand.New(rand.NewPCG(seed, 7))
	s := &Story{
		Name: fmt.Sprintf("outage-%d", seed), Members: members, Backends: 6, Slots: 1, Seed: seed, Period: Duration(300 * time.Millisecond),
		// Warm backends are used to a third or so, and cold ones would be to more than they can do.
		Length: Duration(length), Load: 250, WarmUp: Duration(5 * time.Second), Recover: true,
	}
	if members >= 3 {
		s.Keepers, s.Changes = 3, 0.5
	}
	between := func(least, most float64) Duration {
		return Duration((least + (most-least)*dice.Float64()) * float64(time.Second))
	}
	lose := func(at Duration, most float64) {
		// Proxies before backends, after them, or mixed.
		proxies, nodes := between(0, most/2), between(0, most/2)
		for i, name := range s.Names() {
			e := Event{At: at, For: proxies + between(0.1, most/2), Do: Kill, Who: []string{name}}
			if i >= s.Keepers && dice.IntN(5) == 0 {
				e.Folder = "lost"
			}
			s.Events = append(s.Events, e)
		}
		for i := range s.Backends {
			s.Events = append(s.Events, Event{At: at, For: nodes + between(0.05, most/2), Do: Cold, Who: []string{Backend(i)}})
		}
	}
	// Not at one offset to what is written each second.
	first := s.Length/4 + between(0, 1)
	second := dice.IntN(2) == 0
	last := first
	if second {
		lose(first, 1.5)
		last += between(1.6, 3.5)
		lose(last, 2)
	} else {
		lose(first, 4)
	}
	if dice.IntN(4) == 0 && members > 3 { // one that keeps no rules never comes back
		for i := range s.Events {
			if e := &s.Events[i]; e.Do == Kill && e.At == last && e.Who[0] == Name(members-1) {
				e.For = 0
			}
		}
	}
	if dice.IntN(3) == 0 {
		s.Events = append(s.Events, Event{At: last, For: between(2, 6), Do: Cut, With: []string{Discovery}, Who: s.Names()})
	}
	return s
}

// Losses are the moments of a story's first and last loss of power, at which all members are killed; lost is false where it has none.
func (s *Story) Losses() (first, last time.Duration, lost bool) {
	at := map[Duration]int{}
	for _, e := range s.Events {
		switch {
		case e.Do == Kill && len(e.Who) == 0:
			at[e.At] += s.Members
		case e.Do == Kill:
			at[e.At] += len(e.Who)
		}
	}
	for when, n := range at {
		if n < s.Members {
			continue
		}
		if !lost || time.Duration(when) < first {
			first = time.Duration(when)
		}
		last, lost = max(last, time.Duration(when)), true
	}
	return first, last, lost
}
