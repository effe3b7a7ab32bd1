package slope

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Row is the result of a probe: its measured points and the line fitted to them.
type Row struct {
	probe  *Probe
	points []Point
	line   Line
}

// Name returns the probe's name.
func (r *Row) Name() string { return r.probe.name }

// Points returns the measured points. The caller must not modify them.
func (r *Row) Points() []Point { return r.points }

// Line returns the line fitted to the points.
func (r *Row) Line() Line { return r.line }

// rowBody is the JSON form of a row.
type rowBody struct {
	Name       string       `json:"name"`
	Size       string       `json:"size"`
	Unit       string       `json:"unit"`
	Points     [][2]float64 `json:"points"`
	Intercept  float64      `json:"intercept"`
	Slope      float64      `json:"slope"`
	SlopeError float64      `json:"error"`
	Residual   float64      `json:"residual"`
	Target     float64      `json:"target"`
	Cost       float64      `json:"cost"`
	CostError  float64      `json:"band"`
}

// MarshalJSON implements json.Marshaler. "error" is the standard error of the
// slope, "cost" the predicted cost at the size "target", and "band" the standard
// error of that prediction.
func (r *Row) MarshalJSON() ([]byte, error) {
	body := rowBody{
		Name:       r.probe.name,
		Size:       r.probe.dimension,
		Unit:       r.probe.unit,
		Intercept:  r.line.intercept,
		Slope:      r.line.slope,
		SlopeError: r.line.slopeError,
		Residual:   r.line.residual,
		Target:     r.probe.target,
	}
	body.Cost, body.CostError = r.line.At(body.Target)
	for _, p := range r.points {
		body.Points = append(body.Points, [2]float64{p.size, p.cost})
	}
	data, err := json.Marshal(body)
	return data, errors.Wrap(err, "slope: encode row")
}

// Table formats rows as a text table with a header and one line each.
func Table(rows []*Row) string {
	b := &strings.Builder{}
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "probe\tunit\tsize\tpoints\tintercept\tslope\tslope error\tresidual\ttarget\tcost at target")
	for _, r := range rows {
		points := make([]string, len(r.points))
		for i, p := range r.points {
			points[i] = fmt.Sprintf("%g:%.4g", p.size, p.cost)
		}
		cost, costError := r.line.At(r.probe.target)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t%.3g\t%g\t%.4g ± %.2g\n",
			r.probe.name, r.probe.unit, r.probe.dimension, strings.Join(points, " "),
			r.line.intercept, r.line.slope, r.line.slopeError, r.line.residual, r.probe.target, cost, costError)
	}
	_ = w.Flush()
	return b.String()
}
