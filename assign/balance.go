package assign

import (
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// balanceInterval is the time between two runs of balance.
const balanceInterval = time.Second

// balance moves slots from the targets with too many slots to those with the fewest.
// It moves nothing while a failover is in progress or the store is failing, and never
// more than Options.MaxMoves slots at once. If any target does not check tokens, nothing
// is balanced, because each move would take the slot out of service for waitOutTime.
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

// failoverPending reports whether a slot is free or being revoked for another reason than
// a planned move, as after the loss of its target.
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

// moveOne starts the move of one slot from the target with the most slots to the eligible
// target with the fewest, and reports whether there was a slot to move.
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

// slotToMove returns the slot of target from that ranks target to highest, or false if no
// slot of from can be moved.
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
