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
	// until is the last instant at which calls of orders of any earlier assigner may be under way.
	until time.Duration
	// earlierUntil is the same for the assigners before the predecessor.
	earlierUntil time.Duration
	// silent is set unless all these assigners were seen to stop. Their orders may wait in the links of their VMs until
	// later.
	silent bool
}

// newPredecessor returns the predecessor that wrote the role r. It may act until the instant. Unless it has
// settled, an order is in flight for orderTimeout at most.
func newPredecessor(r role, actsUntil, orderTimeout time.Duration, settled bool, now time.Duration) predecessor {
	if settled {
		orderTimeout = 0
	}
	earlier := now + time.Duration(r.EarlierActsForMs)*time.Millisecond
	return predecessor{
		vm: r.VM, term: r.Term, until: max(actsUntil+orderTimeout, earlier), earlierUntil: earlier, silent: !settled || earlier > now,
	}
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
	p.until, p.silent = until, p.earlierUntil > by
	return true
}
