package target

import (
	"sync"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/target"
)

// groupGrants is what the target holds of one group.
type groupGrants struct {
	// highest is the highest holder token seen; holder is the one that gave the lease.
	highest, holder ownership.Token
	held            ownership.Token
	slots           map[ownership.Slot]ownership.Token
	// leaseEnd is a reading of the target's clock.
	leaseEnd int64
}

// grants keeps leases and granted slots by the rules of the control protocol.
type grants struct {
	clock *clock

	mu     sync.Mutex
	groups map[ownership.GroupID]*groupGrants
}

func newGrants(c *clock) *grants {
	return &grants{clock: c, groups: make(map[ownership.GroupID]*groupGrants)}
}

// renew applies a request and returns the reply without health.
func (g *grants) renew(req target.RenewRequest) target.RenewReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.groups[req.Group]
	if state == nil {
		state = &groupGrants{slots: make(map[ownership.Slot]ownership.Token)}
		g.groups[req.Group] = state
	}
	if req.AssignerToken.Less(state.highest) {
		reply := g.reply(state)
		reply.Refused = true
		return reply
	}
	state.highest = req.AssignerToken
	if !g.validEcho(req.Echo) {
		return g.reply(state)
	}
	needFull := state.apply(req)
	reply := g.reply(state)
	reply.NeedFull = needFull
	return reply
}

// validEcho tells whether the echo is an earlier reading of this incarnation.
func (g *grants) validEcho(echo target.ClockReading) bool {
	return echo.Incarnation == g.clock.incarnation && echo.Nanos > 0 && echo.Nanos <= g.clock.nanos()
}

// apply changes grants and lease and tells whether a full list is needed.
func (s *groupGrants) apply(req target.RenewRequest) (needFull bool) {
	switch {
	case req.Full && req.Version.Less(s.held):
		// A delayed request; a later one of the same holder is in force.
		return false
	case req.Full:
		clear(s.slots)
	case req.BaseVersion != s.held:
		return true
	}
	for _, slot := range req.Revokes {
		delete(s.slots, slot)
	}
	for _, grant := range req.Grants {
		s.slots[grant.Slot] = grant.Token
	}
	s.held = req.Version
	s.extend(req)
	return false
}

// extend moves the end of the lease. A new holder's lease replaces the earlier
// one, whose end the new holder does not know.
func (s *groupGrants) extend(req target.RenewRequest) {
	end := req.Echo.Nanos + int64(req.Lease)
	if s.holder == req.AssignerToken {
		end = max(end, s.leaseEnd)
	}
	s.holder = req.AssignerToken
	s.leaseEnd = end
}

func (g *grants) reply(state *groupGrants) target.RenewReply {
	now := g.clock.read()
	return target.RenewReply{
		Clock:        now,
		HighestToken: state.highest,
		HeldVersion:  state.held,
		LeaseNanos:   max(state.leaseEnd-now.Nanos, 0),
	}
}

// owns tells whether the slot is granted with exactly this token under a live lease.
func (g *grants) owns(group ownership.GroupID, slot ownership.Slot, token ownership.Token) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.groups[group]
	if state == nil || g.clock.nanos() >= state.leaseEnd {
		return false
	}
	granted, ok := state.slots[slot]
	return ok && granted == token
}
