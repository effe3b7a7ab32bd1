package follow

import (
	"fmt"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
)

// BenchmarkListed measures the first list of a registry of 3,000 upstreams.
func BenchmarkListed(b *testing.B) {
	var entries []store.Entry
	for i := range 3000 {
		entries = append(entries, store.NewEntry(fmt.Sprintf("upstreams/i-%08x", i*7919), nil, uint64(i+1), ""))
	}
	for b.Loop() {
		NewState().Listed(time.Unix(0, 0), entries, 3000)
	}
}
