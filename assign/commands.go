package assign

import (
	"fmt"
	"slices"
	"time"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
)

// command is an operator's command on its way.
type command struct {
	id       string
	what     Command
	expected uint64
	deadline time.Duration
	// taken is set once the command is part of a write.
	taken bool
	// automatic commands come from the Core itself and get no CommandDone.
	automatic bool
}

// commandReceived queues a command for the next write: nothing is done before
// it is durable.
func (c *Core) commandReceived(ev CommandReceived) {
	cmd := &command{
		id:       ev.ID,
		what:     ev.Command,
		expected: ev.ExpectedTableVersion,
		deadline: c.now + c.opts.CommandDeadline,
	}
	if force, ok := ev.Command.(ForceTakeOver); ok {
		c.force(cmd, force)
		return
	}
	if c.phase != leading {
		c.answer(cmd, result.NotAuthorised, "this VM is not the group's assigner", 0)
		return
	}
	c.commands = append(c.commands, cmd)
	if c.store.retryAt != never && c.store.write == nil {
		// The store failed lately; the command gets an attempt of its own.
		c.store.retryAt = never
	}
}

func (c *Core) commandsWaiting() bool {
	return slices.ContainsFunc(c.commands, func(cmd *command) bool { return !cmd.taken })
}

func (c *Core) takeWaiting() []*command {
	var list []*command
	for _, cmd := range c.commands {
		if !cmd.taken {
			list = append(list, cmd)
		}
	}
	return list
}

// runCommands answers commands whose time is over.
func (c *Core) runCommands() {
	for _, cmd := range slices.Clone(c.commands) {
		if c.now >= cmd.deadline {
			c.expire(cmd)
		}
	}
}

func (c *Core) expire(cmd *command) {
	if cmd.taken {
		c.answer(cmd, result.OperationUnknown, "the store did not confirm the write in time", 0)
		return
	}
	c.answer(cmd, result.StoreUnavailable, "the command could not be made durable in time", 0)
}

// failCommands answers all commands of an assigner that stops.
func (c *Core) failCommands() {
	c.store.forced = nil
	for _, cmd := range slices.Clone(c.commands) {
		c.expire(cmd)
	}
}

// refuseUnavailable answers commands whose write certainly was not done.
func (c *Core) refuseUnavailable(list []*command) {
	for _, cmd := range list {
		c.answer(cmd, result.StoreUnavailable, "the object API did not accept the write; nothing was changed", 0)
	}
}

// refuseLost answers the commands of a write that another one forestalled.
func (c *Core) refuseLost(w *pendingWrite) {
	for _, cmd := range w.commands {
		if w.unknown {
			c.answer(cmd, result.OperationUnknown, "another write followed before the outcome was known", 0)
			continue
		}
		// Certainly not done: it is tried again on the present table.
		cmd.taken = false
	}
}

func (c *Core) done(cmd *command, version uint64) {
	c.answer(cmd, result.OK, "", version)
}

// answer ends a command, once.
func (c *Core) answer(cmd *command, code result.Code, detail string, version uint64) {
	known := slices.Index(c.commands, cmd)
	if known >= 0 {
		c.commands = slices.Delete(c.commands, known, known+1)
	}
	if cmd.automatic || (cmd.taken && known < 0) {
		return
	}
	if version == 0 && c.known.best != nil {
		version = c.known.best.TableVersion
	}
	c.emit(CommandDone{ID: cmd.id, Code: code, Detail: detail, Version: version})
}

// apply checks a command and changes the record that is about to be written. It
// reports whether the command is part of the write, and answers it if not.
func (cmd *command) apply(c *Core, rec *ownership.Record) bool {
	if cmd.expected != 0 && cmd.expected != c.lead.table.TableVersion {
		detail := fmt.Sprintf("the table version is %d", c.lead.table.TableVersion)
		c.answer(cmd, result.VersionConflict, detail, c.lead.table.TableVersion)
		return false
	}
	if err := c.change(rec, cmd); err != nil {
		c.answer(cmd, err.Code, err.Detail, 0)
		return false
	}
	cmd.taken = true
	return true
}

