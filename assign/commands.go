package assign

import (
	"fmt"
	"slices"
	"time"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
)

// command is a command that has not been answered yet.
type command struct {
	id              string
	op              Command
	expectedVersion uint64
	deadline        time.Duration
	// inWrite is set once the command is part of a write.
	inWrite bool
	// automatic commands come from the Core itself and get no CommandDone.
	automatic bool
}

// commandReceived queues a command for the next write. The command takes effect only
// after that write has succeeded.
func (c *Core) commandReceived(ev CommandReceived) {
	cmd := &command{
		id:              ev.ID,
		op:              ev.Command,
		expectedVersion: ev.ExpectedTableVersion,
		deadline:        c.now + c.opts.CommandDeadline,
	}
	if force, ok := ev.Command.(ForceTakeOver); ok {
		c.forceTakeOver(cmd, force)
		return
	}
	if c.phase != assigning {
		c.answer(cmd, result.NotAuthorised, "this VM is not the group's assigner", 0)
		return
	}
	c.commands = append(c.commands, cmd)
	if c.store.retryAt != farFuture && c.store.write == nil {
		// A retry is scheduled after a store failure; the command is tried at once.
		c.store.retryAt = farFuture
	}
}

func (c *Core) hasWaitingCommands() bool {
	return slices.ContainsFunc(c.commands, func(cmd *command) bool { return !cmd.inWrite })
}

func (c *Core) waitingCommands() []*command {
	var list []*command
	for _, cmd := range c.commands {
		if !cmd.inWrite {
			list = append(list, cmd)
		}
	}
	return list
}

// expireCommands answers the commands whose deadline has passed.
func (c *Core) expireCommands() {
	for _, cmd := range slices.Clone(c.commands) {
		if c.now >= cmd.deadline {
			c.expire(cmd)
		}
	}
}

func (c *Core) expire(cmd *command) {
	if cmd.inWrite {
		c.answer(cmd, result.OperationUnknown, "the store did not confirm the write in time", 0)
		return
	}
	c.answer(cmd, result.StoreUnavailable, "the command could not be written to the store in time", 0)
}

// failCommands answers all pending commands when the Core stops.
func (c *Core) failCommands() {
	c.store.forcedTakeOver = nil
	for _, cmd := range slices.Clone(c.commands) {
		c.expire(cmd)
	}
}

// refuseUnavailable answers commands whose write certainly did not take effect.
func (c *Core) refuseUnavailable(list []*command) {
	for _, cmd := range list {
		c.answer(cmd, result.StoreUnavailable, "the object API did not accept the write; nothing was changed", 0)
	}
}

// refuseSuperseded handles the commands of a write before which another write took
// effect: it answers those with an unknown outcome and queues the others again.
func (c *Core) refuseSuperseded(w *pendingWrite) {
	for _, cmd := range w.commands {
		if w.outcomeUnknown {
			c.answer(cmd, result.OperationUnknown, "another write followed before the outcome was known", 0)
			continue
		}
		// The write certainly did not take effect, so the command is tried again on the
		// present table.
		cmd.inWrite = false
	}
}

func (c *Core) succeed(cmd *command, version uint64) {
	c.answer(cmd, result.OK, "", version)
}

// answer removes a command and emits its CommandDone, at most once. The version given in
// it is that of the newest known table if version is zero.
func (c *Core) answer(cmd *command, code result.Code, detail string, version uint64) {
	index := slices.Index(c.commands, cmd)
	if index >= 0 {
		c.commands = slices.Delete(c.commands, index, index+1)
	}
	if cmd.automatic || (cmd.inWrite && index < 0) {
		return
	}
	if version == 0 && c.known.newest != nil {
		version = c.known.newest.TableVersion
	}
	c.emit(CommandDone{ID: cmd.id, Code: code, Detail: detail, Version: version})
}

// apply checks a command and applies it to the record that is about to be written. It
// reports whether the command is part of the write. If not, it answers the command.
func (cmd *command) apply(c *Core, rec *ownership.Record) bool {
	if cmd.expectedVersion != 0 && cmd.expectedVersion != c.assigner.table.TableVersion {
		detail := fmt.Sprintf("the table version is %d", c.assigner.table.TableVersion)
		c.answer(cmd, result.VersionConflict, detail, c.assigner.table.TableVersion)
		return false
	}
	if err := c.change(rec, cmd); err != nil {
		c.answer(cmd, err.Code, err.Detail, 0)
		return false
	}
	cmd.inWrite = true
	return true
}

// change applies a command to a record, or returns the reason why it cannot.
func (c *Core) change(rec *ownership.Record, cmd *command) *result.Error {
	switch op := cmd.op.(type) {
	case MoveSlot:
		return c.changeOwner(rec, op)
	case PinKey:
		return c.changePin(rec, op, cmd.automatic)
	case UnpinKey:
		return changeUnpin(rec, op)
	case DrainTarget:
		return changeDrain(rec, op)
	case ChangeCandidates:
		return c.changeCandidates(rec, op)
	default:
		return result.New(result.BadRequest, "unknown command %T", op)
	}
}

