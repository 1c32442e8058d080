package shard

import (
	"context"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
)

const (
	// assignerTick is the longest interval between two checks for due orders.
	assignerTick = 25 * time.Millisecond
	// planInterval is the interval between two plans.
	planInterval = 200 * time.Millisecond
	// planRetryPause is the mean pause after a record that could not be written to the store.
	planRetryPause = 500 * time.Millisecond
	// recordInterval is the least time between two records that only drop former
	// owners.
	recordInterval = 500 * time.Millisecond
	// minTableInterval is the least time between two tables, so that changes in quick succession
	// share one. With many VMs it is tableIntervalPerVM for each: sending a table to some hundred VMs
	// 25 times a second takes the processor that the orders need.
	minTableInterval   = 40 * time.Millisecond
	tableIntervalPerVM = 500 * time.Microsecond
	// maxTableInterval bounds how long a table waits for the link allowance.
	maxTableInterval = time.Second
	// targetsInterval is the least time between two updates with target states. These
	// are the larger part of what the assigner sends. maxTargetsInterval bounds how long one waits for the link allowance.
	targetsInterval    = 600 * time.Millisecond
	maxTargetsInterval = 2 * time.Second
	// tablesPerTick and statesPerUpdate are the numbers of new followers that get all tables at each tick, and all
	// target states with each update, also while the link allowance is used up.
	tablesPerTick   = 1
	statesPerUpdate = 12
	// loadTimeConstant is the time constant of the keys' request rates. It is short enough
	// to find a hot spot within half a second and long enough to average several reports.
	loadTimeConstant = 700 * time.Millisecond
	// feedFreshLimit is the age of the role's confirmation from which the VMs no longer
	// rely on the changes that the assigner relays. Every VM must know a change within
	// 3 s, and without the relay a VM waits for 700 ms before it lists the store.
	feedFreshLimit = 1700 * time.Millisecond
	// outageShare is the share of the role lease without a confirmation after which the
	// store counts as unavailable and targets get long leases. Until then, another VM may
	// take over, if the store refuses only this VM. The rest of the role lease must suffice
	// to renew the leases of all owners.
	outageShare = 0.7
	// followerQueueSize is the largest number of updates queued for a slow follower.
	followerQueueSize = 16
)

// errSteppedBack is the reason for giving up the role when the store has come back from an older copy and this VM may not send
// orders, or not any more.
var errSteppedBack = errors.New("shard: the store has come back from an older copy")

// restorePause is the pause between two attempts to write the role again.
const restorePause = 50 * time.Millisecond

// errStopping is the reason for giving up the role when the VM stops.
var errStopping = errors.New("shard: the VM is stopping")

// assigner is the state of this VM as the assigner during one term.
type assigner struct {
	agent *Agent
	// term rises when this VM writes its role again in a later era of the store.
	term atomic.Uint64
	era  roleEra
	// confirmedAt is the start of the last successful write of the role, in nanoseconds
	// of boottime.Now.
	confirmedAt atomic.Int64
	// beat is the number of that write.
	beat atomic.Uint64
	// predecessor is changed by run only.
	predecessor predecessor
	// predecessorUntil and predecessorArriveUntil are those of the predecessor in nanoseconds, for confirmRole.
	predecessorUntil, predecessorArriveUntil atomic.Int64
	// orderableFrom is that of the predecessor, in nanoseconds.
	orderableFrom atomic.Int64
	// confirm has a value if the role is to be confirmed early.
	confirm chan struct{}
	stop    context.CancelCauseFunc
	ctx     context.Context
	done    chan struct{}

	// grants counts the grants in flight.
	grants  sync.WaitGroup
	results chan serviceResult
	saves   chan saveResult
	reports chan *pb.ShardReport

	services map[string]*serviceState
	targets  *targetStates
	// lastTargets is the instant of the last update with target states.
	lastTargets time.Duration
	activity    assignerActivity

	mu        sync.Mutex
	followers map[*follower]struct{}
	// behind are the followers that wait for all tables, in the order in which they get them.
	behind    []*follower
	allowance linkAllowance
	// tables and vms are the tables and the list of VMs last sent to the followers.
	tables map[string]*Table
	vms    []string
	// suspectsSent is the version of the requests that crash targets that was last sent to the followers.
	suspectsSent uint64
}

