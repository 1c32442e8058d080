// Package placing balances requests over the targets of a service: it chooses the
// target for a request that any target of a service may serve, and estimates how long
// a request will wait at a target.
//
// Many VMs share targets that have a few slots each and differ in speed, and a VM does
// not see the requests of other VMs. The requests that this VM has in flight therefore
// count exactly, while the load that a target last reported counts less the older it is.
package placing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Options configure a Balancer.
type Options struct {
	// VM is the name of this VM. Each VM derives its own subset of the targets from it.
	VM string
	// DataCentre and Region are the location of this VM.
	DataCentre, Region string
	// NearRoundTrip and FarRoundTrip are the times that a request takes in addition if the
	// target is in another data centre of the region, or in another region. Defaults 2 ms
	// and 25 ms.
	NearRoundTrip, FarRoundTrip time.Duration
	// BulkNearCost and BulkFarCost are added to the score of bulk requests to another data
	// centre or region, because the traffic between these is billed by the byte. Defaults
	// 40 ms and 400 ms.
	BulkNearCost, BulkFarCost time.Duration
	// ConnectCost is added to the score if a connection must be opened, which takes a round
	// trip and briefly a slot of the target. It makes each VM reuse a part of the targets
	// while these are not busy. Default 15 ms.
	ConnectCost time.Duration
	// ServiceTime is the initial estimate for a target without observations. Default 80 ms.
	ServiceTime time.Duration
	// ColdFactor is how many times slower a target is during its warm-up. Default 2.
	ColdFactor float64
	// MinSubsetSize is the least number of targets of this region that the VM uses. With
	// more of them it opens more connections and observes each target less often.
	// Default 8.
	MinSubsetSize int
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	// Random returns a number in [0, n). Default rand.IntN of math/rand/v2.
	Random func(n int) int
}

func (o Options) withDefaults() Options {
	o.NearRoundTrip = cmp.Or(o.NearRoundTrip, 2*time.Millisecond)
	o.FarRoundTrip = cmp.Or(o.FarRoundTrip, 25*time.Millisecond)
	o.BulkNearCost = cmp.Or(o.BulkNearCost, 40*time.Millisecond)
	o.BulkFarCost = cmp.Or(o.BulkFarCost, 400*time.Millisecond)
	o.ConnectCost = cmp.Or(o.ConnectCost, 15*time.Millisecond)
	o.ServiceTime = cmp.Or(o.ServiceTime, 80*time.Millisecond)
	o.ColdFactor = cmp.Or(o.ColdFactor, 2)
	o.MinSubsetSize = cmp.Or(o.MinSubsetSize, 8)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Random == nil {
		o.Random = rand.IntN
	}
	return o
}

const (
	// serviceTimeWeight is the weight of one answer in the moving mean of the service time.
	serviceTimeWeight = 0.1
	// loadWeight is the weight of one report in the moving mean of the load.
	loadWeight = 0.1
	// recentLoadTime is the time constant of the mean of a target's recent load. A queue of ten requests at two slots is worked
	// off within a second.
	recentLoadTime = time.Second
	// fewSlots is the number of slots up to which Begin and Expected count recent reports only.
	fewSlots = 3
	// failureWeight is the weight of one answer in the failure rate.
	failureWeight = 0.1
	// failureCost is the time that a failure rate of 1 adds to the score.
	failureCost = time.Second
	// minSuspension and maxSuspension bound how long a target is left out after a
	// connection to it could not be opened. The time doubles with each failure in a row.
	minSuspension = 200 * time.Millisecond
	maxSuspension = 2 * time.Second
	// stallFactor is the age of a request in flight, in service times, from which the
	// target counts as stalled.
	stallFactor = 8
	// minStallAge is the least age of a request in flight at which the target counts as stalled.
	minStallAge = 600 * time.Millisecond
	// contentionCost is the share of the service time that is added when all slots are busy,
	// because concurrent requests slow each other down.
	contentionCost = 0.3
	// exploreOneIn is the number of requests of which one, on average, is sent to a target
	// that has not answered yet.
	exploreOneIn = 10
	// nearSampleSize and farSampleSize are the numbers of targets of this region and of
	// other regions that are compared for a request. With larger samples the VMs, which
	// all know the same outdated load, would choose the same targets.
	nearSampleSize = 2
	farSampleSize  = 1
	// farSubsetRatio is the number of targets of other regions in the subset, as a share of
	// the number of those of this region.
	farSubsetRatio = 0.5
	// subsetsPerTarget is the number of VMs that should have a given target in their subset.
	subsetsPerTarget = 4
	// farServiceCost is the share of its service time that is added to the score of a
	// target of another region, because the traffic between regions is billed by the byte.
	farServiceCost = 1
)

