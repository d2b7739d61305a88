// Package link carries the messages of one fleet: datagrams over UDP, whole tables over TCP, both at one address. It
// decides nothing. What comes from elsewhere, of another fleet or version, damaged or too often is counted and dropped.
//
// There are no secrets and no signatures: who can send from a listed network can say anything. The list of networks, the
// fleet's name and the bounds keep out mistakes, floods and strays, and nothing else.
package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"brasswell/internal/cluster/codec"
	"brasswell/internal/cluster/view"
)

const (
	// Each source may send so many datagrams a second, and a burst; a member at rest sends some ten.
	datagramsPerSource, burstPerSource = 1000, 2000
	// mostSources are told apart; with more, the ones longest unheard begin anew.
	maxSources = 4096
	// mostStreams full exchanges and parcels are answered at one time; others are closed at once and come again. With a round trip of
	// 150 ms one holds its place for more than 300 ms, and many members that start together ask the few that they know.
	maxStreams = 32
	// streamTime bounds a full exchange.
	streamTimeout = 2 * time.Second
	// portTries is how often another free port is tried where port 0 is asked for and one of the two kinds has it taken.
	portTries = 20
	// receiveBuffer is asked of the kernel for datagrams that wait to be read: after a change all of 1,400 members acknowledge within
	// milliseconds. The kernel may give less (net.core.rmem_max).
	receiveBuffer = 4 << 20
)

// Handler takes in what comes. Its methods are called from several goroutines and must not block for long.
type Handler interface {
	// Datagram takes a message from an address.
	Datagram(from string, m *view.Message)
	// Parcel takes what another part of the program at another member had carried here.
	Payload(body []byte)
	// Asked takes another's table and returns one's own.
	Exchange(ctx context.Context, from string, table []view.Record) ([]view.Record, error)
}

// Config is where and for whom to listen.
type Config struct {
	Fleet    string
	Listen   string // an address with a literal IP
	Networks []netip.Prefix
	Path     Path // nil for the network as it is
}

// Counts is what has passed and what has been dropped, from 0 at the start.
type Counts struct {
	Sent, SentBytes         int64
	Received, ReceivedBytes int64
	Exchanges               int64 // begun here
	// Dropped, by why:
	Foreign int64 // from a network that is not listed, or of another fleet
	Version int64
	Garbage int64 // damaged ones too
	Flood   int64 // over a bound
	Unsent  int64
}

type counters struct {
	sent, sentBytes, received, receivedBytes, exchanges, foreign, version, garbage, flood, unsent atomic.Int64
}

// Link is a fleet's sockets at one process. Its methods may be called at any time.
type Link struct {
	config   Config
	codec    codec.Codec
	handler  Handler
	udp      *net.UDPConn
	tcp      *net.TCPListener
	counts   counters
	streams  chan struct{}
	payloads payloadQueue
	sources  sources
	delayed  delayed
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// Listen opens both sockets and begins to hand on what comes.
func Listen(c Config, h Handler) (*Link, error) {
	l := &Link{config: c, codec: codec.New(c.Fleet), handler: h, streams: make(chan struct{}, maxStreams)}
	if err := l.open(); err != nil {
		return nil, fmt.Errorf("fleet: listen: %w", err)
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.running.Go(l.datagrams)
	l.running.Go(l.accept)
	return l, nil
}

func (l *Link) open() error {
	at, err := net.ResolveUDPAddr("udp4", l.config.Listen)
	if err != nil {
		return err
	}
	for try := 0; ; try++ {
		if l.udp, err = net.ListenUDP("udp4", at); err != nil {
			return err
		}
		port := l.udp.LocalAddr().(*net.UDPAddr).Port
		if l.tcp, err = net.ListenTCP("tcp4", &net.TCPAddr{IP: at.IP, Port: port}); err == nil {
			l.udp.SetReadBuffer(receiveBuffer) // with a shorter one more is lost, and sent anew
			return nil
		}
		l.udp.Close()
		if at.Port != 0 || try == portTries || !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
}

// Addr is where it listens, for both kinds.
func (l *Link) Addr() string { return l.udp.LocalAddr().String() }

// listed says whether an address is of a network that may talk to us.
func (l *Link) allowed(a netip.Addr) bool {
	a = a.Unmap()
	for _, n := range l.config.Networks {
		if n.Contains(a) {
			return true
		}
	}
	return false
}

func (l *Link) datagrams() {
	var b [codec.MaxDatagramBytes + 1]byte
	for {
		n, from, err := l.udp.ReadFromUDPAddrPort(b[:])
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // that a datagram of ours could not be delivered comes back as an error of the next read
		}
		if !l.accepts(from.Addr()) {
			continue // it is lost on the way
		}
		l.counts.received.Add(1)
		l.counts.receivedBytes.Add(int64(n))
		if !l.allowed(from.Addr()) {
			l.counts.foreign.Add(1)
			continue
		}
		if !l.sources.allow(from.Addr(), time.Now()) {
			l.counts.flood.Add(1)
			continue
		}
		if codec.IsPayload(b[:n]) {
			body, err := l.codec.DecodePayload(bytes.Clone(b[:n]))
			if err != nil {
				l.drop(err)
				continue
			}
			l.handler.Payload(body)
			continue
		}
		m, err := l.codec.DecodeMessage(b[:n])
		if err != nil {
			l.drop(err)
			continue
		}
		l.handler.Datagram(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), m)
	}
}

// drop counts what could not be read.
func (l *Link) drop(err error) {
	switch {
	case errors.Is(err, codec.ErrOtherFleet):
		l.counts.foreign.Add(1)
	case errors.Is(err, codec.ErrVersion):
		l.counts.version.Add(1)
	default:
		l.counts.garbage.Add(1)
	}
}

// Send sends a datagram. What cannot be sent is counted: it is as good as lost on the way.
func (l *Link) Send(to string, m *view.Message) {
	at, err := netip.ParseAddrPort(to)
	if err != nil || !l.allowed(at.Addr()) {
		l.counts.unsent.Add(1)
		return
	}
	text, err := l.codec.EncodeMessage(m)
	if err != nil {
		l.counts.unsent.Add(1)
		return
	}
	l.emit(at, text)
}

// dial connects from the address that others know us by.
func (l *Link) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	for range 2 { // there and back
		if err := l.waitForPath(ctx, to, 0); err != nil {
			return nil, err
		}
	}
	own := *l.tcp.Addr().(*net.TCPAddr)
	own.Port = 0
	d := net.Dialer{LocalAddr: &own}
	return d.DialContext(ctx, "tcp4", to.String())
}