// serviceState is the assigner's state of one keyed service.
type serviceState struct {
	name    string
	leases  *LeaseManager
	load    *Load
	version store.Version
	// written is set once the record in the store has had this assigner's term.
	written bool
	// era is the era of the store that leases knows of.
	era store.Era
	// distrusted is the record that was taken over if it comes from an older copy, until the targets that may hold keys are
	// known. It has no ranges if there was none.
	distrusted *Record
	// trusted is set once the record in the store has the owners of that era.
	trusted bool
	// reread is set if the version of the record in the store has to be read again before the next write.
	reread bool
	// saving is set while a record is being written.
	saving bool
	// fewSlots is set if the targets have few slots. Hot spots are sought then, last at spotsSought, and spots are
	// those that were found.
	fewSlots    bool
	spotsSought time.Duration
	spots       []HotSpot
	// nextPlan is the earliest instant of the next plan.
	nextPlan time.Duration
	// nextUpdate is the earliest instant of the next record without moves.
	nextUpdate time.Duration
	// lastTable is the instant of the last table.
	lastTable time.Duration
}

type serviceResult struct {
	service string
	result  Result
}

type saveResult struct {
	service string
	// era is the era of the store for which the record was written, and recordEra the one up to which it has the owners.
	era, recordEra store.Era
	version        store.Version
	err            error
	// began is the instant at which the write began.
	began time.Duration
}

// follower is a VM that follows this assigner.
type follower struct {
	address string
	queue   chan *pb.ShardUpdate
	// known holds, by key prefix, the store revisions that it has last reported.
	known map[string]store.Version
	// reportSentAtMs is the instant of its last report on its own clock.
	reportSentAtMs uint64
	// delaysTakeOver is set if it has a take-over delay, so that other VMs are preferred.
	delaysTakeOver bool
	// behind is set until all tables were sent to it.
	behind bool
	// targetsSent is set once the states of all targets were sent to it.
	targetsSent bool
	// relaying is set once store changes are relayed to it.
	relaying bool
	// dropped is set once the queue is closed.
	dropped bool
}

func newAssigner(ctx context.Context, agent *Agent, term uint64, confirmedAt time.Duration, p predecessor) *assigner {
	a := &assigner{
		agent: agent, predecessor: p, done: make(chan struct{}), confirm: make(chan struct{}, 1),
		results: make(chan serviceResult), saves: make(chan saveResult), reports: make(chan *pb.ShardReport, 64),
		services: map[string]*serviceState{}, targets: newTargetStates(),
		followers: map[*follower]struct{}{}, tables: map[string]*Table{}, activity: newAssignerActivity(boottime.Now()),
		allowance: newLinkAllowance(agent.opts.LinkMbps),
	}
	a.ctx, a.stop = context.WithCancelCause(ctx)
	a.term.Store(term)
	a.confirmedAt.Store(int64(confirmedAt))
	a.storePredecessor()
	return a
}

// storePredecessor passes the predecessor on to confirmRole.
func (a *assigner) storePredecessor() {
	a.predecessorUntil.Store(int64(a.predecessor.until))
	a.predecessorArriveUntil.Store(int64(a.predecessor.arriveUntil))
	a.orderableFrom.Store(int64(a.predecessor.orderableFrom()))
}

// setEarlier states in a role that is written at the instant now how long orders of earlier assigners may be under way.
func (a *assigner) setEarlier(r *role, now time.Duration) {
	r.setEarlier(time.Duration(a.predecessorUntil.Load()), time.Duration(a.predecessorArriveUntil.Load()), now)
}