// Candidate describes a target that may get a request.
type Candidate struct {
	ID                 string
	DataCentre, Region string
	Slots              int
	// Connected is set if an idle connection to the target is open that the request can use.
	Connected bool
	// ColdUntil is the end of the target's warm-up, until which it is slow.
	ColdUntil time.Time
}

// Balancer chooses targets by what this VM and others have observed of them. It is safe
// for concurrent use.
type Balancer struct {
	opts Options

	mu     sync.Mutex
	states map[string]*targetState
	// maxInFlight is the number of requests that this VM may have in flight at one target.
	maxInFlight int
	// vms is the number of VMs that share the targets; zero while unknown.
	vms int
}

// targetState is what is known of one target.
type targetState struct {
	inFlight   map[uint64]inFlightRequest
	lastNumber uint64
	// othersLoad is the number of requests of other VMs at the target at othersLoadAt, by
	// its latest load report.
	othersLoad   float64
	othersLoadAt time.Time
	// rank is the target's place in this VM's own order of the targets, which determines
	// its subset; zero until computed.
	rank uint64
	// othersMeanLoad is the moving mean of othersLoad.
	othersMeanLoad float64
	// othersRecentLoad is the mean of othersLoad over recentLoadTime.
	othersRecentLoad float64
	// serviceTime is the moving mean of the time of a request without its queueing.
	serviceTime time.Duration
	failureRate float64
	// unreported is what was observed since the last call of TakeObservations.
	unreported Observation
	// hasAnswered is set once the target has answered any VM.
	hasAnswered bool
	// unreportedServiceTime is the sum of the service times of the answers in unreported.
	unreportedServiceTime time.Duration
	// connectFailures counts the failed attempts to connect since the last answer.
	connectFailures int
	suspendedUntil  time.Time
	lastAnswer      time.Time
}

// inFlightRequest is a request that a target has not answered yet.
type inFlightRequest struct {
	sentAt time.Time
	// slowdown is the time that the request was expected to take when it was sent, in
	// service times. It exceeds 1 because of the requests that were at the target before it.
	slowdown float64
}

// New returns a Balancer without any observations.
func New(opts Options) *Balancer {
	return &Balancer{opts: opts.withDefaults(), states: map[string]*targetState{}, maxInFlight: math.MaxInt}
}

func (b *Balancer) state(id string) *targetState {
	s := b.states[id]
	if s == nil {
		s = &targetState{inFlight: map[uint64]inFlightRequest{}, serviceTime: b.opts.ServiceTime}
		b.states[id] = s
	}
	return s
}

// Retain discards the state of all targets without requests in flight for which known
// returns false.
func (b *Balancer) Retain(known func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if !known(id) && len(s.inFlight) == 0 {
			delete(b.states, id)
		}
	}
}

// Pick returns the candidate with the shortest expected time for a request, out of a random
// sample of this VM's subset, or nil if all candidates are in avoid. If it returned the best
// of all candidates, the VMs would send all their requests to the same few targets until
// newer load reports arrived. Suspended and stalled targets are chosen only if there is no
// other.
func (b *Balancer) Pick(candidates []Candidate, bulk bool, avoid []string) *Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	if candidate := b.explore(candidates, avoid, now); candidate != nil {
		return candidate
	}
	var best *Candidate
	bestScore := math.Inf(1)
	for _, candidate := range b.sample(candidates, avoid, now) {
		if score := b.score(candidate, bulk, now); score < bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// Distances of a target from this VM.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	distanceCount
)

