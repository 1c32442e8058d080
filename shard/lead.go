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
	leadTick = 25 * time.Millisecond
	// planInterval separates plans, and planRest follows one that the store did not take.
	planInterval = 200 * time.Millisecond
	planRest     = 500 * time.Millisecond
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
	loadMemory = 700 * time.Millisecond
	// feedFresh is the age of the role's confirmation from which the VMs no longer rely on
	// the changes that the assigner passes on. A change must be known everywhere within
	// 3 s, and the VMs wait for 700 ms and list.
	feedFresh = 1700 * time.Millisecond
	// awayShare is the share of the role's lease without a confirmation from which leases
	// are made long. Before, another VM may take over if the store refuses this one only;
	// the rest must suffice to renew all owners.
	awayShare = 0.7
	// subscriberQueue bounds the updates that wait for a slow peer.
	subscriberQueue = 16
)

// errStopping ends the role of a VM that stops.
var errStopping = errors.New("shard: the VM is stopping")

// leader is a VM's time as the assigner.
type leader struct {
	agent *Agent
	term  uint64
	// confirmedAt is the start of the last write of the role that succeeded.
	confirmedAt atomic.Int64
	// beats is the number of that write.
	beats atomic.Uint64
	// foreignUntil bounds the orders of the last assigner.
	foreignUntil time.Duration
	stop         context.CancelCauseFunc
	ctx          context.Context
	done         chan struct{}

	results chan serviceResult
	saves   chan saveResult
	reports chan *pb.ShardReport

	services map[string]*ledService
	targets  *targetStates
	// nextTargets is the earliest instant at which they are told again.
	nextTargets time.Duration

	mu          sync.Mutex
	subscribers map[*subscriber]struct{}
	// tables and vms are the last that were broadcast.
	tables map[string]*Table
	vms    []string
}

type ledService struct {
	name    string
	keeper  *Keeper
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
type subscriber struct {
	address string
	queue   chan *pb.ShardUpdate
	// known are the revisions of the store that it has reported.
	known map[string]store.Version
	// reluctant is set if it leaves the role to others.
	reluctant bool
	// fed is set once changes of the store are passed on to it.
	fed bool
	// dropped is set once the queue is closed.
	dropped bool
}

func newLeader(ctx context.Context, a *Agent, term uint64, confirmedAt, foreignUntil time.Duration) *leader {
	l := &leader{
		agent: a, term: term, foreignUntil: foreignUntil, done: make(chan struct{}),
		results: make(chan serviceResult), saves: make(chan saveResult), reports: make(chan *pb.ShardReport, 64),
		services: map[string]*ledService{}, targets: newTargetStates(),
		subscribers: map[*subscriber]struct{}{}, tables: map[string]*Table{},
	}
	l.ctx, l.stop = context.WithCancelCause(ctx)
	l.confirmedAt.Store(int64(confirmedAt))
	return l
}

// run acts as the assigner and returns why it ended.
func (l *leader) run(r role, version store.Version) error {
	ctx := l.ctx
	defer close(l.done)
	defer l.stop(nil)
	go l.beat(ctx, r, version)
	tick := time.NewTicker(leadTick)
	defer tick.Stop()
	lastReport, lastUpdate := boottime.Now(), boottime.Now()
	for {
		select {
		case <-ctx.Done():
			if context.Cause(ctx) == errStopping {
				l.handOver(context.WithoutCancel(ctx))
			}
			return context.Cause(ctx)
		case r := <-l.results:
			if s := l.services[r.service]; s != nil {
				s.keeper.Done(r.result, boottime.Now())
			}
		case r := <-l.saves:
			l.saved(r)
		case r := <-l.reports:
			l.takeReport(r)
		case <-tick.C:
			now := boottime.Now()
			if now-lastReport >= l.agent.opts.ReportInterval {
				lastReport = now
				l.takeReport(l.agent.opts.Report())
			}
			l.adoptServices(ctx)
			if now-lastUpdate >= updateInterval {
				lastUpdate = now
				l.broadcast(l.newTargets(now))
			}
		}
		l.act(ctx, boottime.Now())
	}
}

// newTargets returns what is new of the targets, at intervals.
func (l *leader) newTargets(now time.Duration) []*pb.TargetState {
	if now < l.nextTargets {
		return nil
	}
	l.nextTargets = now + targetsInterval
	return l.targets.take(now)
}

// handOver leaves things in order for a successor: the records as they are, and all
// owners renewed for long, should the store go away before another VM has taken
// the role over. Successors count such orders: they are under way for one timeout
// at most.
func (l *leader) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, s := range l.services {
		if !s.keeper.Outdated() || s.saving {
			continue
		}
		r := s.keeper.Record()
		r.Nonce = newNonce()
		if _, err := l.write(ctx, s.name, r, s.version); err != nil {
			l.agent.opts.Logger.Warn("record of ranges not written", "service", s.name, "error", err.Error())
		}
	}
	now := boottime.Now()
	if !l.mayOrder(now) {
		return
	}
	var sending sync.WaitGroup
	for _, s := range l.services {
		s.keeper.SetStoreAway(true, now)
		s.keeper.Hasten(now, func(Holder) bool { return true })
		for _, o := range s.keeper.Step(now) {
			if !o.Release {
				sending.Go(func() { l.logOrder(s.name, l.order(ctx, o)) })
			}
		}
	}
	sending.Wait()
}

