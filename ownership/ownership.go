// Package ownership defines the identifiers, fencing tokens, records and views
// that describe which target owns which part of the key space.
package ownership

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"
)

// GroupID identifies a group: a set of slots, the targets that may own them and
// one store object, the Record.
type GroupID string

// TargetID identifies a target.
type TargetID string

// VMID identifies a VM on which processes of the system run.
type VMID string

// Slot is the index of a slot in its group. Slots from 0 up to the group's
// slot count hold hashed keys; higher ones each hold one pinned key.
type Slot uint32

// NoOwner is the owner index of a slot without an owner.
const NoOwner = ^uint32(0)

// Token is a fencing token. Tokens order by term, then by sequence; the zero
// Token is lower than every issued one.
type Token struct {
	// Term is the group's term. Each take-over raises it in the store.
	Term uint64
	// Seq is the sequence number within the term. The group's assigner raises it
	// with each change of assignment.
	Seq uint64
}

// Less reports whether t is older than o.
func (t Token) Less(o Token) bool {
	if t.Term != o.Term {
		return t.Term < o.Term
	}
	return t.Seq < o.Seq
}

// IsZero reports whether t is the zero Token.
func (t Token) IsZero() bool { return t == Token{} }

// String returns the token as "term.seq".
func (t Token) String() string {
	return strconv.FormatUint(t.Term, 10) + "." + strconv.FormatUint(t.Seq, 10)
}

// ParseToken parses a token in the form that String returns.
func ParseToken(s string) (Token, error) {
	term, seq, ok := strings.Cut(s, ".")
	if !ok {
		return Token{}, errors.Errorf("token %q does not have the form term.seq", s)
	}
	termNumber, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Token{}, errors.Wrapf(err, "invalid term in token %q", s)
	}
	seqNumber, err := strconv.ParseUint(seq, 10, 64)
	if err != nil {
		return Token{}, errors.Wrapf(err, "invalid sequence in token %q", s)
	}
	return Token{Term: termNumber, Seq: seqNumber}, nil
}

// KeyHash is the 128-bit hash of a key.
type KeyHash struct{ Hi, Lo uint64 }

// HashKey hashes a key with xxh3. The high half selects the group, the low half the slot.
func HashKey(key []byte) KeyHash {
	h := xxh3.Hash128(key)
	return KeyHash{Hi: h.Hi, Lo: h.Lo}
}

// GroupIndex returns which of a pool's groups holds the key, as an index from 0
// to groups-1. The number of groups must not be zero.
func (h KeyHash) GroupIndex(groups int) int { return int(h.Hi % uint64(groups)) }

// BaseSlot returns the hashed slot of the key in a group with slotCount hashed
// slots. slotCount must not be zero.
func (h KeyHash) BaseSlot(slotCount uint32) Slot { return Slot(h.Lo % uint64(slotCount)) }

// Target describes one target of a pool.
type Target struct {
	ID TargetID
	// Address is the host:port at which the target serves requests and its control
	// endpoints.
	Address string
	// Region and DataCentre locate the target.
	Region, DataCentre string
	// ChecksTokens is set if the target refuses requests that have an old
	// token or for which it holds no lease.
	ChecksTokens bool
	// RequestSlots is the number of requests that the target runs at once.
	RequestSlots int
	// Connections is the number of connections that the target accepts from all
	// VMs together.
	Connections int
}

// Pin gives one key a slot of its own.
type Pin struct {
	Key  KeyHash
	Slot Slot
	// Owner is an index into Record.Targets, or NoOwner.
	Owner uint32
	// Auto is set if the assigner made the pin because of the key's load.
	Auto bool
}

