package callers

import (
	"io"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// Wait returns once no connection lingers any more.
func (c *Set) WaitLingering() { c.lingers.Wait() }

const (
	// lingerTime is how long a connection that lingers is read on, and lingerMost how much of it.
	lingerTime, lingerMost = 200 * time.Millisecond, 256 << 10
	// mostLingering do so at one time; each holds a descriptor.
	mostLingering = 16
)

// unread says whether bytes stand in the socket.
func (k *Conn) unread() (some bool) {
	if k.raw == nil {
		return false
	}
	k.raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		some = err == nil && n > 0
	})
	return some
}

// linger ends what is sent to a caller, and closes its connection once it has ended its side too or lingerTime is over. Nothing that
// is read meanwhile is looked at. It returns false where enough others do so, where nothing has come behind the last request, and on
// a connection at rest: what crosses its close has not been read, and its caller sends it again.
func (c *Set) linger(k *Conn) bool {
	half, ok := k.Conn.(interface{ CloseWrite() error })
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || c.shut || k.ended || k.state != http.StateActive || c.lingering >= min(mostLingering, c.hard-c.soft) {
		return false
	}
	if k.framing.AtMessageBoundary() && len(k.ahead) == 0 && !k.unread() {
		return false
	}
	k.ended = true
	c.lingering++
	c.lingers.Go(func() {
		half.CloseWrite()
		k.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.Copy(io.Discard, io.LimitReader(k.Conn, lingerMost))
		k.Conn.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lingering--
	})
	return true
}
