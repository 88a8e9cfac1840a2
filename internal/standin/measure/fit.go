package measure

import "math"

// Fit is a line through costs at several sizes, by least squares.
type Fit struct {
	Base  float64 // cost at size 0
	Slope float64 // cost of one more
	Error float64 // standard error of the slope
	Worst float64 // greatest distance of a point from the line, as a share of the point
}

// NewFit fits a line to ys at xs, of which there must be at least three.
func NewFit(xs, ys []float64) Fit {
	n := float64(len(xs))
	var sx, sy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
	}
	mx, my := sx/n, sy/n
	var sxx, sxy float64
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
	}
	f := Fit{Slope: sxy / sxx}
	f.Base = my - f.Slope*mx
	var residual float64
	for i := range xs {
		distance := ys[i] - f.At(xs[i])
		residual += distance * distance
		if ys[i] != 0 {
			f.Worst = max(f.Worst, math.Abs(distance/ys[i]))
		}
	}
	f.Error = math.Sqrt(residual / (n - 2) / sxx)
	return f
}

// At returns the cost at size x.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }
