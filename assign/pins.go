package assign

import (
	"slices"
	"time"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
)

const (
	// maxPins is the largest number of pinned keys of a group.
	maxPins = 256
	// pinAfter is how long a key must be hot before it is pinned automatically.
	pinAfter = 2 * time.Second
	// unpinAfter is how long a key must be cool before its automatic pin ends.
	unpinAfter = 30 * time.Second
	// coolShare is the fraction of Options.HotShare below which a key is cool.
	coolShare = 0.25
)

// hotKeys records since when keys have been hot or cool.
type hotKeys struct {
	// hotSince is when a key that is not pinned became hot; coolSince is when an
	// automatically pinned one became cool.
	hotSince, coolSince map[ownership.KeyHash]time.Duration
}

// changePin pins a key, or changes the owner of the pin that it already has.
func (c *Core) changePin(rec *ownership.Record, cmd PinKey, auto bool) *result.Error {
	owner := ownership.NoOwner
	if cmd.To != "" {
		i, err := c.receivingTarget(rec, cmd.To)
		if err != nil {
			return err
		}
		owner = i
	}
	if rec.SlotCount == 0 {
		return result.New(result.BadRequest, "the group has no slots")
	}
	if k := slices.IndexFunc(rec.Pins, func(p ownership.Pin) bool { return p.Key == cmd.Key }); k >= 0 {
		if owner != ownership.NoOwner {
			rec.Pins[k].Owner = owner
		}
		rec.Pins[k].Auto = rec.Pins[k].Auto && auto
		return nil
	}
	if len(rec.Pins) >= maxPins {
		return result.New(result.NoCapacity, "the group already has the maximum of %d pinned keys", len(rec.Pins))
	}
	if owner == ownership.NoOwner {
		owner = rec.Owners[cmd.Key.BaseSlot(rec.SlotCount)]
	}
	pin := ownership.Pin{Key: cmd.Key, Slot: c.assigner.freePinSlot(rec), Owner: owner, Auto: auto}
	rec.Pins = append(rec.Pins, pin)
	return nil
}

// freePinSlot returns the lowest slot above the hashed ones that no pin uses and no target
// may hold.
func (a *assigner) freePinSlot(rec *ownership.Record) ownership.Slot {
	for s := ownership.Slot(rec.SlotCount); ; s++ {
		used := slices.ContainsFunc(rec.Pins, func(p ownership.Pin) bool { return p.Slot == s })
		if used || (int(s) < len(a.slots) && a.slots[s].state != slotFree) {
			continue
		}
		return s
	}
}

func changeUnpin(rec *ownership.Record, cmd UnpinKey) *result.Error {
	k := slices.IndexFunc(rec.Pins, func(p ownership.Pin) bool { return p.Key == cmd.Key })
	if k < 0 {
		return result.New(result.UnknownObject, "the key is not pinned")
	}
	rec.Pins = slices.Delete(rec.Pins, k, k+1)
	return nil
}

// pinsChanged applies the pins that are new or ended. The slot of a new pin is granted
// after the hashed slot of its key has been revoked. The hashed slot then gets a new token,
// so that requests of entries that still send the key by its hashed slot are refused. The
// key of an ended pin stays in the view, without owner, until the pinned slot has been
// revoked.
func (a *assigner) pinsChanged(c *Core, before, after *ownership.Record) {
	for _, p := range after.Pins {
		had := slices.ContainsFunc(before.Pins, func(o ownership.Pin) bool { return o.Key == p.Key })
		if !had {
			a.addPin(c, p)
		}
		a.queue(p.Slot)
	}
	for _, p := range before.Pins {
		if !slices.ContainsFunc(after.Pins, func(o ownership.Pin) bool { return o.Key == p.Key }) {
			a.endPin(p.Slot)
		}
	}
}

func (a *assigner) addPin(_ *Core, p ownership.Pin) {
	for len(a.slots) <= int(p.Slot) {
		a.slots = append(a.slots, slot{holder: noTarget, previousOwner: noTarget})
	}
	base := p.Key.BaseSlot(a.table.SlotCount)
	st := &a.slots[p.Slot]
	st.blockedBy = &base
	st.freeAt = max(st.freeAt, a.slots[base].freeAt)
	if b := &a.slots[base]; b.state == slotGranting || b.state == slotHeld {
		b.needsNewToken = true
	}
	a.pins[p.Key] = p.Slot
	a.queue(base)
	a.queue(p.Slot)
}

