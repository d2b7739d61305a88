package proxy

import (
	"context"
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
	return l, nil
}
