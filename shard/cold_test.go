package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// planWithCold plans for the targets as planTargets passes them on, with the given ones cold.
func planWithCold(w *planSimulation, perSecond float64, cold ...int) {
	all := w.targets
	rates := map[string]float64{}
	for _, c := range cold {
		rates[all[c].Holder.ID] = perSecond
	}
	w.targets = withColdIfNeeded(all, rates)
	w.plan()
	w.now += 3 * time.Second
	w.plan()
	w.targets = all
}

// An owner that turns cold must lose its keys to warm targets, and gets keys again once it is warm.
func TestKeysMoveAwayFromColdOwner(t *testing.T) {
	is := is.New(t)
	w := newPlanSimulation(1, 1, 1, 1, 1, 1)
	is.True(w.keysOf("t02") > 0)
	planWithCold(w, 6.5, 2)
	is.Equal(w.keysOf("t02"), 0)
	w.now += 10 * time.Second
	w.plan()
	is.True(w.keysOf("t02") > 0)
}

// Guards against warm targets that are overloaded with the keys of all cold ones.
func TestColdTargetsOwnKeysIfFewAreWarm(t *testing.T) {
	is := is.New(t)
	w := newPlanSimulation(1, 1, 1, 1, 1, 1)
	planWithCold(w, 6.5, 0, 1, 2)
	is.Equal(w.keysOf("t00")+w.keysOf("t01")+w.keysOf("t02"), 0) // Half are warm.
	w = newPlanSimulation(1, 1, 1, 1, 1, 1)
	planWithCold(w, 6.5, 0, 1, 2, 3)
	is.True(w.keysOf("t00") > 0 && w.keysOf("t03") > 0)
	a, b := Holder{ID: "a"}, Holder{ID: "b"}
	targets := withColdIfNeeded([]PlanTarget{{Holder: a, Capacity: 80}, {Holder: b, Capacity: 5}}, map[string]float64{"a": 6.5, "b": 6.5})
	is.Equal(targets[0].Capacity, 6.5)
	is.Equal(targets[0].FullCapacity, 80.0)
	is.Equal(targets[1], PlanTarget{Holder: b, Capacity: 5})
}

// Without cold targets, the plan is for the same targets as before.
func TestPlanIsUnchangedWithoutColdTargets(t *testing.T) {
	is := is.New(t)
	warm := []PlanTarget{{Capacity: 80}}
	is.Equal(withColdIfNeeded(warm, nil), warm)
}
