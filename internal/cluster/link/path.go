package link

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"
)

// Path decides what becomes of what a link sends. It stands for the network between machines where many members share one, in
// scale runs and tests; without one, all is sent at once. Its methods may be called from many goroutines.
type Path interface {
	// Datagram says how late a datagram of so many bytes arrives, and whether it does.
	Datagram(to netip.AddrPort, size int) (after time.Duration, arrives bool)
	// Stream says how late so many bytes of a stream arrive one way. While the path is cut, open is false.
	Stream(to netip.AddrPort, size int) (after time.Duration, open bool)
	// Accepts says whether what comes from an address is taken in. It is for senders without a path of their own.
	Accepts(from netip.Addr) bool
}

const (
	// maxDelayed datagrams wait for their delay at one time; what comes beyond is lost.
	maxDelayed = 20_000
	// cutRecheck is how often a stream over a path that is cut looks whether it still is.
	cutRecheck = 5 * time.Millisecond
)

// delayed counts the datagrams of a link that wait for their delay.
type delayed struct{ count atomic.Int64 }

// emit puts a datagram on the wire, as late as the path says. What cannot be sent is counted: it is as good as lost on the way.
func (l *Link) emit(to netip.AddrPort, text []byte) {
	if l.config.Path == nil {
		l.write(to, text)
		return
	}
	after, arrives := l.config.Path.Datagram(to, len(text))
	switch {
	case !arrives:
		l.countSent(len(text)) // it was sent, and is lost on the way
	case after <= 0:
		l.write(to, text)
	case l.delayed.count.Add(1) > maxDelayed:
		l.delayed.count.Add(-1)
		l.counts.unsent.Add(1)
	default:
		time.AfterFunc(after, func() { // after Close the write fails
			l.delayed.count.Add(-1)
			l.write(to, text)
		})
	}
}

// accepts says whether the path lets in what has come from an address.
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

// travel waits until so many bytes of a stream have passed one way to an address, or ctx is done.
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

// sleep waits for a time, or until ctx is done, which is its error.
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
