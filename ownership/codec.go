package ownership

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/pb"
)

// MarshalRecord encodes a record for the store.
func MarshalRecord(r *Record) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(RecordToProto(r))
	return b, errors.Wrapf(err, "encode record of group %s", r.Group)
}

// RecordToProto converts a record to its message.
func RecordToProto(r *Record) *pb.GroupRecord {
	m := &pb.GroupRecord{
		Group: string(r.Group), Term: r.Term, Assigner: string(r.Assigner), Incarnation: r.Incarnation, Nonce: r.Nonce,
		CandidatesVersion: r.CandidatesVersion, Targets: targetsToProto(r.Targets), SlotCount: r.SlotCount,
		Owners: ownersToProto(r.Owners), TableVersion: r.TableVersion,
	}
	for _, c := range r.Candidates {
		m.Candidates = append(m.Candidates, string(c))
	}
	for _, p := range r.Pins {
		m.Pins = append(m.Pins, &pb.Pin{KeyHi: p.Key.Hi, KeyLo: p.Key.Lo, Slot: uint32(p.Slot), Owner: p.Owner + 1, Auto: p.Auto})
	}
	for _, id := range r.Drained {
		m.Drained = append(m.Drained, string(id))
	}
	return m
}

// UnmarshalRecord decodes a record and checks its shape.
func UnmarshalRecord(b []byte) (*Record, error) {
	var m pb.GroupRecord
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "decode group record")
	}
	return RecordFromProto(&m)
}

// RecordFromProto converts a message to a record and checks its shape.
func RecordFromProto(m *pb.GroupRecord) (*Record, error) {
	r := &Record{
		Group: GroupID(m.Group), Term: m.Term, Assigner: VMID(m.Assigner), Incarnation: m.Incarnation, Nonce: m.Nonce,
		CandidatesVersion: m.CandidatesVersion, Targets: targetsFromProto(m.Targets), SlotCount: m.SlotCount,
		Owners: ownersFromProto(m.Owners), TableVersion: m.TableVersion,
	}
	for _, c := range m.Candidates {
		r.Candidates = append(r.Candidates, VMID(c))
	}
	for _, p := range m.Pins {
		r.Pins = append(r.Pins, Pin{Key: KeyHash{Hi: p.KeyHi, Lo: p.KeyLo}, Slot: Slot(p.Slot), Owner: p.Owner - 1, Auto: p.Auto})
	}
	for _, id := range m.Drained {
		r.Drained = append(r.Drained, TargetID(id))
	}
	return r, r.Check()
}

// Check reports whether the record is consistent: every owner exists and every
// pinned slot lies beyond the hashed ones.
func (r *Record) Check() error {
	if r.Group == "" {
		return errors.New("group record: no group name")
	}
	if len(r.Owners) != int(r.SlotCount) {
		return errors.Errorf("group %s: %d owners for %d slots", r.Group, len(r.Owners), r.SlotCount)
	}
	for slot, o := range r.Owners {
		if o != NoOwner && int(o) >= len(r.Targets) {
			return errors.Errorf("group %s: slot %d: owner %d of %d targets", r.Group, slot, o, len(r.Targets))
		}
	}
	for _, p := range r.Pins {
		if uint32(p.Slot) < r.SlotCount {
			return errors.Errorf("group %s: pinned slot %d is a hashed slot", r.Group, p.Slot)
		}
		if p.Owner != NoOwner && int(p.Owner) >= len(r.Targets) {
			return errors.Errorf("group %s: pinned slot %d: owner %d of %d targets", r.Group, p.Slot, p.Owner, len(r.Targets))
		}
	}
	return nil
}

// ViewToProto encodes a complete view.
func ViewToProto(v *View) *pb.GroupView {
	m := viewHeader(v)
	m.Owners = make([]uint32, len(v.Slots))
	m.Seqs = make([]uint64, len(v.Slots))
	for i, s := range v.Slots {
		m.Owners[i] = s.Owner + 1
		m.Seqs[i] = s.Seq
	}
	return m
}

// ViewDelta encodes the change from base to v. It returns a complete view if
// the two differ in more than their slots and target states.
func ViewDelta(base, v *View) *pb.GroupView {
	if base == nil || base.Term != v.Term || len(base.Slots) != len(v.Slots) || !sameTargets(base.Targets, v.Targets) || !samePins(base, v) {
		return ViewToProto(v)
	}
	m := viewHeader(v)
	m.Targets, m.Pins = nil, nil
	m.Delta, m.BaseSeq = true, base.Seq
	for i, s := range v.Slots {
		if s != base.Slots[i] {
			m.Changes = append(m.Changes, &pb.SlotState{Slot: uint32(i), Owner: s.Owner + 1, Seq: s.Seq})
		}
	}
	return m
}

