package build

import (
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/world"
	"clementinelink.example/clementinelink/pkg/decl"
)

// TestMap guards the conversion of units: percentages become fractions, and a
// move is attached to its service.
func TestMap(t *testing.T) {
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
	m, err := Map(7, parts)
	if err != nil {
		t.Fatal(err)
	}
	draft := m.Service("draft")
	if move := draft.Move(); m.Revision() != 7 || !draft.Fenced() || move.Trial() != 0.05 || draft.Contract().Target() != 0.95 {
		t.Errorf("revision %d, model %+v, move %+v", m.Revision(), draft, move)
	}
	if w := m.Owner(key); w.Class() != world.Batch || w.Weight() != 4 || m.Domain("gab-mill").Region().Name() != "gabrovo" {
		t.Errorf("workspace %+v", w)
	}
	if s, r := m.Route("GET", "/orders/7"); s == nil || s.Move() != nil || !r.Idempotent() {
		t.Errorf("route %+v of %+v", r, s)
	}
	delete(parts, "services")
	if _, err := Map(8, parts); err == nil {
		t.Error("a missing part must be an error")
	}
}
