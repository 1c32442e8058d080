package assign

import (
	"github.com/basiltally/basiltally/ownership"
)

// publish emits the view in force if it changed, and again at each heartbeat.
func (l *leader) publish(c *Core) {
	if l.viewChanged {
		l.viewChanged = false
		l.view = l.buildView(c)
		c.known.seeView(l.view)
		l.republish = true
	}
	if l.republish && l.view != nil {
		l.republish = false
		c.emit(Publish{View: l.view})
	}
}

// buildView returns the assignment in force: slots whose owner has
// acknowledged the grant.
func (l *leader) buildView(c *Core) *ownership.View {
	v := &ownership.View{
		Group:     c.opts.Group,
		Term:      c.term,
		Seq:       c.nextToken().Seq,
		Assigner:  c.opts.Self,
		Targets:   l.infos(),
		States:    l.states(c),
		SlotCount: l.table.SlotCount,
		Slots:     make([]ownership.SlotState, len(l.slots)),
		Pinned:    make(map[ownership.KeyHash]ownership.Slot, len(l.pins)),
	}
	for s := range l.slots {
		v.Slots[s] = ownership.SlotState{Owner: ownership.NoOwner}
		if st := &l.slots[s]; st.state == slotHeld {
			v.Slots[s] = ownership.SlotState{Owner: uint32(st.holder), Seq: st.token.Seq}
		}
	}
	for key, s := range l.pins {
		v.Pinned[key] = s
	}
	return v
}

func (l *leader) states(c *Core) []ownership.TargetState {
	states := make([]ownership.TargetState, len(l.targets))
	for i, m := range l.targets {
		states[i] = m.state(c)
	}
	return states
}

func (m *member) state(c *Core) ownership.TargetState {
	switch {
	case m.lost || m.alive == -1<<62:
		return ownership.TargetLost
	case m.leaving || m.drained || m.gone(c):
		return ownership.TargetLeaving
	case m.warming || c.now < m.eligibleAt:
		return ownership.TargetWarming
	default:
		return ownership.TargetReady
	}
}
