package callers

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener accepts only what there is room for, and closes the rest at once.
type Listener struct {
	net.Listener
	set        *Set
	lastAccept atomic.Pointer[time.Time] // when the last one was; nil before it
	stopped    atomic.Bool
	drained    atomic.Bool   // nothing more is accepted after Stop
	closed     chan struct{} // closed by Close

	// Of accepts that fail for a moment, one behind the other: used by Accept alone.
	failuresBegin, failuresEnd time.Time
	closeOnce                  sync.Once
}

// Stop lets go of the socket, which another process goes on accepting from, and leaves the connections that were
// accepted as they are.
func (l *Listener) Stop() {
	if !l.stopped.Swap(true) {
		// Not awaited: it would stand while an accept does, if the socket blocks against all rules.
		go l.Listener.Close()
	}
}

// Drained says whether, after Stop, every connection that was accepted has been handed on.
func (l *Listener) Drained() bool { return l.drained.Load() }

// Close ends the listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if l.stopped.Load() {
		return nil
	}
	return l.Listener.Close()
}

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
				<-l.closed // net/http would end with an error of its own
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
	// acceptPause is waited behind an accept that failed for a moment. Callers wait meanwhile, and their time runs.
	acceptPause = 5 * time.Millisecond
	// drainTime behind such accepts all that had queued up is taken.
	backlogDrainTime = 50 * time.Millisecond
)

// momentary says whether accept has failed for want of something that may come back, or of a connection that is gone.
func temporary(err error) bool {
	for _, one := range []error{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// stall waits behind an accept that failed.
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

// stalled is how long a connection may have waited that is accepted now.
func (l *Listener) acceptDelay(now time.Time) time.Duration {
	if l.failuresEnd.IsZero() || now.Sub(l.failuresEnd) > backlogDrainTime {
		return 0
	}
	return now.Sub(l.failuresBegin)
}

// Listen wraps a listener so that the set decides which connections are taken.
func (c *Set) Listen(l net.Listener) *Listener {
	return &Listener{Listener: l, set: c, closed: make(chan struct{})}
}

// longQuiet is longer than anybody waits for quiet.
const maxSinceAccept = time.Hour

// Quiet is how long no connection has come.
func (l *Listener) SinceLastAccept() time.Duration {
	last := l.lastAccept.Load()
	if last == nil {
		return maxSinceAccept
	}
	return time.Since(*last)
}
