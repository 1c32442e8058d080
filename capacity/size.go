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
	// heapGrowthFactor is the heap size at which the garbage collector runs by
	// default, as a multiple of the live heap.
	heapGrowthFactor = 2
)

// Size describes the system and the load to design for.
type Size struct {
	Nodes, Regions, DataCentres int
	Keys, RequestsPerSecond     float64
	// HotKeys is the number of hot keys; all are replaced once in HotKeyPeriod seconds.
	HotKeys, HotKeyPeriod float64
	// ChangesPerDay counts changes of configuration. FailuresPerDay and RestartsPerDay count
	// failures and restarts of nodes.
	ChangesPerDay, FailuresPerDay, RestartsPerDay float64
	// NodesPerRack is the number of nodes behind one rack or switch.
	NodesPerRack int
}

// Limits bounds the cost of the control traffic.
type Limits struct {
	// NodeCPU bounds the processor time per node, as a share of one core.
	// NodeMemoryBytes bounds its memory, and NodeBytesPerSecond its traffic.
	NodeCPU, NodeMemoryBytes, NodeBytesPerSecond float64
	// WritesPerSecond and ReadsPerSecond bound the calls to the object API.
	WritesPerSecond, ReadsPerSecond float64
}

// Design is the layout of the system at a size.
type Design struct {
	// Targets is the number of targets in all pools. TargetsPerGroup and SlotsPerGroup are
	// the size of each group.
	Targets, TargetsPerGroup, SlotsPerGroup int
	// Candidates is the number of candidate VMs of a group.
	Candidates int
	// HeartbeatsPerSecond is the rate of renewals and of support requests.
	HeartbeatsPerSecond float64
	// FanOut is the greatest number of children of a node in the relay tree, and
	// RootsPerDataCentre the number of its roots in each data centre.
	FanOut, RootsPerDataCentre int
	// Classes is the number of classes in the bundle.
	Classes int
	// RenamedTargetShare is the share of restarted targets that return under another name.
	RenamedTargetShare float64
	// TargetConnections is the number of connections that a target accepts.
	TargetConnections int
	// AtMostOnceShare is the share of requests that are at-most-once.
	AtMostOnceShare float64
	// ClaimPartitions is the number of claim logs; one VM appends to each of them.
	ClaimPartitions int
	// WatchesPerNode is the number of store watches that each node keeps open, and
	// WatchesPerRoot the number that each relay root keeps open in addition.
	WatchesPerNode, WatchesPerRoot int
	// VMListReadsPerSecond is the rate at which all VMs together read the VM list.
	VMListReadsPerSecond float64
	// Planned selects the planned mechanisms to include.
	Planned Planned
}

// Planned selects mechanisms that are not built yet; the projection shows what
// each would change.
type Planned struct {
	// VMListAtRootsOnly lets only relay roots read the VM list, and lets them follow
	// only VMs that assign a group.
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

// DefaultLimits returns the limits that hold at the size to design for.
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
		WatchesPerNode: 2, WatchesPerRoot: 2, // Node: the quarantine, in both processes. Root: records and bundles.
		AtMostOnceShare: 0.001, ClaimPartitions: claim.DefaultPartitions,
	}
}

// PlannedDesign returns the layout with the planned mechanisms as well.
func PlannedDesign() Design {
	d := BuiltDesign()
	d.Planned = Planned{VMListAtRootsOnly: true, SmallDeltas: true}
	d.WatchesPerNode, d.WatchesPerRoot = 0, 3
	return d
}
