package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"brasswell/internal/demo"
)

func (e *env) demoVerb() *cobra.Command {
	o := demo.Options{}
	c := &cobra.Command{
		Use:   "demo",
		Short: "Show the proxy before a fleet of stand-ins on this machine",
		Long: "Starts stand-in nodes, discovery and the proxy on free loopback ports, and drives callers through a short\n" +
			"story: a slow node, a dead node that comes back cold, a drain and a surge. At the end it says what the callers\n" +
			"got, and whether the four rules held. Exits with 1 if one broke. Ctrl-C ends it early.",
		Example: "  brasswell demo\n  brasswell demo --for 10s --seed 7 --format json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := oneOf("format", e.format, "text", "json"); err != nil {
				return err
			}
			if o.For < demo.Shortest || o.For > demo.Longest {
				return fmt.Errorf("--for %v: allowed is %v to %v", o.For, demo.Shortest, demo.Longest)
			}
			if e.format == "text" {
				o.Out, o.Live = e.out, isTerminal(e.out)
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			s, err := demo.Run(ctx, o)
			if err != nil {
				return err
			}
			if e.format == "json" {
				if err := json.NewEncoder(e.out).Encode(s); err != nil {
					return err
				}
			} else {
				s.Print(e.out)
			}
			if !s.Kept {
				return answerNo{errors.New("a rule broke")}
			}
			return nil
		},
	}
	c.Flags().DurationVar(&o.For, "for", 20*time.Second, "how long the story takes")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of what is random: arrivals, classes and faults")
	c.Flags().StringVar(&o.Listen, "listen", "", "where the proxy listens; a free loopback port by default")
	return c
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && isatty.IsTerminal(f.Fd()) && os.Getenv("TERM") != "dumb"
}
