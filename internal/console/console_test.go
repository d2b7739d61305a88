package console

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/internal/linked"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// fakeController records calls and knows the servers s1 and "s/1 é".
type fakeController struct {
	mu    sync.Mutex
	calls []string
	ready bool
}

func (b *fakeController) Ready() bool             { b.mu.Lock(); defer b.mu.Unlock(); return b.ready }
func (b *fakeController) Figures(t []byte) []byte { return append(t, "edge_relay.active:0|g\n"...) }
func (b *fakeController) Status() ([]byte, error) { return []byte(`{"ready":true}`), nil }

func (b *fakeController) Rules(context.Context) ([]byte, error) { return nil, ErrDisabled }
func (b *fakeController) Propose(_ context.Context, c []byte) ([]byte, error) {
	switch string(c) {
	case "bad":
		return nil, ErrInvalid
	case "no":
		return nil, ErrRefused
	case "late":
		return nil, context.DeadlineExceeded
	}
	return c, nil
}
func (b *fakeController) Refound(context.Context) error            { return ErrDisabled }
func (b *fakeController) Fleet(context.Context) ([]byte, error)    { return nil, ErrDisabled }
func (b *fakeController) Recovery(context.Context) ([]byte, error) { return nil, ErrDisabled }
func (b *fakeController) record(what, id string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, what+" "+id)
	if id != "s/1 é" && id != "s1" {
		return fmt.Errorf("no list has ever named the backend %q", id)
	}
	return nil
}
func (b *fakeController) Suspend(_ context.Context, id string) error { return b.record("suspend", id) }
func (b *fakeController) Resume(_ context.Context, id string) error  { return b.record("resume", id) }

