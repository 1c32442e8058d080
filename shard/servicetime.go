package shard

import (
	"math"
	"slices"
	"time"

	"github.com/basiltally/basiltally/fleet"
)

const (
	// fewSlots is the number of slots up to which a target's speed is estimated from a quantile. Of two slots,
	// one long request takes half of the target, so that the answers behind it hold waiting time which
	// the VMs cannot tell from work; the mean then states a fraction of the target's capacity.
	fewSlots = 3
	// speedQuantile is the quantile of the service times that is tracked. It is below the median, since up to
	// half of the answers of a busy target contain waiting time.
	speedQuantile = 0.4
	// quantileStep is the relative change of the quantile for one answer, and firstQuantileStep the same for the first
	// answer, divided by their number for those that follow.
	quantileStep      = 0.06
	firstQuantileStep = 0.7
	// maxAnswersOfReport bounds the weight of one report, whose service time is the mean of its answers.
	maxAnswersOfReport = 3
)

// quantile tracks a quantile of the service times of a target. Neither the few requests that take
// several times as long as others nor answers that waited in a queue change it much.
type quantile struct {
	value float64
	count int
}

// observe adds n answers with the given mean service time.
func (q *quantile) observe(mean time.Duration, n int) {
	x := mean.Seconds()
	if x <= 0 {
		return
	}
	if q.count == 0 {
		q.value = x
	}
	for range min(n, maxAnswersOfReport) {
		q.count++
		step := max(quantileStep, firstQuantileStep/float64(q.count))
		if x > q.value {
			q.value *= math.Exp(step * speedQuantile)
		} else {
			q.value *= math.Exp(-step * (1 - speedQuantile))
		}
	}
}

// serviceTimes estimates the service times of the targets of one service.
type serviceTimes struct {
	states *targetStates
	// typical is the service time of targets of which none is known yet.
	typical time.Duration
	// meanToQuantile is the typical ratio of a target's mean service time to its quantile.
	meanToQuantile float64
}

// serviceTimesOf returns the estimates for the targets of a service.
func (t *targetStates) serviceTimesOf(targets []*fleet.Target) serviceTimes {
	e := serviceTimes{states: t, meanToQuantile: 1}
	var ratios []float64
	for _, target := range targets {
		if s := t.states[target.ID]; s.known() && target.Slots <= fewSlots {
			ratios = append(ratios, s.serviceTime.Seconds()/s.lower.value)
		}
	}
	if n := len(ratios); n > 0 {
		slices.Sort(ratios)
		e.meanToQuantile = ratios[n/2]
	}
	sum, n := time.Duration(0), 0
	for _, target := range targets {
		if s := t.states[target.ID]; s.known() {
			s.estimate = e.estimate(s, target.Slots)
			sum += s.estimate
			n++
		}
	}
	e.typical = defaultServiceTime
	if n > 0 {
		e.typical = sum / time.Duration(n)
	}
	return e
}

func (e serviceTimes) estimate(s *targetState, slots int) time.Duration {
	if slots > fewSlots {
		return s.serviceTime
	}
	return time.Duration(e.meanToQuantile * s.lower.value * float64(time.Second))
}

// of returns the mean service time of a target, or the typical one while too few of its answers are known.
func (e serviceTimes) of(target *fleet.Target) time.Duration {
	s := e.states.states[target.ID]
	if !s.known() {
		return e.typical
	}
	return e.estimate(s, target.Slots)
}

// capacity returns the number of requests a second that the target can serve.
func (e serviceTimes) capacity(target *fleet.Target) float64 {
	return float64(target.Slots) / e.of(target).Seconds()
}
