package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"brasswell/internal/config"
	"brasswell/internal/rig"
	"brasswell/internal/rig/plot"
	"brasswell/internal/rig/story"
	"brasswell/internal/rig/trial"
)

// loadOfRules is requests a second in drawn stories of rules: each send is looked at.
const loadOfRules = 150

// labOptions are the flags of the lab verb.
type labOptions struct {
	seed    uint64
	members int
	svg     string
	history string
	off     bool
	folder  string
	runs    int
	jobs    int
	drawn   bool
	length  time.Duration
	model   bool
	keepers int
	outages bool
	forget  bool
	without []string
}

func (e *env) labVerb() *cobra.Command {
	var o labOptions
	c := &cobra.Command{
		Use:   "lab [STORY.toml]",
		Short: "Run a whole fleet of processes on loopback through a story of faults, and judge it",
		Long: "Starts the story's proxies as processes of this program, with stand-ins for backends, discovery and callers round\n" +
			"them, and plays the story: processes that are killed, paused or starved, ways between them that are cut, lossy or\n" +
			"slow. Ends with a table; exits with 1 if a rule broke, a living proxy was held dead, or the views do not agree.\n\n" +
			"With --runs it plays the story so often, each time from the next seed, and adds up. With --drawn each seed draws a\n" +
			"story of its own, and with --model the proxies' views play on a clock of their own, without processes.",
		Example: "  brasswell lab docs/stories/halves.toml --svg halves.svg\n  brasswell lab docs/stories/rolling.toml --seed 7 --members 12 --format json\n" +
			"  brasswell lab --drawn --runs 200 --model --members 100",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := oneOf("format", e.format, "text", "json"); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			s, err := o.story(args)
			if err != nil {
				return err
			}
			if o.runs > 1 || o.model || o.drawn {
				return e.trial(ctx, s, o)
			}
			return e.lab(ctx, s(o.seed), o)
		},
	}
	c.Flags().Uint64Var(&o.seed, "seed", 0, "of the faults and the load; the story's own if it is not given")
	c.Flags().IntVar(&o.members, "members", 0, "how many proxies; the story's own number if it is not given")
	c.Flags().StringVar(&o.svg, "svg", "", "a file for the plot of views and requests by second")
	c.Flags().StringVar(&o.history, "history", "", "a file for all that was done and said, one JSON object a line")
	c.Flags().StringVar(&o.folder, "folder", "", "where the proxies' files are kept; a folder that is removed by default")
	c.Flags().IntVar(&o.runs, "runs", 1, "how many plays, each from the next seed")
	c.Flags().IntVar(&o.jobs, "jobs", 0, "how many at one time; as many as there are processors by default")
	c.Flags().BoolVar(&o.drawn, "drawn", false, "draw a story from each seed")
	c.Flags().DurationVar(&o.length, "length", 0, "how long a play takes; the story's own length if it is not given")
	c.Flags().BoolVar(&o.model, "model", false, "play views on a clock of their own, without processes")
	c.Flags().IntVar(&o.keepers, "keepers", 0, "draw stories in which so many members hold rules that change, with --drawn")
	c.Flags().StringSliceVar(&o.without, "without", nil, "defences to take out, with --model: "+strings.Join(trial.Defences(), ", "))
	c.Flags().BoolVar(&o.outages, "outages", false, "draw losses of power of the whole site, with --drawn")
	c.Flags().BoolVar(&o.forget, "forget", false, "leave [recovery] out, to compare")
	c.Flags().BoolVar(&o.off, "off", false, "leave [fleet] out, to compare")
	return c
}

// story returns what a seed's story is, from a file or drawn. The seed becomes the file's own where none is given.
func (o *labOptions) story(args []string) (func(seed uint64) *story.Story, error) {
	if o.drawn {
		if len(args) > 0 {
			return nil, errors.New("--drawn draws the stories; give no file with it")
		}
		const members, length, period = 12, time.Minute, 300 * time.Millisecond
		n, l := cmp.Or(o.members, members), cmp.Or(o.length, length)
		o.seed = cmp.Or(o.seed, 1)
		if o.outages {
			n, l := cmp.Or(o.members, 5), cmp.Or(o.length, 24*time.Second)
			if err := story.Outage(o.seed, n, l).Validate(); err != nil {
				return nil, err
			}
			return func(seed uint64) *story.Story {
				s := story.Outage(seed, n, l)
				s.Recover = !o.forget
				return s
			}, nil
		}
		if o.keepers > 0 {
			if err := story.Unruly(o.seed, n, o.keepers, l).Validate(); err != nil {
				return nil, err
			}
			return func(seed uint64) *story.Story {
				s := story.Unruly(seed, n, o.keepers, l)
				s.Load = loadOfRules
				return s
			}, nil
		}
		if err := story.Drawn(o.seed, n, period, l).Validate(); err != nil {
			return nil, err
		}
		return func(seed uint64) *story.Story { return story.Drawn(seed, n, period, l) }, nil
	}
	if len(args) == 0 {
		return nil, errors.New("no story: name a file such as docs/stories/kills.toml, or give --drawn")
	}
	text, err := config.ReadFile(args[0])
	if err != nil {
		return nil, readable(args[0], err)
	}
	s, err := story.Read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", args[0], err)
	}
	s.Members = cmp.Or(o.members, s.Members)
	s.Length = cmp.Or(story.Duration(o.length), s.Length)
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", args[0], err)
	}
	o.seed = cmp.Or(o.seed, s.Seed)
	return func(seed uint64) *story.Story {
		one := *s
		one.Seed = seed
		one.Recover = one.Recover && !o.forget
		return &one
	}, nil
}

