package assigner

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/result"
)

// commandTimeout limits the execution of an operator's command, including its
// forwarding to another VM.
const commandTimeout = 8 * time.Second

// Names of the operators' commands.
const (
	// CommandExplain takes the arguments POOL KEY.
	CommandExplain = "explain"
	// CommandMove takes the arguments GROUP SLOT TARGET.
	CommandMove = "move"
	// CommandPin takes the arguments POOL KEY [TARGET].
	CommandPin = "pin"
	// CommandUnpin takes the arguments POOL KEY.
	CommandUnpin = "unpin"
	// CommandDrain takes the argument TARGET.
	CommandDrain = "drain"
	// CommandUndrain takes the argument TARGET.
	CommandUndrain = "undrain"
	// CommandAddCandidate takes the arguments GROUP VM.
	CommandAddCandidate = "candidate-add"
	// CommandRemoveCandidate takes the arguments GROUP VM.
	CommandRemoveCandidate = "candidate-remove"
	// CommandForceTakeOver takes the arguments GROUP CONFIRMATION VM...
	CommandForceTakeOver = "force-takeover"
)

// Reply is the answer to an operator's command.
type Reply struct {
	Code   result.Code `json:"code"`
	Detail string      `json:"detail,omitempty"`
	// Version is the table version after the command; zero if it is not known.
	Version uint64 `json:"version,omitempty"`
	Data    any    `json:"data,omitempty"`
}

// Explanation is the Data of the reply to CommandExplain: the owner of a key
// and the reason for it.
type Explanation struct {
	Pool     string            `json:"pool"`
	Key      string            `json:"key"`
	Group    ownership.GroupID `json:"group"`
	Slot     ownership.Slot    `json:"slot"`
	Pinned   bool              `json:"pinned"`
	Owner    string            `json:"owner"`
	Address  string            `json:"address,omitempty"`
	Token    string            `json:"token,omitempty"`
	Assigner ownership.VMID    `json:"assigner"`
	Why      string            `json:"why"`
}

// groupCommand is a parsed command with the group that it is for.
type groupCommand struct {
	group   ownership.GroupID
	command assign.Command
}

// Execute runs an operator's command. It forwards the command if this VM's view
// of the group names another VM as assigner; explain and a forced take-over
// always run on this VM.
func (a *Assigner) Execute(ctx context.Context, name string, args []string) Reply {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if name == CommandExplain {
		return a.explain(args)
	}
	p, err := a.parseCommand(name, args)
	if err != nil {
		return Reply{Code: err.Code, Detail: err.Detail}
	}
	_, forced := p.command.(assign.ForceTakeOver)
	view := a.opts.Hub.View(p.group)
	if !forced && view != nil && view.Assigner != a.opts.Self {
		return a.forward(ctx, view.Assigner, name, args)
	}
	d := a.ExecuteLocal(ctx, p.group, assign.CommandReceived{ID: a.nextCommandID(), Command: p.command})
	return Reply{Code: d.Code, Detail: d.Detail, Version: d.Version}
}

func (a *Assigner) nextCommandID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.commandCount++
	return strconv.FormatUint(a.commandCount, 10)
}

// forward sends a command to another VM and returns its reply.
func (a *Assigner) forward(ctx context.Context, to ownership.VMID, name string, args []string) Reply {
	vm, ok := a.opts.Members.Snapshot().VM(to)
	if !ok {
		return Reply{Code: result.StoreUnavailable, Detail: fmt.Sprintf("the assigner %s is not in the VM list; nothing was changed", to)}
	}
	m, err := a.opts.Peers.Call(ctx, vm.Address, &pb.Envelope{Body: &pb.Envelope_Command{Command: &pb.Command{Name: name, Args: args}}})
	if err != nil || m.GetCommandReply() == nil {
		return Reply{Code: result.OperationUnknown, Detail: fmt.Sprintf("the assigner %s did not answer", to)}
	}
	var r Reply
	if err := json.Unmarshal(m.GetCommandReply().Json, &r); err != nil {
		return Reply{Code: result.OperationUnknown, Detail: "the assigner's answer could not be decoded"}
	}
	return r
}

