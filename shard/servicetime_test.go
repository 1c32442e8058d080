package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
)

// playAnswers reports answers of 152 targets of three speeds: 3 in 100 take 7 times as long, and a fifth have waited as long
// again. It returns the targets.
func playAnswers(states *targetStates, slots int) []*fleet.Target {
	rng := rand.New(rand.NewPCG(1, 5))
	var targets []*fleet.Target
	for i := range 152 {
		target := &fleet.Target{ID: fmt.Sprint(i), Slots: slots}
		targets = append(targets, target)
		for range 300 {
			work := 0.15 / []float64{0.7, 0.7, 1.7}[i%3]
			if rng.Float64() < 0.03 {
				work *= 7
			}
			if rng.Float64() < 0.2 {
				work *= 2
			}
			states.addReport(&pb.TargetReport{Target: target.ID, ServiceMicros: uint32(1e6 * work), Answers: 1}, time.Minute)
		}
	}
	return targets
}

// Guards against a quantile as capacity, with which targets with a queue kept their keys.
func TestCapacityIsThatOfTheMean(t *testing.T) {
	for _, slots := range []int{2, 6} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			is := is.New(t)
			states := newTargetStates()
			targets := playAnswers(states, slots)
			times := states.serviceTimesOf(targets)
			sum := time.Duration(0)
			for _, target := range targets {
				mean := states.states[target.ID].serviceTime
				sum += mean
				is.Equal(times.of(target), mean)
			}
			is.Equal(times.of(&fleet.Target{ID: "new", Slots: slots}), sum/152)
		})
	}
}
