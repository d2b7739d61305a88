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

// Handler is notified when its parked socket has bytes to read or its connection has ended. Run makes the calls, one
// at a time, so they must not block for long.
type Handler interface{ SocketReady() }

// Poller is a set of parked, idle sockets. It is safe for concurrent use.
type Poller struct {
	epoll *os.File // the epoll set, which the runtime's poller watches: no thread blocks in it
	raw   syscall.RawConn
	fd    int

	mu     sync.Mutex
	parked map[int32]Handler // by descriptor
	closed bool
}

// NewPoller returns an empty Poller. The caller must call Run, which returns after Close.
func NewPoller() (*Poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("idle connections: %w", os.NewSyscallError("epoll_create1", err))
	}
	if err := unix.SetNonblock(fd, true); err != nil { // the runtime only polls nonblocking descriptors
		unix.Close(fd)
		return nil, fmt.Errorf("idle connections: %w", os.NewSyscallError("fcntl", err))
	}
	p := &Poller{epoll: os.NewFile(uintptr(fd), "epoll"), fd: fd, parked: map[int32]Handler{}}
	if p.raw, err = p.epoll.SyscallConn(); err != nil {
		p.epoll.Close()
		return nil, fmt.Errorf("idle connections: %w", err)
	}
	return p, nil
}

var errClosed = errors.New("the poller is closed or does not hold the socket")

// Park takes over a socket and returns the key that identifies it until Unpark or Drop. c is closed in any case; after an
// error, the socket itself is closed, too.
func (p *Poller) Park(c *net.TCPConn, h Handler) (key int32, err error) {
	defer c.Close()
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	fd := -1
	// The runtime's poller has registered c's descriptor, and removes it when that is closed. The duplicate stays open.
	if failed := raw.Control(func(own uintptr) { fd, err = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0) }); failed != nil {
		return 0, failed
	}
	if err != nil {
		return 0, os.NewSyscallError("fcntl", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		unix.Close(fd)
		return 0, errClosed
	}
	key = int32(fd)
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: key}
	if err := unix.EpollCtl(p.fd, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		unix.Close(fd)
		return 0, os.NewSyscallError("epoll_ctl", err)
	}
	p.parked[key] = h
	return key, nil
}

// Unpark removes a parked socket and returns it as a connection.
func (p *Poller) Unpark(key int32) (*net.TCPConn, error) {
	p.mu.Lock()
	_, parked := p.parked[key]
	delete(p.parked, key)
	if parked {
		unix.EpollCtl(p.fd, unix.EPOLL_CTL_DEL, int(key), nil)
	}
	p.mu.Unlock()
	if !parked {
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

// Drop closes a parked socket.
func (p *Poller) Drop(key int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, parked := p.parked[key]; parked {
		delete(p.parked, key)
		unix.Close(int(key))
	}
}

// Len returns the number of parked sockets.
func (p *Poller) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.parked)
}

// Run calls the handlers of sockets that have bytes to read or whose connection has ended, until Close. Each handler is
// called at most once per Park.
func (p *Poller) Run() error {
	events := make([]unix.EpollEvent, 128)
	for {
		n := 0
		var failed error
		err := p.raw.Read(func(fd uintptr) bool {
			for {
				if n, failed = unix.EpollWait(int(fd), events, 0); failed != unix.EINTR {
					return n != 0 || failed != nil
				}
			}
		})
		switch {
		case err != nil && p.isClosed(): // a read of the closed file fails with an error that cannot be distinguished from others
			return nil
		case err != nil:
			return fmt.Errorf("idle connections: %w", err)
		case failed != nil:
			return fmt.Errorf("idle connections: %w", os.NewSyscallError("epoll_wait", failed))
		}
		for _, e := range events[:n] {
			p.mu.Lock()
			h := p.parked[e.Fd]
			p.mu.Unlock()
			if h != nil { // nil if the socket has been removed meanwhile
				h.SocketReady()
			}
		}
	}
}

func (p *Poller) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// Close closes all parked sockets and ends Run.
func (p *Poller) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	for fd := range p.parked {
		unix.Close(int(fd))
	}
	clear(p.parked)
	p.epoll.Close()
}
