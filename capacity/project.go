package capacity

import (
	"math"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/store"
)

// Row is one figure of a projection.
type Row struct {
	Role   string  `json:"role"`
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Value  float64 `json:"value"`
	// Limit is the highest permitted value; zero means no limit.
	Limit float64 `json:"limit,omitempty"`
}

// Missed reports whether the value exceeds the limit.
func (r Row) Missed() bool { return r.Limit > 0 && r.Value > r.Limit }

// projection computes figures from fitted lines. It keeps the first error.
type projection struct {
	fits   map[string]Fit
	size   Size
	limits Limits
	design Design
	rows   []Row
	err    error
}

// Project computes what each role costs at a size under a design. It returns an
// error if a series that it needs is missing from the sweeps.
func Project(sweeps []Sweep, size Size, limits Limits, design Design) ([]Row, error) {
	p := &projection{fits: make(map[string]Fit), size: size, limits: limits, design: design}
	for _, s := range sweeps {
		for _, series := range s.Series {
			p.fits[s.Name+"/"+series.Name] = series.Fit
		}
	}
	p.addEntryRows()
	p.addRelayRows()
	p.addAssignerRows()
	p.addSupporterRows()
	p.addStoreRows()
	p.addClaimRows()
	p.addTargetRows()
	p.addNodeRows()
	p.addRecoveryRows()
	return p.rows, p.err
}

func (p *projection) fit(sweep, series string) Fit {
	f, ok := p.fits[sweep+"/"+series]
	if !ok && p.err == nil {
		p.err = errors.Errorf("cannot project: missing series %q of sweep %s", series, sweep)
	}
	return f
}

func (p *projection) addRow(role, figure, unit string, value, limit float64) {
	p.rows = append(p.rows, Row{role, figure, unit, value, limit})
}

func (p *projection) nodes() float64 { return float64(p.size.Nodes) }
func (p *projection) groups() float64 {
	return math.Ceil(float64(p.design.Targets) / float64(p.design.TargetsPerGroup))
}

func (p *projection) slotsPerTarget() float64 {
	return float64(p.design.SlotsPerGroup) / float64(p.design.TargetsPerGroup)
}

// tableCost returns a cost of one group's table with the design's numbers of slots
// and targets. The slots sweep was measured with viewTargets targets.
func (p *projection) tableCost(series string) float64 {
	bySlots := p.fit(SweepSlots, series)
	byTargets := p.fit(SweepViewTargets, series)
	return bySlots.At(float64(p.design.SlotsPerGroup)) + byTargets.Slope*float64(p.design.TargetsPerGroup-viewTargets)
}

// deltaCost returns a cost of a delta with a number of changed slots.
func (p *projection) deltaCost(series string, changes float64) float64 {
	targets := float64(p.design.TargetsPerGroup)
	if p.design.Planned.SmallDeltas && series == DeltaBytes {
		targets = 0 // The states of targets are sent only when they change.
	}
	byTargets := p.fit(SweepViewTargets, series)
	return p.fit(SweepChanges, series).At(changes) + byTargets.Slope*(targets-viewTargets)
}

// updateRates are the rates per second at which a node receives deltas, complete
// views and bundles.
type updateRates struct{ deltas, complete, bundles float64 }

// churn returns the number of node restarts and failures per second.
func (p *projection) churn() float64 {
	return (p.size.FailuresPerDay + p.size.RestartsPerDay) / secondsPerDay
}

// targetChurn returns the number of target restarts per second. It assumes that a
// target restarts as often as a node.
func (p *projection) targetChurn() float64 {
	return p.churn() * float64(p.design.Targets) / p.nodes()
}

// pinChanges returns the changes of pins per second: each new hot key is pinned,
// and an old one unpinned.
func (p *projection) pinChanges() float64 { return 2 * p.size.HotKeys / p.size.HotKeyPeriod }

// moveBatches returns the number of batches in which a target's slots move away and back.
func (p *projection) moveBatches() float64 {
	return 2 * math.Ceil(p.slotsPerTarget()/assign.DefaultMaxMoves)
}

func (p *projection) updates() updateRates {
	// A move publishes two views: one without the old owner, one with the new owner.
	u := updateRates{
		deltas:   2*p.moveBatches()*p.targetChurn() + p.pinChanges(),
		complete: p.churn() * p.groups() / p.nodes(),
		bundles:  p.size.ChangesPerDay / secondsPerDay,
	}
	pinAndTargetChanges := p.pinChanges() + 2*p.design.RenamedTargetShare*p.targetChurn()
	if p.design.Planned.SmallDeltas {
		u.deltas += pinAndTargetChanges
	} else {
		u.complete += pinAndTargetChanges
	}
	return u
}

