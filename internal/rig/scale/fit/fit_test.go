package fit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brasswell/internal/rig/scale/result"
)

// flat are the quantiles of a value with a little spread.
func flat(v float64) result.Quantiles {
	return result.Quantiles{Count: 10, Median: v, P99: 1.5 * v, Worst: 2 * v}
}

// syntheticRun is a run with known laws: processor time is constant, messages linear and memory quadratic. Repetition shifts them all a little.
func syntheticRun(event string, members, repetition int) *result.Run {
	n, shift := float64(members), 1+0.002*float64(repetition-1)
	return &result.Run{
		Version: result.Version,
		Settings: result.Settings{
			Members: members, Voters: 5, Regions: 3, RTTMS: 40, Event: event, LengthS: 30, LeaseS: 3, PeriodMS: 300, Bans: 20, Classes: 10,
			Numbers: members, DocumentB: 1000 + 40*members,
		},
		Host: result.Host{Cores: 8, Load: 3.25},
		Roles: []result.Usage{{
			Role: result.Member, Members: members - 5, Processes: 1, CPU: flat(0.002 * shift), Memory: flat((1 + n*n/1e5) * mebibyte * shift),
			MessagesSent: flat((10 + 0.1*n) * shift), MessagesReceived: flat((10 + 0.1*n) * shift),
			BytesSent: flat((1 + 0.01*n) * kibibyte * shift), BytesReceived: flat((1 + 0.01*n) * kibibyte * shift),
		}},
		Changes: []result.Phase{{Name: "one", Proposed: 1, Agreed: 1, InForceS: flat(0.5 + 0.001*n*shift), KnownS: flat(0.2 * shift)}},
	}
}

// write puts a run in a folder.
func write(t *testing.T, folder, name string, run *result.Run) {
	t.Helper()
	var text bytes.Buffer
	if err := run.Write(&text); err != nil {
		t.Fatal(err)
	}
	writeText(t, filepath.Join(folder, name), text.String())
}

func writeText(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// syntheticFolder holds runs of all sizes, one at 1,400, and two that are left out.
func syntheticFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for _, event := range []string{"rest", "change"} {
		for _, members := range []int{60, 120, 250, 500, 1000} {
			for repetition := range 3 {
				write(t, folder, fmt.Sprintf("%s-%d-%d.json", event, members, repetition), syntheticRun(event, members, repetition))
			}
		}
	}
	write(t, folder, "rest-1400.json", syntheticRun("rest", 1400, 1))
	interrupted := syntheticRun("rest", 250, 1)
	interrupted.Interrupted = true
	interrupted.Roles[0].CPU = flat(1e6)
	write(t, folder, "interrupted.json", interrupted)
	troubled := syntheticRun("rest", 500, 1)
	troubled.Trouble = []string{"a host | ended"}
	write(t, folder, "troubled.json", troubled)
	writeText(t, filepath.Join(folder, "README.md"), "no result")
	writeCalls(t, folder, "quiet.json", syntheticCalls())
	busy := syntheticCalls()
	busy.LoadBefore, busy.Interrupted, busy.Cases[0].Pairs[0].Direct.Answered = 5, true, 11
	writeCalls(t, folder, "busy.json", busy)
	return folder
}

func rowOf(t *testing.T, rows []Row, figure, quantile string) Row {
	t.Helper()
	for _, r := range rows {
		if r.Figure == figure && r.Quantile == quantile {
			return r
		}
	}
	t.Fatalf("no row %s, %s", figure, quantile)
	return Row{}
}