// run acts as the assigner until its context ends or another VM supersedes it, and
// returns the reason.
func (a *assigner) run(r role, version store.Version) error {
	ctx := a.ctx
	defer close(a.done)
	defer a.stop(nil)
	a.era.set(r.Era, r.RecordsPending)
	go a.confirmRole(ctx, r, version)
	if suspects := a.agent.opts.Suspects; suspects != nil {
		keeper := suspectsKeeper{agent: a.agent, tracker: suspects}
		go keeper.run(ctx)
	}
	tick := time.NewTicker(assignerTick)
	defer tick.Stop()
	lastReport, lastUpdate := boottime.Now(), boottime.Now()
	for {
		select {
		case <-ctx.Done():
			if context.Cause(ctx) == errStopping {
				a.stepDown(context.WithoutCancel(ctx))
			}
			// A successor acts as soon as this VM gives the role up, or reports to it.
			a.grants.Wait()
			return context.Cause(ctx)
		case r := <-a.results:
			if s := a.services[r.service]; s != nil {
				now := boottime.Now()
				a.activity.addResult(r.result, now)
				s.leases.HandleResult(r.result, now)
			}
		case r := <-a.saves:
			a.handleSaved(r)
		case r := <-a.reports:
			// What follows from reports is done at the next tick: some hundred VMs send more than a
			// thousand a second.
			a.activity.reports++
			a.applyReport(r)
			continue
		case <-tick.C:
			now := boottime.Now()
			if now-lastReport >= a.agent.opts.ReportInterval || now-lastReport >= earlyReportInterval(a.vmCount()) && a.agent.takeReportSoon() {
				lastReport = now
				a.applyReport(a.agent.opts.Report())
			}
			a.takeOverServices(ctx)
			a.noteRecordsWritten()
			a.sendTablesToNewFollowers(now)
			if now-lastUpdate >= updateInterval {
				lastUpdate = now
				a.broadcast(a.changedTargets(now), func() []*pb.TargetState { return a.targets.all(now) })
			}
		}
		a.activity.steps++
		timed(&a.activity.longestStep, func() { a.act(ctx, boottime.Now()) })
		a.logActivity(boottime.Now())
	}
}

// changedTargets returns the target states that changed since the last call, or nil if
// that was less than targetsInterval ago or the link allowance is used up.
func (a *assigner) changedTargets(now time.Duration) []*pb.TargetState {
	if passed := now - a.lastTargets; passed < targetsInterval || passed < maxTargetsInterval && !a.linkFree(now) {
		return nil
	}
	a.lastTargets = now
	return a.targets.takeChanged(now)
}

// linkFree reports whether the link allowance is not used up.
func (a *assigner) linkFree(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allowance.free(now)
}

// stepDown prepares the take-over by a successor. It writes the outdated records and
// renews all owners with the long lease duration, in case the store becomes unavailable
// before another VM has taken the role over. Successors allow for such orders, which are
// in flight for one timeout at most.
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
			a.agent.opts.Logger.Warn("could not write record of ranges", "service", s.name, "error", err.Error())
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
		for _, o := range s.dueOrders(now) {
			if !o.Release {
				sending.Go(func() { a.logOrder(s.name, a.sendOrder(ctx, o)) })
			}
		}
	}
	sending.Wait()
}

// resign gives the role up, so that another VM can take it over at once, and waits until
// run has returned.
func (a *assigner) resign() {
	a.stop(errStopping)
	<-a.done
}

// maySendOrders reports whether the store has confirmed the role within the role lease, and late enough after the predecessor.
func (a *assigner) maySendOrders(now time.Duration) bool {
	confirmed := time.Duration(a.confirmedAt.Load())
	return now < confirmed+a.agent.opts.RoleLease && confirmed >= time.Duration(a.orderableFrom.Load())
}

// confirmRole renews the role in the store at intervals until the context ends or
// another VM supersedes this one. When run has ended, it gives the role up.
func (a *assigner) confirmRole(ctx context.Context, r role, version store.Version) {
	// The write that took the role over may have been slow.
	interval := a.confirmInterval(time.Duration(a.confirmedAt.Load()))
	for {
		select {
		case <-ctx.Done():
		case <-a.confirm:
		case <-time.After(interval):
		}
		if ctx.Err() != nil {
			<-a.done
			a.releaseRole(ctx, r, version)
			return
		}
		start := boottime.Now()
		r.Beat++
		_, r.RecordsPending = a.era.get()
		a.setEarlier(&r, start)
		written, err := putRole(ctx, a.agent.opts.Store, r, version)
		switch {
		case err == nil:
			version = written
			a.recordRole(r, start)
			// A slow write confirms the role as of its start, so the next one comes sooner.
			interval = a.confirmInterval(start)
		case errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrSteppedBack):
			a.logConflict(ctx, version)
			restored, at, err := a.restoreRole(ctx, r)
			switch {
			case err == nil:
				r, version, interval = restored, at, 0
			case ctx.Err() == nil:
				a.stop(err)
				return
			}
		default:
			a.agent.opts.Logger.Warn("could not confirm the role", "term", a.term.Load(), "error", err.Error(),
				"confirmed_ms_ago", (boottime.Now() - time.Duration(a.confirmedAt.Load())).Milliseconds())
			interval = searchInterval
		}
	}
}

