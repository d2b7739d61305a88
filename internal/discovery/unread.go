package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brasswell/internal/discovery/plan"
)

// unreadPollInterval is the pause between two checks for unread data.
const unreadPollInterval = time.Millisecond

// openConns is the set of open connections to discovery.
type openConns struct {
	mu   sync.Mutex
	open map[*openConn]struct{}
}

// openConn is a connection to discovery. It reads with system calls under mu, so that received data is always visible
// either in the kernel or in receivedAt.
type openConn struct {
	net.Conn
	raw  syscall.RawConn
	pool *openConns

	mu             sync.Mutex
	receivedAt     time.Time // when the last bytes arrived that no call has applied; zero for none
	readerWaiting  bool      // a reader waits for more data
	answerComplete bool      // a call has read its complete answer
}

// dial opens a connection to discovery.
func (s *openConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return s.add(c)
}

func (s *openConns) add(c net.Conn) (*openConn, error) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		c.Close()
		return nil, err
	}
	o := &openConn{Conn: c, raw: raw, pool: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[o] = struct{}{}
	return o, nil
}

// Read reads what has arrived.
func (c *openConn) Read(p []byte) (n int, err error) {
	var failed error
	if err := c.raw.Read(func(fd uintptr) (done bool) {
		n, failed = c.readAvailable(int(fd), p)
		return !errors.Is(failed, unix.EAGAIN)
	}); err != nil {
		return 0, err
	}
	switch {
	case failed != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", failed)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readAvailable reads what the kernel holds.
func (c *openConn) readAvailable(fd int, p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if n, err = unix.Read(fd, p); !errors.Is(err, unix.EINTR) {
			break
		}
	}
	c.readerWaiting = errors.Is(err, unix.EAGAIN)
	if err == nil && n > 0 {
		c.receivedAt = time.Now()
	}
	return max(n, 0), err
}

// Close closes the connection.
func (c *openConn) Close() error {
	c.pool.mu.Lock()
	delete(c.pool.open, c)
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// markComplete records that a call has read its complete answer. c may be nil.
func (c *openConn) markComplete() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerComplete = true
}

// markApplied records that the data read was applied, or contains nothing about the list. c may be nil.
func (c *openConn) markApplied() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedAt, c.answerComplete = time.Time{}, false
}

// unread reports whether data has arrived that is not applied. If only a part of an answer has arrived, the rest is
// waited for no longer than PartialAnswerWait.
func (c *openConn) unread(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receivedAt.IsZero() && (c.answerComplete || !c.readerWaiting || now.Sub(c.receivedAt) < plan.PartialAnswerWait) {
		return true
	}
	return c.readable()
}

// readable reports whether the kernel holds unread data.
func (c *openConn) readable() (ok bool) {
	c.raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds[:], 0)
		ok = err == nil && n == 1
	})
	return ok
}

// unread reports whether data has arrived on any connection that is not applied.
func (s *openConns) unread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.open {
		if c.unread(now) {
			return true
		}
	}
	return false
}

// CatchUp waits until everything that discovery has written to this process is applied, or ctx is done. An update
// counts as notified once it is written, and a process that was stopped or stalled receives requests and updates at
// the same moment.
func (d *Client) CatchUp(ctx context.Context) {
	for d.conns.unread() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(unreadPollInterval):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRan = d.now()
}
