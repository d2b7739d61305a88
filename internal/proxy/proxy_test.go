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
	log.SetOutput(io.Discard) // net/http tells of each stray byte, of which there are many here
	goleak.VerifyTestMain(m)
}

// patient is how long a test waits for an event that must come.
const patient = 20 * time.Second

// await fails the test if the event does not come.
func await[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patient):
		t.Fatalf("%s did not come", what)
		panic("unreachable")
	}
}

// backend is a server on a loopback socket whose every answer the test writes itself.
type backend struct {
	address  string
	requests chan string // the ids that came, in order
	conns    chan string // the remote address of each connection
	gone     chan string // the same once its other side has closed
}

// newBackend answers each request with what reply returns for its id, byte for byte; "" is silence.
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

// drain takes the requests off their channel, which holds a hundred, until done.
func (b *backend) drain(done <-chan struct{}) {
	for {
		select {
		case <-b.requests:
		case <-done:
			return
		}
	}
}

// whole is a sound answer that names the request it belongs to.
func whole(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// registry is discovery: a call that does not wait is answered with no news, and the test says what the others are answered with.
type registry struct {
	address string
	calls   chan string // their queries
	lists   chan string // answers; a call waits for one
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

// rig is a running proxy.
type rig struct {
	t *testing.T
	*Proxy
	registry *registry
	address  string
}

// rigConfig is a configuration for tests.
func rigConfig(discovery string, known json.RawMessage) Config {
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

// newRig starts a proxy that knows the given hosts, with settings that change may alter.
func newRig(t *testing.T, change func(*Config), hosts ...string) *rig {
	t.Helper()
	return newRigWith(t, change, func(*Proxy) {}, hosts...)
}

// newRigWith is newRig with a look at the proxy before it serves.
func newRigWith(t *testing.T, change func(*Config), before func(*Proxy), hosts ...string) *rig {
	t.Helper()
	g := newRegistry(t)
	c := rigConfig(g.address, json.RawMessage(list(1, true, hosts...)))
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
	confirmed(t, p)
	return &rig{t, p, g, p.Addr().String()}
}

// confirmed waits until discovery has confirmed a proxy's list.
func confirmed(t *testing.T, p *Proxy) {
	t.Helper()
	for end := time.Now().Add(patient); !p.discovery.Fresh(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the list is never confirmed")
		}
	}
}

// caller is one connection of a caller, as a test sees it.
type testCaller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (g *rig) dial() *testCaller {
	g.t.Helper()
	return dialAt(g.t, g.address)
}

// dialAt opens a connection that the test's end closes.
func dialAt(t *testing.T, address string) *testCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patient))
	return &testCaller{t, c, bufio.NewReader(c)}
}

// head is a GET's head with the fields that the protocol asks for.
func head(id string) string {
	return "GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: search\r\nX-Remaining-Ms: 9000\r\n\r\n"
}

func (c *testCaller) send(text string) *testCaller {
	io.WriteString(c, text) // where the proxy has closed, reading tells
	return c
}

// answer reads one answer, or what there is of it; its status is 0 if the connection ended before the head.
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

// closed waits for the proxy to close the connection.
func (c *testCaller) closed() {
	c.t.Helper()
	if _, err := c.r.ReadByte(); err == nil {
		c.t.Fatal("bytes where a close was due")
	} else if e, ok := err.(net.Error); ok && e.Timeout() {
		c.t.Fatal("the connection stays open")
	}
}

func TestServesARequest(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", whole)
	c := newRig(t, nil, entry("s1", b.address, "up")).dial()
	for _, id := range []string{"a", "b"} {
		if status, body := c.send(head(id)).answer(); status != 200 || body != id {
			t.Fatalf("%d %q", status, body)
		}
	}
}

func TestRefusedCallerIsToldWhenToComeBack(t *testing.T) {
	g := newRig(t, func(c *Config) {
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

// TestKernelBuffersAreBounded asks the kernel what a connection that the proxy accepted may hold.
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
				if size > 2*mostBuffer || name == "least" && size > 2*leastBuffer {
					t.Errorf("option %d: %d bytes", option, size)
				}
			}
		})
	}
}
