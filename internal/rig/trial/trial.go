// Package trial plays a story many times, or many drawn stories, each from a seed of its own: with real processes or in the
// model of a fleet. It adds up what they came to.
package trial

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"brasswell/internal/cluster/accord"
	agreed "brasswell/internal/cluster/accord/model"
	"brasswell/internal/cluster/codec"
	"brasswell/internal/cluster/model"
	"brasswell/internal/cluster/view"
	"brasswell/internal/rig"
	"brasswell/internal/rig/comeback"
	"brasswell/internal/rig/history"
	"brasswell/internal/rig/ruling"
	"brasswell/internal/rig/story"
)

// Config is what to play.
type Config struct {
	Story   func(seed uint64) *story.Story
	First   uint64 // seed
	Runs    int
	Jobs    int // at one time; 0 for as many as there are processors
	Model   bool
	Without []string // defences that are taken out, in the model
	Program rig.Program
	Folder  string
	Off     bool
	// Told is called after each run, one at a time; may be nil.
	Told func(done int, r *Run)
}

// Run is what one play came to.
type Run struct {
	Story   *story.Story
	Settled []history.Settling
	False   int
	Wrong   []string
	Deaths  int
	Refuted int
	Rules   string // what broke, or ""
	Asked   int
	Served  int
	Cold    float64           // the most that a cold backend took of its budget
	Explain string            // of the first thing that must not be
	Agreed  ruling.Verdict    // where the story has keepers
	Back    *comeback.Verdict // where it has a loss of power
	// Of the model:
	Datagrams, Bytes, Events int64
	CPU                      time.Duration
}

// Kept says whether nothing came that must not.
func (r *Run) Kept() bool {
	return r.False == 0 && len(r.Wrong) == 0 && r.Rules == "" && r.Agreed.Kept()
}

// Sum is what all runs came to.
type Sum struct {
	Runs      int
	Took      map[string][]time.Duration // by what was done; below 0 where the next came first
	False     int
	Wrong     int // runs whose views were wrong at the end
	Rules     int // runs in which a rule broke
	Deaths    int
	Refuted   int
	Asked     int
	Served    int
	Agreed    ruling.Verdict
	Cold      []float64 // by run, where there was a cold backend
	Back      []comeback.Verdict
	Member    time.Duration // time of all members together
	Datagrams int64
	Bytes     int64
	Events    int64
	CPU       time.Duration
	Bad       []string // what to look at, by seed; the first of them
}

// mostBad are told one by one.
const mostBad = 10

// defences are the switches of a view's settings by the names that people give.
var defences = map[string]func(*view.Settings){
	"indirect":   func(s *view.Settings) { s.NoIndirect = true },
	"suspicion":  func(s *view.Settings) { s.NoSuspicion = true },
	"health":     func(s *view.Settings) { s.NoHealth = true },
	"prompt":     func(s *view.Settings) { s.NoSuspectPings = true },
	"digest":     func(s *view.Settings) { s.NoDigest = true },
	"reach":      func(s *view.Settings) { s.NoDeadPings = true },
	"widening":   func(s *view.Settings) { s.NoWidening = true },
	"correction": func(s *view.Settings) { s.NoEarlyConfirmation = true },
	"calm":       func(s *view.Settings) { s.NoFalseSuspicionLimit = true },
}

// ruleDefences are those of an agreement's settings, for stories with keepers.
var ruleDefences = map[string]func(*accord.Settings){
	"lease-check": func(s *accord.Settings) { s.NoLeaseCheck = true },
	"prepared":    func(s *accord.Settings) { s.NoPreparePhase = true },
	"wait":        func(s *accord.Settings) { s.NoLeaderWait = true },
	"confirm":     func(s *accord.Settings) { s.NoQuorumCheck = true },
	contentCheck:  func(s *accord.Settings) { s.NoDigestCheck = true },
	// It counts where leases rest on what proxies have, which they do beside differences that are long.
	"enforcing": func(s *accord.Settings) { s.NoEnforcingCheck, s.MaxInlineDelta = true, 1 },
}

