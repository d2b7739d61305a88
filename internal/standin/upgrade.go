package standin

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// upgradeConn is the connection of one upgrade. It knows when the request was written and when the answer came, however late a client on a busy
// machine gets to them.
type upgradeConn struct {
	*timedConn
	firstWrite   atomic.Pointer[time.Time] // the moment right before it
	lastReceived atomic.Pointer[time.Time] // when the last bytes that were read had come
}

// dialUpgrade opens the connection of an upgrade.
func dialUpgrade(ctx context.Context, _, address string) (net.Conn, error) {
	timed, err := dialTimed(ctx, &net.Dialer{}, address)
	if err != nil {
		return nil, err
	}
	return &upgradeConn{timedConn: timed}, nil
}

// Write writes, and notes when the first write began.
func (c *upgradeConn) Write(b []byte) (int, error) {
	begun := time.Now()
	c.firstWrite.CompareAndSwap(nil, &begun)
	return c.timedConn.Write(b)
}

// Read reads, and notes when the last of the bytes had come.
func (c *upgradeConn) Read(b []byte) (int, error) {
	n, err := c.timedConn.Read(b)
	if n > 0 {
		received := c.received
		c.lastReceived.Store(&received)
	}
	return n, err
}

// upgradeTimes are the moments of one upgrade.
type upgradeTimes struct{ conn atomic.Pointer[upgradeConn] }

// trace returns a context that has the upgrade's connection noted.
func (t *upgradeTimes) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*upgradeConn); ok {
			t.conn.Store(conn)
		}
	}})
}

// written is when the request was written; now where that is not known.
func (t *upgradeTimes) written() time.Time {
	return t.known(func(c *upgradeConn) *time.Time { return c.firstWrite.Load() })
}

// answered is when the answer had come; now where that is not known.
func (t *upgradeTimes) answered() time.Time {
	return t.known(func(c *upgradeConn) *time.Time { return c.lastReceived.Load() })
}

func (t *upgradeTimes) known(moment func(*upgradeConn) *time.Time) time.Time {
	if conn := t.conn.Load(); conn != nil {
		if at := moment(conn); at != nil {
			return *at
		}
	}
	return time.Now()
}
