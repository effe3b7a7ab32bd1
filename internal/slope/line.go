package slope

import (
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
)

// minPoints is the least number of points for a fit. The two parameters of the
// line leave two degrees of freedom to estimate the error.
const minPoints = 4

// ErrPoints is returned by Fit for too few points, or if all have the same size.
var ErrPoints = errors.New("slope: a fit needs four points of different sizes")

// Point is the cost measured at one size.
type Point struct {
	size float64
	cost float64
}

// NewPoint returns the cost measured at a size.
func NewPoint(size, cost float64) Point {
	return Point{
		size: size,
		cost: cost,
	}
}

// Size returns the size.
func (p Point) Size() float64 { return p.size }

// Cost returns the measured cost.
func (p Point) Cost() float64 { return p.cost }

// Line is a least-squares fit of cost = intercept + slope * size.
type Line struct {
	intercept float64
	slope     float64
	// residual is the residual standard error of the points.
	residual float64
	// slopeError is the standard error of the slope.
	slopeError float64
	// meanSize is the mean of the sizes, squaredDeviations the sum of their squared
	// deviations from it.
	meanSize          float64
	squaredDeviations float64
	// count is the number of points.
	count float64
}

// Fit returns the least-squares line through the points. The only error is
// ErrPoints, wrapped.
func Fit(points []Point) (Line, error) {
	if len(points) < minPoints {
		return Line{}, errors.Wrapf(ErrPoints, "%d points", len(points))
	}
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.size, p.cost
	}
	l := Line{
		count: float64(len(points)),
	}
	var variance float64
	l.meanSize, variance = stat.MeanVariance(xs, nil)
	if l.squaredDeviations = variance * (l.count - 1); l.squaredDeviations == 0 {
		return Line{}, errors.Wrapf(ErrPoints, "all of size %g", xs[0])
	}
	l.intercept, l.slope = stat.LinearRegression(xs, ys, nil, false)
	var squares float64
	for i, x := range xs {
		d := ys[i] - l.intercept - l.slope*x
		squares += d * d
	}
	l.residual = math.Sqrt(squares / (l.count - 2))
	l.slopeError = l.residual / math.Sqrt(l.squaredDeviations)
	return l, nil
}

// Intercept returns the cost at size 0.
func (l Line) Intercept() float64 { return l.intercept }

// Slope returns the additional cost for each unit of size.
func (l Line) Slope() float64 { return l.slope }

// Residual returns the residual standard error of the points.
func (l Line) Residual() float64 { return l.residual }

// SlopeError returns the standard error of the slope.
func (l Line) SlopeError() float64 { return l.slopeError }

// At returns the predicted cost at a size and the standard error of the
// prediction, which combines the errors of the line and of one measurement.
func (l Line) At(size float64) (cost, err float64) {
	d := size - l.meanSize
	return l.intercept + l.slope*size, l.residual * math.Sqrt(1+1/l.count+d*d/l.squaredDeviations)
}
