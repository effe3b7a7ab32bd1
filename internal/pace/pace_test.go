package pace

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPace guards the attempts of a stream against being used up in milliseconds at
// upstreams that crash together. Times are in milliseconds.
func TestPace(t *testing.T) {
	base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var p Pace
	since := func(at time.Time) string {
		if at.IsZero() {
			return "-"
		}
		return fmt.Sprint(at.Sub(base).Milliseconds())
	}
	datadriven.RunTest(t, "testdata/pace", func(t *testing.T, d *datadriven.TestData) string {
		at, left, heard := 0, 5, 0
		for key, value := range map[string]*int{"at": &at, "left": &left, "heard": &heard} {
			if d.HasArg(key) {
				d.ScanArgs(t, key, value)
			}
		}
		switch d.Cmd {
		case "ended":
			p.Ended(base.Add(time.Duration(at)*time.Millisecond), !d.HasArg("refused"), d.HasArg("lasted"))
		case "begun":
			p.Begun()
		default:
			t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		}
		return fmt.Sprintf("due %s, %s if all have failed; an upstream heard %d ms before: %v\n", since(p.Due(left, true)), since(p.Due(left, false)), heard, p.Permits(base.Add(time.Duration(at-heard)*time.Millisecond), left))
	})
}
