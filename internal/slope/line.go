package slope

import (
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
)

// minPoints is the number of sizes that a fit needs: two parameters leave two
// degrees of freedom to estimate the error.
const minPoints = 4

// ErrPoints is a fit of too few points or of points of one size only.
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

// Line is a fit by least squares: cost = intercept + slope * size.
type Line struct {
	intercept float64
	slope     float64
	// residual is the standard error of the points about the line.
	residual float64
	// slopeError is the standard error of the slope.
	slopeError float64
	// mean and spread are the mean of the sizes and the sum of their squared
	// distances from it.
	mean   float64
	spread float64
	count  float64
}

// Fit returns the line through the points. The error is ErrPoints.
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
	l.mean, variance = stat.MeanVariance(xs, nil)
	if l.spread = variance * (l.count - 1); l.spread == 0 {
		return Line{}, errors.Wrapf(ErrPoints, "all of size %g", xs[0])
	}
	l.intercept, l.slope = stat.LinearRegression(xs, ys, nil, false)
	var squares float64
	for i, x := range xs {
		d := ys[i] - l.intercept - l.slope*x
		squares += d * d
	}
	l.residual = math.Sqrt(squares / (l.count - 2))
	l.slopeError = l.residual / math.Sqrt(l.spread)
	return l, nil
}

// Intercept returns the cost at size 0.
func (l Line) Intercept() float64 { return l.intercept }

// Slope returns the cost for each further unit of size.
func (l Line) Slope() float64 { return l.slope }

// Residual returns the standard error of the points about the line.
func (l Line) Residual() float64 { return l.residual }

// SlopeError returns the standard error of the slope.
func (l Line) SlopeError() float64 { return l.slopeError }

// At returns the cost at a size and its standard error, which is that of the
// line and of one measurement together.
func (l Line) At(size float64) (cost, err float64) {
	d := size - l.mean
	return l.intercept + l.slope*size, l.residual * math.Sqrt(1+1/l.count+d*d/l.spread)
}
