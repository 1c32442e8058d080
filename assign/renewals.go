package assign

import (
	"slices"
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/target"
)

// change is one grant or revocation that a target has to apply.
type change struct {
	seq    uint64
	slot   ownership.Slot
	token  ownership.Token
	revoke bool
}

// member is a target as its assigner sees it.
type member struct {
	info  ownership.Target
	lease *lease.TargetLease
	// incarnation is that of the last reading; zero before the first.
	incarnation uint64
	// asked is when the first request was sent, alive when the newest answered one was.
	asked, alive time.Duration
	// via is the peer that forwards renewals while the direct way is cut.
	via ownership.VMID
	// reached is when a peer last reported the target as reachable.
	reached time.Duration
	// probing is when peers were first asked in the present silence, or never.
	probing time.Duration

	lost       bool
	losses     int
	eligibleAt time.Duration
	leaving    bool
	drained    bool
	warming    bool
	// goneAt is when the target left the list; never if it is in it.
	goneAt time.Duration

	// grants are the slots that the target should hold, with their tokens.
	grants map[ownership.Slot]ownership.Token
	// changes are those that the target has not acknowledged.
	changes []change
	// version is that of the last change, held the one acknowledged.
	version, held ownership.Token
	// floor is the version at which the grants last started anew.
	floor ownership.Token
	// acknowledged is the held version that the slots have taken into account.
	acknowledged ownership.Token
	// full asks for a complete list of grants, urgent for sending without delay.
	full, urgent bool
}

func newMember(c *Core, t ownership.Target) *member {
	return &member{
		info:    t,
		lease:   lease.NewTargetLease(c.opts.Lease, c.opts.RateMargin),
		asked:   lease.DistantPast,
		alive:   lease.DistantPast,
		reached: lease.DistantPast,
		probing: never,
		goneAt:  never,
		grants:  make(map[ownership.Slot]ownership.Token),
		full:    true,
	}
}

// answering reports whether the target answered lately.
func (m *member) answering(c *Core) bool {
	return !m.lost && m.alive != lease.DistantPast && c.now-m.alive < c.opts.LostAfter
}

// grantable reports whether a lease could be granted to the target now.
func (m *member) grantable(c *Core) bool {
	if !m.answering(c) {
		return false
	}
	_, _, ok := m.lease.Echo(c.registered.Since())
	return ok
}

// readClocks asks all targets for clock readings, without any effect on them.
func (l *leader) readClocks(c *Core) {
	for _, m := range l.targets {
		m.send(c, m.readRequest(c), "")
	}
}

func (m *member) readRequest(c *Core) target.RenewRequest {
	return target.RenewRequest{Group: c.opts.Group}
}

func (m *member) send(c *Core, req target.RenewRequest, via ownership.VMID) {
	if m.asked == lease.DistantPast {
		m.asked = c.now
	}
	c.emit(SendRenew{Target: m.info, SentAt: c.now, Via: via, Request: req})
}

// renew sends renewals that are due or urgent.
func (l *leader) renew(c *Core) {
	due := c.now >= l.renewAt
	if due {
		l.renewAt = c.now + c.opts.Heartbeat
		l.republish = true
		// Supporters are asked between two renewals: after the readings of one
		// and before the echoes of the next.
		c.supportAt = min(c.supportAt, c.now+c.opts.Heartbeat/2)
	}
	for _, m := range l.targets {
		if due || m.urgent {
			m.renew(c)
		}
	}
}

func (m *member) renew(c *Core) {
	m.urgent = false
	req := m.renewRequest(c)
	m.send(c, req, "")
	if m.via != "" {
		m.send(c, req, m.via)
	}
}