// Record is the durable state of a group. The store holds one object for each
// group; every change of it is a conditional update.
type Record struct {
	Group GroupID
	// Term is raised by each take-over.
	Term uint64
	// Assigner is the VM whose take-over raised the term.
	Assigner VMID
	// Incarnation identifies the start of the assigner's process.
	Incarnation uint64
	// Nonce identifies the last write. After a lost answer, the writer reads it
	// back to see whether the write was done.
	Nonce string
	// Candidates are the VMs that may become assigner, most preferred first. An
	// assigner needs the support of a majority of them.
	Candidates []VMID
	// CandidatesVersion is raised by each change of Candidates.
	CandidatesVersion uint64
	Targets           []Target
	SlotCount         uint32
	// Owners holds for each hashed slot an index into Targets, or NoOwner.
	Owners []uint32
	Pins   []Pin
	// Drained lists the targets that operators keep without slots.
	Drained []TargetID
	// TableVersion is raised by each change of Owners, Pins or Targets.
	TableVersion uint64
}

// SlotState is the owner in force of one slot and the token of its grant.
type SlotState struct {
	// Owner is an index into View.Targets, or NoOwner.
	Owner uint32
	// Seq is the sequence number of the grant's token; its term is View.Term.
	Seq uint64
}

// TargetState is the state of a target as the group's assigner has determined it.
type TargetState uint8

// States of a target.
const (
	// TargetReady is the state of a target that accepts new work.
	TargetReady TargetState = iota
	// TargetWarming is the state of a target that warms up after a cold start.
	TargetWarming
	// TargetLeaving is the state of a target that accepts no new work.
	TargetLeaving
	// TargetLost is the state of a target that does not answer.
	TargetLost
)

// View is the assignment in force of a group as its assigner publishes it to
// entries. The views of a group are ordered by Term, then by Seq.
type View struct {
	Group    GroupID
	Term     uint64
	Seq      uint64
	Assigner VMID
	Targets  []Target
	// States holds the state of each target, in the order of Targets.
	States []TargetState
	// SlotCount is the number of hashed slots; zero in a pool without keys.
	SlotCount uint32
	// Slots holds the hashed slots, followed by the slots of pinned keys.
	Slots []SlotState
	// Pinned maps the hash of a pinned key to its slot.
	Pinned map[KeyHash]Slot
}

// Version returns the view's position in the order of the group's views.
func (v *View) Version() Token { return Token{Term: v.Term, Seq: v.Seq} }

// Owner is the result of a lookup.
type Owner struct {
	Slot Slot
	// Target is nil if the slot has no owner.
	Target *Target
	// Token is the token of the grant.
	Token Token
}

// Lookup returns the owner in force of a key. If there is none, it returns false
// and an Owner with only the slot set. It does not allocate.
func (v *View) Lookup(h KeyHash) (Owner, bool) {
	slot := h.BaseSlot(v.SlotCount)
	if len(v.Pinned) > 0 {
		if s, ok := v.Pinned[h]; ok {
			slot = s
		}
	}
	if int(slot) >= len(v.Slots) {
		return Owner{Slot: slot}, false
	}
	state := v.Slots[slot]
	if state.Owner == NoOwner || int(state.Owner) >= len(v.Targets) {
		return Owner{Slot: slot}, false
	}
	return Owner{Slot: slot, Target: &v.Targets[state.Owner], Token: Token{Term: v.Term, Seq: state.Seq}}, true
}

// Rank returns the indices of targets in the order in which rendezvous hashing
// prefers them as owners of the slot, the most preferred first.
func Rank(group GroupID, slot Slot, targets []Target) []int {
	type scored struct {
		index int
		score uint64
	}
	list := make([]scored, len(targets))
	for i := range targets {
		list[i] = scored{i, rankScore(group, slot, targets[i].ID)}
	}
	order := make([]int, len(list))
	for i := range list {
		j := i
		for j > 0 && list[order[j-1]].score < list[i].score {
			order[j] = order[j-1]
			j--
		}
		order[j] = i
	}
	return order
}

func rankScore(group GroupID, slot Slot, id TargetID) uint64 {
	return xxh3.HashString(fmt.Sprintf("%s/%d/%s", group, slot, id))
}
