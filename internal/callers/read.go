package callers

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brasswell/internal/memory"
)

// Read reads for net/http, and tracks where one request ends and the next begins. It answers a request whose head is over a
// limit, and does not pass on the rest of it.
func (k *Conn) Read(b []byte) (int, error) {
	if k.tooManyFields && !k.busy() {
		return 0, k.rejectHead(statusTooManyFields, errTooManyFields)
	}
	n, err := k.read(b)
	if n == 0 {
		return 0, err
	}
	accepted, head := k.framing.feed(b[:n])
	if !k.chargeHead(head) {
		return 0, k.rejectHead(statusNoMemory, k.set.memory.Exhausted(memory.Heads))
	}
	if accepted < n {
		k.tooManyFields = true
		return accepted, nil
	}
	return n, err
}

// maxReadAhead bounds the bytes that are buffered when a caller sends more while a request is open.
const maxReadAhead = 16 << 10

// read returns buffered bytes first, and otherwise reads from the socket. While a request is open, net/http reads a
// single byte to detect that the caller has gone. That read alone would not detect a caller that sends its next
// request and then disconnects, and its open request would still be served.
func (k *Conn) read(b []byte) (int, error) {
	if len(b) == 1 && k.busy() {
		return 0, k.watchCaller()
	}
	if len(k.buffered) > 0 {
		n := copy(b, k.buffered)
		k.buffered = k.buffered[n:]
		k.set.mu.Lock()
		defer k.set.mu.Unlock()
		if len(k.buffered) == 0 {
			k.releaseReadAhead()
		}
		return k.recordRead(n, nil)
	}
	if k.overflowed {
		return 0, io.EOF
	}
	return k.readSocket(b)
}

// readSocket reads from the socket. While a request is open, nothing else closes the connection, so that read needs
// no lock.
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

// readIdle reads from the socket of a connection that has no open request. The read and its recording are one step
// under the set's lock: bytes that arrive while the connection is evicted stay unread, and the reset tells the
// caller so. If the read came before the lock, a connection could be closed between the two, with a request that was
// read but is neither answered nor sent again.
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
			return false // RawConn waits for bytes and then calls this function again
		}
		n, err = k.recordRead(n, err)
		return true
	})
	var op *net.OpError
	switch {
	case errors.As(waitErr, &op):
		err = op.Err // an error of the wait: a deadline or a close
	case err == nil || err == io.EOF:
		return n, err
	}
	return n, &net.OpError{Op: "read", Net: k.LocalAddr().Network(), Source: k.LocalAddr(), Addr: k.RemoteAddr(), Err: err}
}

// readNonblocking reads the available bytes of a non-blocking socket.
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

// recordRead updates the connection's kind after a read; k.set.mu must be held. It does so at the first byte that is
// read, and not only at the whole head that net/http reports: a request that has been read in part must not be
// treated as one that the caller may send again.
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
	if k.parkPending { // too late to park: bytes have arrived
		k.parkPending = false
		k.Conn.SetReadDeadline(time.Now().Add(k.set.parking.policy.Timeout))
	}
	return n, err
}

// watchCaller reads and buffers what a caller sends while its request is open, until the caller closes the connection, or
// until the request is answered and net/http interrupts the read. It returns an error in either case. net/http gets none
// of the bytes yet: it watches no caller of which it has a byte that it cannot use, and would not detect that one leaves
// while a later request is open.
//
// Bytes beyond maxReadAhead are dropped, and the connection is closed once the requests before them are answered: no
// caller that waits for answers sends that much, and the end of a connection is only detected after everything before it
// has been read. Once the answer is being written, the bytes may belong to the caller's next request, so what does not fit
// is left in the socket.
//
// It prevents work for callers that sent more and then disconnected. It would harm a caller that sends over
// maxReadAhead of further requests at once and does not repeat those that are unanswered when the connection ends.
func (k *Conn) watchCaller() error {
	var first [1]byte // most callers send nothing; a larger buffer is only needed for those that do
	n, err := k.Conn.Read(first[:])
	k.buffer(first[:n])
	if k.evicted() {
		err = net.ErrClosed
	}
	if err == nil {
		err = k.readAhead()
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		k.dropReadAhead() // the answer would not reach anyone
	}
	return err
}

// readAheadChunk is how many bytes are read ahead at a time.
const readAheadChunk = 2 << 10

// readAhead reads and buffers until an error, which it returns.
func (k *Conn) readAhead() error {
	var chunk [readAheadChunk]byte
	for {
		if k.answering.Load() && !k.overflowed && !k.hasRoomAhead() {
			return k.awaitHangup()
		}
		n, err := k.Conn.Read(chunk[:])
		k.buffer(chunk[:n])
		if err != nil {
			return err
		}
	}
}

// hasRoomAhead reports whether more may be read ahead of a request that is being answered.
func (k *Conn) hasRoomAhead() bool {
	if len(k.buffered) >= maxReadAhead {
		return false
	}
	n := memory.ReadAheadBytes(readAheadChunk)
	granted := k.set.memory.Reserve(memory.ReadAhead, n)
	if granted {
		k.set.memory.Release(memory.ReadAhead, n)
	}
	return granted
}

// awaitHangup waits until the caller closes the connection, or until the read is interrupted. It reads nothing.
func (k *Conn) awaitHangup() error {
	if k.raw == nil {
		return os.ErrDeadlineExceeded
	}
	if err := k.raw.Read(hungUp); err != nil {
		return err
	}
	return io.EOF
}

// buffer appends to the buffered bytes, and drops what exceeds maxReadAhead or does not fit into the account, unless the open request
// is being answered.
func (k *Conn) buffer(b []byte) {
	if k.answering.Load() && !k.overflowed {
		k.chargeRead(len(b))
		k.buffered = append(k.buffered, b...)
		return
	}
	if free := maxReadAhead - len(k.buffered); len(b) > free || k.overflowed {
		b, k.overflowed = b[:max(min(free, len(b)), 0)], true
	}
	if !k.chargeReadAhead(len(b)) {
		k.overflowed = true
		return
	}
	k.buffered = append(k.buffered, b...)
}

// chargeRead charges bytes that have been read and must be kept.
func (k *Conn) chargeRead(bytes int) {
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	if _, open := k.set.open[k]; open {
		n := memory.ReadAheadBytes(bytes)
		k.set.memory.Charge(memory.ReadAhead, n)
		k.heldAhead += n
	}
}

// chargeReadAhead charges bytes that are about to be buffered. It reports false if the account has no room for them.
func (k *Conn) chargeReadAhead(bytes int) bool {
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	n := memory.ReadAheadBytes(bytes)
	if _, open := k.set.open[k]; !open || n == 0 {
		return true
	}
	if !k.set.memory.Reserve(memory.ReadAhead, n) {
		return false
	}
	k.heldAhead += n
	return true
}

// releaseReadAhead returns what is charged for the buffered bytes; k.set.mu must be held.
func (k *Conn) releaseReadAhead() {
	k.set.memory.Release(memory.ReadAhead, k.heldAhead)
	k.heldAhead = 0
}

// dropReadAhead drops the buffered bytes.
func (k *Conn) dropReadAhead() {
	k.buffered = nil
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	k.releaseReadAhead()
}
