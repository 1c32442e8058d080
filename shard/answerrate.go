package shard

import (
	"math"
	"time"
)

const (
	// answerRateTime is the time constant of the rate of a target's answers.
	answerRateTime = time.Second
	// answerRateMemory is the time in which the highest rate is forgotten to a third. The owner of a hot key answers
	// only the share of its requests that follows from the rate, which must not lower the share further.
	answerRateMemory = 5 * time.Second
)

// answerRate tracks how many requests a second a target has answered. It is a lower bound of the target's capacity that holds
// while its service time cannot be told from the time in its queue.
type answerRate struct {
	rate, highest float64
	at            time.Duration
}

// add adds n answers that were reported at the instant.
func (a *answerRate) add(n int, now time.Duration) {
	a.decay(now)
	a.rate += float64(n) / answerRateTime.Seconds()
	// Answers vary by chance.
	deviation := math.Sqrt(a.rate / (2 * answerRateTime.Seconds()))
	a.highest = max(a.highest, a.rate-deviation)
}

func (a *answerRate) decay(now time.Duration) {
	passed := max(now-a.at, 0).Seconds()
	a.rate *= math.Exp(-passed / answerRateTime.Seconds())
	a.highest *= math.Exp(-passed / answerRateMemory.Seconds())
	a.at = now
}

// answered returns the lower bound of the target's capacity in requests a second.
func (t *targetStates) answered(id string, now time.Duration) float64 {
	s := t.states[id]
	if s == nil {
		return 0
	}
	s.answerRate.decay(now)
	return s.answerRate.highest
}
