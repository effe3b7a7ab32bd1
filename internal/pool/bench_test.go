package pool

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCountByState measures the count of 3,000 upstreams by state, which
// the dispatcher runs once per second.
func BenchmarkCountByState(b *testing.B) {
	p := New("r", "a", 1)
	now := time.Unix(1_700_000_000, 0)
	for i := range 3000 {
		p.Upsert(now, NewEntry(EntrySpec{
			ID:      fmt.Sprintf("u%d", i),
			Service: "llm",
			Domain:  "a",
			Address: fmt.Sprintf("h%d", i),
		}))
	}
	for b.Loop() {
		p.CountByState(now)
	}
}
