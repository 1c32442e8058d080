package assign

import (
	"slices"
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

// noTarget is the index that stands for no target.
const noTarget = -1

// assigner is the state of a Core that is assigner or trying to become it.
type assigner struct {
	// started is set once the Core has become assigner; before, only clocks are read.
	started bool
	// table is the wanted assignment, from which the next record is written. Its owners are
	// indices of targets.
	table   *ownership.Record
	targets []*managedTarget
	index   map[ownership.TargetID]int
	slots   []slot
	pins    map[ownership.KeyHash]ownership.Slot
	// unsettled holds the slots whose state may differ from the wanted one, in the order in
	// which they were queued.
	unsettled []ownership.Slot
	// counts, limit and ranked are the results of slotLoad and targetInfos, kept during one
	// run of settle.
	counts         []int
	limit          int
	ranked         []ownership.Target
	renewAt        time.Duration
	checkTargetsAt time.Duration
	balanceAt      time.Duration
	settleAt       time.Duration
	// viewChanged is set if a new view has to be built and published.
	viewChanged bool
	// republish is set if view has to be published.
	republish bool
	// view is the view built last.
	view *ownership.View
}

// newAssigner returns an assigner that is not started: it knows its targets and may read
// their clocks, but has granted nothing.
func newAssigner(c *Core) *assigner {
	a := &assigner{
		index:    make(map[ownership.TargetID]int),
		settleAt: farFuture,
	}
	for _, t := range c.known.newest.Targets {
		a.addTarget(c, t)
	}
	for _, info := range c.targetList {
		a.addTarget(c, info.Target)
	}
	return a
}

func (a *assigner) addTarget(c *Core, t ownership.Target) *managedTarget {
	if i, ok := a.index[t.ID]; ok {
		return a.targets[i]
	}
	m := newManagedTarget(c, t)
	a.index[t.ID] = len(a.targets)
	a.targets = append(a.targets, m)
	if a.started {
		m.resetGrants(c)
		m.urgent = true
	}
	return m
}

// start makes the newest known record the wanted table and queues all slots.
func (a *assigner) start(c *Core) {
	a.started = true
	a.adoptRecord(c, c.known.newest)
	a.inheritLost(c)
	a.slots = make([]slot, a.slotTotal())
	for i := range a.slots {
		a.slots[i] = c.inheritedSlot(ownership.Slot(i))
		a.slots[i].queued = false
		a.queue(ownership.Slot(i))
	}
	a.keepEndedPins(c)
	for _, m := range a.targets {
		m.resetGrants(c)
	}
	a.renewAt = c.now
	a.checkTargetsAt = c.now
	a.balanceAt = c.now + balanceInterval
	a.viewChanged = true
}

// adoptRecord makes a copy of rec the wanted table, with owners as indices of a.targets.
func (a *assigner) adoptRecord(c *Core, rec *ownership.Record) {
	for _, t := range rec.Targets {
		m := a.addTarget(c, t)
		m.info = t
	}
	a.applyTargetList(c)
	a.table = a.renumber(rec)
	a.pins = make(map[ownership.KeyHash]ownership.Slot, len(rec.Pins))
	for _, p := range a.table.Pins {
		a.pins[p.Key] = p.Slot
	}
	for _, m := range a.targets {
		m.drained = slices.Contains(rec.Drained, m.info.ID)
	}
}

// renumber returns a copy of rec in which owners are indices of a.targets, which must
// contain all targets of rec.
func (a *assigner) renumber(rec *ownership.Record) *ownership.Record {
	t := cloneRecord(rec)
	if len(t.Owners) < int(t.SlotCount) {
		t.Owners = append(t.Owners, make([]uint32, int(t.SlotCount)-len(t.Owners))...)
		for i := len(rec.Owners); i < len(t.Owners); i++ {
			t.Owners[i] = ownership.NoOwner
		}
	}
	for i, o := range t.Owners {
		t.Owners[i] = a.renumberOwner(rec, o)
	}
	for i := range t.Pins {
		t.Pins[i].Owner = a.renumberOwner(rec, t.Pins[i].Owner)
	}
	t.Targets = nil
	return t
}

func (a *assigner) renumberOwner(rec *ownership.Record, owner uint32) uint32 {
	if int64(owner) >= int64(len(rec.Targets)) {
		return ownership.NoOwner
	}
	return uint32(a.index[rec.Targets[owner].ID])
}

// wantedRecord returns the wanted table as a record, with the list of targets.
func (a *assigner) wantedRecord() *ownership.Record {
	rec := cloneRecord(a.table)
	rec.Targets = make([]ownership.Target, len(a.targets))
	for i, m := range a.targets {
		rec.Targets[i] = m.info
	}
	return rec
}

// compact returns rec without the targets that are lost, own no slot in rec and have been
// missing from the list of targets for Options.ForgetAfter.
func (a *assigner) compact(c *Core, rec *ownership.Record) *ownership.Record {
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
		if m := a.targets[i]; owns[i] || !m.lost || !m.longUnlisted(c) {
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

// slotTotal returns the number of slots: the hashed slots and all others up to the highest
// pinned one.
func (a *assigner) slotTotal() int {
	n := int(a.table.SlotCount)
	for _, p := range a.table.Pins {
		n = max(n, int(p.Slot)+1)
	}
	return n
}

// wantedOwner returns the index of the target that should own the slot, or noTarget.
func (a *assigner) wantedOwner(s ownership.Slot) int {
	o := ownership.NoOwner
	if s < ownership.Slot(a.table.SlotCount) {
		o = a.table.Owners[s]
	} else if p := a.pin(s); p != nil {
		o = p.Owner
	}
	if o == ownership.NoOwner {
		return noTarget
	}
	return int(o)
}

// setWanted changes the wanted owner of a slot and queues the slot.
func (a *assigner) setWanted(s ownership.Slot, target int) {
	o := ownership.NoOwner
	if target != noTarget {
		o = uint32(target)
	}
	if s < ownership.Slot(a.table.SlotCount) {
		a.table.Owners[s] = o
	} else if p := a.pin(s); p != nil {
		p.Owner = o
	}
	a.queue(s)
}

func (a *assigner) pin(s ownership.Slot) *ownership.Pin {
	for i := range a.table.Pins {
		if a.table.Pins[i].Slot == s {
			return &a.table.Pins[i]
		}
	}
	return nil
}

// slotExists reports whether s is a hashed slot or the slot of a pinned key.
func (a *assigner) slotExists(s ownership.Slot) bool {
	return s < ownership.Slot(a.table.SlotCount) || a.pin(s) != nil
}

// lastLeaseEnd returns the latest instant at which any lease granted may end, or
// lease.DistantPast.
func (a *assigner) lastLeaseEnd() time.Duration {
	end := lease.DistantPast
	for _, m := range a.targets {
		end = max(end, m.lease.End())
	}
	return end
}

func (a *assigner) wake() time.Duration {
	return min(a.renewAt, a.checkTargetsAt, a.settleAt, a.balanceAt)
}

// runAssigner does the work that is due while this VM is assigner.
func (c *Core) runAssigner() {
	a := c.assigner
	if c.now >= a.checkTargetsAt {
		a.checkTargets(c)
	}
	a.settle(c)
	if c.now >= a.balanceAt {
		a.balance(c)
	}
	a.renew(c)
	a.publish(c)
}
