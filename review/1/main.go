// Command case1 plays keyed requests with long bodies before servers that read slowly, while connections are reset
// under requests that have begun, and counts how often each request's effect is applied.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"brasswell/review/kit"
)

const (
	window    = 2 * time.Second // how long the servers of a zone drop a request's repeats
	slack     = 50 * time.Millisecond
	giveUp    = 5 * time.Second
	aim       = 4 * time.Second
	bodyBytes = 800 << 10
	readRate  = 256 << 10 // bytes a second that a server takes of a body
	requests  = 12
	resetEach = 2 // with trouble, one request in so many has its first connection reset
	servers   = 4
	parallel  = 4
)

// run is one arrival of a whole request at a server.
type run struct {
	at      time.Duration // when its last byte came
	server  string
	applied bool
}

// zone is the memory that the servers of one zone share: which keys have run, and since when.
type zone struct {
	record *kit.Record
	mu     sync.Mutex
	runs   map[string][]run // by key
	since  map[string]time.Duration
	reset  map[string]bool // keys whose first connection was reset
}

// arrive notes a whole request, and reports whether its connection is to be reset in place of an answer.
func (z *zone) arrive(server, key string, reset bool) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.record.Now()
	first, known := z.since[key]
	applied := !known || now-first > window
	if applied {
		z.since[key] = now
	}
	z.runs[key] = append(z.runs[key], run{now, server, applied})
	what := "the effect is applied"
	if !applied {
		what = fmt.Sprintf("a repeat after %.3f s, dropped", (now - first).Seconds())
	} else if known {
		what = fmt.Sprintf("the effect is applied AGAIN, %.3f s after the first time", (now - first).Seconds())
	}
	z.record.Linef("%s: the last byte of %s has come: %s", server, key, what)
	if reset && !z.reset[key] {
		z.reset[key] = true
		z.record.Linef("%s: the connection of %s is reset", server, key)
		return true
	}
	return false
}

// serve is one server. Its receive buffer is small, so that a byte that it has not read is mostly not there yet.
func (z *zone) serve(l net.Listener, name string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReaderSize(c, 4<<10)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if !slowly(req.Body) {
					z.record.Linef("%s: a request broke off within its body", name)
					return
				}
				if z.arrive(name, req.Header.Get("Idempotency-Key"), kit.Trouble() && wantsReset(req.Header.Get("X-Txn"))) {
					c.(*net.TCPConn).SetLinger(0)
					return
				}
				text := "ok " + req.Header.Get("X-Txn")
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			}
		}()
	}
}

// slowly reads a body at readRate, and reports whether it came whole.
func slowly(body io.Reader) bool {
	start, total := time.Now(), 0
	buf := make([]byte, 8<<10)
	for {
		n, err := body.Read(buf)
		total += n
		if err == io.EOF {
			return true
		}
		if err != nil {
			return false
		}
		time.Sleep(time.Until(start.Add(time.Duration(float64(total) / readRate * float64(time.Second)))))
	}
}

// wantsReset reports whether the first connection of a request is to be reset. Its id ends in its number.
func wantsReset(id string) bool {
	n, err := strconv.Atoi(id[len(id)-4:])
	return err == nil && n%resetEach == 0
}

func play(root, folder string) (int, error) {
	record, err := kit.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return kit.NotRun, err
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "case1-")
	if err != nil {
		return kit.NotRun, err
	}
	defer os.RemoveAll(dir)
	z := &zone{record: record, runs: map[string][]run{}, since: map[string]time.Duration{}, reset: map[string]bool{}}
	var hosts []kit.Host
	for i := range servers {
		l, err := kit.ListenSmall(16 << 10)
		if err != nil {
			return kit.NotRun, err
		}
		defer l.Close()
		name := fmt.Sprintf("s-%d", i)
		hosts = append(hosts, kit.Host{Host: name, Dial: l.Addr().String(), Site: "a", Class: "m", Health: "up", Share: 1})
		go z.serve(l, name)
	}
	d, err := kit.NewDiscovery(record, hosts)
	if err != nil {
		return kit.NotRun, err
	}
	defer d.Close()
	p, err := kit.StartProxy(root, dir, d, []kit.Class{{
		Name: "record-add", AimMS: float64(aim.Milliseconds()), GiveUpMS: float64(giveUp.Milliseconds()), Effect: "guarded", Group: "zone",
		WindowMS: float64(window.Milliseconds()), Worth: 3,
	}})
	if err != nil {
		return kit.NotRun, err
	}
	defer p.Kill()
	record.Linef("the proxy is ready; trouble: %v", kit.Trouble())

	var clients sync.WaitGroup
	work := make(chan int)
	var mu sync.Mutex
	answers := map[int]int{}
	for range parallel {
		clients.Go(func() {
			for n := range work {
				id, key := fmt.Sprintf("%012x%04d", 0x9b1f03aa5c7e, n), fmt.Sprintf("%028x%04d", 0x5c0f6e1a, n)
				body := io.LimitReader(zeros{}, bodyBytes)
				req, err := http.NewRequest("POST", "http://"+p.Listen+"/api/"+id, body)
				if err != nil {
					panic(err)
				}
				req.ContentLength = bodyBytes
				for name, value := range map[string]string{"X-Txn": id, "X-Lane": "record-add", "X-Remaining-Ms": fmt.Sprint(giveUp.Milliseconds()), "Idempotency-Key": key} {
					req.Header.Set(name, value)
				}
				record.Linef("client: sends request %s, %d bytes", key, bodyBytes)
				status := 0
				resp, err := http.DefaultClient.Do(req)
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					status = resp.StatusCode
				}
				record.Linef("client: request %s is answered %d (%v)", key, status, err)
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		})
	}
	for n := range requests {
		work <- n
	}
	close(work)
	clients.Wait()
	time.Sleep(time.Second)
	if p.Ended() {
		record.Linef("the proxy has ended by itself")
		return kit.Broken, nil
	}

	z.mu.Lock()
	defer z.mu.Unlock()
	broken, repeats := 0, 0
	for key, runs := range z.runs {
		for _, later := range runs[1:] {
			repeats++
			if after := later.at - runs[0].at; after > window+slack {
				broken++
				record.Linef("BROKEN: a repeat of %s came whole at %s %.3f s after the first attempt came whole at %s; the window is %v", key, later.server, after.Seconds(), runs[0].server, window)
			}
		}
	}
	record.Linef("%d requests, answers by status %v, %d repeats, %d of them outside the window", requests, answers, repeats, broken)
	switch {
	case broken > 0:
		return kit.Broken, nil
	case len(z.runs) < requests:
		record.Linef("only %d requests have run", len(z.runs))
		return kit.NotRun, nil
	}
	return kit.Held, nil
}

// zeros is a body without an end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func main() {
	code, err := play(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "case 1 could not run:", err)
	}
	os.Exit(code)
}
