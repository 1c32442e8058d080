// Package assigner runs the decision cores of the groups for which this VM is a
// candidate: it executes their actions on the store, the targets and the peers,
// and answers the peers' questions.
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

// RecordPrefix precedes the names of groups in the object API.
const RecordPrefix = "groups/"

// Options configures an Assigner.
type Options struct {
	// Self is this VM, Incarnation the start of this process.
	Self        ownership.VMID
	Incarnation uint64
	// Core gives the timings of each group's core; the identity fields are filled in.
	Core assign.Options
	// GroupSlots and Candidates shape the record of a group that does not exist yet.
	GroupSlots     uint32
	CandidateCount int

	Store   store.Store
	Targets *target.Client
	Peers   *peer.Client
	Members *membership.List
	// Hub receives the views that this VM's cores publish.
	Hub *relay.Hub

	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Assigner runs the cores of this VM.
type Assigner struct {
	opts    Options
	start   time.Time
	metrics *metrics

	supporterMu sync.Mutex
	supporter   *lease.Supporter

	mu      sync.Mutex
	ctx     context.Context
	wg      sync.WaitGroup
	bundle  *config.Bundle
	records map[ownership.GroupID]storedRecord
	groups  map[ownership.GroupID]*group
	links   map[ownership.VMID]*supportLink
	// learning holds the candidate list versions for which a record is being read.
	learning map[ownership.GroupID]uint64
	// commands counts the operators' commands, to name them.
	commands uint64
}

// New returns an Assigner without groups. Its monotonic clock starts now.
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
		learning:  make(map[ownership.GroupID]uint64),
	}
	o.Members.OnChange(func(*membership.Snapshot) { a.reconcile() })
	return a
}

// Run serves until the context ends; a planned stop calls Drain before.
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

// Drain hands all groups over and returns when nothing depends on this VM's
// cores any more, or when the context ends.
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
	flush, cancel := context.WithTimeout(ctx, silentLinkLimit)
	defer cancel()
	a.flushLinks(flush)
}

// Apply takes the groups of a configuration bundle into account.
func (a *Assigner) Apply(b *config.Bundle) {
	a.mu.Lock()
	a.bundle = b
	a.mu.Unlock()
	a.reconcile()
}

// now is the monotonic clock since the start of the process.
func (a *Assigner) now() time.Duration { return time.Since(a.start) }

func (a *Assigner) answerSupport(req lease.SupportRequest) lease.SupportReply {
	a.supporterMu.Lock()
	defer a.supporterMu.Unlock()
	return a.supporter.Answer(a.now(), req)
}

// reconcile starts a core for each configured group that counts this VM among
// its candidates, and tells running cores of the present targets.
func (a *Assigner) reconcile() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.bundle == nil {
		return
	}
	snapshot := a.opts.Members.Snapshot()
	for i := range a.bundle.Pools {
		pool := &a.bundle.Pools[i]
		targets := targetsOf(pool, snapshot)
		for _, id := range pool.Groups {
			shares := shareOf(pool, id, targets)
			a.reconcileGroup(id, pool, shares, snapshot)
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

// followViews tells the cores of views that other assigners published.
func (a *Assigner) followViews(ctx context.Context) {
	sub := a.opts.Hub.Subscribe(nil)
	defer sub.Close()
	seen := make(map[ownership.GroupID]ownership.Token)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.Ready():
		}
		sub.Discard()
		for _, v := range a.opts.Hub.Views() {
			if seen[v.Group].Less(v.Version()) {
				seen[v.Group] = v.Version()
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

// Sources names the VMs that may publish views: the candidates of all groups
// whose records are known, or nil while none is.
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

// Status describes one group as this VM sees it.
type Status struct {
	Group     ownership.GroupID `json:"group"`
	Assigning bool              `json:"assigning"`
	Assigner  ownership.VMID    `json:"assigner"`
	Term      uint64            `json:"term"`
	Seq       uint64            `json:"seq"`
	Slots     int               `json:"slots"`
	Unowned   int               `json:"unowned"`
	Targets   int               `json:"targets"`
	Lost      int               `json:"lost"`
}

// Status lists the groups known to this VM.
func (a *Assigner) Status() []Status {
	var out []Status
	for _, v := range a.opts.Hub.Views() {
		out = append(out, a.groupStatus(v))
	}
	return out
}

func (a *Assigner) groupStatus(v *ownership.View) Status {
	s := Status{Group: v.Group, Assigner: v.Assigner, Term: v.Term, Seq: v.Seq, Slots: len(v.Slots), Targets: len(v.Targets)}
	s.Unowned = unowned(v)
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

// unowned counts the hashed and pinned slots without an owner. The slot of a
// key that was unpinned stays in the view but belongs to no key.
func unowned(v *ownership.View) int {
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
