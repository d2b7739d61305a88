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
const mostPending = 4 * (frame.MaxHeader + frame.MaxControlPayload)

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

// newPing is a payload that no end sends by chance.
func newPing(id plan.ID) (p [8]byte) {
	rand.Read(p[:4])
	binary.BigEndian.PutUint32(p[4:], uint32(id))
	return p
}
