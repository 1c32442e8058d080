package balance

import "time"

const (
	// acceptedSlowdown is the service time, in multiples of the shortest, up to
	// which requests are not taken to wait at the target.
	acceptedSlowdown = 1.5
	// slack is added to it: shorter delays come from the machines, not from queues.
	slack = 2 * time.Millisecond
	// headroom is added to the limit with each sample while all of it is in use.
	headroom = 0.5
	// smoothing is the weight of a new limit.
	smoothing = 0.2
	// shortestDrift lets the shortest service time rise with each sample, so that
	// it follows a target that has become slower.
	shortestDrift = 1.0 / 1024
	// shrink is the factor after a request was shed or timed out.
	shrink = 0.5
)

// limit is the number of requests to run at once, between 1 and most.
type limit struct {
	current, most float64
	// shortest is the shortest service time seen of late.
	shortest float64
	// fixed keeps the limit where it is.
	fixed bool
}

func newLimit(most int) limit {
	return limit{current: float64(most), most: float64(most)}
}

func (l *limit) value() int { return max(int(l.current), 1) }

// fix sets the limit for good.
func (l *limit) fix(n int) {
	l.current = max(float64(n), 1)
	l.fixed = true
}

// sample moves the limit by the service time of an answered request. The limit
// rises only while it is in use, which full tells.
func (l *limit) sample(service time.Duration, full bool) {
	took := service.Seconds()
	l.shortest += l.shortest * shortestDrift
	if l.shortest == 0 || took < l.shortest {
		l.shortest = took
	}
	gradient := min(1, max(shrink, (acceptedSlowdown*l.shortest+slack.Seconds())/took))
	next := l.current * gradient
	if full {
		next += headroom
	}
	l.set(l.current + smoothing*(next-l.current))
}

// fall halves the limit.
func (l *limit) fall() { l.set(l.current * shrink) }

func (l *limit) set(n float64) {
	if !l.fixed {
		l.current = min(l.most, max(1, n))
	}
}
