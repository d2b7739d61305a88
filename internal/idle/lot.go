package idle

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Waiter is who is told that a socket of its has bytes, or is over. It is called by Run, one call at a time, and must not
// wait long.
type Handler interface{ SocketReady() }

// Lot is a set of sockets that do nothing. It is safe for concurrent use.
type Poller struct {
	set *os.File // the epoll set, itself in the runtime's poller: no thread waits in it
	raw syscall.RawConn
	fd  int

	mu     sync.Mutex
	held   map[int32]Handler // by descriptor
	closed bool
}

// NewLot returns an empty lot. Run must be called, and Close ends it.
func NewPoller() (*Poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("idle connections: %w", os.NewSyscallError("epoll_create1", err))
	}
	if err := unix.SetNonblock(fd, true); err != nil { // else the runtime would not poll it
		unix.Close(fd)
		return nil, fmt.Errorf("idle connections: %w", os.NewSyscallError("fcntl", err))
	}
	l := &Poller{set: os.NewFile(uintptr(fd), "epoll"), fd: fd, held: map[int32]Handler{}}
	if l.raw, err = l.set.SyscallConn(); err != nil {
		l.set.Close()
		return nil, fmt.Errorf("idle connections: %w", err)
	}
	return l, nil
}

var errClosed = errors.New("the lot is closed")

// Hold takes a socket over and returns what it is known by until Take or Drop; c is closed in any case. After an error
// the socket is closed, too.
func (l *Poller) Park(c *net.TCPConn, w Handler) (key int32, err error) {
	defer c.Close()
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	fd := -1
	// The runtime's poller knows the socket by c's descriptor, and forgets it when that is closed.
	if failed := raw.Control(func(own uintptr) { fd, err = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0) }); failed != nil {
		return 0, failed
	}
	if err != nil {
		return 0, os.NewSyscallError("fcntl", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		unix.Close(fd)
		return 0, errClosed
	}
	key = int32(fd)
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: key}
	if err := unix.EpollCtl(l.fd, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		unix.Close(fd)
		return 0, os.NewSyscallError("epoll_ctl", err)
	}
	l.held[key] = w
	return key, nil
}

// Take gives a held socket back.
func (l *Poller) Unpark(key int32) (*net.TCPConn, error) {
	l.mu.Lock()
	_, held := l.held[key]
	delete(l.held, key)
	if held {
		unix.EpollCtl(l.fd, unix.EPOLL_CTL_DEL, int(key), nil)
	}
	l.mu.Unlock()
	if !held {
		return nil, errClosed
	}
	f := os.NewFile(uintptr(key), "socket")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// Drop closes a held socket.
func (l *Poller) Drop(key int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, held := l.held[key]; held {
		delete(l.held, key)
		unix.Close(int(key))
	}
}

// Len is how many sockets are held.
func (l *Poller) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

// Run tells those whose sockets have bytes, or are over, until Close. Each is told once for each Hold.
func (l *Poller) Run() error {
	events := make([]unix.EpollEvent, 128)
	for {
		n := 0
		var failed error
		err := l.raw.Read(func(fd uintptr) bool {
			for {
				if n, failed = unix.EpollWait(int(fd), events, 0); failed != unix.EINTR {
					return n != 0 || failed != nil
				}
			}
		})
		switch {
		case err != nil && l.over(): // the set's file says so with an error that cannot be told from others
			return nil
		case err != nil:
			return fmt.Errorf("idle connections: %w", err)
		case failed != nil:
			return fmt.Errorf("idle connections: %w", os.NewSyscallError("epoll_wait", failed))
		}
		for _, e := range events[:n] {
			l.mu.Lock()
			w := l.held[e.Fd]
			l.mu.Unlock()
			if w != nil { // else it has been dropped meanwhile
				w.SocketReady()
			}
		}
	}
}

func (l *Poller) over() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Close closes every held socket and ends Run.
func (l *Poller) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	for fd := range l.held {
		unix.Close(int(fd))
	}
	clear(l.held)
	l.set.Close()
}
