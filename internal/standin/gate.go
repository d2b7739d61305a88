package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// openBacklog and shortBacklog are how many connections wait in the kernel until they are accepted; one more than shortBacklog does.
	openBacklog, shortBacklog = 128, 0
	// noRoom is how long a dial on loopback stays silent that meets a full queue, at least, and mostFillers how many connections a short
	// queue and the listener's goroutine hold, at most.
	noRoom      = 60 * time.Millisecond
	mostFillers = 16
)

// gate is a listener that can stop to accept, with its queue full: dials stay silent then, as at a service that is too busy to accept.
type gate struct {
	*net.TCPListener

	mu      sync.Mutex
	opened  chan struct{} // closed while it accepts
	conns   map[*gateConn]bool
	fillers []net.Conn
}

// newGate returns one on a free loopback port that accepts.
func newGate() (*gate, error) {
	l, err := listen("")
	if err != nil {
		return nil, err
	}
	g := &gate{TCPListener: l.(*net.TCPListener), opened: make(chan struct{}), conns: map[*gateConn]bool{}}
	close(g.opened)
	return g, nil
}

// gateConn is a connection that its gate can reset.
type gateConn struct {
	*net.TCPConn
	gate    *gate
	isReset atomic.Bool // by the gate
}

// Close closes the connection.
func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.TCPConn.Close()
}

// Accept waits for a connection, and for the gate to be open.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &gateConn{TCPConn: conn, gate: g}
	for {
		opened, ok := g.admit(c)
		if ok {
			return c, nil
		}
		<-opened
	}
}

// admit takes a connection in, if the gate is open; if not, opened is closed once it is.
func (g *gate) admit(c *gateConn) (opened chan struct{}, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		g.conns[c] = true
		return g.opened, true
	default:
		return g.opened, false
	}
}

// fill stops accepting, fills the queue, and resets what is open.
func (g *gate) fill() error {
	g.mu.Lock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default: // it is filled
		g.mu.Unlock()
		return nil
	}
	g.mu.Unlock()
	if err := g.setBacklog(shortBacklog); err != nil {
		return err
	}
	if err := g.fillQueue(); err != nil {
		return err
	}
	g.resetOpen()
	return nil
}

// fillQueue connects until a dial stays silent.
func (g *gate) fillQueue() error {
	for range mostFillers {
		conn, err := net.DialTimeout("tcp", g.Addr().String(), noRoom)
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			return nil
		}
		if err != nil {
			return fmt.Errorf("stand-in discovery: fill the queue: %w", err)
		}
		g.mu.Lock()
		g.fillers = append(g.fillers, conn)
		g.mu.Unlock()
	}
	return fmt.Errorf("stand-in discovery: the queue takes %d connections", mostFillers)
}

// resetOpen resets the connections that were accepted.
func (g *gate) resetOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.isReset.Store(true)
		reset(c.TCPConn)
	}
	clear(g.conns)
}

// open accepts again.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		return
	default:
	}
	g.setBacklog(openBacklog) // the listener may be closed
	for _, c := range g.fillers {
		c.Close()
	}
	g.fillers = nil
	close(g.opened)
}

// setBacklog changes how many connections wait to be accepted.
func (g *gate) setBacklog(connections int) error {
	raw, err := g.SyscallConn()
	if err != nil {
		return fmt.Errorf("stand-in discovery: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), connections) }); err != nil {
		return fmt.Errorf("stand-in discovery: %w", err)
	}
	return listenErr
}
