// Package assigner runs an assign.Core for each group of which this VM is a
// candidate. It executes the cores' actions on the store, the targets and the
// peers, and answers requests of the peers.
package assigner

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/membership"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/relay"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/target"
)

// RecordPrefix is the prefix of the object API's keys of group records; the
// name of the group follows it.
const RecordPrefix = "groups/"

// Options configures an Assigner.
type Options struct {
	// Self is the ID of this VM.
	Self ownership.VMID
	// Incarnation identifies the start of this process.
	Incarnation uint64
	// Core holds the timings of every group's core. Its Group, Self, Incarnation
	// and Initial are set for each group.
	Core assign.Options
	// GroupSlots is the number of hashed slots of a new group of a keyed pool.
	GroupSlots uint32
	// CandidateCount is the number of candidates of a new group, and the number
	// that the replacement of lost candidates aims at.
	CandidateCount int

	Store   store.Store
	Targets *target.Client
	Peers   *peer.Client
	Members *membership.List
	// Hub receives the views that this VM's cores publish and holds those of
	// other assigners.
	Hub *relay.Hub

	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Assigner runs the cores of the groups of which this VM is a candidate.
type Assigner struct {
	opts    Options
	start   time.Time
	metrics *metrics

	// supporterMu guards supporter.
	supporterMu sync.Mutex
	supporter   *lease.Supporter

	// mu guards the fields below it, except wg.
	mu sync.Mutex
	// ctx is the context of Run; nil before.
	ctx context.Context
	wg  sync.WaitGroup
	// bundle is nil until a configuration bundle is in force.
	bundle *config.Bundle
	// records holds the newest record known of each group.
	records map[ownership.GroupID]storedRecord
	groups  map[ownership.GroupID]*group
	links   map[ownership.VMID]*supportLink
	// fetching holds, for each group, the highest candidate list version of the
	// support requests that started a read of the record.
	fetching map[ownership.GroupID]uint64
	// commandCount is the number of commands so far; their IDs are made from it.
	commandCount uint64
}

// New returns an Assigner without groups. Its monotonic clock starts at zero now.
func New(o Options) *Assigner {
	support := o.Core.Support
	if support == 0 {
		support = assign.DefaultSupport
	}
	a := &Assigner{
		opts: o, start: time.Now(), metrics: newMetrics(o.Registerer),
		supporter: lease.NewSupporter(0, support),
		records:   make(map[ownership.GroupID]storedRecord),
		groups:    make(map[ownership.GroupID]*group),
		links:     make(map[ownership.VMID]*supportLink),
		fetching:  make(map[ownership.GroupID]uint64),
	}
	o.Members.OnChange(func(*membership.Snapshot) { a.reconcile() })
	return a
}

// Run runs the cores until the context ends; it always returns nil. For a
// planned stop, call Drain before the context is cancelled.
func (a *Assigner) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	a.wg.Go(func() { a.followViews(ctx) })
	a.wg.Go(func() { a.replaceCandidates(ctx) })
	a.reconcile()
	<-ctx.Done()
	a.wg.Wait()
	return nil
}

// Drain hands all groups over to other candidates. It returns when nothing
// depends on this VM's cores any more, or when the context ends.
func (a *Assigner) Drain(ctx context.Context) {
	a.mu.Lock()
	groups := make([]*group, 0, len(a.groups))
	for _, g := range a.groups {
		groups = append(groups, g)
	}
	a.mu.Unlock()
	for _, g := range groups {
		g.deliver(assign.Stop{})
	}
	for _, g := range groups {
		select {
		case <-g.stopped:
		case <-ctx.Done():
			return
		}
	}
	flush, cancel := context.WithTimeout(ctx, linkReplyTimeout)
	defer cancel()
	a.flushLinks(flush)
}

// Apply replaces the configuration bundle: it starts cores for groups that are
// new to this VM and updates the targets of running cores.
func (a *Assigner) Apply(b *config.Bundle) {
	a.mu.Lock()
	a.bundle = b
	a.mu.Unlock()
	a.reconcile()
}

// now returns the time since New, from the monotonic clock.
func (a *Assigner) now() time.Duration { return time.Since(a.start) }

func (a *Assigner) answerSupport(req lease.SupportRequest) lease.SupportReply {
	a.supporterMu.Lock()
	defer a.supporterMu.Unlock()
	return a.supporter.Answer(a.now(), req)
}

