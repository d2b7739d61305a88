package fit

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"brasswell/internal/rig/scale/callresult"
	"brasswell/internal/rig/scale/result"
)

// syntheticCalls is a measurement in which each proxy adds half a millisecond.
func syntheticCalls() *callresult.Run {
	side := func(p99 float64) callresult.Side {
		return callresult.Side{Sent: 12, Answered: 12, Recorded: 10, MedianMS: 1, P99MS: p99, WorstMS: 2 * p99, LateP99MS: 0.25}
	}
	run := &callresult.Run{Version: callresult.Version, Settings: callresult.Settings{LengthS: 10}, Host: result.Host{Cores: 8}, LoadBefore: 0.5}
	for _, depth := range []int{7, 1} {
		c := callresult.Case{Rate: 300, Depth: depth}
		for pair := range 3 {
			p := callresult.Pair{Direct: side(2), Proxied: side(2 + 0.5*float64(depth) + float64(pair)/8)}
			for range depth {
				p.HopCalls, p.HopCPUUS = append(p.HopCalls, 12), append(p.HopCPUUS, 80)
			}
			c.Pairs = append(c.Pairs, p)
		}
		run.Cases = append(run.Cases, c)
	}
	return run
}

// writeCalls puts a measurement of calls in a folder of results.
func writeCalls(t *testing.T, folder, name string, run *callresult.Run) {
	t.Helper()
	var text bytes.Buffer
	if err := run.Write(&text); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Join(folder, callsFolder), 0o755); err != nil {
		t.Fatal(err)
	}
	writeText(t, filepath.Join(folder, callsFolder, name), text.String())
}

func TestCalls(t *testing.T) {
	folder := t.TempDir()
	writeCalls(t, folder, "a.json", syntheticCalls())
	r, err := Folder(folder)
	if err != nil || len(r.Runs) != 0 || len(r.Calls) != 2 {
		t.Fatalf("%+v, %v", r, err)
	}
	if one := r.Calls[0]; one.Depth != 1 || one.Summary.Added != 0.625 || one.Summary.CPUUS != 80 || len(one.Remarks) != 0 {
		t.Errorf("%+v", one)
	}
	if tables := r.Tables(); len(tables) != 1 || tables[0].Name != "calls" {
		t.Errorf("%+v", tables)
	}
	path := filepath.Join(folder, callsFolder, "b.json")
	for _, text := range []string{"{", `{"version":9}`, `{"version":1,"cases":[{}]}`} {
		writeText(t, path, text)
		var wrong *FileError
		if _, err := Folder(folder); !errors.As(err, &wrong) || wrong.Path != path {
			t.Errorf("%s: %v", text, err)
		}
	}
}
