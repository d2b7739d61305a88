package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"brasswell/internal/figures"
	"brasswell/internal/front"
	"brasswell/internal/handover"
)

// platform holds the callers' listening socket, as the platform does, and starts processes of one proxy at it. They run
// in this process; what they share is the socket and the folder.
type platform struct {
	t        *testing.T
	listener *net.TCPListener
	folder   string
	registry *registry
	hosts    []string
}

func newPlatform(t *testing.T, hosts ...string) *platform {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	folder, err := os.MkdirTemp("", "up") // a socket's path may have 107 bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	return &platform{t, l.(*net.TCPListener), folder, newRegistry(t), hosts}
}

// process is one running process of the proxy.
type process struct {
	*Proxy
	t    *testing.T
	term context.CancelFunc
	done chan error
}

// start starts a process, and returns once it says that it takes clients.
func (p *platform) start() *process {
	p.t.Helper()
	file, err := p.listener.File()
	if err != nil {
		p.t.Fatal(err)
	}
	c := rigConfig(p.registry.address, json.RawMessage(list(1, true, p.hosts...)))
	c.Inherited, c.Name, c.HandoverDir, c.Console = file, "n1", p.folder, "127.0.0.1:0"
	proxy, err := New(c)
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, term := context.WithCancel(context.Background())
	s := &process{proxy, p.t, term, make(chan error, 1)}
	go func() { s.done <- proxy.Serve(ctx) }()
	p.t.Cleanup(s.stop)
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		if status, _ := s.console("GET", "/v1/readyz"); status == 200 {
			return s
		}
		if time.Now().After(end) {
			p.t.Fatal("never ready")
		}
	}
}

// stop tells the process to go and waits until it has gone.
func (s *process) stop() {
	s.term()
	if s.done == nil {
		return
	}
	if err := await(s.t, "the end of the process", s.done); err != nil {
		s.t.Error(err)
	}
	s.done = nil
}

// console makes one call.
func (s *process) console(method, path string) (int, string) {
	s.t.Helper()
	return dialAt(s.t, s.Proxy.console.Addr().String()).send(method + " " + path + " HTTP/1.1\r\nHost: console\r\n\r\n").answer()
}

// crowd is callers that ask one request after the other on kept connections until they are told to end.
type crowd struct {
	address string
	asked   atomic.Int64
	broken  atomic.Int64 // requests that met a closed, reset or unread connection
	unheard atomic.Int64 // answers that were not 200 with the request's own id
	stop    chan struct{}
	all     sync.WaitGroup
}

func newCrowd(t *testing.T, address string, callers int) *crowd {
	c := &crowd{address: address, stop: make(chan struct{})}
	for n := range callers {
		c.all.Go(func() { c.ask(fmt.Sprint("c", n)) })
	}
	t.Cleanup(c.end)
	return c
}

func (c *crowd) end() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.all.Wait()
}

func (c *crowd) ask(name string) {
	var conn net.Conn
	var r *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", c.address); err != nil {
				c.broken.Add(1)
				return
			}
			conn.SetDeadline(time.Now().Add(patient))
			r = bufio.NewReader(conn)
		}
		id := fmt.Sprint(name, "-", i)
		c.asked.Add(1)
		io.WriteString(conn, unsafe(id)+"Content-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			c.broken.Add(1)
			conn.Close()
			conn = nil
			continue
		}
		text, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != 200 || string(text) != id {
			c.unheard.Add(1)
		}
		if resp.Close {
			conn.Close()
			conn = nil
		}
	}
}

// unsafe is the head of a POST that must not run twice, but for what frames its body.
func unsafe(id string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: once\r\nX-Remaining-Ms: 900\r\n"
}

// reached waits until the crowd has asked so many more.
func (c *crowd) reached(t *testing.T, more int64) {
	t.Helper()
	for want, end := c.asked.Load()+more, time.Now().Add(patient); c.asked.Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the crowd stands still")
		}
	}
}

// ran counts how often each request ran, and at which backend since when.
type ran struct {
	mu    sync.Mutex
	times map[string]int
	at    map[string]int // by backend
}

func (r *ran) backend(t *testing.T, name string) string {
	return newCounting(t, func(id string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.times[id]++
		r.at[name]++
	})
}

func (r *ran) count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[name]
}

