package fit

import (
	"math"
	"math/rand/v2"
	"testing"
)

// sampled is a law's values at the usual sizes, three of each, with normal noise of a share of the value.
func sampled(seed uint64, noise float64, law func(n float64) float64) []Point {
	random := rand.New(rand.NewPCG(seed, 0))
	var points []Point
	for _, members := range []int{60, 120, 250, 500, 1000} {
		for range 3 {
			value := law(float64(members)) * (1 + noise*random.NormFloat64())
			points = append(points, Point{members, value})
		}
	}
	return points
}

func TestTheKnownModelIsChosen(t *testing.T) {
	const intercept, noise, seeds = 5.0, 0.01, 200
	laws := []struct {
		model Model
		slope float64
		least int // of the seeds
	}{
		{Constant, 0, seeds * 9 / 10}, // noise alone may look like growth; simplerMargin says how often
		{Linear, 0.04, seeds}, {LogLinear, 0.02, seeds}, {Quadratic, 0.0001, seeds},
	}
	for _, law := range laws {
		t.Run(string(law.model), func(t *testing.T) {
			right := 0
			for seed := uint64(1); seed <= seeds; seed++ {
				value := func(n float64) float64 { return intercept + law.slope*law.model.term(n) }
				chosen, tried := choose(sampled(seed, noise, value))
				if len(tried) != len(models) {
					t.Errorf("seed %d: tried %d", seed, len(tried))
				}
				if at, want := chosen.At(predictedSize), value(predictedSize); math.Abs(at-want) > 0.05*want {
					t.Errorf("seed %d: %v at %d, want %v", seed, at, predictedSize, want)
				}
				if chosen.Model != law.model {
					continue
				}
				right++
				if math.Abs(chosen.Intercept-intercept) > 0.15*intercept || math.Abs(chosen.Slope-law.slope) > 0.05*law.slope {
					t.Errorf("seed %d: %v + %v, want %v + %v", seed, chosen.Intercept, chosen.Slope, intercept, law.slope)
				}
			}
			if right < law.least {
				t.Errorf("chosen for %d of %d seeds, want %d", right, seeds, law.least)
			}
		})
	}
}

func TestWithoutNoiseTheCoefficientsAreExact(t *testing.T) {
	for _, m := range models {
		points := sampled(1, 0, func(n float64) float64 { return 3 + 0.5*m.term(n) })
		chosen, _ := choose(points)
		if chosen.Model != m || math.Abs(chosen.Intercept-3) > 1e-6 || m != Constant && math.Abs(chosen.Slope-0.5) > 1e-9 {
			t.Errorf("%s: %+v", m, chosen)
		}
		if chosen.LargestResidual > 1e-6*largest(points) || chosen.ResidualSD == nil || *chosen.ResidualSD > 1e-6*largest(points) {
			t.Errorf("%s: residuals %v, %v", m, chosen.LargestResidual, chosen.ResidualSD)
		}
	}
}

func TestResiduals(t *testing.T) {
	f := Constant.fit([]Point{{1, 1}, {1, 3}, {2, 2}, {2, 6}}) // mean 3: -2, 0, -1, 3
	if f.Intercept != 3 || f.LargestResidual != 3 || math.Abs(*f.ResidualSD-math.Sqrt(14.0/3)) > 1e-12 {
		t.Errorf("%+v, %v", f, *f.ResidualSD)
	}
	e := leaveOneSizeOut(Constant, []Point{{1, 1}, {1, 3}, {2, 2}, {2, 6}}, []int{1, 2}) // means 2 and 4 predict each other
	if e == nil || *e != 2 {
		t.Errorf("leave-one-size-out %v", e)
	}
}

func TestFewSizes(t *testing.T) {
	one, tried := choose([]Point{{60, 2}, {60, 4}})
	if one.Model != Constant || one.Intercept != 3 || one.LeaveOneOut != nil || len(tried) != 1 {
		t.Errorf("one size: %+v of %d", one, len(tried))
	}
	two, _ := choose([]Point{{60, 2}, {600, 20}})
	if two.Model != Constant {
		t.Errorf("two sizes cannot tell models apart: %+v", two)
	}
	three, _ := choose([]Point{{60, 6}, {600, 60}, {1000, 100}})
	if three.Model != Linear {
		t.Errorf("three sizes: %+v", three)
	}
}
