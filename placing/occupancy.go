package placing

import (
	"math"
	"slices"
	"time"
)

const (
	// refusalMemory is how long the load at which a target refused a request counts at least. It
	// counts for twice as long at most.
	refusalMemory = 15 * time.Second
	// maxLoadAge is the age of the latest report from which a target does not count as full any more,
	// so that a request finds out.
	maxLoadAge = 2 * time.Second
	// resetLoadShare is the estimated load, as a share of the one at which the target is full, from which
	// a reset is put down to a full target. Estimates lag behind while the load rises.
	resetLoadShare = 0.45
	// maxResetBias bounds the bias that counts there, as a share of the same, so that the resets of an idle target are
	// faults however many refusals of others were not expected.
	maxResetBias = 0.35
	// maxRisk is the probability of a refusal from which a target counts as full, and maxOnceRisk the one from which it
	// gets no request that must not run more than once while another has room: a full target may reset the connection,
	// after which such a request is lost.
	maxRisk     = 0.35
	maxOnceRisk = 0.1
	// fullRisk is the one from which a target is full for requests that no other may serve.
	fullRisk = 0.5
	// loadVariance is the variance of the load about its mean, as a multiple of that.
	loadVariance = 1.5
	// biasStep is how much an unexpected refusal adds to the estimated loads of a service, up to maxBias. biasMemory is the
	// time in which that is forgotten to a third.
	biasStep   = 1
	maxBias    = 8
	biasMemory = 4 * time.Second
	// minRefusers is the number of targets that must have refused lately for the others of the service to count as full at
	// their median load, or at the highest that one of the service held. Some may refuse because they are faulty.
	minRefusers = 2
	// otherReasonShare is the share of the highest load that a target held lately below which a refusal is not put down to
	// its load. The load that it states may be lower by the requests that ended meanwhile.
	otherReasonShare = 0.75
	// refusalCost and lossCost are the times that a certain refusal adds to the score of a request that can be sent to
	// another target afterwards, and of one that is lost.
	refusalCost = time.Second
	lossCost    = 3 * time.Second
)

// recentExtreme is the lowest or highest of the values that were added within the last refusalMemory, or up to
// twice that.
type recentExtreme struct {
	current, previous       float64
	hasCurrent, hasPrevious bool
	began                   time.Time
}

// advance forgets the values that are too old.
func (r *recentExtreme) advance(now time.Time) {
	age := now.Sub(r.began)
	if age < refusalMemory {
		return
	}
	r.previous, r.hasPrevious = r.current, r.hasCurrent && age < 2*refusalMemory
	r.hasCurrent, r.began = false, now
}

func (r *recentExtreme) add(value float64, pick func(a, b float64) float64, now time.Time) {
	r.advance(now)
	if r.hasCurrent {
		value = pick(r.current, value)
	}
	r.current, r.hasCurrent = value, true
}

func (r *recentExtreme) value(pick func(a, b float64) float64, now time.Time) (float64, bool) {
	r.advance(now)
	switch {
	case r.hasCurrent && r.hasPrevious:
		return pick(r.current, r.previous), true
	case r.hasCurrent:
		return r.current, true
	default:
		return r.previous, r.hasPrevious
	}
}

// serviceRefusals is what is known of the refusals of a service's targets.
type serviceRefusals struct {
	// waiting is the number of waiting requests at which targets are full, as of waitingAt. It is zero at the zero time.
	waiting   float64
	waitingAt time.Time
	// bias is added to the estimated loads at biasAt. It rises with each refusal that was not expected. Reports come from
	// targets that have just ended a request, and many VMs choose those that seem to have room.
	bias   float64
	biasAt time.Time
}

// biasNow returns the bias, which is forgotten over time so that a VM which sends nothing tries again.
func (r *serviceRefusals) biasNow(now time.Time) float64 {
	return r.bias * math.Exp(-float64(now.Sub(r.biasAt))/float64(biasMemory))
}

// learn corrects the bias by a request that was expected to be refused with the given probability.
func (r *serviceRefusals) learn(risk float64, refused bool, now time.Time) {
	outcome := 0.0
	if refused {
		outcome = 1
	}
	r.bias, r.biasAt = min(max(r.biasNow(now)+biasStep*(outcome-risk), 0), maxBias), now
}

// fullLoad returns the load at which the target takes no more requests: the lowest at which it refused one lately,
// else the number of waiting requests with which targets of its service did, above its slots. It is infinite while
// no refusal is known. A load that the target has reported is less than that or equal.
func (b *Balancer) fullLoad(s *targetState, slots int, now time.Time) float64 {
	service := b.services[s.service]
	if service == nil {
		return math.Inf(1)
	}
	full, ok := s.refusedLoad.value(math.Min, now)
	if !ok {
		if service.waitingAt.IsZero() || now.Sub(service.waitingAt) > 2*refusalMemory {
			return math.Inf(1)
		}
		full = service.waiting + float64(max(slots, 1))
	}
	if held, ok := s.heldLoad.value(math.Max, now); ok {
		full = max(full, held)
	}
	return full
}

