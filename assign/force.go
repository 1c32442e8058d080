package assign

import (
	"slices"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/result"
)

// forceWait is the number of support times for which a forced take-over grants nothing, because
// leases supported by the lost majority may still run.
const forceWait = 2

// forceTakeOver starts a take-over with the surviving VMs as the new candidate list. The
// majorities of the old and the new list may not overlap, which is why an operator has to
// confirm the risk.
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
		c.answer(cmd, result.VersionConflict, "another write of the group's record is in progress", 0)
		return
	}
	c.commands = append(c.commands, cmd)
	c.store.forcedTakeOver = cmd
	c.store.retryAt = farFuture
	c.store.wantRead = true
}

// writeForced writes a record with the new candidate list and a higher term.
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
