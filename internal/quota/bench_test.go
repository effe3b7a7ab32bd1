package quota

import (
	"fmt"
	"testing"
)

// BenchmarkShare measures a change of the VMs, and the share of one limit, by their
// number.
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
				f.version++
				f.names = f.names[:1]
				f.Set(names)
				f.Share(1, 6, 5)
			}
		})
	}
}
