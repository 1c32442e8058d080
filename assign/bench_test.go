package assign

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAtRest measures the processor time that all Cores of an idle group, the simulation
// included, take for one second of simulated time.
func BenchmarkAtRest(b *testing.B) {
	for _, slots := range []int{256, 4096} {
		b.Run(fmt.Sprintf("%d slots, 16 targets, 5 VMs", slots), func(b *testing.B) {
			s := newSim(simConfig{seed: 1, vms: 5, dcs: 5, targets: 16, slots: slots})
			s.run(4 * time.Second)
			s.eventCount = -1 << 62
			b.ResetTimer()
			for range b.N {
				s.runFor(time.Second)
			}
		})
	}
}

// BenchmarkColdStart measures the first two seconds of a group whose slots have no owners.
func BenchmarkColdStart(b *testing.B) {
	for range b.N {
		s := newSim(simConfig{seed: 1, vms: 3, dcs: 3, targets: 16, slots: 16384})
		s.run(2 * time.Second)
		if len(s.unserved()) > 0 {
			b.Fatal("some slots are not served 2 s after the start")
		}
	}
}