// confirmSoon makes the next confirmation of the role due now.
func (a *assigner) confirmSoon() {
	select {
	case a.confirm <- struct{}{}:
	default: // It is due already.
	}
}

// confirmInterval returns the time until the next confirmation, after one that began at the instant. The one that permits the
// first orders is due as soon as the predecessor no longer acts.
func (a *assigner) confirmInterval(began time.Duration) time.Duration {
	now := boottime.Now()
	interval := max(began+a.agent.opts.RoleLease/3-now, 0)
	if from := time.Duration(a.orderableFrom.Load()); from > began {
		interval = min(interval, max(from-now, 0))
	}
	return interval
}

// restoreRole writes the role again if the one in the store comes from an older copy, with a term above all that were lost. It
// does so only while this VM may send orders: until then no other assigner can have sent any, whatever the store has lost. It
// returns the role and its version, errSuperseded if another VM has the role, or errSteppedBack if this one may not send
// orders.
func (a *assigner) restoreRole(ctx context.Context, r role) (role, store.Version, error) {
	for ctx.Err() == nil {
		found, version, err := a.agent.readRoleAndEra(ctx)
		// The store may have stepped back right before its answer.
		start := boottime.Now()
		if err == nil && !found.ofEarlierEra(version) {
			if found.VM != r.VM || found.Incarnation != r.Incarnation {
				return r, version, errSuperseded
			}
			// An earlier write was done after all. Other VMs count the lease from then, so the next write confirms the role.
			a.era.set(found.Era, found.RecordsPending)
			return found, version, nil
		}
		if !a.maySendOrders(start) {
			return r, 0, errSteppedBack
		}
		if err == nil {
			next := found.next(r.VM, r.Incarnation, r.Address, version, a.agent.highestTerm())
			next.Term, next.Beat = max(next.Term, nextTerm(r.Term, r.Era, version.Era())), r.Beat+1
			a.setEarlier(&next, start)
			if version, err = putRole(ctx, a.agent.opts.Store, next, version); err == nil {
				a.agent.opts.Logger.Warn("wrote the role again: the store has come back from an older copy", "term", next.Term, "earlier_term", r.Term,
					"found_term", found.Term, "found_vm", found.VM, "revision", version)
				a.recordRole(next, start)
				return next, version, nil
			}
		}
		a.agent.opts.Logger.Info("could not write the role again", "term", r.Term, "error", err.Error())
		pause(ctx, restorePause)
	}
	return r, 0, context.Cause(ctx)
}

// recordRole records that the store has confirmed the role by a write that began at the instant.
func (a *assigner) recordRole(r role, began time.Duration) {
	// In this order, an update in between pairs an earlier beat with a later confirmation, so that VMs wait longer, never shorter.
	a.confirmedAt.Store(int64(began))
	a.beat.Store(r.Beat)
	a.term.Store(r.Term) // Before the era, with which run reads it.
	a.era.set(r.Era, r.RecordsPending)
	a.agent.learnTerm(r.Term)
}

// logConflict logs which role is in the store in place of the one that this VM confirmed last, at the revision confirmed.
func (a *assigner) logConflict(ctx context.Context, confirmed store.Version) {
	found, version, err := readRole(ctx, a.agent.opts.Store)
	if err != nil {
		a.agent.opts.Logger.Warn("the role in the store has changed and could not be read", "term", a.term.Load(), "revision", confirmed, "error", err.Error())
		return
	}
	a.agent.opts.Logger.Warn("the role in the store has changed", "term", a.term.Load(), "revision", confirmed, "found_vm", found.VM, "found_term", found.Term,
		"found_beat", found.Beat, "found_revision", version)
}

// releaseRole gives the role r up in the store, unless another VM has it already.
func (a *assigner) releaseRole(ctx context.Context, r role, version store.Version) {
	if cause := context.Cause(ctx); errors.Is(cause, errSuperseded) || errors.Is(cause, errSteppedBack) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	given := role{Term: r.Term, Settled: true, Era: r.Era}
	_, given.RecordsPending = a.era.get()
	a.setEarlier(&given, boottime.Now())
	if _, err := putRole(ctx, a.agent.opts.Store, given, version); err != nil {
		a.agent.opts.Logger.Info("could not give up the role", "error", err.Error())
	}
}

// takeOverServices takes over the records of the keyed services that this assigner does
// not manage yet.
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
			a.agent.opts.Logger.Warn("could not take over the record of ranges", "service", name, "error", err.Error())
			return
		}
		a.services[name] = s
	}
}

