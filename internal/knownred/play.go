package main

import (
	"errors"
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"strings"
)

// errPasses is for a test that is listed as always failing.
var errPasses = errors.New("passes; take its line out")

// playAll plays each listed test by itself, and says at the end what contradicts the list.
func playAll(root string, entries []entry, out io.Writer) error {
	var wrong error
	for _, e := range entries {
		passed, err := play(root, e)
		if err != nil {
			return fmt.Errorf("%v: %w", e, err)
		}
		fmt.Fprintf(out, "known red: %v: %s\n", e, verdict(e, passed))
		if passed && !e.intermittent {
			wrong = errors.Join(wrong, fmt.Errorf("%v: %w", e, errPasses))
		}
	}
	return wrong
}

// verdict tells how a test went, and what the list says of it.
func verdict(e entry, passed bool) string {
	how := "failed"
	if passed {
		how = "passed"
	}
	if e.intermittent {
		return how + " (fails at times)"
	}
	return how
}

// play runs one test by its command. It is an error if the test does not run.
func play(root string, e entry) (passed bool, err error) {
	command := exec.Command("sh", "-c", e.command+" -race -count=1 -v")
	command.Dir = root
	text, err := command.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return false, err
	}
	if !ran(string(text), e.test) {
		return false, fmt.Errorf("it does not run:\n%s", lastLines(string(text)))
	}
	return err == nil, nil
}

// ran says whether go test's output shows that a test was begun, and was not skipped.
func ran(text, test string) bool {
	name := regexp.QuoteMeta(test)
	begun := regexp.MustCompile(`(?m)^=== RUN +` + name + `$`)
	skipped := regexp.MustCompile(`(?m)^ *--- SKIP: ` + name + ` `)
	return begun.MatchString(text) && !skipped.MatchString(text)
}

// mostLines is how much of an output an error shows.
const mostLines = 5

func lastLines(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(len(lines)-mostLines, 0):], "\n")
}
