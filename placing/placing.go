// Package placing chooses the target for a request that any target of a service
// may serve, and estimates how long a request will wait at a target.
//
// It answers the load of many VMs that share targets of a few slots and different
// speeds without seeing each other's requests: this VM's own requests in flight
// count exactly, the load that a target told last counts less the older it is.
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

// Options of a Board.
type Options struct {
	// VM names this VM. It gives each VM a subset of its own.
	VM string
	// DataCentre and Region are those of this VM.
	DataCentre, Region string
	// NearRoundTrip and FarRoundTrip are what another data centre of the region and
	// another region add to a request. Defaults 2 ms and 25 ms.
	NearRoundTrip, FarRoundTrip time.Duration
	// BulkNearCost and BulkFarCost are added for bulk requests, whose bytes are paid
	// for between data centres and regions. Defaults 40 ms and 400 ms.
	BulkNearCost, BulkFarCost time.Duration
	// ConnectCost is added if a connection must be opened, which takes a round trip
	// and a slot of the target for a moment. It makes each VM keep to some of the
	// targets while they are not busy. Default 15 ms.
	ConnectCost time.Duration
	// ServiceTime is assumed of a target that is not known yet. Default 80 ms.
	ServiceTime time.Duration
	// Cold is how many times slower a target is that has just started. Default 2.
	ColdFactor float64
	// Subset is the least number of targets of this region that the VM keeps to. The
	// more it has, the more connections it opens and the less it sees of each.
	// Default 8, from the model in the tests.
	MinSubsetSize int
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Random returns a number in [0, n). Default math/rand/v2.
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
	// serviceWeight is the weight of one answer in the mean service time.
	serviceWeight = 0.1
	// usualWeight is the weight of one report in the mean load.
	usualWeight = 0.1
	// errorWeight is the weight of one answer in the share of failures.
	errorWeight = 0.1
	// errorCost is the time that a certain failure is worth.
	errorCost = time.Second
	// suspendMin and suspendMax bound how long a target without connections is left
	// out; the time doubles with each failure.
	suspendMin = 200 * time.Millisecond
	suspendMax = 2 * time.Second
	// stallFactor is by how much the oldest request in flight may exceed the service
	// time before the target is taken to have stalled.
	stallFactor = 8
	// stallMin is the least age at which a request in flight counts as stalled.
	stallMin = 600 * time.Millisecond
	// crowdCost is the share of the service time that is added when all slots are busy.
	crowdCost = 0.3
	// exploreOneIn is the number of requests of which one tries a target without any answer.
	exploreOneIn = 10
	// nearSample and farSample are the numbers of targets of this region and of others
	// that are compared for a request. With more, the VMs, which all know the same old
	// load, choose alike.
	nearSample = 2
	farSample  = 1
	// farSubset is the part of the subset's size that is taken of other regions.
	farSubset = 0.5
	// subsetsPerTarget is the number of VMs that are to have a target in their subset.
	subsetsPerTarget = 4
	// farWork is the share of its service time that a target of another region must
	// be faster: bytes between regions are paid for.
	farWork = 1
)

// Site is a target as the Board needs it.
type Site struct {
	ID                 string
	DataCentre, Region string
	Slots              int
	// Connected is set if a connection to the target is kept that the request can use.
	Connected bool
	// ColdUntil is the instant until which the target is slow after its start.
	ColdUntil time.Time
}

// Board keeps what this VM sees of the targets.
type Balancer struct {
	opts Options

	mu    sync.Mutex
	stats map[string]*stat
	// maxInFlight bounds the requests of this VM at one target.
	maxInFlight int
	// vms is the number of VMs that share the targets; zero while it is not known.
	vms int
}

// stat is what is known of one target.
type stat struct {
	inFlight map[uint64]flight
	next     uint64
	// told is the load of others at the target when it last told, at toldAt.
	told   float64
	toldAt time.Time
	// rank orders the targets for this VM's subset.
	rank uint64
	// usual is the mean of what was told.
	usual float64
	// service is the mean time of a request without waiting.
	service time.Duration
	errors  float64
	// seen is what is to be reported.
	seen Observation
	// proven is set once any VM had an answer.
	proven bool
	// sum is the time of the answers in seen.
	sum time.Duration
	// refused counts the failures in a row without which suspendedUntil passes.
	refused        int
	suspendedUntil time.Time
	lastAnswer     time.Time
}

// flight is a request at a target.
type flight struct {
	sentAt time.Time
	// queueing is how many times the service time the request was expected to take
	// when it was sent, for the requests ahead of it.
	queueing float64
}

// New returns a Board that knows nothing.
func New(opts Options) *Balancer {
	return &Balancer{opts: opts.withDefaults(), stats: map[string]*stat{}, maxInFlight: math.MaxInt}
}

