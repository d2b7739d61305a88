package proxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/balance"
	"brasswell/internal/front"
	"brasswell/internal/settings"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard) // net/http logs each unexpected byte, and these tests send many
	goleak.VerifyTestMain(m)
}

// eventTimeout is the time within which an expected event must occur.
const eventTimeout = 20 * time.Second

// await returns the next value of c, and fails the test if none arrives in time.
func await[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(eventTimeout):
		t.Fatalf("%s: timed out", what)
		panic("unreachable")
	}
}

// backend is a server on a loopback socket. The test provides the bytes of each answer.
type backend struct {
	address  string
	requests chan string // the ids received, in order
	conns    chan string // the remote address of each connection
	gone     chan string // the remote address of each connection that the peer has closed
}

// newBackend starts a backend that answers each request with the bytes that reply returns for its id; "" for no answer.
func newBackend(t *testing.T, address string, reply func(id string) string) *backend {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{l.Addr().String(), make(chan string, 100), make(chan string, 100), make(chan string, 100)}
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			b.conns <- c.RemoteAddr().String()
			go b.serve(c, reply)
		}
	}()
	return b
}

func (b *backend) serve(c net.Conn, reply func(string) string) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			b.gone <- c.RemoteAddr().String()
			return
		}
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get(front.IDField)
		b.requests <- id
		io.WriteString(c, reply(id))
	}
}

// drain receives from the channel of requests, which has a capacity of 100, until done is closed.
func (b *backend) drain(done <-chan struct{}) {
	for {
		select {
		case <-b.requests:
		case <-done:
			return
		}
	}
}

// idAnswer returns a valid answer whose body is the id of its request.
func idAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// registry is a stub of discovery. It answers a call that does not wait with an empty delta. The test provides the answers
// to other calls.
type registry struct {
	address string
	calls   chan string // the queries of the calls
	lists   chan string // the answers; each call waits for one
}

