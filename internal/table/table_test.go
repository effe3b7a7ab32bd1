package table

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards the choice of route and service and the identification of
// engines. A wrong match runs a request at a service that the configuration does
// not allow for it.
func TestScripts(t *testing.T) {
	tb := New(7, NewLimits(1, 2, time.Second, time.Minute))
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		var b strings.Builder
		for _, l := range strings.Split(d.Input, "\n") {
			f := strings.Fields(l)
			switch d.Cmd {
			case "routes":
				tb.AddRoute(NewRoute(RouteSpec{
					Name:   f[0],
					Host:   f[1],
					Prefix: f[2],
					Shares: shares(f[3:]),
				}))
			case "engines":
				tb.AddService(NewService(f[0], "/h", NewEngine(8, len(f[1]), true, f[2:]...)))
			case "match":
				if r := tb.Match(f[0], f[1]); r != nil {
					b.WriteString(r.Name() + "\n")
				} else {
					b.WriteString("none\n")
				}
			case "draw":
				r := tb.Match(f[0], f[1])
				b.WriteString(r.Service(0) + " " + r.Service(0.5) + " " + r.Service(0.99) + "\n")
			case "identify":
				b.WriteString("<" + tb.Identify(len(f[0]), f[1:]) + ">\n")
			default:
				t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
			}
		}
		return b.String()
	})
}

// shares returns shares of the services with the weights 1, 2 and so on.
func shares(names []string) []Share {
	var list []Share
	for i, n := range names {
		list = append(list, NewShare(n, i+1))
	}
	return list
}

// TestKeys guards against keys of another workspace being accepted, and against
// the rank of a route overriding that of a workspace.
func TestKeys(t *testing.T) {
	tb := New(1, Limits{})
	if tb.RequiresKeys() {
		t.Error("keys are needed without workspaces")
	}
	tb.AddWorkspace(NewWorkspace("mill", 2), []string{"k1", "k2"})
	tb.AddWorkspace(NewWorkspace("desk", -1), nil)
	r := NewRoute(RouteSpec{
		Priority: 5,
	})
	if w := tb.WorkspaceForKey("k2"); !tb.RequiresKeys() || w == nil || w.Name() != "mill" || w.Rank(r) != 2 {
		t.Errorf("workspace for k2: %v", w)
	}
	if tb.WorkspaceForKey("k3") != nil || tb.WorkspaceForKey("") != nil {
		t.Error("an unknown key has a workspace")
	}
	if NewWorkspace("desk", -1).Rank(r) != 5 {
		t.Error("the route does not decide the rank")
	}
}
