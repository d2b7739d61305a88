package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] }
	text := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f","settings":{}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := ReadPlatform(getenv)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct{ text, want, fault string }{
		{`{"discovery":"127.0.0.1:1"}`, "", ""},
		{`{"discovery":"127.0.0.1:2"}`, "127.0.0.1:2", ""},
		{`{"discovery":"127.0.0.1:2"}`, "", ""},
		{`{"discovery":"nowhere"}`, "", "nowhere"},
		{`{"disc`, "", "RELAY_CONFIG"},
		{`{"discovery":"127.0.0.1:1"}`, "127.0.0.1:1", ""},
	} {
		if err := os.WriteFile(path, []byte(step.text), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := c.Reload(getenv)
		if got != step.want || (err != nil) != (step.fault != "") || err != nil && !strings.Contains(fmt.Sprint(err), step.fault) {
			t.Errorf("%s: %q, %v; want %q and a fault with %q", step.text, got, err, step.want, step.fault)
		}
	}
}
