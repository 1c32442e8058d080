package shard

import (
	"math"
	"slices"
	"time"
)

const (
	// slowTimeConstant is the time constant of the moving average that hot spots are compared with. Over 4 s, the
	// random variation of a target with four requests a second is a fifth of its rate.
	slowTimeConstant = 4 * time.Second
	// blockKeys is the number of neighbouring keys whose rates are compared together.
	blockKeys = 32
	// windowBlocks is the number of neighbouring blocks that are compared together as well: the first requests of a hot
	// spot are few for each block.
	windowBlocks = 4
	// A block belongs to a hot spot if the requests of the last loadTimeConstant exceed the expected number by
	// spotDeviations standard deviations and minSpotRequests. Callers that an owner
	// refuses try again, which seems to be a hot spot at lower thresholds.
	spotDeviations  = 6
	minSpotRequests = 8
	// spotEnd is the share of its highest rate below which a hot spot has ended.
	spotEnd = 0.5
	// maxSpotAge is the age from which the keys of a hot spot count as all others, since their slow averages have
	// reached its rate.
	maxSpotAge = 3 * slowTimeConstant
	// maxFirstAge bounds the estimated age of a hot spot that is new.
	maxFirstAge = 200 * time.Millisecond
	// minKeyRequests is the number of requests in the slow average of a key from which they are its own rather than its
	// neighbours' as well.
	minKeyRequests = 6
	// keyPrior is the number of requests that the neighbours of a key count for in its rate.
	keyPrior = 2
	// outlierFactor and outlierRequests determine from which number of requests a key of a hot spot is hotter than
	// its neighbours, rather than by chance.
	outlierFactor   = 4
	outlierRequests = 4
)

// HotSpot is a run of neighbouring keys whose request rate has risen at once.
type HotSpot struct {
	Keys KeyRange
	// Since is the estimated instant at which the rate rose.
	Since time.Duration
	// highest is the highest rate so far.
	highest float64
}

// HotSpots returns the present hot spots.
func (l *Load) HotSpots() []HotSpot { return slices.Clone(l.spots) }

// FindHotSpots looks for hot spots that begin or end. It reports whether one began.
func (l *Load) FindHotSpots(now time.Duration) bool {
	l.decay(now)
	l.endSpots(now)
	known := len(l.spots)
	for _, keys := range l.risenBlocks() {
		l.addSpot(keys, now)
	}
	return len(l.spots) > known
}

// endSpots drops the hot spots that have ended. The averages of their keys begin anew: the slow ones would
// take several seconds to fall.
func (l *Load) endSpots(now time.Duration) {
	l.spots = slices.DeleteFunc(l.spots, func(s HotSpot) bool {
		if now-s.Since >= maxSpotAge {
			return true
		}
		if now-s.Since < l.timeConstant || l.Rate(s.Keys) >= spotEnd*s.highest {
			return false
		}
		clear(l.slow[s.Keys.From : int(s.Keys.To)+1])
		clear(l.rates[s.Keys.From : int(s.Keys.To)+1])
		return true
	})
	for i := range l.spots {
		l.spots[i].highest = max(l.spots[i].highest, l.Rate(l.spots[i].Keys))
	}
}

// risenBlocks returns the runs of blocks whose rate has risen, alone or together with the blocks next to them.
func (l *Load) risenBlocks() []KeyRange {
	const blocks = (int(LastKey) + 1) / blockKeys
	tau := l.timeConstant.Seconds()
	// The sums of all blocks before the one with the index.
	var requests, expected [blocks + 1]float64
	for i := range blocks {
		keys := KeyRange{Key(i * blockKeys), Key((i+1)*blockKeys - 1)}
		requests[i+1] = requests[i] + l.Rate(keys)*tau
		expected[i+1] = expected[i] + l.earlierRate(keys)*tau
	}
	// A rise of the requests for all keys is no hot spot.
	growth := max(requests[blocks]/max(expected[blocks], 1), 1)
	var out []KeyRange
	for _, n := range []int{1, windowBlocks} {
		for from := 0; from+n <= blocks; from++ {
			r, e := requests[from+n]-requests[from], growth*(expected[from+n]-expected[from])
			if r-e >= spotDeviations*math.Sqrt(e)+minSpotRequests {
				out = append(out, l.seenPart(KeyRange{Key(from * blockKeys), Key((from+n)*blockKeys - 1)}))
			}
		}
	}
	return out
}

// addSpot adds a hot spot, or extends one that is next to the keys.
func (l *Load) addSpot(keys KeyRange, now time.Duration) {
	for i, s := range l.spots {
		if int(s.Keys.From)-blockKeys <= int(keys.To) && int(keys.From) <= int(s.Keys.To)+blockKeys {
			l.spots[i].Keys = KeyRange{min(s.Keys.From, keys.From), max(s.Keys.To, keys.To)}
			return
		}
	}
	l.spots = append(l.spots, HotSpot{Keys: keys, Since: now - l.ageOf(keys), highest: l.Rate(keys)})
}

