package shard

import (
	"time"

	"github.com/basiltally/basiltally/pb"
)

// predecessor is the previous assigner, as far as it and those before it may still act. The next
// assigner sends no order meanwhile: a target that restarts knows nothing of earlier tokens, and
// would accept an order of either.
type predecessor struct {
	vm   string
	term uint64
	// until is the last instant at which calls of orders of any earlier assigner may be under way, and arriveUntil the
	// last one at which the orders may arrive: those of an assigner that was not seen to stop may wait in the link of its VM.
	until, arriveUntil time.Duration
	// earlierUntil and earlierArriveUntil are the same for the assigners before the predecessor.
	earlierUntil, earlierArriveUntil time.Duration
	// silent is set unless all these assigners were seen to stop.
	silent bool
}

// newPredecessor returns the predecessor that wrote the role r. It may act until the instant. Unless it has
// settled, an order is in flight for the OrderTimeout at most, and waits in its link for the LinkWait at most.
func newPredecessor(r role, actsUntil time.Duration, opts LeaseOptions, settled bool, now time.Duration) predecessor {
	p := predecessor{vm: r.VM, term: r.Term, earlierUntil: now + milliseconds(r.EarlierActsForMs), earlierArriveUntil: now + milliseconds(r.EarlierArriveForMs)}
	if r.EarlierActsForMs > 0 {
		// An assigner of an earlier build does not state EarlierArriveForMs.
		p.earlierArriveUntil = max(p.earlierArriveUntil, p.earlierUntil+opts.LinkWait)
	}
	if settled {
		p.until = max(actsUntil, p.earlierUntil)
		p.arriveUntil = max(p.until, p.earlierArriveUntil)
	} else {
		p.until = max(actsUntil+opts.OrderTimeout, p.earlierUntil)
		p.arriveUntil = max(p.until+opts.LinkWait, p.earlierArriveUntil)
	}
	p.silent = !settled || p.earlierUntil > now
	return p
}

// extend makes the predecessor one that may act until the instant, if that is later.
func (p *predecessor) extend(until time.Duration) {
	p.until, p.arriveUntil = max(p.until, until), max(p.arriveUntil, until)
}

// orderableFrom returns the earliest instant of a confirmation of the role that permits orders; zero if any does. A predecessor that
// was not seen to stop may write its role again after the store has come back from an older copy, until its own lease of the role
// has ended. A successor whose confirmations are all older than that has lost its role with the store.
func (p *predecessor) orderableFrom() time.Duration {
	if !p.silent {
		return 0
	}
	return p.until
}

// testifies reports whether the report shows that the predecessor no longer acts: its VM reports to
// another assigner, and knows of the term in which it acted.
func (p *predecessor) testifies(r *pb.ShardReport) bool {
	return p.vm != "" && r.GetVm() == p.vm && r.GetKnownTerm() >= p.term
}

// stopped records that the predecessor has stopped by the instant, with no order in flight. It reports whether
// orders may be sent earlier because of it.
func (p *predecessor) stopped(by time.Duration) bool {
	until := max(by, p.earlierUntil)
	if until >= p.until {
		return false
	}
	p.until, p.arriveUntil, p.silent = until, max(until, p.earlierArriveUntil), p.earlierUntil > by
	return true
}
