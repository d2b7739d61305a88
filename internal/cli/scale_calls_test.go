package cli

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// TestScaleCallsOfBadInput: it could not be asked, the value and its bounds are named, and nothing is printed.
func TestScaleCallsOfBadInput(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"--rate 0", "rate 0: must be between 1 and 5000"},
		{"--rate fast", "invalid argument"},
		{"--rate 100,9999", "rate 9999: must be between"},
		{"--depth 17", "depth 17: must be between 1 and 16"},
		{"--pairs 0", "pairs 0: must be between 1 and 100"},
		{"--length 1ms", "length 1ms: must be between"},
		{"--length 10m --pairs 100", "all sides take"},
		{"--format xml", "allowed is text, json"},
		{"here", "unknown command"},
	} {
		var out, errOut bytes.Buffer
		code := Main(t.Context(), append([]string{"scale", "calls"}, strings.Fields(c.args)...), os.Getenv, &out, &errOut)
		if code != exitNotAsked || out.Len() > 0 || !strings.Contains(errOut.String(), c.want) {
			t.Errorf("%s: code %d, printed %q, said %q", c.args, code, out.String(), errOut.String())
		}
	}
}
