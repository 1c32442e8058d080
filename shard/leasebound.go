package shard

import (
	"slices"
	"time"
)

// hold bounds how long a target may hold a range.
type leaseBound struct {
	// ended is the bound by grants that have ended.
	ended time.Duration
	// foreign is the bound by grants of the last assigner.
	predecessor time.Duration
	// pending are the bounds by grants that are under way.
	pending []pendingGrant
}

type pendingGrant struct {
	fence uint64
	until time.Duration
}

// until returns the last instant at which the target may hold the range; zero if
// it was never granted.
func (b *leaseBound) until() time.Duration {
	until := max(b.ended, b.predecessor)
	for _, p := range b.pending {
		until = max(until, p.until)
	}
	return until
}

// begin notes a grant that is about to be sent.
func (b *leaseBound) begin(fence uint64, until time.Duration) {
	b.pending = append(b.pending, pendingGrant{fence, until})
}

// end notes that a grant has ended, after which it holds at most until the instant.
func (b *leaseBound) end(fence uint64, until time.Duration) {
	b.ended = max(b.ended, until)
	b.pending = slices.DeleteFunc(b.pending, func(p pendingGrant) bool { return p.fence == fence })
}

func (b *leaseBound) clone() leaseBound {
	c := *b
	c.pending = slices.Clone(b.pending)
	return c
}

// join takes the bounds of another hold of the same target.
func (b *leaseBound) join(o leaseBound) {
	b.ended = max(b.ended, o.ended)
	b.predecessor = max(b.predecessor, o.predecessor)
	b.pending = append(b.pending, o.pending...)
}
