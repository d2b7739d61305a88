// Package soak runs a few real processes of the program on loopback under faults that are drawn from a seed, with callers, backends and
// discovery played by stand-ins, and has the auditor judge what happened. A run is a Plan, as data; what a seed draws is always the
// same, and what comes of it depends on the machine's scheduling as well.
package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"brasswell/internal/rig"
	"brasswell/internal/rig/holdup"
	"brasswell/internal/rig/loopback"
	"brasswell/internal/rig/wallclock"
	"brasswell/internal/standin"
	"brasswell/internal/standin/audit"
	"brasswell/internal/standin/notice"
)

// Config is how runs are made.
type Config struct {
	Program rig.Program
	Folder  string // for the processes' files
	// Library gives processes their clocks; nil where the plan has no steps.
	Library *wallclock.Library
}

// Result is what a run has come to.
type Result struct {
	Plan   Plan                     `json:"plan"`
	Report audit.Report             `json:"report"`
	Broken map[string]int           `json:"broken"` // by rule
	Tally  map[string]standin.Tally `json:"tally"`  // by process
	// CallsRefused is how many calls discovery had no room for.
	CallsRefused int `json:"calls_refused"`
	// Ends are how long processes took to end that were told to, by process; SIGKILL among them.
	Ends   map[string][]time.Duration `json:"ends"`
	Errors []string                   `json:"errors"` // of processes that did not start or end as they must
	// HeldUp is when processes did not run, this one among them, which plays all but the proxies.
	HeldUp   []holdup.HoldUp `json:"held_up"`
	Timeline []Line          `json:"timeline,omitempty"`
}

// Kept says whether no rule broke and every process did what it must.
func (r *Result) Kept() bool { return r.Report.Kept() && len(r.Errors) == 0 }

// Line is one line of a run's timeline: what was done, or what a process said.
type Line struct {
	At   time.Duration `json:"at_ns"`
	Who  string        `json:"who"`
	Text string        `json:"text"`
}

const (
	// tick is how often it is looked whether a change is due.
	tick = 20 * time.Millisecond
	// mostLines bounds the timeline.
	mostLines = 1 << 17
	// answerSlack is how late a machine that is busy may make an answer look.
	answerSlack = 500 * time.Millisecond
	startTime   = 20 * time.Second
	endTime     = 6 * time.Second
)

// rules are the auditor's figures, with room for a machine on which many processes run.
func rules() audit.Rules {
	r := audit.DefaultRules()
	r.Slack, r.AnswerSlack, r.Keep = 150*time.Millisecond, answerSlack, 5*time.Second
	r.LeaveSlack = 100*time.Millisecond + r.Slack
	r.TellSlack = 150*time.Millisecond + r.Slack
	r.ColdChance = true
	return r
}

// run is one that is under way.
type run struct {
	config  Config
	plan    Plan
	folder  string
	network loopback.Network
	library *wallclock.Library
	fleet   *standin.Fleet
	members []*member
	first   json.RawMessage // the list of the run's beginning

	telling *telling

	mu     sync.Mutex
	zero   time.Time
	begun  time.Duration // the books' time at zero
	lines  []Line
	errs   []string
	ends   map[string][]time.Duration
	heldUp *holdup.Recorder
	dice   *rand.Rand // of discovery's calls
	mix    Mix
	script *script       // of calls, in place of mix; nil for none
	down   *standin.Call // what becomes of calls while discovery is down; nil while it is not
}

// Run plays a plan.
func Run(ctx context.Context, c Config, p Plan) (*Result, error) {
	p.Events = slices.Clone(p.Events)
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	r := &run{ends: map[string][]time.Duration{}, config: c, plan: p, zero: time.Now(), dice: rand.New(rand.NewPCG(p.Seed, 0xca11)), library: c.Library}
	r.heldUp = holdup.NewRecorder(r.now)
	var err error
	if r.folder, err = os.MkdirTemp(c.Folder, "soak"); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	defer os.RemoveAll(r.folder)
	if r.fleet, err = standin.NewFleet(standin.FleetConfig{Seed: p.Seed, Backends: p.Backends, Rules: rules(), Ask: p.Ask}); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	r.first = r.fleet.Discovery.Whole()
	r.fleet.Discovery.DrawCalls(r.drawCall)
	r.telling = newTelling(r.fleet.Books, r.note)
	r.fleet.Discovery.Observe(r.telling)
	defer r.end()
	if err := r.place(); err != nil {
		return nil, err
	}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
	return r.result(), ctx.Err()
}

// place draws addresses until all processes have free ones.
func (r *run) place() error {
	return loopback.UntilFree(func() error {
		r.end()
		r.members = nil
		r.network = loopback.Network{Second: loopback.Soaks.Draw(), Third: byte(rand.IntN(250))}
		for i := range r.plan.Processes {
			m, err := r.newMember(i)
			if err != nil {
				return err
			}
			r.members = append(r.members, m)
		}
		return nil
	})
}

