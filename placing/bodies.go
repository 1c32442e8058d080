package placing

import (
	"slices"
	"time"
)

const (
	// largeBody is the length of a request's body from which the target is chosen by the bodies in flight there as well.
	largeBody = 16 << 10
	// bodyLoadCost is the number of service times that are added to the score of a target where the bodies in flight reach
	// the bound. It outweighs what the queue of some requests adds.
	bodyLoadCost = 4
	// maxBodyHeld bounds how long the body of a request that was given up counts. Callers may state deadlines of an hour.
	maxBodyHeld = 10 * time.Second
)

// heldBody is the body of a request that this VM has given up, and that the target may still hold.
type heldBody struct {
	bytes int64
	until time.Time
}

// SetMaxBodyBytes sets how many bytes of request bodies this VM may have in flight at one target; zero or less is no bound.
func (b *Balancer) SetMaxBodyBytes(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxBodyBytes = n
}

// BodyFits reports whether a request with a body of the given length may be sent to the target now.
func (b *Balancer) BodyFits(id string, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bodyRoom(id, bytes, b.opts.Now())
}

// BeginBody is Begin for a request with a body. If that does not fit any more, BeginBody records nothing and returns false.
func (b *Balancer) BeginBody(candidate *Candidate, bytes int64) (number uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	if !b.bodyRoom(candidate.ID, bytes, now) {
		return 0, false
	}
	return b.begin(candidate, bytes, now), true
}

// bodyRoom reports whether the bodies in flight at the target leave room for another one. A body that is longer than the bound
// has room while there is no other.
func (b *Balancer) bodyRoom(id string, bytes int64, now time.Time) bool {
	if b.maxBodyBytes <= 0 || bytes == 0 {
		return true
	}
	inFlight := b.state(id).bodiesAt(now)
	return inFlight == 0 || inFlight+bytes <= b.maxBodyBytes
}

// bodyFits reports whether the target has room for the body of the request that is being placed.
func (b *Balancer) bodyFits(id string, q *query) bool {
	fits := b.bodyRoom(id, q.BodyBytes, q.now)
	q.bodiesFull = q.bodiesFull || !fits
	return fits
}

// bodyCost returns what the bodies in flight at the target add to its score, in seconds.
func (b *Balancer) bodyCost(candidate *Candidate, q *query) float64 {
	if b.maxBodyBytes <= 0 || q.BodyBytes < largeBody {
		return 0
	}
	s := b.state(candidate.ID)
	return bodyLoadCost * s.serviceTime.Seconds() * float64(s.bodiesAt(q.now)) / float64(b.maxBodyBytes)
}

// bodiesAt returns the number of bytes of this VM's request bodies that the target holds.
func (s *targetState) bodiesAt(now time.Time) int64 {
	if len(s.held) > 0 {
		s.held = slices.DeleteFunc(s.held, func(h heldBody) bool { return !now.Before(h.until) })
	}
	n := s.bodyBytes
	for _, h := range s.held {
		n += h.bytes
	}
	return n
}

// endBody records that the request has ended. Until the given instant, if that is later than now, the target may hold its body.
func (b *Balancer) endBody(s *targetState, r inFlightRequest, until, now time.Time) {
	s.bodyBytes -= r.bodyBytes
	if b.maxBodyBytes <= 0 || r.bodyBytes == 0 || !until.After(now) {
		return
	}
	if latest := now.Add(maxBodyHeld); until.After(latest) {
		until = latest
	}
	s.bodiesAt(now) // Drops the bodies that are held no longer.
	s.held = append(s.held, heldBody{r.bodyBytes, until})
}
