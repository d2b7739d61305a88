package scale

import (
	"math"
	"slices"

	"brasswell/internal/rig/scale/result"
)

// quantiles are those of a sample, by nearest rank.
func quantiles(sample []float64) result.Quantiles {
	if len(sample) == 0 {
		return result.Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(sample))
	at := func(share float64) float64 { return sorted[max(int(math.Ceil(share*float64(len(sorted))))-1, 0)] }
	return result.Quantiles{Count: len(sorted), Median: at(0.5), P99: at(0.99), Worst: sorted[len(sorted)-1]}
}
