package blame

import (
	"fmt"
	"testing"
	"time"
)

// TestBounds guards against memory that grows with the number of prompt parts, of
// which callers may send any number.
func TestBounds(t *testing.T) {
	const prompts = 1_000_000 / MaxParts
	c := New("vm1")
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range prompts {
		now = now.Add(time.Millisecond)
		spec := RunSpec{
			Service: "llm",
			Version: "v1",
			Engine:  fmt.Sprintf("e%d", i),
			Domain:  "a",
			Session: fmt.Sprintf("s%d", i),
		}
		for j := range MaxParts {
			spec.Parts = append(spec.Parts, fmt.Sprintf("p%d-%d", i, j))
		}
		c.Survived(now, NewRun(now, spec))
		c.Collect(now, NewRun(now, spec))
		if n := c.ledger.Len(); n > maxSuspects {
			t.Fatalf("%d suspects after %d prompts, want at most %d", n, i+1, maxSuspects)
		}
		if n := c.survivals.Len(); n > maxSurvivals {
			t.Fatalf("%d survivals after %d prompts, want at most %d", n, i+1, maxSurvivals)
		}
	}
	for i := range 2 * maxCharges {
		c.Learn(now, NewCharge("llm", []string{fmt.Sprintf("p%d", i)}, "v1", false))
		if n := len(c.charges); n > maxCharges {
			t.Fatalf("%d charges after %d were learned, want at most %d", n, i+1, maxCharges)
		}
	}
	if c.ledger.order.Len() != c.ledger.Len() || len(c.survivals.byPart) > c.survivals.Len() {
		t.Errorf("%d records in order for %d suspects, %d parts for %d survivals", c.ledger.order.Len(), c.ledger.Len(), len(c.survivals.byPart), c.survivals.Len())
	}
}