// ErrBase reports a delta that does not apply to the view at hand.
var ErrBaseMismatch = errors.New("view delta: base version differs")

// ViewFromProto decodes a complete view, or applies a delta to a copy of base.
func ViewFromProto(base *View, m *pb.GroupView) (*View, error) {
	v := &View{
		Group: GroupID(m.Group), Term: m.Term, Seq: m.Seq, Assigner: VMID(m.Assigner), SlotCount: m.SlotCount,
		States: statesFromProto(m.States),
	}
	if m.Delta {
		return v, applyDelta(v, base, m)
	}
	if len(m.Owners) != len(m.Seqs) {
		return nil, errors.Errorf("view of group %s: %d owners, %d tokens", m.Group, len(m.Owners), len(m.Seqs))
	}
	v.Targets = targetsFromProto(m.Targets)
	v.Slots = make([]SlotState, len(m.Owners))
	for i := range m.Owners {
		v.Slots[i] = SlotState{Owner: m.Owners[i] - 1, Seq: m.Seqs[i]}
	}
	if len(m.Pins) > 0 {
		v.Pinned = make(map[KeyHash]Slot, len(m.Pins))
	}
	for _, p := range m.Pins {
		v.Pinned[KeyHash{Hi: p.KeyHi, Lo: p.KeyLo}] = Slot(p.Slot)
	}
	return v, nil
}

func applyDelta(v, base *View, m *pb.GroupView) error {
	if base == nil || base.Term != m.Term || base.Seq != m.BaseSeq {
		return ErrBaseMismatch
	}
	v.Targets, v.Pinned = base.Targets, base.Pinned
	v.Slots = append([]SlotState(nil), base.Slots...)
	for _, c := range m.Changes {
		if int(c.Slot) >= len(v.Slots) {
			return errors.Errorf("view delta of group %s: slot %d of %d", m.Group, c.Slot, len(v.Slots))
		}
		v.Slots[c.Slot] = SlotState{Owner: c.Owner - 1, Seq: c.Seq}
	}
	return nil
}

func viewHeader(v *View) *pb.GroupView {
	m := &pb.GroupView{
		Group: string(v.Group), Term: v.Term, Seq: v.Seq, Assigner: string(v.Assigner),
		SlotCount: v.SlotCount, Targets: targetsToProto(v.Targets),
	}
	for _, s := range v.States {
		m.States = append(m.States, uint32(s))
	}
	for h, s := range v.Pinned {
		m.Pins = append(m.Pins, &pb.Pin{KeyHi: h.Hi, KeyLo: h.Lo, Slot: uint32(s)})
	}
	return m
}

func sameTargets(a, b []Target) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func samePins(a, b *View) bool {
	if len(a.Pinned) != len(b.Pinned) {
		return false
	}
	for h, s := range a.Pinned {
		if other, ok := b.Pinned[h]; !ok || other != s {
			return false
		}
	}
	return true
}

func statesFromProto(in []uint32) []TargetState {
	out := make([]TargetState, len(in))
	for i, s := range in {
		out[i] = TargetState(s)
	}
	return out
}

func ownersToProto(in []uint32) []uint32 {
	out := make([]uint32, len(in))
	for i, o := range in {
		out[i] = o + 1
	}
	return out
}

func ownersFromProto(in []uint32) []uint32 {
	out := make([]uint32, len(in))
	for i, o := range in {
		out[i] = o - 1
	}
	return out
}

func targetsToProto(in []Target) []*pb.Target {
	out := make([]*pb.Target, len(in))
	for i, t := range in {
		out[i] = &pb.Target{
			Id: string(t.ID), Address: t.Address, Region: t.Region, DataCentre: t.DataCentre,
			ChecksTokens: t.ChecksTokens, Slots: uint32(t.RequestSlots), Connections: uint32(t.Connections),
		}
	}
	return out
}

func targetsFromProto(in []*pb.Target) []Target {
	out := make([]Target, len(in))
	for i, t := range in {
		out[i] = Target{
			ID: TargetID(t.Id), Address: t.Address, Region: t.Region, DataCentre: t.DataCentre,
			ChecksTokens: t.ChecksTokens, RequestSlots: int(t.Slots), Connections: int(t.Connections),
		}
	}
	return out
}
