package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// timedConn is a TCP connection that knows when the kernel received what is read from it. A stand-in that runs late, as on a machine that
// is busy, reads late; what it reads came no later for that.
type timedConn struct {
	*net.TCPConn
	raw      syscall.RawConn
	received time.Time // when the last bytes that were read had come; used by the one that reads
	read     int64     // bytes so far; the same
	resent   uint32    // how often the kernel had sent something again at the last write; used by the one that writes
}

// newTimedConn has the kernel note when bytes come. Where it does not, they count as received when they are read.
func newTimedConn(c *net.TCPConn) (*timedConn, error) {
	if _, err := stamping(); err != nil {
		return nil, err
	}
	return askForStamps(c)
}

// dialTimed opens a connection whose reads are dated.
func dialTimed(ctx context.Context, dialer *net.Dialer, address string) (*timedConn, error) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	timed, err := newTimedConn(conn.(*net.TCPConn))
	if err != nil {
		conn.Close()
		return nil, err
	}
	return timed, nil
}

const (
	// stampProbe is how long a probe stands in its socket: a date that is no older was made as it was read.
	stampProbe = 5 * time.Millisecond
	// stampsWithin is how long the kernel may take to begin to stamp.
	stampsWithin = 5 * time.Second
)

// errNoStamps is what the kernel's dates are refused with.
var errNoStamps = errors.New("stand-in: the kernel does not date what it receives")

// probe is a connection that stays open, so that the kernel goes on to stamp.
type probe struct {
	sender net.Conn
	conn   *timedConn
}

// stamping returns once the kernel stamps what it receives, for as long as this process runs. It begins to some time after the first socket of all
// has asked for it, and stops behind the last one; until then it dates bytes by their reading.
var stamping = sync.OnceValues(func() (p probe, err error) {
	l, err := listen("")
	if err != nil {
		return p, err
	}
	defer l.Close()
	if p.sender, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return p, err
	}
	accepted, err := l.Accept()
	if err != nil {
		return p, err
	}
	if p.conn, err = askForStamps(accepted.(*net.TCPConn)); err != nil {
		return p, err
	}
	return p, p.conn.awaitStamps(p.sender)
})

// awaitStamps waits until what is sent is dated before it is read.
func (c *timedConn) awaitStamps(sender net.Conn) error {
	for end := time.Now().Add(stampsWithin); time.Now().Before(end); {
		if _, err := sender.Write([]byte{0}); err != nil {
			return err
		}
		time.Sleep(stampProbe)
		read := time.Now()
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return err
		}
		if c.received.Before(read) {
			return nil
		}
	}
	return errNoStamps
}

// askForStamps asks the kernel to date what comes on a connection.
func askForStamps(c *net.TCPConn) (*timedConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var option error
	err = raw.Control(func(fd uintptr) {
		option = os.NewSyscallError("setsockopt", unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1))
	})
	if err := errors.Join(err, option); err != nil {
		return nil, err
	}
	return &timedConn{TCPConn: c, raw: raw}, nil
}

// Read reads, and notes when the last of the bytes had come.
func (c *timedConn) Read(b []byte) (n int, err error) {
	var control [64]byte
	var controls int
	waited := c.raw.Read(func(fd uintptr) bool {
		for {
			n, controls, _, _, err = unix.Recvmsg(int(fd), b, control[:], 0)
			if !errors.Is(err, unix.EINTR) {
				return !errors.Is(err, unix.EAGAIN)
			}
		}
	})
	switch {
	case waited != nil:
		return 0, waited
	case err != nil:
		return 0, os.NewSyscallError("recvmsg", err)
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	c.read += int64(n)
	now := time.Now()
	c.received = receivedAt(control[:controls], now)
	if info := c.info(); info != nil && info.State != unix.BPF_TCP_ESTABLISHED {
		// The stamp may be that of the end, which the kernel puts together with the bytes before it.
		c.received = now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
	}
	return n, nil
}

// info is what the kernel knows of the connection; nil where it does not say.
func (c *timedConn) info() (info *unix.TCPInfo) {
	c.raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info
}

// sendTick is how exactly the kernel knows when it sent, at the worst.
const sendTick = 10 * time.Millisecond

// sentAt is when the last write was made, which began no sooner than begun and is over: a caller that does not run for a while before its write has asked
// no sooner for that. Where the kernel does not say, or has sent something again, it is begun.
func (c *timedConn) sentAt(begun time.Time) time.Time {
	now := time.Now()
	info := c.info()
	if info == nil {
		return begun
	}
	again := info.Total_retrans != c.resent
	c.resent = info.Total_retrans
	if again {
		return begun
	}
	sent := now.Add(-time.Duration(info.Last_data_sent)*time.Millisecond - sendTick)
	if sent.Before(begun) {
		return begun
	}
	return sent
}

// unread says whether bytes have come that are not read yet.
func (c *timedConn) unread() (some bool) {
	c.raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		some = err == nil && n > 0
	})
	return some
}

// reset says whether the kernel has taken a reset in, also where an end came before it, which reads tell alone.
func (c *timedConn) reset() bool {
	info := c.info()
	return info != nil && info.State == unix.BPF_TCP_CLOSE
}

// receivedAt is the moment that the kernel's control messages name, on now's clock; now where they name none before it.
func receivedAt(control []byte, now time.Time) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return now
	}
	for _, m := range messages {
		if m.Header.Level != unix.SOL_SOCKET || m.Header.Type != unix.SCM_TIMESTAMPNS || len(m.Data) < int(unsafe.Sizeof(unix.Timespec{})) {
			continue
		}
		stamp := (*unix.Timespec)(unsafe.Pointer(&m.Data[0]))
		if age := now.UnixNano() - stamp.Nano(); age > 0 {
			return now.Add(-time.Duration(age))
		}
	}
	return now
}
