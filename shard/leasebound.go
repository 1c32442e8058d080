package shard

import (
	"math"
	"slices"
	"time"
)

// unbounded is the bound of a lease that may still begin.
const unbounded = time.Duration(math.MaxInt64)

// leaseBound tracks the last instant at which a target may hold a range. Its leases last side by side: each ends by its own
// time or by an answered release with a higher token, not by a later grant.
type leaseBound struct {
	// ended is the bound from grants that can no longer arrive.
	ended time.Duration
	// predecessor is the bound from grants of earlier assigners.
	predecessor time.Duration
	// pending are the grants that may still arrive.
	pending []pendingGrant
}

type pendingGrant struct {
	fence uint64
	// longest is the longest time that the lease may last from the arrival of the grant.
	longest time.Duration
	// expected is the end of the lease if the grant arrives within its timeout.
	expected time.Duration
}

// until returns the last instant at which the target may hold the range. It returns
// zero if the range was never granted to it, and unbounded while a grant may still arrive.
func (b *leaseBound) until() time.Duration {
	if len(b.pending) > 0 {
		return unbounded
	}
	return max(b.ended, b.predecessor)
}

// ownLeasesEnded reports whether this assigner has granted leases, which are all over at the instant.
func (b *leaseBound) ownLeasesEnded(now time.Duration) bool {
	return len(b.pending) == 0 && b.ended > 0 && now > b.ended
}

// expected returns until, on the assumption that the pending grants arrive within their timeouts.
func (b *leaseBound) expected() time.Duration {
	expected := max(b.ended, b.predecessor)
	for _, p := range b.pending {
		expected = max(expected, p.expected)
	}
	return expected
}

// begin records a grant that is about to be sent.
func (b *leaseBound) begin(p pendingGrant) { b.pending = append(b.pending, p) }

// isPending reports whether the grant may still arrive.
func (b *leaseBound) isPending(fence uint64) bool {
	return slices.ContainsFunc(b.pending, func(p pendingGrant) bool { return p.fence == fence })
}

// end records that a grant can no longer arrive, by which the target holds the range until the instant at most.
func (b *leaseBound) end(fence uint64, until time.Duration) {
	b.ended = max(b.ended, until)
	b.pending = slices.DeleteFunc(b.pending, func(p pendingGrant) bool { return p.fence == fence })
}

// endArrived records that the pending grants which the function selects have arrived by the instant, or never will.
func (b *leaseBound) endArrived(by time.Duration, selects func(fence uint64) bool) {
	b.pending = slices.DeleteFunc(b.pending, func(p pendingGrant) bool {
		if !selects(p.fence) {
			return false
		}
		b.ended = max(b.ended, by+p.longest)
		return true
	})
}

func (b *leaseBound) clone() leaseBound {
	c := *b
	c.pending = slices.Clone(b.pending)
	return c
}

// join adds the bounds of another leaseBound of the same target.
func (b *leaseBound) join(o leaseBound) {
	b.ended = max(b.ended, o.ended)
	b.predecessor = max(b.predecessor, o.predecessor)
	b.pending = append(b.pending, o.pending...)
}
