package channel

import (
	"sync"
	"testing"
)

func TestHalfOfTheBuffersAreForThoseWhoSeeRoom(t *testing.T) {
	g := newGate(8 * bufferBytes)
	var held []*buffer
	for b := g.try(false); b != nil; b = g.try(false) {
		held = append(held, b)
	}
	if len(held) != 4 {
		t.Fatalf("%d of 8 buffers went to those that have seen no room, wanted 4", len(held))
	}
	for b := g.try(true); b != nil; b = g.try(true) {
		held = append(held, b)
	}
	if len(held) != 8 {
		t.Fatalf("%d of 8 buffers are in use, wanted all", len(held))
	}
	for _, b := range held[:4] {
		g.put(b)
		if g.try(false) != nil {
			t.Fatal("half are in use, and one that has seen no room got a further one")
		}
	}
	g.put(held[4])
	if g.try(false) == nil {
		t.Fatal("under half are in use, and none was to be had")
	}
}

// TestThoseThatWaitGetTheBufferThatComesFree has many more wait than there are buffers. Told of a free one and no more,
// they would tell each other of it for ever.
func TestThoseThatWaitGetTheBufferThatComesFree(t *testing.T) {
	g := newGate(2 * bufferBytes)
	first, second := g.try(true), g.try(true)
	var all sync.WaitGroup
	for range 100 {
		all.Go(func() {
			for range 20 {
				b := g.try(true)
				if b == nil {
					b = g.wait()
				}
				g.put(b)
			}
		})
	}
	g.put(first)
	g.put(second)
	all.Wait()
	if len(g.free) != 2 {
		t.Errorf("%d of 2 buffers are free at the end", len(g.free))
	}
}
