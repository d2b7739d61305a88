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
	// headGrace is the minimum time that a caller has to start its call after it connects, and to complete the head of
	// a call that it has started.
	headGrace = 15 * time.Millisecond
	// silentGrace is how long a connection that has sent nothing is kept while other connections have a partial call.
	silentGrace = 4 * headGrace
	// busyRetryDelay is the delay before the next attempt to admit a connection when all places hold calls that are
	// being answered.
	busyRetryDelay = time.Millisecond
)

// listener holds a bounded number of connections. When all places are taken, a new connection takes the place of the
// call that has been partially sent for the longest time, or else of the connection that has been silent for the
// longest time. The evicted connection has used up its grace period, and everything that it sent has been read.
//
// This protects the console from callers that connect, send nothing or a partial call, and stay connected. However many
// there are, a new connection is admitted after at most silentGrace times the number of new connections that wait
// before it for each place. A call whose head has arrived keeps its place, even if a process that is short of CPU time
// has not read it or has not started to answer. A call whose head takes longer than its grace period may be closed
// while others connect; in practice a head arrives in one piece. A caller that keeps sending single bytes is held until
// the server's own timeout for a head expires.
type listener struct {
	*net.TCPListener
	maxConns int

	mu   sync.Mutex
	open map[net.Conn]struct{}
	// The connections whose head has not arrived, the oldest first: silent ones have sent nothing, partial ones have
	// sent a part of the head.
	silent, partial linked.List[caller, *caller]
}

// caller is one connection.
type caller struct {
	*net.TCPConn
	owner *listener
	raw   syscall.RawConn

	// Guarded by owner.mu:
	queue *linked.List[caller, *caller] // nil once the head has arrived or the connection is closed
	since time.Time                     // when it entered the queue, or when unread data was last found on it

	linked.Links[caller] // in queue

	// What has been read. readMu is held from before bytes are taken from the socket until they are counted here, so
	// that hasSentCall, which checks both, sees them in one place or the other, even if the reader is descheduled in
	// between.
	readMu       sync.Mutex
	lineLen      int  // bytes of the current line, without its line ending
	sawLine      bool // at least one line is complete
	headComplete bool // the whole head has been read
}

func newListener(l *net.TCPListener, maxConns int) *listener {
	return &listener{TCPListener: l, maxConns: max(maxConns, 1), open: map[net.Conn]struct{}{}}
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
	c := &caller{TCPConn: conn, owner: l, raw: raw}
	for wait := l.admit(c); wait > 0; wait = l.admit(c) {
		time.Sleep(wait)
	}
	return c, nil
}

// admit adds a connection and returns 0, or returns how long to wait before a place may be free.
func (l *listener) admit(c *caller) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.open) >= l.maxConns {
		victim, wait := l.victim(now)
		if victim == nil {
			return wait
		}
		if victim.hasSentCall() {
			l.moveTo(victim, victim.queue, now)
			continue
		}
		l.moveTo(victim, nil, now)
		delete(l.open, victim)
		victim.TCPConn.Close()
	}
	l.open[c] = struct{}{}
	l.moveTo(c, &l.silent, now)
	return 0
}

// victim returns the connection to evict for a new one, or nil and how long to wait before there may be one. The caller
// holds l.mu.
func (l *listener) victim(now time.Time) (*caller, time.Duration) {
	grace, wait := headGrace, busyRetryDelay
	if partial := l.partial.Front(); partial != nil {
		if wait = headGrace - now.Sub(partial.since); wait <= 0 {
			return partial, 0
		}
		grace = silentGrace
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

// moveTo moves a connection to the end of a queue, or removes it from its queue if to is nil. The caller holds l.mu.
func (l *listener) moveTo(c *caller, to *linked.List[caller, *caller], now time.Time) {
	if c.queue != nil {
		c.queue.Remove(c)
	}
	if c.queue, c.since = to, now; to != nil {
		to.Push(c)
	}
}

// received records that data was read from a connection, and whether its head is complete.
func (l *listener) received(c *caller, headComplete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.queue == nil:
	case headComplete:
		l.moveTo(c, nil, c.since)
	case c.queue == &l.silent:
		l.moveTo(c, &l.partial, time.Now())
	}
}

// track is the server's ConnState hook. After the first change of state a connection is no longer evicted.
func (l *listener) track(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		return
	}
	c := conn.(*caller)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moveTo(c, nil, c.since)
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.open, c)
	}
}

// Read detects the end of the head itself, because net/http reports it only after its goroutine has been scheduled
// again.
func (c *caller) Read(b []byte) (n int, err error) {
	var headComplete bool
	read := func(fd uintptr) bool {
		c.readMu.Lock()
		defer c.readMu.Unlock()
		for {
			if n, err = syscall.Read(int(fd), b); err != syscall.EINTR {
				break
			}
		}
		n = max(n, 0)
		c.scanHead(b[:n])
		headComplete = c.headComplete
		return err != syscall.EAGAIN
	}
	if rawErr := c.raw.Read(read); rawErr != nil {
		return 0, rawErr
	}
	switch {
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	c.owner.received(c, headComplete)
	return n, nil
}

// scanHead scans bytes of the head for its end. The caller holds c.readMu.
func (c *caller) scanHead(b []byte) {
	for _, ch := range b {
		switch {
		case c.headComplete:
			return
		case ch == '\n' && c.lineLen == 0 && c.sawLine:
			c.headComplete = true
		case ch == '\n':
			c.lineLen, c.sawLine = 0, true
		case ch != '\r':
			c.lineLen++
		}
	}
}

// hasSentCall reports whether the call's head has been read, or the socket has data that has not been read yet.
func (c *caller) hasSentCall() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	unread := false
	var b [1]byte
	// Control fails only for a closed connection, which loses nothing by its eviction.
	_ = c.raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return c.headComplete || unread
}
