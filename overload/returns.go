package overload

import (
	"math"
	"sync"
	"time"
)

const (
	// returnSlot and returnSlots are the resolution and number of the counts of pending returns.
	// They cover a third of a deadline of 38 s.
	returnSlot  = 100 * time.Millisecond
	returnSlots = 128
	// minReturn is the least time after which a caller is told to return.
	minReturn = 100 * time.Millisecond
	// honouredShare is the share of the time that it has left for which a caller waits. After that
	// it returns whatever it was told.
	honouredShare = 1.0 / 3
	// returnSpread is the random share of the time to return, so that callers that were refused
	// together do not return together.
	returnSpread = 0.25
	// minFreeShare is the part of the capacity that counts as free at least.
	minFreeShare = 0.1
	// capacityDecay is the time constant with which the highest rate of served requests decays.
	capacityDecay = 20 * time.Second
)

// Returns tells refused callers when to return. It holds how many callers were told to return to
// each service and when. It is safe for concurrent use.
type Returns struct {
	random func() float64

	mu       sync.Mutex
	services map[string]*serviceReturns
}

// serviceReturns is the record of one service.
type serviceReturns struct {
	// due has the number of callers that were told to return in a slot of time, by the number of the
	// slot modulo returnSlots. first is the number of the first slot that has not passed.
	due   [returnSlots]int
	first int64
	// pending is the sum of due.
	pending int
	// arrivals counts all requests, and returned those of the callers that were due.
	arrivals, refused, returned decayingCount
	// capacity is the highest recent rate of served requests, as of capacityAt.
	capacity   float64
	capacityAt time.Time
}

// NewReturns returns an empty Returns. random returns a number in [0, 1).
func NewReturns(random func() float64) *Returns {
	return &Returns{random: random, services: map[string]*serviceReturns{}}
}

// CountRequest records that a request to the service has arrived.
func (r *Returns) CountRequest(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(now, service).arrivals.add(now, 1)
}

// Refuse records a refused request and returns the time after which its caller should return: when
// those that were told to return before it have been served, but not before roomIn.
func (r *Returns) Refuse(now time.Time, service string, roomIn, untilDeadline time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(now, service)
	s.refused.add(now, 1)
	backlog := time.Duration(float64(s.pending+1) / s.freeRate(now) * float64(time.Second))
	longest := time.Duration(honouredShare * float64(untilDeadline))
	// The bound comes before the random part, which it would cut off otherwise.
	in := min(max(roomIn, backlog, minReturn), time.Duration(float64(longest)/(1+returnSpread)))
	in = max(in+time.Duration(returnSpread*r.random()*float64(in)), minReturn)
	slot := min(now.Add(in).UnixNano()/int64(returnSlot), s.first+returnSlots-1)
	s.due[slot%returnSlots]++
	s.pending++
	return in
}

// Pending returns the number of callers that were told to return to each service and are not due
// yet.
func (r *Returns) Pending(now time.Time) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.services))
	for name := range r.services {
		out[name] = r.service(now, name).pending
	}
	return out
}

// service returns the record of the service, with the callers that were due taken as returned. The
// caller must hold mu.
func (r *Returns) service(now time.Time, name string) *serviceReturns {
	s := r.services[name]
	slot := now.UnixNano() / int64(returnSlot)
	if s == nil {
		s = &serviceReturns{first: slot, capacityAt: now}
		r.services[name] = s
	}
	for n := 0; s.first < slot && n < returnSlots; n++ {
		count := &s.due[s.first%returnSlots]
		s.pending -= *count
		s.returned.add(now, float64(*count))
		*count = 0
		s.first++
	}
	s.first = max(s.first, slot)
	return s
}

// freeRate returns the requests per second that can be served in addition to the new ones.
func (s *serviceReturns) freeRate(now time.Time) float64 {
	arrivals := s.arrivals.perSecond(now)
	served := max(arrivals-s.refused.perSecond(now), 0)
	decay := math.Exp(-float64(now.Sub(s.capacityAt)) / float64(capacityDecay))
	s.capacity, s.capacityAt = max(served, s.capacity*decay), now
	fresh := max(arrivals-s.returned.perSecond(now), 0)
	// While nearly all requests are served, the capacity is not known, and returning callers soon find
	// room.
	share := served / max(arrivals, 1)
	return max(s.capacity-fresh, share*served, minFreeShare*s.capacity, 1)
}
