package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
)

// listen opens the callers' listener: the inherited socket if there is one, or a new one.
func listen(c Config, control func(network, address string, c syscall.RawConn) error) (net.Listener, error) {
	if c.Inherited == nil {
		return (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", c.Listen)
	}
	defer c.Inherited.Close() // FileListener duplicates the descriptor
	l, err := net.FileListener(c.Inherited)
	if err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("inherited socket: listens on %s, not on TCP", l.Addr().Network())
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = control("tcp", c.Listen, raw)
	}
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	return &sharedListener{l, raw}, nil
}

// sharedListener is a listener whose socket is also open in other processes. They all share the socket's non-blocking flag,
// and a process that passes the socket on may clear it, as os.File.Fd does. An accept that starts then would block until
// the next caller connects, and this process could not release the socket. Accept therefore sets the flag before each call.
type sharedListener struct {
	net.Listener
	raw syscall.RawConn
}

func (l *sharedListener) Accept() (net.Conn, error) {
	var err error
	control := l.raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), true) })
	if err := errors.Join(control, err); err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	return l.Listener.Accept()
}
