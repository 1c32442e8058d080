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
	// Limit is zero for figures without a limit.
	Limit float64 `json:"limit,omitempty"`
}

// Missed tells whether the figure exceeds its limit.
func (r Row) Missed() bool { return r.Limit > 0 && r.Value > r.Limit }

// projection works out figures from fitted lines.
type projection struct {
	fits   map[string]Fit
	size   Size
	limits Limits
	d      Design
	rows   []Row
	err    error
}

// Project works out what each role costs at a size.
func Project(sweeps []Sweep, size Size, limits Limits, design Design) ([]Row, error) {
	p := &projection{fits: make(map[string]Fit), size: size, limits: limits, d: design}
	for _, s := range sweeps {
		for _, series := range s.Series {
			p.fits[s.Name+"/"+series.Name] = series.Fit
		}
	}
	p.entry()
	p.relay()
	p.assigner()
	p.supporter()
	p.store()
	p.claims()
	p.targetSide()
	p.node()
	p.recovery()
	return p.rows, p.err
}

func (p *projection) fit(sweep, series string) Fit {
	f, ok := p.fits[sweep+"/"+series]
	if !ok && p.err == nil {
		p.err = errors.Errorf("the projection needs the series %q of sweep %s", series, sweep)
	}
	return f
}

func (p *projection) row(role, figure, unit string, value, limit float64) {
	p.rows = append(p.rows, Row{role, figure, unit, value, limit})
}

func (p *projection) nodes() float64 { return float64(p.size.Nodes) }
func (p *projection) groups() float64 {
	return math.Ceil(float64(p.d.Targets) / float64(p.d.TargetsPerGroup))
}

func (p *projection) slotsPerTarget() float64 {
	return float64(p.d.SlotsPerGroup) / float64(p.d.TargetsPerGroup)
}

// table returns a cost of one group's table at the design's slots and targets.
func (p *projection) table(series string) float64 {
	bySlots := p.fit(SweepSlots, series)
	byTargets := p.fit(SweepViewTargets, series)
	return bySlots.At(float64(p.d.SlotsPerGroup)) + byTargets.Slope*float64(p.d.TargetsPerGroup-viewTargets)
}

// delta returns a cost of a delta with a number of changed slots.
func (p *projection) delta(series string, changes float64) float64 {
	targets := float64(p.d.TargetsPerGroup)
	if p.d.Planned.SmallDeltas && series == DeltaBytes {
		targets = 0 // The states of targets travel only when they change.
	}
	byTargets := p.fit(SweepViewTargets, series)
	return p.fit(SweepChanges, series).At(changes) + byTargets.Slope*(targets-viewTargets)
}

// updates are the rates at which a node receives changes.
type updates struct{ deltas, complete, bundles float64 }

// churn returns the restarts and failures of nodes, per second.
func (p *projection) churn() float64 {
	return (p.size.FailuresPerDay + p.size.RestartsPerDay) / secondsPerDay
}

// targetChurn assumes that targets restart as often as nodes do.
func (p *projection) targetChurn() float64 {
	return p.churn() * float64(p.d.Targets) / p.nodes()
}

// pinChanges counts the pinning of each new hot key and the unpinning of an old one.
func (p *projection) pinChanges() float64 { return 2 * p.size.HotKeys / p.size.HotKeyTurn }

// moveBatches is the number of steps in which a target's slots move away and back.
func (p *projection) moveBatches() float64 {
	return 2 * math.Ceil(p.slotsPerTarget()/assign.DefaultMaxMoves)
}

func (p *projection) updates() updates {
	// A move publishes a view without the old owner and one with the new.
	u := updates{
		deltas:   2*p.moveBatches()*p.targetChurn() + p.pinChanges(),
		complete: p.churn() * p.groups() / p.nodes(),
		bundles:  p.size.ChangesPerDay / secondsPerDay,
	}
	big := p.pinChanges() + 2*p.d.ReplacedShare*p.targetChurn()
	if p.d.Planned.SmallDeltas {
		u.deltas += big
	} else {
		u.complete += big
	}
	return u
}

// bundleBytes is the size of one change of configuration as sent.
func (p *projection) bundleBytes() float64 {
	f := p.fit(SweepClasses, DocumentBytes)
	if p.d.Planned.SmallDeltas {
		return f.Slope
	}
	return f.At(float64(p.d.Classes))
}

