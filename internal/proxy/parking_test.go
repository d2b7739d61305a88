package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// withParking enables the parking of connections that are idle for 0.1 s.
func withParking(change func(*Config)) func(*Config) {
	return func(c *Config) {
		c.Options.Callers.ParkAfter = 100 * time.Millisecond
		o := &c.Options.Callers // on a slow machine, the first connection has been idle for seconds when the last opens
		o.IdleTimeout, o.OnceIdle, o.HeadTimeout = time.Minute, time.Minute, time.Minute
		if change != nil {
			change(c)
		}
	}
}

// awaitParked waits until n connections are parked.
func (g *testProxy) awaitParked(n int) {
	g.t.Helper()
	for end := time.Now().Add(eventTimeout); g.parking.Len() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("%d connections are parked, want %d", g.parking.Len(), n)
		}
	}
}

// request sends a request and expects the answer 200.
func (c *testCaller) request(id string) {
	c.t.Helper()
	c.send("GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: search\r\nX-Remaining-Ms: 9000\r\n\r\n")
	c.expectOK(id)
}

func (c *testCaller) expectOK(id string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: "GET"})
	if err != nil {
		c.t.Errorf("%s: %v", id, err)
		return
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.t.Errorf("%s: %s", id, resp.Status)
	}
}

// countRequests counts the requests that reach the backend, by id, until the returned function is called, which returns the
// counts.
func (b *backend) countRequests() func() map[string]int {
	counts := make(chan map[string]int)
	go func() {
		ids := map[string]int{}
		for id := range b.requests {
			if id == "" { // no request has this id
				break
			}
			ids[id]++
		}
		counts <- ids
	}()
	return func() map[string]int {
		b.requests <- ""
		return <-counts
	}
}

// TestParkedConnectionsKeepServing parks connections repeatedly. Whole, split and pipelined requests arrive on parked
// connections, and each is served once. Parked connections that callers close are released.
func TestParkedConnectionsKeepServing(t *testing.T) {
	t.Parallel()
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	g := newTestProxy(t, withParking(nil), entry("a", b.address, "up"))
	const callers = 40
	requestCounts := b.countRequests()
	var all []*testCaller
	for i := range callers {
		c := g.dial()
		c.request(fmt.Sprint("first", i))
		all = append(all, c)
	}
	g.awaitParked(callers)
	if n := g.callers.Len(); n != callers {
		t.Errorf("%d connections are counted, %d are open", n, callers)
	}
	var asking sync.WaitGroup
	for round := range 3 {
		for i, c := range all {
			asking.Go(func() {
				id := fmt.Sprint(round, "-", i)
				switch i % 3 {
				case 0:
					c.request(id)
				case 1: // the first byte alone
					text := "GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: search\r\nX-Remaining-Ms: 9000\r\n\r\n"
					c.send(text[:1])
					time.Sleep(20 * time.Millisecond)
					c.send(text[1:])
					c.expectOK(id)
				case 2:
					text := "GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: search\r\nX-Remaining-Ms: 9000\r\n\r\n"
					c.send(fmt.Sprintf(text+text, id+"a", id+"b"))
					c.expectOK(id + "a")
					c.expectOK(id + "b")
				}
			})
		}
		asking.Wait()
		g.awaitParked(callers)
	}
	ids := requestCounts()
	for id, n := range ids {
		if n != 1 {
			t.Errorf("%s reached the backend %d times", id, n)
		}
	}
	if want := callers + 3*callers + 3*(callers/3); len(ids) != want {
		t.Errorf("%d requests reached the backend, want %d", len(ids), want)
	}
	if s := g.callers.States(); s["idle"] != callers {
		t.Errorf("%v; all %d have sent several requests and are idle", s, callers)
	}
	for _, c := range all {
		c.Close()
	}
	g.awaitParked(0)
	for end := time.Now().Add(eventTimeout); g.callers.Len() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are counted, and none is open", g.callers.Len())
		}
	}
}

// TestParkedConnectionsMakeRoom: new connections replace parked ones, beginning with those that have carried one
// request, and every parked connection is closed at its idle timeout, in steps.
func TestParkedConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	g := newTestProxy(t, withParking(func(c *Config) { c.Options.Callers.IdleTimeout = 1500 * time.Millisecond }), entry("a", b.address, "up"))
	several, single := g.dial(), g.dial()
	several.request("s1")
	several.request("s2")
	single.request("o1")
	g.awaitParked(2)
	g.callers.SetLimits(2, 3)
	g.dial().request("n1")
	if _, err := single.r.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the connection with one request is kept: %v", err)
	}
	several.request("s3")
	if _, err := several.r.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("a parked connection is not closed at its idle timeout: %v", err)
	}
	g.awaitParked(0)
}

// TestRestartWithParkedConnections: a planned restart closes the parked connections and ends.
func TestRestartWithParkedConnections(t *testing.T) {
	t.Parallel()
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	g := newTestProxy(t, withParking(nil), entry("a", b.address, "up"))
	c := g.dial()
	c.request("1")
	g.awaitParked(1)
	if others := g.callers.CloseIdle(0); others != 0 {
		t.Errorf("%d connections remain", others)
	}
	g.awaitParked(0)
	if _, err := c.r.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the parked connection is open: %v", err)
	}
}

// TestRequestsThatMeetTheirConnectionsEnd has many parked connections reach their idle timeout at about the same time,
// while requests arrive on them and a busy caller keeps sending requests. Each request is either served, or its
// connection is closed and no part of it has reached a backend, so that it may be sent again.
func TestRequestsThatMeetTheirConnectionsEnd(t *testing.T) {
	const callers, idleTime = 200, time.Second
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	requestCounts := b.countRequests()
	g := newTestProxy(t, withParking(func(c *Config) { c.Options.Callers.IdleTimeout = idleTime }), entry("a", b.address, "up"))
	var all []*testCaller
	var since []time.Time
	for i := range callers {
		c := g.dial()
		c.request(fmt.Sprint("first", i))
		all, since = append(all, c), append(since, time.Now())
	}
	stop := make(chan struct{})
	var busy, asking sync.WaitGroup
	busy.Go(func() {
		c := g.dial()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
				c.request(fmt.Sprint("busy", n))
			}
		}
	})
	var mu sync.Mutex
	served, closed := map[string]bool{}, map[string]bool{}
	for i, c := range all {
		asking.Go(func() {
			id := fmt.Sprint("late", i)
			time.Sleep(time.Until(since[i].Add(idleTime + time.Duration(i%60-30)*time.Millisecond)))
			c.send("GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: search\r\nX-Remaining-Ms: 9000\r\n\r\n")
			resp, err := http.ReadResponse(c.r, &http.Request{Method: "GET"})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				closed[id] = true
				return
			}
			resp.Body.Close()
			served[id] = resp.StatusCode == http.StatusOK
		})
	}
	asking.Wait()
	close(stop)
	busy.Wait()
	ids := requestCounts()
	for id := range closed {
		if ids[id] != 0 {
			t.Errorf("%s reached a backend, and its connection was closed as idle", id)
		}
	}
	for id, ok := range served {
		if !ok || ids[id] != 1 {
			t.Errorf("%s: served %v, reached the backend %d times", id, ok, ids[id])
		}
	}
	t.Logf("%d served, %d closed", len(served), len(closed))
	if len(served)+len(closed) != callers {
		t.Errorf("%d of %d requests ended", len(served)+len(closed), callers)
	}
}
