package channel

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/handshake"
	"brasswell/internal/channel/plan"
)

// end is one end of a channel.
type end struct {
	side plan.Side
	now  func() time.Duration
	conn *net.TCPConn
	raw  syscall.RawConn
	mask bool // frames to it are masked
	get  *gate
	// How long it may take nothing, and how long it may leave a Close unanswered.
	patience, closeWithin time.Duration

	// Of what it sends; used by the goroutine that reads it, but for the atomics.
	checker frame.Checker
	held    []byte // read, and not enough yet to go on
	heard   atomic.Int64
	spoke   atomic.Int64
	since   atomic.Int64 // since when a frame has been on its way; 0 for none
	moved   atomic.Int64 // bytes of that frame
	blocked atomic.Bool  // its bytes wait for the other end
	resting atomic.Bool  // a goroutine that does nothing else waits for it
	dropped int          // bytes that nobody takes any more
	bytes   atomic.Int64 // that have gone on

	// Of what goes to it.
	mu      sync.Mutex
	writing bool      // a write runs without mu
	until   time.Time // the socket's write deadline
	within  bool      // the last byte written stands within a frame
	open    bool      // a message to it has begun, and not ended
	pending []byte    // frames of the proxy's own that are still to be written; may begin within one
	closing bool      // a Close has been written to it or stands in pending, or it is gone: no data may follow
	gone    bool      // its socket is closed
	told    bool      // that Close was the proxy's own word to go
	toRest  bool      // its read is broken off so that it can rest
	looking bool      // a look for room runs without mu, and writing is set; a frame that is put in breaks it off
	wanted  *goodbye  // to be told once the message at hand is over

	// What a read returns; kept here so that no read allocates.
	peeked  byte
	reading struct {
		f    func(fd uintptr) bool
		room bool // the other end has room for what is read
		b    *buffer
		n    int
		err  error
		full bool
	}
}

var (
	errStalled = errors.New("the end takes nothing")
	errTooMuch = errors.New("the end goes on after its Close")
	errRest    = errors.New("the end is quiet")
	errClosed  = errors.New("the end has sent its Close")
)

func newEnd(side plan.Side, conn *net.TCPConn, held []byte, rules frame.Rules, t *Table) (*end, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	// The proxy's sockets have buffers for requests. They are small where there are many sockets, and smaller than a
	// segment on loopback: the kernel then waits on its own timers within each long message.
	size := int(t.options.SocketBuffer)
	if err := errors.Join(conn.SetReadBuffer(size), conn.SetWriteBuffer(size)); err != nil {
		return nil, err
	}
	e := &end{
		side: side, now: t.now, conn: conn, raw: raw, mask: side == plan.Server, get: t.gate, held: held,
		patience: t.options.WriteTimeout, closeWithin: t.options.CloseTimeout,
	}
	e.checker.Rules = rules
	now := int64(t.now())
	e.heard.Store(now)
	e.spoke.Store(now)
	e.reading.f = e.tryRead
	return e, nil
}

// tryRead takes a buffer only once there is something to read, or before the first look.
func (e *end) tryRead(fd uintptr) bool {
	r := &e.reading
	if r.b == nil {
		r.b = e.get.try(r.room)
	}
	if r.b == nil {
		r.full = true
		return true
	}
	into := r.b[frame.MaxUnconsumed:]
	if r.room {
		into = into[:roomyBytes]
	}
	for {
		if r.n, r.err = syscall.Read(int(fd), into); r.err != syscall.EINTR {
			break
		}
	}
	if r.err == syscall.EAGAIN {
		e.get.put(r.b)
		r.b = nil
		return false
	}
	return true
}

// read returns a buffer with what the end sent, behind room for what was held. It holds no buffer while it waits:
// a quiet channel costs its goroutines and its sockets. room is called where buffers are short, and waits until the
// bytes can go on at once; nil where they need not.
func (e *end) read(room func()) (*buffer, int, error) {
	r := &e.reading
	r.room, r.b = room == nil, nil
	for {
		r.full = false
		err := e.raw.Read(r.f)
		switch {
		case err != nil:
			if r.b != nil {
				e.get.put(r.b)
			}
			return nil, 0, err
		case r.full && !r.room:
			room()
			r.room = true
			continue
		case r.full:
			// Something has come, and all buffers are in use. This end waits, and with it who sends there.
			e.waitsFor(func() { r.b = e.get.wait() })
			continue
		case r.err == nil && r.n > 0:
			return r.b, r.n, nil
		}
		e.get.put(r.b)
		if r.err != nil {
			return nil, 0, os.NewSyscallError("read", r.err)
		}
		return nil, 0, io.EOF
	}
}

// peek says whether a read would not wait. It must not use much of the stack.
func (e *end) peek(fd uintptr) bool {
	_, _, errno := syscall.Syscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&e.peeked)), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return errno != syscall.EAGAIN
}

// progress notes whether a frame is on its way, and how far it is.
func (e *end) progress(now time.Duration, held bool) {
	if e.checker.AtFrameBoundary() && !held {
		e.since.Store(0)
		return
	}
	e.moved.Store(e.checker.FrameBytes())
	if e.since.Load() == 0 {
		e.since.Store(int64(now))
	}
}

// waitsFor calls f, in which the end's bytes wait for the other end. That is the other end's time, not its own.
func (e *end) waitsFor(f func()) {
	begun := e.now()
	e.blocked.Store(true)
	f()
	e.blocked.Store(false)
	if since := e.since.Load(); since > 0 {
		e.since.Store(since + int64(e.now()-begun))
	}
}

// rulesOf are the rules of both directions.
func rulesOf(a handshake.Agreement, o *Options) [plan.NumSides]frame.Rules {
	both := frame.Rules{ReservedBits: a.ReservedBits, MaxMessage: o.MaxMessage, CheckUTF8: a.UTF8 || o.CheckUTF8}
	client := both
	client.Masked = true
	return [plan.NumSides]frame.Rules{plan.Client: client, plan.Server: both}
}
