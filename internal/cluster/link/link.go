// Package link transports the messages of one fleet: datagrams over UDP, and whole tables and long payloads over TCP, both at one
// address. It makes no decisions about members. Data from a network that is not listed, of another fleet or version, corrupt, or above
// the rate limits is counted and dropped.
//
// Nothing is encrypted or signed: any host in a listed network can send any message. The list of networks, the fleet's name and the
// bounds protect only against mistakes, floods and stray packets.
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
	// The rate limit of datagrams per second and the burst of each source address; a member of a stable fleet sends about ten.
	datagramsPerSource, burstPerSource = 1000, 2000
	// maxSources bounds the sources whose rates are tracked; above it the least recently active ones lose their history.
	maxSources = 4096
	// maxStreams bounds the concurrent incoming streams (full exchanges and payloads); further ones are closed at once and their senders
	// retry. With a round trip of 150 ms a stream lasts more than 300 ms, and many members that start together connect to the few that
	// they know.
	maxStreams = 32
	// streamTimeout bounds a full exchange or the transfer of a payload.
	streamTimeout = 2 * time.Second
	// portTries bounds the retries with another free port if port 0 is requested and the port is taken for TCP.
	portTries = 20
	// receiveBuffer is the requested size of the UDP socket's receive buffer: after a change all of 1,400 members acknowledge within
	// milliseconds. The kernel may grant less (net.core.rmem_max).
	receiveBuffer = 4 << 20
)

// Handler handles received data. Its methods are called from several goroutines and must not block for long.
type Handler interface {
	// Datagram handles a message from an address.
	Datagram(from string, m *view.Message)
	// Payload handles a payload that another member sent.
	Payload(body []byte)
	// Exchange merges another member's table and returns this process's own.
	Exchange(ctx context.Context, from string, table []view.Record) ([]view.Record, error)
}

// Config configures a Link.
type Config struct {
	Fleet    string
	Listen   string // an address with a literal IP
	Networks []netip.Prefix
	Path     Path // nil uses the network unchanged
}

// Counts are the totals of sent, received and dropped data since the start.
type Counts struct {
	Sent, SentBytes         int64
	Received, ReceivedBytes int64
	Exchanges               int64 // started by this process
	// Dropped, by reason:
	Foreign int64 // from a network that is not listed, or of another fleet
	Version int64
	Garbage int64 // malformed or corrupt
	Flood   int64 // above a rate limit or the bound of streams
	Unsent  int64
}

type counters struct {
	sent, sentBytes, received, receivedBytes, exchanges, foreign, version, garbage, flood, unsent atomic.Int64
}

// Link holds one process's sockets for its fleet. Its methods are safe for concurrent use.
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

// Listen opens both sockets and starts to pass received data to h.
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
			l.udp.SetReadBuffer(receiveBuffer) // an error is ignored: a smaller buffer only loses more datagrams, which are sent again
			return nil
		}
		l.udp.Close()
		if at.Port != 0 || try == portTries || !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
}

// Addr returns the address of both sockets.
func (l *Link) Addr() string { return l.udp.LocalAddr().String() }

// allowed reports whether an address belongs to a listed network.
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
			continue // an undeliverable sent datagram is reported as an error of the next read
		}
		if !l.accepts(from.Addr()) {
			continue // lost on the simulated network
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

// drop counts data that could not be decoded, by the error.
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

// Send sends a datagram. One that cannot be sent is counted and otherwise treated like a lost one.
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

// dial connects from the IP address of the listener, by which other members know this process.
func (l *Link) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	for range 2 { // one round trip
		if err := l.waitForPath(ctx, to, 0); err != nil {
			return nil, err
		}
	}
	own := *l.tcp.Addr().(*net.TCPAddr)
	own.Port = 0
	d := net.Dialer{LocalAddr: &own}
	return d.DialContext(ctx, "tcp4", to.String())
}

// writeStream writes to the stream conn to an address, after the delay of the path.
func (l *Link) writeStream(ctx context.Context, conn net.Conn, to netip.AddrPort, text []byte) error {
	if err := l.waitForPath(ctx, to, len(text)); err != nil {
		return err
	}
	_, err := conn.Write(text)
	return err
}

// Exchange sends a table to an address and returns the table in the reply.
func (l *Link) Exchange(ctx context.Context, to string, table []view.Record) ([]view.Record, error) {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	if !l.allowed(at.Addr()) {
		return nil, fmt.Errorf("exchange: %s is not in a listed network", to)
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
			select { // for example out of file descriptors; the listener remains usable
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

// answer handles an incoming stream: a payload, or the other side of an Exchange.
func (l *Link) answer(conn *net.TCPConn, from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(l.ctx, streamTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })()
	table, payload, err := l.codec.ReadStream(conn)
	if err != nil {
		l.drop(err)
		return
	}
	if payload != nil {
		l.handler.Payload(payload)
		return
	}
	own, err := l.handler.Exchange(ctx, from.String(), table)
	if err != nil {
		return
	}
	if text, err := l.codec.EncodeTable(own); err == nil {
		l.writeStream(ctx, conn, from, text) // on an error the other side retries later
	}
}

// Counts returns the totals so far.
func (l *Link) Counts() Counts {
	c := &l.counts
	return Counts{
		Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(), Received: c.received.Load(), ReceivedBytes: c.receivedBytes.Load(),
		Exchanges: c.exchanges.Load(), Foreign: c.foreign.Load(), Version: c.version.Load(), Garbage: c.garbage.Load(),
		Flood: c.flood.Load(), Unsent: c.unsent.Load(),
	}
}

// Close closes both sockets and all streams, and returns once all goroutines have ended.
func (l *Link) Close() {
	l.cancel()
	l.counts.unsent.Add(int64(l.payloads.close()))
	l.udp.Close()
	l.tcp.Close()
	l.running.Wait()
}

// sources limits the datagram rate of each source address. It is not safe for concurrent use.
type sources struct{ current, previous map[netip.Addr]*rate.Limiter }

// allow reports whether one more datagram from an address is within its limit.
//
// This guards against a single sender that overloads the view. A sender that changes its address with each datagram evades the limit;
// the queue of the owner of the view is bounded too, so that in this case only datagrams are lost.
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
