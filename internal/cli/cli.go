// Package cli is the program's command line.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes of every verb.
const (
	exitFine     = 0
	exitNo       = 1 // the answer is no: findings, a broken rule, a proxy that ended for a fault
	exitNotAsked = 2 // it could not be asked: wrong words, a file that cannot be read
)

// answerNo is the error of a question that was asked and answered with no; what there is to say has been said.
type answerNo struct{ error }

// env is what a verb may use of its surroundings.
type env struct {
	getenv      func(string) string
	out, errOut io.Writer
	format      string
}

// Main runs one command line and returns the exit code. Output for people goes to out by default, and as one JSON
// object a line with --format json.
func Main(ctx context.Context, args []string, getenv func(string) string, out, errOut io.Writer) int {
	e := &env{getenv: getenv, out: out, errOut: errOut}
	var err error
	if len(args) == 0 && getenv("RELAY_CONFIG") != "" {
		// The platform's start. A proxy needs no verbs, and their description is memory.
		err = e.run(ctx, "")
	} else {
		root := e.root()
		root.SetArgs(args)
		root.SetOut(out)
		root.SetErr(errOut)
		err = root.ExecuteContext(ctx)
	}
	switch {
	case err == nil:
		return exitFine
	case errors.As(err, new(answerNo)):
		if text := err.Error(); text != "" {
			fmt.Fprintln(errOut, "brasswell:", text)
		}
		return exitNo
	default:
		fmt.Fprintln(errOut, "brasswell:", err)
		return exitNotAsked
	}
}

func (e *env) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "brasswell",
		Short: "A proxy that balances requests before one tier of a service",
		Long: "A proxy that balances requests before one tier of a service.\n\n" +
			"With no verb it runs as the platform starts it, if RELAY_CONFIG is set. Every verb exits with 0 when all is\n" +
			"fine, 1 when the answer is no, and 2 when it could not be asked.",
		Example: "  brasswell demo            # a whole fleet on loopback, at once\n" +
			"  brasswell check deploy/operator.toml",
		Args:          cobra.NoArgs,
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			c.Usage()
			return errors.New("no verb, and RELAY_CONFIG is not set; `brasswell demo` needs nothing")
		},
	}
	root.PersistentFlags().StringVar(&e.format, "format", "text", "output for people (text) or programs (json)")
	root.RegisterFlagCompletionFunc("format", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(e.runVerb(), e.demoVerb(), e.labVerb(), e.scaleVerb(), e.soakVerb(), e.scaleHostVerb(), e.checkVerb(), e.ctlVerb(), e.stateVerb(), e.countVerb(), e.schemaVerb(), e.versionVerb())
	return root
}

// oneOf says whether a flag's value is one of some words.
func oneOf(flag, got string, words ...string) error {
	for _, w := range words {
		if got == w {
			return nil
		}
	}
	return fmt.Errorf("--%s %s: allowed is %s", flag, got, strings.Join(words, ", "))
}

// readable wraps a file's error so that it names the file once.
func readable(path string, err error) error {
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: no such file", path)
	}
	return err
}
