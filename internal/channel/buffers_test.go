package channel

import (
	"sync"
	"testing"
)

func TestHalfOfTheBuffersAreReservedForWritablePeers(t *testing.T) {
	p := newBufferPool(8 * bufferBytes)
	var held []*buffer
	for b := p.tryGet(false); b != nil; b = p.tryGet(false) {
		held = append(held, b)
	}
	if len(held) != 4 {
		t.Fatalf("%d of 8 buffers were available without a writable peer, want 4", len(held))
	}
	for b := p.tryGet(true); b != nil; b = p.tryGet(true) {
		held = append(held, b)
	}
	if len(held) != 8 {
		t.Fatalf("%d of 8 buffers are in use, want all", len(held))
	}
	for _, b := range held[:4] {
		p.put(b)
		if p.tryGet(false) != nil {
			t.Fatal("got a buffer without a writable peer while half of them are in use")
		}
	}
	p.put(held[4])
	if p.tryGet(false) == nil {
		t.Fatal("got no buffer while less than half of them are in use")
	}
}

// TestWaitersGetFreedBuffers has many more waiters than buffers. If a waiter were only notified of a free buffer instead
// of getting it, the waiters could notify each other without end.
func TestWaitersGetFreedBuffers(t *testing.T) {
	p := newBufferPool(2 * bufferBytes)
	first, second := p.tryGet(true), p.tryGet(true)
	var all sync.WaitGroup
	for range 100 {
		all.Go(func() {
			for range 20 {
				b := p.tryGet(true)
				if b == nil {
					b = p.get()
				}
				p.put(b)
			}
		})
	}
	p.put(first)
	p.put(second)
	all.Wait()
	if len(p.permits) != 2 {
		t.Errorf("%d of 2 buffers are free at the end", len(p.permits))
	}
}
