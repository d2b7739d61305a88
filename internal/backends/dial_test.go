package backends

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestEstablishedConnectionIsNotCanceled guards against canceling a dial whose timeout fires after the connection is
// established, but before the dialer learns of it.
func TestEstablishedConnectionIsNotCanceled(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	defer ours.Close()
	checked := make(chan bool)
	connected := func() bool { checked <- true; return true }
	got, err := dialWithTimeout(t.Context(), time.Millisecond, connected, func(ctx context.Context) (net.Conn, error) {
		<-checked // the timeout has fired
		<-time.After(20 * time.Millisecond)
		return ours, ctx.Err()
	})
	if err != nil || got != ours {
		t.Errorf("%v, %v", got, err)
	}
}

func TestUnfinishedDialIsCanceled(t *testing.T) {
	_, err := dialWithTimeout(t.Context(), time.Millisecond, func() bool { return false }, func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

// TestConnectedReportsTheStateInTheKernel checks connected before the connection is established, while it is open, and
// after it is closed.
func TestConnectedReportsTheStateInTheKernel(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	d := &pendingDial{}
	if d.connected() {
		t.Error("connected without a socket")
	}
	before := true
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		d.raw.Store(&raw)
		before = d.connected()
		return nil
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	during := d.connected()
	conn.Close()
	if after := d.connected(); before || !during || after {
		t.Errorf("before %v, during %v, after %v", before, during, after)
	}
}
