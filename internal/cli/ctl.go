package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"brasswell/internal/cluster"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/recovery"
	"brasswell/internal/status"
)

// ctlTime bounds a call to a console, which owes its answer within 1 s.
const ctlTime = 2 * time.Second

// maxAnswer bounds what is read of a console's answer.
const maxAnswer = 4 << 20

func (e *env) ctlVerb() *cobra.Command {
	var console string
	c := &cobra.Command{
		Use:   "ctl",
		Short: "Ask a running proxy, and take backends out or put them back by hand",
		Long: "Calls the console of a running proxy (RELAY_CONSOLE, or --console). Exits with 1 if the proxy says no, and 2 if\n" +
			"there is no answer.",
		Example: "  brasswell ctl ready --console 127.0.0.1:9800\n  brasswell ctl suspend node-03 --console 127.0.0.1:9800",
		Args:    cobra.NoArgs,
	}
	c.PersistentFlags().StringVar(&console, "console", "", "the console's address; RELAY_CONSOLE if it is not given")
	verb := func(use, short string, args int, method string, path func(args []string) string, show func(text string) any, people ...func(text string) (string, error)) {
		c.AddCommand(&cobra.Command{
			Use: use, Short: short, Args: cobra.ExactArgs(args),
			Example: "  brasswell ctl " + strings.Replace(use, "ID", "node-03", 1) + " --console 127.0.0.1:9800",
			RunE: func(c *cobra.Command, args []string) error {
				if err := oneOf("format", e.format, "text", "json"); err != nil {
					return err
				}
				return e.ctl(c.Context(), console, method, path(args), show, people)
			},
		})
	}
	backend := func(act string) func([]string) string {
		return func(args []string) string { return "/v1/backends/" + url.PathEscape(args[0]) + "/" + act }
	}
	said := func(text string) any { return map[string]string{"answer": strings.TrimSpace(text)} }
	verb("ready", "Whether it takes clients", 0, http.MethodGet, func([]string) string { return "/v1/readyz" }, said)
	verb("figures", "The figures: requests by outcome and class, what is open, what is avoided", 0, http.MethodGet,
		func([]string) string { return "/v1/metrics" }, readFigures)
	verb("status", "How it stands: who is avoided, why and since when, the limit, what is open", 0, http.MethodGet,
		func([]string) string { return "/v1/status" }, raw, func(text string) (string, error) {
			s, err := status.Parse(text)
			if err != nil {
				return "", err
			}
			return s.Text(), nil
		})
	verb("fleet", "Who else of the fleet is there, as this proxy sees it, and what an operator has to mend", 0, http.MethodGet,
		func([]string) string { return "/v1/fleet" }, raw, func(text string) (string, error) {
			r, err := cluster.ReadReport(text)
			if err != nil {
				return "", err
			}
			return r.Text(), nil
		})
	verb("recovery", "How it has come back after its start: what it waits for, what it lets in, what it trusted", 0, http.MethodGet,
		func([]string) string { return "/v1/recovery" }, raw, func(text string) (string, error) {
			r, err := recovery.ReadReport(text)
			if err != nil {
				return "", err
			}
			return r.Text(), nil
		})
	verb("suspend ID", "Take a backend out: nothing new goes there until it is put back", 1, http.MethodPost, backend("suspend"), said)
	verb("resume ID", "Put a backend back; it is eased in like one that has just started", 1, http.MethodPost, backend("resume"), said)
	e.everywhere(c, &console)
	c.AddCommand(e.rulesVerb(&console))
	return c
}

// everywhere adds to the verbs on backends a flag by which all proxies of the fleet do the same.
func (e *env) everywhere(ctl *cobra.Command, console *string) {
	for name, kind := range map[string]rules.Kind{"suspend": rules.Suspend, "resume": rules.Resume} {
		one, _, err := ctl.Find([]string{name})
		if err != nil {
			continue
		}
		r := &rulesCall{env: e, console: console}
		var all bool
		one.Flags().BoolVar(&all, "everywhere", false, "at all proxies of the fleet ([rules]): the yes comes once it is in force")
		one.Flags().StringVar(&r.why, "why", "", "the reason, with --everywhere")
		one.Flags().DurationVar(&r.within, "within", waitFor, "how long to wait until it is in force, with --everywhere")
		here := one.RunE
		one.RunE = func(c *cobra.Command, args []string) error {
			if !all {
				return here(c, args)
			}
			return r.propose(c.Context(), rules.Change{Kind: kind, Server: args[0]})
		}
	}
}

// raw shows an answer that is JSON as it is.
func raw(text string) any { return json.RawMessage(text) }

// ctl makes one call and prints its answer: to programs by show, to people as it is or as people would have it.
func (e *env) ctl(ctx context.Context, console, method, path string, show func(string) any, people []func(string) (string, error)) error {
	_, text, err := e.call(ctx, console, method, path, nil)
	if err != nil {
		return err
	}
	if e.format == "json" {
		return json.NewEncoder(e.out).Encode(show(text))
	}
	for _, as := range people {
		said, err := as(text)
		if err != nil {
			return fmt.Errorf("no sound answer from the console: %w", err)
		}
		text = said
	}
	fmt.Fprintln(e.out, strings.TrimSpace(text))
	return nil
}

// readFigures makes a map of figures in statsd's form; lines that have another one are left out.
func readFigures(text string) any {
	figures := map[string]int64{}
	for s := bufio.NewScanner(strings.NewReader(text)); s.Scan(); {
		name, rest, _ := strings.Cut(s.Text(), ":")
		value, _, _ := strings.Cut(rest, "|")
		if n, err := strconv.ParseInt(value, 10, 64); err == nil {
			figures[name] = n
		}
	}
	return figures
}
