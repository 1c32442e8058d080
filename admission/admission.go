// Package admission decides whether a request is sent to a busy target or
// refused at once.
//
// It is made for a target that gets more requests than it can serve for some seconds,
// such as the owner of a hot key. If all requests are admitted, the queue grows to a length
// at which every answer is late. If the queue is kept as short as the latency target
// demands, the target does the same work and its answers are in time.
package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// usableShare is the share of the latency target that a request may be expected to
	// take. The rest covers the error in the estimate of the queue.
	usableShare = 0.85
	// minWaitFactor is the wait, in service times, with which a request is admitted even if
	// the target is too slow for the latency target without any wait.
	minWaitFactor = 0.5
	// minRetryAfter and maxRetryAfter bound the time until the advised retry before
	// RetryAfter adds its random part.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Estimate is the expected time that a request takes at a target, by its parts.
type Estimate struct {
	// Service is the time of the work itself, and Wait is the time in the queue before it.
	Service, Wait time.Duration
	// RoundTrip is the network time to the target and back.
	RoundTrip time.Duration
}

// Total returns the time until the answer arrives.
func (e Estimate) Total() time.Duration { return e.Service + e.Wait + e.RoundTrip }

// Request holds the time limits of a request.
type Request struct {
	// UntilDeadline is the time until the deadline.
	UntilDeadline time.Duration
	// UntilLatencyTarget is the time until the latency target is missed; negative if it has
	// been missed already.
	UntilLatencyTarget time.Duration
}

// Decide reports whether the request should be sent. If not, it returns the time after
// which the target is expected to have room.
func Decide(e Estimate, r Request) (admit bool, roomIn time.Duration) {
	return DecideWithin(e, r, AllowedWait(e, r))
}

// AllowedWait returns the longest wait with which the answer is expected within the latency
// target.
func AllowedWait(e Estimate, r Request) time.Duration {
	allowed := time.Duration(usableShare*float64(r.UntilLatencyTarget)) - e.RoundTrip - e.Service
	return max(allowed, time.Duration(minWaitFactor*float64(e.Service)))
}

// DecideWithin is Decide with a given bound on the wait.
func DecideWithin(e Estimate, r Request, allowed time.Duration) (admit bool, roomIn time.Duration) {
	if e.Total() > r.UntilDeadline {
		return false, e.Total() - r.UntilDeadline
	}
	if e.Wait <= allowed {
		return true, 0
	}
	return false, e.Wait - allowed
}

// RetryAfter returns the time after which a refused caller should retry, given the time in
// which the target is expected to have room. It bounds that time and adds a random part of up
// to half of it, so that callers do not retry all at once.
func RetryAfter(roomIn time.Duration) time.Duration {
	roomIn = min(max(roomIn, minRetryAfter), maxRetryAfter)
	return roomIn + rand.N(roomIn/2)
}