// writeStream writes to a stream that leads to an address.
func (l *Link) writeStream(ctx context.Context, conn net.Conn, to netip.AddrPort, text []byte) error {
	if err := l.waitForPath(ctx, to, len(text)); err != nil {
		return err
	}
	_, err := conn.Write(text)
	return err
}

// Exchange sends a table to an address and returns the table that comes back.
func (l *Link) Exchange(ctx context.Context, to string, table []view.Record) ([]view.Record, error) {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	if !l.allowed(at.Addr()) {
		return nil, fmt.Errorf("exchange: %s is of no listed network", to)
	}
	text, err := l.codec.EncodeTable(table)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	l.counts.exchanges.Add(1)
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	conn, err := l.dial(ctx, at)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })()
	if err := l.writeStream(ctx, conn, at, text); err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	got, err := l.codec.ReadTable(conn)
	if err != nil {
		l.drop(err)
		return nil, fmt.Errorf("exchange: %w", err)
	}
	return got, nil
}

func (l *Link) accept() {
	for {
		conn, err := l.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select { // out of descriptors, say; the listener lives
			case <-l.ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		from := conn.RemoteAddr().(*net.TCPAddr).AddrPort()
		if !l.allowed(from.Addr()) {
			l.counts.foreign.Add(1)
			conn.Close()
			continue
		}
		if !l.accepts(from.Addr()) {
			conn.Close()
			continue
		}
		select {
		case l.streams <- struct{}{}:
		default:
			l.counts.flood.Add(1)
			conn.Close()
			continue
		}
		l.running.Go(func() {
			defer func() { <-l.streams }()
			defer conn.Close()
			l.answer(conn, from)
		})
	}
}

// answer carries out the other side of an Exchange.
func (l *Link) answer(conn *net.TCPConn, from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(l.ctx, streamTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })()
	table, parcel, err := l.codec.ReadStream(conn)
	if err != nil {
		l.drop(err)
		return
	}
	if parcel != nil {
		l.handler.Payload(parcel)
		return
	}
	own, err := l.handler.Exchange(ctx, from.String(), table)
	if err != nil {
		return
	}
	if text, err := l.codec.EncodeTable(own); err == nil {
		l.writeStream(ctx, conn, from, text) // who is gone asks again
	}
}

// Counts is what has passed and been dropped so far.
func (l *Link) Counts() Counts {
	c := &l.counts
	return Counts{
		Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(), Received: c.received.Load(), ReceivedBytes: c.receivedBytes.Load(),
		Exchanges: c.exchanges.Load(), Foreign: c.foreign.Load(), Version: c.version.Load(), Garbage: c.garbage.Load(),
		Flood: c.flood.Load(), Unsent: c.unsent.Load(),
	}
}

// Close ends both sockets and every stream, and returns once nothing of it runs.
func (l *Link) Close() {
	l.cancel()
	l.counts.unsent.Add(int64(l.payloads.close()))
	l.udp.Close()
	l.tcp.Close()
	l.running.Wait()
}

// sources bounds what each address may send. It is used by one goroutine.
type sources struct{ current, previous map[netip.Addr]*rate.Limiter }

// allow says whether one more datagram from an address is within its bound.
//
// It guards against one sender that keeps the view from its work. Who changes its address with each datagram gets by;
// the queue behind this is bounded too, so that what is lost then is datagrams.
func (s *sources) allow(from netip.Addr, now time.Time) bool {
	l := s.current[from]
	if l == nil {
		if len(s.current) >= maxSources/2 || s.current == nil {
			s.current, s.previous = make(map[netip.Addr]*rate.Limiter), s.current
		}
		if l = s.previous[from]; l == nil {
			l = rate.NewLimiter(datagramsPerSource, burstPerSource)
		}
		s.current[from] = l
	}
	return l.AllowN(now, 1)
}
