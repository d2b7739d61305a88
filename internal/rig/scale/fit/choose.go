package fit

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// simplerMargin is how many times as large the error of a model with fewer parameters may be for it to be chosen all the same. Without it,
	// noise that happens to rise with the size would turn a constant into a slope: of 2,000 seeded samples of a constant (five sizes, three
	// runs each) growth was chosen for 22 % without it, 16 % with 1.1 and 6 % with 1.5.
	simplerMargin = 1.5
	// roundOff is the share of the largest value below which errors are the arithmetic's own.
	roundOff = 1e-9
)

// Criterion says, for the page, how a model is chosen, and why so.
const Criterion = "Models are fitted by ordinary least squares to sizes of at most 1,000 members. Chosen is the model with the smallest " +
	"leave-one-size-out error: all runs of one size are left out, the model is fitted to the others and predicts the mean of the size that " +
	"was left out; the error is the root mean square over the sizes. A model with fewer parameters is preferred if its error is at most 1.5 " +
	"times as large. Runs of one size share their deviation (one host, one layout), so a criterion that counts each run as independent, such as AICc, " +
	"would trust them too much; and the smallest and the largest size are predicted from outside, which is what the models are for."

// choose fits all models that the points have enough sizes for and returns the one to use, by Criterion. There must be a point.
func choose(points []Point) (chosen Fitted, tried []Fitted) {
	sizes := sizesOf(points)
	for _, m := range models {
		if len(sizes) < m.parameters() {
			continue
		}
		f := m.fit(points)
		f.LeaveOneOut = leaveOneSizeOut(m, points, sizes)
		tried = append(tried, f)
	}
	return best(tried, roundOff*largest(points)), tried
}

// best is the model with the smallest error, or one with fewer parameters and an error little above it. Errors up to negligible are the same.
func best(tried []Fitted, negligible float64) Fitted {
	chosen := tried[0]
	for _, f := range tried[1:] {
		if f.LeaveOneOut == nil || chosen.LeaveOneOut == nil {
			continue
		}
		allowed := *chosen.LeaveOneOut
		if f.Model.parameters() > chosen.Model.parameters() {
			allowed /= simplerMargin
		}
		if *f.LeaveOneOut < allowed-negligible {
			chosen = f
		}
	}
	return chosen
}

// leaveOneSizeOut is a model's error at sizes that it was not fitted to; nil if the others are too few for the model.
func leaveOneSizeOut(m Model, points []Point, sizes []int) *float64 {
	if len(sizes)-1 < m.parameters() {
		return nil
	}
	sum := 0.0
	for _, size := range sizes {
		var others []Point
		var there []float64
		for _, p := range points {
			if p.Members == size {
				there = append(there, p.Value)
			} else {
				others = append(others, p)
			}
		}
		f := Fitted{Model: m}
		f.Intercept, f.Slope = m.coefficients(others)
		miss := f.At(size) - stat.Mean(there, nil)
		sum += miss * miss
	}
	e := math.Sqrt(sum / float64(len(sizes)))
	return &e
}

// sizesOf are the different numbers of members, ascending.
func sizesOf(points []Point) []int {
	var sizes []int
	for _, p := range points {
		sizes = append(sizes, p.Members)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// largest is the largest absolute value.
func largest(points []Point) float64 {
	l := 0.0
	for _, p := range points {
		l = max(l, math.Abs(p.Value))
	}
	return l
}
