package move

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMergeOrder guards against evidence whose rows or totals depend on the order
// in which peers deliver rows, or on how often they deliver them.
func TestMergeOrder(t *testing.T) {
	type row struct {
		key    Key
		counts Counts
	}
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) row {
			n := rapid.Uint64Range(0, 9)
			return row{
				key: NewKey("vm", n.Draw(t, "incarnation")%2, "draft", rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
					"a", "batch", planStart.Add(time.Duration(n.Draw(t, "minute")%3)*time.Minute)),
				counts: NewCounts(9, n.Draw(t, "errors"), n.Draw(t, "truncated"), 0, n.Draw(t, "gaps")),
			}
		}), 0, 20).Draw(t, "rows")
		a, b := NewEvidenceSet(), NewEvidenceSet()
		for _, r := range rows {
			a.Merge(r.key, r.counts)
		}
		for _, r := range rapid.Permutation(append(slices.Clone(rows), rows...)).Draw(t, "again") {
			b.Merge(r.key, r.counts)
		}
		x, y := NewEvaluator(a, "draft", "v1", "v2").Assess(planStart), NewEvaluator(b, "draft", "v1", "v2").Assess(planStart)
		if !maps.Equal(a.rows, b.rows) || !maps.Equal(a.successes, b.successes) || *x != *y {
			t.Fatalf("rows %v and %v, findings %+v and %+v", a.rows, b.rows, x, y)
		}
	})
}
