// Package story describes what happens to a fleet of proxies: faults at stated moments, as data that can be stored,
// compared, read from a file and drawn from a seed. It has no I/O. A Stage plays a story: real processes (package rig) or
// the model of a fleet (package model).
package story

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"brasswell/internal/rig/faults"
	"brasswell/internal/strict"
)

// Duration is a time.Duration that is written with its unit.
type Duration time.Duration

// UnmarshalText reads "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	got, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration; write one such as 1.5s or 300ms", text)
	}
	*d = Duration(got)
	return nil
}

// MarshalText writes what UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Story is a fleet and what happens to it.
type Story struct {
	Name     string   `toml:"name"`
	About    string   `toml:"about"`    // for people, in a sentence
	Members  int      `toml:"members"`  // named n1, n2 and so on
	Late     []string `toml:"late"`     // of these, the ones that an event starts first
	Backends int      `toml:"backends"` // stand-ins, named node-00 and so on; 0 for the default
	Slots    int      `toml:"slots"`    // requests that each works on at one time; 0 for the default
	WarmUp   Duration `toml:"warm_up"`  // of backends; 0 for the default
	Seed     uint64   `toml:"seed"`
	Period   Duration `toml:"period"` // of probes
	Length   Duration `toml:"length"`
	Load     float64  `toml:"load"` // requests a second from callers, over all members
	// Keepers is how many members, the first ones, hold rules that all agree on; 0 for no such rules. Changes of them are proposed
	// so often a second, each at a member and of a kind drawn from the seed.
	Keepers int     `toml:"keepers"`
	Changes float64 `toml:"changes"`
	// Recover: what members know lasts, and they come back in order after a loss of power.
	Recover bool    `toml:"recover"`
	Events  []Event `toml:"event"`
}

// Event is one fault with its beginning and its end.
type Event struct {
	At  Duration `toml:"at"`
	For Duration `toml:"for"` // until it is over; 0 for the rest of the story
	Do  string   `toml:"do"`  // one of Kinds
	Who []string `toml:"who"` // members, or stand-ins; none stands for all members
	// With are the others that a cut or a condition is towards; none stands for everybody else.
	With []string `toml:"with"`
	Size float64  `toml:"size"` // how bad: a share, milliseconds, or bytes a second
	// Folder is what becomes of a member's own files at a start: "kept" (the default), "lost".
	Folder string `toml:"folder"`
}

// The kinds of events.
const (
	Kill    = "kill"    // the process is killed; it is started again when the event is over, if it has an end
	Stop    = "stop"    // the same by SIGTERM: the process says that it goes
	Start   = "start"   // the process is started
	Pause   = "pause"   // the process does nothing, and then goes on as if no time had passed
	Upgrade = "upgrade" // a new process beside the running one takes its place
	Cold    = "cold"    // a stand-in backend dies, and is back and cold at the end
	Starve  = "starve"  // the process gets a share of its processor time (size)
	Cut     = "cut"     // nothing passes between who and with, either way
	CutTo   = "cut-to"  // nothing passes from who to with; the other way is sound
	Lose    = "lose"    // a share of datagrams is lost, both ways
	Delay   = "delay"   // all comes so many milliseconds later, and a quarter of that more by chance
	Double  = "double"  // a share of datagrams comes twice
	Reorder = "reorder" // a share of datagrams comes behind later ones
	Bend    = "bend"    // a share of datagrams has a bit turned
	Slow    = "slow"    // so many bytes a second pass
)

type kind struct {
	about       string
	network     bool // it is about the ways between processes
	standins    bool // it is upon backends
	needsSize   bool
	least, most float64
}

var kinds = map[string]kind{
	Kill:    {about: "SIGKILL; a new start at the end"},
	Stop:    {about: "SIGTERM; a new start at the end"},
	Start:   {about: "a start"},
	Pause:   {about: "SIGSTOP, and SIGCONT at the end"},
	Upgrade: {about: "a new process takes the place of the running one"},
	Cold:    {about: "a backend dies, and is back and cold at the end", standins: true},
	Starve:  {about: "so much of its processor time", needsSize: true, least: 0.02, most: 0.95},
	Cut:     {about: "nothing passes, either way", network: true},
	CutTo:   {about: "nothing passes from who to with", network: true},
	Lose:    {about: "a share of datagrams is lost", network: true, needsSize: true, least: 0.001, most: 1},
	Delay:   {about: "milliseconds later", network: true, needsSize: true, least: 0.1, most: 60_000},
	Double:  {about: "a share of datagrams comes twice", network: true, needsSize: true, least: 0.001, most: 1},
	Reorder: {about: "a share of datagrams comes late", network: true, needsSize: true, least: 0.001, most: 1},
	Bend:    {about: "a share of datagrams has a bit turned", network: true, needsSize: true, least: 0.001, most: 1},
	Slow:    {about: "bytes a second", network: true, needsSize: true, least: 100, most: 1e9},
}

