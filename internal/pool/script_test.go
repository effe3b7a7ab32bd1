package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards the choice of upstreams and the records of their health: a
// failed failure domain must not get new work, a copy must not share the
// failure domain of its run, and an upstream that left must not be used again.
// Times are in milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		p := New("r1", "a", 1)
		p.random = func() float64 { return 0 }
		base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		now := base
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.HasArg("at") {
				now = base.Add(time.Duration(number(t, d, "at")) * time.Millisecond)
			}
			return runCommand(t, p, now, d)
		})
	})
}

func runCommand(t *testing.T, p *Pool, now time.Time, d *datadriven.TestData) string {
	id := ""
	if d.HasArg("id") {
		d.ScanArgs(t, "id", &id)
	}
	u := p.Get(id)
	switch d.Cmd {
	case "list":
		for _, l := range strings.Split(d.Input, "\n") {
			f := strings.Fields(l)
			region := "r1"
			if f[2] == "c" {
				region = "r2"
			}
			p.Upsert(NewEntry(EntrySpec{
				ID:      f[0],
				Service: "s",
				Address: f[1],
				Domain:  f[2],
				Region:  region,
				Slots:   6,
				Leaving: len(f) > 3,
			}))
		}
	case "remove":
		p.Remove(id)
	case "add-attempt":
		u.AddAttempt(now, number(t, d, "tokens"), d.HasArg("prefilling"))
	case "remove-attempt":
		u.RemoveAttempt(number(t, d, "tokens"), d.HasArg("prefilling"))
	case "unreachable":
		p.RecordUnreachable(now, u)
	case "success":
		u.RecordSuccess(now)
	case "fault":
		u.RecordFault(now)
	case "state":
		u.UpdateState(now, NewState(StateSpec{
			Running:    number(t, d, "running"),
			Prefilling: number(t, d, "prefilling"),
			Used:       number(t, d, "used"),
			Memory:     55000,
		}))
	case "add-provisional":
		as := ""
		d.ScanArgs(t, "as", &as)
		p.AddProvisional(now, u, as, NewState(StateSpec{}))
	case "latest":
		return u.Latest().ID() + "\n"
	case "pick":
		return pick(t, p, now, d)
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return ""
}

func pick(t *testing.T, p *Pool, now time.Time, d *datadriven.TestData) string {
	n := NewNeed("s")
	if d.HasArg("tokens") {
		n = n.WithTokens(number(t, d, "tokens"), 55000).WithPrompt("x")
	}
	skipNone := func(*Upstream) bool { return false }
	if d.HasArg("candidates") {
		var ids []string
		for _, u := range p.Candidates(now, n, skipNone, number(t, d, "candidates")) {
			ids = append(ids, u.ID())
		}
		return strings.Join(ids, " ") + "\n"
	}
	u := p.Pick(now, n, skipNone)
	if d.HasArg("copy") {
		primary := ""
		d.ScanArgs(t, "copy", &primary)
		u = p.PickCopy(now, n, p.Get(primary), skipNone)
	}
	if u == nil {
		return "none\n"
	}
	return fmt.Sprintln(u.ID(), u.Entry().Domain())
}

func number(t *testing.T, d *datadriven.TestData, key string) int {
	n := 0
	if d.HasArg(key) {
		d.ScanArgs(t, key, &n)
	}
	return n
}
