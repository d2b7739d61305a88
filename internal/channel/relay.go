package channel

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/handshake"
	"brasswell/internal/channel/plan"
)

// relay is one open channel. Each direction has a goroutine that reads one end and writes to the other; frames that
// the proxy puts in itself are written by whoever finds the end's writing between two frames.
type relay struct {
	id    plan.ID
	table *Table
	node  string
	ends  [plan.Sides]*end
	ping  [8]byte // the payload by which the proxy's own pings are known

	faulty  atomic.Bool  // an end is at fault, and both have been told
	pumping atomic.Int32 // directions that are carried
}

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

// goodbye is a Close that the proxy sends of its own.
type goodbye struct {
	code frame.Code
	text string
}

// mostPending bounds the proxy's own frames that wait for one end: some pings and a Close.
const mostPending = 4 * (frame.MaxHead + frame.MaxControl)

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
	into := r.b[frame.MaxHeld:]
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

// pump carries what one end sends to the other until either is over.
func (r *relay) pump(from, to *end) {
	err := r.carry(from, to)
	if err == errRest {
		go r.rest(from, to)
		return
	}
	defer r.ended()
	var v *frame.Violation
	switch {
	case errors.Is(err, errClosed):
		// Nothing that follows means anything. The other direction goes on until the answer has come, or its
		// time is over.
		return
	case errors.As(err, &v):
		r.table.broke(r, from, v)
		code := goneCode(from.side)
		if from.side == plan.Server {
			code = frame.ServerError
		}
		r.finish(from, v.Code, v.Text, code, "the other end broke the protocol")
	default:
		r.finish(from, 0, "", goneCode(from.side), "the other end is gone")
	}
	r.drain(from)
}

// rest waits for an end that is quiet. A goroutine that has carried bytes has a stack of 4 KiB for good; this one is new,
// calls next to nothing, and keeps to the 2 KiB that it begins with.
func (r *relay) rest(from, to *end) {
	// What is wrong with the wait, a read will find too.
	_ = from.raw.Read(from.peek)
	from.resting.Store(false)
	go r.pump(from, to)
}

// peek says whether a read would not wait. It must not use much of the stack.
func (e *end) peek(fd uintptr) bool {
	_, _, errno := syscall.Syscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&e.peeked)), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return errno != syscall.EAGAIN
}

// goneCode is what the other end is told of one that left without a Close. Clients are to come again.
func goneCode(side plan.Side) frame.Code {
	if side == plan.Client {
		return frame.GoingAway
	}
	return frame.ServiceRestart
}

// carry returns errClosed once the end's Close has gone on, or what was wrong.
func (r *relay) carry(from, to *end) error {
	if len(from.held) > 0 { // what came behind the handshake
		b := append([]byte(nil), from.held...)
		from.held = nil
		if err := r.take(from, to, b); err != nil {
			return err
		}
	}
	var stalled error
	room := func() {
		from.waitsFor(func() { stalled = to.room() })
	}
	for {
		b, n, err := from.read(room)
		if stalled != nil {
			r.finish(to, 0, "", goneCode(to.side), "the other end takes nothing")
			stalled = nil
		}
		if err != nil {
			switch rest, goOn := from.afterBreak(err); {
			case rest:
				return errRest
			case goOn:
				continue
			}
			return err
		}
		from.heard.Store(int64(r.table.now()))
		start := frame.MaxHeld - len(from.held)
		copy(b[start:], from.held)
		from.held = nil
		err = r.take(from, to, b[start:frame.MaxHeld+n])
		from.get.put(b)
		if err != nil {
			return err
		}
	}
}

