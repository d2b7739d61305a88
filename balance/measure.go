package balance

import (
	"time"

	"brasswell/internal/estimate"
)

// rateTimeConstant is the time over which rates are smoothed.
const rateTimeConstant = 4 * time.Second

// tail is the time within which nearly all of a class's attempts end. The first few attempts do not show it:
// an instance that has just started would use the first attempt's time and eject every slower server.
type tail struct {
	estimate.Quantile
	samples int
}

func (t *tail) known() bool { return t.samples >= minTailSamples }
