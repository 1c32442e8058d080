package assign

import (
	"slices"
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/target"
)

// change is one grant or revocation of a slot that a target has to apply.
type change struct {
	seq    uint64
	slot   ownership.Slot
	token  ownership.Token
	revoke bool
}

// managedTarget is the assigner's state of one target.
type managedTarget struct {
	info  ownership.Target
	lease *lease.TargetLease
	// incarnation is that of the last clock reading; zero before the first.
	incarnation uint64
	// firstSentAt is when the first request was sent, answeredAt when the newest answered one
	// was sent.
	firstSentAt, answeredAt time.Duration
	// via is the peer that forwards renewals while direct ones are not answered; empty if
	// none.
	via ownership.VMID
	// reachedAt is when a peer last reported the target as reachable.
	reachedAt time.Duration
	// probingSince is when the first probe was requested since the target stopped answering;
	// farFuture while it answers.
	probingSince time.Duration

	lost       bool
	losses     int
	eligibleAt time.Duration
	leaving    bool
	drained    bool
	warming    bool
	// unlistedAt is when the target disappeared from the list of targets; farFuture while it
	// is in the list.
	unlistedAt time.Duration

	// grants are the slots that the target should hold, with their tokens.
	grants map[ownership.Slot]ownership.Token
	// changes are the changes that the target has not acknowledged.
	changes []change
	// version is the version of the last change, heldVersion the last one acknowledged.
	version, heldVersion ownership.Token
	// resetVersion is the version of the last resetGrants.
	resetVersion ownership.Token
	// processedVersion is the heldVersion up to which acknowledgeSlots has updated the slots.
	processedVersion ownership.Token
	// full is set if the next renewal has to list all grants, urgent if it is due at once.
	full, urgent bool
}

func newManagedTarget(c *Core, t ownership.Target) *managedTarget {
	return &managedTarget{
		info:         t,
		lease:        lease.NewTargetLease(c.opts.Lease, c.opts.RateMargin),
		firstSentAt:  lease.DistantPast,
		answeredAt:   lease.DistantPast,
		reachedAt:    lease.DistantPast,
		probingSince: farFuture,
		unlistedAt:   farFuture,
		grants:       make(map[ownership.Slot]ownership.Token),
		full:         true,
	}
}

// answering reports whether the target is not lost and has answered a request sent within
// Options.LostAfter.
func (m *managedTarget) answering(c *Core) bool {
	return !m.lost && m.answeredAt != lease.DistantPast && c.now-m.answeredAt < c.opts.LostAfter
}

// grantable reports whether a lease could be granted to the target now.
func (m *managedTarget) grantable(c *Core) bool {
	if !m.answering(c) {
		return false
	}
	_, _, ok := m.lease.Echo(c.registered.Since())
	return ok
}

// readClocks requests clock readings from all targets. The requests change nothing at the
// targets.
func (a *assigner) readClocks(c *Core) {
	for _, m := range a.targets {
		m.send(c, m.readRequest(c), "")
	}
}

func (m *managedTarget) readRequest(c *Core) target.RenewRequest {
	return target.RenewRequest{Group: c.opts.Group}
}

func (m *managedTarget) send(c *Core, req target.RenewRequest, via ownership.VMID) {
	if m.firstSentAt == lease.DistantPast {
		m.firstSentAt = c.now
	}
	c.emit(SendRenew{Target: m.info, SentAt: c.now, Via: via, Request: req})
}

// renew sends the renewals that are due or urgent.
func (a *assigner) renew(c *Core) {
	due := c.now >= a.renewAt
	if due {
		a.renewAt = c.now + c.opts.Heartbeat
		a.republish = true
		// Support is requested halfway between two renewals: after the clock readings of one
		// have arrived and before the next one echoes them.
		c.supportAt = min(c.supportAt, c.now+c.opts.Heartbeat/2)
	}
	for _, m := range a.targets {
		if due || m.urgent {
			m.renew(c)
		}
	}
}

func (m *managedTarget) renew(c *Core) {
	m.urgent = false
	req := m.renewRequest(c)
	m.send(c, req, "")
	if m.via != "" {
		m.send(c, req, m.via)
	}
}

// renewRequest returns a renewal with all unacknowledged changes, or with all grants if full
// is set. If no lease may be granted, it only requests a clock reading.
func (m *managedTarget) renewRequest(c *Core) target.RenewRequest {
	echo, received, ok := m.lease.Echo(c.registered.Since())
	if !ok || m.lost || !c.registered.Held(c.now) {
		return m.readRequest(c)
	}
	m.lease.NoteSent(received)
	req := target.RenewRequest{
		Group:         c.opts.Group,
		AssignerToken: c.token,
		Echo:          echo,
		Lease:         m.lease.Duration(),
		BaseVersion:   m.heldVersion,
		Version:       m.version,
	}
	if m.full {
		req.Full = true
		req.Grants = m.allGrants()
		return req
	}
	m.addChanges(&req)
	return req
}

func (m *managedTarget) allGrants() []target.SlotGrant {
	grants := make([]target.SlotGrant, 0, len(m.grants))
	for s, token := range m.grants {
		grants = append(grants, target.SlotGrant{Slot: s, Token: token})
	}
	slices.SortFunc(grants, func(a, b target.SlotGrant) int { return int(a.Slot) - int(b.Slot) })
	return grants
}

