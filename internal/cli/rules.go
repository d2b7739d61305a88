package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"brasswell/internal/cluster/agreement"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/config"
	"brasswell/internal/strict"
)

const (
	// waitFor bounds how long a change is waited for by default.
	waitFor = 10 * time.Second
	// askEvery is between two looks at whether a version is in force.
	askEvery = 50 * time.Millisecond
)

// rulesFile is what `ctl rules propose` reads: the settings that are agreed on, whole.
type rulesFile struct {
	Quota  float64              `toml:"quota"`
	Class  map[string]rulesRule `toml:"class"`
	Number map[string]int       `toml:"number"`
}

type rulesRule struct {
	NoRepeat bool `toml:"no_repeat"`
	Closed   bool `toml:"closed"`
}

// readRules reads settings from TOML; an error names the place.
func readRules(text []byte) (*rules.Settings, error) {
	var f rulesFile
	if err := strict.TOML(text, &f, "quota, class.NAME.no_repeat, class.NAME.closed and number.NAME"); err != nil {
		return nil, err
	}
	s := &rules.Settings{Quota: f.Quota, Numbers: f.Number}
	for name, c := range f.Class {
		if s.Classes == nil {
			s.Classes = map[string]rules.Class{}
		}
		s.Classes[name] = rules.Class{NoRepeat: c.NoRepeat, Closed: c.Closed}
	}
	return s, s.Validate()
}

// rulesCall is what the verbs about rules share.
type rulesCall struct {
	*env
	console *string
	why     string
	within  time.Duration
	noWait  bool
}

func (e *env) rulesVerb(console *string) *cobra.Command {
	r := &rulesCall{env: e, console: console}
	c := &cobra.Command{
		Use:   "rules",
		Short: "What the proxies agree on: which version is in force, who is late, and changes to it",
		Long: "Asks a proxy's console. Any proxy of the fleet will do; the leader, which each names, knows best who is late.\n" +
			"A change is on its way once it is agreed, and in force once every proxy acts on it or has no lease any more.",
		Example: "  brasswell ctl rules --console 127.0.0.1:9800\n  brasswell ctl rules propose settings.toml --why \"holds ran twice\"",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return r.show(c.Context(), func(got *agreement.Report) (string, error) { return got.Text(), nil })
		},
	}
	changes := func(one *cobra.Command) {
		one.Flags().StringVar(&r.why, "why", "", "the reason, which is kept with the version")
		one.Flags().DurationVar(&r.within, "within", waitFor, "how long to wait until it is in force")
		one.Flags().BoolVar(&r.noWait, "no-wait", false, "do not wait until it is in force")
		c.AddCommand(one)
	}
	changes(&cobra.Command{
		Use: "propose FILE", Short: "Have the settings of a file agreed, in place of those before", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := config.ReadFile(args[0])
			if err != nil {
				return readable(args[0], err)
			}
			s, err := readRules(text)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return r.propose(c.Context(), rules.Change{Kind: rules.Configure, Settings: s})
		},
	})
	changes(&cobra.Command{
		Use: "back VERSION", Short: "Have an earlier version agreed again", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			n, err := version(args[0])
			if err != nil {
				return err
			}
			return r.propose(c.Context(), rules.Change{Kind: rules.Rollback, ToVersion: n})
		},
	})
	changes(&cobra.Command{
		Use: "drop [ID ...]", Short: "Let lists leave backends out: those named, or all that the asked proxy holds back",
		Long: "A list that leaves out many backends at once is held back, and they are gone on with. This accepts it at every proxy; it\n" +
			"replaces what was accepted before. A backend that a list names again is used again, whatever stands here.",
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				got, err := r.report(c.Context())
				if err != nil {
					return err
				}
				if args = got.HeldBackends; len(args) == 0 {
					return fmt.Errorf("%s holds nothing back; name the backends, or ask a proxy whose `ctl rules` shows some", got.Name)
				}
			}
			return r.propose(c.Context(), rules.Change{Kind: rules.AllowDrop, Servers: args})
		},
	})
	wait := &cobra.Command{
		Use: "wait VERSION", Short: "Wait until a version is in force at this proxy", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			n, err := version(args[0])
			if err != nil {
				return err
			}
			return r.wait(c.Context(), n)
		},
	}
	wait.Flags().DurationVar(&r.within, "within", waitFor, "how long to wait")
	c.AddCommand(wait)
	var sure bool
	refound := &cobra.Command{
		Use: "refound", Short: "Have this keeper go on alone: a majority of keepers is lost for good", Args: cobra.NoArgs,
		Long: "For a day on which a majority of the keepers' folders is gone and will not come back. What those had agreed on without this\n" +
			"keeper is lost; what it had heard of and they had not agreed on stands. Ask the keeper whose `ctl rules` shows the newest\n" +
			"version, and end every other keeper first: one that lives, and hears of it late, grants leases on the old rules until then.",
		RunE: func(c *cobra.Command, _ []string) error {
			if !sure {
				return errors.New("read `brasswell ctl rules refound --help`, and then say --the-others-are-gone")
			}
			_, text, err := r.call(c.Context(), *r.console, http.MethodPost, "/v1/rules/refound", nil)
			if err != nil {
				return err
			}
			return r.say(map[string]string{"answer": strings.TrimSpace(text)}, strings.TrimSpace(text))
		},
	}
	refound.Flags().BoolVar(&sure, "the-others-are-gone", false, "the other keepers are gone for good")
	c.AddCommand(refound)
	c.AddCommand(&cobra.Command{
		Use: "history", Short: "The versions that are kept, with who and why (ask a keeper)", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return r.show(c.Context(), func(got *agreement.Report) (string, error) {
				if len(got.History) == 0 {
					return "", errors.New("this proxy is no keeper and has no history; ask one of the keepers")
				}
				var b strings.Builder
				for _, v := range got.History {
					fmt.Fprintln(&b, agreement.FormatVersion(v))
				}
				return b.String(), nil
			})
		},
	})
	c.AddCommand(&cobra.Command{
		Use: "diff A B", Short: "What is different between two versions (ask a keeper)", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return r.show(c.Context(), func(got *agreement.Report) (string, error) { return diff(got, args[0], args[1]) })
		},
	})
	return c
}

