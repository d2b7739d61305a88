// Package comeback judges from what was earned in each second how a service came back after a loss of power. It has no I/O.
package comeback

import "time"

// Second is what callers got within one second, in worth, by class.
type Second map[string]float64

func (s Second) sum() (all float64) {
	for _, worth := range s {
		all += worth
	}
	return all
}

// Verdict is how a service came back.
type Verdict struct {
	Calm float64 `json:"calm"` // worth a second before the loss
	// Half and Nine are from the last loss until half and nine tenths of that were earned, in two seconds in a row; below 0 for never.
	Half time.Duration `json:"half_ns"`
	Nine time.Duration `json:"nine_ns"`
	// HalfOf is the same of half for each class by itself.
	HalfOf map[string]time.Duration `json:"half_of_ns"`
	// Lost is the worth that was not earned from the first loss on, in seconds of calm.
	Lost float64 `json:"lost_s"`
}

// Judge judges seconds, of which the first stands for the story's first. first and last are the moments of the first and of the last
// loss.
func Judge(seconds []Second, first, last time.Duration) Verdict {
	v := Verdict{Half: -1, Nine: -1, HalfOf: map[string]time.Duration{}}
	const skip = 1 // second, in which connections come up
	before := min(int(first/time.Second), len(seconds))
	calm := Second{}
	for _, s := range seconds[min(skip, before):before] {
		for class, worth := range s {
			calm[class] += worth / float64(max(before-skip, 1))
		}
	}
	v.Calm = calm.sum()
	if v.Calm == 0 {
		return v
	}
	reached := func(share float64, of func(Second) float64) time.Duration {
		row := 0
		for i := int(last / time.Second); i < len(seconds); i++ {
			if row++; of(seconds[i]) < share*of(calm) {
				row = 0
			}
			if row == 2 {
				// The first of the two was enough.
				return max(time.Duration(i)*time.Second-last, 0)
			}
		}
		return -1
	}
	v.Half, v.Nine = reached(0.5, Second.sum), reached(0.9, Second.sum)
	for class := range calm {
		v.HalfOf[class] = reached(0.5, func(s Second) float64 { return s[class] })
	}
	for _, s := range seconds[before:] {
		v.Lost += 1 - min(s.sum()/v.Calm, 1)
	}
	return v
}
