package assign

import (
	"slices"
	"time"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
)

const (
	// maxPins limits the pinned keys of a group.
	maxPins = 256
	// pinAfter is how long a key must be hot before it is pinned automatically.
	pinAfter = 2 * time.Second
	// unpinAfter is how long it must be cool before its automatic pin ends.
	unpinAfter = 30 * time.Second
	// coolShare is the part of Options.HotShare below which a key is cool.
	coolShare = 0.25
)

// hotKeys follows the load of keys.
type hotKeys struct {
	// since is when a key became hot, cold when a pinned one cooled.
	since, cold map[ownership.KeyHash]time.Duration
}

// changePin pins a key, or moves the pin that it has.
func (c *Core) changePin(rec *ownership.Record, cmd PinKey, auto bool) *result.Error {
	owner := ownership.NoOwner
	if cmd.To != "" {
		i, err := c.receiver(rec, cmd.To)
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
		return result.New(result.NoCapacity, "the group has %d pinned keys", len(rec.Pins))
	}
	if owner == ownership.NoOwner {
		owner = rec.Owners[cmd.Key.BaseSlot(rec.SlotCount)]
	}
	pin := ownership.Pin{Key: cmd.Key, Slot: c.lead.freePinSlot(rec), Owner: owner, Auto: auto}
	rec.Pins = append(rec.Pins, pin)
	return nil
}

// freePinSlot returns the lowest slot that no pin uses and no target may hold.
func (l *leader) freePinSlot(rec *ownership.Record) ownership.Slot {
	for s := ownership.Slot(rec.SlotCount); ; s++ {
		used := slices.ContainsFunc(rec.Pins, func(p ownership.Pin) bool { return p.Slot == s })
		if used || (int(s) < len(l.slots) && l.slots[s].state != slotFree) {
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

// pinsChanged puts new and ended pins into effect. A new pin waits until the
// hashed slot of its key was revoked, which then gets a new token: an entry
// that still sends the key by its hashed slot is refused. The key of an ended
// pin stays in the view, without owner, until the pinned slot was revoked.
func (l *leader) pinsChanged(c *Core, before, after *ownership.Record) {
	for _, p := range after.Pins {
		had := slices.ContainsFunc(before.Pins, func(o ownership.Pin) bool { return o.Key == p.Key })
		if !had {
			l.addPin(c, p)
		}
		l.queue(p.Slot)
	}
	for _, p := range before.Pins {
		if !slices.ContainsFunc(after.Pins, func(o ownership.Pin) bool { return o.Key == p.Key }) {
			l.endPin(p.Slot)
		}
	}
}

func (l *leader) addPin(_ *Core, p ownership.Pin) {
	for len(l.slots) <= int(p.Slot) {
		l.slots = append(l.slots, slot{holder: none, same: none})
	}
	base := p.Key.BaseSlot(l.table.SlotCount)
	st := &l.slots[p.Slot]
	st.after = &base
	st.freeAt = max(st.freeAt, l.slots[base].freeAt)
	if b := &l.slots[base]; b.state == slotGranting || b.state == slotHeld {
		b.reissue = true
	}
	l.pins[p.Key] = p.Slot
	l.queue(base)
	l.queue(p.Slot)
}

// keepEndedPins keeps the keys of pins that ended under the last assigner out of
// their hashed slots while a lease on the pinned slot may still run.
func (l *leader) keepEndedPins(c *Core) {
	v := c.inherited.view
	if v == nil || c.now >= c.inherited.until {
		return
	}
	for key, s := range v.Pinned {
		if _, ok := l.pins[key]; ok || l.live(s) || v.SlotCount != l.table.SlotCount {
			continue
		}
		for len(l.slots) <= int(s) {
			l.slots = append(l.slots, slot{holder: none, same: none})
		}
		l.pins[key] = s
		l.slots[s] = slot{state: slotRevoking, holder: none, same: none, freeAt: c.inherited.until}
		l.queue(s)
	}
}

// endPin drops the slot of an ended pin if no target holds it, else its
// revocation begins with the next settling.
func (l *leader) endPin(s ownership.Slot) {
	if l.slots[s].state == slotFree {
		l.retirePin(s)
		return
	}
	l.queue(s)
}

// retirePin removes the key of an ended pin from the view.
func (l *leader) retirePin(s ownership.Slot) {
	for key, slot := range l.pins {
		if slot == s {
			delete(l.pins, key)
		}
	}
	l.viewChanged = true
}

// keyLoad pins keys that stay hot and unpins those that cooled.
func (c *Core) keyLoad(ev KeyLoad) {
	if c.phase != leading || c.opts.HotShare <= 0 || ev.Total <= 0 {
		return
	}
	hot := make(map[ownership.KeyHash]float64, len(ev.Keys))
	for _, k := range ev.Keys {
		hot[k.Key] = k.PerSecond / ev.Total
	}
	c.pinHot(ev.Keys, hot)
	c.unpinCool(hot)
}

func (c *Core) pinHot(keys []KeyRate, share map[ownership.KeyHash]float64) {
	for key := range c.hot.since {
		if share[key] < c.opts.HotShare {
			delete(c.hot.since, key)
		}
	}
	for _, k := range keys {
		_, pinned := c.lead.pins[k.Key]
		if pinned || share[k.Key] < c.opts.HotShare {
			continue
		}
		since, ok := c.hot.since[k.Key]
		if !ok {
			c.hot.since[k.Key] = c.now
			continue
		}
		if c.now-since >= pinAfter {
			delete(c.hot.since, k.Key)
			c.automatic(PinKey{Key: k.Key, To: c.lead.leastLoaded(c)})
		}
	}
}

func (c *Core) unpinCool(share map[ownership.KeyHash]float64) {
	for _, p := range c.lead.table.Pins {
		if !p.Auto || share[p.Key] >= c.opts.HotShare*coolShare {
			delete(c.hot.cold, p.Key)
			continue
		}
		since, ok := c.hot.cold[p.Key]
		if !ok {
			c.hot.cold[p.Key] = c.now
			continue
		}
		if c.now-since >= unpinAfter {
			delete(c.hot.cold, p.Key)
			c.automatic(UnpinKey{Key: p.Key})
		}
	}
}

// automatic queues a command of the Core's own.
func (c *Core) automatic(what Command) {
	c.commands = append(c.commands, &command{
		what:      what,
		deadline:  c.now + c.opts.CommandDeadline,
		automatic: true,
	})
}

// leastLoaded returns the eligible target with the fewest slots, or none.
func (l *leader) leastLoaded(c *Core) ownership.TargetID {
	counts, _ := l.load(c)
	best := none
	for i, m := range l.targets {
		if m.eligible(c) && (best == none || counts[i] < counts[best]) {
			best = i
		}
	}
	if best == none {
		return ""
	}
	return l.targets[best].info.ID
}