// Kinds are the names of all kinds of events.
func Kinds() []string {
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Bounds of a story.
const (
	MostMembers = 2000
	mostEvents  = 10_000
	MostLength  = 24 * time.Hour
)

// Name is that of the member with a number, from 0.
func Name(i int) string { return "n" + strconv.Itoa(i+1) }

// Names are those of all members.
func (s *Story) Names() []string {
	names := make([]string, s.Members)
	for i := range names {
		names[i] = Name(i)
	}
	return names
}

// Backend is the name of the stand-in backend with a number, from 0.
func Backend(i int) string { return fmt.Sprintf("node-%02d", i) }

// Discovery is the name of the stand-in for discovery.
const Discovery = "discovery"

const defaultBackends = 4

// Read reads a story from TOML; an error names the place.
func Read(text []byte) (*Story, error) {
	s := &Story{}
	if err := strict.TOML(text, s, ""); err != nil {
		return nil, fmt.Errorf("story: %w", err)
	}
	if err := bareDurations(text); err != nil {
		return nil, err
	}
	if s.Backends == 0 {
		s.Backends = defaultBackends
	}
	if s.Period == 0 {
		s.Period = Duration(300 * time.Millisecond)
	}
	if s.Seed == 0 {
		s.Seed = 1
	}
	return s, s.Validate()
}

// bareDurations finds durations that are bare numbers, which the library takes as nanoseconds.
func bareDurations(text []byte) error {
	var file struct {
		Length, Period any
		Event          []struct{ At, For any }
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		return fmt.Errorf("story: %w", err)
	}
	bare := func(key string, v any) error {
		if n, number := v.(int64); number {
			return fmt.Errorf("story: %s: %d has no unit; write a duration such as \"%ds\"", key, n, n)
		}
		return nil
	}
	errs := []error{bare("length", file.Length), bare("period", file.Period)}
	for i, e := range file.Event {
		errs = append(errs, bare(fmt.Sprintf("event %d: at", i+1), e.At), bare(fmt.Sprintf("event %d: for", i+1), e.For))
	}
	return errors.Join(errs...)
}

// Validate says all that is wrong with a story.
func (s *Story) Validate() error {
	var errs []error
	bad := func(format string, a ...any) { errs = append(errs, fmt.Errorf("story: "+format, a...)) }
	if s.Members < 1 || s.Members > MostMembers {
		bad("members: %d; 1 to %d are allowed", s.Members, MostMembers)
		return errors.Join(errs...)
	}
	if s.Length <= 0 || time.Duration(s.Length) > MostLength {
		bad("length: %v; above 0 and up to %v is allowed", time.Duration(s.Length), MostLength)
	}
	if s.Period < Duration(10*time.Millisecond) || s.Period > Duration(time.Minute) {
		bad("period: %v; 10ms to 1m is allowed", time.Duration(s.Period))
	}
	if s.Load < 0 || s.Load > 1e5 {
		bad("load: %v; 0 to 100000 is allowed", s.Load)
	}
	if s.Backends < 0 || s.Backends > 100 {
		bad("backends: %d; up to 100 are allowed", s.Backends)
	}
	if s.Keepers < 0 || s.Keepers > s.Members || s.Keepers > 7 || s.Keepers > 0 && s.Keepers%2 == 0 {
		bad("keepers: %d; 1, 3, 5 or 7 of the members are allowed, or 0 for none", s.Keepers)
	}
	if s.Changes < 0 || s.Changes > 1000 || s.Changes > 0 && s.Keepers == 0 {
		bad("changes: %v; 0 to 1000 are allowed, and they need keepers", s.Changes)
	}
	if s.Slots < 0 || s.Slots > 1000 {
		bad("slots: %d; up to 1000 are allowed", s.Slots)
	}
	if s.WarmUp < 0 || s.WarmUp > Duration(time.Minute) {
		bad("warm_up: %v; up to 1m is allowed", time.Duration(s.WarmUp))
	}
	if len(s.Events) > mostEvents {
		bad("%d events; %d at most are allowed", len(s.Events), mostEvents)
		return errors.Join(errs...)
	}
	known := map[string]bool{Discovery: true}
	for _, n := range s.Names() {
		known[n] = true
	}
	for _, n := range s.Late {
		if !known[n] || n == Discovery {
			bad("late: %q is no member", n)
		}
	}
	for i := range s.Backends {
		known[Backend(i)] = true
	}
	for i, e := range s.Events {
		k, ok := kinds[e.Do]
		switch {
		case !ok:
			bad("event %d: do %q is not known; allowed is %s", i+1, e.Do, strings.Join(Kinds(), ", "))
			continue
		case e.At < 0 || e.At > s.Length:
			bad("event %d: at %v is not within the story's length, %v", i+1, time.Duration(e.At), time.Duration(s.Length))
		case e.For < 0:
			bad("event %d: for %v is below 0", i+1, time.Duration(e.For))
		case k.needsSize && (e.Size < k.least || e.Size > k.most):
			bad("event %d: size %v; %s wants %v to %v (%s)", i+1, e.Size, e.Do, k.least, k.most, k.about)
		case !k.needsSize && e.Size != 0:
			bad("event %d: %s has no size", i+1, e.Do)
		case !k.network && len(e.With) > 0:
			bad("event %d: %s has no with", i+1, e.Do)
		case k.standins && len(e.Who) == 0:
			bad("event %d: %s wants a backend; write who = [\"node-00\"]", i+1, e.Do)
		case e.Folder != "" && e.Folder != "kept" && e.Folder != "lost":
			bad("event %d: folder %q; allowed is kept or lost", i+1, e.Folder)
		case (e.Do == Pause || e.Do == Starve || e.Do == Cold) && e.For == 0:
			bad("event %d: %s needs an end; write for", i+1, e.Do)
		}
		for _, n := range append(slices.Clone(e.Who), e.With...) {
			if !known[n] {
				bad("event %d: %q is no member and no stand-in", i+1, n)
			}
			backend := strings.HasPrefix(n, "node-")
			switch {
			case k.standins && known[n] && !backend:
				bad("event %d: %s is for backends; %q is none", i+1, e.Do, n)
			case !k.network && !k.standins && (backend || n == Discovery):
				bad("event %d: %s is for members; %q is a stand-in", i+1, e.Do, n)
			}
		}
	}
	return errors.Join(errs...)
}

// Paths are the ways that an event of the network is about.
func (s *Story) Paths(e Event) []faults.Path {
	all := append(s.Names(), Discovery)
	for i := range s.Backends {
		all = append(all, Backend(i))
	}
	who := e.Who
	if len(who) == 0 {
		who = s.Names()
	}
	seen := map[faults.Path]bool{}
	var paths []faults.Path
	add := func(from, to string) {
		p := faults.Path{From: from, To: to}
		if from != to && !seen[p] {
			seen[p] = true
			paths = append(paths, p)
		}
	}
	for _, a := range who {
		with := e.With
		if len(with) == 0 {
			for _, b := range all[:s.Members] { // stand-ins are cut off only by name
				if len(e.Who) == 0 || !slices.Contains(e.Who, b) {
					with = append(with, b)
				}
			}
		}
		for _, b := range with {
			add(a, b)
			if e.Do != CutTo {
				add(b, a)
			}
		}
	}
	return paths
}

// Upgrades says whether a member's process is replaced by another beside it in the story.
func (s *Story) Upgrades(name string) bool {
	return slices.ContainsFunc(s.Events, func(e Event) bool {
		return e.Do == Upgrade && (len(e.Who) == 0 || slices.Contains(e.Who, name))
	})
}

// Condition is what an event of the network puts on its paths.
func (e Event) Condition() faults.Condition {
	switch e.Do {
	case Cut, CutTo:
		return faults.Condition{Cut: true}
	case Lose:
		return faults.Condition{Loss: e.Size}
	case Delay:
		d := time.Duration(e.Size * float64(time.Millisecond))
		return faults.Condition{Delay: d, Jitter: d / 4}
	case Double:
		return faults.Condition{Double: e.Size}
	case Reorder:
		return faults.Condition{Reorder: e.Size}
	case Bend:
		return faults.Condition{Bend: e.Size}
	case Slow:
		return faults.Condition{Rate: e.Size}
	}
	return faults.Condition{}
}

// Standins says whether the event is upon stand-ins.
func (e Event) Standins() bool { return kinds[e.Do].standins }

// Network says whether the event is about the ways between processes.
func (e Event) Network() bool { return kinds[e.Do].network }

// Act is the beginning or the end of an event.
type Act struct {
	At    time.Duration
	Event int // its number in the story
	End   bool
}

// Acts are all beginnings and ends in the order in which they are played. What begins and ends at one moment ends first.
func (s *Story) Acts() []Act {
	var acts []Act
	for i, e := range s.Events {
		acts = append(acts, Act{At: time.Duration(e.At), Event: i})
		if e.For > 0 {
			if end := time.Duration(e.At + e.For); end <= time.Duration(s.Length) {
				acts = append(acts, Act{At: end, Event: i, End: true})
			}
		}
	}
	slices.SortStableFunc(acts, func(a, b Act) int {
		switch {
		case a.At != b.At:
			return int(min(max(a.At-b.At, -1), 1))
		case a.End != b.End && a.End:
			return -1
		case a.End != b.End:
			return 1
		}
		return a.Event - b.Event
	})
	return acts
}

// Drawn is a story from a seed: a few faults, one after another with time to settle between, of the kinds that a view of
// the fleet has to come through.
func Drawn(seed uint64, members int, period, length time.Duration) *Story {
	dice := rand.New(rand.NewPCG(seed, 30))
	s := &Story{
		Name: fmt.Sprintf("drawn-%d", seed), Members: members, Backends: defaultBackends, Seed: seed, Period: Duration(period), Length: Duration(length),
	}
	some := func(n int) []string {
		names := s.Names()
		dice.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		return names[:min(max(n, 1), members-1)]
	}
	// A fault takes its time, and as long again to settle after it.
	settle := 18 * period
	at := 10 * period
	for at+2*settle < length {
		span := time.Duration((0.5 + dice.Float64()) * float64(settle))
		e := Event{At: Duration(at), For: Duration(span)}
		switch dice.IntN(9) {
		case 0:
			e.Do, e.Who = Kill, some(1)
		case 1:
			e.Do, e.Who = Kill, some(members/3)
		case 2:
			e.Do, e.Who = Stop, some(1)
		case 3:
			e.Do, e.Who = Cut, some(members/2)
		case 4:
			e.Do, e.Who = Cut, some(1)
		case 5:
			e.Do, e.Who, e.For = Pause, some(1), Duration(min(span, settle))
		case 6: // exactly two, which all others reach
			two := some(2)
			e.Do, e.Who, e.With = Cut, two[:1], two[1:]
		case 7:
			e.Do, e.Who = CutTo, some(1)
		case 8:
			e.Do, e.Size = Lose, 0.2
		}
		if members < 3 && len(e.Who) > 1 {
			e.Who = e.Who[:1]
		}
		s.Events = append(s.Events, e)
		at += span + settle
	}
	return s
}

// Unruly draws a story of faults that overlap, upon keepers more often than upon others, while rules are changed: for what must
// hold at every moment, and not for how long it takes to settle. The last quarter of it is calm.
func Unruly(seed uint64, members, keepers int, length time.Duration) *Story {
	dice := rand.New(rand.NewPCG(seed, 5))
	s := &Story{
		Name: fmt.Sprintf("unruly-%d", seed), Members: members, Backends: defaultBackends, Seed: seed,
		Period: Duration(300 * time.Millisecond), Length: Duration(length), Keepers: keepers, Changes: 2,
	}
	names := s.Names()
	pick := func() string {
		if dice.IntN(3) > 0 {
			return names[dice.IntN(keepers)]
		}
		return names[dice.IntN(members)]
	}
	seconds := func(f float64) Duration { return Duration(f * float64(time.Second)) }
	for at, last := 1.0, 0.75*length.Seconds(); at < last; at += 0.2 + 2.5*dice.Float64() {
		e := Event{At: seconds(at), For: seconds(min(0.2+5*dice.Float64()*dice.Float64(), last-at+0.2))}
		switch dice.IntN(8) {
		case 0:
			e.Do, e.Who = Kill, []string{pick()}
		case 1, 2:
			e.Do, e.Who = Pause, []string{pick()}
		case 3:
			e.Do, e.Who = CutTo, []string{pick()}
		case 4:
			e.Do, e.Who = Cut, []string{pick()}
		case 5:
			e.Do, e.Who, e.With = Cut, []string{names[0]}, []string{names[1+dice.IntN(members-1)]}
		case 6:
			e.Do, e.Size = Lose, 0.05+0.4*dice.Float64()
		case 7:
			e.Do = Cut
			for _, n := range names {
				if dice.IntN(2) == 0 {
					e.Who = append(e.Who, n)
				}
			}
			if len(e.Who) == 0 || len(e.Who) == members {
				e.Who = names[:1]
			}
		}
		// A process suffers one thing at a time.
		if !slices.ContainsFunc(s.Events, func(o Event) bool {
			upon := func(e Event) bool { return e.Do == Kill || e.Do == Pause }
			return upon(o) && upon(e) && o.Who[0] == e.Who[0] && o.At+o.For+seconds(0.5) > e.At
		}) {
			s.Events = append(s.Events, e)
		}
	}
	return s
}