// newCounting is a backend that tells of each request and answers with its id.
func newCounting(t *testing.T, tell func(id string)) (address string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(front.IDField)
		tell(id)
		io.WriteString(w, id)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestUpgradesUnderLoad upgrades several times in a row while callers ask without a pause for what must not run twice.
// Nobody meets a closed connection, every request is answered with its own answer, and each ran once.
func TestUpgradesUnderLoad(t *testing.T) {
	r := &ran{times: map[string]int{}, at: map[string]int{}}
	p := newPlatform(t, entry("s1", r.backend(t, "s1"), "up"), entry("s2", r.backend(t, "s2"), "up"), entry("s3", r.backend(t, "s3"), "up"))
	now := p.start()
	c := newCrowd(t, p.listener.Addr().String(), 8)
	for range 6 {
		c.reached(t, 200)
		next := p.start()
		now.stop()
		now = next
	}
	c.reached(t, 200)
	c.end()
	if n := c.broken.Load(); n != 0 {
		t.Errorf("%d of %d requests met a connection that was closed", n, c.asked.Load())
	}
	if n := c.unheard.Load(); n != 0 {
		t.Errorf("%d of %d requests got another answer than their own", n, c.asked.Load())
	}
	for id, n := range r.times {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if n := int64(len(r.times)); n != c.asked.Load() {
		t.Errorf("%d requests ran of %d", n, c.asked.Load())
	}
}

// TestBanHoldsOverUpgrades takes a backend out before an upgrade, and another between the new process's yes and the
// old one's end, by the new one's console and by the old one's.
func TestBanHoldsOverUpgrades(t *testing.T) {
	r := &ran{times: map[string]int{}, at: map[string]int{}}
	names := []string{"s1", "s2", "s3", "s4"}
	var hosts []string
	for _, name := range names {
		hosts = append(hosts, entry(name, r.backend(t, name), "up"))
	}
	p := newPlatform(t, hosts...)
	first := p.start()
	c := newCrowd(t, p.listener.Addr().String(), 4)
	c.reached(t, 100)
	out := func(s *process, name string) {
		t.Helper()
		if status, text := s.console("POST", "/v1/backends/"+name+"/suspend"); status != 200 {
			t.Fatalf("%s: %d %s", name, status, text)
		}
	}
	out(first, "s1")
	second := p.start()
	out(second, "s2")
	out(first, "s3")
	// A send that had its last look before the yes may still be on its way; what the callers ask from now on is later.
	c.reached(t, 20)
	before := map[string]int{}
	for _, name := range names {
		before[name] = r.count(name)
	}
	c.reached(t, 200)
	first.stop()
	c.reached(t, 200)
	for _, name := range names[:3] {
		if n := r.count(name) - before[name]; n != 0 {
			t.Errorf("%s, which is out, got %d requests", name, n)
		}
	}
	if r.count("s4") == before["s4"] {
		t.Error("nothing came to the one that is in")
	}
	if _, text := second.console("GET", "/v1/metrics"); !strings.Contains(text, "pool_size:4|g") || !strings.Contains(text, "pool_ejected:3|g") {
		t.Errorf("figures\n%s", text)
	}
	if status, _ := second.console("POST", "/v1/backends/s1/resume"); status != 200 {
		t.Errorf("resume: %d", status)
	}
	for end := time.Now().Add(patient); r.count("s1") == before["s1"]; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("s1 is back and gets nothing")
		}
	}
	if status, _ := second.console("POST", "/v1/backends/nobody/suspend"); status != 404 {
		t.Errorf("an id that was never listed: %d", status)
	}
	c.end() // while there is somebody to answer
}

// TestNewProcessThatDies has new processes come and go before and after their yes; the old one serves on alone.
func TestNewProcessThatDies(t *testing.T) {
	r := &ran{times: map[string]int{}, at: map[string]int{}}
	p := newPlatform(t, entry("s1", r.backend(t, "s1"), "up"))
	old := p.start()
	c := newCrowd(t, p.listener.Addr().String(), 4)
	for range 3 {
		peer, _, err := handover.Connect(p.folder, "n1") // asks, and dies before its yes
		if err != nil || peer == nil {
			t.Fatalf("%v, %v", peer, err)
		}
		peer.Close()
	}
	c.reached(t, 100)
	c.end() // a process that dies takes what it has with it
	next := p.start()
	next.Close()
	<-next.done // with an error: it was not told to go
	next.done = nil
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		old.upgrade.mu.Lock()
		part := old.upgrade.part
		old.upgrade.mu.Unlock()
		if part == handover.FullShare {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the old one still keeps to %+v", part)
		}
	}
	if c.broken.Load()+c.unheard.Load() != 0 {
		t.Errorf("%d broken, %d unheard", c.broken.Load(), c.unheard.Load())
	}
	again := newCrowd(t, p.listener.Addr().String(), 4)
	again.reached(t, 200)
	again.end()
	if again.broken.Load()+again.unheard.Load() != 0 {
		t.Errorf("afterwards %d broken, %d unheard", again.broken.Load(), again.unheard.Load())
	}
}

// TestFiguresAgainstTheBooks holds the figures against what callers and backends have counted themselves.
func TestFiguresAgainstTheBooks(t *testing.T) {
	r := &ran{times: map[string]int{}, at: map[string]int{}}
	p := newPlatform(t, entry("s1", r.backend(t, "s1"), "up"), entry("s2", r.backend(t, "s2"), "up"))
	s := p.start()
	c := newCrowd(t, p.listener.Addr().String(), 6)
	c.reached(t, 300)
	c.end()
	served := c.asked.Load()
	if status, _ := dialAt(t, p.listener.Addr().String()).send(strings.Replace(keyed("x", "/"), "hold", "nonsense", 1) + "Content-Length: 0\r\n\r\n").answer(); status != 400 {
		t.Fatalf("%d", status)
	}
	if status, _ := dialAt(t, p.listener.Addr().String()).send(keyed("y", "/") + "Content-Length: -1\r\n\r\n").answer(); status != 400 {
		t.Fatalf("%d", status)
	}
	for name := range map[string]bool{"s1": true, "s2": true} {
		s.console("POST", "/v1/backends/"+name+"/suspend")
	}
	if status, _ := dialAt(t, p.listener.Addr().String()).send(strings.Replace(head("z"), "9000", "200", 1)).answer(); status != 503 {
		t.Fatalf("%d", status)
	}
	_, text := s.console("GET", "/v1/metrics")
	for _, want := range []string{
		fmt.Sprintf("edge_relay.ok.once:%d|c\n", served), fmt.Sprintf("edge_relay.tries.once:%d|c\n", served),
		"edge_relay.shed.once:0|c\n", "edge_relay.errors.once:0|c\n", "edge_relay.shed.search:1|c\n", "edge_relay.ok.hold:0|c\n",
		"edge_relay.active:0|g\n", "edge_relay.pool_size:2|g\n", "edge_relay.pool_ejected:2|g\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	if n := s.figures.Class(2); n != (figures.Counts{OK: served, Tries: served}) {
		t.Errorf("%+v", n)
	}
}
