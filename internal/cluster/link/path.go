package link

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"
)

// Path simulates the network between machines for the data that a link sends, if many members share one machine in scale runs and
// tests; without a Path, data is sent at once. Its methods must be safe for concurrent use.
type Path interface {
	// Datagram returns the delay of a datagram with a size in bytes, and whether it arrives.
	Datagram(to netip.AddrPort, size int) (after time.Duration, arrives bool)
	// Stream returns the one-way delay of size bytes of a stream. While the path is cut, open is false.
	Stream(to netip.AddrPort, size int) (after time.Duration, open bool)
	// Accepts reports whether data from an address is received. It applies cuts to senders without a Path of their own.
	Accepts(from netip.Addr) bool
}

const (
	// maxDelayed bounds the datagrams that wait for their delay at one time; further ones are dropped.
	maxDelayed = 20_000
	// cutRecheck is the interval at which a stream over a cut path checks whether the cut has ended.
	cutRecheck = 5 * time.Millisecond
)

// delayed counts the datagrams of a link that wait for their delay.
type delayed struct{ count atomic.Int64 }

// emit sends a datagram after the delay of the path. One that cannot be sent is counted and otherwise treated like a lost one.
func (l *Link) emit(to netip.AddrPort, text []byte) {
	if l.config.Path == nil {
		l.write(to, text)
		return
	}
	after, arrives := l.config.Path.Datagram(to, len(text))
	switch {
	case !arrives:
		l.countSent(len(text)) // sent, but lost on the simulated network
	case after <= 0:
		l.write(to, text)
	case l.delayed.count.Add(1) > maxDelayed:
		l.delayed.count.Add(-1)
		l.counts.unsent.Add(1)
	default:
		time.AfterFunc(after, func() { // after Close the write fails and is counted as unsent
			l.delayed.count.Add(-1)
			l.write(to, text)
		})
	}
}

// accepts reports whether the path accepts data from an address.
func (l *Link) accepts(from netip.Addr) bool {
	return l.config.Path == nil || l.config.Path.Accepts(from.Unmap())
}

func (l *Link) write(to netip.AddrPort, text []byte) {
	if _, err := l.udp.WriteToUDPAddrPort(text, to); err != nil {
		l.counts.unsent.Add(1)
		return
	}
	l.countSent(len(text))
}

func (l *Link) countSent(size int) {
	l.counts.sent.Add(1)
	l.counts.sentBytes.Add(int64(size))
}

// waitForPath waits for the one-way delay of size bytes of a stream to an address, or until ctx is done.
func (l *Link) waitForPath(ctx context.Context, to netip.AddrPort, size int) error {
	if l.config.Path == nil {
		return nil
	}
	for {
		after, open := l.config.Path.Stream(to, size)
		if !open {
			after = cutRecheck
		}
		if err := sleep(ctx, after); err != nil || open {
			return err
		}
	}
}

// sleep waits for d, or returns the error of ctx if it is done first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
