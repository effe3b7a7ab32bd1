package slope

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestFit guards against a wrong line or an understated error. All figures in
// docs/CAPACITY.md are derived from such fits.
func TestFit(t *testing.T) {
	datadriven.RunTest(t, "testdata/fit", func(t *testing.T, d *datadriven.TestData) string {
		var points []Point
		for line := range strings.Lines(d.Input) {
			var size, cost float64
			if _, err := fmt.Sscan(line, &size, &cost); err != nil {
				t.Fatal(err)
			}
			points = append(points, NewPoint(size, cost))
		}
		l, err := Fit(points)
		if err != nil {
			return errors.UnwrapAll(err).Error() + "\n"
		}
		var text string
		d.ScanArgs(t, "at", &text)
		at, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		cost, band := l.At(at)
		return fmt.Sprintf("cost = %.4g + %.4g * size, slope error %.4g, residual %.4g, at %g: %.4g ± %.4g\n",
			l.Intercept(), l.Slope(), l.SlopeError(), l.Residual(), at, cost, band)
	})
}

// TestRun guards against a Bench that uses another repetition than the one with
// the lowest cost, that measures a size twice after scaling, or that hides the
// error of a probe.
func TestRun(t *testing.T) {
	calls := 0
	p := &Probe{
		name:  "probe",
		sizes: []int{2, 3, 500, 900},
		measure: func(_ context.Context, _ *Bench, size int) (float64, error) {
			calls++
			return float64(10*size + calls%repeats), nil
		},
	}
	r, err := NewBench(0, 0, 100, nil).Run(t.Context(), p)
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(r.Points()); got != "[{1 10} {2 20} {5 50} {9 90}]" {
		t.Errorf("points %s", got)
	}
	p.measure = func(context.Context, *Bench, int) (float64, error) { return 0, ErrPoints }
	if _, err := NewBench(0, 0, 1, nil).Run(t.Context(), p); !errors.Is(err, ErrPoints) {
		t.Errorf("error %v", err)
	}
}
