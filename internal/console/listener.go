package console

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"brasswell/internal/linked"
)

const (
	// headGrace is what a caller has at least to send its call, from its connection on, and to end one it has begun.
	headGrace = 15 * time.Millisecond
	// firstGrace is how long one that has sent nothing yet is kept for, while others stand within half a call.
	firstGrace = 4 * headGrace
	// answering is how long to wait for a place where all calls are being answered.
	answering = time.Millisecond
)

// listener holds a bounded number of connections. When all places are taken, a newcomer takes that of the call which has
// stood half sent longest, or else of the connection which has been silent longest, once that has had its grace and all
// that it sent has been read.
//
// It guards against callers that connect and send nothing, or half a call, and stay: however many there are, the next
// one gets in, after as many times firstGrace as there are newcomers before it for each place, at most. A call whose head
// has come keeps its place, also while a process short of processor time has not read it, or has not begun to answer. It
// might end a call whose head takes longer than its grace while others come; a call's head comes in one piece. Who sends
// a byte again and again is held until the server's own time for a head is over.
type listener struct {
	*net.TCPListener
	most int

	mu   sync.Mutex
	open map[net.Conn]struct{}
	// The connections whose head has not come, the oldest first, by whether they have sent anything.
	silent, half linked.List[caller, *caller]
}

// caller is one connection.
type caller struct {
	*net.TCPConn
	of  *listener
	raw syscall.RawConn

	// Guarded by of.mu.
	in    *linked.List[caller, *caller] // nil once the head has come, or the connection is gone
	since time.Time                     // when it came there, or was last seen to have sent what nobody had read

	linked.Links[caller] // in that list

	// What has been read. The lock is held from before bytes leave the socket until they are counted here, so that who
	// looks at both sees them in one place or the other, also when the reader is kept from the processor in between.
	reading sync.Mutex
	line    int  // bytes of the line at hand, without its end
	begun   bool // a line has ended
	whole   bool // the head has
}

func newListener(l *net.TCPListener, most int) *listener {
	return &listener{TCPListener: l, most: max(most, 1), open: map[net.Conn]struct{}{}}
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, err
	}
	c := &caller{TCPConn: conn, of: l, raw: raw}
	for wait := l.admit(c); wait > 0; wait = l.admit(c) {
		time.Sleep(wait)
	}
	return c, nil
}

// admit takes a connection in, or says after how long there may be room for it.
func (l *listener) admit(c *caller) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.open) >= l.most {
		victim, wait := l.victim(now)
		if victim == nil {
			return wait
		}
		if victim.speaks() {
			l.put(victim, victim.in, now)
			continue
		}
		l.put(victim, nil, now)
		delete(l.open, victim)
		victim.TCPConn.Close()
	}
	l.open[c] = struct{}{}
	l.put(c, &l.silent, now)
	return 0
}

// victim is the connection whose place is free for a newcomer, or else after how long one may be; l.mu is held.
func (l *listener) victim(now time.Time) (*caller, time.Duration) {
	grace, wait := headGrace, answering
	if half := l.half.Front(); half != nil {
		if wait = headGrace - now.Sub(half.since); wait <= 0 {
			return half, 0
		}
		grace = firstGrace
	}
	if silent := l.silent.Front(); silent != nil {
		left := grace - now.Sub(silent.since)
		if left <= 0 {
			return silent, 0
		}
		if grace == headGrace || left < wait {
			wait = left
		}
	}
	return nil, wait
}

// put moves a connection to the end of a list, or out of any; l.mu is held.
func (l *listener) put(c *caller, to *linked.List[caller, *caller], now time.Time) {
	if c.in != nil {
		c.in.Remove(c)
	}
	if c.in, c.since = to, now; to != nil {
		to.Push(c)
	}
}

// heard takes in that a connection has sent something, or its whole head.
func (l *listener) heard(c *caller, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.in == nil:
	case whole:
		l.put(c, nil, c.since)
	case c.in == &l.silent:
		l.put(c, &l.half, time.Now())
	}
}

// track is the server's ConnState hook.
func (l *listener) track(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		return
	}
	c := conn.(*caller)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.put(c, nil, c.since)
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.open, c)
	}
}

// Read notes the end of the head by itself: net/http tells of it only after it has been scheduled again.
func (c *caller) Read(b []byte) (n int, err error) {
	var whole bool
	read := func(fd uintptr) bool {
		c.reading.Lock()
		defer c.reading.Unlock()
		for {
			if n, err = syscall.Read(int(fd), b); err != syscall.EINTR {
				break
			}
		}
		n = max(n, 0)
		c.follow(b[:n])
		whole = c.whole
		return err != syscall.EAGAIN
	}
	if failed := c.raw.Read(read); failed != nil {
		return 0, failed
	}
	switch {
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	c.of.heard(c, whole)
	return n, nil
}

// follow takes in bytes of the head; c.reading is held.
func (c *caller) follow(b []byte) {
	for _, at := range b {
		switch {
		case c.whole:
			return
		case at == '\n' && c.line == 0 && c.begun:
			c.whole = true
		case at == '\n':
			c.line, c.begun = 0, true
		case at != '\r':
			c.line++
		}
	}
}

// speaks says whether the call's head has come, or the caller has sent something that has not been read yet.
func (c *caller) speaks() bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	unread := false
	var b [1]byte
	// An error is that of a connection that is closed, which has nothing to lose.
	_ = c.raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return c.whole || unread
}
