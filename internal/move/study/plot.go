package study

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// curveRates are the failure rates of the new version at which Curve compares the
// policies. The old version fails 0.3% of its requests.
var curveRates = [...]float64{0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1}

// Point is the result of both policies at one failure rate.
type Point struct {
	rate       float64
	controller *Summary
	baseline   *Summary
}

// String formats the point as one line.
func (p Point) String() string {
	return fmt.Sprintf("failure rate %.3f: controller rolls back %d of %d, bad requests p50 %d; baseline %d, p50 %d", p.rate,
		p.controller.RolledBack(), p.controller.Runs(), p.controller.BadRequests(0.5), p.baseline.RolledBack(), p.baseline.BadRequests(0.5))
}

// Curve runs both policies at each of a fixed list of failure rates, with the
// seeds from first on and the given number of goroutines.
func Curve(first uint64, runs, workers int) []Point {
	var points []Point
	for _, rate := range curveRates {
		points = append(points, Point{
			rate:       rate,
			controller: Repeat(NewCase(Good, None, false).WithRate(rate), first, runs, workers),
			baseline:   Repeat(NewCase(Good, None, true).WithRate(rate), first, runs, workers),
		})
	}
	return points
}

// Plot writes the fraction of versions rolled back by failure rate as an image,
// whose format follows the file's extension.
func Plot(points []Point, file string) error {
	p := plot.New()
	p.Title.Text = "Versions rolled back by failure rate"
	p.X.Label.Text = "added failure rate of the new version (old version: 0.003)"
	p.Y.Label.Text = "fraction rolled back"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	var controller, baseline plotter.XYs
	for _, t := range points {
		controller = append(controller, point(t.rate, t.controller))
		baseline = append(baseline, point(t.rate, t.baseline))
	}
	if err := plotutil.AddLinePoints(p, "controller", controller, "fixed threshold", baseline); err != nil {
		return err
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}

func point(rate float64, c *Summary) plotter.XY {
	return plotter.XY{
		X: rate,
		Y: float64(c.rolledBack) / float64(c.runs),
	}
}
