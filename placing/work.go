package placing

import "time"

const (
	// workMaxAge is the age up to which a target's statement of how long work takes now is used. On machines that
	// targets share, this changes every few hundred milliseconds.
	workMaxAge = 400 * time.Millisecond
	// workWeight is the weight of one statement in the moving means.
	workWeight = 0.1
)

// workPace is how long work takes on a target's machine, as multiples of the usual time. The zero value is that of a target
// that has stated nothing, on which work takes the usual time.
type workPace struct {
	factor float64
	at     time.Time
	// meanFactor and meanSpeed are the moving means of the factor and of its inverse.
	meanFactor, meanSpeed float64
}

// record adds the statement that work took the given percentage of the usual time at the instant.
func (p *workPace) record(percent int, at time.Time) {
	if percent <= 0 || at.Before(p.at) {
		return
	}
	p.factor, p.at = float64(percent)/100, at
	if p.meanFactor == 0 {
		p.meanFactor, p.meanSpeed = 1, 1
	}
	p.meanFactor += workWeight * (p.factor - p.meanFactor)
	p.meanSpeed += workWeight * (1/p.factor - p.meanSpeed)
}

// fresh returns the factor if it was stated within workMaxAge, else zero.
func (p *workPace) fresh(now time.Time) float64 {
	if p.factor == 0 || now.Sub(p.at) > workMaxAge {
		return 0
	}
	return p.factor
}

// expected returns the factor for work that begins now: the one that was stated lately, else the mean.
func (p *workPace) expected(now time.Time) float64 {
	if f := p.fresh(now); f > 0 {
		return f
	}
	if p.meanFactor > 0 {
		return p.meanFactor
	}
	return 1
}

// usual returns how long work that took d would usually take. The statement of its answer, in percent, belongs to the end
// of that time. For its first half, the factor that was known when it was sent holds, or else the mean unless d is short.
func (p *workPace) usual(d time.Duration, factorWhenSent float64, percent int) time.Duration {
	if percent <= 0 {
		return d
	}
	speedAtEnd := 100 / float64(percent)
	speedAtBegin := p.meanSpeed
	switch {
	case factorWhenSent > 0:
		speedAtBegin = 1 / factorWhenSent
	case d <= workMaxAge || p.meanSpeed == 0:
		speedAtBegin = speedAtEnd
	}
	return time.Duration(float64(d) * (speedAtBegin + speedAtEnd) / 2)
}
