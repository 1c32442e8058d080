package shard

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/relayfeed"
)

const (
	// leadTick is the interval at which due orders are looked for.
	assignerTick = 25 * time.Millisecond
	// planInterval separates plans, and planRest follows one that the store did not take.
	planInterval   = 200 * time.Millisecond
	planRetryPause = 500 * time.Millisecond
	// recordInterval is the least time between two records that only drop former
	// owners.
	recordInterval = 500 * time.Millisecond
	// tableInterval is the least time between two tables, so that changes which come
	// together share one.
	tableInterval = 40 * time.Millisecond
	// targetsInterval is the least time between two reports on the targets. They are
	// the larger part of what the assigner sends.
	targetsInterval = 600 * time.Millisecond
	// loadMemory is the time constant of the keys' rates: short enough to find a hot
	// spot within half a second, long enough to average some reports.
	loadTimeConstant = 700 * time.Millisecond
	// feedFresh is the age of the role's confirmation from which the VMs no longer rely on
	// the changes that the assigner passes on. A change must be known everywhere within
	// 3 s, and the VMs wait for 700 ms and list.
	feedFreshLimit = 1700 * time.Millisecond
	// awayShare is the share of the role's lease without a confirmation from which leases
	// are made long. Before, another VM may take over if the store refuses this one only;
	// the rest must suffice to renew all owners.
	outageShare = 0.7
	// subscriberQueue bounds the updates that wait for a slow peer.
	followerQueueSize = 16
)

// errStopping ends the role of a VM that stops.
var errStopping = errors.New("shard: the VM is stopping")

// leader is a VM's time as the assigner.
type assigner struct {
	agent *Agent
	term  uint64
	// confirmedAt is the start of the last write of the role that succeeded.
	confirmedAt atomic.Int64
	// beats is the number of that write.
	beat atomic.Uint64
	// foreignUntil bounds the orders of the last assigner.
	predecessorUntil time.Duration
	stop             context.CancelCauseFunc
	ctx              context.Context
	done             chan struct{}

	results chan serviceResult
	saves   chan saveResult
	reports chan *pb.ShardReport

	services map[string]*serviceState
	targets  *targetStates
	// nextTargets is the earliest instant at which they are told again.
	nextTargets time.Duration

	mu        sync.Mutex
	followers map[*follower]struct{}
	// tables and vms are the last that were broadcast.
	tables map[string]*Table
	vms    []string
}

type serviceState struct {
	name    string
	leases  *LeaseManager
	load    *Load
	version store.Version
	// written is set once the record in the store bears this leader's term.
	written  bool
	saving   bool
	nextPlan time.Duration
	// nextUpdate is the earliest instant of the next record without moves.
	nextUpdate time.Duration
	// nextTable is the earliest instant of the next table.
	nextTable time.Duration
}

type serviceResult struct {
	service string
	result  Result
}

type saveResult struct {
	service string
	version store.Version
	err     error
}

// subscriber is a VM that follows this one.
type follower struct {
	address string
	queue   chan *pb.ShardUpdate
	// known are the revisions of the store that it has reported.
	known map[string]store.Version
	// reluctant is set if it leaves the role to others.
	delaysTakeOver bool
	// fed is set once changes of the store are passed on to it.
	relaying bool
	// dropped is set once the queue is closed.
	dropped bool
}

func newAssigner(ctx context.Context, agent *Agent, term uint64, confirmedAt, predecessorUntil time.Duration) *assigner {
	a := &assigner{
		agent: agent, term: term, predecessorUntil: predecessorUntil, done: make(chan struct{}),
		results: make(chan serviceResult), saves: make(chan saveResult), reports: make(chan *pb.ShardReport, 64),
		services: map[string]*serviceState{}, targets: newTargetStates(),
		followers: map[*follower]struct{}{}, tables: map[string]*Table{},
	}
	a.ctx, a.stop = context.WithCancelCause(ctx)
	a.confirmedAt.Store(int64(confirmedAt))
	return a
}

