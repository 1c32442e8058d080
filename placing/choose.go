package placing

import (
	"math"
	"slices"
	"time"
)

// Query describes a request for which a target is to be chosen.
type Query struct {
	// Bulk is set if the request or its answer is large.
	Bulk bool
	// Once is set if the request must not run more than once. If its connection is reset, it cannot be sent again.
	Once bool
	// Avoid has the IDs of the targets that must not be chosen.
	Avoid []string
	// UntilLate is the time in which the answer should arrive; zero if none is required.
	UntilLate time.Duration
	// BodyBytes is the length of the request's body.
	BodyBytes int64
}

// Cause is why a target was chosen that is not in this VM's region.
type Cause string

// Values of Cause.
const (
	// CauseNone means that the choice compared the targets by their expected time.
	CauseNone Cause = "none"
	// CauseExploration means that the target had not answered any VM yet.
	CauseExploration Cause = "exploration"
	// CauseNoRoom means that those of this region are full or would answer too late.
	CauseNoRoom Cause = "no_room"
	// CauseNoneNear means that there are no candidates in this region.
	CauseNoneNear Cause = "none_near"
)

// Choice is the result of Choose.
type Choice struct {
	// Candidate is the chosen target, or nil.
	Candidate *Candidate
	// Full is set if there is no Candidate because all are expected to refuse the request.
	Full bool
	// BodiesFull is set if a target was passed over because of the bodies in flight there.
	BodiesFull bool
	// Cause is why the target is not in this VM's region, if it is not.
	Cause Cause
}

// query is a Query at an instant.
type query struct {
	*Query
	now time.Time
	// maxRisk is the probability that it refuses the request from which a target is not usable.
	maxRisk float64
	// full is set once a target was passed over because of maxRisk.
	full bool
	// bodiesFull is set once a target was passed over because of the bodies in flight there.
	bodiesFull bool
}

// Pick returns what Choose does for a request without further properties.
func (b *Balancer) Pick(candidates []Candidate, bulk bool, avoid []string) *Candidate {
	return b.Choose(candidates, Query{Bulk: bulk, Avoid: avoid}).Candidate
}

// Choose returns the candidate with the shortest expected time for a request, out of a random
// sample of this VM's subset, or none if all candidates are in Avoid or full. If it returned the best
// of all candidates, the VMs would send all their requests to the same few targets until
// newer load reports arrived. Suspended and stalled targets are chosen only if there is no
// other.
func (b *Balancer) Choose(candidates []Candidate, request Query) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := &query{Query: &request, now: b.opts.Now(), maxRisk: maxRisk}
	c := b.choose(candidates, q)
	c.BodiesFull = q.bodiesFull
	return c
}

func (b *Balancer) choose(candidates []Candidate, q *query) Choice {
	if c := b.explore(candidates, q); c != nil {
		return Choice{Candidate: c, Cause: CauseExploration}
	}
	near, far := b.byRegion(candidates)
	if q.Once && len(b.services) > 0 {
		q.maxRisk = maxOnceRisk
		if c := b.chooseUsable(near, far, q); c.Candidate != nil {
			return c
		}
		q.maxRisk, q.full = maxRisk, false
	}
	if c := b.chooseUsable(near, far, q); c.Candidate != nil || q.full {
		c.Full = c.Candidate == nil
		return c
	}
	return Choice{Candidate: b.best(b.untried(candidates, q), q), Cause: CauseNone}
}

// untried returns the candidates that are suspended, stalled or have as many requests of this VM in flight as they may, but
// are not in Avoid and have room for the request's body.
func (b *Balancer) untried(candidates []Candidate, q *query) []*Candidate {
	var out []*Candidate
	for i := range candidates {
		if !slices.Contains(q.Avoid, candidates[i].ID) && b.bodyFits(candidates[i].ID, q) {
			out = append(out, &candidates[i])
		}
	}
	return out
}

// chooseUsable chooses among the usable candidates, at first of this VM's subset.
func (b *Balancer) chooseUsable(near, far []*Candidate, q *query) Choice {
	if b.opts.PreferRegion {
		return b.chooseNear(near, far, q)
	}
	sample := make([]*Candidate, 0, nearSampleSize+farSampleSize+1)
	if len(q.Avoid) == 0 {
		size := b.subsetSize(len(near) + len(far))
		sample = b.drawNear(sample, b.subset(near, size), q)
		sample = b.draw(sample, b.subset(far, int(math.Ceil(farSubsetRatio*float64(size)))), farSampleSize, q)
	}
	if len(sample) == 0 {
		sample = b.drawNear(sample, near, q)
		sample = b.draw(sample, far, farSampleSize, q)
	}
	return Choice{Candidate: b.best(sample, q), Cause: CauseNone}
}

// chooseNear chooses among the targets of this region, and among others only if all of these are full or would
// answer too late.
func (b *Balancer) chooseNear(near, far []*Candidate, q *query) Choice {
	size := b.subsetSize(len(near) + len(far))
	choose := func(from []*Candidate) (*Candidate, bool) {
		var best *Candidate
		if len(q.Avoid) == 0 {
			best = b.best(b.drawNear(nil, b.subset(from, size), q), q)
		}
		if best == nil {
			best = b.best(b.drawNear(nil, from, q), q)
		}
		if best == nil || b.inTime(best, q) {
			return best, best != nil
		}
		// The sample does not show that none has room.
		if c := b.best(b.draw(nil, from, maxFullDrawn, q), q); c != nil && b.inTime(c, q) {
			return c, true
		}
		return best, false
	}
	bestNear, inTime := choose(near)
	if inTime {
		return Choice{Candidate: bestNear, Cause: CauseNone}
	}
	bestFar, inTime := choose(far)
	if bestFar != nil && (inTime || bestNear == nil) {
		if len(near) == 0 {
			return Choice{Candidate: bestFar, Cause: CauseNoneNear}
		}
		return Choice{Candidate: bestFar, Cause: CauseNoRoom}
	}
	return Choice{Candidate: bestNear, Cause: CauseNone}
}

// drawNear appends a few usable candidates of from to out.
func (b *Balancer) drawNear(out, from []*Candidate, q *query) []*Candidate {
	if b.opts.EvenSpread {
		return b.draw(out, from, evenSampleSize, q)
	}
	return b.draw(out, from, nearSampleSize, q)
}

// best returns the candidate with the lowest score, or nil if there is none.
func (b *Balancer) best(sample []*Candidate, q *query) *Candidate {
	var best *Candidate
	bestScore := math.Inf(1)
	for _, candidate := range sample {
		score := b.score(candidate, q.Bulk, q.now)
		if risk := b.refusalRisk(candidate, q.now); risk > 0 {
			cost := refusalCost
			if q.Once {
				cost = lossCost
			}
			score += risk * cost.Seconds()
		}
		score += b.bodyCost(candidate, q)
		if b.opts.EvenSpread {
			s := b.state(candidate.ID)
			score += evenLoadCost * s.serviceTime.Seconds() * b.load(s, q.now) / float64(max(candidate.Slots, 1))
		}
		if score < bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// inTime reports whether the answer is expected within UntilLate. A target that is too slow for that without any
// wait is in time if the request hardly waits.
func (b *Balancer) inTime(candidate *Candidate, q *query) bool {
	if q.UntilLate == 0 {
		return true
	}
	work, wait := b.expected(b.state(candidate.ID), candidate, q.now)
	return wait <= max(q.UntilLate-work-b.RoundTrip(candidate), work/2)
}
