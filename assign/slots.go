package assign

import (
	"slices"
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

// slotState is a stage of a slot between two owners.
type slotState uint8

const (
	// slotFree: no target holds the slot, or none will after freeAt.
	slotFree slotState = iota
	// slotGranting: sent to the holder and not yet acknowledged.
	slotGranting
	// slotHeld: acknowledged by the holder.
	slotHeld
	// slotRevoking: the holder has to acknowledge the revocation, or its lease to end.
	slotRevoking
)

// slot is the state of one slot at its assigner.
type slot struct {
	state slotState
	// holder is the target that may hold the slot, or none.
	holder int
	token  ownership.Token
	// version is the grant version whose acknowledgement ends granting or revoking.
	version ownership.Token
	// freeAt is when a free slot may be granted, and when the lease of a holder
	// that does not acknowledge the revocation has ended.
	freeAt time.Duration
	// same is a target to which a free slot may be granted before freeAt, or none.
	same int
	// reissue asks for a new token even if the owner stays.
	reissue bool
	// after lists a slot that has to be revoked before this one is granted.
	after *ownership.Slot
	// moving is set during a planned move, pending while queued.
	moving, pending bool
}

// release makes the slot free from the given instant on.
func (s *slot) release(at time.Duration, same int) {
	s.state = slotFree
	s.holder = none
	s.freeAt = at
	s.same = same
	s.reissue = false
	s.moving = false
}

// inheritedSlot returns the state of a slot of a new assigner. If the leases
// of the last one may still run, only the owner in force may be granted at once.
func (c *Core) inheritedSlot(s ownership.Slot) slot {
	st := slot{holder: none, freeAt: lease.DistantPast, same: none}
	if c.now < c.inherited.until {
		st.freeAt = c.inherited.until
		st.same = c.inheritedOwner(s)
	}
	if c.lead.waitOut() {
		st.freeAt = max(st.freeAt, c.now+c.waitOutTime())
	}
	return st
}

func (c *Core) inheritedOwner(s ownership.Slot) int {
	v := c.inherited.view
	if v == nil || int(s) >= len(v.Slots) || v.Slots[s].Owner == ownership.NoOwner {
		return none
	}
	i, ok := c.lead.index[v.Targets[v.Slots[s].Owner].ID]
	if !ok {
		return none
	}
	return i
}

// waitOut reports whether slots may be owned by targets that do not check
// tokens, so that requests in flight have to be waited out.
func (l *leader) waitOut() bool {
	return slices.ContainsFunc(l.targets, func(m *member) bool { return !m.info.ChecksTokens })
}

// waitOutTime is the time until no entry can send by an older view to a target
// that does not check tokens, and no request sent by it can still run.
func (c *Core) waitOutTime() time.Duration {
	return lease.Stretch(c.opts.Lease+c.opts.ViewDelay+c.opts.RequestDeadline, c.opts.RateMargin)
}

// endOfUse returns when a target that is given nothing more certainly runs no
// request for the slots that it held.
func (c *Core) endOfUse(m *member) time.Duration {
	if m.info.ChecksTokens {
		return m.lease.End()
	}
	return max(m.lease.End(), c.now+c.waitOutTime())
}

// queue marks a slot as unsettled.
func (l *leader) queue(s ownership.Slot) {
	if int(s) >= len(l.slots) || l.slots[s].pending {
		return
	}
	l.slots[s].pending = true
	l.unsettled = append(l.unsettled, s)
}

func (l *leader) queueAll() {
	for s := range l.slots {
		l.queue(ownership.Slot(s))
	}
}

// settle brings the unsettled slots closer to what is wanted.
func (l *leader) settle(c *Core) {
	l.settleAt = never
	l.counts = nil
	work := l.unsettled
	l.unsettled = nil
	for _, s := range work {
		l.slots[s].pending = false
	}
	for _, s := range work {
		if !l.step(c, s) {
			l.queue(s)
		}
	}
}

// step takes a slot as far as it goes and reports whether it is settled.
func (l *leader) step(c *Core, s ownership.Slot) bool {
	st := &l.slots[s]
	l.choose(c, s)
	if st.state == slotRevoking && c.now >= st.freeAt {
		l.freed(c, s, st.freeAt)
	}
	switch st.state {
	case slotFree:
		return l.stepFree(c, s)
	case slotRevoking:
		l.settleAt = min(l.settleAt, st.freeAt)
		return false
	default:
		return l.stepHeld(c, s)
	}
}

func (l *leader) stepFree(c *Core, s ownership.Slot) bool {
	st := &l.slots[s]
	w := l.wanted(s)
	if !l.live(s) {
		return true
	}
	if w == none || !l.targets[w].grantable(c) {
		return false
	}
	if c.now < st.freeAt && w != st.same {
		l.settleAt = min(l.settleAt, st.freeAt)
		return false
	}
	if !l.unblocked(st) {
		return false
	}
	st.token = l.targets[w].grant(c, s)
	st.version = st.token
	st.state = slotGranting
	st.holder = w
	return false
}

// unblocked reports whether the slot that had to be revoked first is.
func (l *leader) unblocked(st *slot) bool {
	if st.after == nil {
		return true
	}
	o := &l.slots[*st.after]
	if o.reissue || o.state == slotRevoking {
		return false
	}
	st.after = nil
	return true
}

// stepHeld begins a revocation if another owner is wanted and ready to take over.
func (l *leader) stepHeld(c *Core, s ownership.Slot) bool {
	st := &l.slots[s]
	w := l.wanted(s)
	switch {
	case !l.live(s), st.reissue, l.targets[st.holder].lost:
		l.beginRevoke(c, s)
		return false
	case w == st.holder:
		st.moving = false
		return st.state == slotHeld
	case w == none || !l.targets[w].grantable(c):
		return false
	}
	l.beginRevoke(c, s)
	return false
}

func (l *leader) beginRevoke(c *Core, s ownership.Slot) {
	st := &l.slots[s]
	m := l.targets[st.holder]
	st.state = slotRevoking
	st.freeAt = c.endOfUse(m)
	st.version = m.revoke(c, s)
	l.viewChanged = true
	if c.now >= st.freeAt {
		l.freed(c, s, st.freeAt)
		return
	}
	l.settleAt = min(l.settleAt, st.freeAt)
}

// freed ends a revocation.
func (l *leader) freed(c *Core, s ownership.Slot, at time.Duration) {
	st := &l.slots[s]
	st.release(at, none)
	l.queue(s)
	if !l.live(s) {
		l.retirePin(s)
	}
}

// acknowledgeSlots ends the grants and revocations that target i acknowledged.
func (l *leader) acknowledgeSlots(c *Core, i int) {
	m := l.targets[i]
	if m.acknowledged == m.held {
		return
	}
	m.acknowledged = m.held
	for s := range l.slots {
		st := &l.slots[s]
		if st.holder != i || m.held.Less(st.version) {
			continue
		}
		switch st.state {
		case slotGranting:
			st.state = slotHeld
			l.viewChanged = true
			l.queue(ownership.Slot(s))
		case slotRevoking:
			// The slot of a target that checks no tokens stays until its requests ended.
			if m.info.ChecksTokens {
				l.freed(c, ownership.Slot(s), c.now)
			}
		}
	}
}

// reissue grants all slots anew in a new term or round.
func (l *leader) reissue(c *Core) {
	for _, m := range l.targets {
		m.resetGrants(c)
		m.urgent = true
	}
	for s := range l.slots {
		l.reissueSlot(c, ownership.Slot(s))
	}
	l.viewChanged = true
}

func (l *leader) reissueSlot(c *Core, s ownership.Slot) {
	st := &l.slots[s]
	switch st.state {
	case slotGranting, slotHeld:
		st.token = l.targets[st.holder].grant(c, s)
		st.version = st.token
		st.state = slotGranting
		l.queue(s)
	case slotRevoking:
		if st.holder == none {
			return
		}
		st.version = l.targets[st.holder].revoke(c, s)
	}
}