// run acts as the assigner and returns why it ended.
func (a *assigner) run(r role, version store.Version) error {
	ctx := a.ctx
	defer close(a.done)
	defer a.stop(nil)
	go a.confirmRole(ctx, r, version)
	tick := time.NewTicker(assignerTick)
	defer tick.Stop()
	lastReport, lastUpdate := boottime.Now(), boottime.Now()
	for {
		select {
		case <-ctx.Done():
			if context.Cause(ctx) == errStopping {
				a.stepDown(context.WithoutCancel(ctx))
			}
			return context.Cause(ctx)
		case r := <-a.results:
			if s := a.services[r.service]; s != nil {
				s.leases.HandleResult(r.result, boottime.Now())
			}
		case r := <-a.saves:
			a.handleSaved(r)
		case r := <-a.reports:
			a.applyReport(r)
		case <-tick.C:
			now := boottime.Now()
			if now-lastReport >= a.agent.opts.ReportInterval {
				lastReport = now
				a.applyReport(a.agent.opts.Report())
			}
			a.takeOverServices(ctx)
			if now-lastUpdate >= updateInterval {
				lastUpdate = now
				a.broadcast(a.changedTargets(now))
			}
		}
		a.act(ctx, boottime.Now())
	}
}

// newTargets returns what is new of the targets, at intervals.
func (a *assigner) changedTargets(now time.Duration) []*pb.TargetState {
	if now < a.nextTargets {
		return nil
	}
	a.nextTargets = now + targetsInterval
	return a.targets.takeChanged(now)
}

// handOver leaves things in order for a successor: the records as they are, and all
// owners renewed for long, should the store go away before another VM has taken
// the role over. Successors count such orders: they are under way for one timeout
// at most.
func (a *assigner) stepDown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, s := range a.services {
		if !s.leases.RecordOutdated() || s.saving {
			continue
		}
		r := s.leases.Record()
		r.Nonce = newNonce()
		if _, err := a.write(ctx, s.name, r, s.version); err != nil {
			a.agent.opts.Logger.Warn("record of ranges not written", "service", s.name, "error", err.Error())
		}
	}
	now := boottime.Now()
	if !a.maySendOrders(now) {
		return
	}
	var sending sync.WaitGroup
	for _, s := range a.services {
		s.leases.SetStoreOutage(true, now)
		s.leases.RenewNow(now, func(Holder) bool { return true })
		for _, o := range s.leases.DueOrders(now) {
			if !o.Release {
				sending.Go(func() { a.logOrder(s.name, a.sendOrder(ctx, o)) })
			}
		}
	}
	sending.Wait()
}

// resign gives the role up, so that another VM takes it at once.
func (a *assigner) resign() {
	a.stop(errStopping)
	<-a.done
}

// mayOrder reports whether the store has confirmed the role recently enough.
func (a *assigner) maySendOrders(now time.Duration) bool {
	return now < time.Duration(a.confirmedAt.Load())+a.agent.opts.RoleLease
}

// beat confirms the role in the store until it is superseded. At the end it
// gives the role up.
func (a *assigner) confirmRole(ctx context.Context, r role, version store.Version) {
	interval := a.agent.opts.RoleLease / 3
	for {
		pause(ctx, interval)
		if ctx.Err() != nil {
			a.releaseRole(ctx, version)
			return
		}
		start := boottime.Now()
		r.Beat++
		written, err := putRole(ctx, a.agent.opts.Store, r, version)
		switch {
		case err == nil:
			version = written
			a.beat.Store(r.Beat)
			a.confirmedAt.Store(int64(start))
			// A write that took long confirms an instant long ago.
			interval = max(a.agent.opts.RoleLease/3-(boottime.Now()-start), 0)
		case errors.Is(err, store.ErrConflict):
			a.stop(errSuperseded)
			return
		default:
			a.agent.opts.Logger.Warn("role not confirmed", "term", a.term, "error", err.Error(),
				"confirmed_ms_ago", (boottime.Now() - time.Duration(a.confirmedAt.Load())).Milliseconds())
			interval = searchInterval
		}
	}
}

func (a *assigner) releaseRole(ctx context.Context, version store.Version) {
	if errors.Is(context.Cause(ctx), errSuperseded) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if _, err := putRole(ctx, a.agent.opts.Store, role{Term: a.term}, version); err != nil {
		a.agent.opts.Logger.Info("role not given up", "error", err.Error())
	}
}

// adoptServices takes over the records of keyed services that are new here.
func (a *assigner) takeOverServices(ctx context.Context) {
	names, ok := a.agent.opts.Services()
	if !ok {
		return
	}
	for _, name := range names {
		if a.services[name] != nil {
			continue
		}
		s := &serviceState{name: name, load: NewLoad(loadTimeConstant)}
		if err := a.takeOverService(ctx, s); err != nil {
			a.agent.opts.Logger.Warn("record of ranges not taken over", "service", name, "error", err.Error())
			return
		}
		a.services[name] = s
	}
}

