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
func (c *Core) force(cmd *command, what ForceTakeOver) {
	switch {
	case what.Confirm != ForceConfirmation:
		c.answer(cmd, result.ConfirmationNeeded, "risk: "+ForceConfirmation, 0)
		return
	case !slices.Contains(what.Candidates, c.opts.Self):
		c.answer(cmd, result.BadRequest, "this VM must be among the new candidates", 0)
		return
	case c.known.best == nil:
		c.answer(cmd, result.UnknownObject, "no record of the group is known", 0)
		return
	case c.store.write != nil || c.store.forced != nil:
		c.answer(cmd, result.VersionConflict, "another write is under way", 0)
		return
	}
	c.commands = append(c.commands, cmd)
	c.store.forced = cmd
	c.store.retryAt = never
	c.store.wantRead = true
}

// writeForced writes the record with the new candidates and a higher term.
func (c *Core) writeForced() {
	cmd := c.store.forced
	c.store.forced = nil
	if !slices.Contains(c.commands, cmd) {
		return
	}
	cmd.taken = true
	rec := cloneRecord(c.known.best)
	rec.Term = max(c.known.term, rec.Term) + 1
	rec.TableVersion++
	rec.Candidates = slices.Clone(cmd.what.(ForceTakeOver).Candidates)
	rec.CandidatesVersion = max(rec.CandidatesVersion, c.known.candidatesVersion) + 1
	wait := forceWait * lease.Stretch(c.opts.Support, c.opts.RateMargin)
	c.inherited = inheritance{until: c.now + wait}
	c.put(rec, &pendingWrite{commands: []*command{cmd}})
}
