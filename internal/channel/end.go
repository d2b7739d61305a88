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
	// How long it may accept no data, and how long it may leave a Close unanswered.
	writeTimeout, closeTimeout time.Duration

	// State of what it sends. Except for the atomics, only the goroutine that reads it uses these fields.
	checker     frame.Checker
	unconsumed  []byte       // read, but not enough to be parsed yet
	lastRead    atomic.Int64 // see plan.Activity
	lastMessage atomic.Int64 // see plan.Activity
	frameStart  atomic.Int64 // when its unfinished frame began; 0 for none
	frameBytes  atomic.Int64 // payload bytes of that frame that have been forwarded
	blocked     atomic.Bool  // its data waits for the other end
	parked      atomic.Bool  // a goroutine with a minimal stack waits for its data
	discarded   int          // bytes that were read but could not be forwarded
	forwarded   atomic.Int64 // bytes that were forwarded

	// State of what is sent to it.
	mu            sync.Mutex
	writing       bool        // a write is running without mu
	writeDeadline time.Time   // the write deadline of the socket
	midFrame      bool        // the last byte written is within a frame
	midMessage    bool        // a message to it has begun but not ended
	pending       []byte      // the proxy's own frames that are not written yet; the first may be written in part
	closing       bool        // a Close has been written or is in pending, or the end is disconnected: no data may follow
	disconnected  bool        // its socket is closed
	closedByProxy bool        // that Close was sent by the proxy itself
	parkRequested bool        // its read is interrupted so that it can be parked
	polling       bool        // waitWritable is waiting without mu, and writing is set; a control frame interrupts it
	deferredClose *closeFrame // to be sent after the current message

	// State of the current read, kept here so that reads do not allocate.
	peekByte byte
	reading  struct {
		try       func(fd uintptr) bool
		writable  bool // the other end is writable, or its state does not matter
		buf       *buffer
		n         int
		err       error
		exhausted bool // no buffer was available
	}
}

var (
	errWriteStalled      = errors.New("write stalled: the end accepts no data")
	errTooMuchAfterClose = errors.New("too much data that cannot be forwarded")
	errParked            = errors.New("the end is parked")
	errCloseReceived     = errors.New("the end has sent a Close")
)

// newEnd returns the end of a channel on conn. buffered is data of it that has been read before.
func newEnd(side plan.Side, conn *net.TCPConn, buffered []byte, rules frame.Rules, t *Table) (*end, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	// The proxy sizes the buffers of its sockets for requests. With many sockets they are small, and smaller than a
	// segment on the loopback interface. The kernel then waits for its own timers within each long message.
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

// tryRead reads without blocking, and reports whether the read is done. raw.Read calls it at once, and again whenever the
// socket is readable. It holds no buffer in between.
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

// read returns a buffer with data of the end, and its length. The data begins at MaxUnconsumed, to leave space for
// unconsumed bytes before it. While read waits for data it holds no buffer, so an idle channel costs only its goroutines
// and sockets. When buffers are scarce, read calls waitWritable, which waits until data can be forwarded at once. waitWritable
// is nil if the data is not forwarded.
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
			// There is data, but all buffers are in use. This end waits, and so does its sender.
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

// peek reports whether a read would return at once. It must use little stack (see park).
func (e *end) peek(fd uintptr) bool {
	_, _, errno := syscall.Syscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&e.peekByte)), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return errno != syscall.EAGAIN
}

// trackFrame records whether a frame is unfinished, and how much of it has been forwarded.
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

// whileBlocked calls f, which waits for the other end or for a buffer. That time does not count as the time of the end's
// own frame.
func (e *end) whileBlocked(f func()) {
	started := e.now()
	e.blocked.Store(true)
	f()
	e.blocked.Store(false)
	if frameStart := e.frameStart.Load(); frameStart > 0 {
		e.frameStart.Store(frameStart + int64(e.now()-started))
	}
}

// frameRules returns the rules for the frames of both ends.
func frameRules(a handshake.Agreement, o *Options) [plan.NumSides]frame.Rules {
	both := frame.Rules{ReservedBits: a.ReservedBits, MaxMessage: o.MaxMessage, CheckUTF8: a.UTF8 || o.CheckUTF8}
	client := both
	client.Masked = true
	return [plan.NumSides]frame.Rules{plan.Client: client, plan.Server: both}
}
