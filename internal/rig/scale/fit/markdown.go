package fit

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Table is one table of the page, with the name that its markers have.
type Table struct {
	Name string
	Text string // Markdown, ending with a line's end
}

// The lines round a table on the page.
const (
	beginLine = "<!-- scale fit: begin %s -->"
	endLine   = "<!-- scale fit: end -->"
)

// Block is the table between its markers.
func (t Table) Block() string {
	return fmt.Sprintf(beginLine, t.Name) + "\n" + t.Text + endLine + "\n"
}

// Tables are all tables that there is something for, in a fixed order: runs, criterion, usage-ROLE, in-force, events,
// models and calls.
func (r *Report) Tables() []Table {
	var all []Table
	if len(r.Runs) > 0 {
		all = append(all, Table{"runs", runsText(r.Runs)}, Table{"criterion", Criterion + "\n"})
	}
	for _, role := range roles {
		var rows []Row
		for _, row := range r.Usage {
			if row.Role == role {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 {
			all = append(all, Table{"usage-" + string(role), rowsText(rows)})
		}
	}
	if len(r.InForce) > 0 {
		all = append(all, Table{"in-force", rowsText(r.InForce)})
	}
	if len(r.Events) > 0 {
		all = append(all, Table{"events", eventsText(r.Events)})
	}
	noModel := func(row Row) bool { return row.Chosen == nil }
	if rows := slices.DeleteFunc(slices.Concat(r.Usage, r.InForce), noModel); len(rows) > 0 {
		all = append(all, Table{"models", modelsText(rows)})
	}
	if len(r.Calls) > 0 {
		all = append(all, Table{"calls", callsText(r.Calls)})
	}
	return all
}

// Markdown is all tables between their markers.
func (r *Report) Markdown() string {
	var blocks []string
	for _, t := range r.Tables() {
		blocks = append(blocks, t.Block())
	}
	return strings.Join(blocks, "\n")
}

func runsText(runs []RunLine) string {
	t := newTable("Members", "Event", "Round trip (ms)", "Lease (s)", "Period (ms)", "Bans", "Classes", "Numbers", "Document (bytes)", "Voters", "Regions", "Length (s)",
		"Load (cores)", "False deaths", "Leases lost", "Use", "File")
	for _, r := range runs {
		t.row(integer(r.Members), r.Series.Event, digits(r.Series.RTTMS), digits(r.Series.LeaseS), digits(r.Series.PeriodMS), integer(r.Series.Bans),
			integer(r.Series.Classes), integer(r.Numbers), integer(r.DocumentB), integer(r.Voters), integer(r.Regions), digits(r.LengthS), fmt.Sprintf("%s of %d", digits(r.Load), r.Cores),
			integer(r.FalseDeaths), integer(r.LeasesLost), r.Used, r.File)
	}
	return t.String()
}

// rowsText are the chosen models, a table for each series.
func rowsText(rows []Row) string {
	return bySeries(rows, func(rows []Row) string {
		t := newTable("Figure", "Model", "Least squares", "Residual s.d.", "Largest residual", "Leave-one-size-out", "Predicted at 1,400",
			"Measured at 1,400", "Error", "Remarks")
		for _, r := range rows {
			cells := []string{r.title(), "–", "–", "–", "–", "–"}
			if c := r.Chosen; c != nil {
				cells = []string{r.title(), string(c.Model), c.formula(), optional(c.ResidualSD), digits(c.LargestResidual), optional(c.LeaveOneOut)}
			}
			t.row(append(cells, optional(r.Predicted), r.measured(), r.errorText(), joined(r.Remarks))...)
		}
		return t.String()
	})
}

// modelsText are all models that were tried for rows that have any, a table for each series.
func modelsText(rows []Row) string {
	text := "Of each model: residual standard deviation; largest residual; leave-one-size-out error. The chosen one in bold.\n\n"
	return text + bySeries(rows, func(rows []Row) string {
		titles := []string{"Figure"}
		for _, m := range models {
			titles = append(titles, string(m))
		}
		t := newTable(titles...)
		for _, r := range rows {
			cells := []string{strings.TrimSpace(string(r.Role) + " " + r.title())}
			for _, m := range models {
				cells = append(cells, r.tried(m))
			}
			t.row(cells...)
		}
		return t.String()
	})
}

// tried is one model's cell.
func (r *Row) tried(m Model) string {
	i := slices.IndexFunc(r.Tried, func(f Fitted) bool { return f.Model == m })
	if i < 0 {
		return "–"
	}
	f := r.Tried[i]
	text := optional(f.ResidualSD) + "; " + digits(f.LargestResidual) + "; " + optional(f.LeaveOneOut)
	if m == r.Chosen.Model {
		return "**" + text + "**"
	}
	return text
}

// bySeries writes rows under a line for each series, in the order in which the series first stand.
func bySeries(rows []Row, write func([]Row) string) string {
	var all []Series
	of := map[Series][]Row{}
	for _, r := range rows {
		if of[r.Series] == nil {
			all = append(all, r.Series)
		}
		of[r.Series] = append(of[r.Series], r)
	}
	var parts []string
	for _, s := range all {
		parts = append(parts, "Series: "+s.String()+".\n\n"+write(of[s]))
	}
	return strings.Join(parts, "\n")
}

// title is the row's figure for people.
func (r *Row) title() string {
	text := fmt.Sprintf("%s, %s (%s)", r.Figure, r.Quantile, r.Unit)
	if r.Phase != "" {
		return r.Phase + ": " + text
	}
	return text
}

func (r *Row) measured() string {
	if r.Measured == nil {
		return "not measured"
	}
	return digits(*r.Measured)
}

func (r *Row) errorText() string {
	if r.Error == nil {
		return "–"
	}
	return strconv.FormatFloat(100**r.Error, 'f', 1, 64) + " %"
}

// formula is a fitted model for people.
func (f *Fitted) formula() string {
	terms := map[Model]string{Linear: "n", LogLinear: "n ln n", Quadratic: "n²"}
	term, ok := terms[f.Model]
	if !ok {
		return digits(f.Intercept)
	}
	sign, slope := "+", f.Slope
	if slope < 0 {
		sign, slope = "−", -slope
	}
	return fmt.Sprintf("%s %s %s %s", digits(f.Intercept), sign, digits(slope), term)
}

const (
	significantDigits = 4
	// noise is below what any figure resolves: the arithmetic's own rest, which need not be the same on each machine.
	noise = 1e-9
)

// digits is a number with four significant digits.
func digits(v float64) string {
	if v < noise && v > -noise {
		return "0"
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'e', significantDigits-1, 64), 64) // what it has written itself
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}

func optional(v *float64) string {
	if v == nil {
		return "–"
	}
	return digits(*v)
}

func joined(remarks []string) string { return strings.Join(remarks, "; ") }

func integer(n int) string { return strconv.Itoa(n) }

// table is a Markdown table under construction.
type table struct{ text strings.Builder }

func newTable(titles ...string) *table {
	t := &table{}
	t.row(titles...)
	t.text.WriteString(strings.Repeat("|---", len(titles)) + "|\n")
	return t
}

func (t *table) row(cells ...string) {
	for _, cell := range cells {
		t.text.WriteString("| " + cellText(cell) + " ")
	}
	t.text.WriteString("|\n")
}

func (t *table) String() string { return t.text.String() }

// cellText keeps what a file says from ending the cell or its line.
func cellText(s string) string {
	return strings.NewReplacer("|", `\|`, "\n", " ", "\r", " ", "<", "&lt;").Replace(s)
}
