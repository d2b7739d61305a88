package fit

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the tables between the markers of the pages anew")

const (
	capacityPage = "../../../../docs/CAPACITY.md"
	// measuredRuns is the folder of the runs that the page is made from.
	measuredRuns = "../../../../docs/measurements/scale"
)

// tablesOfCapacity are the tables that docs/CAPACITY.md must have.
var tablesOfCapacity = []string{"runs", "criterion", "usage-member", "usage-leader", "usage-voter", "in-force", "models"}

// block is one table between markers in a page.
type block struct {
	name, text string
	start, end int // of the text, in the page
}

// blocksOf finds all tables in a page.
func blocksOf(page string) ([]block, error) {
	const opening = "<!-- scale fit: begin "
	var all []block
	for at := 0; ; {
		begin := strings.Index(page[at:], opening)
		if begin < 0 {
			if strings.Contains(page[at:], endLine) {
				return nil, errors.New("an end without a begin")
			}
			return all, nil
		}
		if strings.Contains(page[at:at+begin], endLine) {
			return nil, errors.New("an end without a begin")
		}
		line, _, ended := strings.Cut(page[at+begin:], "\n")
		name, sound := strings.CutSuffix(strings.TrimPrefix(line, opening), " -->")
		start := at + begin + len(line) + 1
		length := -1
		if ended {
			length = strings.Index(page[start:], endLine+"\n")
		}
		if !sound || length < 0 || strings.Contains(page[start:start+length], opening) {
			return nil, fmt.Errorf("%q has no end, or is no marker", line)
		}
		all = append(all, block{name, page[start : start+length], start, start + length})
		at = start + length + len(endLine)
	}
}

// difference says in what a page's tables are not those expected.
func difference(page string, expected []string, tables []Table) error {
	blocks, err := blocksOf(page)
	if err != nil {
		return err
	}
	var found []string
	var wrong []error
	for _, b := range blocks {
		found = append(found, b.name)
		i := slices.IndexFunc(tables, func(t Table) bool { return t.Name == b.name })
		switch {
		case i < 0:
			wrong = append(wrong, fmt.Errorf("table %s: the runs give none of that name", b.name))
		case tables[i].Text != b.text:
			wrong = append(wrong, fmt.Errorf("table %s: the page has\n%s\nthe runs give\n%s", b.name, b.text, tables[i].Text))
		}
	}
	slices.Sort(found)
	expected = slices.Sorted(slices.Values(expected))
	if !slices.Equal(found, expected) {
		wrong = append(wrong, fmt.Errorf("tables on the page %q, expected %q", found, expected))
	}
	return errors.Join(wrong...)
}

// updated is a page with its tables written anew. A table that there is nothing for stays.
func updated(page string, tables []Table) (string, error) {
	blocks, err := blocksOf(page)
	if err != nil {
		return "", err
	}
	for _, b := range slices.Backward(blocks) {
		if i := slices.IndexFunc(tables, func(t Table) bool { return t.Name == b.name }); i >= 0 {
			page = page[:b.start] + tables[i].Text + page[b.end:]
		}
	}
	return page, nil
}

// checkPage holds a page against the tables, or writes them with -update.
func checkPage(t *testing.T, path string, expected []string, tables []Table) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	if *update {
		if page, err = updated(page, tables); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if err := difference(page, expected, tables); err != nil {
		t.Errorf("%s, mend it with -update: %v", path, err)
	}
}

// TestTheTablesOfCapacity: docs/CAPACITY.md has exactly the tables that its runs give.
func TestTheTablesOfCapacity(t *testing.T) {
	report, err := Folder(measuredRuns)
	if err != nil {
		t.Fatal(err)
	}
	checkPage(t, capacityPage, tablesOfCapacity, report.Tables())
}

// TestTheTablesOfSyntheticRuns holds all tables, to the digit.
func TestTheTablesOfSyntheticRuns(t *testing.T) {
	report, err := Folder(syntheticFolder(t))
	if err != nil {
		t.Fatal(err)
	}
	checkPage(t, filepath.Join("testdata", "CAPACITY.md"), []string{"runs", "criterion", "usage-member", "in-force", "models", "calls"}, report.Tables())
}

func TestPagesThatDiffer(t *testing.T) {
	tables := []Table{{"one", "| 1 |\n"}, {"two", "| 2 |\n"}}
	right := "# Page\n\n" + tables[0].Block() + "\nText.\n\n" + tables[1].Block()
	if err := difference(right, []string{"two", "one"}, tables); err != nil {
		t.Error(err)
	}
	for name, page := range map[string]string{
		"another digit":     strings.Replace(right, "| 1 |", "| 7 |", 1),
		"a line more":       strings.Replace(right, "| 1 |\n", "| 1 |\n| 1 |\n", 1),
		"a table less":      "# Page\n\n" + tables[0].Block(),
		"a table twice":     right + tables[1].Block(),
		"an unknown table":  right + Table{"three", ""}.Block(),
		"no end":            strings.TrimSuffix(right, endLine+"\n"),
		"no begin":          endLine + "\n" + right,
		"an end in between": strings.Replace(right, endLine, "", 1),
		"a broken marker":   strings.Replace(right, "begin one -->", "begin one", 1),
		"nothing":           "",
	} {
		if difference(page, []string{"one", "two"}, tables) == nil {
			t.Errorf("%s: taken as right", name)
		}
	}
	stale := strings.Replace(right, "| 2 |", "| 5 |\n| 6 |", 1)
	if got, err := updated(stale, tables); err != nil || got != right {
		t.Errorf("%v\n%s", err, got)
	}
}
