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
func (l *leader) balance(c *Core) {
	l.balanceAt = c.now + balanceInterval
	if l.troubled() || c.store.retryAt != never || l.waitOut() {
		return
	}
	budget := c.opts.MaxMoves - l.moves()
	counts, limit := l.load(c)
	for ; budget > 0; budget-- {
		if !l.moveOne(c, counts, limit) {
			return
		}
	}
}

// troubled reports whether a slot waits for a lost target.
func (l *leader) troubled() bool {
	for _, s := range l.unsettled {
		st := &l.slots[s]
		if !st.moving && st.state != slotHeld && st.state != slotGranting {
			return true
		}
	}
	return false
}

func (l *leader) moves() int {
	n := 0
	for s := range l.slots {
		if l.slots[s].moving {
			n++
		}
	}
	return n
}

// moveOne moves one slot from the fullest target to the emptiest eligible one,
// and reports whether it found one to move.
func (l *leader) moveOne(c *Core, counts []int, limit int) bool {
	from, to := l.extremes(c, counts)
	if from == none || to == none || counts[from] <= limit || counts[from]-counts[to] < 2 {
		return false
	}
	s, ok := l.bestToMove(c, from, to)
	if !ok {
		return false
	}
	l.want(s, to)
	l.slots[s].moving = true
	counts[from]--
	counts[to]++
	c.store.dirty = true
	return true
}

func (l *leader) extremes(c *Core, counts []int) (from, to int) {
	from, to = none, none
	for i, m := range l.targets {
		if m.staying(c) && (from == none || counts[i] > counts[from]) {
			from = i
		}
		if m.eligible(c) && (to == none || counts[i] < counts[to]) {
			to = i
		}
	}
	return from, to
}

// bestToMove returns the slot of a target that ranks the receiver highest.
func (l *leader) bestToMove(c *Core, from, to int) (ownership.Slot, bool) {
	best, bestRank := ownership.Slot(0), len(l.targets)
	for s := range ownership.Slot(l.table.SlotCount) {
		st := &l.slots[s]
		if l.wanted(s) != from || st.moving || st.state != slotHeld {
			continue
		}
		for rank, i := range ownership.Rank(c.opts.Group, s, l.infos()) {
			if i == to && rank < bestRank {
				best, bestRank = s, rank
			}
		}
	}
	return best, bestRank < len(l.targets)
}
