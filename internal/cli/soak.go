package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"brasswell/internal/rig"
	"brasswell/internal/rig/soak"
	"brasswell/internal/rig/wallclock"
)

// soakOptions are the flags of the soak verb.
type soakOptions struct {
	seed      uint64
	seeds     int
	jobs      int
	length    time.Duration
	processes int
	faults    []string
}

const (
	// leastSoak leaves a run the time in which its last changes count as told.
	leastSoak, mostSoak = 20 * time.Second, time.Hour
	mostSoakSeeds       = 10_000
	mostSoakProcesses   = 40
	mostProcessesAtOnce = 150
	leastSoakProcesses  = 2
	mostDrawnProcesses  = 12
	badRunsMessage      = "%d of %d runs broke a rule or failed"
)

func (e *env) soakVerb() *cobra.Command {
	var o soakOptions
	var names []string
	for _, f := range soak.Faults() {
		names = append(names, string(f))
	}
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run a few real processes under faults that are drawn from seeds, and check the rules",
		Long: "Starts processes of this program on loopback with stand-ins for callers, backends and discovery, and plays what the seed\n" +
			"draws: stepped wall clocks, calls to discovery that fail, moves, drains, restarts, kills and more. The rules are checked over\n" +
			"all processes together. Stepped clocks need a C compiler. Exits with 1 if a rule broke or a process failed, after printing\n" +
			"the seed and what came before, and with 2 if a run could not be made.",
		Example: "  brasswell soak --seed 1 --seeds 50 --length 30s\n" +
			"  brasswell soak --seed 7 --processes 4 --faults moves,drains,clock-steps --format json",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := oneOf("format", e.format, "text", "json"); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return e.soak(ctx, o)
		},
	}
	f := c.Flags()
	f.Uint64Var(&o.seed, "seed", 1, "the first seed")
	f.IntVar(&o.seeds, "seeds", 1, "how many seeds, from the first on")
	f.IntVar(&o.jobs, "jobs", 1, "how many runs at one time")
	f.DurationVar(&o.length, "length", 30*time.Second, "of each run")
	f.IntVar(&o.processes, "processes", 0, "how many processes each run has; 0 for as many as its seed says, 2 to 12")
	f.StringSliceVar(&o.faults, "faults", nil, "what may be drawn; all by default: "+strings.Join(names, ", "))
	return c
}

// check says what of the options makes no sense.
func (o *soakOptions) check() error {
	processes := o.processes
	if processes == 0 {
		processes = mostDrawnProcesses
	}
	switch {
	case o.seeds < 1 || o.seeds > mostSoakSeeds:
		return fmt.Errorf("soak: --seeds %d: must be between 1 and %d", o.seeds, mostSoakSeeds)
	case o.length < leastSoak || o.length > mostSoak:
		return fmt.Errorf("soak: --length %v: must be between %v and %v", o.length, leastSoak, mostSoak)
	case processes < leastSoakProcesses || processes > mostSoakProcesses:
		return fmt.Errorf("soak: --processes %d: must be 0, or between %d and %d", o.processes, leastSoakProcesses, mostSoakProcesses)
	case o.jobs < 1 || o.jobs*processes > mostProcessesAtOnce:
		return fmt.Errorf("soak: --jobs %d: must be 1 at least, and all runs of one time must stay within %d processes", o.jobs, mostProcessesAtOnce)
	}
	return nil
}

// soakSummary is what all runs came to, as JSON.
type soakSummary struct {
	Runs  int               `json:"runs"`
	Drawn map[string]int    `json:"drawn"` // runs by fault
	Bad   []*soak.Result    `json:"bad"`   // with their timelines
	Sums  map[string]int    `json:"sums"`  // of requests, by outcome
	Rules map[string]int    `json:"rules"` // cases of broken rules
	Wrong map[string]string `json:"wrong"` // runs that could not be made, by seed
}