// contentCheck is the comparison of what a proxy has with what the voters have by its digest. The view has one named "digest".
const contentCheck = "content"

// Defences are the names that Without may hold: of the view, and of the agreement.
func Defences() []string {
	return append(slices.Sorted(maps.Keys(defences)), slices.Sorted(maps.Keys(ruleDefences))...)
}

// Play plays all runs. It returns early, with what there is, when ctx is done.
func Play(ctx context.Context, c Config) (*Sum, error) {
	for _, name := range c.Without {
		if defences[name] == nil && ruleDefences[name] == nil {
			return nil, fmt.Errorf("trial: no defence %q; allowed is %s", name, strings.Join(Defences(), ", "))
		}
	}
	if c.Jobs <= 0 {
		c.Jobs = runtime.NumCPU()
	}
	sum := &Sum{Took: map[string][]time.Duration{}}
	var mu sync.Mutex
	var errs []error
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range min(c.Jobs, c.Runs) {
		workers.Go(func() {
			for seed := range seeds {
				r, err := c.one(ctx, c.Story(seed))
				mu.Lock()
				if err != nil {
					errs = append(errs, fmt.Errorf("seed %d: %w", seed, err))
				} else if ctx.Err() == nil {
					sum.add(r)
					if c.Told != nil {
						c.Told(sum.Runs, r)
					}
				}
				mu.Unlock()
			}
		})
	}
feed:
	for i := range c.Runs {
		select {
		case seeds <- c.First + uint64(i):
		case <-ctx.Done():
			break feed
		}
	}
	close(seeds)
	workers.Wait()
	return sum, errors.Join(errs...)
}

func (c *Config) one(ctx context.Context, s *story.Story) (*Run, error) {
	if c.Model {
		return c.inModel(s)
	}
	folder, err := os.MkdirTemp(c.Folder, "run-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r, err := rig.New(rig.Config{Story: s, Program: c.Program, Folder: filepath.Clean(folder), Off: c.Off})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if err := r.Start(ctx); err != nil {
		return nil, err
	}
	result, err := r.Play(ctx)
	if err != nil {
		return nil, err
	}
	run := &Run{
		Story: s, Settled: result.Verdict.Settled, False: len(result.Verdict.False), Wrong: result.Verdict.Wrong,
		Asked: result.Rules.Asked, Served: result.Rules.Served, Cold: result.Rules.ColdMost, Agreed: result.Agreed, Back: result.Back,
	}
	if s.Keepers > 0 {
		run.False, run.Wrong = 0, nil // faults that overlap are excused to views; here it is rules that count
	} else if !result.Verdict.Kept() {
		run.Explain = result.Verdict.Explain(s, result.Events)
	}
	if !result.Rules.Kept() {
		run.Rules = fmt.Sprint(result.Rules.Cases)
	}
	if !result.Agreed.Kept() {
		run.Explain += fmt.Sprintf("%q %q", result.Agreed.Found, result.Agreed.Lost)
	}
	return run, nil
}

// In the model of an agreement clocks are off by up to modelDrift of their rate, and a process dies at one in so many writes.
const (
	modelDrift = 0.02
	modelCrash = 0.001
	// modelCorrupt of the disks hold another document after a start, where contentCheck is taken out: otherwise it has nothing to find.
	modelCorrupt = 0.5
	// modelSettle is how long after a story all must be well.
	modelSettle = 5 * time.Second
)

// inAgreement plays a story of rules in the model of an agreement.
func (c *Config) inAgreement(s *story.Story) (*Run, error) {
	config := agreed.Config{Scenario: s, Drift: modelDrift, CrashRate: modelCrash, AdjustSettings: func(set *accord.Settings) {
		for _, name := range c.Without {
			if take := ruleDefences[name]; take != nil {
				take(set)
			}
		}
	}}
	if slices.Contains(c.Without, contentCheck) {
		config.CorruptRate = modelCorrupt
	}
	f, err := agreed.New(config)
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	f.Run(time.Duration(s.Length) + modelSettle)
	f.Check()
	g := &f.Results
	run := &Run{Story: s, Datagrams: g.Messages, Bytes: g.Bytes, Events: g.Events, CPU: time.Since(begun)}
	run.Agreed = ruling.Verdict{Acts: int(g.Events), Agreed: g.Agreed, Leased: g.LeasedBreach, Unleased: g.AloneBreach, InForce: g.InForce, Lost: g.Violations}
	if !run.Agreed.Kept() {
		run.Explain = fmt.Sprintf("with a lease against another for %v; %q", g.LeasedBreach, g.Violations)
	}
	return run, nil
}

