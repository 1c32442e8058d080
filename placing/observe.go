package placing

import (
	"math"
	"time"
)

// Begin records that a request is being sent to the target. It returns the request's number,
// which must be passed to End.
func (b *Balancer) Begin(candidate *Candidate) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.begin(candidate, 0, b.opts.Now())
}

func (b *Balancer) begin(candidate *Candidate, bodyBytes int64, now time.Time) uint64 {
	s := b.state(candidate.ID)
	contention, queueing := b.delays(s, candidate, b.estimatedLoad(s, candidate, now))
	s.lastNumber++
	s.service, s.slots, s.keyed = candidate.Service, candidate.Slots, candidate.Keyed
	s.inFlight[s.lastNumber] = inFlightRequest{
		sentAt: now, slowdown: 1 + contention + queueing, load: b.load(s, now), risk: b.refusalRisk(candidate, now), workFactor: s.pace.fresh(now),
		bodyBytes: bodyBytes,
	}
	s.bodyBytes += bodyBytes
	return s.lastNumber
}

// Outcome is how an exchange with a target ended.
type Outcome struct {
	// Answered is set if the target answered, with success or not.
	Answered bool
	// Failed is set if the target may have run the request, but failed or gave no valid answer.
	Failed bool
	// Reset is set with Failed if the connection was reset before an answer.
	Reset bool
	// Refused is set if the target did not take the request, or no connection became free.
	Refused bool
	// Full is set if the target did not take the request because it was full, as it said, or as is concluded
	// from its load when it reset the connection.
	Full bool
	// Unreachable is set if no connection could be opened.
	Unreachable bool
	// Running and Waiting are the numbers of requests that the target reported with its
	// answer; LoadKnown is set if it did.
	Running, Waiting int
	LoadKnown        bool
	// WorkPercent is how long work takes at the target at the moment of its answer, in percent of the usual time; zero
	// if it did not say.
	WorkPercent int
	// RoundTrip is the network time, which does not count as service time.
	RoundTrip time.Duration
	// BodyHeldUntil is until when the target may still hold the request's body, if this VM has given up the request before.
	BodyHeldUntil time.Time
}

// End records how the exchange with the given number, which Begin returned, ended. Unknown
// numbers are ignored.
func (b *Balancer) End(id string, number uint64, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.state(id), b.opts.Now()
	r, ok := s.inFlight[number]
	delete(s.inFlight, number)
	if !ok {
		return
	}
	b.endBody(s, r, o.BodyHeldUntil, now)
	if o.Unreachable {
		s.resetLoad = 0
		s.suspend(now)
		return
	}
	if o.Answered {
		s.hasAnswered = true
		s.lastAnswer = now
		s.connectFailures = 0
		s.suspendedUntil = time.Time{}
		b.confirmReset(s, now)
		s.pace.record(o.WorkPercent, now)
		if o.WorkPercent > 0 {
			s.unreported.WorkPercent, s.unreported.LoadAt = o.WorkPercent, now
		}
	}
	o.Full = o.Full && b.opts.LearnFull && !s.refusedForOtherReason(o, now)
	if o.LoadKnown {
		s.heldLoad.add(float64(o.Running+o.Waiting), math.Max, now)
		s.recordLoad(float64(o.Running+o.Waiting-len(s.inFlight)), now)
		s.unreported.LoadKnown, s.unreported.Load, s.unreported.LoadAt = true, o.Running+o.Waiting, now
	}
	if service := b.services[s.service]; service != nil && (o.Full || o.Answered) && !s.keyed {
		service.learn(r.risk, o.Full, now)
	}
	switch {
	case o.Full:
		// The load at which it refuses keeps requests away from the target; it has not failed.
		b.recordFull(s, r, o, now)
	case o.Refused:
		// A target that refuses quickly would look idle, so refusals count as failures.
		if o.Answered {
			s.unreported.Failures++
			s.failureRate += failureWeight * (1 - s.failureRate)
		}
	case o.Failed:
		if o.Reset && b.opts.LearnFull {
			b.recordReset(s, r, now)
		}
		s.unreported.Failures++
		s.failureRate += failureWeight * (1 - s.failureRate)
	case o.Answered:
		s.failureRate -= failureWeight * s.failureRate
		s.recordServiceTime(s.pace.usual(now.Sub(r.sentAt)-o.RoundTrip, r.workFactor, o.WorkPercent), r.slowdown)
	}
}

