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
	"sync"
	"time"
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
	// Default 8, or 4 with EvenSpread.
	MinSubsetSize int
	// PreferRegion sends requests to targets of other regions only while those of this region are full, or are not
	// expected to answer within the latency target.
	PreferRegion bool
	// EvenSpread makes the VMs use subsets of equal size that cover each target equally often, and fewer VMs use a target,
	// so that more of its load is what the VM has sent itself. Without it,
	// some targets are in the subsets of far more VMs than others. It needs SetPeers.
	EvenSpread bool
	// LearnFull makes refusals and resets of targets that were probably full count as a full load, above which they get no
	// requests, in place of failures.
	LearnFull bool
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
	if o.EvenSpread {
		o.MinSubsetSize = cmp.Or(o.MinSubsetSize, 4)
	}
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
	// evenSampleSize is the same for both with EvenSpread, where few VMs know the same targets.
	evenSampleSize = 6
	// evenLoadCost is the number of service times that EvenSpread adds to the score of a target with all slots busy.
	// Without it, fast targets get nearly all requests while the load is low.
	evenLoadCost = 4
	// maxFullDrawn is the number of targets that may seem full before a sample is given up. If all targets were
	// searched for one that has room, all VMs would find the same few.
	maxFullDrawn = 6
	// farSubsetRatio is the number of targets of other regions in the subset, as a share of
	// the number of those of this region.
	farSubsetRatio = 0.5
	// subsetsPerTarget is the number of VMs that should have a given target in their subset,
	// and evenSubsetsPerTarget the same with EvenSpread. With fewer of them, more of a target's load is what this VM has sent.
	subsetsPerTarget     = 4
	evenSubsetsPerTarget = 3
	// farServiceCost is the share of its service time that is added to the score of a
	// target of another region, because the traffic between regions is billed by the byte.
	farServiceCost = 1
)

// Candidate describes a target that may get a request.
type Candidate struct {
	ID                 string
	Service            string
	DataCentre, Region string
	Slots              int
	// Keyed is set if only the owner of its key may serve a request. Refusals by the owner of a hot key show nothing of the
	// other targets.
	Keyed bool
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
	// services has, for each service of which a target refused a request because it was full, what is known of
	// that.
	services map[string]*serviceRefusals
	// maxInFlight is the number of requests that this VM may have in flight at one target.
	maxInFlight int
	// maxBodyBytes is the number of bytes of request bodies that this VM may have in flight at one target; zero is no bound.
	maxBodyBytes int64
	// vms is the number of VMs that share the targets; zero while unknown.
	vms int
	// position is this VM's place among all VMs, from 0 to 1; positioned is set if it is known.
	position   float64
	positioned bool
}

// targetState is what is known of one target.
type targetState struct {
	inFlight   map[uint64]inFlightRequest
	lastNumber uint64
	// bodyBytes is the sum of the bodies of inFlight, and held has those of requests that were given up.
	bodyBytes int64
	held      []heldBody
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
	// service, slots and keyed are those of the target's latest Candidate.
	service string
	slots   int
	keyed   bool
	// refusedLoad is the lowest load at which the target refused a request lately, and heldLoad the highest that it
	// reported.
	refusedLoad, heldLoad recentExtreme
	// resetLoad is the estimated load at which the target reset a connection, until an answer or a failure to connect shows
	// whether it has crashed; else zero.
	resetLoad float64
	pace      workPace
}

// inFlightRequest is a request that a target has not answered yet.
type inFlightRequest struct {
	sentAt time.Time
	// slowdown is the time that the request was expected to take when it was sent, in
	// service times. It exceeds 1 because of the requests that were at the target before it.
	slowdown float64
	// load is the estimated number of requests at the target before this one.
	load float64
	// risk is the probability with which a refusal was expected.
	risk float64
	// workFactor is the target's workPace when the request was sent; zero if unknown.
	workFactor float64
	bodyBytes  int64
}

// New returns a Balancer without any observations.
func New(opts Options) *Balancer {
	return &Balancer{opts: opts.withDefaults(), states: map[string]*targetState{}, services: map[string]*serviceRefusals{}, maxInFlight: math.MaxInt}
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