// resign gives the role up, so that another VM takes it at once.
func (l *leader) resign() {
	l.stop(errStopping)
	<-l.done
}

// mayOrder reports whether the store has confirmed the role recently enough.
func (l *leader) mayOrder(now time.Duration) bool {
	return now < time.Duration(l.confirmedAt.Load())+l.agent.opts.RoleLease
}

// beat confirms the role in the store until it is superseded. At the end it
// gives the role up.
func (l *leader) beat(ctx context.Context, r role, version store.Version) {
	interval := l.agent.opts.RoleLease / 3
	for {
		pause(ctx, interval)
		if ctx.Err() != nil {
			l.giveUp(ctx, version)
			return
		}
		start := boottime.Now()
		r.Beat++
		written, err := putRole(ctx, l.agent.opts.Store, r, version)
		switch {
		case err == nil:
			version = written
			l.beats.Store(r.Beat)
			l.confirmedAt.Store(int64(start))
			// A write that took long confirms an instant long ago.
			interval = max(l.agent.opts.RoleLease/3-(boottime.Now()-start), 0)
		case errors.Is(err, store.ErrConflict):
			l.stop(errSuperseded)
			return
		default:
			l.agent.opts.Logger.Warn("role not confirmed", "term", l.term, "error", err.Error(),
				"confirmed_ms_ago", (boottime.Now() - time.Duration(l.confirmedAt.Load())).Milliseconds())
			interval = seekPause
		}
	}
}

func (l *leader) giveUp(ctx context.Context, version store.Version) {
	if errors.Is(context.Cause(ctx), errSuperseded) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if _, err := putRole(ctx, l.agent.opts.Store, role{Term: l.term}, version); err != nil {
		l.agent.opts.Logger.Info("role not given up", "error", err.Error())
	}
}

// adoptServices takes over the records of keyed services that are new here.
func (l *leader) adoptServices(ctx context.Context) {
	names, ok := l.agent.opts.Services()
	if !ok {
		return
	}
	for _, name := range names {
		if l.services[name] != nil {
			continue
		}
		s := &ledService{name: name, load: NewLoad(loadMemory)}
		if err := l.adopt(ctx, s); err != nil {
			l.agent.opts.Logger.Warn("record of ranges not taken over", "service", name, "error", err.Error())
			return
		}
		l.services[name] = s
	}
}

// adopt reads the record of a service.
func (l *leader) adopt(ctx context.Context, s *ledService) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := l.agent.opts.Store.Get(ctx, RangePrefix+s.name)
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
	s.keeper = NewKeeper(l.agent.opts.Leases, l.term, record, boottime.Now(), l.foreignUntil)
	l.save(ctx, s, s.keeper.Record())
	l.agent.opts.Logger.Info("took over the ranges of a service", "service", s.name, "ranges", len(s.keeper.Owned()))
	return nil
}

