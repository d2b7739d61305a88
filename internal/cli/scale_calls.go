package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"brasswell/internal/rig"
	"brasswell/internal/rig/scale/callresult"
	"brasswell/internal/rig/scale/calls"
)

// callsOptions are the flags of the scale calls verb.
type callsOptions struct {
	rates  []float64
	depths []int
	pairs  int
	length time.Duration
	seed   uint64
}

func (e *env) scaleCallsVerb() *cobra.Command {
	var o callsOptions
	c := &cobra.Command{
		Use:   "calls",
		Short: "Measure the latency that proxies add to calls",
		Long: "Sends the same calls straight to a stand-in backend and through proxies one behind the other, in turn, and compares\n" +
			"the latencies at the 99th percentile. Calls go out at moments drawn beforehand, whether or not others are answered,\n" +
			"and a latency counts from its call's moment. Prints a table; with --format json, the result that `brasswell scale fit`\n" +
			"reads. Exits with 1 if a call was not answered or the measurement was ended early, and 2 if it could not be made.",
		Example: "  brasswell scale calls --rate 100,300,650 --depth 1,7 --pairs 5 --length 10s --format json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := oneOf("format", e.format, "text", "json"); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return e.scaleCalls(ctx, o)
		},
	}
	c.Flags().Float64SliceVar(&o.rates, "rate", []float64{100, 300, 650}, "calls a second")
	c.Flags().IntSliceVar(&o.depths, "depth", []int{1, 7}, "how many proxies one behind the other")
	c.Flags().IntVar(&o.pairs, "pairs", 5, "how often each rate and depth is measured, direct and proxied in turn")
	c.Flags().DurationVar(&o.length, "length", 10*time.Second, "how long each side of a pair is recorded")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "of the calls' moments")
	return c
}

func (e *env) scaleCalls(ctx context.Context, o callsOptions) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("scale calls: %w", err)
	}
	config := calls.Config{Rates: o.rates, Depths: o.depths, Pairs: o.pairs, Length: o.length, Seed: o.seed, Program: rig.Program{Path: self}}
	if err := config.Validate(); err != nil {
		return fmt.Errorf("scale calls: %w", err)
	}
	if config.Folder, err = os.MkdirTemp("", "brasswell-calls-"); err != nil {
		return fmt.Errorf("scale calls: %w", err)
	}
	defer os.RemoveAll(config.Folder)
	if e.format == "text" {
		config.Told = e.printPair
	}
	run, err := calls.Run(ctx, config)
	if err != nil {
		return fmt.Errorf("scale calls: %w", err)
	}
	if e.format == "json" {
		if err := run.Write(e.out); err != nil {
			return err
		}
	} else {
		e.printCalls(run)
	}
	switch n := run.Unanswered(); {
	case run.Interrupted:
		return answerNo{errors.New("ended early")}
	case n > 0:
		return answerNo{fmt.Errorf("%d calls were not answered: %v", n, run.UnansweredByEnd())}
	}
	return nil
}

// printPair prints one pair as soon as it is measured.
func (e *env) printPair(rate float64, depth int, p callresult.Pair) {
	fmt.Fprintf(e.out, "%v calls/s through %d: 99th direct %.2f ms, proxied %.2f ms, added %.2f ms\n", rate, depth, p.Direct.P99MS, p.Proxied.P99MS, p.AddedP99MS())
	if u := p.Direct.Unanswered; u.Total() > 0 {
		fmt.Fprintf(e.out, "  direct, not answered: %v\n", u)
	}
	if u := p.Proxied.Unanswered; u.Total() > 0 {
		fmt.Fprintf(e.out, "  proxied, not answered: %v; by proxy, the first called first: refused %v, failed %v\n", u, p.HopRefused, p.HopFailed)
	}
}

func (e *env) printCalls(run *callresult.Run) {
	fmt.Fprintf(e.out, "\n%d cores, load average before %.2f; medians of %d pairs, times in ms\n", run.Host.Cores, run.LoadBefore, run.Settings.Pairs)
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "calls/s\tdepth\tdirect median\t99th\tproxied median\t99th\tadded at 99th\trange\tsent late, 99th\tfrom send, direct 99th\tproxied 99th\tCPU us/call, proxy\tunanswered\t")
	for _, c := range run.Cases {
		s := c.Summary()
		direct, proxied := c.FromSendP99MS()
		fmt.Fprintf(w, "%v\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f to %.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%d\t\n", c.Rate, c.Depth, s.Direct.Median, s.Direct.P99,
			s.Proxied.Median, s.Proxied.P99, s.Added, s.AddedLeast, s.AddedMost, s.LateP99MS, direct, proxied, s.CPUUS, s.Unanswered)
	}
	w.Flush()
}
