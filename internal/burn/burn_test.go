package burn

import (
	"bytes"
	"fmt"
	"image/png"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/internal/wire"
	"clementinelink.example/clementinelink/internal/world"
)

// at returns the time that is the given number of minutes after a fixed one.
func at(minute int) time.Time {
	return time.Unix(1_700_000_040, 0).Add(time.Duration(minute) * time.Minute)
}

// TestScripts guards against wrong reports: counts that move between windows when
// rows are compacted, refused minutes that are counted twice or lost when the
// replies of VMs are merged, and a VM without an answer that isn't listed.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		ledgers := map[string]*Ledger{}
		config := world.NewConfig(1, nil, nil, []*world.Service{world.NewModelService("pattern", "v1", world.NewContract(time.Minute))}, nil)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var vm, silent string
			var minute, until int
			d.MaybeScanArgs(t, "vm", &vm)
			d.MaybeScanArgs(t, "silent", &silent)
			d.ScanArgs(t, "at", &minute)
			until = minute
			d.MaybeScanArgs(t, "until", &until)
			switch d.Cmd {
			case "record":
				if ledgers[vm] == nil {
					ledgers[vm] = NewLedger()
				}
				for ; minute <= until; minute++ {
					for _, l := range strings.Split(d.Input, "\n") {
						var workspace, objective string
						var good, bad uint32
						if _, err := fmt.Sscan(l, &workspace, &objective, &good, &bad); err != nil {
							t.Fatal(err)
						}
						o, _ := parseObjective(objective)
						s := NewSample("pattern", workspace)
						s.counts[o] = count{
							good: good,
							bad:  bad,
						}
						ledgers[vm].Record(at(minute), s)
					}
					ledgers[vm].CompactIfDue(at(minute))
				}
				return fmt.Sprintf("%d pairs", ledgers[vm].Pairs())
			case "text", "json":
				var replies []*wire.BurnReply
				for name, l := range ledgers {
					if name != silent {
						l.CompactIfDue(at(minute))
						replies = append(replies, l.Reply(at(minute), name, 1, nil))
					}
				}
				r := Merge(at(minute), config, append(replies, replies[0]), strings.Fields(silent))
				var out, plot bytes.Buffer
				if err := r.PNG(&plot); err != nil {
					t.Fatal(err)
				}
				if _, err := png.Decode(&plot); err != nil {
					t.Fatal(err)
				}
				write := r.Text
				if d.Cmd == "json" {
					write = r.JSON
				}
				if err := write(&out); err != nil {
					t.Fatal(err)
				}
				return strings.ReplaceAll(out.String(), "\n\n", "\n")
			}
			return "unknown command"
		})
	})
}

// TestMemory guards against a ledger that needs more than 4 KiB for a workspace
// that is refused in every minute of more than three days.
func TestMemory(t *testing.T) {
	const workspaces = 100
	l := NewLedger()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for m := range spanMinutes + 100 {
		for i := range workspaces {
			s := NewSample("pattern", fmt.Sprintf("workspace-%05d", i))
			s.Count(Refused, false)
			l.Record(at(m), s)
		}
		l.CompactIfDue(at(m))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perWorkspace := int(after.HeapAlloc-before.HeapAlloc) / workspaces
	if perWorkspace > 4096 {
		t.Errorf("%d bytes for each workspace, want at most 4096", perWorkspace)
	}
	for k, v := range l.series {
		if cap(v.rows) > 64 {
			t.Errorf("%v: room for %d rows, want at most 64", k, cap(v.rows))
		}
	}
}