// answerCommand executes a command that another VM has forwarded. It does not
// forward the command again.
func (a *Assigner) answerCommand(ctx context.Context, m *pb.Command) *pb.CommandReply {
	p, err := a.parseCommand(m.Name, m.Args)
	if err != nil {
		return commandReply(Reply{Code: err.Code, Detail: err.Detail})
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	d := a.ExecuteLocal(ctx, p.group, assign.CommandReceived{ID: a.nextCommandID(), Command: p.command})
	return commandReply(Reply{Code: d.Code, Detail: d.Detail, Version: d.Version})
}

func commandReply(r Reply) *pb.CommandReply {
	b, err := json.Marshal(r)
	if err != nil {
		return &pb.CommandReply{Code: uint32(result.Internal), Detail: err.Error()}
	}
	return &pb.CommandReply{Code: uint32(r.Code), Detail: r.Detail, Json: b}
}

func (a *Assigner) parseCommand(name string, args []string) (groupCommand, *result.Error) {
	switch name {
	case CommandMove:
		return a.parseMove(args)
	case CommandPin, CommandUnpin:
		return a.parsePin(name, args)
	case CommandDrain, CommandUndrain:
		return a.parseDrain(name, args)
	case CommandAddCandidate, CommandRemoveCandidate:
		return parseCandidate(name, args)
	case CommandForceTakeOver:
		return parseForceTakeOver(args)
	default:
		return groupCommand{}, result.New(result.BadRequest, "unknown command %q", name)
	}
}

func usageError(text string) *result.Error { return result.New(result.BadRequest, "usage: %s", text) }

func (a *Assigner) parseMove(args []string) (groupCommand, *result.Error) {
	if len(args) != 3 {
		return groupCommand{}, usageError("move GROUP SLOT TARGET")
	}
	slot, err := strconv.ParseUint(args[1], 10, 32)
	if err != nil {
		return groupCommand{}, result.New(result.BadRequest, "slot %q is not a number", args[1])
	}
	return groupCommand{ownership.GroupID(args[0]), assign.MoveSlot{Slot: ownership.Slot(slot), To: ownership.TargetID(args[2])}}, nil
}

func (a *Assigner) parsePin(name string, args []string) (groupCommand, *result.Error) {
	if len(args) < 2 || len(args) > 3 {
		return groupCommand{}, usageError("pin POOL KEY [TARGET] | unpin POOL KEY")
	}
	group, hash, err := a.groupOfKey(args[0], args[1])
	if err != nil {
		return groupCommand{}, err
	}
	if name == CommandUnpin {
		return groupCommand{group, assign.UnpinKey{Key: hash}}, nil
	}
	pin := assign.PinKey{Key: hash}
	if len(args) == 3 {
		pin.To = ownership.TargetID(args[2])
	}
	return groupCommand{group, pin}, nil
}

func (a *Assigner) parseDrain(name string, args []string) (groupCommand, *result.Error) {
	if len(args) != 1 {
		return groupCommand{}, usageError("drain TARGET | undrain TARGET")
	}
	id := ownership.TargetID(args[0])
	for _, v := range a.opts.Hub.Views() {
		for _, t := range v.Targets {
			if t.ID == id {
				return groupCommand{v.Group, assign.DrainTarget{Target: id, Undo: name == CommandUndrain}}, nil
			}
		}
	}
	return groupCommand{}, result.New(result.UnknownObject, "no group has a target %s", id)
}

func parseCandidate(name string, args []string) (groupCommand, *result.Error) {
	if len(args) != 2 {
		return groupCommand{}, usageError("candidate-add GROUP VM | candidate-remove GROUP VM")
	}
	change := assign.ChangeCandidates{Add: ownership.VMID(args[1])}
	if name == CommandRemoveCandidate {
		change = assign.ChangeCandidates{Remove: ownership.VMID(args[1])}
	}
	return groupCommand{ownership.GroupID(args[0]), change}, nil
}

func parseForceTakeOver(args []string) (groupCommand, *result.Error) {
	if len(args) < 3 {
		return groupCommand{}, result.New(result.ConfirmationNeeded, "usage: force-takeover GROUP %q VM...", assign.ForceConfirmation)
	}
	force := assign.ForceTakeOver{Confirm: args[1]}
	for _, vm := range args[2:] {
		force.Candidates = append(force.Candidates, ownership.VMID(vm))
	}
	return groupCommand{ownership.GroupID(args[0]), force}, nil
}

// groupOfKey returns the group that holds a key of a keyed pool, and the hash
// of the key.
func (a *Assigner) groupOfKey(poolName, key string) (ownership.GroupID, ownership.KeyHash, *result.Error) {
	hash := ownership.HashKey([]byte(key))
	pool, err := a.keyedPool(poolName)
	if err != nil {
		return "", hash, err
	}
	return pool.Groups[hash.GroupIndex(len(pool.Groups))], hash, nil
}

// keyedPool returns the keyed pool of that name from the bundle in force. The
// error is ConfigStale without a bundle and UnknownObject without such a pool.
func (a *Assigner) keyedPool(name string) (*config.Pool, *result.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bundle == nil {
		return nil, result.New(result.ConfigStale, "no configuration bundle is in force")
	}
	pool := a.bundle.PoolByName(name)
	if pool == nil || !pool.Keyed || len(pool.Groups) == 0 {
		return nil, result.New(result.UnknownObject, "there is no keyed pool %q", name)
	}
	return pool, nil
}

// explain answers CommandExplain from the newest view that this VM holds.
func (a *Assigner) explain(args []string) Reply {
	if len(args) != 2 {
		return Reply{Code: result.BadRequest, Detail: "usage: explain POOL KEY"}
	}
	group, hash, err := a.groupOfKey(args[0], args[1])
	if err != nil {
		return Reply{Code: err.Code, Detail: err.Detail}
	}
	e := Explanation{Pool: args[0], Key: args[1], Group: group, Owner: "none"}
	view := a.opts.Hub.View(group)
	if view == nil {
		e.Why = "no view of the group has reached this VM"
		return Reply{Code: result.OK, Data: e}
	}
	e.Assigner = view.Assigner
	owner, ok := view.Lookup(hash)
	e.Slot = owner.Slot
	e.Pinned = uint32(owner.Slot) >= view.SlotCount
	if !ok {
		e.Why = "the slot has no owner in the newest view"
		return Reply{Code: result.OK, Data: e}
	}
	e.Owner, e.Address, e.Token = string(owner.Target.ID), owner.Target.Address, owner.Token.String()
	e.Why = fmt.Sprintf("granted by %s in term %d", view.Assigner, view.Term)
	if e.Pinned {
		e.Why += ", as a pinned key"
	}
	return Reply{Code: result.OK, Data: e}
}
