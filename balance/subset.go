package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// subsetBase is the smallest subset wanted: few members keep connections few, and are soon known. The
	// size is raised, at most to double, to where the instances' slices cover all servers most evenly.
	subsetBase = 8
	// shuffleStream keeps the rounds' generator apart from the instances' own.
	shuffleStream = 0x6c656d6f6e666c6f
	// vacantShare of the places may be empty before the list is sorted anew.
	vacantShare = 0.5
)

// refresh makes the active list: the slice, and for each member that is gone, draining or ejected the next
// sound server along the round's shuffle, so that every round spreads a loss over others. Lost members stay
// in the list, where turns pass over them until they are sound again.
func (b *Balancer) refresh() {
	b.active = append(b.active[:0], b.order[:b.slice]...)
	b.stuck = b.stuck[:0]
	for _, s := range b.order {
		if s.out() && s.inFlight > 0 {
			b.stuck = append(b.stuck, s)
		}
	}
	lost := 0
	for _, s := range b.active {
		if s.out() {
			lost++
		}
	}
	for _, s := range b.order[b.slice:] {
		if lost == 0 {
			break
		}
		if !s.out() {
			b.active = append(b.active, s)
			lost--
		}
	}
	b.turn %= max(len(b.active), 1)
}

// cut takes this instance's slice of the full list, as the book has it: sorted by id, draining members
// included, shuffled by the round's seed, cut by the own number; leftovers go one each to the first slices.
func (b *Balancer) cut(now time.Duration) {
	if !b.keepSlots(now) {
		b.slots = b.slots[:0]
		for _, s := range b.servers {
			if s.entry.State != Gone {
				b.slots = append(b.slots, s)
			}
		}
		slices.SortFunc(b.slots, byID)
	}
	for id, s := range b.servers {
		if s.entry.State == Gone && s.inFlight == 0 && !slices.Contains(b.slots, s) {
			delete(b.servers, id)
		}
	}
	from, to, round := subset(b.numbers[0], b.numbers[1], len(b.slots))
	order := shuffled(b.slots, round)
	b.order = append(slices.Clone(order[from:]), order[:from]...)
	b.slice = to - from
	b.refresh()
}

// keepSlots keeps the order that the shuffle starts from while servers come and go, and reports whether that
// could be done: sorting anew would reshuffle nearly all subsets at each step of a release, at each instance
// at another time. So who is gone keeps its place, empty; a new id takes the place of one that is gone or
// draining; and one that replaces nobody waits, for as long as it would be cold at most, for a place.
func (b *Balancer) keepSlots(now time.Duration) bool {
	var joining []*server
	for _, s := range b.servers {
		if s.entry.State != Gone && !slices.Contains(b.slots, s) {
			joining = append(joining, s)
		}
	}
	slices.SortFunc(joining, byID)
	vacant := 0
	for i, s := range b.slots {
		switch {
		case s.entry.State == InService:
		case len(joining) > 0:
			b.slots[i], joining = joining[0], joining[1:]
		case s.entry.State == Gone:
			vacant++
		}
	}
	for _, s := range joining {
		if now >= s.listed+b.set.WarmUp {
			return false
		}
	}
	if len(joining) > 0 && len(b.slots) > 0 {
		b.after(b.set.WarmUp, b.cut)
	}
	return len(b.slots) > 0 && float64(vacant) <= vacantShare*float64(len(b.slots))
}

func byID(x, y *server) int { return cmp.Compare(x.id, y.id) }

// subset says which slice of which round's shuffle an instance takes.
func subset(self, instances, servers int) (from, to, round int) {
	count := subsetCount(instances, servers)
	slice := self % count
	size, left := servers/count, servers%count
	from = slice*size + min(slice, left)
	to = from + size
	if slice < left {
		to++
	}
	return from, to, self / count
}

// subsetCount says into how many slices a round cuts the list: among the counts that give subsetBase to
// twice as many members, the one whose last, unfinished round leaves the coverage most even.
func subsetCount(instances, servers int) int {
	best, bestUneven := 1, 2.0
	for count := max(servers/subsetBase, 1); count >= max(servers/(2*subsetBase), 1); count-- {
		rounds, rest := instances/count, instances%count
		share := float64(rest) / float64(count)
		uneven := share * (1 - share) / max(float64(rounds*rounds), share*share)
		if uneven < bestUneven {
			best, bestUneven = count, uneven
		}
	}
	return best
}

// shuffled is a Fisher-Yates shuffle over PCG seeded by the round alone, so that all instances agree on it.
func shuffled(list []*server, round int) []*server {
	order := slices.Clone(list)
	rng := rand.NewPCG(uint64(round), shuffleStream)
	for i := len(order) - 1; i > 0; i-- {
		j := int(rng.Uint64() % uint64(i+1))
		order[i], order[j] = order[j], order[i]
	}
	return order
}

// InTurns says whether turns go to a server now.
func (b *Balancer) InRoundRobin(id string) bool { return slices.Contains(b.active, b.servers[id]) }