// save writes a record in the background.
func (l *leader) save(ctx context.Context, s *ledService, r *Record) {
	s.saving = true
	r.Nonce = newNonce()
	go func(version store.Version) {
		// A write goes on to its known end even if the leader has stopped meanwhile.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Minute)
		defer cancel()
		version, err := l.write(ctx, s.name, r, version)
		select {
		case l.saves <- saveResult{s.name, version, err}:
		case <-l.done:
		}
	}(s.version)
}

func (l *leader) write(ctx context.Context, service string, r *Record, expected store.Version) (store.Version, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, err
	}
	return putCertain(ctx, l.agent.opts.Store, RangePrefix+service, data, expected, func(found []byte) bool {
		stored, err := DecodeRecord(found)
		return err == nil && stored.Nonce == r.Nonce
	})
}

func (l *leader) saved(r saveResult) {
	s := l.services[r.service]
	s.saving = false
	if s.keeper.Saving() {
		s.keeper.Saved(r.err == nil)
	}
	switch {
	case r.err == nil:
		s.version = r.version
		s.written = true
	case errors.Is(r.err, store.ErrConflict):
		l.stop(errSuperseded)
	default:
		s.nextPlan = boottime.Now() + planRest
		s.keeper.outdated = true
		l.agent.opts.Logger.Warn("record of ranges not written", "service", r.service, "error", r.err.Error())
	}
}

// act plans, sends the orders that are due and publishes new tables.
func (l *leader) act(ctx context.Context, now time.Duration) {
	// A write without an answer is repeated until its outcome is known, so only time
	// tells that the store is away.
	away := float64(l.confirmedAgo()) > awayShare*float64(l.agent.opts.RoleLease)
	for _, s := range l.services {
		if s.saving && !s.written {
			continue
		}
		if !s.written {
			l.save(ctx, s, s.keeper.Record())
			continue
		}
		if now >= s.nextPlan && !s.saving {
			s.nextPlan = now + planInterval
			l.plan(ctx, s, now)
		}
		s.keeper.SetStoreAway(away, now)
		if l.mayOrder(now) {
			for _, o := range s.keeper.Step(now) {
				go l.send(ctx, s.name, o)
			}
		}
		if now < s.nextTable {
			continue
		}
		if t := s.keeper.TakeTable(now); t != nil {
			s.nextTable = now + tableInterval
			l.agent.publish(s.name, t)
			l.broadcastTable(s.name, t)
		}
	}
}

// plan proposes the moves that are due and has them written.
func (l *leader) plan(ctx context.Context, s *ledService, now time.Duration) {
	s.keeper.Revive(now)
	owned := s.keeper.Owned()
	targets := l.planTargets(s, owned)
	if len(owned) == 0 && !l.settled(s.name) {
		return
	}
	moves := Plan(owned, targets, s.load, l.agent.opts.Plan, now)
	if r := s.keeper.Propose(moves, now); r != nil {
		for _, m := range moves {
			l.agent.opts.Logger.Info("range moves", "service", s.name, "from", m.Keys.From, "to", m.Keys.To,
				"owner", m.To.ID, "rate", s.load.Of(m.Keys), "term", l.term)
		}
		l.save(ctx, s, r)
		return
	}
	if s.keeper.Outdated() && now >= s.nextUpdate {
		s.nextUpdate = now + recordInterval
		l.save(ctx, s, s.keeper.Record())
	}
}

// settled reports whether no new target of the service has appeared for a time.
func (l *leader) settled(service string) bool {
	for _, t := range l.agent.opts.Directory.Snapshot().Service(service) {
		if time.Since(t.FirstSeen) < l.agent.opts.FirstTableDelay {
			return false
		}
	}
	return true
}

// planTargets returns the targets that may own keys.
func (l *leader) planTargets(s *ledService, owned []Owned) []PlanTarget {
	var out []PlanTarget
	for _, t := range l.agent.opts.Directory.Snapshot().Service(s.name) {
		if t.State != fleet.Ready {
			continue
		}
		h := Holder{ID: t.ID, Address: t.Address, Born: t.Born}
		if !s.keeper.MayOwn(h) {
			continue
		}
		fresh := !slices.ContainsFunc(owned, func(o Owned) bool { return o.Owner.ID == t.ID })
		out = append(out, PlanTarget{Holder: h, Capacity: float64(t.Slots) / l.targets.serviceTime(t.ID).Seconds(), Fresh: fresh})
	}
	return out
}

