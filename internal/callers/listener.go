package callers

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener accepts connections while the set has capacity, and closes the others at once.
type Listener struct {
	net.Listener
	set        *Set
	lastAccept atomic.Pointer[time.Time] // when the last connection was accepted; nil before the first
	stopped    atomic.Bool
	drained    atomic.Bool   // nothing more is accepted after Stop
	closed     chan struct{} // closed by Close

	// Start of the first and end of the last pause in a run of temporary accept errors; used by Accept only.
	failuresBegin, failuresEnd time.Time
	closeOnce                  sync.Once
}

// Stop closes the listening socket, on which another process continues to accept, and leaves the accepted
// connections as they are.
func (l *Listener) Stop() {
	if !l.stopped.Swap(true) {
		// Close is not awaited: if the socket is in blocking mode, which it should not be, Close blocks until a
		// pending accept returns.
		go l.Listener.Close()
	}
}

// Drained reports whether, after Stop, every accepted connection has been returned by Accept.
func (l *Listener) Drained() bool { return l.drained.Load() }

// Close closes the listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if l.stopped.Load() {
		return nil
	}
	return l.Listener.Close()
}

// Accept returns the next connection that the set admits. It retries after temporary errors.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil && temporary(err) && !l.stopped.Load() {
			l.pauseAfterFailure()
			continue
		}
		if err != nil {
			if l.stopped.Load() {
				l.drained.Store(true)
				<-l.closed // returning here would make net/http stop with an error
			}
			return nil, err
		}
		now := time.Now()
		l.lastAccept.Store(&now)
		if k := l.set.admit(conn); k != nil {
			k.acceptDelay = l.acceptDelay(now)
			return k, nil
		}
		conn.Close()
	}
}

const (
	// acceptPause is the wait after a temporary accept error. Callers wait meanwhile, and their remaining time runs
	// down.
	acceptPause = 5 * time.Millisecond
	// backlogDrainTime is how long after such an error connections that had queued up may still be in the accept
	// queue.
	backlogDrainTime = 50 * time.Millisecond
)

// temporaryErrors are errors of accept(2) behind which it can succeed again: a resource is missing, a connection is gone or not
// permitted, or a new connection has a network error pending.
var temporaryErrors = []error{
	syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED, syscall.EPERM,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// temporary reports whether accept failed, but may succeed again.
func temporary(err error) bool {
	return slices.ContainsFunc(temporaryErrors, func(temporary error) bool { return errors.Is(err, temporary) })
}

// pauseAfterFailure waits after a temporary accept error.
func (l *Listener) pauseAfterFailure() {
	now := time.Now()
	if now.Sub(l.failuresEnd) > backlogDrainTime {
		l.failuresBegin = now
	}
	select {
	case <-l.closed:
	case <-time.After(acceptPause):
	}
	l.failuresEnd = time.Now()
}

// acceptDelay returns how long a connection that is accepted now may have waited in the accept queue.
func (l *Listener) acceptDelay(now time.Time) time.Duration {
	if l.failuresEnd.IsZero() || now.Sub(l.failuresEnd) > backlogDrainTime {
		return 0
	}
	return now.Sub(l.failuresBegin)
}

// Listen wraps a listener so that the set decides which connections are accepted.
func (c *Set) Listen(l net.Listener) *Listener {
	return &Listener{Listener: l, set: c, closed: make(chan struct{})}
}

// maxSinceAccept is what SinceLastAccept returns before the first connection. It is longer than any caller of
// SinceLastAccept waits.
const maxSinceAccept = time.Hour

// SinceLastAccept returns how long ago the last connection was accepted.
func (l *Listener) SinceLastAccept() time.Duration {
	last := l.lastAccept.Load()
	if last == nil {
		return maxSinceAccept
	}
	return time.Since(*last)
}