// adopt reads the record of a service.
func (a *assigner) takeOverService(ctx context.Context, s *serviceState) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := a.agent.opts.Store.Get(ctx, RangePrefix+s.name)
	var record *Record
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return err
	default:
		if record, err = DecodeRecord(obj.Value); err != nil {
			return err
		}
	}
	s.version = obj.Version
	s.leases = NewLeaseManager(a.agent.opts.Leases, a.term, record, boottime.Now(), a.predecessorUntil)
	a.save(ctx, s, s.leases.Record())
	a.agent.opts.Logger.Info("took over the ranges of a service", "service", s.name, "ranges", len(s.leases.OwnedRanges()))
	return nil
}

// save writes a record in the background.
func (a *assigner) save(ctx context.Context, s *serviceState, r *Record) {
	s.saving = true
	r.Nonce = newNonce()
	go func(version store.Version) {
		// A write goes on to its known end even if the leader has stopped meanwhile.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Minute)
		defer cancel()
		version, err := a.write(ctx, s.name, r, version)
		select {
		case a.saves <- saveResult{s.name, version, err}:
		case <-a.done:
		}
	}(s.version)
}

func (a *assigner) write(ctx context.Context, service string, r *Record, expected store.Version) (store.Version, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, err
	}
	return putUntilResolved(ctx, a.agent.opts.Store, RangePrefix+service, data, expected, func(found []byte) bool {
		stored, err := DecodeRecord(found)
		return err == nil && stored.Nonce == r.Nonce
	})
}

func (a *assigner) handleSaved(r saveResult) {
	s := a.services[r.service]
	s.saving = false
	if s.leases.ProposalPending() {
		s.leases.FinishProposal(r.err == nil)
	}
	switch {
	case r.err == nil:
		s.version = r.version
		s.written = true
	case errors.Is(r.err, store.ErrConflict):
		a.stop(errSuperseded)
	default:
		s.nextPlan = boottime.Now() + planRetryPause
		s.leases.recordOutdated = true
		a.agent.opts.Logger.Warn("record of ranges not written", "service", r.service, "error", r.err.Error())
	}
}

// act plans, sends the orders that are due and publishes new tables.
func (a *assigner) act(ctx context.Context, now time.Duration) {
	// A write without an answer is repeated until its outcome is known, so only time
	// tells that the store is away.
	outage := float64(a.confirmedAgo()) > outageShare*float64(a.agent.opts.RoleLease)
	for _, s := range a.services {
		if s.saving && !s.written {
			continue
		}
		if !s.written {
			a.save(ctx, s, s.leases.Record())
			continue
		}
		if now >= s.nextPlan && !s.saving {
			s.nextPlan = now + planInterval
			a.plan(ctx, s, now)
		}
		s.leases.SetStoreOutage(outage, now)
		if a.maySendOrders(now) {
			for _, o := range s.leases.DueOrders(now) {
				go a.sendAndReport(ctx, s.name, o)
			}
		}
		if now < s.nextTable {
			continue
		}
		if t := s.leases.TakeTable(now); t != nil {
			s.nextTable = now + tableInterval
			a.agent.publish(s.name, t)
			a.broadcastTable(s.name, t)
		}
	}
}

// plan proposes the moves that are due and has them written.
func (a *assigner) plan(ctx context.Context, s *serviceState, now time.Duration) {
	s.leases.RetryLost(now)
	owned := s.leases.OwnedRanges()
	targets := a.planTargets(s, owned)
	if len(owned) == 0 && !a.targetsStable(s.name) {
		return
	}
	moves := Plan(owned, targets, s.load, a.agent.opts.Plan, now)
	if r := s.leases.Propose(moves, now); r != nil {
		for _, m := range moves {
			a.agent.opts.Logger.Info("range moves", "service", s.name, "from", m.Keys.From, "to", m.Keys.To,
				"owner", m.To.ID, "rate", s.load.Rate(m.Keys), "term", a.term)
		}
		a.save(ctx, s, r)
		return
	}
	if s.leases.RecordOutdated() && now >= s.nextUpdate {
		s.nextUpdate = now + recordInterval
		a.save(ctx, s, s.leases.Record())
	}
}

// settled reports whether no new target of the service has appeared for a time.
func (a *assigner) targetsStable(service string) bool {
	for _, t := range a.agent.opts.Directory.Snapshot().Service(service) {
		if time.Since(t.SeenAt) < a.agent.opts.FirstTableDelay {
			return false
		}
	}
	return true
}