// bundleBytes returns the number of bytes sent for one change of configuration.
func (p *projection) bundleBytes() float64 {
	f := p.fit(SweepClasses, DocumentBytes)
	if p.design.Planned.SmallDeltas {
		return f.Slope
	}
	return f.At(float64(p.design.Classes))
}

// updateBytes returns the bytes per second that one subscriber receives.
func (p *projection) updateBytes() float64 {
	u := p.updates()
	tables := u.deltas*p.deltaCost(DeltaBytes, assign.DefaultMaxMoves) + u.complete*p.tableCost(ViewBytes)
	return tables + u.bundles*p.bundleBytes() + p.fit(SweepSubscribers, IdleBytes).Slope
}

// updateCPU returns the processor time of applying updates, in seconds per second.
func (p *projection) updateCPU() float64 {
	u := p.updates()
	parse := p.fit(SweepClasses, ParseCPU)
	bundle := parse.At(float64(p.design.Classes))
	if p.design.Planned.SmallDeltas {
		bundle = parse.Slope
	}
	ns := u.deltas*p.deltaCost(DeltaApplyCPU, assign.DefaultMaxMoves) + u.complete*p.tableCost(ViewDecodeCPU) + u.bundles*bundle
	return ns / 1e9
}

// tablesHeap returns the heap bytes of the tables of all groups.
func (p *projection) tablesHeap() float64 { return p.groups() * p.tableCost(ViewHeap) }

func (p *projection) addEntryRows() {
	lookup := p.fit(SweepTableGroups, LookupCPU).At(p.groups())
	p.addRow("entry", "requests of one node", "1/s", p.size.RequestsPerSecond/p.nodes(), 0)
	p.addRow("entry", "lookups, CPU of one core (data path)", "share", p.size.RequestsPerSecond/p.nodes()*lookup/1e9, 0)
	p.addRow("entry", "tables in memory", "B", p.tablesHeap(), p.limits.NodeMemoryBytes)
	p.addRow("entry", "keys in one slot", "", p.size.Keys/(p.groups()*float64(p.design.SlotsPerGroup)), 0)
	p.addRow("entry", "updates received", "B/s", p.updateBytes(), p.limits.NodeBytesPerSecond)
	p.addRow("entry", "updates applied, CPU of one core", "share", p.updateCPU(), p.limits.NodeCPU)
}

func (p *projection) addRelayRows() {
	u := p.updates()
	children := float64(p.design.FanOut + 1)
	wire := p.fit(SweepSubscribers, UpdateCPU)
	p.addRow("relay", "view updates", "1/s", u.deltas+u.complete, 0)
	p.addRow("relay", "bytes sent by an inner node", "B/s", p.updateBytes()*children, p.limits.NodeBytesPerSecond)
	p.addRow("relay", "CPU of an inner node and its children's ends", "share", (u.deltas+u.complete)*wire.At(children)/1e9, p.limits.NodeCPU)
	followed := p.groups() * float64(p.design.Candidates)
	if p.design.Planned.VMListAtRootsOnly {
		followed = p.groups()
	}
	perEnd := p.fit(SweepSubscribers, SubscriberHeap).Slope / 2
	p.addRow("relay", "streams of a root to sources", "", followed, 0)
	p.addRow("relay", "memory of a root's streams", "B", followed*perEnd, p.limits.NodeMemoryBytes)
	p.addRow("relay", "bytes of a root's quiet streams", "B/s", followed*p.fit(SweepSubscribers, IdleBytes).Slope, p.limits.NodeBytesPerSecond)
	p.addRow("relay", "memory of an inner node's streams", "B", children*perEnd, p.limits.NodeMemoryBytes)
	p.addRow("relay", "place in the tree, each second", "share", p.fit(SweepVMList, PlaceCPU).At(p.nodes())/1e9, p.limits.NodeCPU)
}

// renewalRate returns the number of renewals per second of one group.
func (p *projection) renewalRate() float64 {
	return float64(p.design.TargetsPerGroup) * p.design.HeartbeatsPerSecond
}

