package backends

import (
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sendPollInterval is the interval at which the kernel is asked whether it has sent what was written.
const sendPollInterval = 2 * time.Millisecond

// queued returns how many written bytes the backend's machine has not acknowledged, and how many of these were not sent,
// because the backend does not read them. ok is false if the kernel does not tell.
func (c *conn) queued() (unacknowledged, unsent int, ok bool) {
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return 0, 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, 0, false
	}
	var errs [2]error
	err = raw.Control(func(fd uintptr) {
		unacknowledged, errs[0] = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unsent, errs[1] = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD)
	})
	return unacknowledged, unsent, err == nil && errs[0] == nil && errs[1] == nil
}

// awaitSent waits until the kernel has sent all that was written. It returns at once if the kernel does not tell,
// os.ErrDeadlineExceeded if nothing is sent for the given time, where 0 means no limit, and net.ErrClosed if the
// connection is closed.
func (c *conn) awaitSent(idleTimeout time.Duration) error {
	_, left, ok := c.queued()
	moved := time.Now()
	for ok && left > 0 {
		if idleTimeout > 0 && time.Since(moved) >= idleTimeout {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(sendPollInterval)
		before := left
		if _, left, ok = c.queued(); left < before {
			moved = time.Now()
		}
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return nil
}

// abortUnsent makes Close discard the written bytes that have not reached the backend's machine, with a reset. Otherwise
// the kernel would go on sending them after Close, and the backend would execute a request that nobody waits for.
func (c *conn) abortUnsent() {
	socket, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok || !c.writeBegun.Load() || c.released.Load() {
		return
	}
	if unacknowledged, _, ok := c.queued(); ok && unacknowledged == 0 {
		return
	}
	socket.SetLinger(0)
}