// addChanges adds the last unacknowledged change of each slot to the request.
func (m *managedTarget) addChanges(req *target.RenewRequest) {
	for i, ch := range m.changes {
		if slices.ContainsFunc(m.changes[i+1:], func(o change) bool { return o.slot == ch.slot }) {
			continue
		}
		if ch.revoke {
			req.Revokes = append(req.Revokes, ch.slot)
			continue
		}
		req.Grants = append(req.Grants, target.SlotGrant{Slot: ch.slot, Token: ch.token})
	}
}

// grant adds a slot to the target's grants with a new token.
func (m *managedTarget) grant(c *Core, s ownership.Slot) ownership.Token {
	token := c.nextToken()
	m.grants[s] = token
	m.addChange(change{seq: token.Seq, slot: s, token: token})
	return token
}

// revoke removes a slot from the target's grants and returns the version whose
// acknowledgement confirms the removal.
func (m *managedTarget) revoke(c *Core, s ownership.Slot) ownership.Token {
	token := c.nextToken()
	delete(m.grants, s)
	m.addChange(change{seq: token.Seq, slot: s, revoke: true})
	return token
}

func (m *managedTarget) addChange(ch change) {
	m.version.Seq = ch.seq
	m.changes = append(m.changes, ch)
	m.urgent = true
}

func (c *Core) nextToken() ownership.Token {
	c.token.Seq++
	return c.token
}

func (c *Core) targetAnswered(ev TargetAnswered) {
	if c.assigner == nil {
		return
	}
	i, ok := c.assigner.index[ev.Target]
	if !ok {
		return
	}
	m := c.assigner.targets[i]
	if c.assigner.started && ev.Reply.Clock.Incarnation != m.incarnation && m.incarnation != 0 {
		c.assigner.targetRestarted(c, i)
	}
	m.incarnation = ev.Reply.Clock.Incarnation
	m.lease.Read(c.now, ev.Reply.Clock)
	c.assigner.noteAnswer(c, m, ev)
	m.noteHealth(c, ev.Reply.Health)
	if c.phase != assigning {
		return
	}
	c.known.raiseRound(ev.Reply.HighestToken.Term, uint32(ev.Reply.HighestToken.Seq>>roundShift))
	if c.token.Less(ev.Reply.HighestToken) {
		c.register(c.highestTerm(), c.nextRound())
		return
	}
	c.assigner.acknowledge(c, i, ev.Reply)
}

// noteAnswer records that the target answered a request.
func (a *assigner) noteAnswer(c *Core, m *managedTarget, ev TargetAnswered) {
	if ev.Via == "" {
		m.via = ""
	}
	m.answeredAt = max(m.answeredAt, ev.SentAt)
	m.probingSince = farFuture
	if m.lost && c.now-m.answeredAt < c.opts.LostAfter {
		m.markReturned(c)
		a.viewChanged = true
		a.queueAll()
	}
}

func (m *managedTarget) noteHealth(c *Core, h target.Health) {
	changed := m.warming != h.Warming
	m.warming = h.Warming
	if h.Draining && !m.leaving {
		m.leaving = true
		changed = true
	}
	if changed && c.assigner.started {
		c.assigner.viewChanged = true
		c.assigner.queueAll()
	}
}

// acknowledge updates the state of a target and its slots with the grant version that the
// target reports as held.
func (a *assigner) acknowledge(c *Core, i int, r target.RenewReply) {
	m := a.targets[i]
	if r.Refused {
		return
	}
	if r.NeedFull {
		m.full = true
		m.urgent = m.grantable(c)
	}
	if r.HeldVersion.Term != c.term || uint32(r.HeldVersion.Seq>>roundShift) != c.round {
		return
	}
	if r.HeldVersion.Less(m.resetVersion) || r.HeldVersion.Less(m.heldVersion) || m.version.Less(r.HeldVersion) {
		return
	}
	m.heldVersion = r.HeldVersion
	if !r.NeedFull || r.HeldVersion != m.version {
		// A list of the changes since the reported version is enough.
		m.full = false
	}
	m.changes = slices.DeleteFunc(m.changes, func(ch change) bool { return ch.seq <= r.HeldVersion.Seq })
	a.acknowledgeSlots(c, i)
}

// targetRestarted frees the slots that a target held before its process restarted, from the
// end of the old process's lease on, because that process may still run.
func (a *assigner) targetRestarted(c *Core, i int) {
	m := a.targets[i]
	m.resetGrants(c)
	for s := range a.slots {
		if a.slots[s].holder == i {
			a.slots[s].setFree(c.endOfUse(m), noTarget)
			a.queue(ownership.Slot(s))
		}
	}
	a.viewChanged = true
}

// resetGrants empties the target's grants and starts a new version. Acknowledgements of
// older versions are ignored from then on, since the target may have applied a delayed
// request.
func (m *managedTarget) resetGrants(c *Core) {
	clear(m.grants)
	m.changes = nil
	m.full = true
	m.version = c.nextToken()
	m.heldVersion = ownership.Token{}
	m.resetVersion = m.version
	m.processedVersion = ownership.Token{}
}
