package feed

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/cockroachdb/datadriven"
)

var base = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestSelector guards against choices of sources in which a failing VM delays the
// others repeatedly, or two VMs ask only each other and neither asks the store.
// Times are in milliseconds.
func TestSelector(t *testing.T) {
	var o *Selector
	datadriven.RunTest(t, "testdata/selector", func(t *testing.T, d *datadriven.TestData) string {
		now := base.Add(time.Duration(number(t, d, "at")) * time.Millisecond)
		v := tree.NewVM(text(t, d, "vm"), "", 0)
		switch d.Cmd {
		case "vms":
			o = NewSelector(text(t, d, "self"))
			o.Set(vms(t, d))
		case "sources":
			var names []string
			for _, v := range o.Sources(now) {
				name := v.Name()
				if v.IsStore() {
					name = "store"
				}
				names = append(names, name)
			}
			return strings.Join(names, " ") + "\n"
		case "failed":
			o.Failed(now, v)
		case "behind":
			o.Behind(now, v)
		case "answered":
			o.Answered(v)
		default:
			t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		}
		return ""
	})
}

// vms parses lines "NAME LINK" with the link's bandwidth in Mbit/s. A VM's
// address is its name. The argument count adds VMs n0, n1 and so on with ever
// narrower links.
func vms(t *testing.T, d *datadriven.TestData) []tree.VM {
	var list []tree.VM
	for i := range number(t, d, "count") {
		name := fmt.Sprintf("n%d", i)
		list = append(list, tree.NewVM(name, name, float64(1000-i)))
	}
	for l := range strings.Lines(d.Input) {
		f := strings.Fields(l)
		link, err := strconv.ParseFloat(f[1], 64)
		if err != nil {
			t.Fatalf("%s: %v", d.Pos, err)
		}
		list = append(list, tree.NewVM(f[0], f[0], link))
	}
	return list
}

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

func number(t *testing.T, d *datadriven.TestData, key string) int {
	n := 0
	if d.HasArg(key) {
		d.ScanArgs(t, key, &n)
	}
	return n
}

func text(t *testing.T, d *datadriven.TestData, key string) string {
	s := ""
	if d.HasArg(key) {
		d.ScanArgs(t, key, &s)
	}
	return s
}
