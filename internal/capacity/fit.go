package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a line through measured points. Formulas use its slope and intercept.
type Fit struct {
	Slope     float64 `expr:"slope"`
	Intercept float64 `expr:"intercept"`
	// Worst is the largest distance of a point from the line, as a share of the point's value.
	Worst  float64 `expr:"-"`
	points [][2]float64
}

// Measured is the point at x itself, not the line's value; NaN where nothing was measured.
func (f Fit) Measured(x float64) float64 {
	for _, p := range f.points {
		if p[0] == x {
			return p[1]
		}
	}
	return math.NaN()
}

// FitLine finds the line by least squares of relative residuals: the points span orders of magnitude, and absolute residuals
// would leave small sizes to the noise of the largest.
func FitLine(points [][2]float64) Fit {
	var x, y, weights []float64
	for _, p := range points {
		x = append(x, p[0])
		y = append(y, p[1])
		weights = append(weights, 1/(p[1]*p[1]))
	}
	f := Fit{points: points}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, weights, false)
	for k := range x {
		residual := math.Abs(y[k]-f.Intercept-f.Slope*x[k]) / y[k]
		f.Worst = math.Max(f.Worst, residual)
	}
	return f
}
