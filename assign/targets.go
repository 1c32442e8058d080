package assign

import (
	"slices"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

// maxReturnShift is the largest number of times that Options.ReturnAfter is doubled.
const maxReturnShift = 4

// checkTargets detects targets that no longer answer, and queues all slots while a target
// is leaving or drained.
func (a *assigner) checkTargets(c *Core) {
	a.checkTargetsAt = c.now + c.opts.Heartbeat/2
	for i, m := range a.targets {
		a.checkTarget(c, i, m)
	}
	if len(a.unsettled) > 0 {
		return
	}
	for _, m := range a.targets {
		if m.leaving || m.drained {
			a.queueAll()
			return
		}
	}
}

func (a *assigner) checkTarget(c *Core, i int, m *managedTarget) {
	if m.lost || m.firstSentAt == lease.DistantPast {
		return
	}
	silent := c.now - max(m.firstSentAt, m.answeredAt)
	if m.answeredAt != lease.DistantPast {
		silent = c.now - m.answeredAt
	}
	if silent < c.opts.LostAfter/2 {
		return
	}
	if m.probingSince == farFuture {
		m.probingSince = c.now
	}
	a.probe(c, m)
	unreached := c.now - max(m.probingSince, m.reachedAt)
	if silent >= c.opts.LostAfter && unreached >= c.opts.Heartbeat {
		a.markLost(c, i)
	}
}

// probe requests probes of the target from Options.Probes peers.
func (a *assigner) probe(c *Core, m *managedTarget) {
	list := c.candidates()
	self := max(c.candidateIndex(), 0)
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

// probeAnswered sends the renewals of a silent target through a peer that reaches it.
func (c *Core) probeAnswered(ev ProbeAnswered) {
	if c.assigner == nil || !ev.Reachable {
		return
	}
	i, ok := c.assigner.index[ev.Target]
	if !ok {
		return
	}
	m := c.assigner.targets[i]
	m.reachedAt = c.now
	if m.probingSince != farFuture && m.via != ev.From {
		m.via = ev.From
		m.urgent = true
	}
}

// markLost marks a target as lost. Its slots are granted to other targets when the last
// lease that it may hold has ended.
func (a *assigner) markLost(c *Core, i int) {
	m := a.targets[i]
	m.lost = true
	m.losses++
	m.via = ""
	m.probingSince = farFuture
	a.viewChanged = true
	a.queueAll()
}

// markReturned marks a lost target that answers again as not lost. It becomes eligible for
// slots after a time that grows with the number of its losses.
func (m *managedTarget) markReturned(c *Core) {
	m.lost = false
	m.full = true
	shift := min(max(m.losses-1, 0), maxReturnShift)
	m.eligibleAt = c.now + c.opts.ReturnAfter<<shift
}

// inheritLost marks the targets as lost that the last view of another assigner lists as
// lost, so that their slots do not wait for the detection again. A target that has answered
// is not marked.
func (a *assigner) inheritLost(c *Core) {
	v := c.known.view
	if v == nil || v.Assigner == c.opts.Self {
		return
	}
	for i, state := range v.States {
		if state != ownership.TargetLost || i >= len(v.Targets) {
			continue
		}
		if k, ok := a.index[v.Targets[i].ID]; ok && a.targets[k].answeredAt == lease.DistantPast {
			a.targets[k].lost = true
			a.targets[k].losses = 1
		}
	}
}

// applyTargetList updates the targets from the list of targets, once that is known. Targets
// are added, but not removed.
func (a *assigner) applyTargetList(c *Core) {
	if !c.targetListKnown {
		return
	}
	for _, info := range c.targetList {
		m := a.addTarget(c, info.Target)
		m.info = info.Target
		m.leaving = info.Leaving
		m.unlistedAt = farFuture
	}
	for _, m := range a.targets {
		listed := slices.ContainsFunc(c.targetList, func(t TargetInfo) bool { return t.ID == m.info.ID })
		if !listed && m.unlistedAt == farFuture {
			m.unlistedAt = c.now
		}
	}
}

func (c *Core) targetsChanged(ev TargetsChanged) {
	c.targetList = slices.Clone(ev.Targets)
	c.targetListKnown = true
	if c.assigner == nil {
		return
	}
	before := len(c.assigner.targets)
	c.assigner.applyTargetList(c)
	if !c.assigner.started {
		return
	}
	c.store.dirty = c.store.dirty || len(c.assigner.targets) > before
	c.assigner.viewChanged = true
	c.assigner.queueAll()
}

// longUnlisted reports whether the target has been missing from the list of targets for
// Options.ForgetAfter.
func (m *managedTarget) longUnlisted(c *Core) bool {
	return m.unlistedAt != farFuture && c.now-m.unlistedAt >= c.opts.ForgetAfter
}

// mayKeepSlots reports whether the target may keep the slots that it has.
func (m *managedTarget) mayKeepSlots(c *Core) bool {
	return !m.lost && !m.leaving && !m.drained && !m.longUnlisted(c)
}

// eligible reports whether the target may be given slots.
func (m *managedTarget) eligible(c *Core) bool {
	return m.mayKeepSlots(c) && m.answering(c) && !m.warming && c.now >= m.eligibleAt
}

// chooseOwner sets another wanted owner for a slot that has none or whose wanted owner
// cannot keep it.
func (a *assigner) chooseOwner(c *Core, s ownership.Slot) {
	if !a.slotExists(s) {
		return
	}
	w := a.wantedOwner(s)
	if w != noTarget && a.targets[w].mayKeepSlots(c) {
		return
	}
	if w == noTarget && a.awaitingFirstAnswer(c) {
		return
	}
	best := a.replacement(c, s)
	if best == noTarget || best == w {
		return
	}
	a.setWanted(s, best)
	a.counts[best]++
	if w != noTarget {
		a.counts[w]--
	}
	a.slots[s].moving = w != noTarget && !a.targets[w].lost
	c.store.dirty = true
}

// awaitingFirstAnswer reports whether a target that is not lost has not answered yet. Slots
// without an owner wait for it, so that the first target to answer does not get them all.
func (a *assigner) awaitingFirstAnswer(c *Core) bool {
	return slices.ContainsFunc(a.targets, func(m *managedTarget) bool {
		return !m.lost && m.answeredAt == lease.DistantPast
	})
}

// replacement returns the target that should take over a slot: the highest ranked one that
// is eligible and has fewer slots than the limit, else the highest ranked eligible one,
// else the highest ranked one that answers and may keep slots, else noTarget.
func (a *assigner) replacement(c *Core, s ownership.Slot) int {
	if a.counts == nil {
		a.counts, a.limit = a.slotLoad(c)
		a.ranked = a.targetInfos()
	}
	counts, limit := a.counts, a.limit
	fallback := noTarget
	last := noTarget
	for _, i := range ownership.Rank(c.opts.Group, s, a.ranked) {
		m := a.targets[i]
		switch {
		case m.eligible(c) && counts[i] < limit:
			return i
		case m.eligible(c) && fallback == noTarget:
			fallback = i
		case m.mayKeepSlots(c) && m.answering(c) && last == noTarget:
			last = i
		}
	}
	if fallback != noTarget {
		return fallback
	}
	return last
}

func (a *assigner) targetInfos() []ownership.Target {
	list := make([]ownership.Target, len(a.targets))
	for i, m := range a.targets {
		list[i] = m.info
	}
	return list
}

// slotLoad returns for each target the number of slots that it should own, and the number
// that none should exceed as long as another eligible target is below it.
func (a *assigner) slotLoad(c *Core) (counts []int, limit int) {
	counts = make([]int, len(a.targets))
	total := 0
	for s := range a.slots {
		if w := a.wantedOwner(ownership.Slot(s)); w != noTarget {
			counts[w]++
		}
		total++
	}
	eligibleTargets := 0
	for _, m := range a.targets {
		if m.eligible(c) {
			eligibleTargets++
		}
	}
	if eligibleTargets == 0 {
		return counts, total
	}
	return counts, int(float64(total)/float64(eligibleTargets)*(1+c.opts.Imbalance)) + 1
}
