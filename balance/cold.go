package balance

import (
	"slices"
	"time"
)

// coldRoom of the multiple that fells a cold server is used, and no less than what it is sure to serve;
// coldLeast sends in FallTime are borne by any, and used where nobody tells the pace.
const coldRoom, coldLeast = 0.5, 1.0

// newsDelay is how long after a server's start the list may be the first to name it.
const newsDelay = 10 * time.Second

// believedBoot is when a server was started that a list has news of. The list's word goes by another clock
// than this machine's, which may be off: a start is no later than its news, nor much earlier than the list
// before that.
func (b *Balancer) believedBoot(now, told time.Duration) time.Duration {
	if told <= 0 {
		return told
	}
	if b.listedAt > 0 {
		told = max(told, b.listedAt-newsDelay)
	}
	return min(told, now)
}

// coldShare is the part of its full capacity that a server can be counted on to have.
func (b *Balancer) coldShare(now time.Duration, s *server) float64 {
	boot := max(s.entry.Boot, s.resumed)
	age := now - boot
	if boot <= 0 || age >= b.set.WarmUp {
		return 1
	}
	return b.set.ColdCapacity + (1-b.set.ColdCapacity)*float64(max(age, 0))/float64(b.set.WarmUp)
}

// coldAllows keeps a cold server standing. All instances together may send it FallMultiple times its present
// capacity; each keeps to its own part of coldRoom of that: what a warm member serves it on average, times
// the cold share (what is sent would be no guide under overload). Only the slice's own members are warmed up:
// as a spare, a cold server would hear from instances that its budget does not count on.
func (b *Balancer) coldAllows(now time.Duration, s *server) bool {
	share := b.coldShare(now, s)
	if share >= 1 {
		return true
	}
	if !slices.Contains(b.order[:b.slice], s) {
		return false
	}
	perSecond := max(coldRoom*b.set.OverloadMultiple, 1) * b.warm.At(now, rateMemory) * share
	holders := max(float64(b.numbers[1]*b.slice)/float64(len(b.order)), 1)
	perSecond = b.part * max(perSecond, coldLeast/max(b.set.OverloadTime.Seconds(), minCost)/holders)
	s.coldTokens = min(s.coldTokens+perSecond*(now-s.coldAt).Seconds(), 1)
	s.coldAt = now
	return s.coldTokens >= 1
}

// notePerWarm counts an answer for the rate of one warm member. To divide by all members would cut the cold
// ones' budget with each that is gone; to divide by the warm alone would give all what the last one serves.
func (b *Balancer) notePerWarm(now time.Duration) {
	b.warm.Add(now, 1/max(b.standing(now, b.active), 1), rateMemory)
}

func (b *Balancer) spendCold(now time.Duration, s *server) {
	if b.coldShare(now, s) < 1 {
		s.coldTokens--
	}
}
