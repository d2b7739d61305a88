package callers

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Read reads for net/http, and follows where one request ends and the next begins.
func (k *Conn) Read(b []byte) (int, error) {
	n, err := k.read(b)
	k.framing.Feed(b[:n])
	return n, err
}

// aheadMost is how much of what a caller sends behind an open request is kept for later.
const maxReadAhead = 16 << 10

// read hands on what has been read ahead, and else reads. While a request is open, net/http reads a single byte, and by that learns
// that a caller has gone; a caller that sends the next request first, and goes then, would be served on.
func (k *Conn) read(b []byte) (int, error) {
	if len(k.buffered) > 0 {
		n := copy(b, k.buffered)
		k.buffered = k.buffered[n:]
		k.set.mu.Lock()
		defer k.set.mu.Unlock()
		return k.recordRead(n, nil)
	}
	if k.overflowed {
		return 0, io.EOF
	}
	n, err := k.readSocket(b)
	if n != 1 || len(b) != 1 || err != nil || !k.serving() {
		return n, err
	}
	k.buffered = append(k.buffered, b[0])
	if err := k.readAhead(); err != nil {
		return 0, err
	}
	n = copy(b, k.buffered)
	k.buffered = k.buffered[n:]
	return n, nil
}

// readSocket reads from the socket. A connection with a request open is closed by nobody else meanwhile, so it needs no lock.
func (k *Conn) readSocket(b []byte) (int, error) {
	if k.raw == nil || k.busy() {
		n, err := k.Conn.Read(b)
		if n == 0 {
			return 0, err
		}
		k.set.mu.Lock()
		defer k.set.mu.Unlock()
		return k.recordRead(n, err)
	}
	return k.readIdle(b)
}

// readAtRest reads from the socket of a connection on which no request is open. The read and the note of it are one step under the
// set's lock: what comes as the connection is closed for room stays unread, and the reset tells its caller so. Were the read ahead
// of the lock, a connection could be closed between the two, with a request read that nobody answers and nobody sends again.
func (k *Conn) readIdle(b []byte) (n int, err error) {
	waitErr := k.raw.Read(func(fd uintptr) bool {
		k.set.mu.Lock()
		defer k.set.mu.Unlock()
		if k.closed {
			err = net.ErrClosed
			return true
		}
		n, err = readNonblocking(int(fd), b)
		if errors.Is(err, syscall.EAGAIN) {
			return false // RawConn waits for bytes, and then calls again
		}
		n, err = k.recordRead(n, err)
		return true
	})
	var op *net.OpError
	switch {
	case errors.As(waitErr, &op):
		err = op.Err // of the wait: a deadline or a close
	case err == nil || err == io.EOF:
		return n, err
	}
	return n, &net.OpError{Op: "read", Net: k.LocalAddr().Network(), Source: k.LocalAddr(), Addr: k.RemoteAddr(), Err: err}
}

// readNow reads what stands in a socket that does not block.
func readNonblocking(fd int, b []byte) (int, error) {
	for {
		n, err := unix.Read(fd, b)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0 && len(b) > 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

// note takes in what a read brought; k.set.mu must be held. It notes the first byte that is read, not only the whole head that net/http
// tells of: a request that has been read must not be taken for one that the caller may send again.
func (k *Conn) recordRead(n int, err error) (int, error) {
	if n == 0 {
		return 0, err
	}
	if k.closed {
		return 0, net.ErrClosed
	}
	if k.kind != kindBusy {
		k.set.setKind(k, kindPartial, time.Now())
	}
	if k.parkPending { // too late: something has come
		k.parkPending = false
		k.Conn.SetReadDeadline(time.Now().Add(k.set.parking.pace.Timeout))
	}
	return n, err
}

// readAhead reads on behind a first byte, until the caller's end, which it returns, or until the request is answered and net/http breaks the read off. What
// comes beyond aheadMost is dropped, and with it the connection, once the open request is answered: no caller that waits for answers
// sends as much, and one that has gone cannot be told before all is read.
//
// It guards against work for callers that sent on and went. It would harm who sends over aheadMost of further requests at once and
// then does not send those again of which the connection's end leaves no answer.
func (k *Conn) readAhead() error {
	var chunk [4 << 10]byte
	for {
		n, err := k.Conn.Read(chunk[:])
		if free := maxReadAhead - len(k.buffered); n > free {
			n, k.overflowed = free, true
		}
		k.buffered = append(k.buffered, chunk[:n]...)
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		default:
			k.buffered = nil // nobody waits for what it asks
			return err
		}
	}
}
