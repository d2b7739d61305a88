// Package fit fits models of growth to the results of scale runs of several sizes, and prints them as the tables of docs/CAPACITY.md.
package fit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"

	"brasswell/internal/rig/scale/result"
)

const (
	// fittedSize is the largest number of members whose runs are fitted.
	fittedSize = 1000
	// predictedSize is the number of members that is predicted and compared.
	predictedSize = 1400
	// fewSizes and fewRuns: a row with fewer says so.
	fewSizes, fewRuns = 5, 3
	// eventAtRest is the event of the runs whose usage is fitted. Those of the others include what the event itself costs; real proxies
	// are fitted in all, each event apart, as what they spend is spent on requests.
	eventAtRest = "rest"
)

// Row is one figure of one series: its points, the models and the comparison at 1,400 members.
type Row struct {
	Series   Series      `json:"series"`
	Role     result.Role `json:"role,omitempty"`  // of a usage
	Phase    string      `json:"phase,omitempty"` // of changes
	Figure   string      `json:"figure"`
	Quantile string      `json:"quantile"`
	Unit     string      `json:"unit"`
	Points   []Point     `json:"points"` // of all runs, one each
	// Chosen and Tried are of the points up to 1,000 members; nil without any.
	Chosen *Fitted  `json:"chosen"`
	Tried  []Fitted `json:"tried"`
	// Predicted is Chosen at 1,400 members; Measured the mean of the runs of that size; Error that of Predicted, as a share of Measured.
	Predicted *float64 `json:"predicted"`
	Measured  *float64 `json:"measured"`
	Error     *float64 `json:"error"`
	// Remarks say what the row is short of.
	Remarks []string `json:"remarks,omitempty"`
}

// Report is all that the results of a folder say.
type Report struct {
	Runs    []RunLine  `json:"runs"`
	Usage   []Row      `json:"usage"`
	InForce []Row      `json:"in_force"`
	Events  []EventRow `json:"events"`
	Calls   []CallsRow `json:"calls"`
}

// RunLine is one run in the list of runs.
type RunLine struct {
	File        string  `json:"file"`
	Members     int     `json:"members"`
	Voters      int     `json:"voters"`
	Regions     int     `json:"regions"`
	Series      Series  `json:"series"`
	Numbers     int     `json:"numbers"`
	DocumentB   int     `json:"document_bytes"`
	LengthS     float64 `json:"length_s"`
	Load        float64 `json:"load"`
	Cores       int     `json:"cores"`
	FalseDeaths int     `json:"false_deaths"`
	LeasesLost  int     `json:"leases_lost"`
	Used        string  `json:"used"` // in what way the run is used, or why not
}

// Folder reads the results of a folder, and those of calls in its folder calls, and fits them.
func Folder(folder string) (*Report, error) {
	files, err := readRuns(folder)
	if err != nil {
		return nil, err
	}
	calls, err := readCalls(folder)
	if err != nil {
		return nil, err
	}
	if len(files) == 0 && len(calls) == 0 {
		return nil, &FileError{folder, errNoFiles, mendFolder}
	}
	r := report(files)
	r.Calls = calls
	return r, nil
}

// report fits runs that make sense.
func report(files []File) *Report {
	r := &Report{}
	for _, f := range slices.SortedStableFunc(slices.Values(files), compareFiles) {
		r.Runs = append(r.Runs, runLine(f))
		if row, ok := eventRow(f); ok {
			r.Events = append(r.Events, row)
		}
	}
	atRest, others, runs := group(files)
	for _, s := range atRest {
		r.Usage = append(r.Usage, usageRows(s, runs[s], roles)...)
	}
	for _, s := range others {
		r.Usage = append(r.Usage, usageRows(s, runs[s], []result.Role{result.Proxy})...)
		r.InForce = append(r.InForce, inForceRows(s, runs[s])...)
	}
	return r
}

// compareFiles puts runs in the order in which they are listed.
func compareFiles(a, b File) int {
	s, t := &a.Run.Settings, &b.Run.Settings
	return cmp.Or(compareSeries(seriesOf(s), seriesOf(t)), cmp.Compare(s.Members, t.Members), cmp.Compare(a.Name, b.Name))
}

func runLine(f File) RunLine {
	s := &f.Run.Settings
	used := "fitted"
	switch why := leftOut(f.Run); {
	case why != "":
		used = "left out: " + why
	case s.Members == predictedSize:
		used = "compared"
	case s.Members > fittedSize:
		used = "listed only"
	}
	return RunLine{
		File: f.Name, Members: s.Members, Voters: s.Voters, Regions: s.Regions, Series: seriesOf(s), Numbers: s.Numbers, DocumentB: s.DocumentB, LengthS: s.LengthS,
		Load: f.Run.Host.Load, Cores: f.Run.Host.Cores,
		FalseDeaths: f.Run.Views.FalseDeaths, LeasesLost: f.Run.Leases.LostAwake, Used: used,
	}
}

