package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const patient = 20 * time.Second

// newRegistry is discovery with an empty list and no news; it reports its calls.
func newRegistry(t *testing.T) (address string, calls chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls = make(chan string, 100)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		if r.URL.RawQuery == "" {
			io.WriteString(w, `{"seq":1,"whole":true,"hosts":[]}`)
			return
		}
		<-r.Context().Done()
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), calls
}

func writeConfig(t *testing.T, path, discovery string) {
	t.Helper()
	settings := `{"instances":1,"me":0,"layer":0,"discovery":"push","zones":["kita"],
		"request_classes":[{"name":"search","aim_ms":500,"give_up_ms":1000,"effect":"free","worth":1}],
		"limits":{"cancel":true,"max_attempts":3,"conn_idle_ms":5000,"connect_timeout_ms":150},"rules":{}}`
	text, err := json.Marshal(map[string]any{
		"listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f",
		"limits": map[string]any{"cores": 1, "memory_mb": 4096, "sockets": 256}, "settings": json.RawMessage(settings),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func await(t *testing.T, what string, c <-chan string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patient):
		t.Fatalf("%s did not come", what)
	}
}

// TestHangupMovesDiscovery runs the program in this process, which a SIGHUP that is not caught would end.
func TestHangupMovesDiscovery(t *testing.T) {
	first, firstCalls := newRegistry(t)
	second, secondCalls := newRegistry(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, first)
	env := map[string]string{"RELAY_CONFIG": path, "RELAY_DISCOVERY": first}
	done := make(chan error, 1)
	go func() { done <- run(func(name string) string { return env[name] }) }()
	await(t, "a call to discovery", firstCalls)

	if err := os.WriteFile(path, []byte(`{"discovery":`), 0o600); err != nil {
		t.Fatal(err)
	}
	hangUp(t)
	writeConfig(t, path, second)
	hangUp(t)
	await(t, "a call at the new address", secondCalls)

	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(patient):
		t.Fatal("SIGTERM did not end it")
	}
}

func hangUp(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] }
	writeConfig(t, path, "127.0.0.1:1")
	c, err := readConfig(getenv)
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
		got, err := c.reload(getenv)
		if got != step.want || (err != nil) != (step.fault != "") || err != nil && !strings.Contains(fmt.Sprint(err), step.fault) {
			t.Errorf("%s: %q, %v; want %q and a fault with %q", step.text, got, err, step.want, step.fault)
		}
	}
}
