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

// maxPending limits the bytes of the proxy's own frames that wait for one end: some pings and a Close.
const maxPending = 4 * (frame.MaxHeader + frame.MaxControlPayload)

// write writes data to the end. midFrame and midMessage say whether the data ends within a frame or a message. If it ends
// a frame, the pending frames are written, too. taken is false if the data was not written because the end was sent a
// Close or is disconnected.
func (e *end) write(b []byte, midFrame, midMessage bool) (taken bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.midFrame { // otherwise the frame has to be finished first
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

// blockedWrite is the duration from which a write is taken to have waited for the end. A write that the kernel buffers
// at once does not show that the end is alive.
const blockedWrite = 10 * time.Millisecond

// stallSteps is the number of steps of writeTimeout. After each one the proxy checks whether the end has accepted data.
const stallSteps = 4

// writeAll writes all of b. It is called with e.mu held, and releases it while it writes. It keeps waiting for an end
// that is slow but makes progress. Data that the end accepts after such a wait shows that it is alive.
func (e *end) writeAll(b []byte) error {
	e.writing = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.writing = false
	}()
	step := e.writeTimeout / stallSteps
	for stalls := 0; ; {
		if now := time.Now(); e.writeDeadline.Sub(now) < step/2 { // setting a deadline costs as much as a small write
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

// waitWritable waits until the end is writable, or is closed, or accepts no more data. The caller holds no buffer
// meanwhile. Like writeAll, it keeps waiting for an end that is slow but makes progress.
func (e *end) waitWritable() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.writeTimeout / stallSteps
	queued := 0 // bytes in the socket's send queue at the last check
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

// flushPending writes the proxy's own pending frames. It is called with e.mu held, and releases it while it writes.
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

// ping inserts a ping, unless too many frames are pending.
func (e *end) ping(payload []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closing {
		e.writeControl(frame.AppendControl(nil, frame.Ping, payload, e.maskKey()))
	}
}

// maskKey returns a random masking key, or nil for frames to a client.
func (e *end) maskKey() *[4]byte {
	if !e.mask {
		return nil
	}
	mask := new([4]byte)
	rand.Read(mask[:])
	return mask
}

// writeControl adds one of the proxy's own frames to the pending ones, and writes as much of them as the socket accepts
// at once if no other frame is in progress. The rest is written with the next data. e.mu must be held.
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

// newPingPayload returns a payload that an end is unlikely to send by chance.
func newPingPayload(id plan.ID) (p [8]byte) {
	rand.Read(p[:4])
	binary.BigEndian.PutUint32(p[4:], uint32(id))
	return p
}
