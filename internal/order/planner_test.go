package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var epoch = time.Unix(1_700_000_000, 0).UTC()

// TestPlanner guards against loads that start too fast or in one failure domain,
// orders sent without a lease or before the wait-out, orders repeated needlessly or
// under another ID, late reports of a missed goal, and versions that stay loaded
// after a roll-back. Commands:
//
//	new interval=D load=D
//	want version=V fraction=F by=T
//	stop version=V until=T
//	answer engine=E reply=N
//	step at=T fence=N until=T waitout=T
//	                                    engines as "NAME DOMAIN INC AGE FENCED BUSY VERSION...",
//	                                    or empty for those of the previous step
func TestPlanner(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var p *Planner
		sent := make(map[string]Action)
		ids := make(map[string]string)
		fleet := ""
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := &strings.Builder{}
			span := func(name string) time.Duration {
				text := "0s"
				d.MaybeScanArgs(t, name, &text)
				v, err := time.ParseDuration(text)
				if err != nil {
					t.Fatal(err)
				}
				return v
			}
			version, fraction, fence, reply := "", 0.0, 0, 0
			d.MaybeScanArgs(t, "version", &version)
			d.MaybeScanArgs(t, "fence", &fence)
			switch d.Cmd {
			case "new":
				p = NewPlanner("m", span("interval"), span("load"))
			case "want":
				d.ScanArgs(t, "fraction", &fraction)
				p.Want(version, fraction, epoch.Add(span("by")))
			case "stop":
				p.Stop(version, epoch.Add(span("until")))
			case "answer":
				var engine string
				d.ScanArgs(t, "engine", &engine)
				d.ScanArgs(t, "reply", &reply)
				p.Answer(sent[engine].ID(), sent[engine].Fence(), Reply(reply))
			case "step":
				if d.Input != "" {
					fleet = d.Input
				}
				now := epoch.Add(span("at"))
				in := NewInput(parseEngines(t, fleet, now)...).WithLease(uint64(fence), epoch.Add(span("until")), epoch.Add(span("waitout")))
				for _, a := range p.Step(now, in) {
					printAction(out, a, ids)
					if a.Kind() == Send {
						sent[a.Engine()] = a
					}
				}
			}
			return out.String()
		})
	})
}

func parseEngines(t *testing.T, fleet string, now time.Time) []Engine {
	var list []Engine
	for line := range strings.Lines(fleet) {
		f := strings.Fields(line)
		var incarnation uint64
		if _, err := fmt.Sscan(f[2], &incarnation); err != nil {
			t.Fatal(err)
		}
		age, err := time.ParseDuration(f[3])
		if err != nil {
			t.Fatal(err)
		}
		e := NewEngine(f[0], f[1], incarnation, now.Add(-age), f[6:]...)
		if f[4] == "fenced" {
			e = e.WithFencing()
		}
		if f[5] != "-" {
			e = e.WithBusy(f[5])
		}
		list = append(list, e)
	}
	return list
}

// printAction writes an action. IDs are replaced by numbers in the order of their
// first use.
func printAction(out *strings.Builder, a Action, ids map[string]string) {
	if a.ID() != "" && ids[a.ID()] == "" {
		ids[a.ID()] = fmt.Sprintf("order%d", len(ids)+1)
	}
	switch a.Kind() {
	case Send:
		fmt.Fprintf(out, "send %s %s %s to %s fence %d\n", ids[a.ID()], a.Op(), a.Version(), a.Engine(), a.Fence())
	case Failed:
		fmt.Fprintf(out, "failed %s on %s\n", ids[a.ID()], a.Engine())
	case Late:
		fmt.Fprintf(out, "late %s: %d of %d, expected at %s\n", a.Version(), a.Ready(), a.Wanted(), a.Expected().Sub(epoch))
	case OnTime:
		fmt.Fprintf(out, "on time %s: %d of %d\n", a.Version(), a.Ready(), a.Wanted())
	}
}
