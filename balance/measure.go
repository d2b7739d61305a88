package balance

import (
	"time"

	"brasswell/internal/estimate"
)

// rateMemory is the time over which rates are smoothed.
const rateMemory = 4 * time.Second

// tail is the time that nearly all of a class's attempts take. From the first few it cannot be told: an
// instance that has just started would take the first one's time for it and eject whoever takes longer.
type tail struct {
	estimate.Quantile
	seen int
}

func (t *tail) known() bool { return t.seen >= tailSeen }
