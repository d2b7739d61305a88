// Command 8 plays an upgrade whose new process is killed, and a second upgrade.
package main

import (
	"fmt"
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
	suspended = "b1"
	clients   = 8
)

func main() {
	r := play2.Begin()
	var mu sync.Mutex
	var outSince time.Time // the yes to the call that takes the backend out; zero before
	var late atomic.Int64
	handle := func(b *play2.Backend, q *play2.Request) bool {
		mu.Lock()
		since := outSince
		mu.Unlock()
		if b.Host.Host == suspended && !since.IsZero() && time.Since(since) > play2.DrainGrace+play2.DrainSlack {
			late.Add(1)
			r.Break("%s got %s %.3f s after the console's yes to its suspension", suspended, q.ID, time.Since(since).Seconds())
		}
		time.Sleep(5 * time.Millisecond)
		return q.Reply(b.Answer(q))
	}
	var hosts []play2.Host
	for i := range 4 {
		hosts = append(hosts, r.StartBackend(fmt.Sprintf("b%d", i), handle).Host)
	}
	d := r.StartDiscovery(hosts)

	// The platform holds the listening socket; every process has it as descriptor 4.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	socket, err := l.(*net.TCPListener).File()
	r.Must(err)
	null, err := os.Open(os.DevNull)
	r.Must(err)
	listen := l.Addr().String()
	start := func(name string) (*play2.Process, string) {
		c := play2.NewConfig(listen, d.Address, d.Known(), play2.Class{"name": "a", "aim_ms": 1000, "give_up_ms": 2000, "effect": "free", "worth": 1})
		console := r.FreeAddress()
		p := r.Start(name, c, []string{"RELAY_NAME=n1", "RELAY_CONSOLE=" + console, "RELAY_SOCKET_FD=4"}, null, socket)
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			r.Check(!p.Ended() && time.Now().Before(end), "%s does not get ready:\n%s", name, p.Log())
			if status, err := play2.Console(console, "GET", "/v1/readyz"); err == nil && status == http.StatusOK {
				r.Note("%s says yes to readyz", name)
				return p, console
			}
		}
	}
	old, console := start("old")

	var stop atomic.Bool
	var served atomic.Int64
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			var c *play2.Client
			for !stop.Load() {
				time.Sleep(10 * time.Millisecond)
				if c == nil {
					if c, _ = play2.Dial(listen); c == nil {
						continue
					}
				}
				id := play2.NewID()
				status, _, resp, err := c.Do(r.Get(id, 2*time.Second), 3*time.Second)
				r.Note("client got for %s: %d %v", id, status, err)
				if status == http.StatusOK {
					served.Add(1)
				}
				if err != nil || resp.Close {
					c.Close()
					c = nil
				}
			}
		})
	}
	time.Sleep(time.Second)
	status, err := play2.Console(console, "POST", "/v1/backends/"+suspended+"/suspend")
	r.Must(err)
	r.Check(status/100 == 2, "suspend: %d", status)
	mu.Lock()
	outSince = time.Now()
	mu.Unlock()
	r.Note("the console says yes to suspend %s", suspended)
	time.Sleep(2 * time.Second)
	r.Check(late.Load() == 0, "the suspension did not hold before any upgrade")

	if r.Trouble {
		// The new process of the first upgrade is killed before the old one gets SIGTERM, so the old one serves on.
		first, _ := start("first")
		time.Sleep(500 * time.Millisecond)
		first.Kill()
		r.Note("first is killed; old serves on")
		time.Sleep(2 * time.Second)
		r.Check(late.Load() == 0, "the suspension did not hold after the first upgrade")
	}
	next, _ := start("next")
	old.Signal(syscall.SIGTERM)
	r.Check(old.WaitEnd(10*time.Second), "old does not end")
	time.Sleep(3 * time.Second)
	r.Check(!next.Ended(), "next has ended")
	stop.Store(true)
	all.Wait()
	line := fmt.Sprintf("%d served; %d requests at the suspended backend", served.Load(), late.Load())
	r.Note("%s", line)
	fmt.Println(line)
	r.Note("log of next:\n%s", next.Log())
	r.End()
}