// planTargets returns the targets that may own keys.
func (a *assigner) planTargets(s *serviceState, owned []OwnedRange) []PlanTarget {
	var out []PlanTarget
	for _, t := range a.agent.opts.Directory.Snapshot().Service(s.name) {
		if t.State != fleet.Ready {
			continue
		}
		h := Holder{ID: t.ID, Address: t.Address, Born: t.Born}
		if !s.leases.MayOwn(h) {
			continue
		}
		withoutKeys := !slices.ContainsFunc(owned, func(o OwnedRange) bool { return o.Owner.ID == t.ID })
		out = append(out, PlanTarget{Holder: h, Capacity: float64(t.Slots) / a.targets.serviceTime(t.ID).Seconds(), WithoutKeys: withoutKeys})
	}
	return out
}

// send carries out an order and hands its result back.
func (a *assigner) sendAndReport(ctx context.Context, service string, o Order) {
	r := a.sendOrder(ctx, o)
	a.logOrder(service, r)
	select {
	case a.results <- serviceResult{service, r}:
	case <-a.done:
	}
}

// order carries out an order while the role is confirmed.
func (a *assigner) sendOrder(ctx context.Context, o Order) Result {
	r := Result{Order: o}
	if !a.maySendOrders(boottime.Now()) || ctx.Err() != nil {
		r.Err = errors.WithMessage(ErrNotSent, "the role is not confirmed")
	} else if o.Release {
		r.Handover, r.Err = a.agent.opts.Orders.Release(ctx, o.To, o.Keys, o.Fence, o.Timeout)
	} else {
		r.Err = a.agent.opts.Orders.Grant(ctx, o.To, Grant{Keys: o.Keys, Fence: o.Fence, LeaseDuration: o.LeaseDuration, Handover: o.Handover}, o.Timeout)
	}
	return r
}

func (a *assigner) logOrder(service string, r Result) {
	what := "grant"
	if r.Order.Release {
		what = "release"
	}
	attrs := []any{
		"order", what, "service", service, "target", r.Order.To.ID, "from", r.Order.Keys.From,
		"to", r.Order.Keys.To, "fence", r.Order.Fence, "term", a.term,
	}
	if r.Err != nil {
		a.agent.opts.Logger.Warn("order failed", append(attrs, "error", r.Err.Error())...)
		return
	}
	a.agent.opts.Logger.Debug("order done", append(attrs, "handover", r.Handover != "")...)
}

// takeReport adds what a VM has seen.
func (a *assigner) applyReport(r *pb.ShardReport) {
	now := boottime.Now()
	for _, sl := range r.GetLoads() {
		s := a.services[sl.GetService()]
		if s == nil || len(sl.GetKeys()) != len(sl.GetCounts()) {
			continue
		}
		counts := make(map[Key]uint32, len(sl.GetKeys()))
		for i, k := range sl.GetKeys() {
			counts[Key(k)] += sl.GetCounts()[i]
		}
		s.load.Add(counts, now)
	}
	for _, t := range r.GetTargets() {
		a.targets.addReport(t, now)
	}
	for _, s := range a.services {
		s.leases.RenewNow(now, func(h Holder) bool { return slices.Contains(r.GetUnreachable(), h.ID) })
	}
}

// serve registers a follower at its first report and hands its reports on.
func (a *assigner) serve(ctx context.Context, s *peer.Stream, first *pb.ShardReport) {
	f := &follower{queue: make(chan *pb.ShardUpdate, followerQueueSize)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.sendUpdates(ctx, cancel, s, f)
	defer a.removeFollower(f)
	for r := first; ctx.Err() == nil; {
		if r != nil {
			a.addFollower(f, r)
			select {
			case a.reports <- r:
			case <-a.done:
				return
			}
		}
		if err := s.SetReadDeadline(time.Now().Add(assignerTimeout)); err != nil {
			return
		}
		m, err := s.Recv()
		if err != nil {
			return
		}
		r = m.GetShardReport()
	}
}

// subscribe registers a follower at its first report and sends it all tables.
func (a *assigner) addFollower(f *follower, r *pb.ShardReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f.known = make(map[string]store.Version, len(r.GetKnown()))
	for _, k := range r.GetKnown() {
		f.known[k.GetPrefix()] = store.Version(k.GetAt())
	}
	if _, ok := a.followers[f]; ok || f.dropped {
		return
	}
	f.address, f.delaysTakeOver = r.GetAddress(), r.GetReluctant()
	a.followers[f] = struct{}{}
	u := a.updateLocked()
	u.Vms = a.vmsLocked()
	for service, t := range a.tables {
		u.Tables = append(u.Tables, tableToProto(service, t))
	}
	f.queue <- u
}

func (a *assigner) removeFollower(f *follower) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.followers, f)
}

