package console

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// listener holds a bounded number of connections. When all places are taken, a newcomer takes that of the connection
// which has been silent longest.
//
// It guards against callers that connect and send nothing, or half a call, and stay: however many there are, the next
// one gets in. It might end a call whose head is still on its way while that many others come at once; a call's head
// comes in one piece, and calls that are being answered keep their places.
type listener struct {
	net.Listener
	most int

	mu     sync.Mutex
	open   map[net.Conn]*list.Element // nil once the call's head has come
	silent *list.List                 // of net.Conn, the oldest first
}

func newListener(l net.Listener, most int) *listener {
	return &listener{Listener: l, most: max(most, 1), open: map[net.Conn]*list.Element{}, silent: list.New()}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit(conn) {
			return conn, nil
		}
		conn.Close()
	}
}

// admit takes a connection in, unless as many calls are being answered.
func (l *listener) admit(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.most {
		oldest := l.silent.Front()
		if oldest == nil {
			return false
		}
		gone := l.silent.Remove(oldest).(net.Conn)
		delete(l.open, gone)
		gone.Close()
	}
	l.open[conn] = l.silent.PushBack(conn)
	return true
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
