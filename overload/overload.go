// Package overload decides which requests are served while a service gets more requests than it
// can serve, and when refused callers return.
//
// Requests wait in the queues of the targets, which all VMs see through the loads that the targets
// report. A less urgent kind of request may only join a shorter queue, so that the room near the
// limit is left to the more urgent ones, whichever VM they reach. The VMs need not communicate.
package overload

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/basiltally/basiltally/admission"
)

const (
	// rankShare is the part of the wait of a rank that the next lower rank may have. With a smaller
	// part slots idle between the arrivals of admitted requests: at 0.4 the keyed service of the tests
	// lost 0.04 of its value in the surge.
	rankShare = 0.8
	// urgentReach is the part of its latency target for which a request of the highest rank is
	// admitted where nearly all requests are less urgent. An answer that is late at times costs less
	// than a refusal. Where most requests are urgent themselves, all of them would be late.
	urgentReach = 2
	// lateShare is the part of the mean wait of its kind that is allowed to a request that has missed
	// its latency target, mostly one whose caller has returned. In the surge of the tests, patient
	// callers of the keyed service returned 1.79 times at 0.5, 1.66 times at 1, and 1.55 times at 1.5,
	// where a surge of urgent requests as a whole lost value.
	lateShare = 1
	// minWorkFactor bounds how much a kind with more work than the mean of its service has its wait
	// shortened. It is not below rankShare, so that work does not outweigh priority.
	minWorkFactor = 0.8
	// minRelativeWork and maxRelativeWork bound the work of a kind against the mean of its service.
	minRelativeWork, maxRelativeWork = 0.2, 5
	// workWeight is the weight of one answer without queueing in the mean work of its kind.
	workWeight = 0.05
	// allowanceWeight is the weight of one request in the mean wait that a kind's latency target allows.
	allowanceWeight = 0.1
	// floorShare is the share of its requests that each kind keeps, as far as the highest rank has room.
	floorShare = 0.25
	// countTime is the time constant with which counts of requests decay.
	countTime = 3 * time.Second
	// presentTime is how long after its last request a kind counts as having requests.
	presentTime = 3 * time.Second
	// forgetTime is how long after its last request a kind is forgotten.
	forgetTime = 10 * time.Minute
	// learnTime is the time after the start in which all ranks may wait equally long: the VM does
	// not know yet which kinds have requests.
	learnTime = time.Second
)

// Kind identifies requests that need similar work: those of a route to a service.
type Kind struct {
	Service, Route string
	// Priority is the rank of the kind; 0 is the most urgent.
	Priority int
}

// Request is a request for which a target was chosen.
type Request struct {
	Kind
	// Expected is the time that a request of the service takes at the target on average.
	Expected admission.Estimate
	Limits   admission.Request
}

// Decision states whether a request is served.
type Decision struct {
	Admit bool
	// Late is set if the request cannot be answered before its deadline.
	Late bool
	// Raised is set if the request was decided as one of a higher rank because its kind has got
	// less than its floor.
	Raised bool
	// Wait is the expected wait, and Allowed the longest with which the request is admitted.
	Wait, Allowed time.Duration
	// RoomIn is the time after which the target should have room.
	RoomIn time.Duration
}

// Policy decides which requests are served. It is safe for concurrent use.
type Policy struct {
	random func() float64

	mu       sync.Mutex
	started  time.Time
	services map[string][]*kindState
}

// kindState is what is known of a kind of request.
type kindState struct {
	Kind
	seen              time.Time
	arrivals, refused decayingCount
	// work is the mean work in units of the time that was expected of the targets.
	work    float64
	answers decayingCount
	// allowance is the mean wait that the latency target allows; zero until known.
	allowance time.Duration
}

// NewPolicy returns a Policy that starts at the given instant. random returns a number in [0, 1).
func NewPolicy(started time.Time, random func() float64) *Policy {
	return &Policy{random: random, started: started, services: map[string][]*kindState{}}
}

