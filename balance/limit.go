package balance

import "time"

const (
	// acceptedSlowdown is the highest service time, as a multiple of the shortest one,
	// at which requests are assumed not to wait at the target.
	acceptedSlowdown = 1.5
	// acceptedDelay is added to that service time, because shorter delays are caused by
	// the VMs themselves, not by queues.
	acceptedDelay = 2 * time.Millisecond
	// growthStep is added to the limit by each sample while the limit is fully used.
	growthStep = 0.5
	// smoothingWeight is the weight of a sample's limit in the new limit.
	smoothingWeight = 0.2
	// shortestDrift is the share by which each sample raises the shortest service
	// time, so that it adapts to a target that has become slower.
	shortestDrift = 1.0 / 1024
	// decreaseFactor is the factor of the limit after a request was shed or timed out,
	// and the lowest factor after a sample.
	decreaseFactor = 0.5
)

// adaptiveLimit is the number of requests to run at once, between 1 and maximum.
type adaptiveLimit struct {
	current, maximum float64
	// shortestTime is the shortest recent service time in seconds.
	shortestTime float64
	// fixed is set if the limit does not adapt.
	fixed bool
}

func newAdaptiveLimit(maximum int) adaptiveLimit {
	return adaptiveLimit{current: float64(maximum), maximum: float64(maximum)}
}

func (l *adaptiveLimit) value() int { return max(int(l.current), 1) }

// setFixed sets the limit to n, but at least 1, and stops it from adapting.
func (l *adaptiveLimit) setFixed(n int) {
	l.current = max(float64(n), 1)
	l.fixed = true
}

// addSample adapts the limit to the service time of an answered request. The limit
// rises only if inFullUse is set, that is if as many requests ran as it allows.
func (l *adaptiveLimit) addSample(service time.Duration, inFullUse bool) {
	took := service.Seconds()
	l.shortestTime += l.shortestTime * shortestDrift
	if l.shortestTime == 0 || took < l.shortestTime {
		l.shortestTime = took
	}
	gradient := min(1, max(decreaseFactor, (acceptedSlowdown*l.shortestTime+acceptedDelay.Seconds())/took))
	next := l.current * gradient
	if inFullUse {
		next += growthStep
	}
	l.set(l.current + smoothingWeight*(next-l.current))
}

// reduce halves the limit.
func (l *adaptiveLimit) reduce() { l.set(l.current * decreaseFactor) }

// set sets the limit, between 1 and maximum, unless it is fixed.
func (l *adaptiveLimit) set(n float64) {
	if !l.fixed {
		l.current = min(l.maximum, max(1, n))
	}
}
