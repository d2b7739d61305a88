package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brasswell/internal/rig/scale/fit"
	"brasswell/internal/rig/scale/result"
)

// restRun is the file of one run at rest.
func restRun(t *testing.T, members int) string {
	t.Helper()
	rate := result.Quantiles{Count: 1, Median: float64(members), P99: float64(members), Worst: float64(members)}
	run := result.Run{
		Version:  result.Version,
		Settings: result.Settings{Members: members, Event: "rest", LeaseS: 3},
		Roles:    []result.Usage{{Role: result.Member, Members: members, MessagesSent: rate}},
	}
	var text bytes.Buffer
	if err := run.Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

func TestScaleFit(t *testing.T) {
	folder := t.TempDir()
	for name, members := range map[string]int{"a.json": 60, "b.json": 300, "c.json": 1000, "d.json": 1400} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(restRun(t, members)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out, errOut bytes.Buffer
	if code := Main(t.Context(), []string{"scale", "fit", folder}, os.Getenv, &out, &errOut); code != exitFine || errOut.Len() > 0 {
		t.Fatalf("code %d, %s", code, errOut.String())
	}
	for _, want := range []string{"<!-- scale fit: begin usage-member -->", "| messages sent, median (/s) | linear |", "| 1400 | 1400 | 0.0 % | 3 sizes, 1 run each |"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	out.Reset()
	if code := Main(t.Context(), []string{"scale", "fit", "--format", "json", folder}, os.Getenv, &out, &errOut); code != exitFine {
		t.Fatalf("code %d, %s", code, errOut.String())
	}
	var report fit.Report
	if err := json.Unmarshal(out.Bytes(), &report); err != nil || len(report.Runs) != 4 || len(report.Usage) != 3 {
		t.Errorf("%v, %+v", err, report)
	}
}

// TestScaleFitOfBadInput: it could not be asked, with the place and the mend, and nothing half printed.
func TestScaleFitOfBadInput(t *testing.T) {
	cut, empty := t.TempDir(), t.TempDir()
	whole := restRun(t, 60)
	for name, text := range map[string]string{"a.json": whole, "b.json": whole[:len(whole)/2]} {
		if err := os.WriteFile(filepath.Join(cut, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{cut}, filepath.Join(cut, "b.json") + ": cut, or not one JSON value: measure it again"},
		{[]string{empty}, empty + ": no *.json files in it: name the folder"},
		{[]string{filepath.Join(empty, "none")}, "no such folder"},
		{nil, "accepts 1 arg"},
		{[]string{cut, "--format", "xml"}, "allowed is text, json"},
	} {
		var out, errOut bytes.Buffer
		code := Main(t.Context(), append([]string{"scale", "fit"}, c.args...), os.Getenv, &out, &errOut)
		if code != exitNotAsked || out.Len() > 0 || !strings.Contains(errOut.String(), c.want) {
			t.Errorf("%q: code %d, printed %q, said %q", c.args, code, out.String(), errOut.String())
		}
	}
}
