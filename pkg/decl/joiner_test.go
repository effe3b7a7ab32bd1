package decl_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinelink.example/clementinelink/pkg/decl"
)

// TestJoinerReuse guards against a joiner that keeps an object of an earlier
// revision, or misses a fault, because it reuses a decoded part. After any
// sequence of revisions it must return the same as decoding all parts.
func TestJoinerReuse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := decl.NewJoiner()
		for range 4 {
			parts := drawParts(t)
			got, gotErr := j.Join(maps.Clone(parts))
			want, wantErr := decl.Join(parts)
			if fmt.Sprint(gotErr) != fmt.Sprint(wantErr) {
				t.Fatalf("error %v, want %v", gotErr, wantErr)
			}
			if gotErr == nil && len(decl.Diff(got, want)) > 0 {
				t.Fatalf("differences %v", decl.Diff(got, want))
			}
		}
	})
}

// drawParts returns the parts of a small declaration, which may be invalid or
// incomplete.
func drawParts(t *rapid.T) map[string][]byte {
	d := decl.New().Region("gabrovo", "gab-mill").
		Model(decl.NewModel("draft", "v1", decl.NewContract(time.Minute)))
	for i := range rapid.IntRange(0, 4).Draw(t, "workspaces") {
		key := strings.Repeat(fmt.Sprintf("%02x", i), 32)
		d.Workspace(fmt.Sprintf("w%d", i), key, rapid.IntRange(0, 2).Draw(t, "weight"), decl.Batch)
	}
	parts, err := decl.Split(d)
	if err != nil {
		t.Fatal(err)
	}
	name := rapid.SampledFrom(decl.PartNames()).Draw(t, "part")
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		parts[name] = []byte("{")
	case 1:
		parts[name] = []byte(`{"workspaces":[{"name":"w0","key":"00"}]}`)
	case 2:
		delete(parts, name)
	}
	return parts
}