func start(t *testing.T, conns int) (*Server, *fakeController) {
	t.Helper()
	b := &fakeController{ready: true}
	s, err := New("127.0.0.1:0", conns, b, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, b
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// call sends text unchanged as one call and returns the response's status, header and body. It checks that the server
// sends one response and then closes the connection.
func call(t *testing.T, s *Server, text string) (int, http.Header, string) {
	t.Helper()
	c := dial(t, s)
	io.WriteString(c, text)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	if _, err := r.ReadByte(); err == nil {
		t.Errorf("%.60q: more than one response", text)
	} else if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Errorf("%.60q: the connection stays open", text)
	}
	return resp.StatusCode, resp.Header, string(body)
}

func plain(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: console\r\n\r\n"
}

func TestCalls(t *testing.T) {
	s, b := start(t, 8)
	for _, c := range []struct {
		text     string
		status   int
		contains string
		action   string // calls that reach the controller
	}{
		{plain("GET", "/v1/readyz"), 200, "ready", ""},
		{plain("GET", "/v1/status"), 200, `{"ready":true}`, ""},
		{plain("POST", "/v1/status"), 405, "GET", ""},
		{plain("GET", "/v1/metrics"), 200, "edge_relay.active:0|g", ""},
		{plain("GET", "/v1/metrics?x=1"), 200, "edge_relay.active:0|g", ""},
		{plain("POST", "/v1/backends/s1/suspend"), 200, "s1", "suspend s1"},
		{plain("POST", "/v1/backends/s1/resume"), 200, "s1", "resume s1"},
		{plain("POST", "/v1/backends/s%2F1%20%C3%A9/suspend"), 200, "s/1 é", "suspend s/1 é"},
		{plain("POST", "/v1/backends/s%252F1/suspend"), 404, "s%2F1", "suspend s%2F1"},
		{plain("POST", "/v1/backends/nobody/suspend"), 404, "nobody", "suspend nobody"},
		{plain("POST", "/v1/backends//suspend"), 400, "empty", ""},
		{plain("POST", "/v1/backends/%0a/suspend"), 400, "plain text", ""},
		{plain("POST", "/v1/backends/%ff/suspend"), 400, "plain text", ""},
		{plain("POST", "/v1/backends/"+strings.Repeat("x", 300)+"/suspend"), 400, "256", ""},
		{plain("POST", "/v1/backends/s1/../s1/suspend"), 404, "no such call", ""},
		{plain("POST", "/v1/backends/s1"), 404, "no such call", ""},
		{plain("POST", "/v1/backends/s1/suspend/"), 404, "no such call", ""},
		{plain("POST", "/v1//backends/s1/suspend"), 404, "no such call", ""},
		{plain("GET", "/"), 404, "no such call", ""},
		{plain("GET", "/v1/backends/s1/suspend"), 405, "POST", ""},
		{plain("POST", "/v1/readyz"), 405, "GET", ""},
		{plain("DELETE", "/v1/metrics"), 405, "GET", ""},
		{"POST /v1/backends/s1/suspend HTTP/1.1\r\nHost: c\r\nContent-Length: 9000000\r\n\r\nxx", 200, "s1", "suspend s1"},
		{plain("GET", "/v1/readyz") + plain("GET", "/v1/readyz"), 200, "ready", ""}, // one call per connection
		{"nonsense\r\n\r\n", 400, "", ""},
		{plain("GET", "/"+strings.Repeat("x", 40<<10)), 431, "", ""},
	} {
		b.mu.Lock()
		b.calls = nil
		b.mu.Unlock()
		status, _, body := call(t, s, c.text)
		if status != c.status || !strings.Contains(body, c.contains) {
			t.Errorf("%.60q: got %d %q, want %d and %q", c.text, status, body, c.status, c.contains)
		}
		b.mu.Lock()
		if got := strings.Join(b.calls, "; "); got != c.action {
			t.Errorf("%.60q: controller calls %q, want %q", c.text, got, c.action)
		}
		b.mu.Unlock()
	}
}

func TestNotReady(t *testing.T) {
	s, b := start(t, 8)
	b.mu.Lock()
	b.ready = false
	b.mu.Unlock()
	if status, _, _ := call(t, s, plain("GET", "/v1/readyz")); status != 503 {
		t.Errorf("status %d, want 503", status)
	}
}

// TestSilentCallersDoNotBlockNewCalls opens far more silent connections and partial calls than there are places.
// Complete calls are answered nevertheless, and the listener never holds more connections than it has places.
func TestSilentCallersDoNotBlockNewCalls(t *testing.T) {
	const places = 8
	s, _ := start(t, places)
	var held []net.Conn
	for i := range 20 * places {
		c := dial(t, s)
		if i%2 == 1 {
			io.WriteString(c, "GET /v1/read")
		}
		held = append(held, c)
		if i%places == 0 {
			if status, _, _ := call(t, s, plain("GET", "/v1/readyz")); status != 200 {
				t.Fatalf("after %d silent or partial calls: status %d", i+1, status)
			}
		}
		s.listener.mu.Lock()
		if n := len(s.listener.open); n > places {
			t.Errorf("%d connections held", n)
		}
		s.listener.mu.Unlock()
	}
	// The oldest connections have been closed in favor of later ones.
	if _, err := io.Copy(io.Discard, held[0]); err != nil {
		var e net.Error
		if errors.As(err, &e) && e.Timeout() {
			t.Error("the oldest silent connection is still open")
		}
	}
}

func TestPartialCallsAreClosed(t *testing.T) {
	s, _ := start(t, 8)
	for _, text := range []string{"", "G", "GET /v1/readyz HTTP/1.1\r\nHost: c\r\n"} {
		c := dial(t, s)
		io.WriteString(c, text)
		if _, err := io.Copy(io.Discard, c); err != nil { // the server responds or closes the connection
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestReceivedCallsAreNotEvicted: new connections compete for the only place, which belongs to a call that was received
// but is not being answered yet, as happens when the process is short of CPU time. The call keeps its place while its
// head is unread and after the head has been read. A partial call whose grace period is over loses its place.
func TestReceivedCallsAreNotEvicted(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := newListener(inner.(*net.TCPListener), 1)
	connect := func(text string) net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, text)
		return c
	}
	connect("GET /v1/readyz HTTP/1.1\r\nHost: c\r\n\r\n")
	held, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	for !held.(*caller).hasSentCall() { // until the loopback interface has delivered it
		time.Sleep(time.Millisecond)
	}
	expireGrace := func(c net.Conn) *caller { // expires the connection's grace period
		l.mu.Lock()
		defer l.mu.Unlock()
		c.(*caller).since = time.Now().Add(-time.Hour)
		return c.(*caller)
	}
	newConn := &caller{owner: l}
	expireGrace(held)
	if l.admit(newConn) == 0 {
		t.Fatal("a call with an unread head was evicted")
	}
	if _, err := io.ReadFull(held, make([]byte, len("GET /v1/readyz HTTP/1.1\r\nHost: c\r\n\r\n"))); err != nil {
		t.Fatal(err)
	}
	expireGrace(held)
	if l.admit(newConn) == 0 {
		t.Fatal("a call with a complete head was evicted before its response")
	}
	l.track(held, http.StateClosed)

	connect("GET /v1/readyz HTTP/1.1\r\n")
	partial, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(partial, make([]byte, len("GET /v1/readyz HTTP/1.1\r\n"))); err != nil {
		t.Fatal(err)
	}
	expireGrace(partial)
	if l.admit(newConn) != 0 {
		t.Fatal("a stalled partial call kept its place")
	}
	if _, err := partial.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the partial call's connection is still open: %v", err)
	}
}

// TestPartialCallsAreEvictedBeforeSilentOnes checks which connection is evicted: a connection that has sent nothing is
// kept for the longer silentGrace while others have a partial call, and for headGrace where none has.
func TestPartialCallsAreEvictedBeforeSilentOnes(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		name            string
		silent, partial time.Duration // age of the oldest of each; 0 for none
		victim          string
		wait            time.Duration
	}{
		{"no connection", 0, 0, "", busyRetryDelay},
		{"silent within its grace", 10 * time.Millisecond, 0, "", headGrace - 10*time.Millisecond},
		{"silent past its grace", headGrace, 0, "silent", 0},
		{"partial call past its grace", time.Hour, headGrace, "partial", 0},
		{"partial call within its grace", headGrace, 10 * time.Millisecond, "", headGrace - 10*time.Millisecond},
		{"silent past the longer grace", silentGrace, time.Millisecond, "silent", 0},
		{"silent shortly before the longer grace ends", silentGrace - time.Millisecond, time.Millisecond, "", time.Millisecond},
	} {
		l := newListener(nil, 1)
		for list, age := range map[*linked.List[caller, *caller]]time.Duration{&l.silent: c.silent, &l.partial: c.partial} {
			if age > 0 {
				l.moveTo(&caller{}, list, ago(age))
			}
		}
		got, wait := l.victim(now)
		name := ""
		if got != nil {
			name = map[bool]string{true: "silent", false: "partial"}[got.queue == &l.silent]
		}
		if name != c.victim || wait != c.wait {
			t.Errorf("%s: got %q after %v, want %q after %v", c.name, name, wait, c.victim, c.wait)
		}
	}
}

// TestProposals: an invalid change, a rejected change and a change that times out have different status codes, so that
// a caller knows whether to retry.
func TestProposals(t *testing.T) {
	s := &Server{controller: &fakeController{}, log: slog.New(slog.DiscardHandler)}
	for body, want := range map[string]int{
		"bad": http.StatusBadRequest, "no": http.StatusConflict, "late": http.StatusGatewayTimeout, "{}": http.StatusOK,
		strings.Repeat("x", maxBodyBytes+1): http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/rules", strings.NewReader(body)))
		if w.Code != want {
			t.Errorf("%.10q: status %d, want %d", body, w.Code, want)
		}
	}
	for method, want := range map[string]int{http.MethodGet: http.StatusMethodNotAllowed, http.MethodPost: http.StatusNotFound} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(method, "/v1/rules/refound", nil))
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", method, w.Code, want)
		}
	}
}
