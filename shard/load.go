package shard

import (
	"iter"
	"math"
	"slices"
	"time"
)

// Load tracks the request rate of each key as a moving average.
type Load struct {
	// timeConstant is the time constant of the moving average.
	timeConstant time.Duration
	// rates are in requests a second, by key.
	rates [int(LastKey) + 1]float32
	// slow are the same over slowTimeConstant.
	slow    [int(LastKey) + 1]float32
	updated time.Duration
	spots   []HotSpot
	// recent are the rates over recentTimeConstant of the keys for which shares were stated.
	recent map[Key]float64
}

// recentTimeConstant is the time constant of the rates that show the end of a hot key. That of rates takes seconds to
// fall from a hundred times what an owner can serve.
const recentTimeConstant = 250 * time.Millisecond

// recentMargin is the multiple of a recent rate that a moving average may have by chance.
const recentMargin = 1.25

// NewLoad returns a Load in which all rates are zero. The weight of past counts falls to
// 1/e within the time constant.
func NewLoad(timeConstant time.Duration) *Load { return &Load{timeConstant: timeConstant} }

// Add adds numbers of requests by key, received up to the instant now.
func (l *Load) Add(counts map[Key]uint32, now time.Duration) {
	l.decay(now)
	perCount, perCountSlow := float32(1/l.timeConstant.Seconds()), float32(1/slowTimeConstant.Seconds())
	for k, n := range counts {
		l.rates[k] += perCount * float32(n)
		l.slow[k] += perCountSlow * float32(n)
		if _, ok := l.recent[k]; ok {
			l.recent[k] += float64(n) / recentTimeConstant.Seconds()
		}
	}
}

// decayStep is the least time between two decays, each of which passes over all keys.
const decayStep = 50 * time.Millisecond

func (l *Load) decay(now time.Duration) {
	passed := now - l.updated
	if passed < decayStep {
		return
	}
	l.updated = now
	decayAll(&l.rates, passed, l.timeConstant)
	decayAll(&l.slow, passed, slowTimeConstant)
	for k := range l.recent {
		l.recent[k] *= math.Exp(-passed.Seconds() / recentTimeConstant.Seconds())
		if l.rates[k] < minSmoothedRate {
			delete(l.recent, k)
		}
	}
}

// WatchKeys tracks the recent rates of the keys, until they have hardly any requests.
func (l *Load) WatchKeys(keys iter.Seq[Key]) {
	for k := range keys {
		if _, ok := l.recent[k]; !ok {
			if l.recent == nil {
				l.recent = map[Key]float64{}
			}
			l.recent[k] = float64(l.rates[k])
		}
	}
}

// presentRate returns the rate of the key, or a bound by the recent one if that is lower.
func (l *Load) presentRate(k Key) float64 {
	rate := float64(l.rates[k])
	if recent, ok := l.recent[k]; ok {
		rate = min(rate, recentMargin*recent)
	}
	return rate
}

func decayAll(rates *[int(LastKey) + 1]float32, passed, timeConstant time.Duration) {
	factor := float32(math.Exp(-passed.Seconds() / timeConstant.Seconds()))
	for k, r := range rates {
		if r != 0 {
			rates[k] = r * factor
		}
	}
}

// Rate returns the total request rate of the keys, in requests a second.
func (l *Load) Rate(keys KeyRange) float64 {
	sum := 0.0
	for _, r := range l.rates[keys.From : int(keys.To)+1] {
		sum += float64(r)
	}
	return sum
}

// Deviation returns the standard deviation of the moving average of requests that arrive at random
// with the given rate, in requests a second.
func (l *Load) Deviation(rate float64) float64 {
	return math.Sqrt(max(rate, 0) / (2 * l.timeConstant.Seconds()))
}

const (
	// neighbours is the number of adjacent keys, an odd one, that Smoothed compares.
	neighbours = 9
	// minSmoothedRate is the rate in requests a second from which a key counts as requested. A single
	// request falls below it within a time constant.
	minSmoothedRate = 0.5
)

// Smoothed returns a copy in which each key has at least the median rate of its neighbours, since busy
// keys are close to one another. At the start of a hot spot some of its keys have had no request
// yet. A single hot key does not change the rates of its neighbours.
func (l *Load) Smoothed() *Load {
	s := *l
	seen := 0
	isSeen := func(k int) bool { return k >= 0 && k < len(l.rates) && l.rates[k] >= minSmoothedRate }
	const half = neighbours / 2
	for k := range half {
		if isSeen(k) {
			seen++
		}
	}
	var window [neighbours]float32
	for k := range l.rates {
		if isSeen(k + half) {
			seen++
		}
		if isSeen(k - half - 1) {
			seen--
		}
		if seen <= half || k < half || k+half >= len(l.rates) {
			continue // The median is not above minSmoothedRate.
		}
		copy(window[:], l.rates[k-half:k+half+1])
		slices.Sort(window[:])
		s.rates[k] = max(l.rates[k], window[half])
	}
	return &s
}

// Narrowest returns the smallest contiguous part of the keys that has at least the given
// rate, and the rate of that part. It returns false if all keys together have less.
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
