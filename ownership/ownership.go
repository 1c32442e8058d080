// Package ownership defines the identifiers, fencing tokens and tables that
// describe which target owns which part of the key space.
package ownership

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"
)

// GroupID names a group: a set of slots, the targets that may own them and one store object.
type GroupID string

// TargetID names a target.
type TargetID string

// VMID names a VM on which processes of the system run.
type VMID string

// Slot is the index of a slot in its group. Slots from 0 up to the group's
// slot count hold hashed keys; higher ones each hold one pinned key.
type Slot uint32

// NoOwner is the owner index of a slot that nobody owns.
const NoOwner = ^uint32(0)

// Token is a fencing token. Tokens order by term, then by sequence; the zero
// Token is lower than every issued one.
type Token struct {
	// Term is the group's term, raised by each take-over in the store.
	Term uint64
	// Seq is raised by the group's assigner with each change of assignment.
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

// ParseToken parses the form that String returns.
func ParseToken(s string) (Token, error) {
	term, seq, ok := strings.Cut(s, ".")
	if !ok {
		return Token{}, errors.Errorf("token %q: want term.seq", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Token{}, errors.Wrapf(err, "token %q: term", s)
	}
	q, err := strconv.ParseUint(seq, 10, 64)
	if err != nil {
		return Token{}, errors.Wrapf(err, "token %q: sequence", s)
	}
	return Token{Term: t, Seq: q}, nil
}

// KeyHash is the 128-bit hash of a key.
type KeyHash struct{ Hi, Lo uint64 }

// HashKey hashes a key with xxh3. The high half selects the group, the low half the slot.
func HashKey(key []byte) KeyHash {
	h := xxh3.Hash128(key)
	return KeyHash{Hi: h.Hi, Lo: h.Lo}
}

// GroupIndex returns the index, below groups, of the group that holds the key.
func (h KeyHash) GroupIndex(groups int) int { return int(h.Hi % uint64(groups)) }

// BaseSlot returns the hashed slot of the key in a group with slotCount slots.
func (h KeyHash) BaseSlot(slotCount uint32) Slot { return Slot(h.Lo % uint64(slotCount)) }

// Target describes one target of a pool.
type Target struct {
	ID TargetID
	// Address is the host:port that serves requests and the control endpoints.
	Address string
	// Region and DataCentre locate the target.
	Region, DataCentre string
	// ChecksTokens tells whether the target refuses requests with an old token or without a lease.
	ChecksTokens bool
	// Slots is the number of requests the target runs at once.
	RequestSlots int
	// Connections is the number of connections the target accepts over all VMs.
	Connections int
}

// Pin makes one key a slot of its own.
type Pin struct {
	Key  KeyHash
	Slot Slot
	// Owner indexes Record.Targets.
	Owner uint32
	// Auto is set if the assigner made the pin because of the key's load.
	Auto bool
}

// Record is the durable object of a group. The store holds one per group; every
// change is a conditional update.
type Record struct {
	Group GroupID
	// Term is raised by each take-over.
	Term uint64
	// Assigner is the VM that took the term, Incarnation its process start.
	Assigner    VMID
	Incarnation uint64
	// Nonce identifies the last write, for reading back after a lost answer.
	Nonce string
	// Candidates are the VMs whose majority support an assigner needs, most preferred first.
	Candidates []VMID
	// CandidatesVersion is raised by each change of Candidates.
	CandidatesVersion uint64
	Targets           []Target
	SlotCount         uint32
	// Owners gives for each hashed slot an index into Targets or NoOwner.
	Owners []uint32
	Pins   []Pin
	// Drained lists the targets that operators keep without slots.
	Drained []TargetID
	// TableVersion is raised by each change of Owners, Pins or Targets.
	TableVersion uint64
}

// SlotState is the owner in force of one slot and the token of its grant.
type SlotState struct {
	// Owner indexes View.Targets, or is NoOwner.
	Owner uint32
	// Seq is the sequence part of the grant's token; the term is the View's.
	Seq uint64
}

// TargetState is what the group's assigner has concluded about a target.
type TargetState uint8

// States of a target.
const (
	// TargetReady targets take new work.
	TargetReady TargetState = iota
	// TargetWarming targets ramp up after a cold start.
	TargetWarming
	// TargetLeaving targets take no new work.
	TargetLeaving
	// TargetLost targets do not answer.
	TargetLost
)

// View is the assignment in force of a group as its assigner publishes it to
// entries. Views order by (Term, Seq).
type View struct {
	Group    GroupID
	Term     uint64
	Seq      uint64
	Assigner VMID
	Targets  []Target
	// States runs parallel to Targets.
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
	Slot   Slot
	Target *Target
	Token  Token
}

// Lookup returns the owner in force of a key. It does not allocate.
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
	st := v.Slots[slot]
	if st.Owner == NoOwner || int(st.Owner) >= len(v.Targets) {
		return Owner{Slot: slot}, false
	}
	return Owner{Slot: slot, Target: &v.Targets[st.Owner], Token: Token{Term: v.Term, Seq: st.Seq}}, true
}

// Rank returns the indices of targets in the order in which they are preferred
// as owners of the slot (rendezvous hashing).
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
