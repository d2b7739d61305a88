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

const patient = 20 * time.Second

// book is a desk that knows one server.
type book struct {
	mu    sync.Mutex
	calls []string
	ready bool
}

func (b *book) Ready() bool             { b.mu.Lock(); defer b.mu.Unlock(); return b.ready }
func (b *book) Figures(t []byte) []byte { return append(t, "edge_relay.active:0|g\n"...) }
func (b *book) Status() ([]byte, error) { return []byte(`{"ready":true}`), nil }

func (b *book) Rules(context.Context) ([]byte, error) { return nil, ErrDisabled }
func (b *book) Propose(_ context.Context, c []byte) ([]byte, error) {
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
func (b *book) Refound(context.Context) error            { return ErrDisabled }
func (b *book) Fleet(context.Context) ([]byte, error)    { return nil, ErrDisabled }
func (b *book) Recovery(context.Context) ([]byte, error) { return nil, ErrDisabled }
func (b *book) note(what, id string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, what+" "+id)
	if id != "s/1 é" && id != "s1" {
		return fmt.Errorf("no list has ever named the backend %q", id)
	}
	return nil
}
func (b *book) Suspend(_ context.Context, id string) error { return b.note("suspend", id) }
func (b *book) Resume(_ context.Context, id string) error  { return b.note("resume", id) }

func start(t *testing.T, conns int) (*Server, *book) {
	t.Helper()
	b := &book{ready: true}
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
	c.SetDeadline(time.Now().Add(patient))
	return c
}

// call makes one call byte for byte and returns the answer's status, head and body; the connection must end with it.
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
		t.Errorf("%.60q: more than one answer", text)
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
		text   string
		status int
		says   string
		done   string // what reaches the desk
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
		{plain("GET", "/v1/readyz") + plain("GET", "/v1/readyz"), 200, "ready", ""}, // one call to a connection
		{"nonsense\r\n\r\n", 400, "", ""},
		{plain("GET", "/"+strings.Repeat("x", 40<<10)), 431, "", ""},
	} {
		b.mu.Lock()
		b.calls = nil
		b.mu.Unlock()
		status, _, body := call(t, s, c.text)
		if status != c.status || !strings.Contains(body, c.says) {
			t.Errorf("%.60q: %d %q, wanted %d and %q", c.text, status, body, c.status, c.says)
		}
		b.mu.Lock()
		if got := strings.Join(b.calls, "; "); got != c.done {
			t.Errorf("%.60q: did %q, wanted %q", c.text, got, c.done)
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
		t.Errorf("%d", status)
	}
}

// TestSilentCallersNeverKeepOneOut opens far more silent and half calls than there are places; after each a real call
// is answered, and never are more held than there are places.
func TestSilentCallersNeverKeepOneOut(t *testing.T) {
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
				t.Fatalf("behind %d silent callers: %d", i+1, status)
			}
		}
		s.listener.mu.Lock()
		if n := len(s.listener.open); n > places {
			t.Errorf("%d connections held", n)
		}
		s.listener.mu.Unlock()
	}
	// The oldest have been ended for the later ones.
	if _, err := io.Copy(io.Discard, held[0]); err != nil {
		var e net.Error
		if errors.As(err, &e) && e.Timeout() {
			t.Error("the oldest silent caller is still held")
		}
	}
}