func (p *projection) addAssignerRows() {
	core := p.fit(SweepTargets, CoreCPU).At(float64(p.design.TargetsPerGroup)) / 1e9
	wire := p.fit(SweepRenewals, WireCPU).Slope / 1e9
	bytes := p.fit(SweepRenewals, WireBytes).Slope
	perNode := p.groups() / p.nodes()
	p.addRow("assigner", "groups", "", p.groups(), 0)
	p.addRow("assigner", "core of one group, CPU", "share", core, p.limits.NodeCPU)
	p.addRow("assigner", "renewals of one group", "1/s", p.renewalRate(), 0)
	p.addRow("assigner", "renewals of one group, CPU of both ends", "share", p.renewalRate()*wire, p.limits.NodeCPU)
	p.addRow("assigner", "renewals of one group", "B/s", p.renewalRate()*bytes, p.limits.NodeBytesPerSecond)
	p.addRow("assigner", "renewals, mean over nodes", "B/s", p.renewalRate()*bytes*perNode, p.limits.NodeBytesPerSecond)
	p.addRow("assigner", "renewals, CPU of both ends, mean over nodes", "share", p.renewalRate()*wire*perNode, p.limits.NodeCPU)
	p.addRow("assigner", "memory of one group's core", "B", p.fit(SweepTargets, CoreHeap).At(float64(p.design.TargetsPerGroup)), p.limits.NodeMemoryBytes)
}

func (p *projection) addSupporterRows() {
	// The assigner sends a request to all other candidates, and each of them replies.
	messages := p.groups() * float64(p.design.Candidates-1) * p.design.HeartbeatsPerSecond / p.nodes()
	p.addRow("supporter", "support messages answered, mean over nodes", "1/s", messages, 0)
	p.addRow("supporter", "bytes, mean over nodes", "B/s", messages*p.fit(SweepSupport, SupportBytes).At(1), p.limits.NodeBytesPerSecond)
	p.addRow("supporter", "CPU of both ends, mean over nodes", "share", messages*p.fit(SweepSupport, SupportCPU).At(1)/1e9, p.limits.NodeCPU)
	p.addRow("supporter", "bytes of an assigner of one group", "B/s",
		float64(p.design.Candidates-1)*p.design.HeartbeatsPerSecond*p.fit(SweepSupport, SupportBytes).At(1), p.limits.NodeBytesPerSecond)
}

// tableWrites returns the number of writes of records per second.
func (p *projection) tableWrites() float64 {
	takeOvers := p.churn() * p.groups() / p.nodes()
	return takeOvers + p.moveBatches()*p.targetChurn() + p.pinChanges()
}

func (p *projection) addStoreRows() {
	// A change of configuration takes two writes: the bundle and the name of the current one.
	bundles := 2 * p.size.ChangesPerDay / secondsPerDay
	p.addRow("store", "writes of tables", "1/s", p.tableWrites(), p.limits.WritesPerSecond)
	p.addRow("store", "writes of bundles", "1/s", bundles, p.limits.WritesPerSecond)
	p.addRow("store", "largest record", "B", p.tableCost(RecordBytes), store.MaxValueBytes)
	spareWrites := p.limits.WritesPerSecond - p.tableWrites() - bundles
	perBatch := (store.MaxValueBytes - p.fit(SweepClaims, BatchBytes).Intercept) / p.fit(SweepClaims, BatchBytes).Slope
	p.addRow("store", "claims in a batch of the largest size", "", perBatch, 0)
	p.addRow("store", "share of requests that all writes could claim", "share", spareWrites*perBatch/p.size.RequestsPerSecond, 0)
	roots := float64(p.design.RootsPerDataCentre * p.size.DataCentres)
	watches := p.nodes()*float64(p.design.WatchesPerNode) + roots*float64(p.design.WatchesPerRoot)
	lists := p.design.VMListReadsPerSecond
	if p.design.Planned.VMListAtRootsOnly {
		lists = roots / vmListInterval
	}
	p.addRow("store", "waiting watches and reads of the VM list", "1/s", watches+lists, p.limits.ReadsPerSecond)
}

// vmListInterval is the time in seconds between two reads of the VM list by one VM
// of a small fleet.
const vmListInterval = 2

// opsPerRequest is the number of claim operations per request: claim and finish.
const opsPerRequest = 2

func (p *projection) addClaimRows() {
	rate := p.size.RequestsPerSecond * p.design.AtMostOnceShare
	partitions := float64(p.design.ClaimPartitions)
	writes := partitions / claim.DefaultAppendInterval.Seconds()
	kept := rate * claim.DefaultRetention.Seconds()
	cpu := p.fit(SweepClaimRounds, ClaimServiceCPU).Slope / 1e9
	p.addRow("claims", "writes of all partitions", "1/s", writes, p.limits.WritesPerSecond)
	p.addRow("claims", "at-most-once requests against what the writes carry", "1/s", rate, writes*claim.DefaultMaxBatch/opsPerRequest)
	p.addRow("claims", "CPU of a partition's VM (data path)", "share", rate/partitions*cpu, 0)
	p.addRow("claims", "memory of a partition's VM", "B", kept/partitions*p.fit(SweepClaimsKept, ClaimHeap).Slope, p.limits.NodeMemoryBytes)
	p.addRow("claims", "bytes kept in the store", "B", kept*p.fit(SweepClaimRounds, ClaimWriteBytes).Slope, 0)
}