// start starts all processes, and returns once they take clients.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	errs := make([]error, len(r.members))
	var all sync.WaitGroup
	for i, m := range r.members {
		r.telling.add(m.callers.Name(), m.name, notice.Settings{Pushed: !r.plan.Ask, AskEvery: standin.AskEvery})
		if err := r.telling.started(m.callers.Name(), r.first); err != nil {
			return err
		}
		all.Go(func() { errs[i] = m.process.Start(ctx) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// end kills what still runs.
func (r *run) end() {
	for _, m := range r.members {
		m.process.Kill()
		if m.clock != nil {
			m.clock.Close()
		}
	}
}

// now is the run's time.
func (r *run) now() time.Duration { return time.Since(r.zero) }

// note adds a line to the timeline.
func (r *run) note(who, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) < mostLines {
		r.lines = append(r.lines, Line{At: r.now(), Who: who, Text: text})
	}
}

func (r *run) line(name, text string) { r.note(name, text) }

// noteEnd notes how long a process took to end.
func (r *run) noteEnd(name string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[name] = append(r.ends[name], took)
}

// fail notes that a process did not do what it must.
func (r *run) fail(who string, err error) {
	r.note(who, "FAULT: "+err.Error())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, fmt.Sprintf("%v: %s: %v", r.now().Round(time.Millisecond), who, err))
}

// drawCall says what becomes of a proxy's next call to discovery.
func (r *run) drawCall(proxy string) standin.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down != nil {
		return *r.down
	}
	if r.script != nil {
		return r.script.draw(proxy)
	}
	return r.mix.draw(r.dice)
}

// play plays the plan's events under load, and ends the load.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Length)
	defer cancel()
	load := standin.Load{Rate: r.plan.Rate, Retries: 2, Backoff: 20 * time.Millisecond, Leave: r.plan.Leave, Slack: answerSlack}
	r.mu.Lock()
	r.zero, r.begun = time.Now(), r.fleet.Books.Now()
	r.lines = nil
	r.mu.Unlock()
	r.fleet.Discovery.SetLine(r.plan.Line)
	var acting, loading sync.WaitGroup
	for _, m := range r.members {
		loading.Go(func() { m.callers.Run(ctx, load) })
	}
	acting.Go(func() { r.tellDue(ctx) })
	acting.Go(func() { r.watchProcesses(ctx) })
	acting.Go(func() { r.heldUp.Run(ctx, playedName, r.processes()) })
	for _, e := range r.plan.Events {
		sleep(ctx, e.At-r.now())
		if ctx.Err() != nil {
			break
		}
		acting.Go(func() { r.act(ctx, e) })
	}
	<-ctx.Done()
	loading.Wait()
	acting.Wait()
	var ending sync.WaitGroup
	for _, m := range r.members {
		ending.Go(func() {
			if err := m.process.End(endTime); err != nil {
				r.fail(m.name, err)
			}
		})
	}
	ending.Wait()
	r.fleet.Books.Settle()
}

// playedName is what this process is called, which plays all but the proxies.
const playedName = "soak"

// processes are those of the proxies.
func (r *run) processes() (all []holdup.Process) {
	for _, m := range r.members {
		all = append(all, holdup.Process{Name: m.name, PID: m.process.PID})
	}
	return all
}

// tellDue tells the books, until ctx is done, of changes that count as told, whoever has heard of them.
func (r *run) tellDue(ctx context.Context) {
	for ctx.Err() == nil {
		r.telling.tellDue()
		sleep(ctx, tick)
	}
}

// signalled notes that a process has been sent SIGHUP.
func (r *run) signalled(m *member) { r.telling.signalled(m.callers.Name()) }

// known is the list that a process which starts has, in the stead of a proxy.
func (r *run) known(proxy string) (json.RawMessage, error) {
	list := r.first
	if !r.plan.FirstLists {
		list = r.fleet.Discovery.Whole()
	}
	return list, r.telling.started(proxy, list)
}

// result adds up what happened.
func (r *run) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Result{
		Plan: r.plan, Report: r.fleet.Books.Report(), Broken: map[string]int{}, Ends: r.ends, Tally: map[string]standin.Tally{}, CallsRefused: r.fleet.Discovery.Refused(), Errors: r.errs, HeldUp: r.heldUp.Found(), Timeline: r.lines,
	}
	for i := range out.Report.Cases {
		out.Report.Cases[i].At -= r.begun // as in the timeline
	}
	for _, rule := range audit.AllRules() {
		if n := out.Report.Broken[rule]; n > 0 {
			out.Broken[rule.String()] = n
		}
	}
	for _, m := range r.members {
		out.Tally[m.name] = m.callers.Tally()
	}
	slices.SortStableFunc(out.Timeline, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	return out
}