func TestFolder(t *testing.T) {
	r, err := Folder(syntheticFolder(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Runs) != 33 || len(r.Usage) != 18 || len(r.InForce) != 6 {
		t.Fatalf("%d runs, %d and %d rows", len(r.Runs), len(r.Usage), len(r.InForce))
	}
	for figure, want := range map[string]Fitted{
		"processor time": {Model: Constant, Intercept: 2},
		"messages sent":  {Model: Linear, Intercept: 10, Slope: 0.1},
		"bytes received": {Model: Linear, Intercept: 1, Slope: 0.01},
		"memory":         {Model: Quadratic, Intercept: 1, Slope: 1e-5},
	} {
		row := rowOf(t, r.Usage, figure, "median")
		got := row.Chosen
		if got.Model != want.Model || math.Abs(got.Intercept-want.Intercept) > 1e-3*want.Intercept || math.Abs(got.Slope-want.Slope) > 1e-3*want.Slope {
			t.Errorf("%s: %+v", figure, got)
		}
		if len(row.Points) != 16 || row.Measured == nil || math.Abs(*row.Error) > 1e-3 || len(row.Remarks) != 0 {
			t.Errorf("%s: %+v", figure, row)
		}
	}
	if row := rowOf(t, r.Usage, "messages sent", "99th"); math.Abs(row.Chosen.Slope-0.15) > 1e-3 {
		t.Errorf("99th: %+v", row.Chosen)
	}
	row := rowOf(t, r.InForce, "in force at all after", "worst")
	if row.Chosen.Model != Linear || row.Measured != nil || row.Error != nil || row.Phase != "one" {
		t.Errorf("in force: %+v", row)
	}
}

func TestTheTextIsTheSameEachTime(t *testing.T) {
	folder := syntheticFolder(t)
	first, err := Folder(folder)
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		again, err := Folder(folder)
		if err != nil || again.Markdown() != first.Markdown() {
			t.Fatal("another text", err)
		}
	}
	for _, want := range []string{"not measured", "left out: interrupted", `left out: trouble: a host \| ended`, "| compared |", "10 + 0.1 n"} {
		if !strings.Contains(first.Markdown(), want) {
			t.Errorf("no %q in\n%s", want, first.Markdown())
		}
	}
	if _, err := json.Marshal(first); err != nil {
		t.Error(err)
	}
}

func TestSeriesAreApart(t *testing.T) {
	var files []File
	for i, change := range []func(*result.Settings){
		func(*result.Settings) {}, func(s *result.Settings) { s.RTTMS = 80 }, func(s *result.Settings) { s.LeaseS = 6 },
		func(s *result.Settings) { s.PeriodMS = 600 }, func(s *result.Settings) { s.Bans = 40 }, func(s *result.Settings) { s.Classes = 1 },
		func(s *result.Settings) { s.Numbers = 0 },
	} {
		run := syntheticRun("rest", 60, 1)
		change(&run.Settings)
		files = append(files, File{fmt.Sprint(i), run})
	}
	r := report(files)
	series := map[Series]bool{}
	for _, row := range r.Usage {
		series[row.Series] = true
		if len(row.Points) != 1 || len(row.Remarks) != 1 || row.Remarks[0] != "1 size, 1 run: too few to choose a model" {
			t.Errorf("%+v", row)
		}
	}
	if len(series) != len(files) {
		t.Errorf("%d series", len(series))
	}
}

func TestRemarks(t *testing.T) {
	for want, points := range map[string][]Point{
		"3 sizes, 1 run each":                            {{1, 0}, {2, 0}, {3, 0}},
		"3 sizes, 1 to 2 runs each":                      {{1, 0}, {2, 0}, {3, 0}, {3, 0}},
		"2 sizes, 1 run each: too few to choose a model": {{1, 0}, {2, 0}},
		"no runs of up to 1,000 members":                 nil,
		"5 sizes, 2 runs each":                           {{1, 0}, {2, 0}, {3, 0}, {4, 0}, {5, 0}, {1, 0}, {2, 0}, {3, 0}, {4, 0}, {5, 0}},
	} {
		if got := shortOf(points); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	run := syntheticRun("change", 60, 1)
	run.Changes[0].Never = 1
	for _, row := range report([]File{{"a", run}}).InForce {
		if row.Remarks[0] != "1 change never in force, not in the times" {
			t.Errorf("%q", row.Remarks)
		}
	}
}

func TestSizesAbove1000AreNotFitted(t *testing.T) {
	r := report([]File{{"a", syntheticRun("rest", 1200, 1)}, {"b", syntheticRun("rest", 1400, 1)}})
	row := rowOf(t, r.Usage, "messages sent", "median")
	if row.Chosen != nil || row.Predicted != nil || row.Measured == nil || math.Abs(*row.Measured-150) > 1e-9 {
		t.Errorf("%+v", row)
	}
	if r.Runs[0].Used != "listed only" || r.Runs[1].Used != "compared" {
		t.Errorf("%+v", r.Runs)
	}
	if text := r.Markdown(); !strings.Contains(text, "no runs of up to 1,000 members") {
		t.Error(text)
	}
}

func TestDigits(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 1e-12: "0", 12345.678: "12350", 0.00123456: "0.001235", 40: "40", -2.5: "-2.5", 1e-5: "0.00001"} {
		if got := digits(v); got != want {
			t.Errorf("%v: %q, want %q", v, got, want)
		}
	}
}