func (c *Config) inModel(s *story.Story) (*Run, error) {
	if s.Keepers > 0 {
		return c.inAgreement(s)
	}
	text := codec.New("model")
	f, err := model.New(model.Config{
		Scenario: s,
		Configure: func(v *view.Settings) {
			for _, name := range c.Without {
				if take := defences[name]; take != nil {
					take(v)
				}
			}
		},
		Size: func(m *view.Message) int {
			b, err := text.EncodeMessage(m)
			if err != nil {
				return 0
			}
			return len(b)
		},
	})
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	f.Run(time.Duration(s.Length))
	g := &f.Stats
	run := &Run{Story: s, False: g.FalseDeaths, Deaths: g.Deaths, Refuted: g.Refuted, Datagrams: g.Datagrams, Bytes: g.Bytes, Events: g.Events, CPU: time.Since(begun)}
	for _, one := range g.Convergences {
		run.Settled = append(run.Settled, history.Settling(one))
	}
	if !f.Converged() {
		run.Wrong = f.Mismatches()
		run.Explain = fmt.Sprintf("story %s, seed %d: at the end %v\n", s.Name, s.Seed, run.Wrong[:min(len(run.Wrong), 5)])
	}
	return run, nil
}

func (s *Sum) add(r *Run) {
	s.Runs++
	for _, one := range r.Settled {
		name := one.Do
		if one.End {
			name += " ends"
		}
		s.Took[name] = append(s.Took[name], one.Took)
	}
	s.False, s.Deaths, s.Refuted = s.False+r.False, s.Deaths+r.Deaths, s.Refuted+r.Refuted
	a, b := &s.Agreed, &r.Agreed
	a.Acts, a.Alone, a.Agreed = a.Acts+b.Acts, a.Alone+b.Alone, a.Agreed+b.Agreed
	a.Leased, a.Unleased = max(a.Leased, b.Leased), max(a.Unleased, b.Unleased)
	a.InForce, a.Lost = append(a.InForce, b.InForce...), append(a.Lost, b.Lost...)
	s.Asked, s.Served = s.Asked+r.Asked, s.Served+r.Served
	s.Datagrams, s.Bytes, s.Events, s.CPU = s.Datagrams+r.Datagrams, s.Bytes+r.Bytes, s.Events+r.Events, s.CPU+r.CPU
	s.Member += time.Duration(r.Story.Members) * time.Duration(r.Story.Length)
	if r.Cold > 0 {
		s.Cold = append(s.Cold, r.Cold)
	}
	if r.Back != nil {
		s.Back = append(s.Back, *r.Back)
	}
	if len(r.Wrong) > 0 {
		s.Wrong++
	}
	if r.Rules != "" {
		s.Rules++
	}
	if !r.Kept() && len(s.Bad) < mostBad {
		s.Bad = append(s.Bad, strings.TrimSpace(r.Explain+r.Rules)+fmt.Sprintf(" (seed %d, false deaths %d)", r.Story.Seed, r.False))
	}
}

// Kept says whether nothing came that must not, in any run.
func (s *Sum) Kept() bool {
	return s.False == 0 && s.Wrong == 0 && s.Rules == 0 && s.Agreed.Kept()
}

