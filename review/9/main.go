// Command 9 plays backends that hang, and clients that send long bodies in chunks.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brasswell/review/play2"
)

const (
	remaining = 2 * time.Second
	// late is when an answer counts as lost: "up to half a second after its time it only earns nothing".
	late = remaining + 500*time.Millisecond
	// The bodies have many sizes, since the system's buffers decide how much of one arrives while the backend hangs.
	clients, least, piece = 400, 110 << 10, 256
	hungBuffer            = 32 << 10 // of the sockets of the backends that hang
	backends, hung        = 6, 2
)

// unacknowledged returns how many bytes of a connection the peer's machine has not accepted yet.
func unacknowledged(c net.Conn) (n int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1
	}
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return -1
	}
	return n
}

// hang makes a backend that takes connections and reads nothing.
func hang(r *play2.Run, name string) play2.Host {
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, hungBuffer) })
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	r.Must(err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.Note("%s hangs on a connection", name)
			defer c.Close() // until the end of the run
		}
	}()
	return play2.Host{Host: name, Dial: l.Addr().String(), Site: "a", Class: "m", Block: 1, Health: "up", Share: 1}
}

func main() {
	r := play2.Begin()
	var hosts []play2.Host
	for i := range backends {
		name := fmt.Sprintf("b%d", i)
		if i >= backends-hung && r.Trouble {
			hosts = append(hosts, hang(r, name))
		} else {
			hosts = append(hosts, r.StartBackend(name, nil).Host)
		}
	}
	d := r.StartDiscovery(hosts)
	listen := r.FreeAddress()
	p := r.Start("n1", play2.NewConfig(listen, d.Address, d.Known(), play2.Class{
		"name": "k", "aim_ms": remaining.Milliseconds(), "give_up_ms": remaining.Milliseconds(), "effect": "guarded", "group": "all", "window_ms": 5000, "worth": 1,
	}), nil)
	r.WaitHealthy(listen, p)
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() { send(r, listen, least+n*piece) })
	}
	all.Wait()
	r.Check(!p.Ended(), "the proxy has ended")
	r.End()
}

// send sends one request and waits for its answer.
func send(r *play2.Run, listen string, size int) {
	c, err := play2.Dial(listen)
	r.Must(err)
	defer c.Close()
	id := play2.NewID()
	r.WillSend(id)
	var text strings.Builder
	fmt.Fprintf(&text, "POST /api/%s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: k\r\nIdempotency-Key: %s\r\nX-Remaining-Ms: %d\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", id, id, id, remaining.Milliseconds())
	for range size / piece {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", piece, strings.Repeat("x", piece))
	}
	text.WriteString("0\r\n\r\n")
	c.SetWriteDeadline(time.Now().Add(15 * time.Second))
	if _, err := io.WriteString(c, text.String()); err != nil {
		r.Note("%s of %d bytes: not written whole, so not taken: %v", id, size, err)
		return
	}
	// The request's time begins when the proxy's machine has its last byte.
	accepted := false
	for end := time.Now().Add(time.Second); !accepted && time.Now().Before(end); time.Sleep(time.Millisecond) {
		accepted = unacknowledged(c.Conn) == 0
	}
	begun := time.Now()
	r.Note("%s of %d bytes: sent; last byte accepted by the proxy's machine: %v", id, size, accepted)
	status, _, _, err := c.Answer(20 * time.Second)
	took := time.Since(begun)
	r.Note("%s of %d bytes: answered %d after %v (%v)", id, size, status, took, err)
	if accepted && took > late {
		r.Break("%s of %d bytes got no answer until %.1f s after its last byte (then %d, %v); it had %v", id, size, took.Seconds(), status, err, remaining)
	}
}