// takeOverService reads the record of a service, creates its LeaseManager and starts to
// write the record with this assigner's term.
func (a *assigner) takeOverService(ctx context.Context, s *serviceState) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := a.agent.opts.Store.Get(ctx, RangePrefix+s.name)
	var record *Record
	era, pending := a.era.get()
	switch {
	case errors.Is(err, store.ErrNotFound):
		_, at, err := a.agent.opts.Store.List(ctx, RangePrefix)
		if err != nil {
			return err
		}
		obj.Version = store.NewVersion(at.Era(), 0)
	case err != nil:
		return err
	default:
		if record, err = DecodeRecord(obj.Value); err != nil {
			return err
		}
	}
	if obj.Version.Era() != era {
		return errors.Wrapf(store.ErrSteppedBack, "%s at revision %s", RangePrefix+s.name, obj.Version)
	}
	if record != nil && record.Term >= a.term.Load() {
		a.agent.learnTerm(record.Term)
		a.stop(errSuperseded)
		return errors.Wrapf(errSuperseded, "%s is of term %d", RangePrefix+s.name, record.Term)
	}
	now := boottime.Now()
	s.version, s.era = obj.Version, era
	distrusted, lost := record != nil && record.Era != era, record == nil && pending
	if lost {
		record = &Record{NextFence: 1}
	}
	s.leases = NewLeaseManager(a.agent.opts.Leases, a.term.Load(), record, now, a.predecessor.until)
	s.leases.BeginEra(a.term.Load(), era)
	s.leases.AllowLateOrders(a.predecessor.arriveUntil)
	if distrusted || lost {
		s.leases.DistrustRecord(record.Era)
		s.distrusted = record
	}
	a.save(ctx, s, s.leases.Record())
	attrs := []any{"service", s.name, "ranges", len(s.leases.OwnedRanges()), "revision", s.version}
	if record != nil {
		attrs = append(attrs, "its_term", record.Term, "next_fence", record.NextFence)
	}
	a.agent.opts.Logger.Info("took over the ranges of a service", attrs...)
	return nil
}

// save writes a record in the background. Its result is sent to a.saves.
func (a *assigner) save(ctx context.Context, s *serviceState, r *Record) {
	s.saving = true
	r.Nonce = newNonce()
	go func(version store.Version, era store.Era, reread bool) {
		// The write continues until its outcome is known, even if the assigner has stopped.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Minute)
		defer cancel()
		began := boottime.Now()
		var err error
		if reread {
			version, err = a.replaceableVersion(ctx, s.name, r, era)
		}
		if err == nil {
			version, err = a.write(ctx, s.name, r, version)
		}
		select {
		case a.saves <- saveResult{service: s.name, era: era, recordEra: r.Era, version: version, err: err, began: began}:
		case <-a.done:
		}
	}(s.version, s.era, s.reread)
}

// replaceableVersion returns the version of the record in the store, which the record r of the era replaces: it comes from an older
// copy, or is this assigner's own. It returns store.ErrConflict for the record of another assigner.
func (a *assigner) replaceableVersion(ctx context.Context, service string, r *Record, era store.Era) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := a.agent.opts.Store.Get(ctx, RangePrefix+service)
	if errors.Is(err, store.ErrNotFound) {
		return store.NewVersion(era, 0), nil
	}
	if err != nil {
		return 0, err
	}
	if obj.Version.Era() != era {
		return 0, errors.Wrap(store.ErrSteppedBack, RangePrefix+service)
	}
	found, err := DecodeRecord(obj.Value)
	if err == nil && (found.Term > r.Term || found.Term < r.Term && found.Era == era) {
		return 0, errors.Wrap(store.ErrConflict, RangePrefix+service)
	}
	return obj.Version, nil // A malformed record is replaced.
}

// write writes a record if the stored one has the expected version. It returns the new
// version. If the stored one comes from an older copy, it returns store.ErrSteppedBack.
func (a *assigner) write(ctx context.Context, service string, r *Record, expected store.Version) (store.Version, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, err
	}
	version, err := putUntilResolved(ctx, a.agent.opts.Store, RangePrefix+service, data, expected, func(found []byte) bool {
		stored, err := DecodeRecord(found)
		return err == nil && stored.Nonce == r.Nonce
	})
	if errors.Is(err, store.ErrConflict) && expected.Era() > 0 {
		if _, replaceableErr := a.replaceableVersion(ctx, service, r, expected.Era()); replaceableErr == nil {
			return 0, errors.WithMessage(store.ErrSteppedBack, err.Error())
		}
	}
	return version, err
}

