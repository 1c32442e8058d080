package assign

import (
	"slices"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

// maxReturnShift limits the doubling of Options.ReturnAfter.
const maxReturnShift = 4

// watch looks for targets that fell silent, were forgotten or came back.
func (l *leader) watch(c *Core) {
	l.watchAt = c.now + c.opts.Heartbeat/2
	for i, m := range l.targets {
		l.watchTarget(c, i, m)
	}
	if len(l.unsettled) > 0 {
		return
	}
	for _, m := range l.targets {
		if m.leaving || m.drained {
			l.queueAll()
			return
		}
	}
}

func (l *leader) watchTarget(c *Core, i int, m *member) {
	if m.lost || m.asked == lease.DistantPast {
		return
	}
	silent := c.now - max(m.asked, m.alive)
	if m.alive != lease.DistantPast {
		silent = c.now - m.alive
	}
	if silent < c.opts.LostAfter/2 {
		return
	}
	if m.probing == never {
		m.probing = c.now
	}
	l.probe(c, m)
	unreached := c.now - max(m.probing, m.reached)
	if silent >= c.opts.LostAfter && unreached >= c.opts.Heartbeat {
		l.lose(c, i)
	}
}

// probe asks peers whether they reach the target.
func (l *leader) probe(c *Core, m *member) {
	list := c.candidates()
	self := max(c.preference(), 0)
	asked := 0
	for k := 1; k < len(list) && asked < c.opts.Probes; k++ {
		vm := list[(self+k)%len(list)]
		if vm == c.opts.Self {
			continue
		}
		c.emit(ProbeVia{VM: vm, Target: m.info})
		asked++
	}
}

// probeAnswered sends renewals by way of a peer that reaches a silent target.
func (c *Core) probeAnswered(ev ProbeAnswered) {
	if c.lead == nil || !ev.Reachable {
		return
	}
	i, ok := c.lead.index[ev.Target]
	if !ok {
		return
	}
	m := c.lead.targets[i]
	m.reached = c.now
	if m.probing != never && m.via != ev.From {
		m.via = ev.From
		m.urgent = true
	}
}

// lose gives up a target: its slots pass on when its last possible lease has ended.
func (l *leader) lose(c *Core, i int) {
	m := l.targets[i]
	m.lost = true
	m.losses++
	m.via = ""
	m.probing = never
	l.viewChanged = true
	l.queueAll()
}

// returned makes a target that answers again eligible after a time that grows
// with its losses.
func (m *member) returned(c *Core) {
	m.lost = false
	m.full = true
	shift := min(max(m.losses-1, 0), maxReturnShift)
	m.eligibleAt = c.now + c.opts.ReturnAfter<<shift
}

// hintLost takes over what the last view says of lost targets, so that their
// slots need not wait again. A target that answers is not lost.
func (l *leader) hintLost(c *Core) {
	v := c.known.view
	if v == nil || v.Assigner == c.opts.Self {
		return
	}
	for i, state := range v.States {
		if state != ownership.TargetLost || i >= len(v.Targets) {
			continue
		}
		if k, ok := l.index[v.Targets[i].ID]; ok && l.targets[k].alive == lease.DistantPast {
			l.targets[k].lost = true
			l.targets[k].losses = 1
		}
	}
}

// applyList takes over the list of targets.
func (l *leader) applyList(c *Core) {
	if !c.listKnown {
		return
	}
	for _, info := range c.list {
		m := l.addTarget(c, info.Target)
		m.info = info.Target
		m.leaving = info.Leaving
		m.goneAt = never
	}
	for _, m := range l.targets {
		listed := slices.ContainsFunc(c.list, func(t TargetInfo) bool { return t.ID == m.info.ID })
		if !listed && m.goneAt == never {
			m.goneAt = c.now
		}
	}
}

func (c *Core) targetsChanged(ev TargetsChanged) {
	c.list = slices.Clone(ev.Targets)
	c.listKnown = true
	if c.lead == nil {
		return
	}
	before := len(c.lead.targets)
	c.lead.applyList(c)
	if !c.lead.started {
		return
	}
	c.store.dirty = c.store.dirty || len(c.lead.targets) > before
	c.lead.viewChanged = true
	c.lead.queueAll()
}

// gone reports whether the target left the list long ago.
func (m *member) gone(c *Core) bool {
	return m.goneAt != never && c.now-m.goneAt >= c.opts.ForgetAfter
}

// staying reports whether the target may keep the slots that it has.
func (m *member) staying(c *Core) bool {
	return !m.lost && !m.leaving && !m.drained && !m.gone(c)
}

// eligible reports whether the target may be given slots.
func (m *member) eligible(c *Core) bool {
	return m.staying(c) && m.answering(c) && !m.warming && c.now >= m.eligibleAt
}

// choose wants another owner for a slot whose wanted owner cannot keep it.
func (l *leader) choose(c *Core, s ownership.Slot) {
	if !l.live(s) {
		return
	}
	w := l.wanted(s)
	if w != none && l.targets[w].staying(c) {
		return
	}
	if w == none && l.someUnheard(c) {
		return
	}
	best := l.standby(c, s)
	if best == none || best == w {
		return
	}
	l.want(s, best)
	l.counts[best]++
	if w != none {
		l.counts[w]--
	}
	l.slots[s].moving = w != none && !l.targets[w].lost
	c.store.dirty = true
}

// someUnheard reports whether a target may still give its first answer, so that
// slots without an owner are not all given to the first that answers.
func (l *leader) someUnheard(c *Core) bool {
	return slices.ContainsFunc(l.targets, func(m *member) bool {
		return !m.lost && m.alive == lease.DistantPast
	})
}

// standby returns the target that should take over a slot: the highest ranked
// one that is eligible and not overloaded, else any that answers.
func (l *leader) standby(c *Core, s ownership.Slot) int {
	if l.counts == nil {
		l.counts, l.limit = l.load(c)
		l.ranked = l.infos()
	}
	counts, limit := l.counts, l.limit
	fallback := none
	last := none
	for _, i := range ownership.Rank(c.opts.Group, s, l.ranked) {
		m := l.targets[i]
		switch {
		case m.eligible(c) && counts[i] < limit:
			return i
		case m.eligible(c) && fallback == none:
			fallback = i
		case m.staying(c) && m.answering(c) && last == none:
			last = i
		}
	}
	if fallback != none {
		return fallback
	}
	return last
}

func (l *leader) infos() []ownership.Target {
	list := make([]ownership.Target, len(l.targets))
	for i, m := range l.targets {
		list[i] = m.info
	}
	return list
}

// load counts the wanted slots of each target, and returns the number that a
// target may exceed only if all do.
func (l *leader) load(c *Core) (counts []int, limit int) {
	counts = make([]int, len(l.targets))
	total := 0
	for s := range l.slots {
		if w := l.wanted(ownership.Slot(s)); w != none {
			counts[w]++
		}
		total++
	}
	able := 0
	for _, m := range l.targets {
		if m.eligible(c) {
			able++
		}
	}
	if able == 0 {
		return counts, total
	}
	return counts, int(float64(total)/float64(able)*(1+c.opts.Imbalance)) + 1
}