func (b *Balancer) distanceOf(candidate *Candidate) int {
	switch {
	case candidate.DataCentre == b.opts.DataCentre:
		return sameDataCentre
	case candidate.Region == b.opts.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// sample returns a few random candidates out of this VM's subset. If none of the subset is
// usable, or the request was tried before, it draws from all candidates. If none of these is
// usable, it returns all that are not in avoid.
func (b *Balancer) sample(candidates []Candidate, avoid []string, now time.Time) []*Candidate {
	near, far := b.byRegion(candidates)
	out := make([]*Candidate, 0, nearSampleSize+farSampleSize)
	if len(avoid) == 0 {
		size := b.subsetSize(len(candidates))
		out = b.draw(out, b.subset(near, size), nearSampleSize, avoid, now)
		out = b.draw(out, b.subset(far, int(math.Ceil(farSubsetRatio*float64(size)))), farSampleSize, avoid, now)
	}
	if len(out) == 0 {
		out = b.draw(out, near, nearSampleSize, avoid, now)
		out = b.draw(out, far, farSampleSize, avoid, now)
	}
	if len(out) > 0 {
		return out
	}
	for i := range candidates {
		if !slices.Contains(avoid, candidates[i].ID) {
			out = append(out, &candidates[i])
		}
	}
	return out
}

// byRegion separates the candidates of this region from those of other regions.
func (b *Balancer) byRegion(candidates []Candidate) (near, far []*Candidate) {
	for i := range candidates {
		if b.distanceOf(&candidates[i]) == otherRegion {
			far = append(far, &candidates[i])
		} else {
			near = append(near, &candidates[i])
		}
	}
	return near, far
}

// subsetSize returns the number of targets that a VM uses. It is chosen so that each target
// is in the subsets of several VMs.
func (b *Balancer) subsetSize(targets int) int {
	if b.vms == 0 {
		return targets
	}
	return max(b.opts.MinSubsetSize, (subsetsPerTarget*targets+b.vms-1)/b.vms)
}

// subset returns the first candidates by rank. The ranks do not change, so that the subset
// hardly changes when targets are added or removed.
func (b *Balancer) subset(candidates []*Candidate, size int) []*Candidate {
	if len(candidates) <= size {
		return candidates
	}
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(x, y *Candidate) int { return cmp.Compare(b.rank(x.ID), b.rank(y.ID)) })
	return ordered[:size]
}

func (b *Balancer) rank(id string) uint64 {
	s := b.state(id)
	if s.rank == 0 {
		s.rank = xxh3.HashString(b.opts.VM + "/" + id)
	}
	return s.rank
}

// draw appends up to n usable candidates of from to out, in random order.
func (b *Balancer) draw(out, from []*Candidate, n int, avoid []string, now time.Time) []*Candidate {
	if len(from) == 0 {
		return out
	}
	for _, i := range b.randomOrder(len(from), b.opts.Random(len(from))) {
		if n == 0 {
			break
		}
		if slices.Contains(avoid, from[i].ID) || b.unusable(from[i], now) {
			continue
		}
		out = append(out, from[i])
		n--
	}
	return out
}

// randomOrder returns the numbers below n, beginning with start and advancing by a random
// stride that is coprime to n.
func (b *Balancer) randomOrder(n, start int) []int {
	out := make([]int, n)
	stride := 1
	if n > 2 {
		stride = 1 + b.opts.Random(n-1)
		for gcd(stride, n) != 1 {
			stride = stride%(n-1) + 1
		}
	}
	for i := range out {
		out[i] = (start + i*stride) % n
	}
	return out
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// unusable reports whether the target is suspended or stalled, or has as many requests of
// this VM in flight as it may.
func (b *Balancer) unusable(candidate *Candidate, now time.Time) bool {
	s := b.state(candidate.ID)
	return now.Before(s.suspendedUntil) || s.stalled(now) || len(s.inFlight) >= b.maxInFlight
}

// SetMaxInFlight sets how many requests this VM may have in flight at one target, at least 1.
func (b *Balancer) SetMaxInFlight(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxInFlight = max(n, 1)
}

// SetVMs sets how many VMs share the targets.
func (b *Balancer) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = n
}

// explore returns, for one in exploreOneIn requests, a target that has answered no VM yet, and
// nil for the others. Nothing is known of such a target, so by its score alone it might never
// get a request.
func (b *Balancer) explore(candidates []Candidate, avoid []string, now time.Time) *Candidate {
	if len(candidates) == 0 || b.opts.Random(exploreOneIn) > 0 {
		return nil
	}
	start := b.opts.Random(len(candidates))
	for i := range candidates {
		candidate := &candidates[(start+i)%len(candidates)]
		s := b.state(candidate.ID)
		if !s.hasAnswered && len(s.inFlight) == 0 && !now.Before(s.suspendedUntil) && !slices.Contains(avoid, candidate.ID) {
			return candidate
		}
	}
	return nil
}

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
	service := float64(s.serviceTime)
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
	decay := math.Exp(-float64(now.Sub(s.othersLoadAt)) / float64(s.serviceTime))
	return float64(len(s.inFlight)) + s.othersMeanLoad + (s.othersLoad-s.othersMeanLoad)*decay
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
	age := float64(now.Sub(s.othersLoadAt))
	mean := s.othersRecentLoad * math.Exp(-age/float64(recentLoadTime))
	decay := math.Exp(-age / float64(s.serviceTime))
	return float64(len(s.inFlight)) + mean + (s.othersLoad-mean)*decay
}

