package target

import (
	"sync"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/target"
)

// groupGrants is the lease and the granted slots of one group.
type groupGrants struct {
	// highestToken is the highest assigner token seen. leaseToken is the token of the
	// assigner that gave the current lease.
	highestToken, leaseToken ownership.Token
	// heldVersion is the version of the granted slots.
	heldVersion ownership.Token
	slots       map[ownership.Slot]ownership.Token
	// leaseEnd is the end of the lease, in nanoseconds of the target's clock.
	leaseEnd int64
}

// grants holds leases and granted slots, following the rules of the control protocol.
type grants struct {
	clock *clock

	mu     sync.Mutex
	groups map[ownership.GroupID]*groupGrants
}

func newGrants(c *clock) *grants {
	return &grants{clock: c, groups: make(map[ownership.GroupID]*groupGrants)}
}

// renew applies a renewal and returns the reply, without the target's health.
func (g *grants) renew(req target.RenewRequest) target.RenewReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.groups[req.Group]
	if state == nil {
		state = &groupGrants{slots: make(map[ownership.Slot]ownership.Token)}
		g.groups[req.Group] = state
	}
	if req.AssignerToken.Less(state.highestToken) {
		reply := g.reply(state)
		reply.Refused = true
		return reply
	}
	state.highestToken = req.AssignerToken
	if !g.validEcho(req.Echo) {
		return g.reply(state)
	}
	needFull := state.apply(req)
	reply := g.reply(state)
	reply.NeedFull = needFull
	return reply
}

// validEcho reports whether the echo is an earlier clock reading of this incarnation.
func (g *grants) validEcho(echo target.ClockReading) bool {
	return echo.Incarnation == g.clock.incarnation && echo.Nanos > 0 && echo.Nanos <= g.clock.nanos()
}

// apply changes the granted slots and the lease. It reports whether a full list is needed
// because the request is based on another version.
func (s *groupGrants) apply(req target.RenewRequest) (needFull bool) {
	switch {
	case req.Full && req.Version.Less(s.heldVersion):
		// The request was delayed, and a later one of the same assigner is in force.
		return false
	case req.Full:
		clear(s.slots)
	case req.BaseVersion != s.heldVersion:
		return true
	}
	for _, slot := range req.Revokes {
		delete(s.slots, slot)
	}
	for _, grant := range req.Grants {
		s.slots[grant.Slot] = grant.Token
	}
	s.heldVersion = req.Version
	s.setLeaseEnd(req)
	return false
}

// setLeaseEnd moves the end of the lease, and never back for the same assigner. A new
// assigner's lease replaces the earlier one, since the new assigner does not know its end.
func (s *groupGrants) setLeaseEnd(req target.RenewRequest) {
	end := req.Echo.Nanos + int64(req.Lease)
	if s.leaseToken == req.AssignerToken {
		end = max(end, s.leaseEnd)
	}
	s.leaseToken = req.AssignerToken
	s.leaseEnd = end
}

func (g *grants) reply(state *groupGrants) target.RenewReply {
	now := g.clock.read()
	return target.RenewReply{
		Clock:        now,
		HighestToken: state.highestToken,
		HeldVersion:  state.heldVersion,
		LeaseNanos:   max(state.leaseEnd-now.Nanos, 0),
	}
}

// owns reports whether the slot is granted with exactly this token and the lease has not
// expired.
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
