package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a line through measured points. Formulas use its slope and intercept.
type Fit struct {
	Slope     float64 `expr:"slope"`
	Intercept float64 `expr:"intercept"`
	// Worst is the largest distance of a point from the line, as a fraction of the point's value.
	Worst  float64 `expr:"-"`
	points [][2]float64
}

// Measured returns the value that was measured at x, not that of the line; NaN if no point is at x.
func (f Fit) Measured(x float64) float64 {
	for _, p := range f.points {
		if p[0] == x {
			return p[1]
		}
	}
	return math.NaN()
}

// FitLine fits a line to points by least squares of the relative residuals. The points span orders of magnitude: with
// absolute residuals, the noise of the largest points would determine the line at small sizes.
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
