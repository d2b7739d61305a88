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

// tablesOfCapacity are the tables that docs/CAPACITY.md must have. It has to have all others too for which there are results.
var tablesOfCapacity = []string{"runs", "criterion", "usage-member", "usage-leader", "usage-voter", "in-force", "events", "models"}

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

// difference says in what a page's tables are not those that the runs give, and which of the expected ones the runs do not give.
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
	var given []string
	for _, t := range tables {
		given = append(given, t.Name)
	}
	for _, name := range expected {
		if !slices.Contains(given, name) {
			wrong = append(wrong, fmt.Errorf("table %s: expected, and the runs do not give it", name))
		}
	}
	slices.Sort(found)
	slices.Sort(given)
	if !slices.Equal(found, given) {
		wrong = append(wrong, fmt.Errorf("tables on the page %q, the runs give %q", found, given))
	}
	return errors.Join(wrong...)
}

// updated is a page with its tables written anew. A table that it has not stands behind the one that comes before it, or at the page's
// end. A table that there is nothing for stays.
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
	for i := range tables {
		if page, err = withTable(page, tables, i); err != nil {
			return "", err
		}
	}
	return page, nil
}

// withTable is a page with a table, which is added where the page has it not.
func withTable(page string, tables []Table, number int) (string, error) {
	blocks, err := blocksOf(page)
	if err != nil {
		return "", err
	}
	named := func(t Table) int {
		return slices.IndexFunc(blocks, func(b block) bool { return b.name == t.Name })
	}
	if named(tables[number]) >= 0 {
		return page, nil
	}
	at := len(page)
	for _, before := range tables[:number] {
		if i := named(before); i >= 0 {
			at = blocks[i].end + len(endLine) + 1
		}
	}
	return page[:at] + "\n" + tables[number].Block() + page[at:], nil
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
	checkPage(t, filepath.Join("testdata", "CAPACITY.md"), []string{"runs", "criterion", "usage-member", "in-force", "events", "models", "calls"}, report.Tables())
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
	if difference(right, []string{"one", "two", "three"}, tables) == nil {
		t.Error("an expected table that the runs do not give: taken as right")
	}
	if difference(right, []string{"one"}, append(tables, Table{"three", "| 3 |\n"})) == nil {
		t.Error("a table that the runs give, not expected and not on the page: taken as right")
	}
	stale := strings.Replace(right, "| 2 |", "| 5 |\n| 6 |", 1)
	if got, err := updated(stale, tables); err != nil || got != right {
		t.Errorf("%v\n%s", err, got)
	}
}

// TestMissingTablesAreAdded: -update adds a table behind the one before it, and keeps the text of the page.
func TestMissingTablesAreAdded(t *testing.T) {
	one, two, three := Table{"one", "| 1 |\n"}, Table{"two", "| 2 |\n"}, Table{"three", "| 3 |\n"}
	tables := []Table{one, two, three}
	for name, c := range map[string]struct{ page, want string }{
		"in between":   {"# Page\n\n" + one.Block() + "\nText.\n\n" + three.Block(), "# Page\n\n" + one.Block() + "\n" + two.Block() + "\nText.\n\n" + three.Block()},
		"the last two": {one.Block() + "\nText.\n", one.Block() + "\n" + two.Block() + "\n" + three.Block() + "\nText.\n"},
		"all":          {"# Page\n", "# Page\n\n" + one.Block() + "\n" + two.Block() + "\n" + three.Block()},
	} {
		got, err := updated(c.page, tables)
		if err != nil || got != c.want {
			t.Errorf("%s: %v\n%s", name, err, got)
		}
		if err := difference(got, []string{"one", "two", "three"}, tables); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestTheTablesOfSyntheticEvents holds the tables of events and of real proxies, to the digit.
func TestTheTablesOfSyntheticEvents(t *testing.T) {
	report, err := Folder(eventsFolder(t))
	if err != nil {
		t.Fatal(err)
	}
	checkPage(t, filepath.Join("testdata", "EVENTS.md"), []string{"runs", "criterion", "usage-proxy", "in-force", "events", "models"}, report.Tables())
}