// handleSaved records the result of save. After a conflict, another VM is the assigner.
func (a *assigner) handleSaved(r saveResult) {
	if r.err == nil || errors.Is(r.err, store.ErrConflict) {
		for _, s := range a.services {
			s.leases.ConfirmDelivery(r.began, boottime.Now())
		}
	}
	s := a.services[r.service]
	s.saving = false
	// The store may have the record, or get it late, so that no other one may be acted on.
	unknown := errors.Is(r.err, store.ErrUnknown) || errors.Is(r.err, store.ErrSteppedBack)
	if s.leases.ProposalPending() && !unknown && (r.err == nil || !s.reread) {
		s.leases.FinishProposal(r.err == nil)
	}
	switch {
	case r.err == nil:
		s.version = r.version
		s.written, s.reread = true, s.reread && r.era != s.era
		s.trusted = r.era == s.era && r.recordEra == s.era
	case errors.Is(r.err, store.ErrConflict) && r.era == s.era:
		a.stop(errSuperseded)
	default:
		s.reread = s.reread || unknown
		s.nextPlan = boottime.Now() + planRetryPause/2 + mathrand.N(planRetryPause)
		s.leases.recordOutdated = true
		a.agent.opts.Logger.Warn("could not write record of ranges", "service", r.service, "error", r.err.Error())
	}
}

// act plans, sends the orders that are due and publishes new tables.
func (a *assigner) act(ctx context.Context, now time.Duration) {
	// A write without an answer is repeated until its outcome is known, so an outage of
	// the store shows only as time without a confirmation.
	outage := float64(a.confirmedAgo()) > outageShare*float64(a.agent.opts.RoleLease)
	for _, s := range a.services {
		a.beginEra(s)
		if s.saving && !s.written {
			continue
		}
		if !s.written || s.reread && !s.saving {
			if now >= s.nextPlan {
				a.save(ctx, s, s.recordInForce())
			}
		}
		if !s.written {
			continue
		}
		if s.leases.PredecessorActs(now) {
			continue
		}
		a.findPossibleHolders(s, now)
		if !s.saving && !s.reread && (now >= s.nextPlan || a.hotSpotBegan(s, now)) {
			s.nextPlan = now + planInterval
			timed(&a.activity.longestPlan, func() { a.plan(ctx, s, now) })
		}
		s.leases.SetStoreOutage(outage, now)
		s.leases.ConfirmDelivery(time.Duration(a.confirmedAt.Load()), boottime.Now())
		if a.maySendOrders(now) {
			// The plan may have taken long, and the timeouts of orders count from when they are due.
			for _, o := range s.dueOrders(boottime.Now()) {
				if !o.Release {
					a.grants.Add(1)
				}
				go a.sendAndReport(ctx, s.name, o)
			}
		}
		if passed := now - s.lastTable; passed < tableInterval(a.vmCount()) || passed < maxTableInterval && !a.linkFree(now) {
			continue
		}
		if t := s.leases.TakeTable(now); t != nil {
			s.lastTable = now
			a.activity.tables++
			timed(&a.activity.longestTable, func() {
				a.agent.publish(s.name, t)
				a.activity.tableBytes += a.broadcastTable(s.name, t, now)
			})
		}
	}
}

// beginEra makes the records of a service those of the era for which the role was last written. The one in the store is then to be
// replaced; what the LeaseManager knows holds on. If this assigner had not written the record yet, the predecessor may have
// changed it since it was read, so that the service is taken over anew.
func (a *assigner) beginEra(s *serviceState) {
	era, _ := a.era.get()
	if s.era == era {
		return
	}
	if !s.written {
		if !s.saving {
			delete(a.services, s.name)
		}
		return
	}
	s.era, s.reread, s.trusted, s.nextPlan = era, true, false, 0
	s.leases.BeginEra(a.term.Load(), era)
	a.mu.Lock()
	defer a.mu.Unlock()
	// Differences are to tables of the same term.
	delete(a.tables, s.name)
}

