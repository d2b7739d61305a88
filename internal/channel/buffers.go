package channel

import "sync"

// bufferBytes is what is read at one go.
const bufferBytes = 32 << 10

type buffer [bufferBytes]byte

// gate bounds the buffers in use. A relay holds one in each direction from when something has come until it has gone
// on, so a channel that is quiet holds none, and one whose reader is slow holds one.
type gate struct {
	free  chan struct{}
	spare sync.Pool
}

// newGate lets so many bytes be in use, and at least two buffers.
func newGate(bytes int64) *gate {
	n := max(int(bytes/bufferBytes), 2)
	g := &gate{free: make(chan struct{}, n), spare: sync.Pool{New: func() any { return new(buffer) }}}
	for range n {
		g.free <- struct{}{}
	}
	return g
}

// try returns a buffer, or nil if all are in use.
func (g *gate) try() *buffer {
	select {
	case <-g.free:
		return g.spare.Get().(*buffer)
	default:
		return nil
	}
}

func (g *gate) put(b *buffer) {
	g.spare.Put(b)
	g.free <- struct{}{}
}

// wait returns once a buffer has come free, which another may take first.
func (g *gate) wait() {
	<-g.free
	g.free <- struct{}{}
}
