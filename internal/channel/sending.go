package channel

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/plan"
)

// mostPending bounds the proxy's own frames that wait for one end: some pings and a Close.
const maxPending = 4 * (frame.MaxHeader + frame.MaxControlPayload)

// write writes data to the end, and what waits behind it once that ends a frame. Data for an end that has been sent a
// Close, or is gone, is not taken.
func (e *end) write(b []byte, midFrame, midMessage bool) (taken bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.midFrame { // else the frame has to come to its end, whatever waits
		if err := e.flushPending(); err != nil || e.closing {
			return false, err
		}
	}
	if e.disconnected {
		return false, nil
	}
	err = e.writeAll(b)
	e.midFrame, e.midMessage = midFrame, midMessage
	if err != nil {
		return false, err
	}
	if e.deferredClose != nil && !midMessage {
		e.sendCloseLocked(*e.deferredClose, true)
	}
	if midFrame {
		return true, nil
	}
	return true, e.flushPending()
}

// waited tells a write that had to wait for the end from one that the kernel took at once, which says nothing.
const blockedWrite = 10 * time.Millisecond

// pushSteps are the looks at whether an end takes anything within its patience.
const stallSteps = 4

// push writes all of b, with e.mu given up meanwhile. An end that is slow and moves is waited for, and what it takes
// after such a wait shows that it lives.
func (e *end) writeAll(b []byte) error {
	e.writing = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.writing = false
	}()
	step := e.writeTimeout / stallSteps
	for stalls := 0; ; {
		if now := time.Now(); e.writeDeadline.Sub(now) < step/2 { // each setting costs as much as a small write
			e.writeDeadline = now.Add(step)
			e.conn.SetWriteDeadline(e.writeDeadline)
		}
		started := time.Now()
		n, err := e.conn.Write(b)
		b = b[n:]
		switch {
		case err == nil:
			if stalls > 0 || time.Since(started) >= blockedWrite {
				e.markAlive()
			}
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case n > 0:
			e.markAlive()
			stalls = 1
		default:
			if stalls++; stalls > stallSteps {
				return errWriteStalled
			}
		}
	}
}

// room waits until the end takes some bytes at once, or takes none any more, and holds no buffer meanwhile. One that is
// slow and moves is waited for, as in push.
func (e *end) waitWritable() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.writeTimeout / stallSteps
	queued := 0 // bytes that the end had not taken at the last look
	for stalls := 0; !e.closing && !e.disconnected; {
		lastQueued := queued
		e.writing, e.polling = true, true
		started := time.Now()
		e.writeDeadline = started.Add(step)
		e.conn.SetWriteDeadline(e.writeDeadline)
		e.mu.Unlock()
		err := e.raw.Write(func(fd uintptr) bool {
			queued, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
			n, _ := unix.Poll(fds, 0)
			return n > 0
		})
		e.mu.Lock()
		interrupted := !e.polling
		e.writing, e.polling = false, false
		if !e.midFrame {
			if err := e.flushPending(); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
			if stalls > 0 || time.Since(started) >= blockedWrite {
				e.markAlive()
			}
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case interrupted:
		case queued < lastQueued:
			e.markAlive()
			stalls = 1
		default:
			if stalls++; stalls > stallSteps {
				return errWriteStalled
			}
		}
	}
	return nil
}

// flush writes the proxy's own frames that wait; e.mu is held, and given up while it writes.
func (e *end) flushPending() error {
	for len(e.pending) > 0 && !e.disconnected {
		b := e.pending
		e.pending = nil
		if err := e.writeAll(b); err != nil {
			return err
		}
	}
	return nil
}

// ask puts in a ping, unless too much waits already.
func (e *end) ping(payload []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closing {
		e.writeControl(frame.AppendControl(nil, frame.Ping, payload, e.maskKey()))
	}
}

// newMask is nil for frames to a client.
func (e *end) maskKey() *[4]byte {
	if !e.mask {
		return nil
	}
	mask := new([4]byte)
	rand.Read(mask[:])
	return mask
}

// put writes a frame of the proxy's own once no other is in its way, as far as the socket takes it at once; e.mu is
// held. The rest goes with what is written next.
func (e *end) writeControl(b []byte) {
	if len(e.pending)+len(b) > maxPending {
		return
	}
	e.pending = append(e.pending, b...)
	if e.polling && !e.midFrame {
		e.polling = false
		e.writeDeadline = time.Unix(1, 0)
		e.conn.SetWriteDeadline(e.writeDeadline)
	}
	if e.writing || e.midFrame {
		return
	}
	e.writeDeadline = time.Time{}
	e.conn.SetWriteDeadline(e.writeDeadline)
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

// newPing is a payload that no end sends by chance.
func newPingPayload(id plan.ID) (p [8]byte) {
	rand.Read(p[:4])
	binary.BigEndian.PutUint32(p[4:], uint32(id))
	return p
}
