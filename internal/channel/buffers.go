package channel

import "sync"

// bufferBytes is the most that one read returns.
const bufferBytes = 32 << 10

type buffer [bufferBytes]byte

// writableReadBytes is the most that one read returns while buffers are scarce and the receiving end is writable.
const writableReadBytes = 8 << 10

// bufferPool limits the buffers in use. Each direction of a relay holds a buffer from when data has arrived until it is
// forwarded, so an idle channel holds none. While half of the buffers or more are in use, a relay gets one only after it
// has seen that the receiving end is writable, and therefore returns it soon.
//
// This guards against receivers that are slow but still make progress, and that would hold all buffers while other
// channels wait. They hold at most half of them, with data that was read before buffers became scarce. Meanwhile relays
// to fast receivers need two more system calls for each 8 KiB.
type bufferPool struct {
	permits chan struct{} // one for each free buffer
	pool    sync.Pool
}

// newBufferPool returns a pool for the given number of bytes, and for at least two buffers.
func newBufferPool(bytes int64) *bufferPool {
	n := max(int(bytes/bufferBytes), 2)
	p := &bufferPool{permits: make(chan struct{}, n), pool: sync.Pool{New: func() any { return new(buffer) }}}
	for range n {
		p.permits <- struct{}{}
	}
	return p
}

// tryGet returns a buffer, or nil if none is available. writable says that the receiving end has been seen to be
// writable, so that the half of the buffers that is reserved for this case may be used.
func (p *bufferPool) tryGet(writable bool) *buffer {
	if !writable && len(p.permits) <= cap(p.permits)/2 {
		return nil
	}
	select {
	case <-p.permits:
		return p.pool.Get().(*buffer)
	default:
		return nil
	}
}

// put returns a buffer to the pool.
func (p *bufferPool) put(b *buffer) {
	p.pool.Put(b)
	p.permits <- struct{}{}
}

// get waits for a buffer. Callers are served in the order of their calls, and before callers of tryGet. It hands over
// the buffer itself: a caller that was only notified of a free buffer could find it taken again.
func (p *bufferPool) get() *buffer {
	<-p.permits
	return p.pool.Get().(*buffer)
}