// change applies a command to a record.
func (c *Core) change(rec *ownership.Record, cmd *command) *result.Error {
	switch what := cmd.what.(type) {
	case MoveSlot:
		return c.changeOwner(rec, what)
	case PinKey:
		return c.changePin(rec, what, cmd.automatic)
	case UnpinKey:
		return changeUnpin(rec, what)
	case DrainTarget:
		return changeDrain(rec, what)
	case ChangeCandidates:
		return c.changeCandidates(rec, what)
	default:
		return result.New(result.BadRequest, "unknown command %T", what)
	}
}

func (c *Core) changeOwner(rec *ownership.Record, cmd MoveSlot) *result.Error {
	i, err := c.receiver(rec, cmd.To)
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

// receiver returns the index of a target that may be given slots.
func (c *Core) receiver(rec *ownership.Record, id ownership.TargetID) (uint32, *result.Error) {
	i := slices.IndexFunc(rec.Targets, func(t ownership.Target) bool { return t.ID == id })
	if i < 0 {
		return 0, result.New(result.UnknownObject, "target %s does not exist", id)
	}
	if m := c.lead.targets[i]; !m.staying(c) || !m.answering(c) {
		return 0, result.New(result.NoTarget, "target %s is leaving, drained or lost", id)
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

// changeCandidates changes the candidate list by one VM. The one before must be
// known to a majority, so that majorities of successive lists always meet.
func (c *Core) changeCandidates(rec *ownership.Record, cmd ChangeCandidates) *result.Error {
	if (cmd.Add == "") == (cmd.Remove == "") {
		return result.New(result.BadRequest, "exactly one of add and remove must be given")
	}
	if !c.candidatesKnown() {
		return result.New(result.VersionConflict, "the last change of the candidates is not yet known to a majority")
	}
	switch {
	case cmd.Add != "" && slices.Contains(rec.Candidates, cmd.Add):
		return result.New(result.BadRequest, "%s is a candidate already", cmd.Add)
	case cmd.Add != "":
		rec.Candidates = append(rec.Candidates, cmd.Add)
	case cmd.Remove == c.opts.Self:
		return result.New(result.BadRequest, "%s is the assigner; stop it first", cmd.Remove)
	case !slices.Contains(rec.Candidates, cmd.Remove):
		return result.New(result.UnknownObject, "%s is no candidate", cmd.Remove)
	default:
		rec.Candidates = slices.DeleteFunc(rec.Candidates, func(vm ownership.VMID) bool { return vm == cmd.Remove })
	}
	rec.CandidatesVersion++
	return nil
}

// candidatesKnown reports whether a majority holds the present candidate list.
func (c *Core) candidatesKnown() bool {
	count := 0
	for _, vm := range c.candidates() {
		if c.knows[vm] >= c.candidatesVersion {
			count++
		}
	}
	return 2*count > len(c.candidates())
}

// effect puts a durable command into effect.
func (cmd *command) effect(c *Core) {
	l := c.lead
	if _, ok := cmd.what.(ChangeCandidates); ok {
		l.table.Candidates = slices.Clone(c.candidates())
		l.table.CandidatesVersion = c.known.best.CandidatesVersion
		return
	}
	// The change is made once more, on the table as it is now.
	rec := l.record()
	if err := c.change(rec, cmd); err != nil {
		c.store.dirty = true
		return
	}
	before := l.table
	version := l.table.TableVersion
	l.table = rec
	l.table.Targets = nil
	l.table.TableVersion = version
	l.drainedChanged(rec)
	l.pinsChanged(c, before, rec)
	for s := range l.slots {
		if s < len(before.Owners) && before.Owners[s] != rec.Owners[s] {
			l.queue(ownership.Slot(s))
		}
	}
	l.viewChanged = true
}

func (l *leader) drainedChanged(rec *ownership.Record) {
	for i, m := range l.targets {
		drained := slices.Contains(rec.Drained, m.info.ID)
		if drained == m.drained {
			continue
		}
		m.drained = drained
		for s := range l.slots {
			if l.wanted(ownership.Slot(s)) == i {
				l.queue(ownership.Slot(s))
			}
		}
	}
}
