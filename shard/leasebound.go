package shard

import (
	"slices"
	"time"
)

// leaseBound tracks the last instant at which a target may hold a range.
type leaseBound struct {
	// ended is the bound from grants whose calls have ended.
	ended time.Duration
	// predecessor is the bound from grants of the previous assigner.
	predecessor time.Duration
	// pending are the bounds from grants that are in flight.
	pending []pendingGrant
}

type pendingGrant struct {
	fence uint64
	until time.Duration
}

// until returns the last instant at which the target may hold the range. It returns
// zero if the range was never granted to it.
func (b *leaseBound) until() time.Duration {
	until := max(b.ended, b.predecessor)
	for _, p := range b.pending {
		until = max(until, p.until)
	}
	return until
}

// begin records a grant that is about to be sent, by which the target may hold the
// range until the instant.
func (b *leaseBound) begin(fence uint64, until time.Duration) {
	b.pending = append(b.pending, pendingGrant{fence, until})
}

// end records that the call of a grant has ended, by which the target holds the range
// until the instant at most.
func (b *leaseBound) end(fence uint64, until time.Duration) {
	b.ended = max(b.ended, until)
	b.pending = slices.DeleteFunc(b.pending, func(p pendingGrant) bool { return p.fence == fence })
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
