package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
)

// Names of the sweeps of the tables' sizes.
const (
	SweepSlots       = "slots"
	SweepViewTargets = "view-targets"
	SweepChanges     = "delta-changes"
	SweepRequests    = "requests"
	SweepTableGroups = "table-groups"
)

// Names of the series of the tables' sizes.
const (
	RecordBytes   = "record"
	ViewBytes     = "complete view"
	DeltaBytes    = "delta"
	ViewEncodeCPU = "encode a complete view"
	ViewDecodeCPU = "decode a complete view"
	DeltaMakeCPU  = "make and encode a delta"
	DeltaApplyCPU = "decode and apply a delta"
	ViewHeap      = "view heap"
	LookupCPU     = "hash and look up"
	TableHeap     = "table heap"
	LookupsCPU    = "hash and look up, all"
)

// Shape of the measured views and deltas, where a sweep does not vary it.
const (
	// viewTargets and viewSlots are the numbers of targets and slots of a view.
	viewTargets = 64
	viewSlots   = 1024
	// deltaChanges is the number of slots that a delta changes.
	deltaChanges = 16
)

func makeView(group string, targets, slots int) *ownership.View {
	v := &ownership.View{
		Group: ownership.GroupID(group), Term: 100, Seq: 5<<32 + 100_000, Assigner: "vm-00001",
		Targets: makeTargets(targets), States: make([]ownership.TargetState, targets), SlotCount: uint32(slots),
		Slots: make([]ownership.SlotState, slots),
	}
	for i := range v.Slots {
		v.Slots[i] = ownership.SlotState{Owner: uint32(i % targets), Seq: 5<<32 + uint64(i)}
	}
	return v
}

// changedView returns the next version of a view, with the given number of changed slots.
func changedView(v *ownership.View, changes int) *ownership.View {
	next := *v
	next.Seq++
	next.Slots = append([]ownership.SlotState(nil), v.Slots...)
	for i := range changes {
		next.Slots[i*len(next.Slots)/changes].Seq = next.Seq
	}
	return &next
}

func makeRecord(v *ownership.View) *ownership.Record {
	r := &ownership.Record{
		Group: v.Group, Term: v.Term, Assigner: v.Assigner, Incarnation: 1 << 62, Nonce: "vm-00001/4611686018427387904/17",
		Candidates: []ownership.VMID{"vm-00001", "vm-00002", "vm-00003"}, CandidatesVersion: 3,
		Targets: v.Targets, SlotCount: v.SlotCount, TableVersion: 1000,
	}
	for _, s := range v.Slots {
		r.Owners = append(r.Owners, s.Owner)
	}
	return r
}

func measureSlots(s *Sweep, slots int, budget time.Duration) error {
	return measureView(s, float64(slots), makeView("group-0001", viewTargets, slots), deltaChanges, budget)
}

func measureViewTargets(s *Sweep, targets int, budget time.Duration) error {
	return measureView(s, float64(targets), makeView("group-0001", targets, viewSlots), deltaChanges, budget)
}

func measureChanges(s *Sweep, changes int, budget time.Duration) error {
	return measureView(s, float64(changes), makeView("group-0001", viewTargets, viewSlots), changes, budget)
}

// measureView measures all costs that depend on the shape of one group's table.
func measureView(s *Sweep, x float64, v *ownership.View, changes int, budget time.Duration) error {
	record, err := ownership.MarshalRecord(makeRecord(v))
	if err != nil {
		return err
	}
	full, err := proto.Marshal(ownership.ViewToProto(v))
	if err != nil {
		return err
	}
	next := changedView(v, changes)
	delta, err := proto.Marshal(ownership.ViewDelta(v, next))
	if err != nil {
		return err
	}
	s.addSample(RecordBytes, "B", x, float64(len(record)))
	s.addSample(ViewBytes, "B", x, float64(len(full)))
	s.addSample(DeltaBytes, "B", x, float64(len(delta)))
	s.addSample(ViewEncodeCPU, "ns", x, cpuPerCall(budget, func() { _, err = proto.Marshal(ownership.ViewToProto(v)) }))
	s.addSample(ViewDecodeCPU, "ns", x, cpuPerCall(budget, func() { _, err = decodeView(nil, full) }))
	s.addSample(DeltaMakeCPU, "ns", x, cpuPerCall(budget, func() { _, err = proto.Marshal(ownership.ViewDelta(v, next)) }))
	s.addSample(DeltaApplyCPU, "ns", x, cpuPerCall(budget, func() { _, err = decodeView(v, delta) }))
	s.addSample(ViewHeap, "B", x, heapOf(func() any {
		decoded, _ := decodeView(nil, full)
		return decoded
	}))
	s.addSample(LookupCPU, "ns", x, lookupCPU([]*ownership.View{v}, budget))
	return err
}

func decodeView(base *ownership.View, data []byte) (*ownership.View, error) {
	var m pb.GroupView
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	return ownership.ViewFromProto(base, &m)
}

// lookupKeys is the number of distinct keys that are looked up.
const lookupKeys = 1 << 16

func makeKeys() [][]byte {
	keys := make([][]byte, lookupKeys)
	for i := range keys {
		keys[i] = fmt.Appendf(nil, "tolerance-sheet-%08d", i)
	}
	return keys
}

// lookupCPU returns the processor nanoseconds of hashing one key and finding its owner.
func lookupCPU(views []*ownership.View, budget time.Duration) float64 {
	keys := makeKeys()
	return cpuPerCall(budget, func() { lookUp(views, keys, lookupKeys) }) / lookupKeys
}

// lookUp does count lookups, repeating the keys in turn, and returns the number of
// owners found.
func lookUp(views []*ownership.View, keys [][]byte, count int) (found int) {
	for i := range count {
		h := ownership.HashKey(keys[i%len(keys)])
		if _, ok := views[h.GroupIndex(len(views))].Lookup(h); ok {
			found++
		}
	}
	return found
}

func makeViews(groups int) []*ownership.View {
	views := make([]*ownership.View, groups)
	for i := range views {
		views[i] = makeView(fmt.Sprintf("group-%04d", i), viewTargets, viewSlots)
	}
	return views
}

func measureTableGroups(s *Sweep, groups int, budget time.Duration) error {
	x := float64(groups)
	s.addSample(TableHeap, "B", x, heapOf(func() any { return makeViews(groups) }))
	s.addSample(LookupCPU, "ns", x, lookupCPU(makeViews(groups), budget))
	return nil
}

// requestGroups is the number of groups in the table of the sweep over lookups.
const requestGroups = 512

func measureRequests(s *Sweep, requests int, _ time.Duration) error {
	views, keys := makeViews(requestGroups), makeKeys()
	start := cpuTime()
	lookUp(views, keys, requests)
	s.addSample(LookupsCPU, "ns", float64(requests), float64(cpuTime()-start))
	return nil
}