func (b *Balancer) stat(id string) *stat {
	s := b.stats[id]
	if s == nil {
		s = &stat{inFlight: map[uint64]flight{}, service: b.opts.ServiceTime}
		b.stats[id] = s
	}
	return s
}

// Keep forgets all targets but those for which known returns true.
func (b *Balancer) Retain(known func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.stats {
		if !known(id) && len(s.inFlight) == 0 {
			delete(b.stats, id)
		}
	}
}

// Pick returns the target on which a request is expected to be done first, out of a
// random sample of this VM's subset, or nil if there is none but those to avoid. Were
// the best of all taken, the VMs would send all their requests to the same few until
// they learned better. Suspended and stalled targets are taken only if there is no other.
func (b *Balancer) Pick(sites []Site, bulk bool, avoid []string) *Site {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	if site := b.unproven(sites, avoid, now); site != nil {
		return site
	}
	var best *Site
	bestScore := math.Inf(1)
	for _, site := range b.sample(sites, avoid, now) {
		if score := b.score(site, bulk, now); score < bestScore {
			best, bestScore = site, score
		}
	}
	return best
}

// Distances of a target.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	distances
)

func (b *Balancer) distanceOf(site *Site) int {
	switch {
	case site.DataCentre == b.opts.DataCentre:
		return sameDataCentre
	case site.Region == b.opts.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// sample returns some targets at random out of this VM's subset. If none of the subset is
// of use, or the request was tried before, it draws from all targets, and if none of
// these is of use it returns all.
func (b *Balancer) sample(sites []Site, avoid []string, now time.Time) []*Site {
	near, far := b.byRegion(sites)
	out := make([]*Site, 0, nearSample+farSample)
	if len(avoid) == 0 {
		size := b.subsetSize(len(sites))
		out = b.draw(out, b.subset(near, size), nearSample, avoid, now)
		out = b.draw(out, b.subset(far, int(math.Ceil(farSubset*float64(size)))), farSample, avoid, now)
	}
	if len(out) == 0 {
		out = b.draw(out, near, nearSample, avoid, now)
		out = b.draw(out, far, farSample, avoid, now)
	}
	if len(out) > 0 {
		return out
	}
	for i := range sites {
		if !slices.Contains(avoid, sites[i].ID) {
			out = append(out, &sites[i])
		}
	}
	return out
}

// byRegion parts the targets of this region from the others.
func (b *Balancer) byRegion(sites []Site) (near, far []*Site) {
	for i := range sites {
		if b.distanceOf(&sites[i]) == otherRegion {
			far = append(far, &sites[i])
		} else {
			near = append(near, &sites[i])
		}
	}
	return near, far
}

// subsetSize is the number of targets that a VM keeps to, so that each of them is in
// the subsets of several VMs.
func (b *Balancer) subsetSize(targets int) int {
	if b.vms == 0 {
		return targets
	}
	return max(b.opts.MinSubsetSize, (subsetsPerTarget*targets+b.vms-1)/b.vms)
}

// subset returns the first targets in this VM's own order, which hardly changes when
// targets come and go.
func (b *Balancer) subset(sites []*Site, size int) []*Site {
	if len(sites) <= size {
		return sites
	}
	ordered := slices.Clone(sites)
	slices.SortFunc(ordered, func(x, y *Site) int { return cmp.Compare(b.rank(x.ID), b.rank(y.ID)) })
	return ordered[:size]
}

func (b *Balancer) rank(id string) uint64 {
	s := b.stat(id)
	if s.rank == 0 {
		s.rank = xxh3.HashString(b.opts.VM + "/" + id)
	}
	return s.rank
}

// draw appends up to n useful targets in random order.
func (b *Balancer) draw(out, from []*Site, n int, avoid []string, now time.Time) []*Site {
	if len(from) == 0 {
		return out
	}
	for _, i := range b.order(len(from), b.opts.Random(len(from))) {
		if n == 0 {
			break
		}
		if slices.Contains(avoid, from[i].ID) || b.useless(from[i], now) {
			continue
		}
		out = append(out, from[i])
		n--
	}
	return out
}

// order returns the numbers below n in an order that a random start and stride give.
func (b *Balancer) order(n, start int) []int {
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

// useless reports whether a request would likely be lost at the target.
func (b *Balancer) useless(site *Site, now time.Time) bool {
	s := b.stat(site.ID)
	return now.Before(s.suspendedUntil) || s.stalled(now) || len(s.inFlight) >= b.maxInFlight
}

// SetMaxInFlight sets how many requests this VM may have at one target.
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

// unproven returns, for some of the requests, a target that has answered no VM yet.
// Nothing is known of it, so that by its score it might never get a request.
func (b *Balancer) unproven(sites []Site, avoid []string, now time.Time) *Site {
	if len(sites) == 0 || b.opts.Random(exploreOneIn) > 0 {
		return nil
	}
	start := b.opts.Random(len(sites))
	for i := range sites {
		site := &sites[(start+i)%len(sites)]
		s := b.stat(site.ID)
		if !s.proven && len(s.inFlight) == 0 && !now.Before(s.suspendedUntil) && !slices.Contains(avoid, site.ID) {
			return site
		}
	}
	return nil
}

// score is the expected time in seconds until a request is done at the target.
func (b *Balancer) score(site *Site, bulk bool, now time.Time) float64 {
	s := b.stat(site.ID)
	service, wait := b.expected(s, site, now)
	score := (service + wait + b.distance(site, bulk)).Seconds()
	if b.distanceOf(site) == otherRegion {
		score += farWork * service.Seconds()
	}
	if !site.Connected {
		score += b.opts.ConnectCost.Seconds()
	}
	score += s.errors * errorCost.Seconds()
	if now.Before(s.suspendedUntil) {
		score += 10 * errorCost.Seconds()
	}
	if s.stalled(now) {
		score += 5 * errorCost.Seconds()
	}
	return score
}

// expected is the time that the target works on one more request, and the time
// that the request waits before.
func (b *Balancer) expected(s *stat, site *Site, now time.Time) (work, wait time.Duration) {
	service := float64(s.service)
	if now.Before(site.ColdUntil) {
		service *= b.opts.ColdFactor
	}
	crowding, queueing := b.delays(s, site, now)
	return time.Duration(service * (1 + crowding)), time.Duration(service * queueing)
}

// delays returns what the requests at the target add to the next one, in service
// times: by sharing the target with it, and by being ahead of it in the queue, there
// or here while all connections to the target that this VM may have are in use.
func (b *Balancer) delays(s *stat, site *Site, now time.Time) (crowding, queueing float64) {
	slots := float64(max(site.Slots, 1))
	waitsHere := max(len(s.inFlight)-b.maxInFlight, 0)
	ahead := b.load(s, now) - float64(waitsHere)
	// Work shares the target before all slots are busy: a little is added from the first.
	crowding = crowdCost * math.Pow(min(ahead/slots, 1), 2)
	queueing = max(ahead+1-slots, 0) / slots
	if len(s.inFlight) >= b.maxInFlight {
		turns := float64(waitsHere+1) / float64(b.maxInFlight)
		queueing += turns * (1 + crowding + queueing)
	}
	return crowding, queueing
}

// load is the number of requests at the target: own ones, and others as told.
func (b *Balancer) load(s *stat, now time.Time) float64 {
	forget := math.Exp(-float64(now.Sub(s.toldAt)) / float64(s.service))
	return float64(len(s.inFlight)) + s.usual + (s.told-s.usual)*forget
}

// RoundTrip is the time on the way to a target and back.
func (b *Balancer) RoundTrip(site *Site) time.Duration {
	return [distances]time.Duration{0, b.opts.NearRoundTrip, b.opts.FarRoundTrip}[b.distanceOf(site)]
}

// distance is the round trip, for bulk requests with what their bytes cost.
func (b *Balancer) distance(site *Site, bulk bool) time.Duration {
	d := b.RoundTrip(site)
	if bulk {
		d += [distances]time.Duration{0, b.opts.BulkNearCost, b.opts.BulkFarCost}[b.distanceOf(site)]
	}
	return d
}

// stalled reports whether the oldest request in flight is far older than usual
// and nothing was answered since it was sent.
func (s *stat) stalled(now time.Time) bool {
	for _, f := range s.inFlight {
		age := now.Sub(f.sentAt)
		if age > max(stallMin, stallFactor*s.service) && s.lastAnswer.Before(f.sentAt) {
			return true
		}
	}
	return false
}

// Expected returns the time that the target works on one more request, and the time
// that the request waits before, without the way.
func (b *Balancer) Expected(site *Site) (work, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expected(b.stat(site.ID), site, b.opts.Now())
}

// Reachable reports whether connections to the target can be opened, as far as
// this VM knows.
func (b *Balancer) Reachable(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.opts.Now().Before(b.stat(id).suspendedUntil)
}

// Begin notes that a request is sent to the target. The returned number is for End.
func (b *Balancer) Begin(site *Site) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.stat(site.ID), b.opts.Now()
	crowding, queueing := b.delays(s, site, now)
	s.next++
	s.inFlight[s.next] = flight{sentAt: now, queueing: 1 + crowding + queueing}
	return s.next
}

// Outcome is how an exchange with a target ended.
type Outcome struct {
	// Answered is set if the target answered, whatever it said.
	Answered bool
	// Failed is set if the target ran the request and failed, or spoilt its answer.
	Failed bool
	// Refused is set if the target has no room, or could not be reached.
	Refused bool
	// Unreachable is set if no connection could be opened.
	Unreachable bool
	// Running and Waiting are the load that the target told; Told is set if it did.
	Running, Waiting int
	Told             bool
	// RoundTrip is the time on the way, which does not count as service.
	RoundTrip time.Duration
}

// End notes how the exchange ended.
func (b *Balancer) End(id string, number uint64, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.stat(id), b.opts.Now()
	f, ok := s.inFlight[number]
	delete(s.inFlight, number)
	if !ok {
		return
	}
	if o.Unreachable {
		s.suspend(now)
		return
	}
	if o.Answered {
		s.proven = true
		s.lastAnswer = now
		s.refused = 0
		s.suspendedUntil = time.Time{}
	}
	if o.Told {
		s.tell(float64(o.Running+o.Waiting-len(s.inFlight)), now)
		s.seen.LoadKnown, s.seen.Load, s.seen.LoadAt = true, o.Running+o.Waiting, now
	}
	switch {
	case o.Refused:
		// A target that refuses fast looks idle, so refusals count like failures.
		if o.Answered {
			s.seen.Failures++
			s.errors += errorWeight * (1 - s.errors)
		}
	case o.Failed:
		s.seen.Failures++
		s.errors += errorWeight * (1 - s.errors)
	case o.Answered:
		s.errors -= errorWeight * s.errors
		s.observe(now.Sub(f.sentAt)-o.RoundTrip, f.queueing)
	}
}

// observe takes the time of an answer, less what the queue was expected to add. A
// queue that was longer than expected makes the target count as slower. Were
// answers from behind a queue left out, only the short ones of a crowded target
// would count, and it would seem fast.
func (s *stat) observe(d time.Duration, queueing float64) {
	d = max(time.Duration(float64(d)/queueing), time.Millisecond)
	s.service += time.Duration(serviceWeight * float64(d-s.service))
	s.sum += d
	s.seen.Answers++
}

// tell takes the load of others at the target as it was at the instant.
func (s *stat) tell(others float64, at time.Time) {
	s.told, s.toldAt = max(others, 0), at
	s.usual += usualWeight * (s.told - s.usual)
}

func (s *stat) suspend(now time.Time) {
	s.suspendedUntil = now.Add(min(suspendMin<<min(s.refused, 10), suspendMax))
	s.refused++
}

// Unreachable returns the targets to which no connection can be opened.
func (b *Balancer) Unreachable() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	var out []string
	for id, s := range b.stats {
		if now.Before(s.suspendedUntil) {
			out = append(out, id)
		}
	}
	return out
}

// Seen is what this VM saw of a target since the last report.
type Observation struct {
	ID string
	// Service is the mean time of the Answers that did not wait.
	ServiceTime time.Duration
	Answers     int
	Failures    int
	// Load is the number of requests at the target as it told at ToldAt.
	Load      int
	LoadKnown bool
	LoadAt    time.Time
}

// TakeSeen returns what is new since the last call.
func (b *Balancer) TakeObservations() []Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Observation
	for id, s := range b.stats {
		if s.seen == (Observation{}) {
			continue
		}
		seen := s.seen
		seen.ID = id
		if seen.Answers > 0 {
			seen.ServiceTime = s.sum / time.Duration(seen.Answers)
		}
		out = append(out, seen)
		s.seen, s.sum = Observation{}, 0
	}
	return out
}

// Shared is what all VMs together know of a target.
type SharedStats struct {
	ID string
	// Service is the mean time of a request without waiting; zero if unknown.
	ServiceTime time.Duration
	// Failures is the share of failed requests.
	FailureRate float64
	// Load is the number of requests at the target, Age ago.
	Load      int
	LoadKnown bool
	LoadAge   time.Duration
}

// sharedWeight is the weight of what all VMs know beside what this one saw.
const sharedWeight = 0.5

// Learn takes what other VMs have seen. A VM of many gets few answers of each
// target, too few to know its speed and load by itself.
func (b *Balancer) MergeStats(all []SharedStats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	for _, sh := range all {
		s := b.stat(sh.ID)
		if sh.ServiceTime > 0 {
			s.proven = true
			s.service += time.Duration(sharedWeight * float64(sh.ServiceTime-s.service))
		}
		s.errors += sharedWeight * (sh.FailureRate - s.errors)
		if at := now.Add(-sh.LoadAge); sh.LoadKnown && at.After(s.toldAt) {
			s.tell(float64(sh.Load-len(s.inFlight)), at)
		}
	}
}
