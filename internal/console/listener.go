package console

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headGrace is what a caller has at least to send its call.
	headGrace = 15 * time.Millisecond
	// answering is how long to wait for a place where all calls are being answered.
	answering = time.Millisecond
)

// listener holds a bounded number of connections. When all places are taken, a newcomer takes that of the connection
// which has been silent longest, once that has had headGrace.
//
// It guards against callers that connect and send nothing, or half a call, and stay: however many there are, the next
// one gets in, after as many times headGrace as there are newcomers before it for each place. It might end a call whose
// head takes longer than that while others come; a call's head comes in one piece, and calls that are being answered
// keep their places.
type listener struct {
	net.Listener
	most int

	mu     sync.Mutex
	open   map[net.Conn]*list.Element // nil once the call's head has come
	silent *list.List                 // of caller, the oldest first
}

// caller is a connection that has not sent its call yet.
type caller struct {
	conn  net.Conn
	since time.Time
}

func newListener(l net.Listener, most int) *listener {
	return &listener{Listener: l, most: max(most, 1), open: map[net.Conn]*list.Element{}, silent: list.New()}
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for wait := l.admit(conn); wait > 0; wait = l.admit(conn) {
		time.Sleep(wait)
	}
	return conn, nil
}

// admit takes a connection in, or says after how long there may be room for it.
func (l *listener) admit(conn net.Conn) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.most {
		oldest := l.silent.Front()
		if oldest == nil {
			return answering
		}
		c := oldest.Value.(caller)
		if left := headGrace - time.Since(c.since); left > 0 {
			return left
		}
		l.silent.Remove(oldest)
		delete(l.open, c.conn)
		c.conn.Close()
	}
	l.open[conn] = l.silent.PushBack(caller{conn, time.Now()})
	return 0
}

// track is the server's ConnState hook.
func (l *listener) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, open := l.open[conn]
	if !open || state == http.StateNew {
		return
	}
	if at != nil {
		l.silent.Remove(at)
	}
	l.open[conn] = nil
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.open, conn)
	}
}
