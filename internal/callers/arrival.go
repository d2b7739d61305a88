package callers

import (
	"sync"

	"golang.org/x/sys/unix"
)

// maxPeek is the most unread bytes of a connection that are searched for the end of a body.
const maxPeek = 256 << 10

// peekPool holds buffers of maxPeek bytes.
var peekPool = sync.Pool{New: func() any { return new([maxPeek]byte) }}

// RequestArrived reports whether the request that was passed to the handler last has arrived whole, even if its end has
// not been read yet. It is only reliable while nothing reads the connection.
func (k *Conn) RequestArrived() bool {
	number, tracker := k.framing.current()
	unread, ok := k.Unread()
	if !ok || tracker.BodyComplete(number, unread) {
		return ok
	}
	if unread > maxPeek {
		return false
	}
	buffer := peekPool.Get().(*[maxPeek]byte)
	defer peekPool.Put(buffer)
	tracker.Feed(buffer[:k.peek(buffer[:unread])])
	return tracker.BodyComplete(number, 0)
}

// peek copies unread bytes from the socket without reading them, and returns their number.
func (k *Conn) peek(b []byte) (n int) {
	k.raw.Control(func(fd uintptr) {
		if peeked, _, err := unix.Recvfrom(int(fd), b, unix.MSG_PEEK|unix.MSG_DONTWAIT); err == nil {
			n = peeked
		}
	})
	return n
}
