package assign

import (
	"slices"
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

// slotState is the stage of a slot in its passage from one owner to the next.
type slotState uint8

const (
	// slotFree: no target holds the slot, or none holds it from freeAt on.
	slotFree slotState = iota
	// slotGranting: the holder has not acknowledged the grant yet.
	slotGranting
	// slotHeld: the holder has acknowledged the grant.
	slotHeld
	// slotRevoking: the slot waits until the holder acknowledges the revocation or its lease
	// ends.
	slotRevoking
)

// slot is the state of one slot at its assigner.
type slot struct {
	state slotState
	// holder is the target that may hold the slot, or noTarget.
	holder int
	token  ownership.Token
	// version is the grant version whose acknowledgement ends slotGranting or slotRevoking.
	version ownership.Token
	// freeAt is when a free slot may be granted, or when a revocation ends that the holder
	// does not acknowledge.
	freeAt time.Duration
	// previousOwner is a target to which a free slot may be granted before freeAt, or
	// noTarget.
	previousOwner int
	// needsNewToken is set if the slot must be revoked and granted again, even to the same
	// owner.
	needsNewToken bool
	// blockedBy is a slot that has to be revoked before this one is granted, or nil.
	blockedBy *ownership.Slot
	// moving is set during a planned move. queued is set while the slot is in
	// assigner.unsettled.
	moving, queued bool
}

// setFree makes the slot free for every target from the instant at on, and for
// previousOwner at once.
func (s *slot) setFree(at time.Duration, previousOwner int) {
	s.state = slotFree
	s.holder = noTarget
	s.freeAt = at
	s.previousOwner = previousOwner
	s.needsNewToken = false
	s.moving = false
}

// inheritedSlot returns the state of a slot when this VM becomes assigner. While leases
// granted before may still run, only the owner in the inherited view may be granted the slot.
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

// needsWaitOut reports whether any target does not check tokens, so that a slot may change
// its owner only after requests in flight have ended.
func (a *assigner) needsWaitOut() bool {
	return slices.ContainsFunc(a.targets, func(m *managedTarget) bool { return !m.info.ChecksTokens })
}

// waitOutTime returns the time after which no entry still sends requests according to an
// older view to a target that does not check tokens, and no request sent so is running.
func (c *Core) waitOutTime() time.Duration {
	return lease.Stretch(c.opts.Lease+c.opts.ViewDelay+c.opts.RequestDeadline, c.opts.RateMargin)
}

// endOfUse returns the instant from which a target to which no more leases are sent
// certainly runs no request for the slots that it held.
func (c *Core) endOfUse(m *managedTarget) time.Duration {
	if m.info.ChecksTokens {
		return m.lease.End()
	}
	return max(m.lease.End(), c.now+c.waitOutTime())
}

// queue adds a slot to the unsettled ones.
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

// settle advances each unsettled slot towards its wanted owner.
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

// advanceSlot advances a slot as far as it can now and reports whether the slot is settled.
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

// unblocked reports whether the slot that has to be revoked first, if any, has been revoked.
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

// advanceHeld begins a revocation if the slot must not stay with its holder, or if another
// owner is wanted that can be granted the slot. It reports whether the slot is settled.
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

// finishRevoke ends a revocation; the slot is free from the instant at on.
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
			// If the target does not check tokens, the slot is freed at freeAt, when the
			// requests in flight have ended.
			if m.info.ChecksTokens {
				a.finishRevoke(c, ownership.Slot(s), c.now)
			}
		}
	}
}

// regrantAll grants all held slots again with tokens of a new term or round.
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
