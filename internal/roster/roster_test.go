package roster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/cockroachdb/datadriven"
)

// TestRoster guards against a VM that does not count because its value is invalid, and
// against changes that are reported to the other duties although nothing changed.
func TestRoster(t *testing.T) {
	r := New()
	datadriven.RunTest(t, "testdata/roster", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		switch d.Cmd {
		case "put":
			key, value, _ := strings.Cut(strings.TrimSpace(d.Input), " ")
			if err := r.Put(store.NewEntry(key, []byte(value), 1, "")); err != nil {
				fmt.Fprintf(&out, "error: %v\n", err)
			}
		case "delete":
			r.Delete(strings.TrimSpace(d.Input))
		default:
			d.Fatalf(t, "unknown command %q", d.Cmd)
		}
		fmt.Fprintf(&out, "changed %t, names %v, addresses %v\n", r.Update(), r.Names(), r.Addresses())
		for _, v := range r.Servers() {
			fmt.Fprintf(&out, "%s in %q, link %g, distance %s\n", v.Name(), v.Region(), v.LinkMbps(), v.Distance())
		}
		return out.String()
	})
}

// TestEncode guards against a field that is lost between two VMs.
func TestEncode(t *testing.T) {
	v := tree.NewVM("a1", "10.0.0.1:7200", 10).In("a", "north").WithDistance(28 * time.Millisecond)
	value, err := Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(store.NewEntry("vms/a/a1", value, 1, ""))
	if err != nil || got != v {
		t.Errorf("%+v, %v; want %+v", got, err, v)
	}
	if !Same(v, v.WithDistance(time.Second)) || Same(v, v.In("a", "south")) {
		t.Error("Same compares the distance, or not the region")
	}
}
