package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brasswell/internal/cluster/agreement"
	"brasswell/internal/cluster/rules"
)

// keeper is a console that answers each change with the next version, some asks later, and has it in force some later still.
type keeper struct {
	busy, slow int
	changes    []rules.Change
	versions   []rules.Version
}

func (k *keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/rules":
		text, _ := io.ReadAll(r.Body)
		var c rules.Change
		if err := json.Unmarshal(text, &c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		k.changes = append(k.changes, c)
		if k.busy--; k.busy >= 0 {
			http.Error(w, "no answer yet", http.StatusGatewayTimeout)
			return
		}
		if c.Server == "refused" {
			http.Error(w, "turned away", http.StatusConflict)
			return
		}
		json.NewEncoder(w).Encode(rules.Answer{ID: c.ID, Version: 3})
	case "GET /v1/rules":
		got := agreement.Report{Name: "n1", Mode: "leased", Version: 3, Last: 3, Leader: "n1", History: k.versions}
		if k.slow--; k.slow >= 0 {
			got.Version = 2
		}
		json.NewEncoder(w).Encode(got)
	case "POST /v1/rules/refound":
		io.WriteString(w, "refound\n")
	default:
		http.NotFound(w, r)
	}
}

func TestCtlRules(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte("quota = 0.5\n[class.hold]\nno_repeat = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ban := map[string]rules.Ban{"node-03": {Who: "ops", Why: "disk"}}
	for _, c := range []struct {
		args       []string
		busy, slow int
		code       int
		out, err   string
		changes    int
	}{
		{args: []string{"rules"}, out: "version 3 in force; leader n1"},
		{args: []string{"rules", "--format", "json"}, out: `"version":3`},
		{args: []string{"suspend", "node-03", "--everywhere", "--why", "disk"}, slow: 2, out: "version 3 is in force", changes: 1},
		{args: []string{"suspend", "node-03", "--everywhere"}, busy: 2, out: "version 3 is in force", changes: 3},
		{args: []string{"resume", "refused", "--everywhere"}, code: 1, err: "turned away", changes: 1},
		{args: []string{"suspend", "node-03", "--everywhere", "--within", "1ms"}, slow: 9, code: 1, err: "is not in force at n1", changes: 1},
		{args: []string{"rules", "propose", file, "--no-wait", "--format", "json"}, out: `{"in_force":false,"version":3}`, changes: 1},
		{args: []string{"rules", "drop", "node-04", "--no-wait"}, out: "on its way", changes: 1},
		{args: []string{"rules", "drop"}, code: 2, err: "holds nothing back"},
		{args: []string{"rules", "back", "2"}, out: "in force", changes: 1},
		{args: []string{"rules", "back", "two"}, code: 2, err: "is no version"},
		{args: []string{"rules", "wait", "3"}, out: "in force"},
		{args: []string{"rules", "history"}, out: "suspend node-03"},
		{args: []string{"rules", "diff", "1", "2"}, out: "+ node-03 is out (ops: disk)"},
		{args: []string{"rules", "diff", "1", "9"}, code: 2, err: "is not kept here"},
		{args: []string{"rules", "refound"}, code: 2, err: "--the-others-are-gone"},
		{args: []string{"rules", "refound", "--the-others-are-gone"}, out: "refound"},
	} {
		k := &keeper{busy: c.busy, slow: c.slow, versions: []rules.Version{{Number: 1}, {
			Number: 2, Doc: rules.Document{Bans: ban}, Change: rules.Change{Kind: rules.Suspend, Server: "node-03"},
		}}}
		s := httptest.NewServer(k)
		var out, errOut bytes.Buffer
		args := append(append([]string{"ctl"}, c.args...), "--console", s.Listener.Addr().String())
		code := Main(t.Context(), args, func(string) string { return "" }, &out, &errOut)
		s.Close()
		if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.err) {
			t.Errorf("%v: %d, %q, %q", c.args, code, out.String(), errOut.String())
		}
		if len(k.changes) != c.changes {
			t.Errorf("%v: %d proposals, wanted %d", c.args, len(k.changes), c.changes)
		}
		for _, one := range k.changes {
			if one.ID == "" || one.ID != k.changes[0].ID {
				t.Errorf("%v: asked again as another change", c.args)
			}
		}
	}
}

func TestReadRules(t *testing.T) {
	s, err := readRules([]byte("quota = 0.5\n[class.hold]\nno_repeat = true\n[class.\"*\"]\nclosed = true\n[number]\nn1 = 0\n"))
	if err != nil || s.Quota != 0.5 || !s.Classes["hold"].NoRepeat || !s.Classes[rules.AllClasses].Closed || s.Numbers["n1"] != 0 {
		t.Errorf("%+v, %v", s, err)
	}
	for text, want := range map[string]string{
		"qota = 1":                    "line 1, column 1: no such key \"qota\"",
		"quota = \"half\"":            "line 1",
		"quota = 2.0":                 "above 0 and up to 1",
		"[number]\nn1 = 3\nn2 = 3":    "no two may have one",
		"[class.hold]\nrepeat = true": "no such key \"class.hold.repeat\"",
	} {
		if _, err := readRules([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v; wanted %q", text, err, want)
		}
	}
}

func FuzzReadRules(f *testing.F) {
	f.Add([]byte("quota = 0.5\n[class.hold]\nno_repeat = true\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := readRules(text); err == nil && s.Validate() != nil {
			t.Error("it takes what cannot be")
		}
	})
}