// send carries out an order and hands its result back.
func (l *leader) send(ctx context.Context, service string, o Order) {
	r := l.order(ctx, o)
	l.logOrder(service, r)
	select {
	case l.results <- serviceResult{service, r}:
	case <-l.done:
	}
}

// order carries out an order while the role is confirmed.
func (l *leader) order(ctx context.Context, o Order) Result {
	r := Result{Order: o}
	if !l.mayOrder(boottime.Now()) || ctx.Err() != nil {
		r.Err = errors.WithMessage(ErrNotSent, "the role is not confirmed")
	} else if o.Release {
		r.Handover, r.Err = l.agent.opts.Orders.Release(ctx, o.To, o.Keys, o.Fence, o.Timeout)
	} else {
		r.Err = l.agent.opts.Orders.Grant(ctx, o.To, Grant{Keys: o.Keys, Fence: o.Fence, LeaseDuration: o.Hold, Handover: o.Handover}, o.Timeout)
	}
	return r
}

func (l *leader) logOrder(service string, r Result) {
	what := "grant"
	if r.Order.Release {
		what = "release"
	}
	attrs := []any{
		"order", what, "service", service, "target", r.Order.To.ID, "from", r.Order.Keys.From,
		"to", r.Order.Keys.To, "fence", r.Order.Fence, "term", l.term,
	}
	if r.Err != nil {
		l.agent.opts.Logger.Warn("order failed", append(attrs, "error", r.Err.Error())...)
		return
	}
	l.agent.opts.Logger.Debug("order done", append(attrs, "handover", r.Handover != "")...)
}

// takeReport adds what a VM has seen.
func (l *leader) takeReport(r *pb.ShardReport) {
	now := boottime.Now()
	for _, sl := range r.GetLoads() {
		s := l.services[sl.GetService()]
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
		l.targets.add(t, now)
	}
	for _, s := range l.services {
		s.keeper.Hasten(now, func(h Holder) bool { return slices.Contains(r.GetUnreachable(), h.ID) })
	}
}

