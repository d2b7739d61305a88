package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
)

// listen opens the callers' listener: the platform's where it hands one down, or its own.
func listen(c Config, control func(network, address string, c syscall.RawConn) error) (net.Listener, error) {
	if c.Inherited == nil {
		return (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", c.Listen)
	}
	defer c.Inherited.Close() // FileListener has a copy
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

// shared is a listener whose socket other processes hold as well. Whether a socket blocks is one setting for all of
// them, and whoever hands it to a further process may change it, as os.File.Fd does: an accept that begins then would
// stand until the next caller comes, and this process could not let go of the socket. So the setting is made anew before
// each accept.
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
