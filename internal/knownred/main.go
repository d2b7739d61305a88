// Command knownred plays the tests that KNOWN-RED.txt lists as known to fail, apart from all others.
//
//	knownred play   plays each, and prints its verdict
//	knownred skip   prints the pattern for go test's -skip that leaves out exactly these tests
//
// A line of the list is
//
//	PACKAGE TEST | COMMAND | SEED | WHAT WAS SEEN | issue N
//
// A test that does not always fail says so at the begin of SEED:
//
//	./internal/proxy TestFoo | go test -run '^TestFoo$' ./internal/proxy | at times, 2 of 40 at load 15, seed 7 | the answer is lost | issue 37
//
// A test that always fails has to fail; one that fails at times may do either.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// listFile is the list, at the module's root.
const listFile = "KNOWN-RED.txt"

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: knownred play|skip")
		os.Exit(2)
	}
	if err := run(os.Args[1], ".", os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", listFile, err)
		os.Exit(1)
	}
}

// run carries a verb out on the list of the module in a folder.
func run(verb, root string, out io.Writer) error {
	entries, err := readList(root)
	if err != nil {
		return err
	}
	switch verb {
	case "play":
		return playAll(root, entries, out)
	case "skip":
		fmt.Fprint(out, skipPattern(entries))
		return nil
	}
	return fmt.Errorf("no such verb: %s", verb)
}

// readList reads the list of the module in a folder; where there is none, it is empty.
func readList(root string) ([]entry, error) {
	text, err := os.ReadFile(filepath.Join(root, listFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	entries, err := parseList(string(text))
	if err != nil {
		return nil, err
	}
	return entries, checkNames(root, entries)
}
