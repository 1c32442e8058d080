package shard

import (
	"math"
	"time"
)

// Load follows how many requests a second each key gets.
type Load struct {
	// TimeConstant of the moving average.
	timeConstant time.Duration
	rates        [int(LastKey) + 1]float32
	updated      time.Duration
}

// NewLoad returns a Load of zero. The time constant is how fast old counts are forgotten.
func NewLoad(timeConstant time.Duration) *Load { return &Load{timeConstant: timeConstant} }

// Add takes counts of requests by key, seen up to the instant now.
func (l *Load) Add(counts map[Key]uint32, now time.Duration) {
	l.decay(now)
	perCount := float32(1 / l.timeConstant.Seconds())
	for k, n := range counts {
		l.rates[k] += perCount * float32(n)
	}
}

// decayStep is the least time between two passes over all keys.
const decayStep = 50 * time.Millisecond

func (l *Load) decay(now time.Duration) {
	passed := now - l.updated
	if passed < decayStep {
		return
	}
	l.updated = now
	factor := float32(math.Exp(-passed.Seconds() / l.timeConstant.Seconds()))
	for k, r := range l.rates {
		if r != 0 {
			l.rates[k] = r * factor
		}
	}
}

// Of returns the requests a second on the keys.
func (l *Load) Of(keys KeyRange) float64 {
	sum := 0.0
	for _, r := range l.rates[keys.From : int(keys.To)+1] {
		sum += float64(r)
	}
	return sum
}

// Narrowest returns the shortest part of the keys with at least the rate, and its
// rate. It returns false if all the keys together have less.
func (l *Load) Narrowest(keys KeyRange, rate float64) (KeyRange, float64, bool) {
	var best KeyRange
	bestRate, found := 0.0, false
	sum := 0.0
	from := int(keys.From)
	for to := int(keys.From); to <= int(keys.To); to++ {
		sum += float64(l.rates[to])
		for from < to && sum-float64(l.rates[from]) >= rate {
			sum -= float64(l.rates[from])
			from++
		}
		if sum >= rate && (!found || to-from+1 < best.Size()) {
			best, bestRate, found = KeyRange{Key(from), Key(to)}, sum, true
		}
	}
	return best, bestRate, found
}
