package callers

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// failingListener accepts nothing for a while, and then a connection each time.
type failingListener struct {
	net.Listener
	until time.Time
	err   error
	conns []net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if time.Now().Before(l.until) {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.err)}
	}
	near, far := net.Pipe()
	l.conns = append(l.conns, far)
	return near, nil
}

// TestAcceptFailsForAMoment: it is tried again soon, and the first request of who may have waited meanwhile has so much less time.
func TestAcceptRetriesTemporaryErrors(t *testing.T) {
	const outage = 300 * time.Millisecond
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ECONNABORTED} {
		set := NewSet(10, 10, time.Second)
		start := time.Now()
		failing := &failingListener{until: start.Add(outage), err: err}
		l := set.Listen(failing)
		first, acceptErr := l.Accept()
		took := time.Since(start)
		if acceptErr != nil {
			t.Fatalf("%v: %v", err, acceptErr)
		}
		if waited := first.(*Conn).TakeAcceptDelay(); waited < outage-2*acceptPause || waited > took {
			t.Errorf("%v: the first of those that waited for %v is taken to have waited for %v", err, took, waited)
		}
		if again := first.(*Conn).TakeAcceptDelay(); again != 0 {
			t.Errorf("%v: its second request is taken to have waited for %v", err, again)
		}
		time.Sleep(2 * backlogDrainTime)
		later, acceptErr := l.Accept()
		if acceptErr != nil {
			t.Fatalf("%v: %v", err, acceptErr)
		}
		if waited := later.(*Conn).TakeAcceptDelay(); waited != 0 {
			t.Errorf("%v: one that came long behind it is taken to have waited for %v", err, waited)
		}
		for _, c := range append(failing.conns, first, later) {
			c.Close()
		}
	}
}

// TestAcceptThatFailsForGood: what will not come back is told.
func TestAcceptReturnsPermanentErrors(t *testing.T) {
	set := NewSet(10, 10, time.Second)
	l := set.Listen(&failingListener{until: time.Now().Add(time.Minute), err: syscall.EBADF})
	if _, err := l.Accept(); err == nil {
		t.Error("accepted by a socket that is none")
	}
}