// renewRequest returns a renewal with all unacknowledged changes, or only a
// question for a reading if no lease may be granted.
func (m *member) renewRequest(c *Core) target.RenewRequest {
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
		BaseVersion:   m.held,
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

func (m *member) allGrants() []target.SlotGrant {
	grants := make([]target.SlotGrant, 0, len(m.grants))
	for s, token := range m.grants {
		grants = append(grants, target.SlotGrant{Slot: s, Token: token})
	}
	slices.SortFunc(grants, func(a, b target.SlotGrant) int { return int(a.Slot) - int(b.Slot) })
	return grants
}

// addChanges adds the last unacknowledged change of each slot.
func (m *member) addChanges(req *target.RenewRequest) {
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
func (m *member) grant(c *Core, s ownership.Slot) ownership.Token {
	token := c.nextToken()
	m.grants[s] = token
	m.note(change{seq: token.Seq, slot: s, token: token})
	return token
}

// revoke takes a slot out of the target's grants and returns the version that
// acknowledges it.
func (m *member) revoke(c *Core, s ownership.Slot) ownership.Token {
	token := c.nextToken()
	delete(m.grants, s)
	m.note(change{seq: token.Seq, slot: s, revoke: true})
	return token
}

func (m *member) note(ch change) {
	m.version.Seq = ch.seq
	m.changes = append(m.changes, ch)
	m.urgent = true
}

func (c *Core) nextToken() ownership.Token {
	c.token.Seq++
	return c.token
}

func (c *Core) targetAnswered(ev TargetAnswered) {
	if c.lead == nil {
		return
	}
	i, ok := c.lead.index[ev.Target]
	if !ok {
		return
	}
	m := c.lead.targets[i]
	if c.lead.started && ev.Reply.Clock.Incarnation != m.incarnation && m.incarnation != 0 {
		c.lead.restarted(c, i)
	}
	m.incarnation = ev.Reply.Clock.Incarnation
	m.lease.Read(c.now, ev.Reply.Clock)
	c.lead.heard(c, m, ev)
	m.noteHealth(c, ev.Reply.Health)
	if c.phase != leading {
		return
	}
	c.known.raise(ev.Reply.HighestToken.Term, uint32(ev.Reply.HighestToken.Seq>>roundShift))
	if c.token.Less(ev.Reply.HighestToken) {
		c.register(c.highestTerm(), c.nextRound())
		return
	}
	c.lead.acknowledge(c, i, ev.Reply)
}

// heard notes that the target answered a request.
func (l *leader) heard(c *Core, m *member, ev TargetAnswered) {
	if ev.Via == "" {
		m.via = ""
	}
	m.alive = max(m.alive, ev.SentAt)
	m.probing = never
	if m.lost && c.now-m.alive < c.opts.LostAfter {
		m.returned(c)
		l.viewChanged = true
		l.queueAll()
	}
}

func (m *member) noteHealth(c *Core, h target.Health) {
	changed := m.warming != h.Warming
	m.warming = h.Warming
	if h.Draining && !m.leaving {
		m.leaving = true
		changed = true
	}
	if changed && c.lead.started {
		c.lead.viewChanged = true
		c.lead.queueAll()
	}
}

// acknowledge takes in the grant version that the target holds.
func (l *leader) acknowledge(c *Core, i int, r target.RenewReply) {
	m := l.targets[i]
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
	if r.HeldVersion.Less(m.floor) || r.HeldVersion.Less(m.held) || m.version.Less(r.HeldVersion) {
		return
	}
	m.held = r.HeldVersion
	if !r.NeedFull || r.HeldVersion != m.version {
		// A delta from the version reported is enough.
		m.full = false
	}
	m.changes = slices.DeleteFunc(m.changes, func(ch change) bool { return ch.seq <= r.HeldVersion.Seq })
	l.acknowledgeSlots(c, i)
}

// restarted forgets what a target held before its process restarted. Its old
// process is not trusted to be gone before its lease has ended.
func (l *leader) restarted(c *Core, i int) {
	m := l.targets[i]
	m.resetGrants(c)
	for s := range l.slots {
		if l.slots[s].holder == i {
			l.slots[s].release(c.endOfUse(m), none)
			l.queue(ownership.Slot(s))
		}
	}
	l.viewChanged = true
}

// resetGrants starts the target's grants anew. Acknowledgements of older
// versions count no more: the target may have taken in a delayed request.
func (m *member) resetGrants(c *Core) {
	clear(m.grants)
	m.changes = nil
	m.full = true
	m.version = c.nextToken()
	m.held = ownership.Token{}
	m.floor = m.version
	m.acknowledged = ownership.Token{}
}