// reconcile starts a core for each configured group of which this VM is a
// candidate, and delivers the present targets to all running cores. It does
// nothing before Run and before the first bundle.
func (a *Assigner) reconcile() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.bundle == nil {
		return
	}
	snapshot := a.opts.Members.Snapshot()
	for i := range a.bundle.Pools {
		pool := &a.bundle.Pools[i]
		targets := poolTargets(pool, snapshot)
		for _, id := range pool.Groups {
			ownTargets := groupTargets(pool, id, targets)
			a.reconcileGroup(id, pool, ownTargets, snapshot)
		}
	}
}

func (a *Assigner) reconcileGroup(id ownership.GroupID, pool *config.Pool, targets []assign.TargetInfo, snapshot *membership.Snapshot) {
	g := a.groups[id]
	if g == nil {
		initial := a.initialRecord(id, pool, targets, snapshot)
		if !a.isCandidate(id, initial) {
			return
		}
		g = a.newGroup(id, initial)
		a.groups[id] = g
		a.wg.Go(func() { g.run(a.ctx) })
		if v := a.opts.Hub.View(id); v != nil {
			g.deliver(assign.ViewReceived{View: v})
		}
	}
	g.deliver(assign.TargetsChanged{Targets: targets})
}

// isCandidate reports whether this VM is a candidate of a group, by the newest
// record known or, while none is known, by the initial record.
func (a *Assigner) isCandidate(id ownership.GroupID, initial *ownership.Record) bool {
	candidates := initial.Candidates
	if s, ok := a.records[id]; ok {
		if s.record == nil {
			return false
		}
		candidates = s.record.Candidates
	}
	return slices.Contains(candidates, a.opts.Self)
}

// followViews delivers the views that other assigners publish to the cores.
func (a *Assigner) followViews(ctx context.Context) {
	sub := a.opts.Hub.Subscribe(nil)
	defer sub.Close()
	delivered := make(map[ownership.GroupID]ownership.Token)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.Ready():
		}
		sub.Discard()
		for _, v := range a.opts.Hub.Views() {
			if delivered[v.Group].Less(v.Version()) {
				delivered[v.Group] = v.Version()
				a.deliverView(v)
			}
		}
	}
}

func (a *Assigner) deliverView(v *ownership.View) {
	a.mu.Lock()
	g := a.groups[v.Group]
	a.mu.Unlock()
	if g != nil && v.Assigner != a.opts.Self {
		g.deliver(assign.ViewReceived{View: v})
	}
}

// ViewSources returns the IDs of the VMs that may publish views: the candidates
// of all configured groups. It returns nil until the records of all groups are
// known.
func (a *Assigner) ViewSources() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bundle == nil {
		return nil
	}
	var out []string
	for _, pool := range a.bundle.Pools {
		for _, id := range pool.Groups {
			record := a.records[id].record
			if record == nil {
				return nil
			}
			for _, c := range record.Candidates {
				out = append(out, string(c))
			}
		}
	}
	return out
}

// Status describes one group by the newest view that this VM holds.
type Status struct {
	Group ownership.GroupID `json:"group"`
	// Assigning is true if this VM is the group's assigner.
	Assigning bool           `json:"assigning"`
	Assigner  ownership.VMID `json:"assigner"`
	Term      uint64         `json:"term"`
	Seq       uint64         `json:"seq"`
	Slots     int            `json:"slots"`
	Unowned   int            `json:"unowned"`
	Targets   int            `json:"targets"`
	Lost      int            `json:"lost"`
}

// Status returns the status of each group of which this VM holds a view.
func (a *Assigner) Status() []Status {
	var out []Status
	for _, v := range a.opts.Hub.Views() {
		out = append(out, a.groupStatus(v))
	}
	return out
}

func (a *Assigner) groupStatus(v *ownership.View) Status {
	s := Status{Group: v.Group, Assigner: v.Assigner, Term: v.Term, Seq: v.Seq, Slots: len(v.Slots), Targets: len(v.Targets)}
	s.Unowned = countUnowned(v)
	for _, state := range v.States {
		if state == ownership.TargetLost {
			s.Lost++
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.groups[v.Group]
	s.Assigning = g != nil && g.assigning.Load()
	return s
}

// countUnowned returns the number of hashed and pinned slots without an owner.
// It leaves out the slots of unpinned keys, which stay in the view but belong
// to no key.
func countUnowned(v *ownership.View) int {
	n := 0
	for _, slot := range v.Slots[:min(int(v.SlotCount), len(v.Slots))] {
		if slot.Owner == ownership.NoOwner {
			n++
		}
	}
	for _, slot := range v.Pinned {
		if int(slot) < len(v.Slots) && v.Slots[slot].Owner == ownership.NoOwner {
			n++
		}
	}
	return n
}
