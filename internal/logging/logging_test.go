package logging

import (
	"bytes"
	"strings"
	"testing"
)

// TestBurstIsWrittenAtOnceAndTheRestIsCounted: what was dropped shows in the next line that is written.
func TestBurstIsWrittenAtOnceAndTheRestIsCounted(t *testing.T) {
	var out bytes.Buffer
	o := DefaultOptions()
	o.PerSecond, o.Burst = 1, 3
	l := New(&out, o)
	for range 10 {
		l.Info("line")
	}
	if n := strings.Count(out.String(), "\n"); n != 3 {
		t.Fatalf("%d lines at once, want 3:\n%s", n, out.String())
	}
	out.Reset()
	o.PerSecond, o.Burst = 1_000_000, 1_000_000
	l.SetOptions(o)
	for out.Len() == 0 {
		l.Info("again")
	}
	if !strings.Contains(out.String(), "lines_dropped_before=") {
		t.Fatalf("nothing is said of the lines that were dropped: %s", out.String())
	}
}

func TestLevelChangesWhileInUse(t *testing.T) {
	var out bytes.Buffer
	o := DefaultOptions()
	l := New(&out, o)
	l.Debug("hidden")
	o.Level = "debug"
	l.SetOptions(o)
	l.Debug("shown")
	if s := out.String(); strings.Contains(s, "hidden") || !strings.Contains(s, "shown") {
		t.Fatal(s)
	}
}

func TestJSONFormat(t *testing.T) {
	var out bytes.Buffer
	o := DefaultOptions()
	o.Format = "json"
	New(&out, o).With("name", "n3").Info("line")
	if s := out.String(); !strings.HasPrefix(s, "{") || !strings.Contains(s, `"name":"n3"`) {
		t.Fatal(s)
	}
}