// take carries on some bytes that have been read.
func (r *relay) take(from, to *end, b []byte) error {
	for {
		result, v := from.checker.Scan(b, to.stopAt())
		if result.Pass > 0 {
			from.spoke.Store(from.heard.Load())
			if err := r.pass(from, to, b[:result.Pass]); err != nil {
				return err
			}
			b = b[result.Pass:]
		}
		if v != nil {
			return v
		}
		switch result.Stop {
		case frame.More:
			if len(b) > 0 {
				from.held = append([]byte(nil), b...)
			}
			from.progress(r.table.now(), len(b) > 0)
			return nil
		case frame.Boundary: // pass has told the other end to go
		case frame.Control:
			if err := r.control(from, to, b[:result.Size], result); err != nil {
				return err
			}
			b = b[result.Size:]
		case frame.Ended:
			return errClosed
		}
	}
}

// progress notes whether a frame is on its way, and how far it is.
func (e *end) progress(now time.Duration, held bool) {
	if e.checker.Between() && !held {
		e.since.Store(0)
		return
	}
	e.moved.Store(e.checker.Moved())
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

// pass writes sound bytes of one end to the other.
func (r *relay) pass(from, to *end, b []byte) error {
	var taken bool
	var err error
	from.waitsFor(func() { taken, err = to.write(b, !from.checker.Between(), from.checker.Open()) })
	if err != nil {
		// It is the other end that is gone: this one is told, and read on until it answers.
		r.finish(to, 0, "", goneCode(to.side), "the other end takes nothing")
	}
	if taken && err == nil {
		from.bytes.Add(int64(len(b)))
		return nil
	}
	if from.dropped += len(b); from.dropped > mostDropped {
		return errTooMuch
	}
	return nil
}

// control handles a whole control frame; errClosed after a Close.
func (r *relay) control(from, to *end, raw []byte, f frame.Result) error {
	switch {
	case f.Opcode == frame.Pong && string(f.Payload) == string(r.ping[:]):
		return nil // the answer to the proxy's own
	case f.Opcode != frame.Close:
		return r.pass(from, to, raw)
	}
	from.mu.Lock()
	told := from.told
	from.mu.Unlock()
	switch {
	case told: // its answer says nothing to the other end, which hears of it now
		to.close(goodbye{goneCode(from.side), "moved"}, false)
	case len(f.Payload) > 2:
		to.close(goodbye{f.Code, string(f.Payload[2:])}, false)
	default:
		to.close(goodbye{f.Code, ""}, false)
	}
	return errClosed
}

// write writes data to the end, and what waits behind it once that ends a frame. Data for an end that has been sent a
// Close, or is gone, is not taken.
func (e *end) write(b []byte, within, open bool) (taken bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.within { // else the frame has to come to its end, whatever waits
		if err := e.flush(); err != nil || e.closing {
			return false, err
		}
	}
	if e.gone {
		return false, nil
	}
	err = e.push(b)
	e.within, e.open = within, open
	if err != nil {
		return false, err
	}
	if e.wanted != nil && !open {
		e.closeLocked(*e.wanted, true)
	}
	if within {
		return true, nil
	}
	return true, e.flush()
}

// waited tells a write that had to wait for the end from one that the kernel took at once, which says nothing.
const waited = 10 * time.Millisecond

// pushSteps are the looks at whether an end takes anything within its patience.
const pushSteps = 4

// push writes all of b, with e.mu given up meanwhile. An end that is slow and moves is waited for, and what it takes
// after such a wait shows that it lives.
func (e *end) push(b []byte) error {
	e.writing = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.writing = false
	}()
	step := e.patience / pushSteps
	for stalled := 0; ; {
		if now := time.Now(); e.until.Sub(now) < step/2 { // each setting costs as much as a small write
			e.until = now.Add(step)
			e.conn.SetWriteDeadline(e.until)
		}
		begun := time.Now()
		n, err := e.conn.Write(b)
		b = b[n:]
		switch {
		case err == nil:
			if stalled > 0 || time.Since(begun) >= waited {
				e.lives()
			}
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case n > 0:
			e.lives()
			stalled = 1
		default:
			if stalled++; stalled > pushSteps {
				return errStalled
			}
		}
	}
}

