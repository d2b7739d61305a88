package fit

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"brasswell/internal/rig/scale/callresult"
)

// callsFolder, within a folder of results, holds those of `brasswell scale calls`.
const callsFolder = "calls"

// CallsRow is one case of a measurement of the latency that proxies add.
type CallsRow struct {
	File       string             `json:"file"`
	Rate       float64            `json:"rate"`
	Depth      int                `json:"depth"`
	Pairs      int                `json:"pairs"`
	LengthS    float64            `json:"length_s"`
	Cores      int                `json:"cores"`
	LoadBefore float64            `json:"load_average_before"`
	Summary    callresult.Summary `json:"summary"`
	Remarks    []string           `json:"remarks,omitempty"`
}

// readCalls reads all measurements of calls in a folder of results; there may be none.
func readCalls(folder string) ([]CallsRow, error) {
	folder = filepath.Join(folder, callsFolder)
	if _, err := os.Stat(folder); errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	paths, err := jsonFiles(folder)
	if err != nil {
		return nil, err
	}
	var rows []CallsRow
	for _, path := range paths {
		text, err := readWhole(path)
		if err != nil {
			return nil, err
		}
		run, err := callresult.Read(bytes.NewReader(text))
		if err != nil {
			return nil, &FileError{path, err, mendFile}
		}
		rows = append(rows, callsRows(filepath.Base(path), run)...)
	}
	slices.SortStableFunc(rows, func(a, b CallsRow) int {
		return cmp.Or(cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.Rate, b.Rate), cmp.Compare(a.File, b.File))
	})
	return rows, nil
}

// callsRows are the cases of one measurement. One that was interrupted has those that were whole.
func callsRows(file string, run *callresult.Run) []CallsRow {
	var rows []CallsRow
	for _, c := range run.Cases {
		row := CallsRow{
			File: file, Rate: c.Rate, Depth: c.Depth, Pairs: len(c.Pairs), LengthS: run.Settings.LengthS, Cores: run.Host.Cores,
			LoadBefore: run.LoadBefore, Summary: c.Summary(),
		}
		if run.Interrupted {
			row.Remarks = append(row.Remarks, "the run was interrupted")
		}
		if n := row.Summary.Unanswered; n > 0 {
			row.Remarks = append(row.Remarks, fmt.Sprintf("%s not answered", count(int(n), "call")))
		}
		if run.LoadBefore > busyShare*float64(run.Host.Cores) {
			row.Remarks = append(row.Remarks, "busy machine")
		}
		rows = append(rows, row)
	}
	return rows
}

// busyShare of the cores in the load average before a run says that others' work was in its way.
const busyShare = 0.25

func callsText(rows []CallsRow) string {
	t := newTable("Proxies", "Calls a second", "Pairs", "Length (s)", "Direct median (ms)", "Direct 99th (ms)", "Proxied median (ms)", "Proxied 99th (ms)",
		"Added at the 99th (ms)", "Range (ms)", "Processor time a call and proxy (µs)", "Sent late, 99th (ms)", "Load before", "Remarks", "File")
	for _, r := range rows {
		s := r.Summary
		t.row(integer(r.Depth), digits(r.Rate), integer(r.Pairs), digits(r.LengthS), digits(s.Direct.Median), digits(s.Direct.P99), digits(s.Proxied.Median),
			digits(s.Proxied.P99), digits(s.Added), digits(s.AddedLeast)+" to "+digits(s.AddedMost), digits(s.CPUUS), digits(s.LateP99MS),
			fmt.Sprintf("%s of %d", digits(r.LoadBefore), r.Cores), joined(r.Remarks), r.File)
	}
	return t.String()
}
