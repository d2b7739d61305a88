package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
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
	go func() { done <- newEnv(env, io.Discard).run(t.Context(), "") }()
	await(t, "a call to discovery", firstCalls)

	if err := os.WriteFile(path, []byte(`{"discovery":`), 0o600); err != nil {
		t.Fatal(err)
	}
	hangUp(t)
	writeConfig(t, path, second)
	hangUp(t)
	await(t, "a call at the new address", secondCalls)

	end(t, done)
}

func hangUp(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// newEnv is the surroundings of a verb that writes all to w.
func newEnv(variables map[string]string, w io.Writer) *env {
	return &env{getenv: func(name string) string { return variables[name] }, out: w, errOut: w, format: "text"}
}

// end sends SIGTERM and waits for run to return.
func end(t *testing.T, done <-chan error) {
	t.Helper()
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

// lines is a log that a test waits on.
type lines chan string

func (l lines) Write(b []byte) (int, error) {
	select {
	case l <- string(b):
	default:
	}
	return len(b), nil
}

// await waits for a line with every one of the words.
func (l lines) await(t *testing.T, words ...string) {
	t.Helper()
	timeout := time.After(patient)
	for {
		select {
		case line := <-l:
			if !slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(line, w) }) {
				return
			}
		case <-timeout:
			t.Fatalf("no line with %q", words)
		}
	}
}

// TestReloadOfTheOperatorFile: a bad file and one with a setting that cannot change leave all as it is, and say so
// in full; a sound one is taken.
func TestReloadOfTheOperatorFile(t *testing.T) {
	registry, calls := newRegistry(t)
	folder := t.TempDir()
	path, file := filepath.Join(folder, "config.json"), filepath.Join(folder, "operator.toml")
	writeConfig(t, path, registry)
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const rates = "[log]\nper_second = 1000\nburst = 1000\n"
	write(rates)
	log := make(lines, 1000)
	done := make(chan error, 1)
	go func() { done <- newEnv(map[string]string{"RELAY_CONFIG": path}, log).run(t.Context(), file) }()
	await(t, "a call to discovery", calls)

	write(rates + "[callers]\nbody_timeout = 700\n[logs]\n")
	hangUp(t)
	log.await(t, "nothing has changed", "operator.toml:5:16", "no unit")
	log.await(t, "nothing has changed", "operator.toml:6:2", "did you mean [log]?")

	write(rates + "level = \"error\"\n[callers]\nmax_head = \"32KiB\"\n")
	hangUp(t)
	log.await(t, "only at a restart", "callers.max_head")

	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	hangUp(t)
	log.await(t, "discovery stays") // at level info: nothing of that file was taken
	log.await(t, "nothing has changed", "no such file")

	write(rates + "[callers]\nbody_timeout = \"900ms\"\n")
	hangUp(t)
	log.await(t, "operator file taken", "settings=3")
	end(t, done)
}

// TestFurtherListeners runs two listeners, each of which asks its own discovery.
func TestFurtherListeners(t *testing.T) {
	first, firstCalls := newRegistry(t)
	second, secondCalls := newRegistry(t)
	folder := t.TempDir()
	path, file := filepath.Join(folder, "config.json"), filepath.Join(folder, "operator.toml")
	writeConfig(t, path, first)
	text := fmt.Sprintf("[[listener]]\nname = \"branch\"\nlisten = \"127.0.0.1:0\"\ndiscovery = %q\n", second)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- newEnv(map[string]string{"RELAY_CONFIG": path}, io.Discard).run(t.Context(), file) }()
	await(t, "a call to the first's discovery", firstCalls)
	await(t, "a call to the second's discovery", secondCalls)
	end(t, done)
}

// TestTermBeforeReady sends SIGTERM while the program still reads its configuration: it starts, answers what has come by then,
// and ends in order. One that is not caught would end this process.
func TestTermBeforeReady(t *testing.T) {
	registry, _ := newRegistry(t)
	folder := t.TempDir()
	whole, slow := filepath.Join(folder, "whole.json"), filepath.Join(folder, "config.json")
	writeConfig(t, whole, registry)
	text, err := os.ReadFile(whole)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(slow, 0o600); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- newEnv(map[string]string{"RELAY_CONFIG": slow}, io.Discard).run(t.Context(), "") }()
	w, err := os.OpenFile(slow, os.O_WRONLY, 0) // once the program has opened it
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(text); err != nil {
		t.Fatal(err)
	}
	w.Close()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patient):
		t.Fatal("it does not end")
	}
}
