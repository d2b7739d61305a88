package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// socketPair returns a caller's connection, the proxy's end of it, and a second descriptor of that end, through
// which the socket can be inspected after the end is closed.
func socketPair(t *testing.T) (caller, accepted net.Conn, watch *os.File) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if caller, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	if accepted, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	if watch, err = accepted.(*net.TCPConn).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { watch.Close() })
	return caller, accepted, watch
}

// unreadBytes returns the number of unread bytes in a socket.
func unreadBytes(t *testing.T, socket *os.File) (unread int) {
	t.Helper()
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	control := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	if err := errors.Join(control, err); err != nil {
		t.Fatal(err)
	}
	return unread
}

// TestConnectionClosedWhileIdleIsNotRead: a request arrives at the moment at which its connection is closed for
// being idle. The caller sends it again only if it was not read, so it must remain unread in the socket, whichever
// of the two comes first.
func TestConnectionClosedWhileIdleIsNotRead(t *testing.T) {
	const sent = "GET / HTTP/1.1\r\n\r\n"
	for _, requests := range []int{0, 1, 2} { // silent, once and idle
		caller, accepted, watch := socketPair(t)
		set := NewSet(4, 8, time.Hour)
		conn := set.admit(accepted)
		for range requests {
			request(set, conn)
		}
		read := make(chan error, 1)
		go func() {
			n, err := conn.Read(make([]byte, 512))
			if n > 0 {
				err = nil
			}
			read <- err
		}()
		time.Sleep(10 * time.Millisecond) // the reader is waiting for bytes by now
		set.mu.Lock()                     // as while a new connection is admitted
		io.WriteString(caller, sent)
		for start := time.Now(); unreadBytes(t, watch) < len(sent) && time.Since(start) < 100*time.Millisecond; {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond) // a reader that needs no lock has read them by now
		set.evict(conn)
		set.unlock()
		if err := <-read; !errors.Is(err, net.ErrClosed) {
			t.Errorf("%d requests: read from the closed connection returned %v, want net.ErrClosed", requests, err)
		}
		if n := unreadBytes(t, watch); n != len(sent) {
			t.Errorf("%d requests: %d of %d bytes are unread", requests, n, len(sent))
		}
	}
}

// TestReadErrorsMatchNetPackage: net/http uses the error to decide whether a peer that has gone gets an answer, and
// whether it interrupted the read itself.
func TestReadErrorsMatchNetPackage(t *testing.T) {
	for name, c := range map[string]struct {
		cause func(caller, accepted net.Conn)
		want  error
	}{
		"end":      {func(caller, _ net.Conn) { caller.Close() }, io.EOF},
		"reset":    {func(caller, _ net.Conn) { caller.(*net.TCPConn).SetLinger(0); caller.Close() }, syscall.ECONNRESET},
		"deadline": {func(_, accepted net.Conn) { accepted.SetReadDeadline(time.Unix(1, 0)) }, os.ErrDeadlineExceeded},
		"closed":   {func(_, accepted net.Conn) { accepted.Close() }, net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			caller, accepted, _ := socketPair(t)
			set := NewSet(4, 8, time.Hour)
			conn := set.admit(accepted)
			time.AfterFunc(10*time.Millisecond, func() { c.cause(caller, accepted) })
			n, err := conn.Read(make([]byte, 512))
			if n != 0 || !errors.Is(err, c.want) {
				t.Fatalf("%d bytes, %v, want %v", n, err, c.want)
			}
			var op *net.OpError
			if err != io.EOF && (!errors.As(err, &op) || op.Op != "read") {
				t.Errorf("%v is not a read error", err)
			}
			if timeout, ok := err.(net.Error); c.want == os.ErrDeadlineExceeded && (!ok || !timeout.Timeout()) {
				t.Errorf("%v is not a timeout error", err)
			}
			set.Track(conn, http.StateClosed)
		})
	}
}
