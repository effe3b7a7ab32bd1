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

// at returns a time that is the given number of minutes after a fixed one.
func at(minute int) time.Time {
	return time.Unix(1_700_000_040, 0).Add(time.Duration(minute) * time.Minute)
}

// TestScripts guards the report: counts that move between windows when rows
// are folded, refused minutes that are counted twice or lost when VMs are
// merged, and a silent VM that is not named.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		ledgers := map[string]*Ledger{}
		config := world.NewMap(1, nil, nil, []*world.Service{world.NewModel("pattern", "v1", world.NewContract(time.Minute))}, nil)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var vm, silent string
			var minute, until int
			d.MaybeScanArgs(t, "vm", &vm)
			d.MaybeScanArgs(t, "silent", &silent)
			d.ScanArgs(t, "at", &minute)
			until = minute
			d.MaybeScanArgs(t, "until", &until)
			switch d.Cmd {
			case "take":
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
						o, _ := named(objective)
						s := NewSample("pattern", workspace)
						s.counts[o] = count{
							good: good,
							bad:  bad,
						}
						ledgers[vm].Take(at(minute), s)
					}
					ledgers[vm].Tick(at(minute))
				}
				return fmt.Sprintf("%d sheets", ledgers[vm].Sheets())
			case "text", "json":
				var replies []*wire.BurnReply
				for name, l := range ledgers {
					if name != silent {
						l.Tick(at(minute))
						replies = append(replies, l.Reply(at(minute), name, 1, nil))
					}
				}
				r := Merge(at(minute), config, append(replies, replies[0]), strings.Fields(silent))
				var o, image bytes.Buffer
				if err := r.PNG(&image); err != nil {
					t.Fatal(err)
				}
				if _, err := png.Decode(&image); err != nil {
					t.Fatal(err)
				}
				write := r.Text
				if d.Cmd == "json" {
					write = r.JSON
				}
				if err := write(&o); err != nil {
					t.Fatal(err)
				}
				return strings.ReplaceAll(o.String(), "\n\n", "\n")
			}
			return "unknown command"
		})
	})
}

// TestMemory guards the bound on memory: a workspace that is busy and refused
// in every minute of more than three days.
func TestMemory(t *testing.T) {
	const many = 100
	l := NewLedger()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for m := range span + 100 {
		for i := range many {
			s := NewSample("pattern", fmt.Sprintf("workspace-%05d", i))
			s.Count(Refused, false)
			l.Take(at(m), s)
		}
		l.Tick(at(m))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := int(after.HeapAlloc-before.HeapAlloc) / many
	if each > 4096 {
		t.Errorf("%d bytes for each workspace, want at most 4096", each)
	}
	for k, v := range l.sheets {
		if cap(v.rows) > 64 {
			t.Errorf("%v: room for %d rows, want at most 64", k, cap(v.rows))
		}
	}
}
