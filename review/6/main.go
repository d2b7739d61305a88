// Command 6 plays backends whose second answers come some milliseconds late.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"brasswell/review/play2"
)

const (
	clients = 16
	length  = 40 * time.Second
	// The lateness of a second answer, after the first.
	earliest, latest = 6 * time.Millisecond, 9 * time.Millisecond
	share            = 0.05 // of the answers that have a second one
)

// unread returns how many bytes wait in the socket.
func unread(c net.Conn) (n int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 1
	}
	raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return n
}

func between(least, most time.Duration) time.Duration { return least + rand.N(most-least) }

func main() {
	r := play2.Begin()
	var second, served, foreign atomic.Int64
	handle := func(b *play2.Backend, q *play2.Request) bool {
		time.Sleep(between(0, 6*time.Millisecond))
		text := play2.Text(b.Answer(q))
		if _, err := q.Conn.Write([]byte(text)); err != nil {
			return false
		}
		if !r.Trouble || rand.Float64() >= share {
			return true
		}
		time.Sleep(between(earliest, latest))
		if q.Read.Buffered() > 0 || unread(q.Conn) > 0 {
			return true // another request waits on the connection
		}
		_, err := q.Conn.Write([]byte(text))
		sent := time.Now()
		second.Add(1)
		r.Note("%s has sent a second answer for %s", b.Host.Host, q.ID)
		if err != nil {
			return false
		}
		q.Conn.SetReadDeadline(sent.Add(play2.ConnIdle))
		if _, err := q.Read.Peek(1); err == nil {
			r.Note("%s gets another request %.3f ms after the second answer for %s", b.Host.Host, time.Since(sent).Seconds()*1000, q.ID)
		}
		return true
	}
	var hosts []play2.Host
	for i := range 3 {
		hosts = append(hosts, r.StartBackend(fmt.Sprintf("b%d", i), handle).Host)
	}
	d := r.StartDiscovery(hosts)
	listen := r.FreeAddress()
	p := r.Start("n1", play2.NewConfig(listen, d.Address, d.Known(), play2.Class{
		"name": "a", "aim_ms": 1000, "give_up_ms": 2000, "effect": "free", "worth": 1,
	}), nil)
	r.WaitHealthy(listen, p)
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			var c *play2.Client
			for time.Now().Before(end) {
				var err error
				if c == nil {
					if c, err = play2.Dial(listen); err != nil {
						r.Note("connect: %v", err)
						time.Sleep(10 * time.Millisecond)
						continue
					}
				}
				id := play2.NewID()
				r.Note("client sends %s", id)
				status, body, resp, err := c.Do(r.Get(id, 2*time.Second), 3*time.Second)
				r.Note("client got for %s: %d %q %v", id, status, body, err)
				if status == 200 && err == nil {
					served.Add(1)
					if !strings.HasPrefix(string(body), "answer for "+id+" from ") {
						foreign.Add(1)
						r.Break("the client of %s was served with %q", id, body)
					}
				}
				if err != nil || resp.Close {
					c.Close()
					c = nil
				}
				time.Sleep(between(0, 80*time.Millisecond))
			}
		})
	}
	all.Wait()
	r.Check(!p.Ended(), "the proxy has ended")
	line := fmt.Sprintf("%d served, %d second answers, %d clients got another's answer", served.Load(), second.Load(), foreign.Load())
	r.Note("%s", line)
	fmt.Println(line)
	r.Check(served.Load() > 1000, "too little was served")
	r.End()
}
