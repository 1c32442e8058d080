package placing

import (
	"math"
	"time"
)

// score returns the expected time in seconds until the target has answered the request,
// increased by costs and penalties. The lowest score is best.
func (b *Balancer) score(candidate *Candidate, bulk bool, now time.Time) float64 {
	s := b.state(candidate.ID)
	service, wait := b.expected(s, candidate, now)
	score := (service + wait + b.distanceCost(candidate, bulk)).Seconds()
	if b.distanceOf(candidate) == otherRegion {
		score += farServiceCost * service.Seconds()
	}
	if !candidate.Connected {
		score += b.opts.ConnectCost.Seconds()
	}
	score += s.failureRate * failureCost.Seconds()
	if now.Before(s.suspendedUntil) {
		score += 10 * failureCost.Seconds()
	}
	if s.stalled(now) {
		score += 5 * failureCost.Seconds()
	}
	return score
}

// expected returns the time that the target would work on one more request, and the time
// that the request would wait before that.
func (b *Balancer) expected(s *targetState, candidate *Candidate, now time.Time) (work, wait time.Duration) {
	return b.expectedAt(s, candidate, b.load(s, now), now)
}

// expectedAt returns the same for a number of requests at the target.
func (b *Balancer) expectedAt(s *targetState, candidate *Candidate, load float64, now time.Time) (work, wait time.Duration) {
	service := float64(s.serviceTime) * s.pace.expected(now)
	if now.Before(candidate.ColdUntil) {
		service *= b.opts.ColdFactor
	}
	contention, queueing := b.delays(s, candidate, load)
	return time.Duration(service * (1 + contention)), time.Duration(service * queueing)
}

// delays returns how much a number of requests at the target, load, delay the next one, in service times:
// contention by running beside it, and queueing by being ahead of it, either in the target's
// queue or on this VM while all connections that it may have to the target are in use.
func (b *Balancer) delays(s *targetState, candidate *Candidate, load float64) (contention, queueing float64) {
	slots := float64(max(candidate.Slots, 1))
	queuedHere := max(len(s.inFlight)-b.maxInFlight, 0)
	ahead := load - float64(queuedHere)
	// Running requests slow each other down before all slots are busy, so that contention
	// grows from the first one.
	contention = contentionCost * math.Pow(min(ahead/slots, 1), 2)
	queueing = max(ahead+1-slots, 0) / slots
	if len(s.inFlight) >= b.maxInFlight {
		rounds := float64(queuedHere+1) / float64(b.maxInFlight)
		queueing += rounds * (1 + contention + queueing)
	}
	return contention, queueing
}

// load returns the estimated number of requests at the target: those of this VM exactly, and
// those of others by the last report, which approaches their mean as it ages.
func (b *Balancer) load(s *targetState, now time.Time) float64 {
	return float64(len(s.inFlight)) + s.othersMeanLoad + (s.othersLoad-s.othersMeanLoad)*b.decay(s, now)
}

// estimatedLoad returns the estimated number of requests at the target, for the expected time of a request that has no
// other target.
func (b *Balancer) estimatedLoad(s *targetState, candidate *Candidate, now time.Time) float64 {
	if candidate.Slots > fewSlots {
		return b.load(s, now)
	}
	return b.recentLoad(s, now)
}

// recentLoad returns the same from the reports of the last seconds. The mean in load weighs reports and not time, so that
// a VM that seldom sends to a target takes it for as busy as it was at the last few reports, however
// old they are. If the VMs then refuse its requests, nothing shows them that it is idle.
func (b *Balancer) recentLoad(s *targetState, now time.Time) float64 {
	mean := s.othersRecentLoad * math.Exp(-float64(now.Sub(s.othersLoadAt))/float64(recentLoadTime))
	return float64(len(s.inFlight)) + mean + (s.othersLoad-mean)*b.decay(s, now)
}

// leastLoad returns the number of requests at a target with few slots if no other VM has sent one since the last report:
// those that were reported less those that have been worked off since. With a mean of the past in its place, VMs that
// seldom send to the target would refuse requests while it has a free slot.
func leastLoad(s *targetState, candidate *Candidate, now time.Time) float64 {
	workedOff := float64(now.Sub(s.othersLoadAt)) / (float64(s.serviceTime) * s.pace.expected(now)) * float64(candidate.Slots)
	return float64(len(s.inFlight)) + max(s.othersLoad-workedOff, 0)
}

// decay returns how much of the last report still holds, from 1 to 0.
func (b *Balancer) decay(s *targetState, now time.Time) float64 {
	return math.Exp(-float64(now.Sub(s.othersLoadAt)) / (float64(s.serviceTime) * s.pace.expected(now)))
}

// Distance returns how far away the target is: "data_centre", "region" or "other_region".
func (b *Balancer) Distance(candidate *Candidate) string {
	return [distanceCount]string{"data_centre", "region", "other_region"}[b.distanceOf(candidate)]
}

// RoundTrip returns the network time to the target and back.
func (b *Balancer) RoundTrip(candidate *Candidate) time.Duration {
	return [distanceCount]time.Duration{0, b.opts.NearRoundTrip, b.opts.FarRoundTrip}[b.distanceOf(candidate)]
}

// distanceCost returns the round trip to the target, plus the cost of the traffic for bulk
// requests.
func (b *Balancer) distanceCost(candidate *Candidate, bulk bool) time.Duration {
	d := b.RoundTrip(candidate)
	if bulk {
		d += [distanceCount]time.Duration{0, b.opts.BulkNearCost, b.opts.BulkFarCost}[b.distanceOf(candidate)]
	}
	return d
}

// stalled reports whether a request in flight is far older than the service time and the
// target has answered nothing since that request was sent.
func (s *targetState) stalled(now time.Time) bool {
	for _, r := range s.inFlight {
		age := now.Sub(r.sentAt)
		if age > max(minStallAge, stallFactor*s.serviceTime) && s.lastAnswer.Before(r.sentAt) {
			return true
		}
	}
	return false
}

// Expected returns the time that the target would work on one more request, and the time
// that the request would wait before that, both without the round trip.
func (b *Balancer) Expected(candidate *Candidate) (work, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.state(candidate.ID), b.opts.Now()
	if candidate.Slots > fewSlots {
		return b.expected(s, candidate, now)
	}
	return b.expectedAt(s, candidate, leastLoad(s, candidate, now), now)
}

// Reachable reports whether the target is not suspended, that is, whether this VM may try to
// connect to it.
func (b *Balancer) Reachable(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.opts.Now().Before(b.state(id).suspendedUntil)
}
