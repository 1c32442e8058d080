// Package assign decides for one group which VM is its assigner and which target
// owns which slot. Each VM that may become assigner runs a Core. A Core is a state
// machine without I/O, goroutines and timers: the caller passes it events and clock
// readings, and executes the actions that it returns.
//
// The rules of exclusive ownership are in docs/design/ownership.md.
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

// Action is an output of a Core. The caller executes actions in order without waiting
// for their results, and passes the results back as events.
type Action interface{ action() }

// Tick reports only that time has passed. One is due at the clock reading that NextWake
// returns.
type Tick struct{}

// RecordRead is the result of a ReadRecord, or a record received from a peer.
type RecordRead struct {
	// Record is nil if Err is set. The Core keeps it; the caller must not change it.
	Record  *ownership.Record
	Version store.Version
	// Err is nil, store.ErrNotFound, store.ErrUnavailable or any other failure.
	Err error
	// FromPeer is set if the record came from a peer instead of the store.
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

// RecordChanged reports a change of the group's record that a watch of the store
// delivered. A missed change is harmless.
type RecordChanged struct {
	Record  *ownership.Record
	Version store.Version
}

// SupportAnswered is a reply to a SendSupportRequest.
type SupportAnswered struct {
	From            ownership.VMID
	FromIncarnation uint64
	// SentAt is SendSupportRequest.SentAt of the request that was answered.
	SentAt  time.Duration
	Request lease.SupportRequest
	Reply   lease.SupportReply
}

// TargetAnswered is a reply to a SendRenew.
type TargetAnswered struct {
	Target ownership.TargetID
	// SentAt is SendRenew.SentAt of the request that was answered.
	SentAt time.Duration
	// Via is the VM that forwarded the request; empty if it was sent directly.
	Via   ownership.VMID
	Reply target.RenewReply
}

// TargetFailed reports that a SendRenew got no answer, because the connection was
// refused, broke or timed out.
type TargetFailed struct {
	Target ownership.TargetID
	SentAt time.Duration
	Via    ownership.VMID
}

// ProbeAnswered is the result of a ProbeVia. A target whose probe is not answered in
// time counts as not reachable.
type ProbeAnswered struct {
	From      ownership.VMID
	Target    ownership.TargetID
	Reachable bool
}

// ViewReceived is a view that the group's assigner published and that reached this VM
// through the relay tree. The caller has to pass a new process the newest view that any
// entry or peer holds, because entries and peers refuse lower versions: if all supporters
// have lost their state, only they know the highest token issued.
type ViewReceived struct{ View *ownership.View }

// Handover is the state that a stopping assigner sends to its successor.
type Handover struct {
	Group ownership.GroupID
	// Record is the newest record that the stopping assigner knows, with its table in force.
	Record *ownership.Record
	// Version is the store version that the stopping assigner last read or wrote.
	Version store.Version
	// View is the assignment in force; the stopping assigner grants nothing more.
	View *ownership.View
	// LeasesFor is the longest time, from sending, until every lease that the stopping
	// assigner has granted has ended, on its own clock and including the rate margin.
	LeasesFor time.Duration
}

// HandoverReceived is a Handover from a stopping assigner. The Core answers it with an
// AnswerHandover.
type HandoverReceived struct {
	From     ownership.VMID
	Handover *Handover
}

// HandoverAnswered reports that the successor has accepted the Handover.
type HandoverAnswered struct{ From ownership.VMID }

// CommandReceived is an operator's command. Each command gets exactly one CommandDone.
type CommandReceived struct {
	// ID is chosen by the caller, unique among the commands of this Core.
	ID      string
	Command Command
	// ExpectedTableVersion is the table version to which the command applies. The command
	// is refused with result.VersionConflict if the version is another one; zero accepts any.
	ExpectedTableVersion uint64
}

// Stop begins a planned stop. A Core that is assigner hands over to a successor. The
// Core emits Stopped when the stop is complete.
type Stop struct{}

// TargetInfo is a target as the VM list and the configuration describe it.
type TargetInfo struct {
	ownership.Target
	// Leaving is set for a target that is to be drained because it will stop.
	Leaving bool
}

// TargetsChanged gives the complete list of the group's targets. The list may be out of
// date: a target that is missing from it but still answers keeps its slots for
// Options.ForgetAfter.
type TargetsChanged struct{ Targets []TargetInfo }

// KeyRate is the estimated load of one key.
type KeyRate struct {
	Key ownership.KeyHash
	// PerSecond is the estimated number of requests per second at all entries together.
	PerSecond float64
}

// KeyLoad reports the group's keys with the highest load, about once per second.
type KeyLoad struct {
	// Total is the group's number of requests per second.
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

// ReadRecord requests a read of the record from the store, never from a cache. The
// result is a RecordRead.
type ReadRecord struct{}

// WriteRecord requests a write of the record on the condition that the store holds
// version Expected. The result is a WriteDone.
type WriteRecord struct {
	// Record must not be changed by the caller.
	Record   *ownership.Record
	Expected store.Version
	Nonce    string
}

// SendSupportRequest sends a request to the Supporter of a VM; the result is a
// SupportAnswered. A request to the VM itself goes to its own Supporter and is answered
// within the same instant.
type SendSupportRequest struct {
	To      ownership.VMID
	SentAt  time.Duration
	Request lease.SupportRequest
}

// SendRenew sends a renewal to a target. The result is a TargetAnswered, or a
// TargetFailed if there is no answer within Options.Heartbeat.
type SendRenew struct {
	Target ownership.Target
	SentAt time.Duration
	// Via is the peer that forwards the request and its answer; empty sends directly.
	Via     ownership.VMID
	Request target.RenewRequest
}

// ProbeVia requests that a peer probes a target over the peer's own connection. The
// result is a ProbeAnswered.
type ProbeVia struct {
	VM     ownership.VMID
	Target ownership.Target
}

// Publish distributes the view of the assignment in force to entries and peers. An
// unchanged view is published again at each heartbeat, to show that its assigner is alive.
type Publish struct{ View *ownership.View }

// SendHandover sends a Handover to the successor. The result is a HandoverAnswered.
type SendHandover struct {
	To       ownership.VMID
	Handover *Handover
}

// AnswerHandover confirms to the sender of a Handover that it was accepted. The sender
// receives it as a HandoverAnswered.
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

// PinKey gives a key a slot of its own, owned by target To. If To is empty, the key's
// present owner keeps it. The slot of a key that is pinned already moves to To.
type PinKey struct {
	Key ownership.KeyHash
	To  ownership.TargetID
}

// UnpinKey returns a pinned key to the slot given by its hash.
type UnpinKey struct{ Key ownership.KeyHash }

// DrainTarget moves all slots away from a target and gives it no others. With Undo set,
// it makes a drained target eligible for slots again.
type DrainTarget struct {
	Target ownership.TargetID
	Undo   bool
}

// ChangeCandidates adds or removes one candidate VM. Exactly one field must be set.
type ChangeCandidates struct{ Add, Remove ownership.VMID }

// ForceConfirmation is the text that a ForceTakeOver must carry in Confirm.
const ForceConfirmation = "the lost candidates are down for certain; if one still assigns, keys may have two owners"

// ForceTakeOver replaces the candidate list by the surviving VMs after a majority of
// the candidates is lost. It may be sent to any of the surviving VMs.
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
