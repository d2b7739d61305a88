package backends

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pendingDial is a connection that is being established.
type pendingDial struct {
	raw atomic.Pointer[syscall.RawConn] // the socket; nil until it is created
}

// dialAddress opens a connection within the pool's connect timeout and the context's deadline.
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

// dialWithTimeout cancels a dial after the timeout, unless the connection is established by then. In a process that is
// starved of processor time the timer may fire before the runtime reports the connection, and a server that accepted it
// at once would count as unreachable. It asks the kernel about the connection, so it doesn't depend on why the report
// is late.
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

// connected reports whether the connection is established in the kernel.
func (d *pendingDial) connected() bool {
	raw := d.raw.Load()
	if raw == nil {
		return false
	}
	up := false
	err := (*raw).Control(func(fd uintptr) {
		_, err := unix.Getpeername(int(fd)) // succeeds only while the connection is established
		up = err == nil
	})
	return err == nil && up
}
