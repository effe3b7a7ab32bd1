package tree

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestTree guards against a change of the store that several VMs carry over the link
// between two regions, a VM on a narrow link that many others ask, and VMs that ask
// each other in a circle.
func TestTree(t *testing.T) {
	datadriven.RunTest(t, "testdata/tree", func(t *testing.T, d *datadriven.TestData) string {
		vms := parse(t, d)
		var out strings.Builder
		switch d.Cmd {
		case "parents":
			for _, v := range vms {
				parent := "store"
				if before := New(v.name, vms).Before(); len(before) > 0 {
					parent = before[0].name
				}
				fmt.Fprintf(&out, "%s %s\n", v.name, parent)
			}
		case "asks":
			self := ""
			d.ScanArgs(t, "self", &self)
			tree := New(self, vms)
			fmt.Fprintf(&out, "before%s\nafter%s\n", names(tree.Before()), names(tree.After()))
		case "shape":
			shape(&out, vms)
		default:
			d.Fatalf(t, "unknown command %q", d.Cmd)
		}
		return out.String()
	})
}

// shape prints the largest number of VMs that ask one, the largest number of steps from
// the store, and how many VMs ask one of another region or failure domain.
func shape(out *strings.Builder, vms []VM) {
	parents := make(map[string]VM)
	children := make(map[string]int)
	regions, domains, readers := 0, 0, 0
	for _, v := range vms {
		before := New(v.name, vms).Before()
		if len(before) == 0 {
			readers++
			continue
		}
		parents[v.name] = before[0]
		children[before[0].name]++
		switch {
		case before[0].region != v.region:
			regions++
		case before[0].domain != v.domain:
			domains++
		}
	}
	widest, deepest := 0, 0
	for _, v := range vms {
		widest = max(widest, children[v.name])
		depth := 0
		for p, ok := parents[v.name]; ok && depth <= len(vms); p, ok = parents[p.name] {
			depth++
		}
		deepest = max(deepest, depth)
	}
	fmt.Fprintf(out, "readers %d, children at most %d, steps at most %d, between regions %d, between domains %d\n",
		readers, widest, deepest, regions, domains)
}

// parse reads lines "NAME REGION DOMAIN LINK [DISTANCE]"; a count "xN" after the name
// adds N such VMs.
func parse(t *testing.T, d *datadriven.TestData) []VM {
	var vms []VM
	for l := range strings.Lines(d.Input) {
		f := strings.Fields(l)
		name, times, repeated := strings.Cut(f[0], "x")
		count := 1
		if repeated {
			n, err := strconv.Atoi(times)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			count = n
		}
		link, err := strconv.ParseFloat(f[3], 64)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		for i := range count {
			v := NewVM(name, name, link)
			if repeated {
				v = NewVM(fmt.Sprintf("%s%02d", name, i), name, link)
			}
			v = v.In(f[2], f[1])
			if len(f) > 4 {
				distance, err := time.ParseDuration(f[4])
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				v = v.WithDistance(distance)
			}
			vms = append(vms, v)
		}
	}
	return vms
}

func names(vms []VM) string {
	var b strings.Builder
	for _, v := range vms {
		b.WriteString(" " + v.name)
	}
	return b.String()
}
