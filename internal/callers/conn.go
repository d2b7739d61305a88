package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brasswell/internal/framing"
	"brasswell/internal/idle"
	"brasswell/internal/linked"
)

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	set           *Set
	framing       requestFraming
	buffered      []byte // read from the socket and not yet returned by Read; used by the reading goroutine only
	overflowed    bool   // the caller sent more than maxReadAhead; used by the reading goroutine only
	rejected      bool   // a head that is over a limit has been answered; used by the reading goroutine only
	tooManyFields bool   // a head with too many fields has been read; used by the reading goroutine only
	// localAnswerDue is when the last answer for which no backend was asked was due, at the pace for such answers; used by
	// the handler only.
	localAnswerDue time.Time
	answering      atomic.Bool     // the open request's answer is being written, or has been
	acceptDelay    time.Duration   // before the connection was accepted; used by the reading goroutine only
	raw            syscall.RawConn // nil if the connection has no socket

	// The following fields are guarded by set.mu.
	state       http.ConnState
	kind        kind
	since       time.Time // when kind was set; for a partial head, when its last bytes came
	closed      bool
	held        int64        // bytes charged for the connection
	heldForHead int64        // bytes charged for the head of its request
	heldAhead   int64        // bytes charged for buffered
	requests    int          // requests begun so far
	parkPending bool         // the read was interrupted so that the connection can be parked
	poller      *idle.Poller // holds the connection while it is parked; nil otherwise
	pollerKey   int32        // key of the connection in poller

	linked.Links[Conn] // in the list of its kind
}

type connKey struct{}

// WithConn stores the connection in the context of its requests. It is the server's ConnContext hook.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request if its server's ConnContext is WithConn, and nil otherwise.
func ConnOf(r *http.Request) *Conn {
	k, _ := r.Context().Value(connKey{}).(*Conn)
	return k
}

// raw returns a connection's socket, or nil if it has none.
func raw(conn net.Conn) syscall.RawConn {
	if socket, ok := conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// busy reports whether a request is open, or has been read and is about to be.
func (k *Conn) busy() bool {
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	return k.kind == kindBusy
}

// evicted reports whether the connection was closed on this side.
func (k *Conn) evicted() bool {
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	return k.closed
}

// Gone reports whether the caller has closed its sending side or its connection according to the kernel, however
// much has been read so far, or whether the connection was closed on this side after its request was read. It does
// not block. If the kernel gives no answer, it returns false.
func (k *Conn) Gone() (gone bool) {
	gone = k.evicted()
	if gone || k.raw == nil {
		return gone
	}
	k.raw.Control(func(fd uintptr) { gone = hungUp(fd) })
	return gone
}

// hungUp reports whether the peer of a socket has closed its sending side or its connection.
func hungUp(fd uintptr) bool {
	fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds[:], 0)
	return err == nil && n == 1 && fds[0].Revents&unix.POLLRDHUP != 0
}

// Answering notes that the answer to the open request is about to be written. From now on what comes may be the caller's next
// request, which it may send as soon as it has the answer, even if net/http has not ended the open one yet.
func (k *Conn) Answering() { k.answering.Store(true) }

// Close parks a connection whose read was interrupted for parking, and closes any other. If more bytes have arrived
// after the request that was answered last, it closes gracefully: closing a socket with unread bytes sends a reset,
// which discards the part of the answer that the caller has not read yet.
func (k *Conn) Close() error {
	if p := k.set.parking; p != nil && p.park(k) {
		return nil
	}
	if k.set.linger(k) {
		return nil
	}
	return k.Conn.Close()
}

// CloseWrite lets net/http shut down its sending side first if it leaves bytes from the caller unread: a plain close
// would send a reset and discard the answer.
func (k *Conn) CloseWrite() error {
	half, ok := k.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// TakeAcceptDelay returns how long the first request of a connection may have waited before this process could
// accept the connection, and 0 for later requests. It must be called by the reading goroutine.
func (k *Conn) TakeAcceptDelay() time.Duration {
	delay := k.acceptDelay
	k.acceptDelay = 0
	return delay
}

// Unread returns how many received bytes have not been read from the connection according to the kernel. ok is false if
// the kernel gives no answer.
func (k *Conn) Unread() (bytes int, ok bool) {
	if k.raw == nil {
		return 0, false
	}
	var failed error
	err := k.raw.Control(func(fd uintptr) { bytes, failed = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return bytes, err == nil && failed == nil
}

// minSinceData is the shortest time that SinceLastData reports: the kernel counts in ticks of some milliseconds.
const minSinceData = 10 * time.Millisecond

// SinceLastData returns how long ago the last bytes arrived according to the kernel, regardless of when this process
// read them. It returns 0 if the kernel gives no answer.
//
// It prevents a process that was stopped or starved of CPU from treating a request as new when its caller has waited
// meanwhile. It is exact for callers that send nothing after a request, and too short for those that do.
func (k *Conn) SinceLastData() (age time.Duration) {
	if k.raw == nil {
		return 0
	}
	k.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if age < minSinceData {
		return 0
	}
	return age
}

const (
	// localAnswerInterval is the time between two answers on one connection for which no backend was asked, on average.
	localAnswerInterval = 10 * time.Millisecond
	// localAnswerBurst is how many such answers may follow each other without a pause. A client may send as many requests
	// at once as maxReadAhead holds, and all of them may have to be refused at once.
	localAnswerBurst = 200
)

// PaceLocalAnswer waits before an answer for which no backend was asked if the connection has had very many of them. It
// must be called by the request's handler.
//
// It prevents one client that sends health checks, or requests that are refused at once, as fast as it can from taking
// the processor from all others.
func (k *Conn) PaceLocalAnswer() {
	earliest := time.Now().Add(-localAnswerBurst * localAnswerInterval)
	if k.localAnswerDue.Before(earliest) {
		k.localAnswerDue = earliest
	}
	k.localAnswerDue = k.localAnswerDue.Add(localAnswerInterval)
	time.Sleep(time.Until(k.localAnswerDue))
}

// Buffered returns the number of bytes that have been read from a hijacked connection and not been passed on.
func (k *Conn) Buffered() int { return len(k.buffered) }

// BeginRequest records that a request is passed to the handler, and returns how it is framed. It must be called once for
// each request, before its body is read.
func (k *Conn) BeginRequest() framing.Kind {
	k.set.beginRequest(k)
	return k.framing.beginRequest()
}

// First reports whether the request that was passed to the handler last is the first one on its connection.
func (k *Conn) First() bool {
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	return k.requests <= 1
}

// HasMore reports whether anything has come behind the request that was passed to the handler last.
func (k *Conn) HasMore() bool {
	return k.framing.requestPending() || !k.framing.atMessageBoundary() || k.hasUnread()
}

// Folded reports whether a header field in any head so far was continued on the next line.
func (k *Conn) Folded() bool { return k.framing.folded() }
