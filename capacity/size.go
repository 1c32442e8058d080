package capacity

import (
	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/relay"
)

const (
	secondsPerDay = 86_400.0
	megabyte      = 1e6
	kilobyte      = 1e3
	// collectorGoal is the heap at which the garbage collector runs by default,
	// as a multiple of the live heap.
	heapGrowthFactor = 2
)

// Size is the size to design for.
type Size struct {
	Nodes, Regions, DataCentres int
	Keys, RequestsPerSecond     float64
	// HotKeys change once in HotKeyTurn seconds.
	HotKeys, HotKeyPeriod float64
	// ChangesPerDay counts changes of configuration.
	ChangesPerDay, FailuresPerDay, RestartsPerDay float64
	// RackNodes is the number of nodes behind one rack or switch.
	NodesPerRack int
}

// Limits bound what control may cost.
type Limits struct {
	// NodeCPU is a share of one core, NodeBytes a number, NodeBytesPerSecond a rate.
	NodeCPU, NodeMemoryBytes, NodeBytesPerSecond float64
	// WritesPerSecond and ReadsPerSecond bound the calls of the object API.
	WritesPerSecond, ReadsPerSecond float64
}

// Design is how the system is laid out at a size.
type Design struct {
	// Targets is the number of targets over all pools.
	Targets, TargetsPerGroup, SlotsPerGroup int
	// Candidates is the number of candidate VMs of a group.
	Candidates int
	// HeartbeatsPerSecond is the rate of renewals and of support requests.
	HeartbeatsPerSecond float64
	// FanOut and RootsPerDataCentre shape the relay tree.
	FanOut, RootsPerDataCentre int
	// Classes is the number of classes in the bundle.
	Classes int
	// ReplacedShare is the share of restarted targets that return under another name.
	RenamedTargetShare float64
	// TargetConnections is the number of connections that a target accepts.
	TargetConnections int
	// OnceShare is the share of at-most-once requests.
	AtMostOnceShare float64
	// ClaimPartitions is the number of logs of claims; each has one VM that appends.
	ClaimPartitions int
	// WatchesPerNode and WatchesPerRoot count the watches of the store that wait
	// on each node and, beyond those, on each relay root.
	WatchesPerNode, WatchesPerRoot int
	// ListReadsPerSecond is the rate at which all VMs together read the VM list.
	VMListReadsPerSecond float64
	// Planned mechanisms that are not built.
	Planned Planned
}

// Planned selects mechanisms that are not built; the projection shows what each
// would change.
type Planned struct {
	// RootsOnly lets only relay roots read the VM list, and lets them follow only
	// VMs that assign a group.
	VMListAtRootsOnly bool
	// SmallDeltas sends changes of pins, targets and the bundle as deltas, and the
	// states of targets only when they change.
	SmallDeltas bool
}

// DefaultSize returns the size to design for.
func DefaultSize() Size {
	return Size{
		Nodes: 19_000, Regions: 5, DataCentres: 15,
		Keys: 23e9, RequestsPerSecond: 140e6, HotKeys: 880, HotKeyPeriod: 300,
		ChangesPerDay: 70_000, FailuresPerDay: 61, RestartsPerDay: 6_200, NodesPerRack: 40,
	}
}

// DefaultLimits returns the limits at the size to design for.
func DefaultLimits() Limits {
	return Limits{
		NodeCPU: 0.015, NodeMemoryBytes: 64 * megabyte, NodeBytesPerSecond: 3 * kilobyte,
		WritesPerSecond: 300, ReadsPerSecond: 2_000,
	}
}

// BuiltDesign returns the layout with the mechanisms that exist.
func BuiltDesign() Design {
	return Design{
		Targets: 70_000, TargetsPerGroup: 100, SlotsPerGroup: 1024, Candidates: 5,
		HeartbeatsPerSecond: 1 / assign.DefaultHeartbeat.Seconds(),
		FanOut:              relay.FanOut, RootsPerDataCentre: relay.RootsPerDataCentre,
		Classes: 1000, RenamedTargetShare: 0.5, TargetConnections: 110, VMListReadsPerSecond: 200,
		WatchesPerNode: 2, WatchesPerRoot: 2, // The quarantine in both processes; records and bundles.
		AtMostOnceShare: 0.001, ClaimPartitions: claim.DefaultPartitions,
	}
}

// PlannedDesign returns the layout with the planned mechanisms.
func PlannedDesign() Design {
	d := BuiltDesign()
	d.Planned = Planned{VMListAtRootsOnly: true, SmallDeltas: true}
	d.WatchesPerNode, d.WatchesPerRoot = 0, 3
	return d
}
