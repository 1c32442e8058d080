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
	previousOwner int
	// reissue asks for a new token even if the owner stays.
	needsNewToken bool
	// after lists a slot that has to be revoked before this one is granted.
	blockedBy *ownership.Slot
	// moving is set during a planned move, pending while queued.
	moving, queued bool
}

// release makes the slot free from the given instant on.
func (s *slot) setFree(at time.Duration, previousOwner int) {
	s.state = slotFree
	s.holder = noTarget
	s.freeAt = at
	s.previousOwner = previousOwner
	s.needsNewToken = false
	s.moving = false
}

// inheritedSlot returns the state of a slot of a new assigner. If the leases
// of the last one may still run, only the owner in force may be granted at once.
func (c *Core) inheritedSlot(s ownership.Slot) slot {
	st := slot{holder: noTarget, freeAt: lease.DistantPast, previousOwner: noTarget}
	if c.now < c.inherited.until {
		st.freeAt = c.inherited.until
		st.previousOwner = c.inheritedOwner(s)
	}
	if c.assigner.needsWaitOut() {
		st.freeAt = max(st.freeAt, c.now+c.waitOutTime())
	}
	return st
}

func (c *Core) inheritedOwner(s ownership.Slot) int {
	v := c.inherited.view
	if v == nil || int(s) >= len(v.Slots) || v.Slots[s].Owner == ownership.NoOwner {
		return noTarget
	}
	i, ok := c.assigner.index[v.Targets[v.Slots[s].Owner].ID]
	if !ok {
		return noTarget
	}
	return i
}

// waitOut reports whether slots may be owned by targets that do not check
// tokens, so that requests in flight have to be waited out.
func (a *assigner) needsWaitOut() bool {
	return slices.ContainsFunc(a.targets, func(m *managedTarget) bool { return !m.info.ChecksTokens })
}

// waitOutTime is the time until no entry can send by an older view to a target
// that does not check tokens, and no request sent by it can still run.
func (c *Core) waitOutTime() time.Duration {
	return lease.Stretch(c.opts.Lease+c.opts.ViewDelay+c.opts.RequestDeadline, c.opts.RateMargin)
}

// endOfUse returns when a target that is given nothing more certainly runs no
// request for the slots that it held.
func (c *Core) endOfUse(m *managedTarget) time.Duration {
	if m.info.ChecksTokens {
		return m.lease.End()
	}
	return max(m.lease.End(), c.now+c.waitOutTime())
}

// queue marks a slot as unsettled.
func (a *assigner) queue(s ownership.Slot) {
	if int(s) >= len(a.slots) || a.slots[s].queued {
		return
	}
	a.slots[s].queued = true
	a.unsettled = append(a.unsettled, s)
}

func (a *assigner) queueAll() {
	for s := range a.slots {
		a.queue(ownership.Slot(s))
	}
}

// settle brings the unsettled slots closer to what is wanted.
func (a *assigner) settle(c *Core) {
	a.settleAt = farFuture
	a.counts = nil
	work := a.unsettled
	a.unsettled = nil
	for _, s := range work {
		a.slots[s].queued = false
	}
	for _, s := range work {
		if !a.advanceSlot(c, s) {
			a.queue(s)
		}
	}
}

// step takes a slot as far as it goes and reports whether it is settled.
func (a *assigner) advanceSlot(c *Core, s ownership.Slot) bool {
	st := &a.slots[s]
	a.chooseOwner(c, s)
	if st.state == slotRevoking && c.now >= st.freeAt {
		a.finishRevoke(c, s, st.freeAt)
	}
	switch st.state {
	case slotFree:
		return a.advanceFree(c, s)
	case slotRevoking:
		a.settleAt = min(a.settleAt, st.freeAt)
		return false
	default:
		return a.advanceHeld(c, s)
	}
}

func (a *assigner) advanceFree(c *Core, s ownership.Slot) bool {
	st := &a.slots[s]
	w := a.wantedOwner(s)
	if !a.slotExists(s) {
		return true
	}
	if w == noTarget || !a.targets[w].grantable(c) {
		return false
	}
	if c.now < st.freeAt && w != st.previousOwner {
		a.settleAt = min(a.settleAt, st.freeAt)
		return false
	}
	if !a.unblocked(st) {
		return false
	}
	st.token = a.targets[w].grant(c, s)
	st.version = st.token
	st.state = slotGranting
	st.holder = w
	return false
}

// unblocked reports whether the slot that had to be revoked first is.
func (a *assigner) unblocked(st *slot) bool {
	if st.blockedBy == nil {
		return true
	}
	o := &a.slots[*st.blockedBy]
	if o.needsNewToken || o.state == slotRevoking {
		return false
	}
	st.blockedBy = nil
	return true
}

// stepHeld begins a revocation if another owner is wanted and ready to take over.
func (a *assigner) advanceHeld(c *Core, s ownership.Slot) bool {
	st := &a.slots[s]
	w := a.wantedOwner(s)
	switch {
	case !a.slotExists(s), st.needsNewToken, a.targets[st.holder].lost:
		a.beginRevoke(c, s)
		return false
	case w == st.holder:
		st.moving = false
		return st.state == slotHeld
	case w == noTarget || !a.targets[w].grantable(c):
		return false
	}
	a.beginRevoke(c, s)
	return false
}

func (a *assigner) beginRevoke(c *Core, s ownership.Slot) {
	st := &a.slots[s]
	m := a.targets[st.holder]
	st.state = slotRevoking
	st.freeAt = c.endOfUse(m)
	st.version = m.revoke(c, s)
	a.viewChanged = true
	if c.now >= st.freeAt {
		a.finishRevoke(c, s, st.freeAt)
		return
	}
	a.settleAt = min(a.settleAt, st.freeAt)
}

// freed ends a revocation.
func (a *assigner) finishRevoke(c *Core, s ownership.Slot, at time.Duration) {
	st := &a.slots[s]
	st.setFree(at, noTarget)
	a.queue(s)
	if !a.slotExists(s) {
		a.removePin(s)
	}
}

// acknowledgeSlots ends the grants and revocations that target i acknowledged.
func (a *assigner) acknowledgeSlots(c *Core, i int) {
	m := a.targets[i]
	if m.processedVersion == m.heldVersion {
		return
	}
	m.processedVersion = m.heldVersion
	for s := range a.slots {
		st := &a.slots[s]
		if st.holder != i || m.heldVersion.Less(st.version) {
			continue
		}
		switch st.state {
		case slotGranting:
			st.state = slotHeld
			a.viewChanged = true
			a.queue(ownership.Slot(s))
		case slotRevoking:
			// The slot of a target that checks no tokens stays until its requests ended.
			if m.info.ChecksTokens {
				a.finishRevoke(c, ownership.Slot(s), c.now)
			}
		}
	}
}

// reissue grants all slots anew in a new term or round.
func (a *assigner) regrantAll(c *Core) {
	for _, m := range a.targets {
		m.resetGrants(c)
		m.urgent = true
	}
	for s := range a.slots {
		a.regrantSlot(c, ownership.Slot(s))
	}
	a.viewChanged = true
}

func (a *assigner) regrantSlot(c *Core, s ownership.Slot) {
	st := &a.slots[s]
	switch st.state {
	case slotGranting, slotHeld:
		st.token = a.targets[st.holder].grant(c, s)
		st.version = st.token
		st.state = slotGranting
		a.queue(s)
	case slotRevoking:
		if st.holder == noTarget {
			return
		}
		st.version = a.targets[st.holder].revoke(c, s)
	}
}
