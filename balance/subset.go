package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minSubset is the smallest subset wanted: few members need few connections and are soon known. The size
	// is raised, at most to double, to the one at which the instances' slices cover all servers most evenly.
	minSubset = 8
	// shuffleStream keeps the generator of the rounds apart from the instances' own generators.
	shuffleStream = 0x6c656d6f6e666c6f
	// maxVacantShare of the positions may be empty before the list is sorted again.
	maxVacantShare = 0.5
)

// rebuildActive builds the active list: the slice, and for each member that is excluded the next server along
// the round's shuffle that is not, so that each round spreads a loss over different servers. Excluded members
// stay in the list, where round robin skips them until they are usable again.
func (b *Balancer) rebuildActive() {
	b.active = append(b.active[:0], b.order[:b.sliceSize]...)
	b.excludedBusy = b.excludedBusy[:0]
	for _, s := range b.order {
		if s.excluded() && s.inFlight > 0 {
			b.excludedBusy = append(b.excludedBusy, s)
		}
	}
	lost := 0
	for _, s := range b.active {
		if s.excluded() {
			lost++
		}
	}
	for _, s := range b.order[b.sliceSize:] {
		if lost == 0 {
			break
		}
		if !s.excluded() {
			b.active = append(b.active, s)
			lost--
		}
	}
	b.nextIndex %= max(len(b.active), 1)
}

// resubset takes this instance's slice of the full list by the deterministic subsetting of the Site
// Reliability Engineering book: the list is sorted by ID, draining members included, shuffled with the
// round's seed and divided by instance number. Leftover servers go one each to the first slices.
func (b *Balancer) resubset(now time.Duration) {
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
	from, to, round := subset(b.position[0], b.position[1], len(b.slots))
	order := shuffled(b.slots, round)
	b.order = append(slices.Clone(order[from:]), order[:from]...)
	b.sliceSize = to - from
	b.rebuildActive()
}

// keepSlots keeps the order in which the shuffle starts while servers come and go, and reports whether that
// was possible. Sorting again would reshuffle nearly all subsets at each step of a release, and at each
// instance at another time. So a server that is gone keeps its position, which is then empty; a new ID takes
// the position of a server that is gone or draining; and a new ID that replaces no server waits for a
// position, for at most as long as it would be cold.
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
		if now >= s.firstListed+b.settings.WarmUp {
			return false
		}
	}
	if len(joining) > 0 && len(b.slots) > 0 {
		b.schedule(b.settings.WarmUp, b.resubset)
	}
	return len(b.slots) > 0 && float64(vacant) <= maxVacantShare*float64(len(b.slots))
}

func byID(x, y *server) int { return cmp.Compare(x.id, y.id) }

// subset returns an instance's slice of a round's shuffle, and the round.
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

// subsetCount returns into how many slices a round divides the list: among the counts that give minSubset to
// twice as many members, the one whose last, unfinished round leaves the coverage most even.
func subsetCount(instances, servers int) int {
	best, bestUneven := 1, 2.0
	for count := max(servers/minSubset, 1); count >= max(servers/(2*minSubset), 1); count-- {
		rounds, rest := instances/count, instances%count
		share := float64(rest) / float64(count)
		uneven := share * (1 - share) / max(float64(rounds*rounds), share*share)
		if uneven < bestUneven {
			best, bestUneven = count, uneven
		}
	}
	return best
}

// shuffled returns a Fisher-Yates shuffle with a PCG generator seeded by the round alone, so that all
// instances agree on it.
func shuffled(list []*server, round int) []*server {
	order := slices.Clone(list)
	rng := rand.NewPCG(uint64(round), shuffleStream)
	for i := len(order) - 1; i > 0; i-- {
		j := int(rng.Uint64() % uint64(i+1))
		order[i], order[j] = order[j], order[i]
	}
	return order
}

// InRoundRobin reports whether a server is among those that round robin selects from now.
func (b *Balancer) InRoundRobin(id string) bool { return slices.Contains(b.active, b.servers[id]) }
