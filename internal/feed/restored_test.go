package feed

import (
	"fmt"
	"strings"
	"testing"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/datadriven"
)

// position parses a revision, or a position "ERA:REVISION"; "" is 0.
func position(t *testing.T, d *datadriven.TestData, s string) uint64 {
	if s == "" {
		return 0
	}
	if !strings.Contains(s, ":") {
		s = "0:" + s
	}
	var era, revision uint64
	if _, err := fmt.Sscanf(s, "%d:%d", &era, &revision); err != nil {
		t.Fatalf("%s: position %q: %v", d.Pos, s, err)
	}
	return store.Position(era, revision)
}