// soak plays all seeds, and prints what they came to.
func (e *env) soak(ctx context.Context, o soakOptions) error {
	if err := o.check(); err != nil {
		return err
	}
	faults, err := soak.ParseFaults(o.faults)
	if err != nil {
		return fmt.Errorf("soak: --faults: %w", err)
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	folder, err := os.MkdirTemp("", "brasswell-soak-")
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	defer os.RemoveAll(folder)
	config := soak.Config{Program: rig.Program{Path: self}, Folder: folder}
	if slices.Contains(faults, soak.ClockSteps) {
		if config.Library, err = wallclock.Build(folder); err != nil {
			return fmt.Errorf("soak: clock-steps need a C compiler; leave them out of --faults without one: %w", err)
		}
	}
	sum := e.soakAll(ctx, o, config, faults)
	if e.format == "json" {
		if err := json.NewEncoder(e.out).Encode(sum); err != nil {
			return err
		}
	} else {
		e.printSoak(sum)
	}
	switch {
	case len(sum.Wrong) > 0:
		return fmt.Errorf("soak: %d runs could not be made", len(sum.Wrong))
	case len(sum.Bad) > 0:
		return answerNo{fmt.Errorf(badRunsMessage, len(sum.Bad), sum.Runs)}
	case ctx.Err() != nil:
		return answerNo{errors.New("interrupted")}
	}
	return nil
}

// soakAll plays all seeds, some at one time, and tells of each on the standard error.
func (e *env) soakAll(ctx context.Context, o soakOptions, config soak.Config, faults []soak.Fault) *soakSummary {
	sum := &soakSummary{Drawn: map[string]int{}, Sums: map[string]int{}, Rules: map[string]int{}, Wrong: map[string]string{}, Bad: []*soak.Result{}}
	var mu sync.Mutex
	var playing sync.WaitGroup
	places := make(chan struct{}, o.jobs)
	for n := range o.seeds {
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		playing.Go(func() {
			defer func() { <-places }()
			plan := soak.Draw(o.seed+uint64(n), o.length, o.processes, faults)
			result, err := soak.Run(ctx, config, plan)
			if ctx.Err() != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sum.add(plan, result, err)
			fmt.Fprintln(e.errOut, soakLine(plan, result, err))
		})
	}
	playing.Wait()
	return sum
}

func (s *soakSummary) add(plan soak.Plan, result *soak.Result, err error) {
	for _, f := range plan.Faults {
		s.Drawn[string(f)]++
	}
	if err != nil {
		s.Wrong[fmt.Sprint(plan.Seed)] = err.Error()
		return
	}
	s.Runs++
	r := &result.Report
	for what, n := range map[string]int{"asked": r.Asked, "served": r.Served, "refused": r.Refused, "failed": r.Failed, "left": r.Left} {
		s.Sums[what] += n
	}
	for rule, n := range result.Broken {
		s.Rules[rule] += n
	}
	if !result.Kept() {
		s.Bad = append(s.Bad, result)
	}
}

// soakLine tells of one run.
func soakLine(plan soak.Plan, result *soak.Result, err error) string {
	var names []string
	for _, f := range plan.Faults {
		names = append(names, string(f))
	}
	line := fmt.Sprintf("seed %d: %d processes, %s: ", plan.Seed, plan.Processes, strings.Join(names, " "))
	switch {
	case err != nil:
		return line + err.Error()
	case !result.Kept():
		return line + fmt.Sprintf("BROKEN %v %v", result.Broken, result.Errors)
	}
	r := &result.Report
	return line + fmt.Sprintf("kept; %d asked, %d served, %d refused, %d failed, latest send %v behind notice, cold at most %.2f of what it bears",
		r.Asked, r.Served, r.Refused, r.Failed, r.Latest.Round(time.Millisecond), r.ColdMost)
}

func (e *env) printSoak(s *soakSummary) {
	for _, bad := range s.Bad {
		fmt.Fprintf(e.out, "seed %d: broken %v, errors %q\n", bad.Plan.Seed, bad.Broken, bad.Errors)
		for _, line := range bad.Explain() {
			fmt.Fprintln(e.out, line)
		}
	}
	fmt.Fprintf(e.out, "%d runs, %d bad; cases by rule %v; requests %v; runs by fault %v\n", s.Runs, len(s.Bad), s.Rules, s.Sums, s.Drawn)
}
