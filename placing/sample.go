package placing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

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
