package assign

import (
	"github.com/basiltally/basiltally/ownership"
)

// publish emits the view if it changed, and the last one again at each heartbeat.
func (a *assigner) publish(c *Core) {
	if a.viewChanged {
		a.viewChanged = false
		a.view = a.buildView(c)
		c.known.observeView(a.view)
		a.republish = true
	}
	if a.republish && a.view != nil {
		a.republish = false
		c.emit(Publish{View: a.view})
	}
}

// buildView returns a view of the assignment in force, under a new version. Only slots
// whose holder has acknowledged the grant have an owner in it.
func (a *assigner) buildView(c *Core) *ownership.View {
	v := &ownership.View{
		Group:     c.opts.Group,
		Term:      c.term,
		Seq:       c.nextToken().Seq,
		Assigner:  c.opts.Self,
		Targets:   a.targetInfos(),
		States:    a.targetStates(c),
		SlotCount: a.table.SlotCount,
		Slots:     make([]ownership.SlotState, len(a.slots)),
		Pinned:    make(map[ownership.KeyHash]ownership.Slot, len(a.pins)),
	}
	for s := range a.slots {
		v.Slots[s] = ownership.SlotState{Owner: ownership.NoOwner}
		if st := &a.slots[s]; st.state == slotHeld {
			v.Slots[s] = ownership.SlotState{Owner: uint32(st.holder), Seq: st.token.Seq}
		}
	}
	for key, s := range a.pins {
		v.Pinned[key] = s
	}
	return v
}

func (a *assigner) targetStates(c *Core) []ownership.TargetState {
	states := make([]ownership.TargetState, len(a.targets))
	for i, m := range a.targets {
		states[i] = m.state(c)
	}
	return states
}

func (m *managedTarget) state(c *Core) ownership.TargetState {
	switch {
	case m.lost || m.answeredAt == -1<<62:
		return ownership.TargetLost
	case m.leaving || m.drained || m.longUnlisted(c):
		return ownership.TargetLeaving
	case m.warming || c.now < m.eligibleAt:
		return ownership.TargetWarming
	default:
		return ownership.TargetReady
	}
}
