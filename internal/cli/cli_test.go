package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestExitCodes: 0 is fine, 1 is a no, 2 could not be asked.
func TestExitCodes(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	sound, broken := write("sound.toml", "[log]\nlevel = \"warn\"\n"), write("broken.toml", "[log]\nlevel = 3\nburst = \"no\"\n")
	const app = "[app]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nserves = \"127.0.0.1:2\"\n" +
		"[[route]]\nname = \"r\"\npath = \"/\"\nmethods = [\"GET\"]\nwanted = \"1s\"\ngive_up = \"2s\"\n"
	warned, unsafe := write("warned.toml", app+"writes = [\"w\"]\n"), write("unsafe.toml", app+"writes = [\"w\"]\nrepeat = \"safe\"\n")
	platform := write("broken.json", "{\n \"listen\": 4}")
	for _, c := range []struct {
		args     string
		code     int
		out, err string // what must stand there
	}{
		{"version", 0, "brasswell ", ""},
		{"version --format json", 0, `"version":`, ""},
		{"--help", 0, "brasswell demo", ""},
		{"check " + sound, 0, "sound", ""},
		{"check " + broken, 1, "broken.toml:3:9: log.burst", ""},
		{"check " + sound + " " + broken, 1, "broken.toml:2:9: log.level", ""},
		{"check --format json " + broken, 1, `"sound":false`, ""},
		{"check " + warned, 0, "warning: route[0].methods: writes w on GET", ""},
		{"check " + warned, 0, "sound", ""},
		{"check " + unsafe, 1, "unsafe.toml:12:1: route[0].repeat: writes w and is marked as safe to repeat", ""},
		{"check --format json " + warned, 0, `"warning":true`, ""},
		{"check " + platform, 1, "broken.json:2:12", ""},
		{"check " + folder + "/absent.toml", 2, "", "no such file"},
		{"check " + folder, 2, "", "directory"},
		{"check", 2, "", "requires at least 1 arg"},
		{"check --format xml " + sound, 2, "", "allowed is text, json"},
		{"schema", 0, `"$schema"`, ""},
		{"schema --format markdown", 0, "# The operator file", ""},
		{"schema --format toml", 0, "# [callers]", ""},
		{"schema --format xml", 2, "", "allowed is json, markdown, toml"},
		{"scale --members 3", 2, "", "--members 3: 6 "},
		{"scale --event flood", 2, "", "--event flood: allowed is rest, "},
		{"scale --length soon", 2, "", "invalid duration"},
		{"scale --format xml", 2, "", "allowed is text, json"},
		{"scale --out " + folder + "/absent/run.json", 2, "", "--out: "},
		{"scale --folder " + sound, 2, "", "--folder: "},
		{"scale 60", 2, "", "unknown command"},
		{"frobnicate", 2, "", "unknown command"},
		{"", 2, "", "RELAY_CONFIG is not set"},
		{"run", 2, "", "RELAY_CONFIG: not set"},
		{"run -c " + broken, 2, "", "broken.toml:3:9"},
		{"run --frobnicate", 2, "", "unknown flag"},
		{"demo --for 1s", 2, "", "allowed is 2s to 1h0m0s"},
		{"demo --listen 127.0.0.1:99999", 2, "", "invalid port"},
		{"demo --for 2s --format json", 0, `"kept":true`, ""},
		{"completion bash", 0, "bash completion", ""},
	} {
		var out, errOut bytes.Buffer
		code := Main(t.Context(), strings.Fields(c.args), func(string) string { return "" }, &out, &errOut)
		if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.err) {
			t.Errorf("brasswell %s: exit %d, want %d; out %q, err %q", c.args, code, c.code, out.String(), errOut.String())
		}
	}
}

// TestEveryVerbHasAnExample: --help must show one.
func TestEveryVerbHasAnExample(t *testing.T) {
	root := (&env{}).root()
	for _, c := range root.Commands() {
		if !strings.Contains(c.Example, "brasswell "+c.Name()) || c.Long == "" && c.Short == "" {
			t.Errorf("%s: no example", c.Name())
		}
	}
}

func TestCheckAsJSON(t *testing.T) {
	path := filepath.Join(t.TempDir(), "o.toml")
	if err := os.WriteFile(path, []byte("[callers]\nbody_timeout = 700\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	Main(t.Context(), []string{"check", "--format", "json", path}, os.Getenv, &out, &bytes.Buffer{})
	var got struct {
		File     string
		Sound    bool
		Findings []struct {
			Line, Column int
			Key, Text    string
		}
	}
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.File != path || got.Sound || len(got.Findings) != 1 || got.Findings[0].Line != 2 || got.Findings[0].Column != 16 ||
		got.Findings[0].Key != "callers.body_timeout" {
		t.Errorf("%+v", got)
	}
}
