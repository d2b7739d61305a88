package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"time"
)

// Script is a story that a fleet plays: data, so that it can be stored, compared and made from a seed.
type Script struct {
	Length time.Duration `json:"length_ns"`
	Load   Load          `json:"load"`
	Steps  []Step        `json:"steps"`
}

// Step is one fault with its beginning and end.
type Step struct {
	At   time.Duration `json:"at_ns"`
	For  time.Duration `json:"for_ns"` // until the fault ends; 0 for the rest of the script
	Do   string        `json:"do"`     // one of Kinds
	Who  []int         `json:"who"`    // backends, for the kinds that have them
	Size float64       `json:"size"`   // how bad: a share, a multiple or a number of callers
}

// fault begins a step on a fleet and returns what ends it.
type fault func(p *play, s Step) (end func() error, err error)

// onBackends is a fault that Faults describe.
func onBackends(set func(f *Faults, size float64)) fault {
	return func(p *play, s Step) (func() error, error) {
		change := func(size float64) {
			for _, i := range s.Who {
				f := &p.faults[i]
				set(f, size)
				p.fleet.Backends[i].Set(*f)
			}
		}
		change(s.Size)
		return func() error { change(0); return nil }, nil
	}
}

// onDiscovery is a fault of discovery.
func onDiscovery(set func(f *DiscoveryFaults, on bool)) fault {
	return func(p *play, _ Step) (func() error, error) {
		set(&p.discovery, true)
		p.fleet.Discovery.Set(p.discovery)
		return func() error {
			set(&p.discovery, false)
			p.fleet.Discovery.Set(p.discovery)
			return nil
		}, nil
	}
}

// kinds is every fault by name.
var kinds = map[string]fault{
	"slow":         onBackends(func(f *Faults, size float64) { f.Slow = size }),
	"fail":         onBackends(func(f *Faults, size float64) { f.Fail = size }),
	"fail-unrun":   onBackends(func(f *Faults, size float64) { f.FailUnrun = size }),
	"turn-away":    onBackends(func(f *Faults, size float64) { f.TurnAway = size }),
	"spoil":        onBackends(func(f *Faults, size float64) { f.Spoil = size }),
	"extra":        onBackends(func(f *Faults, size float64) { f.Extra = size }),
	"cut":          onBackends(func(f *Faults, size float64) { f.Cut = size }),
	"reset-before": onBackends(func(f *Faults, size float64) { f.ResetBefore = size }),
	"reset-after":  onBackends(func(f *Faults, size float64) { f.ResetAfter = size }),
	"silent":       onBackends(func(f *Faults, size float64) { f.Silent = size > 0 }),
	"drain":        drain,
	"die":          die,
	"by-hand":      byHand,
	"surge": func(p *play, s Step) (func() error, error) {
		p.callers.Surge(s.Size)
		return func() error { p.callers.Surge(1); return nil }, nil
	},
	"storm": func(p *play, s Step) (func() error, error) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.callers.Storm(int(s.Size), p.load)
		}()
		return func() error { <-done; return nil }, nil
	},
	"leave": func(p *play, s Step) (func() error, error) {
		more := p.load
		more.Leave, more.Rate = 1, more.Rate/4
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		leavers := p.fleet.Callers(p.callers.address)
		leavers.seed ^= 1 << 63 // ids of their own
		go func() {
			defer close(done)
			leavers.Run(ctx, more)
		}()
		return func() error { stop(); <-done; return nil }, nil
	},
	"discovery-late": func(p *play, s Step) (func() error, error) {
		p.discovery.Late = time.Duration(s.Size * float64(time.Second))
		p.fleet.Discovery.Set(p.discovery)
		return func() error {
			p.discovery.Late = 0
			p.fleet.Discovery.Set(p.discovery)
			return nil
		}, nil
	},
	"discovery-moved": func(p *play, _ Step) (func() error, error) {
		if err := p.fleet.Discovery.Move(); err != nil {
			return nil, err
		}
		if p.fleet.OnMove != nil {
			p.fleet.OnMove(p.fleet.Discovery.Address())
		}
		return nil, nil
	},
	"discovery-silent": onDiscovery(func(f *DiscoveryFaults, on bool) { f.Silent = on }),
	"discovery-down":   onDiscovery(func(f *DiscoveryFaults, on bool) { f.Down = on }),
	"discovery-half":   onDiscovery(func(f *DiscoveryFaults, on bool) { f.Half = on }),
}

var errNoSuch = errors.New("no such fault")

