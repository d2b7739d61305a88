package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brasswell/internal/handover"
	"brasswell/internal/state"
)

// TestStateCommands: what a folder holds goes through export and import whole, a broken folder is told, and another proxy's is not
// taken.
func TestStateCommands(t *testing.T) {
	from, to := t.TempDir(), t.TempDir()
	folder, err := state.OpenFolder(from)
	if err != nil {
		t.Fatal(err)
	}
	s, _ := state.Open(folder, "n1")
	for _, id := range []string{"node-01", "node-02"} {
		if err := s.Ban(id, true); err != nil {
			t.Fatal(err)
		}
	}
	known := handover.State{Seq: 9, OpenIDs: []string{"r"}, CallerConns: 2, LongestDeadline: 3, LatencyP95: 4, BannedByOperator: []string{"node-01"}}
	if err := s.Save(&state.Learned{Written: state.Now(), Knowledge: known, Demand: map[string]float64{"hold": 3}}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	folder.Close()
	run := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if code := Main(t.Context(), args, func(string) string { return "" }, &out, &errs); code != want {
			t.Fatalf("%q: %d, wanted %d: %s%s", args, code, want, out.String(), errs.String())
		}
		return out.String() + errs.String()
	}
	if text := run(0, "state", "show", from, "--name", "n1"); !strings.Contains(text, "2 backends out by hand: node-01, node-02") || !strings.Contains(text, "learned of 0 backends") {
		t.Error(text)
	}
	file := filepath.Join(t.TempDir(), "n1.json")
	if err := os.WriteFile(file, []byte(run(0, "state", "export", from, "--name", "n1")), 0o600); err != nil {
		t.Fatal(err)
	}
	run(0, "state", "import", to, file, "--name", "n2")
	if text := run(0, "state", "export", to, "--name", "n2"); !strings.Contains(text, "node-02") || !strings.Contains(text, `"hold": 3`) {
		t.Error(text)
	}
	// Files exported earlier have these keys.
	if text := strings.Join(strings.Fields(run(0, "state", "export", to, "--name", "n2")), ""); !strings.Contains(text, `"Open":["r"],"Callers":2,"Longest":3,"Usual":4,"ByHand":["node-01"]`) {
		t.Error(text)
	}
	run(0, "state", "verify", to, "--name", "n2")
	if text := run(1, "state", "verify", to, "--name", "n1"); !strings.Contains(text, `it is "n2"'s`) {
		t.Error(text)
	}
	run(2, "state", "show", filepath.Join(to, "nowhere"), "--name", "n1")
	run(2, "state", "show", from)
	held, err := state.OpenFolder(from)
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	if text := run(2, "state", "show", from, "--name", "n1"); !strings.Contains(text, "another process holds") {
		t.Error(text)
	}
}