// CountRequest records that a request has arrived.
func (p *Policy) CountRequest(now time.Time, kind Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.kind(now, kind)
	k.seen = now
	k.arrivals.add(now, 1)
}

// CountRefused records that a request was refused for lack of room.
func (p *Policy) CountRefused(now time.Time, kind Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind(now, kind).refused.add(now, 1)
}

// Decide decides about a request.
func (p *Policy) Decide(now time.Time, r Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.kind(now, r.Kind)
	d, own := p.decide(now, k, r, p.raise(now, k))
	if r.Limits.UntilLatencyTarget > 0 {
		if k.allowance == 0 {
			k.allowance = own
		}
		k.allowance += time.Duration(allowanceWeight * float64(own-k.allowance))
	}
	return d
}

// Hopeless decides about a request whose body is not known yet. It refuses only a request that
// Decide would refuse even as one of the highest rank.
func (p *Policy) Hopeless(now time.Time, r Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, _ := p.decide(now, p.kind(now, r.Kind), r, math.MaxInt)
	return d
}

// raise returns by how many ranks the next request of the kind is raised. A kind that has got less
// than its floor has more of its requests raised, the less it has got.
func (p *Policy) raise(now time.Time, k *kindState) int {
	share := k.servedShare(now)
	switch {
	case share >= floorShare || p.random() >= 2*(1-share/floorShare):
		return 0
	case share >= floorShare/2:
		return 1
	default:
		// The next rank may be refused as well.
		return math.MaxInt
	}
}

// decide compares the expected wait with the one that the rank of the request allows. It also
// returns the wait that the latency target allows.
func (p *Policy) decide(now time.Time, k *kindState, r Request, raise int) (d Decision, own time.Duration) {
	kinds := p.services[k.Service]
	mean := meanWork(now, kinds)
	e := r.Expected
	e.Service = time.Duration(float64(e.Service) * min(max(k.work/mean, minRelativeWork), maxRelativeWork))
	allowed, own := k.allowedWait(k.standing(now, kinds), e, r.Limits, mean, raise)
	if now.Sub(p.started) < learnTime {
		allowed = admission.AllowedWait(e, r.Limits)
	}
	d = Decision{Wait: e.Wait, Allowed: allowed, Late: e.Total() > r.Limits.UntilDeadline, Raised: raise > 0}
	d.Admit, d.RoomIn = admission.DecideWithin(e, r.Limits, allowed)
	return d, own
}

// standing is the place of a kind among those of its service that have requests now.
type standing struct {
	// above is the number of higher ranks.
	above int
	// below is the part of lower ranks in the recent requests.
	below float64
	// limit is the least allowance of the kinds that are more urgent, or as urgent and need less work.
	limit time.Duration
}

func (k *kindState) standing(now time.Time, kinds []*kindState) standing {
	s := standing{limit: math.MaxInt64}
	var below, total float64
	above := make([]int, 0, 8)
	for _, other := range kinds {
		if now.Sub(other.seen) > presentTime {
			continue
		}
		if other.Priority < k.Priority && !slices.Contains(above, other.Priority) {
			above = append(above, other.Priority)
		}
		n := other.arrivals.at(now)
		total += n
		if other.Priority > k.Priority {
			below += n
		}
		first := other.Priority < k.Priority || other.Priority == k.Priority && other.work < k.work
		if first && other.allowance > 0 {
			s.limit = min(s.limit, other.allowance)
		}
	}
	s.above, s.below = len(above), below/max(total, 1)
	return s
}