func newRegistry(t *testing.T) *registry {
	t.Helper()
	g := &registry{calls: make(chan string, 100), lists: make(chan string, 100)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.address = l.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if query := r.URL.Query(); query.Get("hold_ms") == "0" {
			fmt.Fprintf(w, `{"seq":%s,"whole":false,"hosts":[]}`, query.Get("from"))
			return
		}
		g.calls <- r.URL.RawQuery
		select {
		case list := <-g.lists:
			io.WriteString(w, list)
		case <-r.Context().Done():
		}
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return g
}

func entry(id, address, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"kita","block":1,"health":%q}`, id, address, health)
}

func list(seq int, full bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, full, strings.Join(hosts, ","))
}

// testProxy is a running proxy with its stub of discovery.
type testProxy struct {
	t *testing.T
	*Proxy
	registry *registry
	address  string
}

// testConfig returns a configuration for tests.
func testConfig(discovery string, known json.RawMessage) Config {
	return Config{
		Listen: "127.0.0.1:0", Discovery: discovery, Seed: 1, Memory: 64 << 20, Sockets: 256,
		CachedList: known, Log: slog.New(slog.DiscardHandler), Options: DefaultOptions(),
		Settings: &settings.Settings{
			Balancer: balance.Settings{
				Instances: 1, MaxAttempts: 3, CanCancel: true,
				Classes: []balance.Class{
					{Aim: 10 * time.Second, ClientTimeout: 15 * time.Second, Value: 1},
					{
						Aim: 10 * time.Second, ClientTimeout: 15 * time.Second, Value: 1,
						Effect: balance.Deduplicated, DedupScope: balance.DedupZone, DedupWindow: 10 * time.Second,
					},
					{Aim: 10 * time.Second, ClientTimeout: 15 * time.Second, Value: 1, Effect: balance.AtMostOnce},
				},
			},
			Classes: []string{"search", "hold", "once"}, Tenants: nil, Zones: []string{"kita"},
			ConnIdle: 10 * time.Second, ConnectTimeout: 5 * time.Second,
		},
	}
}

// newTestProxy starts a proxy whose list has the given hosts. change may alter its configuration.
func newTestProxy(t *testing.T, change func(*Config), hosts ...string) *testProxy {
	t.Helper()
	return newTestProxyWith(t, change, func(*Proxy) {}, hosts...)
}

// newTestProxyWith is like newTestProxy, and calls before with the proxy before it serves.
func newTestProxyWith(t *testing.T, change func(*Config), before func(*Proxy), hosts ...string) *testProxy {
	t.Helper()
	g := newRegistry(t)
	c := testConfig(g.address, json.RawMessage(list(1, true, hosts...)))
	if change != nil {
		change(&c)
	}
	p, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	before(p)
	done := make(chan error, 1)
	go func() { done <- p.http.Serve(p.listener) }()
	t.Cleanup(func() {
		p.Close()
		<-done
	})
	awaitConfirmed(t, p)
	return &testProxy{t, p, g, p.Addr().String()}
}

// awaitConfirmed waits until discovery has confirmed the proxy's list.
func awaitConfirmed(t *testing.T, p *Proxy) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !p.discovery.Fresh(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the list is never confirmed")
		}
	}
}

// testCaller is the test's end of one caller connection.
type testCaller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (g *testProxy) dial() *testCaller {
	g.t.Helper()
	return dialAt(g.t, g.address)
}

// dialAt opens a connection that is closed at the end of the test.
func dialAt(t *testing.T, address string) *testCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(eventTimeout))
	return &testCaller{t, c, bufio.NewReader(c)}
}

// head returns the head of a GET with the fields that the protocol requires.
func head(id string) string {
	return "GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: search\r\nX-Remaining-Ms: 9000\r\n\r\n"
}

func (c *testCaller) send(text string) *testCaller {
	io.WriteString(c, text) // if the proxy has closed the connection, the next read fails
	return c
}

// answer reads one answer, which may be cut off. status is 0 if the connection ended before the end of the head.
func (c *testCaller) answer() (status int, body string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			c.t.Fatal("neither an answer nor a close")
		}
		return 0, ""
	}
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// expectClosed waits until the proxy closes the connection.
func (c *testCaller) expectClosed() {
	c.t.Helper()
	if _, err := c.r.ReadByte(); err == nil {
		c.t.Fatal("got a byte instead of a close")
	} else if e, ok := err.(net.Error); ok && e.Timeout() {
		c.t.Fatal("the connection stays open")
	}
}

func TestServesARequest(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	c := newTestProxy(t, nil, entry("s1", b.address, "up")).dial()
	for _, id := range []string{"a", "b"} {
		if status, body := c.send(head(id)).answer(); status != 200 || body != id {
			t.Fatalf("%d %q", status, body)
		}
	}
}

func TestRefusedCallerGetsRetryAfter(t *testing.T) {
	g := newTestProxy(t, func(c *Config) {
		c.Settings.Balancer.RetryAfter, c.Settings.Balancer.MaxRetryAfter = true, 2*time.Second
	})
	c := g.dial().send(strings.Replace(head("a"), "9000", "400", 1))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != 503 || err != nil || wait <= 0 || wait > 2 {
		t.Fatalf("%d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// TestKernelBuffersAreBounded reads the buffer sizes of an accepted connection from the kernel.
func TestKernelBuffersAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		memory  int64
		sockets int
	}{"least": {32 << 20, 1024}, "most": {1 << 30, 256}} {
		t.Run(name, func(t *testing.T) {
			listen := net.ListenConfig{Control: socketBuffers(c.memory, c.sockets)}
			l, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			raw, err := conn.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
				var size int
				var optionErr error
				if err := raw.Control(func(fd uintptr) {
					size, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, option)
				}); err != nil || optionErr != nil {
					t.Fatal(err, optionErr)
				}
				if size > 2*maxBuffer || name == "least" && size > 2*minBuffer {
					t.Errorf("option %d: %d bytes", option, size)
				}
			}
		})
	}
}