// findPossibleHolders finds the targets that may hold keys of a service whose record comes from an older copy. By the end of the
// predecessor's role, the entries of targets that run are in the store again.
func (a *assigner) findPossibleHolders(s *serviceState, now time.Duration) {
	if s.distrusted == nil {
		return
	}
	holders, complete := a.agent.possibleHolders(s.name, s.distrusted, now)
	// A copy without the record is from the first seconds of the service, whose targets are all listed.
	complete = complete || len(s.distrusted.Ranges) == 0
	s.distrusted = nil
	s.leases.SetPossibleHolders(holders, complete)
	a.agent.opts.Logger.Warn("the record of ranges comes from an older copy: targets release all keys first", "service", s.name,
		"era", s.era, "targets", len(holders), "all_known", complete)
}

// noteRecordsWritten notes for the next confirmation of the role if the records of all services were written in its era.
func (a *assigner) noteRecordsWritten() {
	era, pending := a.era.get()
	if !pending {
		return
	}
	names, ok := a.agent.opts.Services()
	if !ok {
		return
	}
	for _, name := range names {
		if s := a.services[name]; s == nil || !s.trusted || s.era != era {
			return
		}
	}
	a.era.finish(era)
}

// recordInForce returns the record to be written in place of one of unknown outcome, or of an older copy.
func (s *serviceState) recordInForce() *Record {
	if s.leases.ProposalPending() {
		return s.leases.Proposal()
	}
	return s.leases.Record()
}

// dueOrders returns the orders that are due, of which there are none before the record in the store reserves their
// tokens.
func (s *serviceState) dueOrders(now time.Duration) []Order {
	if !s.written {
		return nil
	}
	return s.leases.DueOrders(now)
}

// plan proposes the moves that are due and writes them to the store. Without moves, it
// writes a record that is outdated.
func (a *assigner) plan(ctx context.Context, s *serviceState, now time.Duration) {
	s.leases.RetryLost(now)
	owned := s.leases.OwnedRanges()
	targets := a.planTargets(s, owned, now)
	if len(owned) == 0 && !a.targetsStable(s.name) {
		return
	}
	shares := HotKeyShares(owned, targets, s.load, a.vmCount())
	s.load.WatchKeys(maps.Keys(shares))
	s.leases.SetShares(shares)
	if s.fewSlots = haveFewSlots(targets); s.fewSlots {
		s.load.FindHotSpots(now)
		a.recordSpots(s, now)
	}
	moves := Plan(owned, targets, s.load, a.agent.opts.Plan, now)
	if r := s.leases.Propose(moves, now); r != nil {
		a.recordMoves(s, moves, now)
		a.save(ctx, s, r)
		return
	}
	if s.leases.RecordOutdated() && now >= s.nextUpdate {
		s.nextUpdate = now + recordInterval
		a.save(ctx, s, s.leases.Record())
	}
}

// tableInterval returns the least time between two tables that are sent to this number of VMs.
func tableInterval(vms int) time.Duration {
	return max(minTableInterval, time.Duration(vms)*tableIntervalPerVM)
}

// vmCount returns the number of VMs, this one included.
func (a *assigner) vmCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.followers) + 1
}

// targetsStable reports whether no new target of the service has appeared for
// FirstTableDelay.
func (a *assigner) targetsStable(service string) bool {
	for _, t := range a.agent.opts.Directory.Snapshot().Service(service) {
		if time.Since(t.FirstSeen) < a.agent.opts.FirstTableDelay {
			return false
		}
	}
	return true
}

// planTargets returns the targets of the service that may own keys. Owners that are not among them
// hand their keys over.
func (a *assigner) planTargets(s *serviceState, owned []OwnedRange, now time.Duration) []PlanTarget {
	var out []PlanTarget
	// cold has the rates that the cold targets can handle.
	cold := make(map[string]float64)
	withKeys := make(map[string]bool, len(owned))
	for _, o := range owned {
		withKeys[o.Owner.ID] = true
	}
	place := a.agent.opts.Placement
	targets := place.outsideEvacuations(a.agent.opts.Directory.Snapshot().Service(s.name))
	regions := make(map[string]string, len(targets))
	times := a.targets.serviceTimesOf(targets)
	for _, t := range targets {
		if t.State != fleet.Ready {
			continue
		}
		h := Holder{ID: t.ID, Address: t.Address, Born: t.Born}
		if !s.leases.MayOwn(h) {
			continue
		}
		regions[t.ID] = t.Region
		p := PlanTarget{Holder: h, Capacity: times.capacity(t), Answered: a.targets.answered(t.ID, now), Slots: t.Slots, WithoutKeys: !withKeys[t.ID]}
		if limit, ok := a.targets.limitOf(h, now); ok && limit < p.Capacity {
			p.Capacity, p.FullCapacity = limit, p.Capacity
		}
		if a.agent.opts.Cold != nil {
			if perSecond, ok := a.agent.opts.Cold(t); ok {
				cold[t.ID] = perSecond
			}
		}
		out = append(out, p)
	}
	// The region decides first: a cold target in an allowed region serves requests that a warm one elsewhere may not get.
	return withColdIfNeeded(place.inAllowedRegions(s.name, out, regions), cold)
}

