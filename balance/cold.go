package balance

import (
	"slices"
	"time"
)

// A cold server is sent coldBudgetShare of the multiple that overloads it, and no less than what it can
// certainly serve. Any cold server can take minColdSends in OverloadTime, which is used while the rate of
// warm servers is not known.
const coldBudgetShare, minColdSends = 0.5, 1.0

// maxListDelay is how long after a server's start the list may first contain it.
const maxListDelay = 10 * time.Second

// plausibleBoot returns the start time to use for a server that the list reports as started. The reported
// time is on another clock than this machine's, which may be off: a start is no later than its report, and
// not much earlier than the list before that.
func (b *Balancer) plausibleBoot(now, reported time.Duration) time.Duration {
	if reported <= 0 {
		return reported
	}
	if b.lastUpdate > 0 {
		reported = max(reported, b.lastUpdate-maxListDelay)
	}
	return min(reported, now)
}

// coldShare returns the share of its full capacity that a server can be expected to have.
func (b *Balancer) coldShare(now time.Duration, s *server) float64 {
	boot := max(s.entry.Boot, s.resumedAt)
	age := now - boot
	if boot <= 0 || age >= b.settings.WarmUp {
		return 1
	}
	return b.settings.ColdCapacity +
		(1-b.settings.ColdCapacity)*float64(max(age, 0))/float64(b.settings.WarmUp)
}

// coldBudgetAllows protects a cold server from overload. All instances together may send it OverloadMultiple
// times its present capacity. Each instance keeps to its own part of coldBudgetShare of that: what a warm
// server answers on average, times the cold share. (The rate of sends would mislead under overload.) Only
// members of the own slice are warmed up: as a spare, a cold server would receive requests from instances
// that its budget does not account for.
func (b *Balancer) coldBudgetAllows(now time.Duration, s *server) bool {
	share := b.coldShare(now, s)
	if share >= 1 {
		return true
	}
	if !slices.Contains(b.order[:b.sliceSize], s) {
		return false
	}
	perSecond := max(coldBudgetShare*b.settings.OverloadMultiple, 1) *
		b.warmRate.At(now, rateTimeConstant) * share
	holders := max(float64(b.position[1]*b.sliceSize)/float64(len(b.order)), 1)
	perSecond = b.share * max(perSecond, minColdSends/max(b.settings.OverloadTime.Seconds(), minCost)/holders)
	s.coldTokens = min(s.coldTokens+perSecond*(now-s.coldUpdated).Seconds(), 1)
	s.coldUpdated = now
	return s.coldTokens >= 1
}

// recordWarmAnswer counts an answer toward the rate of one warm server. Dividing by all members would reduce
// the budget of cold ones with each member that is gone. Dividing by the warm ones alone would give every
// cold server the rate of the last warm one.
func (b *Balancer) recordWarmAnswer(now time.Duration) {
	b.warmRate.Add(now, 1/max(b.effectiveServers(now, b.active), 1), rateTimeConstant)
}

func (b *Balancer) spendColdToken(now time.Duration, s *server) {
	if b.coldShare(now, s) < 1 {
		s.coldTokens--
	}
}