// usageRows are the rows of the usage of some roles.
func usageRows(s Series, runs []*result.Run, roles []result.Role) []Row {
	var rows []Row
	for _, role := range roles {
		for _, f := range usageFigures {
			for _, q := range quantiles {
				row := Row{Series: s, Role: role, Figure: f.name, Quantile: q.name, Unit: f.unit}
				for _, run := range runs {
					i := slices.IndexFunc(run.Roles, func(u result.Usage) bool { return u.Role == role })
					if i < 0 {
						continue
					}
					if values := f.of(&run.Roles[i]); values.Count > 0 {
						row.Points = append(row.Points, Point{run.Settings.Members, q.of(values) * f.scale})
					}
				}
				rows = row.appendTo(rows)
			}
		}
	}
	return rows
}

// inForceRows are the rows of all phases' changes.
func inForceRows(s Series, runs []*result.Run) []Row {
	var rows []Row
	for _, name := range phaseNames(runs) {
		for _, f := range phaseFigures {
			for _, q := range quantiles {
				row := Row{Series: s, Phase: name, Figure: f.name, Quantile: q.name, Unit: f.unit}
				never := 0
				for _, run := range runs {
					i := slices.IndexFunc(run.Changes, func(p result.Phase) bool { return p.Name == name })
					if i < 0 {
						continue
					}
					never += run.Changes[i].Never
					if values := f.of(&run.Changes[i]); values.Count > 0 {
						row.Points = append(row.Points, Point{run.Settings.Members, q.of(values)})
					}
				}
				if never > 0 {
					row.Remarks = append(row.Remarks, fmt.Sprintf("%s never in force, not in the times", count(never, "change")))
				}
				rows = row.appendTo(rows)
			}
		}
	}
	return rows
}

// phaseNames are the names of all phases, in the order in which the runs have them.
func phaseNames(runs []*result.Run) []string {
	var names []string
	for _, run := range runs {
		for _, p := range run.Changes {
			if !slices.Contains(names, p.Name) {
				names = append(names, p.Name)
			}
		}
	}
	return names
}

// appendTo fits the row's points and appends the row, if it has any.
func (r Row) appendTo(rows []Row) []Row {
	if len(r.Points) == 0 {
		return rows
	}
	slices.SortStableFunc(r.Points, func(a, b Point) int { return cmp.Or(cmp.Compare(a.Members, b.Members), cmp.Compare(a.Value, b.Value)) })
	var fitted []Point
	var compared []float64
	for _, p := range r.Points {
		switch {
		case p.Members <= fittedSize:
			fitted = append(fitted, p)
		case p.Members == predictedSize:
			compared = append(compared, p.Value)
		}
	}
	if len(compared) > 0 {
		measured := stat.Mean(compared, nil)
		r.Measured = &measured
	}
	if len(fitted) > 0 {
		chosen, tried := choose(fitted)
		predicted := chosen.At(predictedSize)
		r.Chosen, r.Tried, r.Predicted = &chosen, tried, &predicted
		if r.Measured != nil && *r.Measured != 0 {
			share := (predicted - *r.Measured) / *r.Measured
			r.Error = &share
		}
	}
	if text := shortOf(fitted); text != "" {
		r.Remarks = append(r.Remarks, text)
	}
	return append(rows, r)
}

// shortOf says how many sizes, and runs a size, there are, if these are few.
func shortOf(points []Point) string {
	sizes := sizesOf(points)
	if len(sizes) == 0 {
		return "no runs of up to 1,000 members"
	}
	bySize := map[int]int{}
	for _, p := range points {
		bySize[p.Members]++
	}
	least, most := len(points), 0
	for _, n := range bySize {
		least, most = min(least, n), max(most, n)
	}
	if len(sizes) >= fewSizes && least >= fewRuns {
		return ""
	}
	var text strings.Builder
	text.WriteString(count(len(sizes), "size") + ", ")
	if least == most {
		text.WriteString(count(least, "run"))
	} else {
		fmt.Fprintf(&text, "%d to %d runs", least, most)
	}
	if len(sizes) > 1 {
		text.WriteString(" each")
	}
	if len(sizes) <= Linear.parameters() {
		text.WriteString(": too few to choose a model")
	}
	return text.String()
}

// count is a number of things.
func count(n int, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", n, thing)
}