// seenPart returns the part of the keys that had requests lately, with the mean gap between two such keys at both
// ends.
func (l *Load) seenPart(keys KeyRange) KeyRange {
	first, last, seen := -1, -1, 0
	for k := int(keys.From); k <= int(keys.To); k++ {
		if l.rates[k] < minSmoothedRate {
			continue
		}
		if first < 0 {
			first = k
		}
		last = k
		seen++
	}
	if seen < 2 {
		return KeyRange{Key(max(first, int(keys.From))), Key(max(first, int(keys.From)))}
	}
	gap := (last - first) / seen
	return KeyRange{Key(max(first-gap, 0)), Key(min(last+gap, int(LastKey)))}
}

// ageOf estimates for how long the keys have had their rate. Both averages contain the same requests, so that their
// ratio depends on the age alone and not on the rate.
func (l *Load) ageOf(keys KeyRange) time.Duration {
	usual := l.slowRate(AllKeys) * float64(keys.Size()) / float64(AllKeys.Size())
	ratio := (l.slowRate(keys) - usual) / (l.Rate(keys) - usual)
	low, high := time.Duration(0), maxFirstAge
	for high-low > 5*time.Millisecond {
		age := (low + high) / 2
		if reached(age, slowTimeConstant)/reached(age, l.timeConstant) < ratio {
			low = age
		} else {
			high = age
		}
	}
	return high
}

// reached returns the share of a new rate that a moving average has reached after the time.
func reached(age, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-age.Seconds()/timeConstant.Seconds())
}

// earlierRate returns the rate of the keys by the requests that the slow averages contain and the fast ones do not.
func (l *Load) earlierRate(keys KeyRange) float64 {
	slow, fast := slowTimeConstant.Seconds(), l.timeConstant.Seconds()
	return max(l.slowRate(keys)*slow-l.Rate(keys)*fast, 0) / (slow - fast)
}

func (l *Load) slowRate(keys KeyRange) float64 {
	sum := 0.0
	for _, r := range l.slow[keys.From : int(keys.To)+1] {
		sum += float64(r)
	}
	return sum
}

// Projected returns the rates that are expected next: of the keys of hot spots, the rates that their moving averages
// approach, and of all others the slow averages, of which neighbouring keys share what single requests contribute. Else
// the narrowest part of a range with a given rate would consist of the keys that had more requests by chance.
func (l *Load) Projected(now time.Duration) *Load {
	p := &Load{timeConstant: slowTimeConstant, updated: l.updated}
	const minRate = minKeyRequests / float32(slowTimeConstant/time.Second)
	for from := 0; from < len(l.slow); from += blockKeys {
		shared := float32(0)
		for k := from; k < from+blockKeys; k++ {
			if l.slow[k] < minRate {
				shared += l.slow[k]
			} else {
				p.rates[k] = l.slow[k]
			}
		}
		for k := from; k < from+blockKeys; k++ {
			p.rates[k] += shared / blockKeys
		}
	}
	for _, s := range l.spots {
		l.projectSpot(s, p, now)
	}
	return p
}

// ExpectedRate returns the rate that the moving average of a hot spot's requests approaches.
func (l *Load) ExpectedRate(s HotSpot, now time.Duration) float64 {
	return l.Rate(s.Keys) / reached(max(now-s.Since, decayStep), l.timeConstant)
}

// projectSpot sets the expected rates of the keys of a hot spot. Their total is what the moving average approaches. It
// is divided by the requests since the hot spot began; a key has had hardly one then, so that each counts as
// if it had had keyPrior requests more at the mean rate. A key with far more requests than its neighbours counts by
// itself.
func (l *Load) projectSpot(s HotSpot, p *Load, now time.Duration) {
	total := l.ExpectedRate(s, now)
	tau := slowTimeConstant.Seconds()
	seen := s.observed(now)
	sum, largest := 0.0, 0.0
	for _, r := range l.slow[s.Keys.From : int(s.Keys.To)+1] {
		sum += float64(r) * tau
		largest = max(largest, float64(r)*tau)
	}
	mean := max((sum-largest)/seen/float64(max(s.Keys.Size()-1, 1)), 1e-3)
	sum = 0
	for k := int(s.Keys.From); k <= int(s.Keys.To); k++ {
		requests := float64(l.slow[k]) * tau
		rate := requests / seen
		if requests <= outlierRequests+outlierFactor*mean*seen {
			rate = (requests + keyPrior) / (seen + keyPrior/mean)
		}
		p.rates[k] = float32(rate)
		sum += rate
	}
	scale := float32(total / sum)
	for k := int(s.Keys.From); k <= int(s.Keys.To); k++ {
		p.rates[k] *= scale
	}
}

// observed returns the time in seconds in which the requests were received that the slow averages contain.
func (s HotSpot) observed(now time.Duration) float64 {
	return slowTimeConstant.Seconds() * reached(max(now-s.Since, decayStep), slowTimeConstant)
}