func (c *Core) changeOwner(rec *ownership.Record, cmd MoveSlot) *result.Error {
	i, err := c.receivingTarget(rec, cmd.To)
	if err != nil {
		return err
	}
	if cmd.Slot < ownership.Slot(rec.SlotCount) {
		rec.Owners[cmd.Slot] = i
		return nil
	}
	for k := range rec.Pins {
		if rec.Pins[k].Slot == cmd.Slot {
			rec.Pins[k].Owner = i
			return nil
		}
	}
	return result.New(result.UnknownObject, "slot %d does not exist", cmd.Slot)
}

// receivingTarget returns the index of the target with the ID if the target can be given slots.
func (c *Core) receivingTarget(rec *ownership.Record, id ownership.TargetID) (uint32, *result.Error) {
	i := slices.IndexFunc(rec.Targets, func(t ownership.Target) bool { return t.ID == id })
	if i < 0 {
		return 0, result.New(result.UnknownObject, "target %s does not exist", id)
	}
	if m := c.assigner.targets[i]; !m.mayKeepSlots(c) || !m.answering(c) {
		return 0, result.New(result.NoTarget, "target %s is leaving, drained, lost or not answering", id)
	}
	return uint32(i), nil
}

func changeDrain(rec *ownership.Record, cmd DrainTarget) *result.Error {
	if !slices.ContainsFunc(rec.Targets, func(t ownership.Target) bool { return t.ID == cmd.Target }) {
		return result.New(result.UnknownObject, "target %s does not exist", cmd.Target)
	}
	rec.Drained = slices.DeleteFunc(rec.Drained, func(id ownership.TargetID) bool { return id == cmd.Target })
	if !cmd.Undo {
		rec.Drained = append(rec.Drained, cmd.Target)
	}
	return nil
}

// changeCandidates adds or removes one VM of the candidate list. A majority must know
// the present list first, so that majorities of successive lists always overlap.
func (c *Core) changeCandidates(rec *ownership.Record, cmd ChangeCandidates) *result.Error {
	if (cmd.Add == "") == (cmd.Remove == "") {
		return result.New(result.BadRequest, "exactly one of add and remove must be given")
	}
	if !c.candidatesKnown() {
		return result.New(result.VersionConflict, "a majority of the candidates has not confirmed the last change of the candidate list yet")
	}
	switch {
	case cmd.Add != "" && slices.Contains(rec.Candidates, cmd.Add):
		return result.New(result.BadRequest, "VM %s is already a candidate", cmd.Add)
	case cmd.Add != "":
		rec.Candidates = append(rec.Candidates, cmd.Add)
	case cmd.Remove == c.opts.Self:
		return result.New(result.BadRequest, "VM %s is the assigner; stop it before removing it", cmd.Remove)
	case !slices.Contains(rec.Candidates, cmd.Remove):
		return result.New(result.UnknownObject, "VM %s is not a candidate", cmd.Remove)
	default:
		rec.Candidates = slices.DeleteFunc(rec.Candidates, func(vm ownership.VMID) bool { return vm == cmd.Remove })
	}
	rec.CandidatesVersion++
	return nil
}

// candidatesKnown reports whether a majority of the candidates reported the present
// candidate list or a newer one.
func (c *Core) candidatesKnown() bool {
	count := 0
	for _, vm := range c.candidates() {
		if c.reportedVersions[vm] >= c.candidatesVersion {
			count++
		}
	}
	return 2*count > len(c.candidates())
}

// takeEffect applies a command whose write has succeeded to the wanted table.
func (cmd *command) takeEffect(c *Core) {
	a := c.assigner
	if _, ok := cmd.op.(ChangeCandidates); ok {
		a.table.Candidates = slices.Clone(c.candidates())
		a.table.CandidatesVersion = c.known.newest.CandidatesVersion
		return
	}
	// The change is made again, because the table may have changed since the write began.
	rec := a.wantedRecord()
	if err := c.change(rec, cmd); err != nil {
		c.store.dirty = true
		return
	}
	before := a.table
	version := a.table.TableVersion
	a.table = rec
	a.table.Targets = nil
	a.table.TableVersion = version
	a.drainedChanged(rec)
	a.pinsChanged(c, before, rec)
	for s := range a.slots {
		if s < len(before.Owners) && before.Owners[s] != rec.Owners[s] {
			a.queue(ownership.Slot(s))
		}
	}
	a.viewChanged = true
}

func (a *assigner) drainedChanged(rec *ownership.Record) {
	for i, m := range a.targets {
		drained := slices.Contains(rec.Drained, m.info.ID)
		if drained == m.drained {
			continue
		}
		m.drained = drained
		for s := range a.slots {
			if a.wantedOwner(ownership.Slot(s)) == i {
				a.queue(ownership.Slot(s))
			}
		}
	}
}
