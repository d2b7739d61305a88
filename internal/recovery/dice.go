package recovery

import (
	"math/rand/v2"
	"sync"
)

// admissionStream makes these random numbers independent of others from the same seed.
const admissionStream = 0xd002

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{source: rand.New(rand.NewPCG(seed, admissionStream))}
}

// draw returns a random number in [0, 1).
func (d *lockedRand) draw() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.Float64()
}