// updateBytes is what one subscriber receives per second.
func (p *projection) updateBytes() float64 {
	u := p.updates()
	tables := u.deltas*p.delta(DeltaBytes, assign.DefaultMaxMoves) + u.complete*p.table(ViewBytes)
	return tables + u.bundles*p.bundleBytes() + p.fit(SweepSubscribers, IdleBytes).Slope
}

// updateCPU is the processor time of applying updates, in seconds per second.
func (p *projection) updateCPU() float64 {
	u := p.updates()
	parse := p.fit(SweepClasses, ParseCPU)
	bundle := parse.At(float64(p.d.Classes))
	if p.d.Planned.SmallDeltas {
		bundle = parse.Slope
	}
	ns := u.deltas*p.delta(DeltaApplyCPU, assign.DefaultMaxMoves) + u.complete*p.table(ViewDecodeCPU) + u.bundles*bundle
	return ns / 1e9
}

func (p *projection) tables() float64 { return p.groups() * p.table(ViewHeap) }

func (p *projection) entry() {
	lookup := p.fit(SweepTableGroups, LookupCPU).At(p.groups())
	p.row("entry", "requests of one node", "1/s", p.size.RequestsPerSecond/p.nodes(), 0)
	p.row("entry", "lookups, CPU of one core (data path)", "share", p.size.RequestsPerSecond/p.nodes()*lookup/1e9, 0)
	p.row("entry", "tables in memory", "B", p.tables(), p.limits.NodeBytes)
	p.row("entry", "keys in one slot", "", p.size.Keys/(p.groups()*float64(p.d.SlotsPerGroup)), 0)
	p.row("entry", "updates received", "B/s", p.updateBytes(), p.limits.NodeBytesPerSecond)
	p.row("entry", "updates applied, CPU of one core", "share", p.updateCPU(), p.limits.NodeCPU)
}

func (p *projection) relay() {
	u := p.updates()
	children := float64(p.d.FanOut + 1)
	wire := p.fit(SweepSubscribers, UpdateCPU)
	p.row("relay", "view updates", "1/s", u.deltas+u.complete, 0)
	p.row("relay", "bytes sent by an inner node", "B/s", p.updateBytes()*children, p.limits.NodeBytesPerSecond)
	p.row("relay", "CPU of an inner node and its children's ends", "share", (u.deltas+u.complete)*wire.At(children)/1e9, p.limits.NodeCPU)
	followed := p.groups() * float64(p.d.Candidates)
	if p.d.Planned.RootsOnly {
		followed = p.groups()
	}
	perEnd := p.fit(SweepSubscribers, SubscriberHeap).Slope / 2
	p.row("relay", "streams of a root to sources", "", followed, 0)
	p.row("relay", "memory of a root's streams", "B", followed*perEnd, p.limits.NodeBytes)
	p.row("relay", "bytes of a root's quiet streams", "B/s", followed*p.fit(SweepSubscribers, IdleBytes).Slope, p.limits.NodeBytesPerSecond)
	p.row("relay", "memory of an inner node's streams", "B", children*perEnd, p.limits.NodeBytes)
	p.row("relay", "place in the tree, each second", "share", p.fit(SweepMembers, PlaceCPU).At(p.nodes())/1e9, p.limits.NodeCPU)
}

// renewalRate is the number of renewals per second of one group.
func (p *projection) renewalRate() float64 {
	return float64(p.d.TargetsPerGroup) * p.d.HeartbeatsPerSecond
}

