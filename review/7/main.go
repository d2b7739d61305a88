// Command 7 plays bad clients that use the ids of other clients' open requests, during an upgrade.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"brasswell/review/play2"
)

const (
	work    = 800 * time.Millisecond // of a request at its backend
	clients = 10
	copies  = 2 // connections on which a bad client sends another's id
)

func main() {
	r := play2.Begin()
	var mu sync.Mutex
	runs := map[string]int{}
	handle := func(b *play2.Backend, q *play2.Request) bool {
		mu.Lock()
		runs[q.ID]++
		n := runs[q.ID]
		mu.Unlock()
		if n > 1 {
			r.Break("%s runs %s, of a class that is unsafe to repeat, for the %d. time", b.Host.Host, q.ID, n)
		}
		time.Sleep(work)
		return q.Reply(b.Answer(q))
	}
	var hosts []play2.Host
	for i := range 4 {
		hosts = append(hosts, r.StartBackend(fmt.Sprintf("b%d", i), handle).Host)
	}
	d := r.StartDiscovery(hosts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	socket, err := l.(*net.TCPListener).File()
	r.Must(err)
	null, err := os.Open(os.DevNull)
	r.Must(err)
	listen := l.Addr().String()
	start := func(name string) *play2.Process {
		c := play2.NewConfig(listen, d.Address, d.Known(), play2.Class{"name": "s", "aim_ms": 3000, "give_up_ms": 3000, "effect": "single_shot", "worth": 1})
		console := r.FreeAddress()
		p := r.Start(name, c, []string{"RELAY_NAME=n1", "RELAY_CONSOLE=" + console, "RELAY_SOCKET_FD=4"}, null, socket)
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			r.Check(!p.Ended() && time.Now().Before(end), "%s does not get ready:\n%s", name, p.Log())
			if status, err := play2.Console(console, "GET", "/v1/readyz"); err == nil && status == http.StatusOK {
				r.Note("%s says yes to readyz", name)
				return p
			}
		}
	}
	old := start("old")
	post := func(id string) string {
		return fmt.Sprintf("POST /api/%s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: s\r\nX-Remaining-Ms: 2500\r\nContent-Length: 4\r\n\r\nbody", id, id)
	}
	var stop atomic.Bool
	var served, bad, rejected atomic.Int64
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for !stop.Load() {
				c, err := play2.Dial(listen)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				id := play2.NewID()
				r.WillSend(id)
				io.WriteString(c, post(id))
				var others sync.WaitGroup
				for range copies {
					others.Go(func() {
						time.Sleep(100 * time.Millisecond)
						o, err := play2.Dial(listen)
						if err != nil {
							return
						}
						defer o.Close()
						status, body, _, err := o.Do(post(id), 3*time.Second)
						r.Note("bad client got for the open id %s: %d %q %v", id, status, body, err)
						if status == 200 {
							bad.Add(1)
							r.Break("a bad client with the open id %s is served: %q", id, body)
						} else if status != 0 {
							rejected.Add(1)
						}
					})
				}
				status, body, _, err := c.Answer(3 * time.Second)
				r.Note("client got for %s: %d %q %v", id, status, body, err)
				if status == 200 {
					served.Add(1)
				}
				others.Wait()
				c.Close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	var next *play2.Process
	if r.Trouble {
		next = start("next")
	}
	time.Sleep(2 * time.Second)
	if r.Trouble {
		old.Signal(syscall.SIGTERM)
		r.Check(old.WaitEnd(10*time.Second), "old does not end")
	}
	time.Sleep(2 * time.Second)
	stop.Store(true)
	all.Wait()
	r.Check(next == nil || !next.Ended(), "next has ended")
	line := fmt.Sprintf("%d served, %d bad clients rejected, %d served", served.Load(), rejected.Load(), bad.Load())
	r.Note("%s", line)
	fmt.Println(line)
	r.End()
}
