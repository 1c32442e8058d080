package ownership

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	r := &Record{
		Group: "g", Term: 4, Assigner: "vm1", Incarnation: 9, Nonce: "n", Candidates: []VMID{"vm1", "vm2"}, CandidatesVersion: 2,
		Targets: []Target{{ID: "t1", Address: "127.0.0.1:1", ChecksTokens: true, RequestSlots: 6, Connections: 110}}, SlotCount: 2,
		Owners: []uint32{0, NoOwner}, Pins: []Pin{{Key: KeyHash{1, 2}, Slot: 2, Owner: 0}}, TableVersion: 7,
	}
	b, err := MarshalRecord(r)
	is.NoErr(err)
	got, err := UnmarshalRecord(b)
	is.NoErr(err)
	is.Equal(got, r)
	r.Owners[1] = 5
	b, err = MarshalRecord(r)
	is.NoErr(err)
	_, err = UnmarshalRecord(b)
	is.True(err != nil) // owner outside the targets
}

func TestViewDelta(t *testing.T) {
	is := is.New(t)
	targets := []Target{{ID: "a"}, {ID: "b"}}
	base := &View{Group: "g", Term: 2, Seq: 5, Targets: targets, States: []TargetState{0, 0}, SlotCount: 3, Slots: []SlotState{{0, 1}, {1, 2}, {0, 5}}}
	next := &View{Group: "g", Term: 2, Seq: 6, Targets: targets, States: []TargetState{0, TargetLost}, SlotCount: 3, Slots: []SlotState{{0, 1}, {0, 6}, {0, 5}}}
	full, err := ViewFromProto(nil, ViewToProto(next))
	is.NoErr(err)
	is.Equal(full, next)
	delta := ViewDelta(base, next)
	is.True(delta.Delta)
	is.Equal(len(delta.Changes), 1)
	is.True(proto.Size(delta) < proto.Size(ViewToProto(next)))
	got, err := ViewFromProto(base, delta)
	is.NoErr(err)
	is.Equal(got, next)
	_, err = ViewFromProto(full, delta)
	is.True(errors.Is(err, ErrBaseMismatch))
	newTerm := *next
	newTerm.Term = 3
	is.True(!ViewDelta(base, &newTerm).Delta) // a new term is sent whole
}
