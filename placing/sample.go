package placing

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

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
	perTarget := subsetsPerTarget
	if b.even() {
		perTarget = evenSubsetsPerTarget
	}
	return max(b.opts.MinSubsetSize, (perTarget*targets+b.vms-1)/b.vms)
}

// rankedCandidate is a candidate with its place in an order.
type rankedCandidate struct {
	rank      uint64
	candidate *Candidate
}

// subset returns the first candidates by rank. The ranks do not change, so that the subset
// hardly changes when targets are added or removed. If this VM has a position, the order is the same for all VMs,
// and the subset begins at the position.
func (b *Balancer) subset(candidates []*Candidate, size int) []*Candidate {
	if len(candidates) <= size {
		return candidates
	}
	ordered := make([]rankedCandidate, len(candidates))
	for i, c := range candidates {
		ordered[i] = rankedCandidate{b.rank(c.ID), c}
	}
	slices.SortFunc(ordered, func(x, y rankedCandidate) int { return cmp.Compare(x.rank, y.rank) })
	first := 0
	if b.even() {
		first = int(b.position * float64(len(ordered)))
	}
	out := make([]*Candidate, size)
	for i := range out {
		out[i] = ordered[(first+i)%len(ordered)].candidate
	}
	return out
}

// even reports whether the subsets of all VMs are arcs of one order of the targets.
func (b *Balancer) even() bool { return b.opts.EvenSpread && b.positioned }

// SetPeers sets the addresses of all VMs, and that of this one, from which its position among them follows. The
// positions of VMs that follow each other in the order of their addresses, or with a constant stride, as those of a data
// centre do, are spread evenly over the targets: they are the multiples of the golden ratio.
func (b *Balancer) SetPeers(vms []string, self string) {
	ordered := slices.Clone(vms)
	slices.Sort(ordered)
	i, known := slices.BinarySearch(ordered, self)
	_, position := math.Modf(float64(i) * math.Phi)
	b.mu.Lock()
	defer b.mu.Unlock()
	if known == b.positioned && position == b.position {
		return
	}
	b.position, b.positioned = position, known
	for _, s := range b.states {
		s.rank = 0
	}
}

// rank returns the target's place in the order of which the subset is a part: this VM's own, or that of all VMs.
func (b *Balancer) rank(id string) uint64 {
	s := b.state(id)
	switch {
	case s.rank != 0:
	case b.even():
		s.rank = xxh3.HashString(id)
	default:
		s.rank = xxh3.HashString(b.opts.VM + "/" + id)
	}
	return s.rank
}

// draw appends up to n usable candidates of from to out, in random order. It gives up after maxFullDrawn that are only
// too likely to be full.
func (b *Balancer) draw(out, from []*Candidate, n int, q *query) []*Candidate {
	if len(from) == 0 {
		return out
	}
	full := 0
	for _, i := range b.randomOrder(len(from), b.opts.Random(len(from))) {
		if n == 0 || full == maxFullDrawn {
			break
		}
		if !b.usable(from[i], q) || slices.Contains(out, from[i]) || !b.bodyFits(from[i].ID, q) {
			continue
		}
		if b.refusalRisk(from[i], q.now) >= q.maxRisk {
			full++
			q.full = true
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

// usable reports whether the target may get the request: it is not one that was tried, not suspended or stalled, and has
// fewer requests of this VM in flight than it may.
func (b *Balancer) usable(candidate *Candidate, q *query) bool {
	s := b.state(candidate.ID)
	return !slices.Contains(q.Avoid, candidate.ID) && !q.now.Before(s.suspendedUntil) && !s.stalled(q.now) && len(s.inFlight) < b.maxInFlight
}

// explore returns, for one in exploreOneIn requests, a target that has answered no VM yet, and
// nil for the others. Nothing is known of such a target, so by its score alone it might never
// get a request. With PreferRegion the VMs of its region explore it.
func (b *Balancer) explore(candidates []Candidate, q *query) *Candidate {
	if len(candidates) == 0 || b.opts.Random(exploreOneIn) > 0 {
		return nil
	}
	start := b.opts.Random(len(candidates))
	for i := range candidates {
		candidate := &candidates[(start+i)%len(candidates)]
		s := b.state(candidate.ID)
		if b.opts.PreferRegion && b.distanceOf(candidate) == otherRegion {
			continue
		}
		if !s.hasAnswered && len(s.inFlight) == 0 && !q.now.Before(s.suspendedUntil) && !slices.Contains(q.Avoid, candidate.ID) && b.bodyFits(candidate.ID, q) {
			return candidate
		}
	}
	return nil
}
