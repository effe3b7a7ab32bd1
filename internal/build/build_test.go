package build

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/world"
	"clementinelink.example/clementinelink/pkg/decl"
)

// TestConfig guards against a percentage that is not converted into a fraction,
// a move that is not attached to its service, and a missing part that goes
// unnoticed.
func TestConfig(t *testing.T) {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	key := strings.Repeat("0a", 32)
	parts, err := decl.Split(decl.New().
		Region("gabrovo", "gab-mill").
		Model(decl.NewModel("draft", "v1", decl.NewContract(time.Minute)).WithFencing()).
		Plain(decl.NewPlain("orders", decl.NewContract(time.Second),
			decl.NewRoute("status", "GET", "/orders/", time.Second).Repeatable())).
		Workspace("atelier", key, 4, decl.Batch).
		Move(decl.NewMove("draft-v2", "draft", "v1", "v2").Between(start, start.Add(time.Hour)).WithTrial(5)))
	if err != nil {
		t.Fatal(err)
	}
	m, err := Config(7, parts)
	if err != nil {
		t.Fatal(err)
	}
	draft := m.Service("draft")
	if move := draft.Move(); m.Revision() != 7 || !draft.Fenced() || move.UnprovenShare() != 0.05 || draft.Contract().Target() != 0.95 {
		t.Errorf("revision %d, model %+v, move %+v", m.Revision(), draft, move)
	}
	if w := m.WorkspaceByKey(key); w.Class() != world.Batch || w.Weight() != 4 || m.Domain("gab-mill").Region().Name() != "gabrovo" {
		t.Errorf("workspace %+v", w)
	}
	if s, r := m.Route("GET", "/orders/7"); s == nil || s.Move() != nil || !r.Idempotent() {
		t.Errorf("route %+v of %+v", r, s)
	}
	delete(parts, "services")
	if _, err := Config(8, parts); err == nil {
		t.Error("a missing part must be an error")
	}
}

// BenchmarkConfig measures the build of a revision that changes one of the 32
// workspace parts, with 33,000 workspaces in all.
func BenchmarkConfig(b *testing.B) {
	d := decl.New()
	for i := range 33_000 {
		d.Workspace(fmt.Sprintf("workspace-%05d", i), fmt.Sprintf("%064x", i), 1, decl.Batch)
	}
	parts, err := decl.Split(d)
	if err != nil {
		b.Fatal(err)
	}
	name := "workspaces/00"
	values := [][]byte{parts[name], append(bytes.Clone(parts[name]), '\n')}
	builder := NewBuilder()
	for i := 0; b.Loop(); i++ {
		parts[name] = values[i%len(values)]
		if _, err := builder.Config(uint64(i), parts); err != nil {
			b.Fatal(err)
		}
	}
}