func (p *projection) assigner() {
	core := p.fit(SweepTargets, CoreCPU).At(float64(p.d.TargetsPerGroup)) / 1e9
	wire := p.fit(SweepRenewals, WireCPU).Slope / 1e9
	bytes := p.fit(SweepRenewals, WireBytes).Slope
	perNode := p.groups() / p.nodes()
	p.row("assigner", "groups", "", p.groups(), 0)
	p.row("assigner", "core of one group, CPU", "share", core, p.limits.NodeCPU)
	p.row("assigner", "renewals of one group", "1/s", p.renewalRate(), 0)
	p.row("assigner", "renewals of one group, CPU of both ends", "share", p.renewalRate()*wire, p.limits.NodeCPU)
	p.row("assigner", "renewals of one group", "B/s", p.renewalRate()*bytes, p.limits.NodeBytesPerSecond)
	p.row("assigner", "renewals, mean over nodes", "B/s", p.renewalRate()*bytes*perNode, p.limits.NodeBytesPerSecond)
	p.row("assigner", "renewals, CPU of both ends, mean over nodes", "share", p.renewalRate()*wire*perNode, p.limits.NodeCPU)
	p.row("assigner", "memory of one group's core", "B", p.fit(SweepTargets, CoreHeap).At(float64(p.d.TargetsPerGroup)), p.limits.NodeBytes)
}

func (p *projection) supporter() {
	// Each candidate answers the assigner, which asks all others.
	messages := p.groups() * float64(p.d.Candidates-1) * p.d.HeartbeatsPerSecond / p.nodes()
	p.row("supporter", "support messages answered, mean over nodes", "1/s", messages, 0)
	p.row("supporter", "bytes, mean over nodes", "B/s", messages*p.fit(SweepSupport, SupportBytes).At(1), p.limits.NodeBytesPerSecond)
	p.row("supporter", "CPU of both ends, mean over nodes", "share", messages*p.fit(SweepSupport, SupportCPU).At(1)/1e9, p.limits.NodeCPU)
	p.row("supporter", "bytes of an assigner of one group", "B/s",
		float64(p.d.Candidates-1)*p.d.HeartbeatsPerSecond*p.fit(SweepSupport, SupportBytes).At(1), p.limits.NodeBytesPerSecond)
}

// tableWrites are the writes per second of records.
func (p *projection) tableWrites() float64 {
	takeOvers := p.churn() * p.groups() / p.nodes()
	return takeOvers + p.moveBatches()*p.targetChurn() + p.pinChanges()
}

func (p *projection) store() {
	// A change of configuration writes the bundle and the name of the current one.
	bundles := 2 * p.size.ChangesPerDay / secondsPerDay
	p.row("store", "writes of tables", "1/s", p.tableWrites(), p.limits.WritesPerSecond)
	p.row("store", "writes of bundles", "1/s", bundles, p.limits.WritesPerSecond)
	p.row("store", "largest record", "B", p.table(RecordBytes), store.MaxValueBytes)
	left := p.limits.WritesPerSecond - p.tableWrites() - bundles
	perBatch := (store.MaxValueBytes - p.fit(SweepClaims, BatchBytes).Intercept) / p.fit(SweepClaims, BatchBytes).Slope
	p.row("store", "claims in a batch of the largest size", "", perBatch, 0)
	p.row("store", "share of requests that all writes could claim", "share", left*perBatch/p.size.RequestsPerSecond, 0)
	roots := float64(p.d.RootsPerDataCentre * p.size.DataCentres)
	watches := p.nodes()*float64(p.d.WatchesPerNode) + roots*float64(p.d.WatchesPerRoot)
	lists := p.d.ListReadsPerSecond
	if p.d.Planned.RootsOnly {
		lists = roots / listInterval
	}
	p.row("store", "waiting watches and reads of the VM list", "1/s", watches+lists, p.limits.ReadsPerSecond)
}

// listInterval is the time between two reads of the VM list by one VM of a small
// fleet, in seconds.
const listInterval = 2

// opsPerRequest counts the claim and the finish.
const opsPerRequest = 2

func (p *projection) claims() {
	rate := p.size.RequestsPerSecond * p.d.OnceShare
	partitions := float64(p.d.ClaimPartitions)
	writes := partitions / claim.DefaultAppendInterval.Seconds()
	kept := rate * claim.DefaultRetention.Seconds()
	cpu := p.fit(SweepClaimRounds, ClaimServiceCPU).Slope / 1e9
	p.row("claims", "writes of all partitions", "1/s", writes, p.limits.WritesPerSecond)
	p.row("claims", "at-most-once requests against what the writes carry", "1/s", rate, writes*claim.DefaultMaxBatch/opsPerRequest)
	p.row("claims", "CPU of a partition's VM (data path)", "share", rate/partitions*cpu, 0)
	p.row("claims", "memory of a partition's VM", "B", kept/partitions*p.fit(SweepClaimsKept, ClaimHeap).Slope, p.limits.NodeBytes)
	p.row("claims", "bytes kept in the store", "B", kept*p.fit(SweepClaimRounds, ClaimWriteBytes).Slope, 0)
}

