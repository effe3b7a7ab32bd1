package pool

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/load"
	"clementinelink.example/clementinelink/internal/stand"
	"github.com/cockroachdb/datadriven"
)

// TestScripts guards the choice of upstreams and the records of their health: a
// failed failure domain must not get new work, a copy must not share the
// failure domain of its run, an upstream that left must not be used again, and a plain
// upstream that is slow for a moment must get less work, but not for longer.
// Times are in milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var reports strings.Builder
		quiet := false
		p := New("r1", "a", 1).WithObserver(func(c stand.Change) {
			fmt.Fprintf(&reports, "%s is %s: %s, after %d ms", c.Upstream(), c.State(), c.Cause(), c.Age().Milliseconds())
			if c.Limit() > 0 {
				fmt.Fprintf(&reports, ", %g a second", c.Limit())
			}
			if c.Rest() > 0 {
				fmt.Fprintf(&reports, ", for %d ms", c.Rest().Milliseconds())
			}
			reports.WriteByte('\n')
		}, func(id string, f stand.InvalidField) {
			fmt.Fprintf(&reports, "%s: %s=%q is ignored\n", id, f.Name(), f.Value())
		})
		p.random = func() float64 { return 0 }
		base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		now := base
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.HasArg("at") {
				now = base.Add(time.Duration(number(t, d, "at")) * time.Millisecond)
			}
			reports.Reset()
			result := runCommand(t, p, now, d)
			if quiet = quiet || d.Cmd == "quiet"; quiet {
				return result
			}
			return reports.String() + result
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
			p.Upsert(now, NewEntry(EntrySpec{
				ID:      f[0],
				Service: "s",
				Address: f[1],
				Domain:  f[2],
				Region:  region,
				Slots:   slots(f),
				Leaving: slices.Contains(f, "leaving"),

				StartedAt: startedAt(now, f),
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
	case "load":
		r := load.Report{}.WithSlots(number(t, d, "slots")).WithSlowDown(number(t, d, "speed"))
		if d.HasArg("running") {
			r = r.WithCounts(number(t, d, "running"), number(t, d, "waiting"))
		}
		p.ReportLoad(now, u, r)
		return fmt.Sprintf("slots %d, crowded %t\n", u.Slots(), u.Crowded(now))
	case "crowded":
		return fmt.Sprintln(u.Crowded(now))
	case "slow":
		return fmt.Sprintln(p.Count(func(u *Upstream) bool { return u.Load().Slow(now) }))
	case "success":
		u.RecordSuccess(now)
	case "fault":
		u.RecordFault(now)
	case "state":
		p.UpdateState(now, u, NewState(StateSpec{
			Running:    number(t, d, "running"),
			Prefilling: number(t, d, "prefilling"),
			Used:       number(t, d, "used"),
			Memory:     55000,
		}))
	case "add-provisional":
		as := ""
		d.ScanArgs(t, "as", &as)
		p.AddProvisional(now, u, as, NewState(StateSpec{}))
	case "replaced":
		// Each of some incarnations is replaced at its address by the next one.
		for i := range number(t, d, "count") {
			id := fmt.Sprintf("%s-%d", u.ID(), i)
			p.AddProvisional(now.Add(time.Duration(i)*time.Millisecond), u.Latest(), id, NewState(StateSpec{}))
		}
	case "hear":
		hear(t, p, now, u, d)
	case "quiet":
	case "hear-unknown":
		for i := range number(t, d, "count") {
			p.Hear(now.Add(time.Duration(i)*time.Millisecond), nil, fmt.Sprintf("x%d", i), stand.NewStatement("").WithLeaving(), "answer")
		}
		reports := ""
		for _, id := range []string{"x0", "x1", fmt.Sprintf("x%d", number(t, d, "count")-1)} {
			reports += fmt.Sprintln(id, p.Refuses(now, id))
		}
		return reports
	case "vms":
		p.SetVMs("a", strings.Fields(d.Input))
	case "take":
		u.TakeAhead(now)
	case "earliest":
		u, at := p.Earliest(now, NewNeed("s").WithOthers(number(t, d, "others")), func(*Upstream) bool { return false })
		if u == nil {
			return "none\n"
		}
		return fmt.Sprintf("%s in %d ms, every %d ms\n", u.ID(), at.Sub(now).Milliseconds(), p.Interval(now, "s").Milliseconds())
	case "end-rests":
		p.EndRests(now)
	case "message":
		return fmt.Sprintln(u.PermitMessage(now))
	case "query":
		return fmt.Sprintln(u.PermitQuery(now))
	case "gate":
		return fmt.Sprintln(u.Gate().Open(now))
	case "count":
		return fmt.Sprintln(p.CountByState(now))
	case "first-return":
		first, ok := p.FirstReturn(now, "s", func(*Upstream) bool { return false })
		if !ok {
			return "none\n"
		}
		return fmt.Sprintf("in %d ms\n", first.Sub(now).Milliseconds())
	case "random":
		fixed := float64(number(t, d, "percent")) / 100
		p.random = func() float64 { return fixed }
	case "refuses":
		return fmt.Sprintln(p.Refuses(now, id))
	case "latest":
		return u.Latest().ID() + "\n"
	case "pick":
		return pick(t, p, now, d)
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return ""
}

// slots returns 6, or 0 for an upstream whose slots the registry does not state.
func slots(f []string) int {
	if slices.Contains(f, "no-slots") {
		return 0
	}
	return 6
}

// startedAt returns now minus N milliseconds for the field "age=N", or 0 if there
// is none.
func startedAt(now time.Time, f []string) int64 {
	for _, word := range f {
		if text, ok := strings.CutPrefix(word, "age="); ok {
			n, _ := strconv.ParseInt(text, 10, 64)
			return now.UnixMilli() - n
		}
	}
	return 0
}

// hear applies a statement. The upstream is not known with the argument unsent.
func hear(t *testing.T, p *Pool, now time.Time, u *Upstream, d *datadriven.TestData) {
	text := func(key string) string {
		value := ""
		if d.HasArg(key) {
			d.ScanArgs(t, key, &value)
		}
		return value
	}
	s := stand.NewStatement(text("by"))
	if d.HasArg("leaving") {
		s = s.WithLeaving()
	}
	s = s.WithRest(time.Duration(number(t, d, "rest")) * time.Millisecond)
	if d.HasArg("limit") {
		var limit float64
		if _, err := fmt.Sscan(text("limit"), &limit); err != nil {
			t.Fatalf("%s: %v", d.Pos, err)
		}
		s = s.WithLimit(limit)
	}
	if d.HasArg("unlimited-since") {
		s = s.WithoutLimit(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(number(t, d, "unlimited-since")) * time.Millisecond))
	}
	if d.HasArg("invalid") {
		s = s.WithInvalid("field", text("invalid"))
	}
	if d.HasArg("invalid-once") {
		s = s.WithInvalidOnce("load", text("invalid-once"))
	}
	if d.HasArg("unsent") {
		u = nil
	}
	p.Hear(now, u, text("id"), s, "answer")
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
