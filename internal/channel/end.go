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
	side    plan.Side
	now     func() time.Duration
	conn    *net.TCPConn
	raw     syscall.RawConn
	mask    bool // frames to it are masked
	buffers *bufferPool
	// How long it may take nothing, and how long it may leave a Close unanswered.
	writeTimeout, closeTimeout time.Duration

	// Of what it sends; used by the goroutine that reads it, but for the atomics.
	checker     frame.Checker
	unconsumed  []byte // read, and not enough yet to go on
	lastRead    atomic.Int64
	lastMessage atomic.Int64
	frameStart  atomic.Int64 // since when a frame has been on its way; 0 for none
	frameBytes  atomic.Int64 // bytes of that frame
	blocked     atomic.Bool  // its bytes wait for the other end
	parked      atomic.Bool  // a goroutine that does nothing else waits for it
	discarded   int          // bytes that nobody takes any more
	forwarded   atomic.Int64 // that have gone on

	// Of what goes to it.
	mu            sync.Mutex
	writing       bool        // a write runs without mu
	writeDeadline time.Time   // the socket's write deadline
	midFrame      bool        // the last byte written stands within a frame
	midMessage    bool        // a message to it has begun, and not ended
	pending       []byte      // frames of the proxy's own that are still to be written; may begin within one
	closing       bool        // a Close has been written to it or stands in pending, or it is gone: no data may follow
	disconnected  bool        // its socket is closed
	closedByProxy bool        // that Close was the proxy's own word to go
	parkRequested bool        // its read is broken off so that it can rest
	polling       bool        // a look for room runs without mu, and writing is set; a frame that is put in breaks it off
	deferredClose *closeFrame // to be told once the message at hand is over

	// What a read returns; kept here so that no read allocates.
	peekByte byte
	reading  struct {
		try       func(fd uintptr) bool
		writable  bool // the other end has room for what is read
		buf       *buffer
		n         int
		err       error
		exhausted bool
	}
}

var (
	errWriteStalled      = errors.New("the end takes nothing")
	errTooMuchAfterClose = errors.New("the end goes on after its Close")
	errParked            = errors.New("the end is quiet")
	errCloseReceived     = errors.New("the end has sent its Close")
)

func newEnd(side plan.Side, conn *net.TCPConn, buffered []byte, rules frame.Rules, t *Table) (*end, error) {
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
		side: side, now: t.now, conn: conn, raw: raw, mask: side == plan.Server, buffers: t.buffers, unconsumed: buffered,
		writeTimeout: t.options.WriteTimeout, closeTimeout: t.options.CloseTimeout,
	}
	e.checker.Rules = rules
	now := int64(t.now())
	e.lastRead.Store(now)
	e.lastMessage.Store(now)
	e.reading.try = e.tryRead
	return e, nil
}

// tryRead takes a buffer only once there is something to read, or before the first look.
func (e *end) tryRead(fd uintptr) bool {
	r := &e.reading
	if r.buf == nil {
		r.buf = e.buffers.tryGet(r.writable)
	}
	if r.buf == nil {
		r.exhausted = true
		return true
	}
	into := r.buf[frame.MaxUnconsumed:]
	if r.writable {
		into = into[:writableReadBytes]
	}
	for {
		if r.n, r.err = syscall.Read(int(fd), into); r.err != syscall.EINTR {
			break
		}
	}
	if r.err == syscall.EAGAIN {
		e.buffers.put(r.buf)
		r.buf = nil
		return false
	}
	return true
}

// read returns a buffer with what the end sent, behind room for what was held. It holds no buffer while it waits:
// a quiet channel costs its goroutines and its sockets. room is called where buffers are short, and waits until the
// bytes can go on at once; nil where they need not.
func (e *end) read(waitWritable func()) (*buffer, int, error) {
	r := &e.reading
	r.writable, r.buf = waitWritable == nil, nil
	for {
		r.exhausted = false
		err := e.raw.Read(r.try)
		switch {
		case err != nil:
			if r.buf != nil {
				e.buffers.put(r.buf)
			}
			return nil, 0, err
		case r.exhausted && !r.writable:
			waitWritable()
			r.writable = true
			continue
		case r.exhausted:
			// Something has come, and all buffers are in use. This end waits, and with it who sends there.
			e.whileBlocked(func() { r.buf = e.buffers.get() })
			continue
		case r.err == nil && r.n > 0:
			return r.buf, r.n, nil
		}
		e.buffers.put(r.buf)
		if r.err != nil {
			return nil, 0, os.NewSyscallError("read", r.err)
		}
		return nil, 0, io.EOF
	}
}

// peek says whether a read would not wait. It must not use much of the stack.
func (e *end) peek(fd uintptr) bool {
	_, _, errno := syscall.Syscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&e.peekByte)), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return errno != syscall.EAGAIN
}

// progress notes whether a frame is on its way, and how far it is.
func (e *end) trackFrame(now time.Duration, partial bool) {
	if e.checker.AtFrameBoundary() && !partial {
		e.frameStart.Store(0)
		return
	}
	e.frameBytes.Store(e.checker.FrameBytes())
	if e.frameStart.Load() == 0 {
		e.frameStart.Store(int64(now))
	}
}

// waitsFor calls f, in which the end's bytes wait for the other end. That is the other end's time, not its own.
func (e *end) whileBlocked(f func()) {
	started := e.now()
	e.blocked.Store(true)
	f()
	e.blocked.Store(false)
	if frameStart := e.frameStart.Load(); frameStart > 0 {
		e.frameStart.Store(frameStart + int64(e.now()-started))
	}
}

// rulesOf are the rules of both directions.
func frameRules(a handshake.Agreement, o *Options) [plan.NumSides]frame.Rules {
	both := frame.Rules{ReservedBits: a.ReservedBits, MaxMessage: o.MaxMessage, CheckUTF8: a.UTF8 || o.CheckUTF8}
	client := both
	client.Masked = true
	return [plan.NumSides]frame.Rules{plan.Client: client, plan.Server: both}
}