func (p *projection) targetSide() {
	p.row("target side", "renewals of one target", "B/s", p.d.HeartbeatsPerSecond*p.fit(SweepRenewals, WireBytes).Slope, 0)
	p.row("target side", "renewals of one target, CPU of both ends", "share", p.d.HeartbeatsPerSecond*p.fit(SweepRenewals, WireCPU).Slope/1e9, 0)
	p.row("target side", "connections if each entry opens one", "", p.nodes(), float64(p.d.TargetConnections))
}

// listBytes is the traffic of the VM list of one node.
func (p *projection) listBytes() float64 {
	entries := p.nodes() + float64(p.d.Targets)
	bytes := p.fit(SweepMembers, ListBytes).At(entries)
	if p.d.Planned.RootsOnly {
		// Below the roots only changes travel: one entry each.
		return p.fit(SweepMembers, ListBytes).Slope * 2 * (p.churn() + p.targetChurn())
	}
	return bytes * p.d.ListReadsPerSecond / p.nodes()
}

func (p *projection) node() {
	entries := p.nodes() + float64(p.d.Targets)
	lists := p.fit(SweepMembers, ListHeap).At(entries)
	records := p.groups() * p.table(RecordBytes)
	streams := float64(p.d.FanOut+1) * p.fit(SweepSubscribers, SubscriberHeap).Slope / 2
	p.row("node", "VM list traffic", "B/s", p.listBytes(), p.limits.NodeBytesPerSecond)
	p.row("node", "VM list in memory", "B", lists, p.limits.NodeBytes)
	live := 2*p.tables() + records + lists + streams
	p.row("node", "both processes, live: tables, records, list, streams", "B", live, p.limits.NodeBytes)
	p.row("node", "both processes at the collector's default goal", "B", collectorGoal*live, p.limits.NodeBytes)
	p.row("node", "traffic of a leaf", "B/s", p.updateBytes()+p.listBytes(), p.limits.NodeBytesPerSecond)
	leafCPU := 2*p.updateCPU() + p.fit(SweepMembers, PlaceCPU).At(p.nodes())/1e9
	p.row("node", "CPU of a leaf, both processes", "share", leafCPU, p.limits.NodeCPU)
}

func (p *projection) recovery() {
	p.loss("loss of a rack", float64(p.size.RackNodes))
	p.loss("loss of a data centre", p.nodes()/float64(p.size.DataCentres))
	// After an hour each group has changed; a cut-off root takes every view whole.
	hour := p.groups() * p.table(ViewBytes)
	roots := float64(p.d.RootsPerDataCentre*p.size.DataCentres) / float64(p.size.Regions)
	p.row("an hour between regions", "bytes to bring one root up to date", "B", hour, 0)
	p.row("an hour between regions", "bytes into the region for all its roots", "B", hour*roots, 0)
	p.row("an hour between regions", "table changes missed", "", 3600*(p.updates().deltas+p.updates().complete), 0)
}

// loss works out what follows when a share of the nodes, and of the targets
// with them, is lost at once.
func (p *projection) loss(event string, nodes float64) {
	share := nodes / p.nodes()
	slots := share * p.groups() * float64(p.d.SlotsPerGroup)
	writes := p.groups()*math.Min(1, share*float64(p.d.TargetsPerGroup)) + share*p.groups()
	changed := p.groups() * math.Min(1, share*float64(p.d.TargetsPerGroup))
	perDelta := slots / math.Max(changed, 1)
	p.row(event, "nodes", "", nodes, 0)
	p.row(event, "groups that lose their assigner", "", share*p.groups(), 0)
	p.row(event, "slots that move", "", slots, 0)
	p.row(event, "writes of records", "", writes, 0)
	p.row(event, "seconds of writes at the store's limit", "s", writes/p.limits.WritesPerSecond, 3)
	p.row(event, "bytes received by each node", "B", changed*p.delta(DeltaBytes, perDelta), 0)
}