func (p *projection) addTargetRows() {
	p.addRow("target side", "renewals of one target", "B/s", p.design.HeartbeatsPerSecond*p.fit(SweepRenewals, WireBytes).Slope, 0)
	p.addRow("target side", "renewals of one target, CPU of both ends", "share", p.design.HeartbeatsPerSecond*p.fit(SweepRenewals, WireCPU).Slope/1e9, 0)
	p.addRow("target side", "connections if each entry opens one", "", p.nodes(), float64(p.design.TargetConnections))
}

// listBytes returns the bytes per second that one node receives of the VM list.
func (p *projection) listBytes() float64 {
	entries := p.nodes() + float64(p.design.Targets)
	bytes := p.fit(SweepVMList, ListBytes).At(entries)
	if p.design.Planned.VMListAtRootsOnly {
		// Only changes are sent below the roots; each change is one entry.
		return p.fit(SweepVMList, ListBytes).Slope * 2 * (p.churn() + p.targetChurn())
	}
	return bytes * p.design.VMListReadsPerSecond / p.nodes()
}

func (p *projection) addNodeRows() {
	entries := p.nodes() + float64(p.design.Targets)
	lists := p.fit(SweepVMList, ListHeap).At(entries)
	records := p.groups() * p.tableCost(RecordBytes)
	streams := float64(p.design.FanOut+1) * p.fit(SweepSubscribers, SubscriberHeap).Slope / 2
	p.addRow("node", "VM list traffic", "B/s", p.listBytes(), p.limits.NodeBytesPerSecond)
	p.addRow("node", "VM list in memory", "B", lists, p.limits.NodeMemoryBytes)
	live := 2*p.tablesHeap() + records + lists + streams
	p.addRow("node", "both processes, live: tables, records, list, streams", "B", live, p.limits.NodeMemoryBytes)
	p.addRow("node", "both processes at the collector's default goal", "B", heapGrowthFactor*live, p.limits.NodeMemoryBytes)
	p.addRow("node", "traffic of a leaf", "B/s", p.updateBytes()+p.listBytes(), p.limits.NodeBytesPerSecond)
	leafCPU := 2*p.updateCPU() + p.fit(SweepVMList, PlaceCPU).At(p.nodes())/1e9
	p.addRow("node", "CPU of a leaf, both processes", "share", leafCPU, p.limits.NodeCPU)
}

func (p *projection) addRecoveryRows() {
	p.addLossRows("loss of a rack", float64(p.size.NodesPerRack))
	p.addLossRows("loss of a data centre", p.nodes()/float64(p.size.DataCentres))
	// After an hour without a connection each group has changed, so a root receives
	// the complete view of every group.
	allViews := p.groups() * p.tableCost(ViewBytes)
	roots := float64(p.design.RootsPerDataCentre*p.size.DataCentres) / float64(p.size.Regions)
	p.addRow("an hour between regions", "bytes to bring one root up to date", "B", allViews, 0)
	p.addRow("an hour between regions", "bytes into the region for all its roots", "B", allViews*roots, 0)
	p.addRow("an hour between regions", "table changes missed", "", 3600*(p.updates().deltas+p.updates().complete), 0)
}

// addLossRows adds the cost of losing a number of nodes at once, together with the
// same share of the targets.
func (p *projection) addLossRows(event string, nodes float64) {
	share := nodes / p.nodes()
	slots := share * p.groups() * float64(p.design.SlotsPerGroup)
	writes := p.groups()*math.Min(1, share*float64(p.design.TargetsPerGroup)) + share*p.groups()
	changed := p.groups() * math.Min(1, share*float64(p.design.TargetsPerGroup))
	perDelta := slots / math.Max(changed, 1)
	p.addRow(event, "nodes", "", nodes, 0)
	p.addRow(event, "groups that lose their assigner", "", share*p.groups(), 0)
	p.addRow(event, "slots that move", "", slots, 0)
	p.addRow(event, "writes of records", "", writes, 0)
	p.addRow(event, "seconds of writes at the store's limit", "s", writes/p.limits.WritesPerSecond, 3)
	p.addRow(event, "bytes received by each node", "B", changed*p.deltaCost(DeltaBytes, perDelta), 0)
}
