package balance

import "time"

const (
	// acceptedSlowdown is the service time, in multiples of the shortest, up to
	// which requests are not taken to wait at the target.
	acceptedSlowdown = 1.5
	// slack is added to it: shorter delays come from the machines, not from queues.
	acceptedDelay = 2 * time.Millisecond
	// headroom is added to the limit with each sample while all of it is in use.
	growthStep = 0.5
	// smoothing is the weight of a new limit.
	smoothingWeight = 0.2
	// shortestDrift lets the shortest service time rise with each sample, so that
	// it follows a target that has become slower.
	shortestDrift = 1.0 / 1024
	// shrink is the factor after a request was shed or timed out.
	decreaseFactor = 0.5
)

// limit is the number of requests to run at once, between 1 and most.
type adaptiveLimit struct {
	current, maximum float64
	// shortest is the shortest service time seen of late.
	shortestTime float64
	// fixed keeps the limit where it is.
	fixed bool
}

func newAdaptiveLimit(maximum int) adaptiveLimit {
	return adaptiveLimit{current: float64(maximum), maximum: float64(maximum)}
}

func (l *adaptiveLimit) value() int { return max(int(l.current), 1) }

// fix sets the limit for good.
func (l *adaptiveLimit) setFixed(n int) {
	l.current = max(float64(n), 1)
	l.fixed = true
}

// sample moves the limit by the service time of an answered request. The limit
// rises only while it is in use, which full tells.
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

// fall halves the limit.
func (l *adaptiveLimit) reduce() { l.set(l.current * decreaseFactor) }

func (l *adaptiveLimit) set(n float64) {
	if !l.fixed {
		l.current = min(l.maximum, max(1, n))
	}
}