// keepEndedPins keeps the pins that ended under the last assigner in the view, without owner,
// while a lease on the pinned slot may still run. Until then their keys are not served by
// their hashed slots.
func (a *assigner) keepEndedPins(c *Core) {
	v := c.inherited.view
	if v == nil || c.now >= c.inherited.until {
		return
	}
	for key, s := range v.Pinned {
		if _, ok := a.pins[key]; ok || a.slotExists(s) || v.SlotCount != a.table.SlotCount {
			continue
		}
		for len(a.slots) <= int(s) {
			a.slots = append(a.slots, slot{holder: noTarget, previousOwner: noTarget})
		}
		a.pins[key] = s
		a.slots[s] = slot{state: slotRevoking, holder: noTarget, previousOwner: noTarget, freeAt: c.inherited.until}
		a.queue(s)
	}
}

// endPin removes an ended pin if no target holds its slot. Otherwise it queues the slot, so
// that the next run of settle begins its revocation.
func (a *assigner) endPin(s ownership.Slot) {
	if a.slots[s].state == slotFree {
		a.removePin(s)
		return
	}
	a.queue(s)
}

// removePin removes the key of an ended pin from the view.
func (a *assigner) removePin(s ownership.Slot) {
	for key, slot := range a.pins {
		if slot == s {
			delete(a.pins, key)
		}
	}
	a.viewChanged = true
}

// keyLoad pins keys that have been hot for pinAfter, and unpins automatically pinned keys
// that have been cool for unpinAfter.
func (c *Core) keyLoad(ev KeyLoad) {
	if c.phase != assigning || c.opts.HotShare <= 0 || ev.Total <= 0 {
		return
	}
	share := make(map[ownership.KeyHash]float64, len(ev.Keys))
	for _, k := range ev.Keys {
		share[k.Key] = k.PerSecond / ev.Total
	}
	c.pinHot(ev.Keys, share)
	c.unpinCool(share)
}

func (c *Core) pinHot(keys []KeyRate, share map[ownership.KeyHash]float64) {
	for key := range c.hotKeys.hotSince {
		if share[key] < c.opts.HotShare {
			delete(c.hotKeys.hotSince, key)
		}
	}
	for _, k := range keys {
		_, pinned := c.assigner.pins[k.Key]
		if pinned || share[k.Key] < c.opts.HotShare {
			continue
		}
		since, ok := c.hotKeys.hotSince[k.Key]
		if !ok {
			c.hotKeys.hotSince[k.Key] = c.now
			continue
		}
		if c.now-since >= pinAfter {
			delete(c.hotKeys.hotSince, k.Key)
			c.queueAutomatic(PinKey{Key: k.Key, To: c.assigner.leastLoaded(c)})
		}
	}
}

func (c *Core) unpinCool(share map[ownership.KeyHash]float64) {
	for _, p := range c.assigner.table.Pins {
		if !p.Auto || share[p.Key] >= c.opts.HotShare*coolShare {
			delete(c.hotKeys.coolSince, p.Key)
			continue
		}
		since, ok := c.hotKeys.coolSince[p.Key]
		if !ok {
			c.hotKeys.coolSince[p.Key] = c.now
			continue
		}
		if c.now-since >= unpinAfter {
			delete(c.hotKeys.coolSince, p.Key)
			c.queueAutomatic(UnpinKey{Key: p.Key})
		}
	}
}

// queueAutomatic queues a command that the Core itself gives.
func (c *Core) queueAutomatic(op Command) {
	c.commands = append(c.commands, &command{
		op:        op,
		deadline:  c.now + c.opts.CommandDeadline,
		automatic: true,
	})
}

// leastLoaded returns the eligible target with the fewest slots, or "" if none is eligible.
func (a *assigner) leastLoaded(c *Core) ownership.TargetID {
	counts, _ := a.slotLoad(c)
	best := noTarget
	for i, m := range a.targets {
		if m.eligible(c) && (best == noTarget || counts[i] < counts[best]) {
			best = i
		}
	}
	if best == noTarget {
		return ""
	}
	return a.targets[best].info.ID
}
