package recovery

import (
	"math/rand/v2"
	"sync"
)

// admissionStream keeps these draws apart from others that are made from the same seed.
const admissionStream = 0xd002

// dice are draws from a seed, for many goroutines.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{source: rand.New(rand.NewPCG(seed, admissionStream))}
}

// draw returns a number from 0 to below 1.
func (d *lockedRand) draw() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.Float64()
}