// room waits until the end takes some bytes at once, or takes none any more, and holds no buffer meanwhile. One that is
// slow and moves is waited for, as in push.
func (e *end) room() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.patience / pushSteps
	queued := 0 // bytes that the end had not taken at the last look
	for stalled := 0; !e.closing && !e.gone; {
		before := queued
		e.writing, e.looking = true, true
		begun := time.Now()
		e.until = begun.Add(step)
		e.conn.SetWriteDeadline(e.until)
		e.mu.Unlock()
		err := e.raw.Write(func(fd uintptr) bool {
			queued, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
			n, _ := unix.Poll(fds, 0)
			return n > 0
		})
		e.mu.Lock()
		brokenOff := !e.looking
		e.writing, e.looking = false, false
		if !e.within {
			if err := e.flush(); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
			if stalled > 0 || time.Since(begun) >= waited {
				e.lives()
			}
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case brokenOff:
		case queued < before:
			e.lives()
			stalled = 1
		default:
			if stalled++; stalled > pushSteps {
				return errStalled
			}
		}
	}
	return nil
}

// lives notes that the end has taken what it had left standing.
func (e *end) lives() { e.heard.Store(int64(e.now())) }

// flush writes the proxy's own frames that wait; e.mu is held, and given up while it writes.
func (e *end) flush() error {
	for len(e.pending) > 0 && !e.gone {
		b := e.pending
		e.pending = nil
		if err := e.push(b); err != nil {
			return err
		}
	}
	return nil
}

// ask puts in a ping, unless too much waits already.
func (e *end) ask(payload []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closing {
		e.put(frame.AppendControl(nil, frame.Ping, payload, e.newMask()))
	}
}

// newMask is nil for frames to a client.
func (e *end) newMask() *[4]byte {
	if !e.mask {
		return nil
	}
	mask := new([4]byte)
	rand.Read(mask[:])
	return mask
}

// put writes a frame of the proxy's own once no other is in its way, as far as the socket takes it at once; e.mu is
// held. The rest goes with what is written next.
func (e *end) put(b []byte) {
	if len(e.pending)+len(b) > mostPending {
		return
	}
	e.pending = append(e.pending, b...)
	if e.looking && !e.within {
		e.looking = false
		e.until = time.Unix(1, 0)
		e.conn.SetWriteDeadline(e.until)
	}
	if e.writing || e.within {
		return
	}
	e.until = time.Time{}
	e.conn.SetWriteDeadline(e.until)
	n := 0
	err := e.raw.Write(func(fd uintptr) bool {
		n, _ = syscall.Write(int(fd), e.pending)
		return true
	})
	if err == nil && n > 0 {
		if e.pending = e.pending[n:]; len(e.pending) == 0 {
			e.pending = nil
		}
	}
}

// close writes a Close once no frame is in its way, unless one has been written; the answer has to come in time. It
// reports false where the end stands within a frame, so that nothing can be put in.
func (e *end) close(g goodbye, told bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeLocked(g, told)
	return !e.within || e.writing
}

func (e *end) closeLocked(g goodbye, told bool) {
	if e.closing {
		return
	}
	e.closing, e.told, e.wanted = true, told, nil
	e.conn.SetReadDeadline(time.Now().Add(e.closeWithin))
	if g.code == frame.NoCode {
		e.put(frame.AppendControl(nil, frame.Close, nil, e.newMask()))
	} else {
		e.put(frame.AppendClose(nil, g.code, g.text, e.newMask()))
	}
}

// closeAfterMessage has a Close written once the message at hand is over, or at once if none is.
func (e *end) closeAfterMessage(g goodbye) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.open && !e.writing {
		e.closeLocked(g, true)
	} else if !e.closing {
		e.wanted = &g
	}
}

// breakOff makes the read that waits for the end return, so that a cheaper wait takes its place.
func (e *end) breakOff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closing && !e.toRest && !e.resting.Load() {
		e.toRest = true
		e.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// afterBreak takes in what a read returned with. It says whether the end may rest now, or else be read on: it was to
// rest, and a Close has been sent to it meanwhile, whose answer has a time of its own.
func (e *end) afterBreak(err error) (rest, goOn bool) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.toRest {
		return false, false
	}
	e.toRest = false
	if e.closing {
		return false, true
	}
	e.conn.SetReadDeadline(time.Time{})
	e.resting.Store(true)
	return true, false
}

