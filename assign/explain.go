package assign

import (
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// SlotInfo describes the state of a slot for operators.
type SlotInfo struct {
	Slot ownership.Slot `json:"slot"`
	// Pinned is set for the slot of a pinned key.
	Pinned bool `json:"pinned,omitempty"`
	// State is free, granting, held or revoking.
	State string `json:"state"`
	// Holder is the target that may serve the slot now.
	Holder ownership.TargetID `json:"holder,omitempty"`
	// Wanted is the target that should own the slot.
	Wanted ownership.TargetID `json:"wanted,omitempty"`
	Token  string             `json:"token,omitempty"`
	// LeaseFor is the longest time for which the holder's lease may still run.
	LeaseFor time.Duration `json:"lease_nanos,omitempty"`
	// WaitFor is the time until the slot may be granted to another target.
	WaitFor time.Duration `json:"wait_nanos,omitempty"`
	// Why is what the slot waits for, or why it has its owner.
	Why string `json:"why"`
}

var slotStateNames = [...]string{"free", "granting", "held", "revoking"}

// ExplainKey describes the slot of a key. It returns false if this Core is not the
// assigner or the group has no slots.
func (c *Core) ExplainKey(now time.Duration, key ownership.KeyHash) (info SlotInfo, ok bool) {
	if !c.Assigning(now) || c.assigner.table.SlotCount == 0 {
		return SlotInfo{}, false
	}
	s, pinned := c.assigner.pins[key]
	if !pinned {
		s = key.BaseSlot(c.assigner.table.SlotCount)
	}
	return c.explainSlot(now, s, pinned), true
}

func (c *Core) explainSlot(now time.Duration, s ownership.Slot, pinned bool) SlotInfo {
	a := c.assigner
	st := &a.slots[s]
	info := SlotInfo{Slot: s, Pinned: pinned, State: slotStateNames[st.state], Why: a.waitReason(c, s)}
	if w := a.wantedOwner(s); w != noTarget {
		info.Wanted = a.targets[w].info.ID
	}
	if st.holder != noTarget {
		m := a.targets[st.holder]
		info.Holder = m.info.ID
		info.Token = st.token.String()
		info.LeaseFor = max(m.lease.End()-now, 0)
	}
	if st.state != slotHeld {
		info.WaitFor = max(st.freeAt-now, 0)
	}
	return info
}

// waitReason returns SlotInfo.Why.
func (a *assigner) waitReason(c *Core, s ownership.Slot) string {
	st := &a.slots[s]
	w := a.wantedOwner(s)
	switch {
	case st.state == slotRevoking:
		return "waiting until the holder acknowledges the revocation or its lease ends"
	case st.state == slotGranting:
		return "waiting until the holder acknowledges the grant"
	case st.state == slotHeld && st.holder != w:
		return "the wanted target cannot be granted a lease yet"
	case st.state == slotHeld:
		return "the holder is the owner that the table names"
	case w == noTarget:
		return "no target is eligible for the slot"
	case a.targets[w].lost:
		return "the wanted target is lost and no other target is eligible for the slot"
	case !a.targets[w].grantable(c):
		return "the wanted target has not answered in time to be granted a lease"
	case c.now < st.freeAt:
		return "a lease granted earlier may not have ended yet"
	default:
		return "another slot has to be revoked first"
	}
}
