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

// Guards against keys that move to and fro because single long answers change what a target seems to be able to serve: a
// moving average of them varies by a third.
func TestCapacityWithFewSlotsIgnoresSingleLongAnswers(t *testing.T) {
	is := is.New(t)
	states := newTargetStates()
	targets := playAnswers(states, 2)
	times := states.serviceTimesOf(targets)
	lowest, highest, averageLowest, averageHighest := 1e9, 0.0, 1e9, 0.0
	for i, target := range targets {
		speed := []float64{0.7, 0.7, 1.7}[i%3]
		lowest, highest = min(lowest, times.capacity(target)/speed), max(highest, times.capacity(target)/speed)
		average := 2 / states.states[target.ID].serviceTime.Seconds() / speed
		averageLowest, averageHighest = min(averageLowest, average), max(averageHighest, average)
	}
	t.Logf("capacity at speed 1: %.1f to %.1f; by the moving average %.1f to %.1f", lowest, highest, averageLowest, averageHighest)
	is.True(highest < 1.6*lowest)
	is.True(averageHighest > 2*averageLowest)
	// An unknown target counts as the others on average.
	unknown := times.of(&fleet.Target{ID: "new", Slots: 2})
	is.True(unknown > 150*time.Millisecond && unknown < 350*time.Millisecond)
}

// The capacity of targets with six slots is that of their moving average, as before.
func TestCapacityWithManySlotsIsThatOfTheMean(t *testing.T) {
	is := is.New(t)
	states := newTargetStates()
	targets := playAnswers(states, 6)
	times := states.serviceTimesOf(targets)
	sum := time.Duration(0)
	for _, target := range targets {
		mean := states.states[target.ID].serviceTime
		sum += mean
		is.Equal(times.of(target), mean)
		is.Equal(states.states[target.ID].bestServiceTime(), mean)
	}
	is.Equal(times.of(&fleet.Target{ID: "new", Slots: 6}), sum/152)
}
