package kit

import (
	"net"
	"syscall"
)

// ListenSmall listens on a free port. The connections have a receive buffer of about so many bytes, so that a byte that
// a server has not read is mostly not with its machine yet.
func ListenSmall(bytes int) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) })
	return l, nil
}
