package study

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestCases guards against a changed result of any behaviour under any fault, for
// fixed seeds: the final state and its time, the number of final records, whether
// every VM followed it at the deadline, and the test that decided it.
func TestCases(t *testing.T) {
	datadriven.RunTest(t, "testdata/cases", func(t *testing.T, d *datadriven.TestData) string {
		var seed int
		d.ScanArgs(t, "seed", &seed)
		b := slices.Index(behaviourNames[:], d.Cmd)
		if b < 0 {
			t.Fatalf("no behaviour %s", d.Cmd)
		}
		out := &strings.Builder{}
		for f := range Faults {
			r := Run(NewCase(Behaviour(b), f, false), uint64(seed))
			reason, _, _ := strings.Cut(r.Reason(), " (")
			fmt.Fprintf(out, "%s: %s at %.0f s, on time %v, final records %d, bad requests %d: %s\n",
				f, r.State(), r.FinalAt(), r.OnTime(), r.FinalRecords(), r.BadRequests(), reason)
		}
		return out.String()
	})
}
