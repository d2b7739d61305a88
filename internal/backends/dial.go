package backends

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// dialing is one connection that comes up.
type pendingDial struct {
	raw atomic.Pointer[syscall.RawConn] // its socket; nil before there is one
}

// dialAddress opens a connection within the pool's patience, or the context's.
func (p *Pool) dialAddress(ctx context.Context, address string) (net.Conn, error) {
	d := &pendingDial{}
	dialer := net.Dialer{Control: func(network, address string, raw syscall.RawConn) error {
		if p.control != nil {
			if err := p.control(network, address, raw); err != nil {
				return err
			}
		}
		d.raw.Store(&raw)
		return nil
	}}
	return dialWithTimeout(ctx, p.connectTimeout, d.connected, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// dialWithin calls a dial off once its patience is over, unless the connection is up by then: in a process that lacks processor time the
// timer may come before the news of the connection, and a server that took it at once would be held for one that cannot be reached. It
// asks the kernel and so holds for any cause of late news.
func dialWithTimeout(ctx context.Context, timeout time.Duration, connected func() bool, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(timeout, func() {
		if !connected() {
			cancel(context.DeadlineExceeded)
		}
	})
	defer timer.Stop()
	return dial(ctx)
}

// connected says whether the kernel has the connection up.
func (d *pendingDial) connected() bool {
	raw := d.raw.Load()
	if raw == nil {
		return false
	}
	up := false
	err := (*raw).Control(func(fd uintptr) {
		_, err := unix.Getpeername(int(fd)) // known once it is up, and not before
		up = err == nil
	})
	return err == nil && up
}
