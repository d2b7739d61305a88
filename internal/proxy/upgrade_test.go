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

// platform owns the callers' listening socket, as the real platform does, and starts processes of one proxy that use
// it. They all run in the test's process and share only the socket and the folder.
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
	folder, err := os.MkdirTemp("", "up") // the path of a Unix socket may have at most 107 bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	return &platform{t, l.(*net.TCPListener), folder, newRegistry(t), hosts}
}

// process is one simulated process of the proxy.
type process struct {
	*Proxy
	t    *testing.T
	term context.CancelFunc
	done chan error
}

// start starts a process, and returns once its console reports that it is ready.
func (p *platform) start() *process {
	p.t.Helper()
	file, err := p.listener.File()
	if err != nil {
		p.t.Fatal(err)
	}
	c := testConfig(p.registry.address, json.RawMessage(list(1, true, p.hosts...)))
	c.Inherited, c.Name, c.HandoverDir, c.Console = file, "n1", p.folder, "127.0.0.1:0"
	proxy, err := New(c)
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, term := context.WithCancel(context.Background())
	s := &process{proxy, p.t, term, make(chan error, 1)}
	go func() { s.done <- proxy.Serve(ctx) }()
	p.t.Cleanup(s.stop)
	for end := time.Now().Add(eventTimeout); ; time.Sleep(time.Millisecond) {
		if status, _ := s.console("GET", "/v1/readyz"); status == 200 {
			return s
		}
		if time.Now().After(end) {
			p.t.Fatal("never ready")
		}
	}
}

// stop shuts the process down and waits for its end.
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

// console makes one call to the process's console.
func (s *process) console(method, path string) (int, string) {
	s.t.Helper()
	return dialAt(s.t, s.Proxy.console.Addr().String()).send(method + " " + path + " HTTP/1.1\r\nHost: console\r\n\r\n").answer()
}

// callerLoad runs callers that send one request after another on persistent connections until stop is closed.
type callerLoad struct {
	address      string
	asked        atomic.Int64
	broken       atomic.Int64 // requests whose connection was closed or reset before the answer
	wrongAnswers atomic.Int64 // answers other than 200 with the request's own id
	stop         chan struct{}
	all          sync.WaitGroup
}

// callerLoads counts the loads: the protocol demands an id that is new with every request.
var callerLoads atomic.Int64

func newCallerLoad(t *testing.T, address string, callers int) *callerLoad {
	c := &callerLoad{address: address, stop: make(chan struct{})}
	load := callerLoads.Add(1)
	for n := range callers {
		c.all.Go(func() { c.run(fmt.Sprint("load", load, "-", n)) })
	}
	t.Cleanup(c.end)
	return c
}

func (c *callerLoad) end() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.all.Wait()
}

func (c *callerLoad) run(name string) {
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
			conn.SetDeadline(time.Now().Add(eventTimeout))
			r = bufio.NewReader(conn)
		}
		id := fmt.Sprint(name, "-", i)
		c.asked.Add(1)
		io.WriteString(conn, onceHead(id)+"Content-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			c.broken.Add(1)
			conn.Close()
			conn = nil
			continue
		}
		text, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != 200 || string(text) != id {
			c.wrongAnswers.Add(1)
		}
		if resp.Close {
			conn.Close()
			conn = nil
		}
	}
}

// onceHead returns the head of a POST that must not run twice, without the framing fields and the blank line.
func onceHead(id string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: once\r\nX-Remaining-Ms: 900\r\n"
}

// awaitRequests waits until the callers have sent that many more requests.
func (c *callerLoad) awaitRequests(t *testing.T, more int64) {
	t.Helper()
	for want, end := c.asked.Load()+more, time.Now().Add(eventTimeout); c.asked.Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the callers send no more requests")
		}
	}
}

// runCounter counts how often each request ran, and how many requests ran at each backend.
type runCounter struct {
	mu        sync.Mutex
	byID      map[string]int
	byBackend map[string]int // requests by backend name
}

func (r *runCounter) backend(t *testing.T, name string) string {
	return newCountingBackend(t, func(id string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.byID[id]++
		r.byBackend[name]++
	})
}

func (r *runCounter) count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byBackend[name]
}

