package scale

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"brasswell/internal/cluster/rules"
	"brasswell/internal/rig/hollow"
)

// Event is what happens in the measured part of a run.
type Event string

// The events.
const (
	Rest    Event = "rest"    // nothing
	Change  Event = "change"  // changes of the rules: one alone, one a second, many at once
	Machine Event = "machine" // some members die, one after another
	Rack    Event = "rack"    // some members of one zone die at once
	Zone    Event = "zone"    // all of one zone die at once, and return later; hollow ones know nothing then
	Region  Event = "region"  // one region is cut off from the others, and healed later
	Restart Event = "restart" // many members restart, one after another
	Start   Event = "start"   // all start at once
)

// Events are all events, in the order in which they are shown.
func Events() []Event { return []Event{Rest, Change, Machine, Rack, Zone, Region, Restart, Start} }

const (
	// Voters of every run, each in a process of its own.
	Voters = 5
	// MostMembers bounds a run.
	MostMembers = 4000
	// mostReal bounds the processes of the whole program.
	mostReal = 60
	// shortRTT is the longest round trip that a lease of shortLease fits; above, longLease is the default.
	shortRTT              = 20 * time.Millisecond
	shortLease, longLease = time.Second, 3 * time.Second
	// leastZones of the zone event leave most voters in the others.
	leastZones = 3
	// ownBans are those that a run's events add: one alone, those at one a second, and those at once.
	ownBans = 1 + 2*mostAtOnce
	// leastWithSolo hollow members are enough for one to have a host of its own: the others share theirs.
	leastWithSolo = 3
	// longestLength bounds the measured part.
	longestLength = time.Hour
)

// Config is a run to be done.
type Config struct {
	Members int // in all: voters, hollow members and real proxies
	Real    int // of these, processes of the whole program
	Regions int
	Zones   int
	RTT     time.Duration // between regions
	Event   Event
	Length  time.Duration // of the measured part
	Lease   time.Duration // 0 for one that fits the round trip
	Period  time.Duration // of the view
	Seed    uint64
	Bans    int // in the document, before the measured part
	Classes int // in the document
	// Numbers: the leader deals out the members' own numbers, which begins 10 s after all are there.
	Numbers bool
	// Base is the second byte of the first zone's addresses; 0 to look for one that is free.
	Base    int
	Program string // of the executable
	Folder  string // for the voters' folders; "" for one that is removed at the end
	// Progress is where lines for people go while it runs; nil for nowhere.
	Progress io.Writer
}

// DefaultConfig is a run that fits a small machine.
func DefaultConfig() Config {
	return Config{
		Members: 60, Regions: 3, Zones: 11, RTT: 2 * time.Millisecond, Event: Rest, Length: time.Minute, Period: 300 * time.Millisecond,
		Seed: 1, Bans: 200, Classes: 30, Numbers: true,
	}
}

// withDefaults fills in what follows from the rest.
func (c Config) withDefaults() Config {
	if c.Lease == 0 {
		c.Lease = longLease
		if c.RTT <= shortRTT {
			c.Lease = shortLease
		}
	}
	return c
}

// hollow is how many members are neither voters nor real.
func (c *Config) hollow() int { return c.Members - c.Real - Voters }

// shared is how many hollow members share hosts with others: all but the solo member of the plan.
func (c *Config) shared() int {
	if c.hollow() < leastWithSolo {
		return c.hollow()
	}
	return c.hollow() - 1
}

// Validate says what is wrong with a run, and what is allowed.
func (c *Config) Validate() error {
	least := Voters + c.Real + 1
	switch {
	case c.Real < 0 || c.Real > mostReal:
		return fmt.Errorf("--real %d: 0 to %d are allowed", c.Real, mostReal)
	case c.Members < least || c.Members > MostMembers:
		return fmt.Errorf("--members %d: %d (the %d voters, %d real proxies and one more) to %d are allowed", c.Members, least, Voters, c.Real, MostMembers)
	case c.Regions < 1 || c.Regions > Voters:
		return fmt.Errorf("--regions %d: 1 to %d are allowed", c.Regions, Voters)
	case c.Zones < c.Regions || c.Zones > hollow.MostZones:
		return fmt.Errorf("--zones %d: %d (one in each region) to %d are allowed", c.Zones, c.Regions, hollow.MostZones)
	case c.RTT < 0 || c.RTT > time.Second:
		return fmt.Errorf("--rtt %v: 0 to 1s is allowed", c.RTT)
	case !slices.Contains(Events(), c.Event):
		return fmt.Errorf("--event %s: allowed is %s", c.Event, eventNames())
	case c.Event == Zone && c.Zones < leastZones:
		return fmt.Errorf("--event zone with --zones %d: at least %d, so that most voters stay", c.Zones, leastZones)
	case c.Event == Region && c.Regions < 2:
		return fmt.Errorf("--event region with --regions %d: at least 2, so that one can be cut off", c.Regions)
	case c.Length < time.Second || c.Length > longestLength:
		return fmt.Errorf("--length %v: 1s to %v is allowed", c.Length, longestLength)
	case c.Lease != 0 && (c.Lease < 500*time.Millisecond || c.Lease > time.Minute):
		return fmt.Errorf("--lease %v: 500ms to 1m is allowed, or 0 for one that fits the round trip", c.Lease)
	case c.Period < 20*time.Millisecond || c.Period > time.Minute:
		return fmt.Errorf("--period %v: 20ms to 1m is allowed", c.Period)
	case c.Bans < 0 || c.Bans > rules.MaxBans-ownBans:
		return fmt.Errorf("--bans %d: 0 to %d are allowed (the run itself adds up to %d)", c.Bans, rules.MaxBans-ownBans, ownBans)
	case c.Classes < 0 || c.Classes > rules.MaxClasses:
		return fmt.Errorf("--classes %d: 0 to %d are allowed", c.Classes, rules.MaxClasses)
	case c.Base != 0 && (c.Base < lowestBase || c.Base+c.Zones > highestBase+1):
		return fmt.Errorf("--base %d: %d to %d is allowed with %d zones, or 0 to look for one that is free", c.Base, lowestBase, highestBase+1-c.Zones, c.Zones)
	}
	return nil
}

// cutRegion is the region that the region event cuts off: the last, where the fewest voters are.
func (c *Config) cutRegion() int { return c.Regions - 1 }

func eventNames() string {
	var names []string
	for _, e := range Events() {
		names = append(names, string(e))
	}
	return strings.Join(names, ", ")
}