// sendAndReport sends an order and passes its result to run.
func (a *assigner) sendAndReport(ctx context.Context, service string, o Order) {
	r := a.sendOrder(ctx, o)
	a.agent.confirmDelivery(r)
	if !o.Release {
		a.grants.Done()
	}
	a.logOrder(service, r)
	select {
	case a.results <- serviceResult{service, r}:
	case <-a.done:
	}
}

// sendOrder sends an order and returns its result. If the role is not confirmed, the context has ended or the order was due
// longer ago than its timeout, it sends nothing and the result's error is ErrNotSent.
func (a *assigner) sendOrder(ctx context.Context, o Order) Result {
	r := Result{Order: o}
	now := boottime.Now()
	if !a.maySendOrders(now) || ctx.Err() != nil {
		r.Err = errors.WithMessage(ErrNotSent, "the role is not confirmed")
		return r
	}
	timeout := o.timeLeft(now)
	if timeout <= 0 {
		r.Err = errors.WithMessage(ErrNotSent, "it was due too long ago")
		return r
	}
	r.Sent = now
	if o.Release {
		r.Handover, r.Err = a.agent.opts.Orders.Release(ctx, o.To, o.Keys, o.Fence, timeout)
	} else {
		r.Err = a.agent.opts.Orders.Grant(ctx, o.To, Grant{Keys: o.Keys, Fence: o.Fence, LeaseDuration: o.LeaseDuration, Handover: o.Handover}, timeout)
	}
	r.Ended = boottime.Now()
	return r
}

func (a *assigner) logOrder(service string, r Result) {
	what := "grant"
	if r.Order.Release {
		what = "release"
	}
	attrs := []any{
		"order", what, "service", service, "target", r.Order.To.ID, "from", r.Order.Keys.From,
		"to", r.Order.Keys.To, "fence", r.Order.Fence, "term", a.term.Load(),
	}
	if !r.Order.Release {
		attrs = append(attrs, "lease_ms", r.Order.LeaseDuration.Milliseconds())
	}
	if r.Sent > 0 {
		a.agent.metrics.observeOrder(what, r)
		attrs = append(attrs, "waited_ms", (r.Sent - r.Order.DueAt).Milliseconds(), "took_ms", (r.Ended - r.Sent).Milliseconds())
	}
	if r.Err != nil {
		a.agent.opts.Logger.Warn("order failed", append(attrs, "error", r.Err.Error())...)
		return
	}
	a.agent.opts.Logger.Debug("order done", append(attrs, "handover", r.Handover != "")...)
}

// applyReport adds a VM's report of key loads and target states, and renews at once the
// leases of the targets that the VM could not reach.
func (a *assigner) applyReport(r *pb.ShardReport) {
	now := boottime.Now()
	if a.predecessor.testifies(r) && a.predecessor.stopped(now) {
		a.limitPredecessor(now)
	}
	a.agent.mergeSuspects(r.GetSuspects())
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
	if len(r.GetUnreachable()) == 0 {
		return
	}
	for _, s := range a.services {
		s.leases.RenewNow(now, func(h Holder) bool { return slices.Contains(r.GetUnreachable(), h.ID) })
	}
}

// limitPredecessor passes on that the predecessor has stopped.
func (a *assigner) limitPredecessor(now time.Duration) {
	a.agent.opts.Logger.Info("the previous assigner no longer acts", "vm", a.predecessor.vm, "its_term", a.predecessor.term, "term", a.term.Load(),
		"sign", evidence.Testimony.String(), "orders_in_ms", (a.predecessor.until - now).Milliseconds())
	a.storePredecessor()
	for _, s := range a.services {
		s.leases.LimitPredecessor(a.predecessor.until, a.predecessor.arriveUntil)
	}
}
