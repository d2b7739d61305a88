package channel

import "sync"

// bufferBytes is what is read at one go.
const bufferBytes = 32 << 10

type buffer [bufferBytes]byte

// roomyBytes is the most that is read at one go for an end that has been seen to have room for it.
const writableReadBytes = 8 << 10

// gate bounds the buffers in use. A relay holds one in each direction from when something has come until it has gone
// on, so a channel that is quiet holds none. While more than half are in use, one is had only by who has seen that the
// end to which the bytes go has room for them, and gives it back at once.
//
// It guards against readers that are slow, and move, and would hold all buffers while other channels wait: they hold
// half of them at most, by what was read before there was a shortage. It costs who carries much to fast readers two
// system calls more for each 8 KiB meanwhile.
type bufferPool struct {
	permits chan struct{}
	pool    sync.Pool
}

// newGate lets so many bytes be in use, and at least two buffers.
func newBufferPool(bytes int64) *bufferPool {
	n := max(int(bytes/bufferBytes), 2)
	g := &bufferPool{permits: make(chan struct{}, n), pool: sync.Pool{New: func() any { return new(buffer) }}}
	for range n {
		g.permits <- struct{}{}
	}
	return g
}

// try returns a buffer, or nil if there is none for one that has seen room, or has not.
func (g *bufferPool) tryGet(writable bool) *buffer {
	if !writable && len(g.permits) <= cap(g.permits)/2 {
		return nil
	}
	select {
	case <-g.permits:
		return g.pool.Get().(*buffer)
	default:
		return nil
	}
}

func (g *bufferPool) put(b *buffer) {
	g.pool.Put(b)
	g.permits <- struct{}{}
}

// wait returns a buffer once one has come free, first come, first served. One that was only told of a free buffer would
// look for it in vain: those that wait are served before those that look.
func (g *bufferPool) get() *buffer {
	<-g.permits
	return g.pool.Get().(*buffer)
}
