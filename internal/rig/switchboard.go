package rig

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"brasswell/internal/rig/faults"
	"brasswell/internal/standin"
)

const (
	// mostFlying datagrams wait for their delay at one time; what comes beyond is lost.
	mostFlying = 20_000
	// chunk is what is read of a stream at one time; a fault is decided for each.
	chunk = 16 << 10
	// recheck is how often a stream that is cut looks whether it still is.
	recheck = 5 * time.Millisecond
	// mostDatagram is longer than any that a member sends.
	mostDatagram = 64 << 10
)

// Switchboard stands between the processes of a rig. Each member is reached by others at an address of the switchboard's
// and sends from one of its own, so that every datagram and every stream tells which path it is on. What becomes of it is
// decided by faults.Network.
type Switchboard struct {
	began time.Time

	mu      sync.Mutex
	network *faults.Network
	flying  int
	byReal  map[netip.Addr]*port // by the address that a member sends from
	ports   map[string]*port

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// port is a member's place on the switchboard.
type port struct {
	name         string
	public, real netip.AddrPort
	udp          *net.UDPConn
	tcp          *net.TCPListener
}

// NewSwitchboard returns one with sound paths only.
func NewSwitchboard(seed uint64) *Switchboard {
	s := &Switchboard{
		began: time.Now(), network: faults.NewNetwork(seed), byReal: map[netip.Addr]*port{}, ports: map[string]*port{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Member gives a member a place: it listens and sends at real, each member at an IP of its own, and others reach it at
// public.
func (s *Switchboard) Member(name string, public, real netip.AddrPort) error {
	p := &port{name: name, public: public, real: real}
	var err error
	if p.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(public)); err != nil {
		return fmt.Errorf("switchboard: %s: %w", name, err)
	}
	if p.tcp, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(public)); err != nil {
		p.udp.Close()
		return fmt.Errorf("switchboard: %s: %w", name, err)
	}
	s.mu.Lock()
	s.byReal[real.Addr()], s.ports[name] = p, p
	s.mu.Unlock()
	s.running.Go(func() { s.datagrams(p) })
	s.running.Go(func() { s.streams(p) })
	return nil
}

// from is the member that sends from an address; nil if none does.
func (s *Switchboard) from(a netip.Addr) *port {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byReal[a.Unmap()]
}

// datagrams passes on what is sent to a member.
func (s *Switchboard) datagrams(to *port) {
	b := make([]byte, mostDatagram)
	for {
		n, at, err := to.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from := s.from(at.Addr())
		if err != nil || from == nil {
			continue // a stranger has no path
		}
		s.mu.Lock()
		deliveries := s.network.Datagram(time.Since(s.began), faults.Path{From: from.name, To: to.name}, n)
		if s.flying+len(deliveries) > mostFlying {
			deliveries = nil
		}
		s.flying += len(deliveries)
		s.mu.Unlock()
		for _, d := range deliveries {
			text := append([]byte(nil), b[:n]...)
			if d.Bit >= 0 {
				text[d.Bit/8] ^= 1 << (d.Bit % 8)
			}
			deliver := func() {
				from.udp.WriteToUDPAddrPort(text, to.real)
				s.mu.Lock()
				s.flying--
				s.mu.Unlock()
			}
			if d.After <= 0 {
				deliver()
			} else {
				time.AfterFunc(d.After, deliver) // bounded by mostFlying; after Close the write fails
			}
		}
	}
}

// streams passes connections to a member on.
func (s *Switchboard) streams(to *port) {
	for {
		conn, err := to.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from := s.from(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		if from == nil {
			conn.Close()
			continue
		}
		s.running.Go(func() {
			local := &net.TCPAddr{IP: from.public.Addr().AsSlice()} // so that the member sees who calls
			s.relay(conn, from.name, to.name, nil, func(ctx context.Context) (net.Conn, error) {
				d := net.Dialer{LocalAddr: local}
				return d.DialContext(ctx, "tcp4", to.real.String())
			})
		})
	}
}

// Tunnel returns an address at which one process reaches another, or a stand-in, over their path. target says where that
// listens now. origins are told of what is passed on to a backend; nil for anything else.
func (s *Switchboard) Tunnel(from, to string, origins *standin.Origins, target func() string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("switchboard: %s to %s: %w", from, to, err)
	}
	context.AfterFunc(s.ctx, func() { l.Close() })
	s.running.Go(func() {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue
			}
			s.running.Go(func() {
				s.relay(conn.(*net.TCPConn), from, to, origins, func(ctx context.Context) (net.Conn, error) {
					var d net.Dialer
					return d.DialContext(ctx, "tcp4", target())
				})
			})
		}
	})
	return l.Addr().String(), nil
}

// relay carries one connection over the paths between two processes until either side ends it.
func (s *Switchboard) relay(conn *net.TCPConn, from, to string, origins *standin.Origins, dial func(context.Context) (net.Conn, error)) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer conn.Close()
	// A connection over a path that is cut never comes up: its first packets are lost, either way.
	out, back := faults.Path{From: from, To: to}, faults.Path{From: to, To: from}
	if !s.pass(ctx, out, 0) || !s.pass(ctx, back, 0) {
		return
	}
	far, err := dial(ctx)
	if err != nil {
		conn.SetLinger(0) // as a machine that lives refuses for a process that does not
		return
	}
	defer far.Close()
	near := net.Conn(conn)
	if origins != nil {
		origin, err := origins.Open(conn, far.LocalAddr())
		if err != nil {
			reset(conn)
			return
		}
		defer origin.End()
		near = origin
	}
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()); far.SetDeadline(time.Now()) })()
	var both sync.WaitGroup
	both.Go(func() { s.pump(ctx, far, near, out); closeWrite(far) })
	both.Go(func() { s.pump(ctx, near, far, back); closeWrite(near) })
	both.Wait()
}

// closeWrite passes the end of one direction on.
func closeWrite(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}

func (s *Switchboard) pump(ctx context.Context, to, from net.Conn, p faults.Path) {
	b := make([]byte, chunk)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !s.pass(ctx, p, n) {
				return
			}
			if _, err := to.Write(b[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) || isReset(err) {
				reset(to)
			}
			return
		}
	}
}

// isReset says whether the other end was reset and not closed.
func isReset(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNRESET) || errors.As(err, &op) && !op.Timeout()
}

func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// pass waits until so many bytes may pass, and says whether they may.
func (s *Switchboard) pass(ctx context.Context, p faults.Path, n int) bool {
	for {
		s.mu.Lock()
		after, open := s.network.Stream(time.Since(s.began), p, n)
		s.mu.Unlock()
		if !open {
			after = recheck
		}
		if after > 0 {
			wait(ctx, after)
		}
		if open || ctx.Err() != nil {
			return ctx.Err() == nil
		}
	}
}

// Add puts a condition on paths; Remove takes it off.
func (s *Switchboard) Add(paths []faults.Path, c faults.Condition) *faults.Layer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.network.Add(paths, c)
}

// Remove takes a condition off.
func (s *Switchboard) Remove(l *faults.Layer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.network.Remove(l)
}

// Close ends every path, and returns once nothing of it runs.
func (s *Switchboard) Close() {
	s.cancel()
	s.mu.Lock()
	for _, p := range s.ports {
		p.udp.Close()
		p.tcp.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}
