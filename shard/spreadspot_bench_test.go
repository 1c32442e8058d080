package shard

import (
	"fmt"
	"testing"
	"time"
)

// twoSlotPlan returns the ranges, targets and load of targets with two slots in the given state.
func twoSlotPlan(targets int, spot bool) ([]OwnedRange, []PlanTarget, *Load, time.Duration) {
	speeds := make([]float64, targets)
	for i := range speeds {
		speeds[i] = 2 / 0.15 / 80 * []float64{0.7, 0.7, 1.7}[i%3]
	}
	w := newPlanSimulation(speeds...)
	for i := range w.targets {
		w.targets[i].Slots = 2
	}
	rate := 6 * float64(targets)
	w.applyLoad(3*time.Second, map[KeyRange]float64{AllKeys: rate})
	if spot {
		// The spot is not spread yet.
		counts := map[Key]uint32{}
		for k := Key(20000); k < 20200; k++ {
			counts[k] = uint32(k%2) + uint32(targets/200)
		}
		w.load.Add(counts, w.now)
		w.load.FindHotSpots(w.now)
	}
	return w.owned, w.targets, w.load, w.now
}

// BenchmarkPlanWithTwoSlots measures plans for targets with two slots, with and without a hot spot of 200 keys.
func BenchmarkPlanWithTwoSlots(b *testing.B) {
	for _, targets := range []int{152, 477} {
		for _, spot := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/spot=%v", targets, spot), func(b *testing.B) {
				owned, planTargets, load, now := twoSlotPlan(targets, spot)
				moves := 0
				for b.Loop() {
					moves = len(Plan(owned, planTargets, load, PlanOptions{}, now))
				}
				b.ReportMetric(float64(moves), "moves")
			})
		}
	}
}

// BenchmarkFindHotSpots measures the search for hot spots, which the assigner does at most every assignerTick.
func BenchmarkFindHotSpots(b *testing.B) {
	_, _, load, now := twoSlotPlan(152, false)
	for b.Loop() {
		load.FindHotSpots(now)
	}
}