// refusalRisk returns the probability that the target refuses another request because it is full. The estimate of its load
// is the less certain the older the latest report is.
func (b *Balancer) refusalRisk(candidate *Candidate, now time.Time) float64 {
	if len(b.services) == 0 {
		return 0
	}
	s := b.state(candidate.ID)
	if now.Sub(s.othersLoadAt) > maxLoadAge {
		return 0
	}
	full := b.fullLoad(s, candidate.Slots, now)
	if math.IsInf(full, 1) {
		return 0
	}
	decay := b.decay(s, now)
	variance := loadVariance * max(s.othersMeanLoad, 1) * (1 - decay*decay)
	return 0.5 * math.Erfc((full-0.5-b.load(s, now)-b.services[s.service].biasNow(now))/math.Sqrt(2*variance+0.01))
}

// Full reports whether the target is more likely than not to refuse another request because it is full.
func (b *Balancer) Full(candidate *Candidate) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusalRisk(candidate, b.opts.Now()) >= fullRisk
}

// ProbablyFull reports whether the target, which has reset the connection of the request with the given number, was probably
// full. It returns false while no target of the service is known to have refused a request.
func (b *Balancer) ProbablyFull(id string, number uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.state(id), b.opts.Now()
	r, ok := s.inFlight[number]
	full := b.knownFullLoad(s, now)
	if !ok || full == 0 {
		return false
	}
	bias := min(b.services[s.service].biasNow(now), maxResetBias*full)
	return s.loadAround(r, b.load(s, now))+bias >= resetLoadShare*full
}

// loadAround returns the number of requests that were at the target beside r, of which the end has just been seen. The
// estimate may have been higher when r was sent, or be so now.
func (s *targetState) loadAround(r inFlightRequest, loadNow float64) float64 {
	return max(r.load, loadNow-1)
}

// recordFull records that the target refused the request r because it was full, as it said, or as ProbablyFull did.
func (b *Balancer) recordFull(s *targetState, r inFlightRequest, o Outcome, now time.Time) {
	if o.Answered {
		if load := float64(o.Running + o.Waiting); o.LoadKnown && load >= float64(max(s.slots, 1)) {
			b.recordRefusal(s, load, now)
		}
		return
	}
	b.recordReset(s, r, now)
	// A target that resets the connection does not report its load, which VMs that do not send to it just now need as well.
	full := max(s.resetLoad, b.knownFullLoad(s, now))
	s.recordLoad(full-float64(len(s.inFlight)), now)
	s.unreported.LoadKnown, s.unreported.Load, s.unreported.LoadAt = true, int(full), now
}

// recordReset records the estimated load at which the target reset the connection of r, if its slots were busy. It counts
// once an answer shows that the target has not crashed.
func (b *Balancer) recordReset(s *targetState, r inFlightRequest, now time.Time) {
	slots := float64(max(s.slots, 1))
	load := s.loadAround(r, b.load(s, now)+1)
	if load < slots && b.knownFullLoad(s, now) == 0 {
		return
	}
	load = max(load, slots+b.heldWaiting(s.service, now))
	if s.resetLoad == 0 || load < s.resetLoad {
		s.resetLoad = load
	}
}

// heldWaiting returns the highest number of waiting requests that a target of the service reported lately. Estimates of a load
// are too low in a surge; a target that resets connections holds about as many as others have held.
func (b *Balancer) heldWaiting(service string, now time.Time) float64 {
	waiting := 0.0
	for _, s := range b.states {
		if held, ok := s.heldLoad.value(math.Max, now); ok && s.service == service {
			waiting = max(waiting, held-float64(max(s.slots, 1)))
		}
	}
	return waiting
}

// knownFullLoad is fullLoad, or zero while no refusal is known.
func (b *Balancer) knownFullLoad(s *targetState, now time.Time) float64 {
	if full := b.fullLoad(s, s.slots, now); !math.IsInf(full, 1) {
		return full
	}
	return 0
}

// confirmReset makes the load at which the target reset a connection count, as an answer shows that it runs.
func (b *Balancer) confirmReset(s *targetState, now time.Time) {
	if s.resetLoad > 0 {
		b.recordRefusal(s, s.resetLoad, now)
		s.resetLoad = 0
	}
}

func (b *Balancer) recordRefusal(s *targetState, load float64, now time.Time) {
	s.refusedLoad.add(load, math.Min, now)
	service := b.services[s.service]
	if service == nil {
		service = &serviceRefusals{}
		b.services[s.service] = service
	}
	if waiting := b.refusedWaiting(s.service, now); len(waiting) >= minRefusers {
		slices.Sort(waiting)
		service.waiting, service.waitingAt = max(waiting[len(waiting)/2], b.heldWaiting(s.service, now)), now
	}
}

// refusedWaiting returns the numbers of waiting requests at which the targets of the service that refused lately are full.
func (b *Balancer) refusedWaiting(service string, now time.Time) []float64 {
	var out []float64
	for _, s := range b.states {
		if s.service != service {
			continue
		}
		if _, ok := s.refusedLoad.value(math.Min, now); ok {
			out = append(out, max(b.fullLoad(s, s.slots, now)-float64(max(s.slots, 1)), 0))
		}
	}
	return out
}

// refusedForOtherReason reports whether a target that refused a request had far fewer than it has held lately.
func (s *targetState) refusedForOtherReason(o Outcome, now time.Time) bool {
	held, ok := s.heldLoad.value(math.Max, now)
	return ok && o.Answered && o.LoadKnown && float64(o.Running+o.Waiting) < otherReasonShare*held
}