// allowedWait returns the longest wait with which a request of the kind is admitted at a target
// with the estimate e, and the one that its own latency target allows.
func (k *kindState) allowedWait(s standing, e admission.Estimate, limits admission.Request, mean float64, raise int) (allowed, own time.Duration) {
	// least is what admission allows whatever the latency target.
	least := admission.AllowedWait(e, admission.Request{})
	own = least
	if limits.UntilLatencyTarget > 0 {
		if s.above == 0 {
			reach := 1 + (urgentReach-1)*s.below
			limits.UntilLatencyTarget = time.Duration(reach * float64(limits.UntilLatencyTarget))
		}
		own = admission.AllowedWait(e, limits)
	} else {
		untilDeadline := admission.AllowedWait(e, admission.Request{UntilLatencyTarget: limits.UntilDeadline})
		own = max(own, min(lateShare*k.allowance, untilDeadline))
	}
	rank := float64(max(s.above-raise, 0))
	factor := math.Pow(rankShare, rank) * min(max(mean/k.work, minWorkFactor), 1)
	// A kind with a long latency target must not fill the queue beyond what a more urgent kind, or
	// one with less work, can accept.
	return min(max(time.Duration(float64(min(own, s.limit))*factor), least), own), own
}

// Share returns the share of the requests of the kind that can be served if the given share of all
// requests of its service can. The highest rank comes first, but each rank keeps floorShare of
// its part.
func (p *Policy) Share(now time.Time, kind Kind, share float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var above, same, below float64
	for _, k := range p.services[kind.Service] {
		n := k.arrivals.at(now)
		switch {
		case k.Priority < kind.Priority:
			above += n
		case k.Priority == kind.Priority:
			same += n
		default:
			below += n
		}
	}
	if same == 0 {
		return share
	}
	room := share * (above + same + below)
	room -= floorShare * share * below
	// The higher ranks leave what the floors of this and the lower ranks take.
	room -= min(above, room-floorShare*share*same)
	return min(room/same, 1)
}

// Observe records that a target has answered a request after the given time, without the round
// trip, when the given estimate was expected.
func (p *Policy) Observe(now time.Time, kind Kind, took time.Duration, expected admission.Estimate) {
	if expected.Service <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.kind(now, kind)
	k.answers.add(now, 1)
	ratio := float64(took-expected.Wait) / float64(expected.Service)
	ratio = min(max(ratio, minRelativeWork), maxRelativeWork)
	// After a long wait an answer says little about the work, because the error of the expected
	// wait is as large as the work.
	certainty := float64(expected.Service) / float64(expected.Service+expected.Wait)
	k.work += workWeight * certainty * certainty * (ratio - k.work)
}

// kind returns the state of the kind. The caller must hold mu.
func (p *Policy) kind(now time.Time, kind Kind) *kindState {
	kinds := p.services[kind.Service]
	for _, k := range kinds {
		if k.Kind == kind {
			return k
		}
	}
	kinds = slices.DeleteFunc(kinds, func(k *kindState) bool { return now.Sub(k.seen) > forgetTime })
	k := &kindState{Kind: kind, seen: now, work: 1}
	p.services[kind.Service] = append(kinds, k)
	return k
}

// meanWork returns the mean work of the kinds, weighted by their answers.
func meanWork(now time.Time, kinds []*kindState) float64 {
	// One answer of work 1 stands for what is not known yet.
	sum, count := 1.0, 1.0
	for _, k := range kinds {
		n := k.answers.at(now)
		sum += n * k.work
		count += n
	}
	return sum / count
}

// servedShare returns the share of the recent requests of the kind that were not refused.
func (k *kindState) servedShare(now time.Time) float64 {
	arrivals := k.arrivals.at(now)
	if arrivals < 1 {
		return 1
	}
	return 1 - min(k.refused.at(now)/arrivals, 1)
}

// decayingCount is a count that decays exponentially with countTime.
type decayingCount struct {
	value float64
	last  time.Time
}

func (c *decayingCount) at(now time.Time) float64 {
	if elapsed := now.Sub(c.last); elapsed > 0 {
		c.value *= math.Exp(-float64(elapsed) / float64(countTime))
		c.last = now
	}
	return c.value
}

func (c *decayingCount) add(now time.Time, n float64) { c.value = c.at(now) + n }

// perSecond returns the rate of what was counted.
func (c *decayingCount) perSecond(now time.Time) float64 { return c.at(now) / countTime.Seconds() }
