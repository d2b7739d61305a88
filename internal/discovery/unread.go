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

// unreadEvery is the pause between two looks at what is unread.
const unreadEvery = time.Millisecond

// openConns are the connections to discovery that are open.
type openConns struct {
	mu   sync.Mutex
	open map[*openConn]struct{}
}

// openConn is a connection to discovery. Its reads go through the kernel's calls under mu, so that what has come is always seen either there or
// here.
type openConn struct {
	net.Conn
	raw syscall.RawConn
	of  *openConns

	mu      sync.Mutex
	came    time.Time // when bytes came last that no call has taken in; zero for none
	waiting bool      // a reader waits for more
	whole   bool      // a call has read all that it waits for
}

// dial opens a connection to discovery.
func (s *openConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTime}
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
	o := &openConn{Conn: c, raw: raw, of: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[o] = struct{}{}
	return o, nil
}

// Read reads what has come.
func (c *openConn) Read(p []byte) (n int, err error) {
	var failed error
	if err := c.raw.Read(func(fd uintptr) (done bool) {
		n, failed = c.readNow(int(fd), p)
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

// readNow reads what the kernel holds.
func (c *openConn) readNow(fd int, p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if n, err = unix.Read(fd, p); !errors.Is(err, unix.EINTR) {
			break
		}
	}
	c.waiting = errors.Is(err, unix.EAGAIN)
	if err == nil && n > 0 {
		c.came = time.Now()
	}
	return max(n, 0), err
}

// Close ends the connection.
func (c *openConn) Close() error {
	c.of.mu.Lock()
	delete(c.of.open, c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}

// complete says that a call has read all that it waits for. c may be nil.
func (c *openConn) complete() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole = true
}

// taken says that what was read has been taken in, or says nothing of the list. c may be nil.
func (c *openConn) taken() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.came, c.whole = time.Time{}, false
}

// unread says whether something has come that is not taken in. The rest of an answer of which a part has come is waited for no longer than
// PartTime.
func (c *openConn) unread(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.came.IsZero() && (c.whole || !c.waiting || now.Sub(c.came) < plan.PartialAnswerWait) {
		return true
	}
	return c.readable()
}

// readable says whether the kernel holds something that nobody has read.
func (c *openConn) readable() (yes bool) {
	c.raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds[:], 0)
		yes = err == nil && n == 1
	})
	return yes
}

// unread says whether something has come on any connection that is not taken in.
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

// CatchUp waits until all that discovery has written to this process is taken in, or ctx is done. What is written counts as told, and a
// process that was stopped, or not run for a while, finds requests and news at the same moment.
func (d *Client) CatchUp(ctx context.Context) {
	for d.conns.unread() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(unreadEvery):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ran = d.now()
}
