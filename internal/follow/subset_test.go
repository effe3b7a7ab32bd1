package follow

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSubset guards against a VM that follows too few shards to know upstreams
// of every service, and against a split of a registry whose keys don't show how
// later keys will be distributed.
func TestSubset(t *testing.T) {
	datadriven.Walk(t, "testdata/subset", func(t *testing.T, path string) {
		var s *Subset
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "new":
				s = NewSubset("up/", uint64(arg(t, d, "seed")))
				s.SetVMs(arg(t, d, "vms"))
			case "keys":
				// Keys of a service with hexadecimal ids, or numbered in sequence.
				var service string
				d.ScanArgs(t, "service", &service)
				for i := range arg(t, d, "count") {
					key := fmt.Sprintf("up/i-%x%s%d", i%16, service, i)
					if d.HasArg("numbered") {
						key = fmt.Sprintf("up/i-%05d", i)
					}
					if s.Follows(key) {
						s.Put(key, service)
					}
				}
			case "split":
				return fmt.Sprintln(s.Split(), s.Shards())
			case "adopt":
				s.Adopt(strings.Fields(d.Input))
				return fmt.Sprintln(s.Shards())
			case "vms":
				s.SetVMs(arg(t, d, "n"))
			case "join":
				return fmt.Sprintln(s.Join(), s.Shards())
			case "forget":
				// A VM that starts to follow a part drops all other keys.
				for key := range s.services {
					if !s.Follows(key) {
						s.Drop(key)
					}
				}
				return fmt.Sprintf("%d known\n", len(s.services))
			case "grow":
				return fmt.Sprintf("%q %v\n", s.Grow(strings.Fields(d.Input)), s.Shards())
			default:
				t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
			}
			return ""
		})
	})
}

// arg returns an integer argument of a command.
func arg(t *testing.T, d *datadriven.TestData, key string) int {
	n := 0
	d.ScanArgs(t, key, &n)
	return n
}