// leastLoad returns the number of requests at a target with few slots if no other VM has sent one since the last report:
// those that were reported less those that have been worked off since. With a mean of the past in its place, VMs that
// seldom send to the target would refuse requests while it has a free slot.
func leastLoad(s *targetState, candidate *Candidate, now time.Time) float64 {
	workedOff := float64(now.Sub(s.othersLoadAt)) / float64(s.serviceTime) * float64(candidate.Slots)
	return float64(len(s.inFlight)) + max(s.othersLoad-workedOff, 0)
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

// Begin records that a request is being sent to the target. It returns the request's number,
// which must be passed to End.
func (b *Balancer) Begin(candidate *Candidate) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.state(candidate.ID), b.opts.Now()
	contention, queueing := b.delays(s, candidate, b.estimatedLoad(s, candidate, now))
	s.lastNumber++
	s.inFlight[s.lastNumber] = inFlightRequest{sentAt: now, slowdown: 1 + contention + queueing}
	return s.lastNumber
}

// Outcome is how an exchange with a target ended.
type Outcome struct {
	// Answered is set if the target answered, with success or not.
	Answered bool
	// Failed is set if the target may have run the request, but failed or gave no valid answer.
	Failed bool
	// Refused is set if the target did not take the request, or no connection became free.
	Refused bool
	// Unreachable is set if no connection could be opened.
	Unreachable bool
	// Running and Waiting are the numbers of requests that the target reported with its
	// answer; LoadKnown is set if it did.
	Running, Waiting int
	LoadKnown        bool
	// RoundTrip is the network time, which does not count as service time.
	RoundTrip time.Duration
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
	if o.Unreachable {
		s.suspend(now)
		return
	}
	if o.Answered {
		s.hasAnswered = true
		s.lastAnswer = now
		s.connectFailures = 0
		s.suspendedUntil = time.Time{}
	}
	if o.LoadKnown {
		s.recordLoad(float64(o.Running+o.Waiting-len(s.inFlight)), now)
		s.unreported.LoadKnown, s.unreported.Load, s.unreported.LoadAt = true, o.Running+o.Waiting, now
	}
	switch {
	case o.Refused:
		// A target that refuses quickly would look idle, so refusals count as failures.
		if o.Answered {
			s.unreported.Failures++
			s.failureRate += failureWeight * (1 - s.failureRate)
		}
	case o.Failed:
		s.unreported.Failures++
		s.failureRate += failureWeight * (1 - s.failureRate)
	case o.Answered:
		s.failureRate -= failureWeight * s.failureRate
		s.recordServiceTime(now.Sub(r.sentAt)-o.RoundTrip, r.slowdown)
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
		if stats.ServiceTime > 0 {
			s.hasAnswered = true
			s.serviceTime += time.Duration(sharedStatsWeight * float64(stats.ServiceTime-s.serviceTime))
		}
		s.failureRate += sharedStatsWeight * (stats.FailureRate - s.failureRate)
		if at := now.Add(-stats.LoadAge); stats.LoadKnown && at.After(s.othersLoadAt) {
			s.recordLoad(float64(stats.Load-len(s.inFlight)), at)
		}
	}
}
