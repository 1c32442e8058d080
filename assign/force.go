package assign

import (
	"slices"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/result"
)

// forceWait is the number of support times that a forced take-over waits before
// it grants, for leases that the lost majority may have supported.
const forceWait = 2

// force replaces the candidate list by the surviving VMs. It gives up the
// guarantee that majorities of successive lists meet, which is why an operator
// has to confirm it.
func (c *Core) forceTakeOver(cmd *command, op ForceTakeOver) {
	switch {
	case op.Confirm != ForceConfirmation:
		c.answer(cmd, result.ConfirmationNeeded, "risk: "+ForceConfirmation, 0)
		return
	case !slices.Contains(op.Candidates, c.opts.Self):
		c.answer(cmd, result.BadRequest, "this VM must be among the new candidates", 0)
		return
	case c.known.newest == nil:
		c.answer(cmd, result.UnknownObject, "no record of the group is known", 0)
		return
	case c.store.write != nil || c.store.forcedTakeOver != nil:
		c.answer(cmd, result.VersionConflict, "another write is under way", 0)
		return
	}
	c.commands = append(c.commands, cmd)
	c.store.forcedTakeOver = cmd
	c.store.retryAt = farFuture
	c.store.wantRead = true
}

// writeForced writes the record with the new candidates and a higher term.
func (c *Core) writeForced() {
	cmd := c.store.forcedTakeOver
	c.store.forcedTakeOver = nil
	if !slices.Contains(c.commands, cmd) {
		return
	}
	cmd.inWrite = true
	rec := cloneRecord(c.known.newest)
	rec.Term = max(c.known.term, rec.Term) + 1
	rec.TableVersion++
	rec.Candidates = slices.Clone(cmd.op.(ForceTakeOver).Candidates)
	rec.CandidatesVersion = max(rec.CandidatesVersion, c.known.candidatesVersion) + 1
	wait := forceWait * lease.Stretch(c.opts.Support, c.opts.RateMargin)
	c.inherited = inheritedLeases{until: c.now + wait}
	c.startWrite(rec, &pendingWrite{commands: []*command{cmd}})
}
