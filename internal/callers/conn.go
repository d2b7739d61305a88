package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brasswell/internal/framing"
	"brasswell/internal/idle"
	"brasswell/internal/linked"
)

// Conn is one connection of a caller.
type Conn struct {
	net.Conn
	set     *Set
	framing framing.Tracker // of what it sends; used by the one that reads
	ahead   []byte          // read from the socket and not handed on yet; the same
	flooded bool            // more came than is read ahead; the same
	waited  time.Duration   // before it was accepted; the same
	raw     syscall.RawConn // nil where there is no socket

	// Guarded by set.mu.
	state    http.ConnState
	kind     kind
	since    time.Time // when it became so; of a partial head, when its last bytes came
	ended    bool
	requests int          // begun so far
	breaking bool         // its read is broken off, so that it can be parked
	lot      *idle.Poller // where it is parked, or nil
	key      int32        // by which it is known there

	linked.Links[Conn] // in the list of its kind
}

type connKey struct{}

// WithConn is the server's ConnContext hook.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf is the connection that a request came on, of a server whose ConnContext is WithConn; nil elsewhere.
func ConnOf(r *http.Request) *Conn {
	k, _ := r.Context().Value(connKey{}).(*Conn)
	return k
}

// raw is a connection's socket; nil where there is none.
func raw(conn net.Conn) syscall.RawConn {
	if socket, ok := conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// busy says whether a request is open.
func (k *Conn) busy() bool {
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	return k.kind == busy
}

// serving says whether a request is open that has been read whole.
func (k *Conn) serving() bool {
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	return k.state == http.StateActive
}

// Gone says whether the caller has ended its sending or its connection, as the kernel knows it, whatever has been read so far, or
// whether the connection was closed here between the reading of its request and now. It does not block; where the kernel does not
// say, it is no.
func (k *Conn) Gone() (gone bool) {
	k.set.mu.Lock()
	gone = k.ended
	k.set.mu.Unlock()
	if gone || k.raw == nil {
		return gone
	}
	k.raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds[:], 0)
		gone = err == nil && n == 1 && fds[0].Revents&unix.POLLRDHUP != 0
	})
	return gone
}

// Close parks a connection whose read was broken off for that, and closes any other. Where more has come behind the request that was
// answered last, it lingers: a close over unread bytes is a reset, which takes with it what the caller has not read of its answer.
func (k *Conn) Close() error {
	if p := k.set.parking; p != nil && p.take(k) {
		return nil
	}
	if k.set.linger(k) {
		return nil
	}
	return k.Conn.Close()
}

// CloseWrite lets net/http end its sending first where it leaves unread what a caller sent: a close alone would
// become a reset, and take the answer with it.
func (k *Conn) CloseWrite() error {
	half, ok := k.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// Waited is how long the first request of a connection may have stood before this process could take the connection; 0 for later ones.
// It is for the one that reads.
func (k *Conn) TakeAcceptDelay() time.Duration {
	waited := k.waited
	k.waited = 0
	return waited
}

// leastStood is the shortest time that Stood tells: the kernel counts in ticks of some milliseconds.
const leastStood = 10 * time.Millisecond

// Stood is for how long the last bytes that have come have been there, as the kernel knows it, whenever this process got to read them; 0 where it
// does not say.
//
// It guards against a process that was stopped or starved and takes a request for a new one whose caller has waited meanwhile. It harms nobody who
// sends no more behind a request, and says too little of who does.
func (k *Conn) SinceLastData() (stood time.Duration) {
	if k.raw == nil {
		return 0
	}
	k.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			stood = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if stood < leastStood {
		return 0
	}
	return stood
}

// Chunked says whether the message read last is framed by chunks and no length.
func (k *Conn) Chunked() bool { return k.framing.Chunked() }

// Folded says whether a field of any head so far went on in the line behind.
func (k *Conn) Folded() bool { return k.framing.Folded() }
