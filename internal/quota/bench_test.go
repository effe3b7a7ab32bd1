package quota

import (
	"fmt"
	"testing"
)

// BenchmarkShare measures the share of one limit by the number of VMs. It is computed
// when an upstream names a limit, changes it, or the VMs change.
func BenchmarkShare(b *testing.B) {
	for _, vms := range []int{9, 64, 295, 360} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			var names []string
			for i := range vms {
				names = append(names, fmt.Sprintf("vm-%d", i))
			}
			f := NewFleet("vm-0")
			f.Set(names)
			for b.Loop() {
				f.Share("w", 5)
			}
		})
	}
}