// diff says what is different between two versions that a keeper has kept.
func diff(got *agreement.Report, a, b string) (string, error) {
	var docs [2]*rules.Document
	for i, text := range []string{a, b} {
		n, err := version(text)
		if err != nil {
			return "", err
		}
		for j := range got.History {
			if got.History[j].Number == n {
				docs[i] = &got.History[j].Doc
			}
		}
		if docs[i] == nil {
			return "", fmt.Errorf("version %d is not kept here; look at `brasswell ctl rules history` at a keeper", n)
		}
	}
	lines := rules.Diff(docs[0], docs[1])
	if len(lines) == 0 {
		return "no difference", nil
	}
	return strings.Join(lines, "\n"), nil
}

func version(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("%q is no version; write a number such as 7", text)
	}
	return n, nil
}

// show asks for a report and prints it: to programs as it came.
func (r *rulesCall) show(ctx context.Context, people func(*agreement.Report) (string, error)) error {
	return r.ctl(ctx, *r.console, http.MethodGet, "/v1/rules", raw, []func(string) (string, error){func(text string) (string, error) {
		got, err := agreement.ReadReport(text)
		if err != nil {
			return "", err
		}
		return people(got)
	}})
}

// report asks for a report.
func (r *rulesCall) report(ctx context.Context) (*agreement.Report, error) {
	_, text, err := r.call(ctx, *r.console, http.MethodGet, "/v1/rules", nil)
	if err != nil {
		return nil, err
	}
	return agreement.ReadReport(text)
}

// propose has a change agreed, and waits until it is in force. It asks again with the same id where no answer comes: that is the
// same change.
func (r *rulesCall) propose(ctx context.Context, c rules.Change) error {
	c.ID, c.Why = agreement.NewID(), r.why
	if who, err := user.Current(); err == nil {
		c.Who = who.Username
		if host, err := os.Hostname(); err == nil {
			c.Who += "@" + host
		}
	}
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	var answer rules.Answer
	for end := time.Now().Add(r.within); ; {
		code, said, err := r.call(ctx, *r.console, http.MethodPost, "/v1/rules", text)
		if err == nil {
			if err := json.Unmarshal([]byte(said), &answer); err != nil {
				return fmt.Errorf("no sound answer from the console: %w", err)
			}
			break
		}
		if code != http.StatusGatewayTimeout || time.Now().After(end) {
			return err
		}
	}
	if r.noWait {
		return r.say(map[string]any{"version": answer.Version, "in_force": false}, fmt.Sprintf("version %d is on its way", answer.Version))
	}
	return r.wait(ctx, answer.Version)
}

// wait waits until a version is in force at the proxy that is asked.
func (r *rulesCall) wait(ctx context.Context, n uint64) error {
	for end := time.Now().Add(r.within); ; {
		got, err := r.report(ctx)
		if err != nil {
			return err
		}
		if got.Version >= n {
			return r.say(map[string]any{"version": n, "in_force": true},
				fmt.Sprintf("version %d is in force: every proxy with a lease acts on it. One without a lease may not know of it: look at `ctl rules` at the leader, %s", n, got.Leader))
		}
		if time.Now().After(end) {
			return answerNo{fmt.Errorf("version %d is not in force at %s after %v (%d is): a proxy is late, or no majority of keepers is there; look at `brasswell ctl rules`", n, got.Name, r.within, got.Version)}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(askEvery):
		}
	}
}

// say prints an answer, to programs or to people.
func (r *rulesCall) say(programs any, people string) error {
	if r.format == "json" {
		return json.NewEncoder(r.out).Encode(programs)
	}
	fmt.Fprintln(r.out, people)
	return nil
}

// call makes one call of a console, and returns its code and its answer. An answer that is no yes is an error.
func (e *env) call(ctx context.Context, console, method, path string, body []byte) (int, string, error) {
	if console == "" {
		console = e.getenv("RELAY_CONSOLE")
	}
	if console == "" {
		return 0, "", errors.New("no console: set RELAY_CONSOLE, or --console ADDRESS")
	}
	ctx, cancel := context.WithTimeout(ctx, ctlTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+console+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", fmt.Errorf("--console %s: %w", console, err)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", fmt.Errorf("no answer from the console: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, "", fmt.Errorf("no whole answer from the console: %w", err)
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return resp.StatusCode, "", answerNo{fmt.Errorf("the proxy says no (%d): %s", resp.StatusCode, strings.TrimSpace(string(text)))}
	}
	return resp.StatusCode, string(text), nil
}