// newCountingBackend starts a backend that calls onRequest for each request and answers with the request's id.
func newCountingBackend(t *testing.T, onRequest func(id string)) (address string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(front.IDField)
		onRequest(id)
		io.WriteString(w, id)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestUpgradesUnderLoad upgrades several times in a row while callers continuously send requests that must not run
// twice. No caller may get a closed connection, every request must get its own answer, and each must run exactly once.
func TestUpgradesUnderLoad(t *testing.T) {
	r := &runCounter{byID: map[string]int{}, byBackend: map[string]int{}}
	p := newPlatform(t, entry("s1", r.backend(t, "s1"), "up"), entry("s2", r.backend(t, "s2"), "up"), entry("s3", r.backend(t, "s3"), "up"))
	now := p.start()
	c := newCallerLoad(t, p.listener.Addr().String(), 8)
	for range 6 {
		c.awaitRequests(t, 200)
		next := p.start()
		now.stop()
		now = next
	}
	c.awaitRequests(t, 200)
	c.end()
	if n := c.broken.Load(); n != 0 {
		t.Errorf("%d of %d requests had their connection closed", n, c.asked.Load())
	}
	if n := c.wrongAnswers.Load(); n != 0 {
		t.Errorf("%d of %d requests did not get their own answer", n, c.asked.Load())
	}
	for id, n := range r.byID {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if n := int64(len(r.byID)); n != c.asked.Load() {
		t.Errorf("%d requests ran of %d", n, c.asked.Load())
	}
}

// TestBansPersistAcrossUpgrades bans a backend before an upgrade, and two others between the time when the new process is
// ready and the end of the old one: one by the new process's console, and one by the old one's.
func TestBansPersistAcrossUpgrades(t *testing.T) {
	r := &runCounter{byID: map[string]int{}, byBackend: map[string]int{}}
	names := []string{"s1", "s2", "s3", "s4"}
	var hosts []string
	for _, name := range names {
		hosts = append(hosts, entry(name, r.backend(t, name), "up"))
	}
	p := newPlatform(t, hosts...)
	first := p.start()
	c := newCallerLoad(t, p.listener.Addr().String(), 4)
	c.awaitRequests(t, 100)
	ban := func(s *process, name string) {
		t.Helper()
		if status, text := s.console("POST", "/v1/backends/"+name+"/suspend"); status != 200 {
			t.Fatalf("%s: %d %s", name, status, text)
		}
	}
	ban(first, "s1")
	second := p.start()
	ban(second, "s2")
	ban(first, "s3")
	// A request that was checked before the confirmation may still be on its way to the backend. Requests that the callers
	// send from now on are later.
	c.awaitRequests(t, 20)
	before := map[string]int{}
	for _, name := range names {
		before[name] = r.count(name)
	}
	c.awaitRequests(t, 200)
	first.stop()
	c.awaitRequests(t, 200)
	for _, name := range names[:3] {
		if n := r.count(name) - before[name]; n != 0 {
			t.Errorf("%s, which is banned, got %d requests", name, n)
		}
	}
	if r.count("s4") == before["s4"] {
		t.Error("the backend that is not banned got no requests")
	}
	if _, text := second.console("GET", "/v1/metrics"); !strings.Contains(text, "pool_size:4|g") || !strings.Contains(text, "pool_ejected:3|g") {
		t.Errorf("metrics\n%s", text)
	}
	if status, _ := second.console("POST", "/v1/backends/s1/resume"); status != 200 {
		t.Errorf("resume: %d", status)
	}
	for end := time.Now().Add(eventTimeout); r.count("s1") == before["s1"]; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("s1 got no request after its ban was lifted")
		}
	}
	if status, _ := second.console("POST", "/v1/backends/nobody/suspend"); status != 404 {
		t.Errorf("an id that was never listed: %d", status)
	}
	c.end() // while a process is there to answer
}

// TestNewProcessThatDies has new processes die before and after they are ready. The old process must continue alone,
// with its full share of the limits.
func TestNewProcessThatDies(t *testing.T) {
	r := &runCounter{byID: map[string]int{}, byBackend: map[string]int{}}
	p := newPlatform(t, entry("s1", r.backend(t, "s1"), "up"))
	old := p.start()
	c := newCallerLoad(t, p.listener.Addr().String(), 4)
	for range 3 {
		peer, _, err := handover.Connect(p.folder, "n1") // requests the state, and dies before it is ready
		if err != nil || peer == nil {
			t.Fatalf("%v, %v", peer, err)
		}
		peer.Close()
	}
	c.awaitRequests(t, 100)
	c.end() // a process that dies loses its open requests
	next := p.start()
	next.Close()
	<-next.done // returns an error: it was not shut down
	next.done = nil
	for end := time.Now().Add(eventTimeout); ; time.Sleep(time.Millisecond) {
		old.upgrade.mu.Lock()
		share := old.upgrade.share
		old.upgrade.mu.Unlock()
		if share == handover.FullShare {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the old process still has the share %+v", share)
		}
	}
	if c.broken.Load()+c.wrongAnswers.Load() != 0 {
		t.Errorf("%d broken, %d wrong answers", c.broken.Load(), c.wrongAnswers.Load())
	}
	again := newCallerLoad(t, p.listener.Addr().String(), 4)
	again.awaitRequests(t, 200)
	again.end()
	if again.broken.Load()+again.wrongAnswers.Load() != 0 {
		t.Errorf("afterwards %d broken, %d wrong answers", again.broken.Load(), again.wrongAnswers.Load())
	}
}

// TestMetricsMatchCallerAndBackendCounts compares the metrics with the counts of the callers and backends.
func TestMetricsMatchCallerAndBackendCounts(t *testing.T) {
	r := &runCounter{byID: map[string]int{}, byBackend: map[string]int{}}
	p := newPlatform(t, entry("s1", r.backend(t, "s1"), "up"), entry("s2", r.backend(t, "s2"), "up"))
	s := p.start()
	c := newCallerLoad(t, p.listener.Addr().String(), 6)
	c.awaitRequests(t, 300)
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