func TestHalfCallsEnd(t *testing.T) {
	s, _ := start(t, 8)
	for _, text := range []string{"", "G", "GET /v1/readyz HTTP/1.1\r\nHost: c\r\n"} {
		c := dial(t, s)
		io.WriteString(c, text)
		if _, err := io.Copy(io.Discard, c); err != nil { // an answer or a close, but an end
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestCallsThatHaveComeKeepTheirPlace has newcomers want the one place of a call that has come and is not being answered
// yet, as when the process lacks processor time: unread, half read, and read to the end of its head.
func TestCallsThatHaveComeKeepTheirPlace(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := newListener(inner.(*net.TCPListener), 1)
	say := func(text string) net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, text)
		return c
	}
	say("GET /v1/readyz HTTP/1.1\r\nHost: c\r\n\r\n")
	held, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	for !held.(*caller).speaks() { // until loopback has carried it
		time.Sleep(time.Millisecond)
	}
	late := func(c net.Conn) *caller { // as if its grace were over
		l.mu.Lock()
		defer l.mu.Unlock()
		c.(*caller).since = time.Now().Add(-time.Hour)
		return c.(*caller)
	}
	newcomer := &caller{of: l}
	late(held)
	if l.admit(newcomer) == 0 {
		t.Fatal("the place of a call that nobody has read was given away")
	}
	if _, err := io.ReadFull(held, make([]byte, len("GET /v1/readyz HTTP/1.1\r\nHost: c\r\n\r\n"))); err != nil {
		t.Fatal(err)
	}
	late(held)
	if l.admit(newcomer) == 0 {
		t.Fatal("the place of a call that has been read was given away before its answer")
	}
	l.track(held, http.StateClosed)

	say("GET /v1/readyz HTTP/1.1\r\n")
	half, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(half, make([]byte, len("GET /v1/readyz HTTP/1.1\r\n"))); err != nil {
		t.Fatal(err)
	}
	late(half)
	if l.admit(newcomer) != 0 {
		t.Fatal("half a call that stands still kept its place")
	}
	if _, err := half.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the half call's connection is open still: %v", err)
	}
}

// TestHalfCallsGoBeforeSilentCallers holds who makes room: one that has not sent anything yet is kept for longer while
// others stand within half a call, and no longer than its grace where none does.
func TestHalfCallsGoBeforeSilentCallers(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		name         string
		silent, half time.Duration // how long each has been so; 0 for none
		victim       string
		wait         time.Duration
	}{
		{"nobody", 0, 0, "", answering},
		{"silent within its grace", 10 * time.Millisecond, 0, "", headGrace - 10*time.Millisecond},
		{"silent past it", headGrace, 0, "silent", 0},
		{"half a call past its grace", time.Hour, headGrace, "half", 0},
		{"half a call within it", headGrace, 10 * time.Millisecond, "", headGrace - 10*time.Millisecond},
		{"silent past the longer one", firstGrace, time.Millisecond, "silent", 0},
		{"silent nearly so", firstGrace - time.Millisecond, time.Millisecond, "", time.Millisecond},
	} {
		l := newListener(nil, 1)
		for list, age := range map[*linked.List[caller, *caller]]time.Duration{&l.silent: c.silent, &l.half: c.half} {
			if age > 0 {
				l.put(&caller{}, list, ago(age))
			}
		}
		got, wait := l.victim(now)
		name := ""
		if got != nil {
			name = map[bool]string{true: "silent", false: "half"}[got.in == &l.silent]
		}
		if name != c.victim || wait != c.wait {
			t.Errorf("%s: %q after %v, wanted %q after %v", c.name, name, wait, c.victim, c.wait)
		}
	}
}

// TestProposals: a change that makes no sense, one that is turned away and one that nobody answers are told apart, so that a caller
// knows whether to ask again.
func TestProposals(t *testing.T) {
	s := &Server{desk: &book{}, log: slog.New(slog.DiscardHandler)}
	for body, want := range map[string]int{
		"bad": http.StatusBadRequest, "no": http.StatusConflict, "late": http.StatusGatewayTimeout, "{}": http.StatusOK,
		strings.Repeat("x", maxBody+1): http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/rules", strings.NewReader(body)))
		if w.Code != want {
			t.Errorf("%.10q: %d, wanted %d", body, w.Code, want)
		}
	}
	for method, want := range map[string]int{http.MethodGet: http.StatusMethodNotAllowed, http.MethodPost: http.StatusNotFound} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(method, "/v1/rules/refound", nil))
		if w.Code != want {
			t.Errorf("%s: %d, wanted %d", method, w.Code, want)
		}
	}
}
