// Package assign decides for one group which VM is its assigner and which
// target owns which slot. A Core runs on each VM that may assign; it is pure:
// events and clock readings go in, actions come out, and the caller does the
// I/O. It keeps no goroutine and no timer.
//
// The rules of sole ownership are in docs/design/ownership.md.
package assign

import (
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/target"
)

// Event is an input of a Core.
type Event interface{ event() }

// Action is an output of a Core, to be executed in order and without waiting
// for its result; results come back as events.
type Action interface{ action() }

// Tick reports only that time has passed; send one at the instant of NextWake.
type Tick struct{}

// RecordRead is the result of a ReadRecord, or a record that a peer handed on.
type RecordRead struct {
	// Record is nil if Err is set. The Core keeps it; the caller must not change it.
	Record  *ownership.Record
	Version store.Version
	// Err is nil, store.ErrNotFound, store.ErrUnavailable or any other failure.
	Err error
	// FromPeer is set if a peer and not the store gave the record.
	FromPeer bool
}

// WriteDone is the result of the WriteRecord with the same nonce.
type WriteDone struct {
	Nonce   string
	Version store.Version
	// Err is nil, store.ErrConflict, store.ErrUnavailable, store.ErrTooLarge or
	// store.ErrUnknown; every other error counts as ErrUnknown.
	Err error
}

// RecordChanged reports a change of the group's record seen by a watch. A
// missed change is harmless.
type RecordChanged struct {
	Record  *ownership.Record
	Version store.Version
}

// SupportAnswered is a reply to an AskSupport.
type SupportAnswered struct {
	From            ownership.VMID
	FromIncarnation uint64
	// SentAt is AskSupport.SentAt of the request that was answered.
	SentAt  time.Duration
	Request lease.SupportRequest
	Reply   lease.SupportReply
}

// TargetAnswered is a reply to a SendRenew.
type TargetAnswered struct {
	Target ownership.TargetID
	// SentAt is SendRenew.SentAt of the request that was answered.
	SentAt time.Duration
	// Via is the VM that forwarded the request, if any.
	Via   ownership.VMID
	Reply target.RenewReply
}

// TargetFailed reports that a SendRenew got no answer: refused connection,
// broken connection or timeout.
type TargetFailed struct {
	Target ownership.TargetID
	SentAt time.Duration
	Via    ownership.VMID
}

// ProbeAnswered is the result of a ProbeVia; a probe without an answer counts
// as not reachable after its time.
type ProbeAnswered struct {
	From      ownership.VMID
	Target    ownership.TargetID
	Reachable bool
}

// ViewReceived is a view that the group's assigner published and that reached
// this VM through the relay tree. A process that starts has to be given the
// newest view that any entry or peer holds, since those refuse lower versions:
// after the loss of all supporters' memory only they know how far tokens went.
type ViewReceived struct{ View *ownership.View }

// Handover is what a leaving assigner tells its successor.
type Handover struct {
	Group ownership.GroupID
	// Record is the newest record that the leaving assigner knows, with its table in force.
	Record  *ownership.Record
	Version store.Version
	// View is the assignment in force; the leaving assigner grants nothing more.
	View *ownership.View
	// LeasesFor bounds the time from sending until every lease that the leaving
	// assigner has granted has ended, by its clock and with the rate margin.
	LeasesFor time.Duration
}

// HandoverReceived is a Handover from a leaving assigner; the Core answers it
// by AnswerHandover.
type HandoverReceived struct {
	From     ownership.VMID
	Handover *Handover
}

// HandoverAnswered reports that the successor has taken in the Handover.
type HandoverAnswered struct{ From ownership.VMID }

// CommandReceived is an operator's command. Each gets exactly one CommandDone.
type CommandReceived struct {
	// ID is chosen by the caller, unique among the commands of this Core.
	ID      string
	Command Command
	// ExpectedTable refuses the command with result.VersionConflict if the table
	// version is another one; zero accepts any.
	ExpectedTableVersion uint64
}

// Stop begins a planned stop. The Core hands over to a successor if it is
// assigner and emits Stopped when nothing depends on it any more.
type Stop struct{}

// TargetInfo is a target as the VM list and the configuration describe it.
type TargetInfo struct {
	ownership.Target
	// Leaving targets are drained.
	Leaving bool
}

// TargetsChanged gives the complete list of the group's targets. The list may
// lag: a target that is missing in it but still answers keeps its slots for
// Options.ForgetAfter.
type TargetsChanged struct{ Targets []TargetInfo }

