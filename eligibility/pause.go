package eligibility

import (
	"math/rand/v2"
	"time"
)

const (
	// maxPause is the longest pause that a target gets at once. It may ask again.
	maxPause = 30 * time.Second
	// returnSpreadShare and maxReturnSpread bound by how much the VMs spread their first requests
	// after a pause, as a share of the pause and in all.
	returnSpreadShare = 0.25
	maxReturnSpread   = 500 * time.Millisecond
	// probeInterval is the time between two requests after a pause, until one is answered without
	// another pause.
	probeInterval = 100 * time.Millisecond
)

// pause is a time in which a target wants no requests from this VM.
type pause struct {
	// until is the end of the pause; zero if there was none.
	until time.Time
	// probing is set from the beginning of a pause until the target has answered after its end.
	probing bool
	// nextProbe is the earliest instant of the next request while probing is set.
	nextProbe time.Time
}

// begin records that the target asks for a pause. Several pauses end with the last of them.
func (p *pause) begin(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(p.until) {
		p.until = until
	}
	spread := min(time.Duration(returnSpreadShare*float64(d)), maxReturnSpread)
	p.probing = true
	p.nextProbe = p.until.Add(rand.N(spread + 1))
}

// wait returns the time until a request may be sent; zero if one may be sent now.
func (p *pause) wait(now time.Time) time.Duration {
	if !p.probing {
		return 0
	}
	return max(p.nextProbe.Sub(now), 0)
}

// take counts a request that is sent.
func (p *pause) take(now time.Time) {
	if p.probing {
		p.nextProbe = now.Add(probeInterval)
	}
}

// observeAnswer records an answer without a pause. Answers to requests that were sent before the
// pause may come while it lasts.
func (p *pause) observeAnswer(now time.Time) {
	if p.probing && now.After(p.until) {
		p.probing = false
	}
}
