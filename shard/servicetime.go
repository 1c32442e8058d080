package shard

import (
	"time"

	"github.com/basiltally/basiltally/fleet"
)

// fewSlots is the number of slots up to which hot spots are sought and keys move at a lower utilisation: of two
// slots, one long request takes half of the target.
const fewSlots = 3

// serviceTimes has the service times of the targets of one service. The times that VMs report hold some of the time that
// requests have waited, since no VM knows the whole queue. A target with a queue therefore counts as slower than it is, and
// keys move away from it sooner.
type serviceTimes struct {
	states *targetStates
	// typical is the service time of targets of which none is known yet.
	typical time.Duration
}

// serviceTimesOf returns the service times of the targets of a service.
func (t *targetStates) serviceTimesOf(targets []*fleet.Target) serviceTimes {
	e := serviceTimes{states: t, typical: defaultServiceTime}
	sum, n := time.Duration(0), 0
	for _, target := range targets {
		if s := t.states[target.ID]; s.known() {
			sum += s.serviceTime
			n++
		}
	}
	if n > 0 {
		e.typical = sum / time.Duration(n)
	}
	return e
}

// of returns the mean service time of a target, or the typical one while too few of its answers are known.
func (e serviceTimes) of(target *fleet.Target) time.Duration {
	if s := e.states.states[target.ID]; s.known() {
		return s.serviceTime
	}
	return e.typical
}

// capacity returns the number of requests a second that the target can serve.
func (e serviceTimes) capacity(target *fleet.Target) float64 {
	return float64(target.Slots) / e.of(target).Seconds()
}