// updateLocked returns an update without tables. The caller holds mu.
func (a *assigner) updateLocked() *pb.ShardUpdate {
	return &pb.ShardUpdate{
		Term: a.term, Beat: a.beat.Load(),
		ConfirmedMsAgo: uint32(a.confirmedAgo().Milliseconds()), FeedFresh: a.feedFreshLocked(),
		Willing: a.preferredVMsLocked(),
	}
}

// willingLocked counts the VMs that do not leave the role to others. The caller holds mu.
func (a *assigner) preferredVMsLocked() uint32 {
	n := uint32(0)
	if a.agent.opts.TakeOverDelay == 0 {
		n++
	}
	for f := range a.followers {
		if !f.delaysTakeOver {
			n++
		}
	}
	return n
}

// confirmedAgo is the time since the store last confirmed the role.
func (a *assigner) confirmedAgo() time.Duration {
	return boottime.Now() - time.Duration(a.confirmedAt.Load())
}

// sharesFeedLocked reports whether there are so many VMs that they are to get the
// changes of the store here. The caller holds mu.
func (a *assigner) relaysFeedLocked() bool {
	return a.agent.opts.Feed != nil && len(a.followers) >= a.agent.opts.RelayAbove
}

// feedFreshLocked reports whether the VMs may rely on that. The caller holds mu.
func (a *assigner) feedFreshLocked() bool {
	return a.relaysFeedLocked() && a.agent.opts.Feed.Healthy() && a.confirmedAgo() < feedFreshLimit
}

// feedLocked starts to pass the changes of the store on to the VMs that do not get
// them yet. The caller holds mu.
func (a *assigner) startRelayLocked() {
	if !a.relaysFeedLocked() {
		return
	}
	for f := range a.followers {
		if f.relaying {
			continue
		}
		f.relaying = true
		u := a.updateLocked()
		for _, b := range a.agent.opts.Feed.Since(f.known) {
			u.Feed = append(u.Feed, batchToProto(b))
		}
		a.enqueueLocked(f, u)
	}
}

// broadcastBatch passes changes of the store on.
func (a *assigner) relayBatch(b relayfeed.Batch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.updateLocked()
	u.Feed = []*pb.FeedBatch{batchToProto(b)}
	for f := range a.followers {
		if f.relaying {
			a.enqueueLocked(f, u)
		}
	}
}

// vmsLocked returns the addresses of this VM and its followers. The caller holds mu.
func (a *assigner) vmsLocked() []string {
	vms := []string{a.agent.opts.Address}
	for f := range a.followers {
		vms = append(vms, f.address)
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// broadcastTable sends a table to all followers as its difference to the last one.
func (a *assigner) broadcastTable(service string, t *Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	base := a.tables[service]
	a.tables[service] = t
	m := tableToProto(service, t)
	if base != nil {
		m = deltaToProto(service, base, t)
	}
	u := a.updateLocked()
	u.Tables = []*pb.RangeTable{m}
	a.broadcastLocked(u)
}

// broadcast tells all followers that this VM is the assigner, and what is new of
// the targets.
func (a *assigner) broadcast(targets []*pb.TargetState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startRelayLocked()
	u := a.updateLocked()
	u.Targets = targets
	a.broadcastLocked(u)
	a.agent.notifyTargets(targets)
}

// broadcastLocked sends an update to all followers. The caller holds mu.
func (a *assigner) broadcastLocked(u *pb.ShardUpdate) {
	if vms := a.vmsLocked(); !slices.Equal(vms, a.vms) {
		a.vms, u.Vms = vms, vms
	}
	for f := range a.followers {
		a.enqueueLocked(f, u)
	}
	a.agent.setVMs(u.GetVms())
}

// enqueueLocked sends an update to a follower. One that does not keep up is dropped;
// it comes back and gets all tables. The caller holds mu.
func (a *assigner) enqueueLocked(f *follower, u *pb.ShardUpdate) {
	select {
	case f.queue <- u:
	default:
		delete(a.followers, f)
		f.dropped = true
		close(f.queue)
	}
}

func (a *assigner) sendUpdates(ctx context.Context, cancel func(), s *peer.Stream, f *follower) {
	defer cancel()
	defer s.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.done:
			return
		case u, ok := <-f.queue:
			if !ok {
				return
			}
			if err := s.Send(&pb.Envelope{Body: &pb.Envelope_ShardUpdate{ShardUpdate: u}}); err != nil {
				return
			}
		}
	}
}