// stopAt is where a Close that waits could be put in.
func (e *end) stopAt() frame.Until {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.closing && e.within:
		return frame.FrameEnd
	case e.wanted != nil:
		return frame.MessageEnd
	}
	return frame.Anywhere
}

// leave ends the socket of an end that is gone.
func (e *end) leave() {
	e.mu.Lock()
	e.closing, e.gone = true, true
	e.mu.Unlock()
	e.conn.Close()
}

// finish ends the channel for a fault of one end: bad is told badCode, or nothing for 0 since it is gone; the other
// end is told why. What stands within a frame cannot be told anything, and is closed.
func (r *relay) finish(bad *end, badCode frame.Code, badText string, otherCode frame.Code, otherText string) {
	if r.faulty.Swap(true) {
		return
	}
	other := r.ends[1-bad.side]
	if badCode != 0 && bad.close(goodbye{badCode, badText}, true) {
		bad.conn.CloseWrite()
	} else {
		bad.leave()
	}
	if !other.close(goodbye{otherCode, otherText}, true) {
		other.leave()
	}
}

// drain reads on until the end closes or its time is over: a close of the socket with unread bytes would become a
// reset, and take the Close with it.
func (r *relay) drain(from *end) {
	for from.dropped <= mostDropped {
		b, n, err := from.read(nil)
		if err != nil {
			return
		}
		from.dropped += n
		from.get.put(b)
	}
}

// mostDropped bounds what an end may still send once nobody takes it any more.
const mostDropped = 1 << 20

// start carries the channel, in a goroutine for each direction.
func (r *relay) start() {
	client, server := r.ends[plan.Client], r.ends[plan.Server]
	r.pumping.Store(2)
	go r.pump(client, server)
	go r.pump(server, client)
}

// ended closes all once neither direction is carried any more.
func (r *relay) ended() {
	if r.pumping.Add(-1) > 0 {
		return
	}
	for _, e := range r.ends {
		e.mu.Lock()
		if !e.within {
			e.flush() // the last Close may not have gone out at once
		}
		e.mu.Unlock()
		e.conn.Close()
	}
	r.table.closed(r)
}

// do carries one of the plan's actions out. It never waits for an end.
func (r *relay) do(a plan.Action) {
	client := r.ends[plan.Client]
	switch a.Kind {
	case plan.Ping:
		r.ends[a.Side].ask(r.ping[:])
	case plan.Rest:
		r.ends[a.Side].breakOff()
	case plan.Go:
		client.closeAfterMessage(goodbye{a.Code, a.Text})
	case plan.Now:
		if !client.close(goodbye{a.Code, a.Text}, true) {
			client.leave()
		}
	case plan.Cut:
		for _, e := range r.ends {
			e.leave()
		}
	case plan.Dead:
		r.finish(r.ends[a.Side], 0, "", goneCode(a.Side), a.Text)
	case plan.Slow:
		r.finish(r.ends[a.Side], frame.Policy, a.Text, goneCode(a.Side), "the other end does not get on")
	}
}

// rulesOf are the rules of both directions.
func rulesOf(a handshake.Agreement, o *Options) [plan.Sides]frame.Rules {
	both := frame.Rules{Reserved: a.Reserved, MaxMessage: o.MaxMessage, UTF8: a.UTF8 || o.CheckUTF8}
	client := both
	client.Masked = true
	return [plan.Sides]frame.Rules{plan.Client: client, plan.Server: both}
}

// newPing is a payload that no end sends by chance.
func newPing(id plan.ID) (p [8]byte) {
	rand.Read(p[:4])
	binary.BigEndian.PutUint32(p[4:], uint32(id))
	return p
}
