package main

import (
	"fmt"
	"regexp"
	"strings"
)

// entryForm is how a line of the list looks.
const entryForm = "PACKAGE TEST | COMMAND | SEED | WHAT WAS SEEN | issue N"

// entryPattern matches a line of the list: package, test, command, seed, what was seen and issue.
var entryPattern = regexp.MustCompile(`^(\./[\w/.-]+) (Test\w+(?:/[\w./-]+)*) \| ([^|]+) \| ([^|]+) \| ([^|]+) \| issue (\d+)$`)

const intermittentPrefix = "at times"

// intermittentPattern matches the seed field of a test that does not always fail.
var intermittentPattern = regexp.MustCompile(`^at times, [1-9]\d* of [1-9]\d* at load \d+(, .+)?$`)

// entry is one test that is known to fail.
type entry struct {
	pkg          string
	test         string
	command      string
	intermittent bool // it fails at times
}

func (e entry) String() string { return e.pkg + " " + e.test }

// pattern matches this test alone, in the form that go test's -run and -skip take.
func (e entry) pattern() string {
	names := strings.Split(e.test, "/")
	for n, name := range names {
		names[n] = "^" + regexp.QuoteMeta(name) + "$"
	}
	return strings.Join(names, "/")
}

// topLevel is the name of the test function.
func (e entry) topLevel() string {
	name, _, _ := strings.Cut(e.test, "/")
	return name
}

// parseList reads a list, and names the line of each mistake.
func parseList(text string) ([]entry, error) {
	var entries []entry
	listed := map[string]bool{}
	for n, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if text == "" {
			break
		}
		e, err := parseEntry(line)
		if err == nil && listed[e.String()] {
			err = fmt.Errorf("%v is listed twice", e)
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n+1, err)
		}
		listed[e.String()] = true
		entries = append(entries, e)
	}
	return entries, nil
}

// parseEntry reads a line of the list.
func parseEntry(line string) (entry, error) {
	fields := entryPattern.FindStringSubmatch(line)
	if fields == nil {
		return entry{}, fmt.Errorf("not %s: %s", entryForm, line)
	}
	e := entry{pkg: fields[1], test: fields[2], command: fields[3]}
	seed := fields[4]
	e.intermittent = strings.HasPrefix(seed, intermittentPrefix)
	if e.intermittent && !intermittentPattern.MatchString(seed) {
		return entry{}, fmt.Errorf("SEED is not \"at times, N of M at load L, SEED\": %s", seed)
	}
	runs := "-run '" + e.pattern() + "' "
	if !strings.HasPrefix(e.command, "go test ") || !strings.Contains(e.command, runs) || !strings.HasSuffix(e.command, " "+e.pkg) {
		return entry{}, fmt.Errorf("COMMAND is not \"go test %s%s\", with further flags between: %s", runs, e.pkg, e.command)
	}
	return e, nil
}