// trial plays many.
func (e *env) trial(ctx context.Context, s func(uint64) *story.Story, o labOptions) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	c := trial.Config{
		Story: s, First: o.seed, Runs: o.runs, Jobs: o.jobs, Model: o.model, Without: o.without, Program: rig.Program{Path: self}, Off: o.off, Folder: o.folder,
	}
	if e.format == "text" {
		c.Told = func(done int, r *trial.Run) {
			if !r.Kept() || !o.model {
				fmt.Fprintf(e.out, "%d of %d: seed %d, false deaths %d, wrong %d, rules %q\n", done, o.runs, r.Story.Seed, r.False, len(r.Wrong), r.Rules)
			}
		}
	}
	sum, err := trial.Play(ctx, c)
	if err != nil {
		return err
	}
	if e.format == "json" {
		if err := json.NewEncoder(e.out).Encode(sum); err != nil {
			return err
		}
	} else {
		fmt.Fprint(e.out, sum.Text(time.Duration(s(o.seed).Period)))
	}
	if !sum.Kept() {
		return answerNo{errors.New("something came that must not")}
	}
	return nil
}

func (e *env) lab(ctx context.Context, s *story.Story, o labOptions) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if o.folder == "" {
		if o.folder, err = os.MkdirTemp("", "brasswell-lab-"); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		defer os.RemoveAll(o.folder)
	}
	c := rig.Config{Story: s, Program: rig.Program{Path: self}, Folder: o.folder, Off: o.off}
	if e.format == "text" {
		fmt.Fprintf(e.out, "%s: %d proxies, seed %d, %v. %s\n", s.Name, s.Members, s.Seed, time.Duration(s.Length), s.About)
		c.Told = func(one rig.Sample) { e.printSample(s, one) }
	}
	r, err := rig.New(c)
	if err != nil {
		return err
	}
	defer r.Close()
	if err := r.Start(ctx); err != nil {
		return err
	}
	result, err := r.Play(ctx)
	if err != nil {
		return err
	}
	if o.svg != "" {
		if err := writeTo(o.svg, func(f *os.File) error {
			return plot.Write(f, fmt.Sprintf("%s, seed %d", s.Name, s.Seed), result.Samples)
		}); err != nil {
			return err
		}
	}
	if o.history != "" {
		if err := writeTo(o.history, func(f *os.File) error {
			for _, one := range result.Events {
				if err := json.NewEncoder(f).Encode(one); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
	}
	if e.format == "json" {
		if err := json.NewEncoder(e.out).Encode(result); err != nil {
			return err
		}
	} else {
		e.printResult(s, result)
	}
	switch {
	case ctx.Err() != nil:
		return answerNo{errors.New("ended early")}
	case !result.Verdict.Kept():
		return answerNo{errors.New(result.Verdict.Explain(s, result.Events))}
	case !result.Rules.Kept():
		return answerNo{fmt.Errorf("seed %d: a rule broke", s.Seed)}
	}
	return nil
}

// writeTo writes a file whole, and says so if it could not.
func writeTo(path string, write func(*os.File) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// printSample prints one second: what was served, and how many members each living proxy sees.
func (e *env) printSample(s *story.Story, one rig.Sample) {
	var views []string
	for _, n := range s.Names() {
		text := "-"
		if v, up := one.Views[n]; up {
			text = fmt.Sprint(v)
		}
		views = append(views, fmt.Sprintf("%2s", text))
	}
	fmt.Fprintf(e.out, "%4d s  served %5d  refused %4d  failed %4d  views %s\n", one.At, one.Served, one.Refused, one.Failed, strings.Join(views, " "))
}

func (e *env) printResult(s *story.Story, r *rig.Result) {
	fmt.Fprintf(e.out, "\n%-10s %-6s %8s %12s\n", "after", "", "at", "views right")
	for _, one := range r.Verdict.Settled {
		part, took := "begins", "not before the next"
		if one.End {
			part = "ends"
		}
		if one.Took >= 0 {
			took = fmt.Sprintf("%.2f s (%.1f periods)", one.Took.Seconds(), float64(one.Took)/float64(s.Period))
		}
		fmt.Fprintf(e.out, "%-10s %-6s %6.1f s %s\n", one.Do, part, one.At.Seconds(), took)
	}
	v := &r.Verdict
	fmt.Fprintf(e.out, "changes of views %d, false deaths %d, wrong at the end %d\n", v.Changes, len(v.False), len(v.Wrong))
	fmt.Fprintf(e.out, "requests %d: served %d, refused %d, failed %d, unanswered %d; rules broken %v\n", r.Rules.Asked, r.Rules.Served,
		r.Rules.Refused, r.Rules.Failed, r.Rules.Unanswered, r.Rules.Broken)
	if r.Rules.Asked > 0 {
		fmt.Fprintf(e.out, "processor time %.0f us a request; a cold backend took %.0f%% of its budget at most\n",
			float64(r.CPU.Microseconds())/float64(r.Rules.Asked), 100*r.Rules.ColdMost)
	}
	for _, c := range r.Rules.Cases {
		fmt.Fprintf(e.out, "  %v %s: %s\n", c.At, c.Rule, c.Text)
	}
	for _, h := range r.HeldUp {
		fmt.Fprintln(e.out, h)
	}
	fmt.Fprintf(e.out, "%d entries in the history\n", len(r.Events)) // those about members are the changes of views
}
