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
		t.Fatalf("%d of 8 buffers went to those that have seen no room, wanted 4", len(held))
	}
	for b := p.tryGet(true); b != nil; b = p.tryGet(true) {
		held = append(held, b)
	}
	if len(held) != 8 {
		t.Fatalf("%d of 8 buffers are in use, wanted all", len(held))
	}
	for _, b := range held[:4] {
		p.put(b)
		if p.tryGet(false) != nil {
			t.Fatal("half are in use, and one that has seen no room got a further one")
		}
	}
	p.put(held[4])
	if p.tryGet(false) == nil {
		t.Fatal("under half are in use, and none was to be had")
	}
}

// TestThoseThatWaitGetTheBufferThatComesFree has many more wait than there are buffers. Told of a free one and no more,
// they would tell each other of it for ever.
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