// serve registers a follower at its first report and hands its reports on.
func (l *leader) serve(ctx context.Context, s *peer.Stream, first *pb.ShardReport) {
	sub := &subscriber{queue: make(chan *pb.ShardUpdate, subscriberQueue)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.sendUpdates(ctx, cancel, s, sub)
	defer l.unsubscribe(sub)
	for r := first; ctx.Err() == nil; {
		if r != nil {
			l.subscribe(sub, r)
			select {
			case l.reports <- r:
			case <-l.done:
				return
			}
		}
		if err := s.SetReadDeadline(time.Now().Add(silence)); err != nil {
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
func (l *leader) subscribe(sub *subscriber, r *pb.ShardReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sub.known = make(map[string]store.Version, len(r.GetKnown()))
	for _, k := range r.GetKnown() {
		sub.known[k.GetPrefix()] = store.Version(k.GetAt())
	}
	if _, ok := l.subscribers[sub]; ok || sub.dropped {
		return
	}
	sub.address, sub.reluctant = r.GetAddress(), r.GetReluctant()
	l.subscribers[sub] = struct{}{}
	u := l.updateLocked()
	u.Vms = l.vmsLocked()
	for service, t := range l.tables {
		u.Tables = append(u.Tables, tableToProto(service, t))
	}
	sub.queue <- u
}

func (l *leader) unsubscribe(sub *subscriber) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.subscribers, sub)
}

// updateLocked returns an update without tables. The caller holds mu.
func (l *leader) updateLocked() *pb.ShardUpdate {
	return &pb.ShardUpdate{
		Term: l.term, Beat: l.beats.Load(),
		ConfirmedMsAgo: uint32(l.confirmedAgo().Milliseconds()), FeedFresh: l.feedFreshLocked(),
		Willing: l.willingLocked(),
	}
}

// willingLocked counts the VMs that do not leave the role to others. The caller holds mu.
func (l *leader) willingLocked() uint32 {
	n := uint32(0)
	if l.agent.opts.TakeOverDelay == 0 {
		n++
	}
	for sub := range l.subscribers {
		if !sub.reluctant {
			n++
		}
	}
	return n
}

// confirmedAgo is the time since the store last confirmed the role.
func (l *leader) confirmedAgo() time.Duration {
	return boottime.Now() - time.Duration(l.confirmedAt.Load())
}

// sharesFeedLocked reports whether there are so many VMs that they are to get the
// changes of the store here. The caller holds mu.
func (l *leader) sharesFeedLocked() bool {
	return l.agent.opts.Feed != nil && len(l.subscribers) >= l.agent.opts.RelayAbove
}

// feedFreshLocked reports whether the VMs may rely on that. The caller holds mu.
func (l *leader) feedFreshLocked() bool {
	return l.sharesFeedLocked() && l.agent.opts.Feed.Healthy() && l.confirmedAgo() < feedFresh
}

// feedLocked starts to pass the changes of the store on to the VMs that do not get
// them yet. The caller holds mu.
func (l *leader) feedLocked() {
	if !l.sharesFeedLocked() {
		return
	}
	for sub := range l.subscribers {
		if sub.fed {
			continue
		}
		sub.fed = true
		u := l.updateLocked()
		for _, b := range l.agent.opts.Feed.BatchesSince(sub.known) {
			u.Feed = append(u.Feed, batchToProto(b))
		}
		l.enqueueLocked(sub, u)
	}
}

// broadcastBatch passes changes of the store on.
func (l *leader) broadcastBatch(b relayfeed.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.updateLocked()
	u.Feed = []*pb.FeedBatch{batchToProto(b)}
	for sub := range l.subscribers {
		if sub.fed {
			l.enqueueLocked(sub, u)
		}
	}
}

// vmsLocked returns the addresses of this VM and its followers. The caller holds mu.
func (l *leader) vmsLocked() []string {
	vms := []string{l.agent.opts.Address}
	for sub := range l.subscribers {
		vms = append(vms, sub.address)
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// broadcastTable sends a table to all followers as its difference to the last one.
func (l *leader) broadcastTable(service string, t *Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	base := l.tables[service]
	l.tables[service] = t
	m := tableToProto(service, t)
	if base != nil {
		m = deltaToProto(service, base, t)
	}
	u := l.updateLocked()
	u.Tables = []*pb.RangeTable{m}
	l.broadcastLocked(u)
}

// broadcast tells all followers that this VM is the assigner, and what is new of
// the targets.
func (l *leader) broadcast(targets []*pb.TargetState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.feedLocked()
	u := l.updateLocked()
	u.Targets = targets
	l.broadcastLocked(u)
	l.agent.learn(targets)
}

// broadcastLocked sends an update to all followers. The caller holds mu.
func (l *leader) broadcastLocked(u *pb.ShardUpdate) {
	if vms := l.vmsLocked(); !slices.Equal(vms, l.vms) {
		l.vms, u.Vms = vms, vms
	}
	for sub := range l.subscribers {
		l.enqueueLocked(sub, u)
	}
	l.agent.takeVMs(u.GetVms())
}

// enqueueLocked sends an update to a follower. One that does not keep up is dropped;
// it comes back and gets all tables. The caller holds mu.
func (l *leader) enqueueLocked(sub *subscriber, u *pb.ShardUpdate) {
	select {
	case sub.queue <- u:
	default:
		delete(l.subscribers, sub)
		sub.dropped = true
		close(sub.queue)
	}
}

func (l *leader) sendUpdates(ctx context.Context, cancel func(), s *peer.Stream, sub *subscriber) {
	defer cancel()
	defer s.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case u, ok := <-sub.queue:
			if !ok {
				return
			}
			if err := s.Send(&pb.Envelope{Body: &pb.Envelope_ShardUpdate{ShardUpdate: u}}); err != nil {
				return
			}
		}
	}
}
