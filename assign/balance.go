package assign

import (
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// balanceInterval is the time between two looks at the balance.
const balanceInterval = time.Second

// balance moves slots from targets that hold too many to those that hold the
// fewest. It moves nothing while a failover is under way, and never more than
// Options.MaxMoves slots at once. Slots of targets that check no tokens are not
// balanced, as each move takes them out of service for the wait-out time.
func (a *assigner) balance(c *Core) {
	a.balanceAt = c.now + balanceInterval
	if a.failoverPending() || c.store.retryAt != farFuture || a.needsWaitOut() {
		return
	}
	budget := c.opts.MaxMoves - a.movesInProgress()
	counts, limit := a.slotLoad(c)
	for ; budget > 0; budget-- {
		if !a.moveOne(c, counts, limit) {
			return
		}
	}
}

// troubled reports whether a slot waits for a lost target.
func (a *assigner) failoverPending() bool {
	for _, s := range a.unsettled {
		st := &a.slots[s]
		if !st.moving && st.state != slotHeld && st.state != slotGranting {
			return true
		}
	}
	return false
}

func (a *assigner) movesInProgress() int {
	n := 0
	for s := range a.slots {
		if a.slots[s].moving {
			n++
		}
	}
	return n
}

// moveOne moves one slot from the fullest target to the emptiest eligible one,
// and reports whether it found one to move.
func (a *assigner) moveOne(c *Core, counts []int, limit int) bool {
	from, to := a.fullestAndEmptiest(c, counts)
	if from == noTarget || to == noTarget || counts[from] <= limit || counts[from]-counts[to] < 2 {
		return false
	}
	s, ok := a.slotToMove(c, from, to)
	if !ok {
		return false
	}
	a.setWanted(s, to)
	a.slots[s].moving = true
	counts[from]--
	counts[to]++
	c.store.dirty = true
	return true
}

func (a *assigner) fullestAndEmptiest(c *Core, counts []int) (from, to int) {
	from, to = noTarget, noTarget
	for i, m := range a.targets {
		if m.mayKeepSlots(c) && (from == noTarget || counts[i] > counts[from]) {
			from = i
		}
		if m.eligible(c) && (to == noTarget || counts[i] < counts[to]) {
			to = i
		}
	}
	return from, to
}

// bestToMove returns the slot of a target that ranks the receiver highest.
func (a *assigner) slotToMove(c *Core, from, to int) (ownership.Slot, bool) {
	best, bestRank := ownership.Slot(0), len(a.targets)
	for s := range ownership.Slot(a.table.SlotCount) {
		st := &a.slots[s]
		if a.wantedOwner(s) != from || st.moving || st.state != slotHeld {
			continue
		}
		for rank, i := range ownership.Rank(c.opts.Group, s, a.targetInfos()) {
			if i == to && rank < bestRank {
				best, bestRank = s, rank
			}
		}
	}
	return best, bestRank < len(a.targets)
}
