package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

var testPattern = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

// checkNames checks that each listed test is in its package, and that no other package has a test of that name: a pattern for -skip would leave
// that one out as well.
func checkNames(root string, entries []entry) error {
	if len(entries) == 0 {
		return nil
	}
	packages, err := testsByName(root)
	if err != nil {
		return err
	}
	for _, e := range entries {
		in := packages[e.topLevel()]
		switch {
		case !in[e.pkg]:
			return fmt.Errorf("%v: there is no such test", e)
		case len(in) > 1:
			return fmt.Errorf("%v: another package has a test of that name, which would be skipped too; rename one", e)
		}
	}
	return nil
}

// testsByName finds the packages that have a test of each name.
func testsByName(root string) (map[string]map[string]bool, error) {
	packages := map[string]map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		for _, found := range testPattern.FindAllStringSubmatch(string(text), -1) {
			if packages[found[1]] == nil {
				packages[found[1]] = map[string]bool{}
			}
			packages[found[1]]["./"+filepath.ToSlash(folder)] = true
		}
		return nil
	})
	return packages, err
}

// skipPattern matches exactly the listed tests, in the form that go test's -skip takes.
func skipPattern(entries []entry) string {
	patterns := make([]string, len(entries))
	for n, e := range entries {
		patterns[n] = e.pattern()
	}
	return strings.Join(patterns, "|")
}
