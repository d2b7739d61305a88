package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/scale"
	"brasswell/internal/rig/scale/result"
)

func (e *env) scaleVerb() *cobra.Command {
	o := scale.DefaultConfig()
	var out, event string
	var names []string
	for _, one := range scale.Events() {
		names = append(names, string(one))
	}
	c := &cobra.Command{
		Use:   "scale",
		Short: "Run a fleet of many members on loopback, and measure how its view and its rules scale",
		Long: "Starts members without the path of requests, many to a process of this program, and five voters in processes of their\n" +
			"own, over regions and zones that are as far apart as --rtt says. Once all are there and a document is agreed, something\n" +
			"happens (--event), and how long what takes and what it costs is written down.\n" +
			"One member has a process to itself, which shows what a process costs without its members.\n\n" +
			"It uses less than half of the machine's memory and fewer than 200 processes, and stops with a message otherwise.",
		Example: "  brasswell scale --members 60 --event change --length 20s\n" +
			"  brasswell scale --members 400 --regions 3 --zones 11 --rtt 80ms --event machine --format json --out run.json",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := oneOf("format", e.format, "text", "json"); err != nil {
				return err
			}
			o.Event = scale.Event(event)
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return e.scale(ctx, o, out)
		},
	}
	f := c.Flags()
	f.IntVar(&o.Members, "members", o.Members, "how many members in all, voters and real proxies among them")
	f.IntVar(&o.Real, "real", o.Real, "how many of them are processes of the whole program under load, all in the first region")
	f.IntVar(&o.Regions, "regions", o.Regions, "how many regions")
	f.IntVar(&o.Zones, "zones", o.Zones, "how many zones, over all regions in turn")
	f.DurationVar(&o.RTT, "rtt", o.RTT, "round trip between regions")
	f.StringVar(&event, "event", string(o.Event), "what happens: "+strings.Join(names, ", "))
	f.DurationVar(&o.Length, "length", o.Length, "of the measured part")
	f.DurationVar(&o.Lease, "lease", 0, "of the rules; 1s by default up to a round trip of 20ms, and 3s above")
	f.DurationVar(&o.Period, "period", o.Period, "of the view")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "of what is drawn")
	f.IntVar(&o.Bans, "bans", o.Bans, "how many backends are out in the document")
	f.IntVar(&o.Classes, "classes", o.Classes, "how many classes have settings in the document")
	f.BoolVar(&o.Numbers, "numbers", o.Numbers, "have the leader deal out the members' own numbers")
	f.IntVar(&o.Base, "base", 0, "second byte of the first zone's addresses in 127.0.0.0/8; 0 for one that is free")
	f.StringVar(&o.Folder, "folder", "", "where the voters' folders are made, to be removed at the end; the system's temporary folder by default")
	f.StringVar(&out, "out", "", "a file for the result as JSON, beside what is printed")
	c.AddCommand(e.scaleFitVerb(), e.scaleCallsVerb())
	return c
}

func (e *env) scaleHostVerb() *cobra.Command {
	return &cobra.Command{
		Use:     scale.HostVerb,
		Short:   "Run members of a scale run, as `brasswell scale` asks on stdin",
		Example: "  echo '{\"id\":1,\"sample\":{}}' | brasswell scale-host",
		Hidden:  true,
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return hollow.Serve(os.Stdin, e.out) },
	}
}

// scale does one run, and prints and writes what it has measured.
func (e *env) scale(ctx context.Context, c scale.Config, out string) error {
	var err error
	if c.Program, err = os.Executable(); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	c.Progress = e.errOut
	file, err := openOut(out)
	if err != nil {
		return fmt.Errorf("scale: --out: %w", err)
	}
	defer file.discard()
	run, err := scale.Run(ctx, c)
	if run == nil {
		return err
	}
	if writeErr := file.write(run); writeErr != nil {
		return fmt.Errorf("scale: --out: %w", writeErr)
	}
	if e.format == "json" {
		if writeErr := run.Write(e.out); writeErr != nil {
			return writeErr
		}
	} else {
		fmt.Fprint(e.out, run.Text())
	}
	switch {
	case err != nil:
		return answerNo{err}
	case run.Interrupted:
		return answerNo{errors.New("interrupted")}
	}
	return nil
}

// outFile is a file that is there whole or not at all. The zero value is none.
type outFile struct {
	path string
	next *os.File
}

// openOut makes sure that a file can be written, before anything is measured.
func openOut(path string) (*outFile, error) {
	if path == "" {
		return &outFile{}, nil
	}
	next, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return nil, err
	}
	return &outFile{path: path, next: next}, nil
}

// write writes a run to it.
func (f *outFile) write(run *result.Run) error {
	if f.next == nil {
		return nil
	}
	if err := run.Write(f.next); err != nil {
		return err
	}
	if err := f.next.Close(); err != nil {
		return err
	}
	return os.Rename(f.next.Name(), f.path)
}

// discard removes what was not written whole.
func (f *outFile) discard() {
	if f.next != nil {
		f.next.Close()
		os.Remove(f.next.Name())
	}
}
