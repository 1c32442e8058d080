package assign

import (
	"slices"
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

// none is the index of no target.
const none = -1

// leader is the state of a Core that is assigner or about to be.
type leader struct {
	started bool
	// table is the wanted assignment; it becomes the next record.
	table   *ownership.Record
	targets []*member
	index   map[ownership.TargetID]int
	slots   []slot
	pins    map[ownership.KeyHash]ownership.Slot
	// unsettled holds the slots whose state differs from the wanted one, in order.
	unsettled []ownership.Slot
	// counts, limit and ranked are the load and the targets during one settling.
	counts    []int
	limit     int
	ranked    []ownership.Target
	renewAt   time.Duration
	watchAt   time.Duration
	balanceAt time.Duration
	settleAt  time.Duration
	// viewChanged asks for a new view, republish for the last one.
	viewChanged bool
	republish   bool
	view        *ownership.View
}

// newLeader returns a leader that may read clocks but has granted nothing.
func newLeader(c *Core) *leader {
	l := &leader{
		index:    make(map[ownership.TargetID]int),
		settleAt: never,
	}
	for _, t := range c.known.best.Targets {
		l.addTarget(c, t)
	}
	for _, info := range c.list {
		l.addTarget(c, info.Target)
	}
	return l
}

func (l *leader) addTarget(c *Core, t ownership.Target) *member {
	if i, ok := l.index[t.ID]; ok {
		return l.targets[i]
	}
	m := newMember(c, t)
	l.index[t.ID] = len(l.targets)
	l.targets = append(l.targets, m)
	if l.started {
		m.resetGrants(c)
		m.urgent = true
	}
	return m
}

// start takes the newest record as the wanted table and queues all slots.
func (l *leader) start(c *Core) {
	l.started = true
	l.adopt(c, c.known.best)
	l.hintLost(c)
	l.slots = make([]slot, l.slotTotal())
	for i := range l.slots {
		l.slots[i] = c.inheritedSlot(ownership.Slot(i))
		l.slots[i].pending = false
		l.queue(ownership.Slot(i))
	}
	l.keepEndedPins(c)
	for _, m := range l.targets {
		m.resetGrants(c)
	}
	l.renewAt = c.now
	l.watchAt = c.now
	l.balanceAt = c.now + balanceInterval
	l.viewChanged = true
}

// adopt makes a copy of rec the wanted table. Its targets are renumbered like
// those of the leader.
func (l *leader) adopt(c *Core, rec *ownership.Record) {
	for _, t := range rec.Targets {
		m := l.addTarget(c, t)
		m.info = t
	}
	l.applyList(c)
	l.table = l.renumber(rec)
	l.pins = make(map[ownership.KeyHash]ownership.Slot, len(rec.Pins))
	for _, p := range l.table.Pins {
		l.pins[p.Key] = p.Slot
	}
	for _, m := range l.targets {
		m.drained = slices.Contains(rec.Drained, m.info.ID)
	}
}

// renumber returns a copy of rec in which owners index the leader's targets.
func (l *leader) renumber(rec *ownership.Record) *ownership.Record {
	t := cloneRecord(rec)
	if len(t.Owners) < int(t.SlotCount) {
		t.Owners = append(t.Owners, make([]uint32, int(t.SlotCount)-len(t.Owners))...)
		for i := len(rec.Owners); i < len(t.Owners); i++ {
			t.Owners[i] = ownership.NoOwner
		}
	}
	for i, o := range t.Owners {
		t.Owners[i] = l.renumberOwner(rec, o)
	}
	for i := range t.Pins {
		t.Pins[i].Owner = l.renumberOwner(rec, t.Pins[i].Owner)
	}
	t.Targets = nil
	return t
}

func (l *leader) renumberOwner(rec *ownership.Record, owner uint32) uint32 {
	if int64(owner) >= int64(len(rec.Targets)) {
		return ownership.NoOwner
	}
	return uint32(l.index[rec.Targets[owner].ID])
}

// record returns the wanted table as a record to be written.
func (l *leader) record() *ownership.Record {
	rec := cloneRecord(l.table)
	rec.Targets = make([]ownership.Target, len(l.targets))
	for i, m := range l.targets {
		rec.Targets[i] = m.info
	}
	return rec
}

// compact returns rec without the targets that left the list long ago, are lost
// and own nothing in it.
func (l *leader) compact(c *Core, rec *ownership.Record) *ownership.Record {
	owns := make([]bool, len(rec.Targets))
	for _, o := range rec.Owners {
		if o != ownership.NoOwner {
			owns[o] = true
		}
	}
	for _, p := range rec.Pins {
		if p.Owner != ownership.NoOwner {
			owns[p.Owner] = true
		}
	}
	index := make([]uint32, len(rec.Targets))
	kept := rec.Targets[:0:0]
	for i, t := range rec.Targets {
		index[i] = uint32(len(kept))
		if m := l.targets[i]; owns[i] || !m.lost || !m.gone(c) {
			kept = append(kept, t)
		}
	}
	rec.Targets = kept
	for i, o := range rec.Owners {
		if o != ownership.NoOwner {
			rec.Owners[i] = index[o]
		}
	}
	for i, p := range rec.Pins {
		if p.Owner != ownership.NoOwner {
			rec.Pins[i].Owner = index[p.Owner]
		}
	}
	return rec
}

// slotTotal returns the number of slots: the hashed ones and all up to the last pinned one.
func (l *leader) slotTotal() int {
	n := int(l.table.SlotCount)
	for _, p := range l.table.Pins {
		n = max(n, int(p.Slot)+1)
	}
	return n
}

// wanted returns the index of the target that should own the slot, or none.
func (l *leader) wanted(s ownership.Slot) int {
	o := ownership.NoOwner
	if s < ownership.Slot(l.table.SlotCount) {
		o = l.table.Owners[s]
	} else if p := l.pin(s); p != nil {
		o = p.Owner
	}
	if o == ownership.NoOwner {
		return none
	}
	return int(o)
}

// want changes the wanted owner of a slot.
func (l *leader) want(s ownership.Slot, target int) {
	o := ownership.NoOwner
	if target != none {
		o = uint32(target)
	}
	if s < ownership.Slot(l.table.SlotCount) {
		l.table.Owners[s] = o
	} else if p := l.pin(s); p != nil {
		p.Owner = o
	}
	l.queue(s)
}

func (l *leader) pin(s ownership.Slot) *ownership.Pin {
	for i := range l.table.Pins {
		if l.table.Pins[i].Slot == s {
			return &l.table.Pins[i]
		}
	}
	return nil
}

// live reports whether the slot exists: hashed or pinned.
func (l *leader) live(s ownership.Slot) bool {
	return s < ownership.Slot(l.table.SlotCount) || l.pin(s) != nil
}

// leaseEnd returns the latest instant at which any lease granted may end.
func (l *leader) leaseEnd() time.Duration {
	end := lease.DistantPast
	for _, m := range l.targets {
		end = max(end, m.lease.End())
	}
	return end
}

func (l *leader) wake() time.Duration {
	return min(l.renewAt, l.watchAt, l.settleAt, l.balanceAt)
}

// runLeader does what is due while this VM is assigner.
func (c *Core) runLeader() {
	l := c.lead
	if c.now >= l.watchAt {
		l.watch(c)
	}
	l.settle(c)
	if c.now >= l.balanceAt {
		l.balance(c)
	}
	l.renew(c)
	l.publish(c)
}
