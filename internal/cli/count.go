package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"brasswell/internal/count"
)

func (e *env) countVerb() *cobra.Command {
	return &cobra.Command{
		Use:   "count FILE-OR-FOLDER...",
		Short: "Add up what many proxies did together, from their logs at level debug",
		Long: "Reads the logs of any number of proxies, which must have been written with level = \"debug\" in [log] and with\n" +
			"per_second and burst high enough to drop nothing, and adds up, by second, backend and version of the server\n" +
			"list, what all of them did.",
		Example: "  brasswell count logs/",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := oneOf("format", e.format, "text", "json"); err != nil {
				return err
			}
			return e.count(args)
		},
	}
}

func (e *env) count(args []string) error {
	var fleet count.Aggregator
	skipped, files := 0, 0
	for _, arg := range args {
		paths := []string{arg}
		if info, err := os.Stat(arg); err != nil {
			return fmt.Errorf("logs: %w", err)
		} else if info.IsDir() {
			paths, _ = filepath.Glob(filepath.Join(arg, "*.log")) // the pattern is sound
		}
		for _, path := range paths {
			f, err := os.Open(path)
			if err != nil {
				return fmt.Errorf("logs: %w", err)
			}
			n, err := count.Read(f, fleet.Add)
			f.Close()
			if err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			skipped += n
			files++
		}
	}
	r := fleet.Report()
	if r.Proxies == 0 {
		return fmt.Errorf("nothing to count in %d files: the proxies must log with level = \"debug\" in [log]", files)
	}
	if e.format == "json" {
		return json.NewEncoder(e.out).Encode(r)
	}
	e.writeCount(r, skipped)
	return nil
}

func (e *env) writeCount(r count.Report, skipped int) {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%d proxies, %d backends, %d lines skipped, %d make no sense\n\n", r.Proxies, len(r.Backends), skipped, r.Malformed)
	fmt.Fprintln(w, "second\tcalls\tbroken\tfirst\tagain\trefused\tfailed\tuneven\t  ended as")
	for _, s := range r.Seconds {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t  %s\n", s.At, s.Calls, s.FailedCalls, s.First, s.Retries, s.Refused, s.Failed, s.MaxOverMean, outcomes(s))
	}
	fmt.Fprintln(w, "\nbackend\tproxies\tattempts\tserved\tmost in 1 s\tlost at\tlast such send\t")
	for _, b := range r.Backends {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", b.ID, b.Proxies, b.Attempts, b.Served, b.MaxPerSecond, when(b.FirstUnreachable), when(b.LastUnreachable))
	}
	fmt.Fprintln(w, "\nversion\tproxies that have it\tfirst\tlast\t")
	for _, n := range r.ListUpdates {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t\n", n.Seq, n.Proxies, when(n.First), when(n.Last))
	}
	w.Flush()
}

// outcomes are a second's, in the order of their names.
func outcomes(s count.Second) string {
	var all []string
	for name, n := range s.Outcomes {
		all = append(all, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

func when(seconds float64) string {
	if seconds < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", seconds)
}
