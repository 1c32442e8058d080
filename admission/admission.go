// Package admission decides whether a request is sent to a busy target or
// refused at once.
//
// It answers the load of a target that gets more requests than it can serve for
// seconds, as the owner of a hot key does. If all are let in, the queue settles at
// a length at which every answer is late; if the queue is kept as short as the
// latency target allows, the target does the same work and its answers are in time.
package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// margin is the share of the latency target that is planned with; the rest
	// covers what the estimate of the queue does not see.
	usableShare = 0.85
	// leastWait is the wait, in service times, that is let in even if the target is
	// too slow for the latency target without any wait.
	minWaitFactor = 0.5
	// retryMin and retryMax bound the advice when to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Estimate is what a request would meet at a target.
type Estimate struct {
	// Service is the time of the work itself, Wait that in the queue before it.
	Service, Wait time.Duration
	// RoundTrip is the time on the way.
	RoundTrip time.Duration
}

// Total is the time until the answer is back.
func (e Estimate) Total() time.Duration { return e.Service + e.Wait + e.RoundTrip }

// Request is what the decision needs of a request.
type Request struct {
	// Left is the time until the deadline.
	UntilDeadline time.Duration
	// TargetLeft is the time until the latency target is missed.
	UntilLatencyTarget time.Duration
}

// Decide reports whether the request is to be sent. If not, it returns the time
// after which there will be room.
func Decide(e Estimate, r Request) (admit bool, roomIn time.Duration) {
	if e.Total() > r.UntilDeadline {
		return false, e.Total() - r.UntilDeadline
	}
	allowed := time.Duration(usableShare*float64(r.UntilLatencyTarget)) - e.RoundTrip - e.Service
	allowed = max(allowed, time.Duration(minWaitFactor*float64(e.Service)))
	if e.Wait <= allowed {
		return true, 0
	}
	return false, e.Wait - allowed
}

// RetryAfter is the advice when to come back, given the time in which there will
// be room. The returns are spread over half of it again, so that they do not meet.
func RetryAfter(roomIn time.Duration) time.Duration {
	roomIn = min(max(roomIn, minRetryAfter), maxRetryAfter)
	return roomIn + rand.N(roomIn/2)
}
