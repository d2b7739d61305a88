package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"brasswell/internal/clock"
	"brasswell/internal/config"
	"brasswell/internal/state"
)

// stateFile is the form in which state is exported and imported.
type stateFile struct {
	Name    string         `json:"name"`
	Bans    []string       `json:"bans"`
	Learned *state.Learned `json:"learned,omitempty"`
}

func (e *env) stateVerb() *cobra.Command {
	var name string
	c := &cobra.Command{
		Use:   "state",
		Short: "Look at a proxy's folder of [recovery], or carry it elsewhere; the proxy must not run",
		Long: "Works on the folder of a proxy that does not run. What a look finds broken is put aside, as a start would.\n" +
			"--name is the proxy's (RELAY_NAME), since a folder is one proxy's own.",
		Example: "  brasswell state show /var/lib/brasswell --name n1\n  brasswell state export /var/lib/brasswell --name n1 > n1.json",
		Args:    cobra.NoArgs,
	}
	c.PersistentFlags().StringVar(&name, "name", "", "the proxy's name; RELAY_NAME if it is not given")
	verb := func(use, short string, args int, run func(s *state.Store, f *state.Contents, args []string) error) {
		c.AddCommand(&cobra.Command{
			Use: use, Short: short, Args: cobra.ExactArgs(args),
			RunE: func(_ *cobra.Command, args []string) error {
				if name == "" {
					name = e.getenv("RELAY_NAME")
				}
				if name == "" {
					return errors.New("no proxy's name: set RELAY_NAME, or --name NAME")
				}
				if _, err := os.Stat(args[0]); err != nil {
					return err // it is not made here
				}
				folder, err := state.OpenFolder(args[0])
				if err != nil {
					return err
				}
				defer folder.Close()
				s, found := state.Open(folder, name)
				defer s.Close()
				return run(s, found, args)
			},
		})
	}
	verb("show FOLDER", "What the folder holds", 1, func(_ *state.Store, f *state.Contents, _ []string) error {
		if e.format == "json" {
			return json.NewEncoder(e.out).Encode(stateFile{name, f.Bans, f.Learned})
		}
		fmt.Fprint(e.out, stateText(f))
		return nil
	})
	verb("verify FOLDER", "Whether all in the folder is whole; exits with 1 if not", 1, func(_ *state.Store, f *state.Contents, _ []string) error {
		if len(f.Problems) > 0 {
			return answerNo{errors.New(strings.Join(f.Problems, "\n"))}
		}
		fmt.Fprintln(e.out, "whole")
		return nil
	})
	verb("export FOLDER", "Write what the folder holds as JSON", 1, func(_ *state.Store, f *state.Contents, _ []string) error {
		out := json.NewEncoder(e.out)
		out.SetIndent("", "  ")
		return out.Encode(stateFile{name, f.Bans, f.Learned})
	})
	verb("import FOLDER FILE", "Take what was exported into the folder, in place of what it holds", 2, func(s *state.Store, f *state.Contents, args []string) error {
		text, err := config.ReadFile(args[1])
		if err != nil {
			return readable(args[1], err)
		}
		var file stateFile
		if err := json.Unmarshal(text, &file); err != nil {
			return fmt.Errorf("%s: %w", args[1], err)
		}
		if len(file.Bans) > state.MaxBans {
			return fmt.Errorf("%s: %d bans; %d at most", args[1], len(file.Bans), state.MaxBans)
		}
		for _, id := range f.Bans {
			if !slices.Contains(file.Bans, id) {
				if err := s.Ban(id, false); err != nil {
					return err
				}
			}
		}
		for _, id := range file.Bans {
			if err := s.Ban(id, true); err != nil {
				return err
			}
		}
		if file.Learned != nil {
			if err := s.Save(file.Learned); err != nil {
				return err
			}
		}
		fmt.Fprintf(e.out, "%d bans, and what was learned of %d backends\n", len(file.Bans), learnedOf(file.Learned))
		return nil
	})
	return c
}

func learnedOf(l *state.Learned) int {
	if l == nil {
		return 0
	}
	return len(l.Knowledge.Balancer.Servers)
}

// stateText is what a folder holds, for people.
func stateText(f *state.Contents) string {
	var b strings.Builder
	for _, t := range f.Problems {
		fmt.Fprintf(&b, "TROUBLE: %s\n", t)
	}
	fmt.Fprintf(&b, "%d backends out by hand: %s\n", len(f.Bans), strings.Join(f.Bans, ", "))
	l := f.Learned
	if l == nil {
		b.WriteString("nothing learned\n")
		return b.String()
	}
	age := state.AgeOf(l.Written, state.Now())
	fmt.Fprintf(&b, "learned of %d backends, written %s by its clock", learnedOf(l), clock.FromWall(l.Written.Wall).Format(time.DateTime))
	switch {
	case age.Min == age.Max:
		fmt.Fprintf(&b, ", %v ago\n", age.Max.Round(time.Second))
	case age.Max == state.UnknownAge:
		fmt.Fprintf(&b, "; no clock says when that was, at least %v ago\n", age.Min.Round(time.Second))
	default:
		fmt.Fprintf(&b, ", %v to %v ago\n", age.Min.Round(time.Second), age.Max.Round(time.Second))
	}
	return b.String()
}