// recordServiceTime adds the time d of an answer to the service time, after dividing it by
// the slowdown that was expected when the request was sent. A queue that was longer than
// expected makes the target count as slower. If answers that waited in a queue were left out,
// only the short ones of a busy target would count, and it would seem fast.
func (s *targetState) recordServiceTime(d time.Duration, slowdown float64) {
	d = max(time.Duration(float64(d)/slowdown), time.Millisecond)
	s.serviceTime += time.Duration(serviceTimeWeight * float64(d-s.serviceTime))
	s.unreportedServiceTime += d
	s.unreported.Answers++
}

// recordLoad sets the number of requests of other VMs at the target at the given instant.
func (s *targetState) recordLoad(others float64, at time.Time) {
	others = max(others, 0)
	weight := max(loadWeight, 1-math.Exp(-float64(at.Sub(s.othersLoadAt))/float64(recentLoadTime)))
	s.othersRecentLoad += weight * (others - s.othersRecentLoad)
	s.othersLoad, s.othersLoadAt = others, at
	s.othersMeanLoad += loadWeight * (s.othersLoad - s.othersMeanLoad)
}

func (s *targetState) suspend(now time.Time) {
	s.suspendedUntil = now.Add(min(minSuspension<<min(s.connectFailures, 10), maxSuspension))
	s.connectFailures++
}

// Unreachable returns the IDs of the targets that are suspended because no connection to
// them could be opened.
func (b *Balancer) Unreachable() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	var out []string
	for id, s := range b.states {
		if now.Before(s.suspendedUntil) {
			out = append(out, id)
		}
	}
	return out
}

// Observation is what this VM observed of a target since the last call of TakeObservations.
type Observation struct {
	ID string
	// ServiceTime is the mean time of the Answers without queueing; zero without any.
	ServiceTime time.Duration
	Answers     int
	Failures    int
	// Load is the number of requests at the target that it reported at LoadAt; it is valid
	// only if LoadKnown is set.
	Load      int
	LoadKnown bool
	LoadAt    time.Time
	// WorkPercent is how long work took at LoadAt, in percent of the usual time; zero if the target did not say.
	WorkPercent int
}

// TakeObservations returns what was observed since its last call, for each target of which
// anything was.
func (b *Balancer) TakeObservations() []Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Observation
	for id, s := range b.states {
		if s.unreported == (Observation{}) {
			continue
		}
		observation := s.unreported
		observation.ID = id
		if observation.Answers > 0 {
			observation.ServiceTime = s.unreportedServiceTime / time.Duration(observation.Answers)
		}
		out = append(out, observation)
		s.unreported, s.unreportedServiceTime = Observation{}, 0
	}
	return out
}

// SharedStats is what all VMs together know of a target.
type SharedStats struct {
	ID string
	// ServiceTime is the mean time of a request without queueing; zero if unknown.
	ServiceTime time.Duration
	// FailureRate is the share of failed requests.
	FailureRate float64
	// Load is the number of requests at the target, LoadAge ago; it is valid only if LoadKnown
	// is set.
	Load      int
	LoadKnown bool
	LoadAge   time.Duration
	// WorkPercent is how long work took LoadAge ago, in percent of the usual time; zero if unknown.
	WorkPercent int
}

// sharedStatsWeight is the weight of SharedStats against what this VM knows.
const sharedStatsWeight = 0.5

// MergeStats merges the statistics of all VMs into the state of the targets. One of many VMs
// gets too few answers from each target to know its speed and load by itself.
func (b *Balancer) MergeStats(all []SharedStats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	for _, stats := range all {
		s := b.state(stats.ID)
		if stats.ServiceTime > 0 && !s.hasAnswered {
			// This VM has just started, or the target is new to it. Half of the initial estimate would be far off.
			s.hasAnswered = true
			s.serviceTime = stats.ServiceTime
		} else if stats.ServiceTime > 0 {
			s.serviceTime += time.Duration(sharedStatsWeight * float64(stats.ServiceTime-s.serviceTime))
		}
		s.failureRate += sharedStatsWeight * (stats.FailureRate - s.failureRate)
		s.pace.record(stats.WorkPercent, now.Add(-stats.LoadAge))
		if at := now.Add(-stats.LoadAge); stats.LoadKnown && at.After(s.othersLoadAt) {
			s.recordLoad(float64(stats.Load-len(s.inFlight)), at)
		}
	}
}
