package callers

import (
	"io"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// WaitLingering returns once no connection lingers any more.
func (c *Set) WaitLingering() { c.lingerGroup.Wait() }

const (
	// lingerTime is how long a lingering connection is read, and lingerMaxBytes how much is read from it.
	lingerTime, lingerMaxBytes = 200 * time.Millisecond, 256 << 10
	// maxLingering bounds the connections that linger at one time; each holds a descriptor.
	maxLingering = 16
)

// hasUnread reports whether the socket has unread bytes.
func (k *Conn) hasUnread() (unread bool) {
	if k.raw == nil {
		return false
	}
	k.raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		unread = err == nil && n > 0
	})
	return unread
}

// linger shuts down the sending side of a connection, and closes the connection once the caller has closed its side
// too or lingerTime is over. Anything read meanwhile is discarded. It returns false if too many connections linger
// already, if nothing has arrived after the last request, and if the connection is idle: what arrives while an idle
// connection is closed has not been read, and its caller sends it again.
func (c *Set) linger(k *Conn) bool {
	half, ok := k.Conn.(interface{ CloseWrite() error })
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || c.shutdown || k.closed || k.state != http.StateActive || c.lingering >= min(maxLingering, c.hardLimit-c.softLimit) {
		return false
	}
	if k.framing.atMessageBoundary() && len(k.buffered) == 0 && !k.hasUnread() {
		return false
	}
	k.closed = true
	c.lingering++
	c.lingerGroup.Go(func() {
		half.CloseWrite()
		k.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.Copy(io.Discard, io.LimitReader(k.Conn, lingerMaxBytes))
		k.Conn.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lingering--
	})
	return true
}
