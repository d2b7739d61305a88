// Package model plays courses of calls between a follower of package plan and a discovery that an adversary spoils, on a virtual clock, and
// judges whether the list was acted on behind a change that counted as told, and whether it was held back for no reason.
package model

import (
	"math/rand/v2"
	"time"
)

// Fate is what a call meets.
type Fate string

// The fates.
const (
	Well        Fate = "well"         // answered at once, or with the news that it waits for
	Slow        Fate = "slow"         // answered a while later
	Cut         Fate = "cut"          // its connection ends within the answer
	Stalled     Fate = "stalled"      // stops within the answer
	Silent      Fate = "silent"       // no answer
	Reset       Fate = "reset"        // its connection ends with no answer
	RefusedNow  Fate = "refused"      // turned away at once
	RefusedLate Fate = "refused-late" // turned away after a wait
	DialRefused Fate = "dial-refused" // no connection comes up
	DialSilent  Fate = "dial-silent"  // the same, after a while
)

// Fates are all of them.
func Fates() []Fate {
	return []Fate{Well, Slow, Cut, Stalled, Silent, Reset, RefusedNow, RefusedLate, DialRefused, DialSilent}
}

// reachesNobody says whether no connection comes up.
func (f Fate) reachesNobody() bool { return f == DialRefused || f == DialSilent }

// Outage is a time in which discovery is down: what changes in it counts as told from its end on.
type Outage struct {
	From, To time.Duration
	Fate     Fate // of calls
}

// Share is a share of the calls that meets a fate.
type Share struct {
	Fate Fate
	Of   float64
}

// Phase is the shares of the calls from a time on that meet something other than an answer.
type Phase struct {
	From   time.Duration
	Shares []Share
}

// Course is one play, as data.
type Course struct {
	Seed    uint64
	Pushed  bool
	Length  time.Duration
	Calls   []Fate  // of the first calls, in order; the phases say it of the others
	Phases  []Phase // in order of time
	Outages []Outage
	// Watches end early at these times: they are reset, or fall silent until they are given up.
	Resets, Silences []time.Duration
	Changes          []time.Duration // of the list, in order
	Moves            []time.Duration
	Renumbered       []time.Duration // discovery counts its versions from lower on
	Start            time.Duration   // of the process, with the list of the beginning
}

const (
	// callLatency is until a call that meets nothing amiss begins to be answered.
	callLatency = time.Millisecond
	// linePatience is how long discovery lets a call wait until it turns it away, and dialPatience how long a dial stays silent.
	linePatience = 2 * time.Second
	dialPatience = time.Second
	// slowest is the longest that a slow answer takes.
	slowest = 3 * time.Second
	// balancerMost is the longest that the balancer waits until it asks for a watch again.
	balancerMost = time.Second
	// quietTime at the end of a course nothing is amiss in.
	quietTime = 15 * time.Second
)

// Draw draws a course from a seed.
func Draw(seed uint64) Course {
	dice := rand.New(rand.NewPCG(seed, 0xd15c))
	c := Course{Seed: seed, Pushed: dice.IntN(4) == 0, Length: 60 * time.Second}
	end := c.Length - quietTime
	moment := func() time.Duration { return time.Duration(dice.Int64N(int64(end))) }
	for range 1 + dice.IntN(4) {
		c.Changes = insert(c.Changes, moment())
	}
	for range 1 + dice.IntN(3) {
		c.Phases = append(c.Phases, Phase{Shares: drawShares(dice, c.Pushed)})
	}
	from := time.Duration(0)
	for i := range c.Phases {
		c.Phases[i].From = from
		from += (end - from) / 2
	}
	c.Phases = append(c.Phases, Phase{From: end})
	if dice.IntN(2) == 0 {
		c.Outages = append(c.Outages, drawOutage(dice, c.Pushed, end))
	}
	for _, times := range []*[]time.Duration{&c.Resets, &c.Silences, &c.Moves} {
		for range dice.IntN(3) {
			*times = insert(*times, moment())
		}
	}
	if dice.IntN(4) == 0 {
		c.Renumbered = append(c.Renumbered, moment())
	}
	if dice.IntN(4) == 0 {
		c.Start = moment()
	}
	return c
}

// drawShares draws up to four kinds of bad calls, nine in ten of all together at most. An agent on the proxy's own machine answers at once
// or is silent while discovery is down.
func drawShares(dice *rand.Rand, pushed bool) (shares []Share) {
	fates := []Fate{Slow, Cut, Stalled, Silent, Reset, RefusedNow, RefusedLate}
	if pushed {
		fates = []Fate{Cut, Reset, RefusedNow}
	}
	kinds, left := dice.IntN(5), 0.9*dice.Float64()
	for range kinds {
		of := left * dice.Float64()
		left -= of
		shares = append(shares, Share{fates[dice.IntN(len(fates))], of})
	}
	if kinds > 0 {
		shares[kinds-1].Of += left
	}
	return shares
}

func drawOutage(dice *rand.Rand, pushed bool, end time.Duration) Outage {
	fates := []Fate{Silent, Reset, RefusedNow, RefusedLate, DialRefused, DialSilent}
	if pushed {
		fates = []Fate{Silent}
	}
	o := Outage{From: time.Duration(dice.Int64N(int64(end))), Fate: fates[dice.IntN(len(fates))]}
	o.To = o.From + time.Duration(dice.Int64N(int64(end-o.From)))
	return o
}

// insert keeps times in order.
func insert(times []time.Duration, t time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] <= t {
		i++
	}
	return append(times[:i], append([]time.Duration{t}, times[i:]...)...)
}