// KeyCount is the estimated load of one key.
type KeyRate struct {
	Key ownership.KeyHash
	// PerSecond is the estimated number of requests per second, over all entries.
	PerSecond float64
}

// KeyLoad reports the heavy hitters of the group, once a second or so.
type KeyLoad struct {
	// Total is the number of requests per second of the group.
	Total float64
	Keys  []KeyRate
}

func (Tick) event()             {}
func (RecordRead) event()       {}
func (WriteDone) event()        {}
func (RecordChanged) event()    {}
func (SupportAnswered) event()  {}
func (TargetAnswered) event()   {}
func (TargetFailed) event()     {}
func (ProbeAnswered) event()    {}
func (ViewReceived) event()     {}
func (HandoverReceived) event() {}
func (HandoverAnswered) event() {}
func (CommandReceived) event()  {}
func (Stop) event()             {}
func (TargetsChanged) event()   {}
func (KeyLoad) event()          {}

// ReadRecord asks for a RecordRead from the store, never from a cache.
type ReadRecord struct{}

// WriteRecord asks for a conditional write of the record; the result is a WriteDone.
type WriteRecord struct {
	// Record must not be changed by the caller.
	Record   *ownership.Record
	Expected store.Version
	Nonce    string
}

// AskSupport asks the Supporter of a VM. A request to the VM itself goes to its
// own Supporter and is answered within the same instant.
type SendSupportRequest struct {
	To      ownership.VMID
	SentAt  time.Duration
	Request lease.SupportRequest
}

// SendRenew sends a renewal to a target; the result is a TargetAnswered or a
// TargetFailed. Allow Options.Heartbeat for the answer.
type SendRenew struct {
	Target ownership.Target
	SentAt time.Duration
	// Via names a peer that forwards the request and its answer; empty sends directly.
	Via     ownership.VMID
	Request target.RenewRequest
}

// ProbeVia asks a peer to probe a target over a connection of its own.
type ProbeVia struct {
	VM     ownership.VMID
	Target ownership.Target
}

// Publish spreads the assignment in force. A view that was published before is
// published again at each heartbeat, as a sign that its assigner is alive.
type Publish struct{ View *ownership.View }

// SendHandover sends a Handover to its successor, which answers it.
type SendHandover struct {
	To       ownership.VMID
	Handover *Handover
}

// AnswerHandover tells the sender of a Handover that it was taken in; there it
// becomes a HandoverAnswered.
type AnswerHandover struct{ To ownership.VMID }

// CommandDone is the result of a command.
type CommandDone struct {
	ID     string
	Code   result.Code
	Detail string
	// Version is the current table version.
	Version uint64
}

// Stopped reports that the planned stop is complete.
type Stopped struct{}

func (ReadRecord) action()         {}
func (WriteRecord) action()        {}
func (SendSupportRequest) action() {}
func (SendRenew) action()          {}
func (ProbeVia) action()           {}
func (Publish) action()            {}
func (SendHandover) action()       {}
func (AnswerHandover) action()     {}
func (CommandDone) action()        {}
func (Stopped) action()            {}

// Command is an operator's command to the group's assigner.
type Command interface{ command() }

// MoveSlot moves a slot to a target.
type MoveSlot struct {
	Slot ownership.Slot
	To   ownership.TargetID
}

// PinKey makes a key a slot of its own, owned by the target; an empty target
// keeps the present owner. A key that is pinned already moves.
type PinKey struct {
	Key ownership.KeyHash
	To  ownership.TargetID
}

// UnpinKey returns a pinned key to its hashed slot.
type UnpinKey struct{ Key ownership.KeyHash }

// DrainTarget moves all slots away from a target and keeps it without slots;
// Undo makes it eligible again.
type DrainTarget struct {
	Target ownership.TargetID
	Undo   bool
}

// ChangeCandidates adds or removes one candidate VM; exactly one field is set.
type ChangeCandidates struct{ Add, Remove ownership.VMID }

// ForceConfirmation must be given with a ForceTakeOver.
const ForceConfirmation = "the lost candidates are down for certain; if one still assigns, keys may have two owners"

// ForceTakeOver replaces the candidate list by the surviving VMs after the loss
// of a majority. It may be sent to any of them.
type ForceTakeOver struct {
	Candidates []ownership.VMID
	// Confirm must equal ForceConfirmation.
	Confirm string
}

func (MoveSlot) command()         {}
func (PinKey) command()           {}
func (UnpinKey) command()         {}
func (DrainTarget) command()      {}
func (ChangeCandidates) command() {}
func (ForceTakeOver) command()    {}