// Text is the sum for people; period is that of the views.
func (s *Sum) Text(period time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-14s %6s %10s %10s %10s   %s\n", "views right", "plays", "p50", "p99", "worst", "worst in periods; how often the next came first")
	for _, name := range slices.Sorted(maps.Keys(s.Took)) {
		took := s.Took[name]
		missed := 0
		for _, d := range took {
			if d < 0 {
				missed++
			}
		}
		at := func(share float64) time.Duration {
			return history.Quantile(took, share).Round(time.Millisecond)
		}
		fmt.Fprintf(&b, "%-14s %6d %10v %10v %10v   %.1f; %d\n", name, len(took), at(0.5), at(0.99), at(1), float64(at(1))/float64(period), missed)
	}
	fmt.Fprintf(&b, "runs %d; false deaths %d; wrong at the end %d; with a broken rule %d\n", s.Runs, s.False, s.Wrong, s.Rules)
	if s.Asked > 0 {
		fmt.Fprintf(&b, "requests %d, served %d (%.2f%%)\n", s.Asked, s.Served, 100*float64(s.Served)/float64(s.Asked))
	}
	if a := &s.Agreed; a.Acts > 0 {
		at := func(share float64) time.Duration { return history.Quantile(a.InForce, share).Round(time.Millisecond) }
		fmt.Fprintf(&b, "changes agreed %d, in force after p50 %v, p99 %v, worst %v; acknowledged and lost %d\n", a.Agreed, at(0.5), at(0.99), at(1), len(a.Lost))
		if a.Alone == 0 && s.Asked == 0 {
			fmt.Fprintf(&b, "against what another had in force: with a lease for %v at most, without for %v\n", a.Leased, a.Unleased.Round(time.Millisecond))
		} else {
			fmt.Fprintf(&b, "sends %d, of these without a lease %d; against what another had in force: with a lease for %v at most, without for %v\n",
				a.Acts, a.Alone, a.Leased, a.Unleased.Round(time.Millisecond))
		}
	}
	if len(s.Cold) > 0 {
		fmt.Fprintf(&b, "cold backends took %.0f%% of their budget at most, %.0f%% in the middle run\n", 100*slices.Max(s.Cold), 100*slices.Sorted(slices.Values(s.Cold))[len(s.Cold)/2])
	}
	if len(s.Back) > 0 {
		fmt.Fprint(&b, backText(s.Back))
	}
	if s.Events > 0 {
		sec := s.Member.Seconds()
		fmt.Fprintf(&b, "deaths %d, suspicions refuted %d; for each member: %.1f datagrams/s, %.0f bytes/s; %.2f us an event\n", s.Deaths, s.Refuted,
			float64(s.Datagrams)/sec, float64(s.Bytes)/sec, float64(s.CPU.Microseconds())/float64(s.Events))
	}
	for _, bad := range s.Bad {
		fmt.Fprintln(&b, bad)
	}
	return b.String()
}

// backText says how services came back after losses of power.
func backText(all []comeback.Verdict) string {
	var b strings.Builder
	row := func(name string, of func(comeback.Verdict) time.Duration) {
		var took []time.Duration
		never := 0
		for _, v := range all {
			if d := of(v); d < 0 {
				never++
			} else {
				took = append(took, d)
			}
		}
		if len(took) == 0 {
			fmt.Fprintf(&b, "%-24s never in %d plays\n", name, never)
			return
		}
		at := func(share float64) time.Duration { return history.Quantile(took, share).Round(10 * time.Millisecond) }
		fmt.Fprintf(&b, "%-24s p10 %v, p50 %v, p90 %v, worst %v; never %d\n", name, at(0.1), at(0.5), at(0.9), at(1), never)
	}
	fmt.Fprintf(&b, "after the last loss of power, %d plays, until of the calm worth\n", len(all))
	row("half", func(v comeback.Verdict) time.Duration { return v.Half })
	row("nine tenths", func(v comeback.Verdict) time.Duration { return v.Nine })
	classes := map[string]bool{}
	var lost []float64
	for _, v := range all {
		lost = append(lost, v.Lost)
		for class := range v.HalfOf {
			classes[class] = true
		}
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		row("half of "+class, func(v comeback.Verdict) time.Duration { return v.HalfOf[class] })
	}
	slices.Sort(lost)
	fmt.Fprintf(&b, "lost in seconds of calm: p10 %.2f, p50 %.2f, p90 %.2f\n", lost[len(lost)/10], lost[len(lost)/2], lost[len(lost)*9/10])
	return b.String()
}
