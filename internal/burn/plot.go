package burn

import (
	"io"
	"sort"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// maxCurves is the number of curves in a plot; more are hard to distinguish.
const maxCurves = 7

// plotMaxRate is the highest burn rate drawn. At 20 with a target of 95% all
// outcomes are bad. Refusals have a smaller budget, and their higher rates would
// flatten all other curves.
const plotMaxRate = 20

// curve is the burn rate of one service and objective over time.
type curve struct {
	name   string
	points plotter.XYs
	peak   float64
}

// PNG writes a plot of the burn rates of the services over three days. It has the
// seven curves with the highest peaks, and lines at the rates that require
// action. Rates above 20 are drawn at 20.
func (r *Report) PNG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "Burn rate of services"
	p.X.Label.Text = "hours before the report"
	p.Y.Label.Text = "bad fraction / (1 - target), cut at 20"
	p.X.Min, p.X.Max = -spanMinutes/60, 0
	p.Y.Min, p.Y.Max = 0, plotMaxRate
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for _, rate := range []float64{slowRate, fastRate} {
		mark := plotter.NewFunction(func(float64) float64 { return rate })
		mark.Dashes = plotutil.Dashes(1)
		p.Add(mark)
	}
	for i, c := range r.curves() {
		l, err := plotter.NewLine(c.points)
		if err != nil {
			return errors.Wrapf(err, "plot %s", c.name)
		}
		l.Color = plotutil.Color(i)
		l.Width = vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(c.name, l)
	}
	to, err := p.WriterTo(24*vg.Centimeter, 12*vg.Centimeter, "png")
	if err != nil {
		return errors.Wrap(err, "draw burn report")
	}
	if _, err := to.WriteTo(w); err != nil {
		return errors.Wrap(err, "write burn report")
	}
	return nil
}

// curves returns the curves with the highest peaks, highest first and then by
// name.
func (r *Report) curves() []curve {
	var list []curve
	for k, s := range r.series {
		list = append(list, r.curve(k, s))
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].peak != list[j].peak {
			return list[i].peak > list[j].peak
		}
		return list[i].name < list[j].name
	})
	return list[:min(len(list), maxCurves)]
}

// curve returns the curve of a service's total.
func (r *Report) curve(k lineKey, s map[uint32]*outcomes) curve {
	c := curve{
		name: k.pair.service + " " + k.objective.String(),
	}
	for start, v := range s {
		rate := r.rate(k, v.good, v.bad)
		c.peak = max(c.peak, rate)
		c.points = append(c.points, plotter.XY{
			X: -float64(ageOf(r.now, start)) / 60,
			Y: min(rate, plotMaxRate),
		})
	}
	sort.Slice(c.points, func(i, j int) bool { return c.points[i].X < c.points[j].X })
	return c
}
