package fit

import (
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Model is a law of growth with the number of members n.
type Model string

// The models, from the slowest to the fastest growth.
const (
	Constant  Model = "constant"  // a
	Linear    Model = "linear"    // a + b·n
	LogLinear Model = "n log n"   // a + b·n·ln n
	Quadratic Model = "quadratic" // a + b·n²
)

// models are all that are tried, from the slowest to the fastest growth.
var models = []Model{Constant, Linear, LogLinear, Quadratic}

// Point is one measured value at a number of members.
type Point struct {
	Members int     `json:"members"`
	Value   float64 `json:"value"`
}

// Fitted is a model with its coefficients and how far it is from the points that it was fitted to.
type Fitted struct {
	Model     Model   `json:"model"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"` // of the model's term; 0 for Constant
	// ResidualSD is the standard deviation of the residuals; nil if there are no more points than parameters.
	ResidualSD      *float64 `json:"residual_sd"`
	LargestResidual float64  `json:"largest_residual"` // its absolute value
	// LeaveOneOut is the root mean square, over the sizes, of the error at a size that was left out of the fit; nil if there are too few sizes.
	LeaveOneOut *float64 `json:"leave_one_out"`
}

// At is the model's value at a number of members.
func (f Fitted) At(members int) float64 {
	return f.Intercept + f.Slope*f.Model.term(float64(members))
}

// term is the model's only term besides the intercept.
func (m Model) term(n float64) float64 {
	switch m {
	case Linear:
		return n
	case LogLinear:
		return n * math.Log(n)
	case Quadratic:
		return n * n
	default:
		return 0
	}
}

// parameters is how many coefficients the model has. It needs as many different sizes.
func (m Model) parameters() int {
	if m == Constant {
		return 1
	}
	return 2
}

// coefficients fits a model by ordinary least squares.
func (m Model) coefficients(points []Point) (intercept, slope float64) {
	terms, values := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		terms[i] = m.term(float64(p.Members))
		values[i] = p.Value
	}
	if m == Constant {
		return stat.Mean(values, nil), 0
	}
	return stat.LinearRegression(terms, values, nil, false)
}

// fit fits a model to points of enough sizes and describes the residuals.
func (m Model) fit(points []Point) Fitted {
	f := Fitted{Model: m}
	f.Intercept, f.Slope = m.coefficients(points)
	residuals := make([]float64, len(points))
	for i, p := range points {
		residuals[i] = p.Value - f.At(p.Members)
	}
	f.LargestResidual = floats.Norm(residuals, math.Inf(1))
	if free := len(points) - m.parameters(); free > 0 {
		sd := floats.Norm(residuals, 2) / math.Sqrt(float64(free))
		f.ResidualSD = &sd
	}
	return f
}