// Kinds is the names of all faults, sorted.
func Kinds() []string {
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// drain lists backends as draining and has them turn new work away; at the end they are up again.
func drain(p *play, s Step) (func() error, error) {
	for _, i := range s.Who {
		p.fleet.List(i, "draining")
		p.fleet.Backends[i].Drain(true)
	}
	return func() error {
		for _, i := range s.Who {
			p.fleet.Backends[i].Drain(false)
			p.fleet.List(i, "up")
		}
		return nil
	}, nil
}

// byHand takes backends out at the proxy, and puts them back. They serve on, and the list says nothing of it.
func byHand(p *play, s Step) (func() error, error) {
	if p.fleet.OnHand == nil {
		return nil, nil
	}
	say := func(out bool) error {
		for _, i := range s.Who {
			id := p.fleet.Backends[i].config.ID
			if !out { // before the proxy hears of it: a request may come at once
				p.fleet.Books.ByHand(id, false)
			}
			if err := p.fleet.OnHand(id, out); err != nil {
				return err
			}
			if out {
				p.fleet.Books.ByHand(id, true)
			}
		}
		return nil
	}
	if err := say(true); err != nil {
		return nil, err
	}
	return func() error { return say(false) }, nil
}

// die ends backends at once; the list learns of it a little later, and at the end they return cold.
func die(p *play, s Step) (func() error, error) {
	for _, i := range s.Who {
		p.fleet.Backends[i].Die()
	}
	for _, i := range s.Who {
		p.fleet.List(i, "removed")
	}
	return func() error {
		for _, i := range s.Who {
			if err := p.fleet.Backends[i].Return(); err != nil {
				return err
			}
			p.fleet.List(i, "up")
		}
		return nil
	}, nil
}

// Validate reports the first thing in a script that cannot be played by a fleet of so many backends.
func (s *Script) Validate(backends int) error {
	if s.Length <= 0 || s.Load.Rate <= 0 {
		return fmt.Errorf("script: length %v and rate %v must be above 0", s.Length, s.Load.Rate)
	}
	for n, step := range s.Steps {
		switch _, known := kinds[step.Do]; {
		case !known:
			return fmt.Errorf("script: step %d: %q: %w; there are %v", n, step.Do, errNoSuch, Kinds())
		case step.At < 0 || step.For < 0 || step.At > s.Length:
			return fmt.Errorf("script: step %d: at %v for %v is outside the script's %v", n, step.At, step.For, s.Length)
		case slices.ContainsFunc(step.Who, func(i int) bool { return i < 0 || i >= backends }):
			return fmt.Errorf("script: step %d: %v names a backend outside 0..%d", n, step.Who, backends-1)
		}
	}
	return nil
}

// play is one playing of a script.
type play struct {
	fleet     *Fleet
	callers   *Callers
	load      Load
	faults    []Faults
	discovery DiscoveryFaults
}

// Told is called with each step as it begins and ends.
type Told func(s Step, begins bool)

// Play plays a script with callers before a proxy, until it is over or ctx is done. Every caller has its answer
// then, and every fault that has an end has ended. Settle the books next.
func (f *Fleet) Play(ctx context.Context, s Script, callers *Callers, told Told) error {
	if err := s.Validate(len(f.Backends)); err != nil {
		return err
	}
	if told == nil {
		told = func(Step, bool) {}
	}
	ctx, stop := context.WithTimeout(ctx, s.Length)
	defer stop()
	p := &play{fleet: f, callers: callers, load: s.Load, faults: make([]Faults, len(f.Backends))}
	type turn struct {
		at   time.Duration
		step int
		ends bool
	}
	var turns []turn
	for n, step := range s.Steps {
		turns = append(turns, turn{step.At, n, false})
		if step.For > 0 {
			turns = append(turns, turn{step.At + step.For, n, true})
		}
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return int(a.at - b.at) })

	sent := make(chan struct{})
	go func() {
		defer close(sent)
		callers.Run(ctx, s.Load)
	}()
	ends := make([]func() error, len(s.Steps))
	var failed error
	start := time.Now()
	for _, t := range turns {
		if failed != nil || !pause(ctx, time.Until(start.Add(t.at))) {
			break
		}
		step := s.Steps[t.step]
		if !t.ends {
			ends[t.step], failed = kinds[step.Do](p, step)
		} else if ends[t.step] != nil {
			failed = ends[t.step]()
			ends[t.step] = nil
		}
		told(step, !t.ends)
	}
	if failed != nil {
		stop()
	}
	<-sent
	for _, end := range ends {
		if end != nil {
			if err := end(); failed == nil {
				failed = err
			}
		}
	}
	return failed
}
