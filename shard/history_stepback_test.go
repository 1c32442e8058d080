package shard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
)

// simCallTimeout bounds a call to the store, in about the proportion to the order timeout that callTimeout has.
const simCallTimeout = 500 * time.Millisecond

// simRecordKey is the store key of the record of the histories' service.
const simRecordKey = RangePrefix + stepBackService

// simObject is an object in the store: a role or a *Record.
type simObject struct {
	value    any
	revision uint64
}

// simCopy is a copy of the store from which it may come back.
type simCopy struct {
	at       time.Duration
	revision uint64
	objects  map[string]simObject
}

// simVM is a VM that takes the role over now and then. Its Agent is only state for the decisions; there are no connections.
type simVM struct {
	agent  *Agent
	active *stepBackAssigner
	// seen and seenAt are those of assignerSearch.
	seen   store.Version
	seenAt time.Duration
	// searching is set during an attempt to take the role over.
	searching bool
	// cutUntil is the end of a time without the store, and frozenUntil of one in which the VM does nothing.
	cutUntil, frozenUntil time.Duration
	// quietUntil is the end of the orders in flight after the VM has stopped acting as the assigner.
	quietUntil time.Duration
}

// stepBackAssigner is an assigner that keeps its role and its record in a store that may step back.
type stepBackAssigner struct {
	simAssigner
	vm *simVM
	// role is the one that the store has confirmed last, and stored is the one in the store as far as known.
	role, stored   role
	roleVersion    store.Version
	nextConfirm    time.Duration
	confirming     bool
	recordsPending bool
	// The rest is that of serviceState. reading is set while the record is read first.
	reading, written, trusted, reread, saving bool
	era                                       store.Era
	recordVersion                             store.Version
	distrusted                                *Record
	nextPlan                                  time.Duration
}

// stepBackSimulation is a simulation of VMs with a store that comes back from older copies.
type stepBackSimulation struct {
	*simulation
	vms       []*simVM
	assigners []*stepBackAssigner
	era       store.Era
	revision  uint64
	objects   map[string]simObject
	copies    []simCopy
	// senders are the assigners that have sent an order in each term, and tokens the tokens of the orders.
	senders map[uint64]*simAssigner
	tokens  map[uint64]bool
	// sent is the order of the assigners' first orders.
	sent  []*simAssigner
	ended bool
	// The counts show what the histories had.
	stepBacks, restored, takeOvers, distrusted int
}

func newStepBackSimulation(t *testing.T, seed uint64) *stepBackSimulation {
	w := &stepBackSimulation{
		simulation: newSimulatedTargets(t, seed), objects: map[string]simObject{}, senders: map[uint64]*simAssigner{}, tokens: map[uint64]bool{},
	}
	w.onSend = w.checkSender
	for range 3 {
		vm := &simVM{}
		w.vms = append(w.vms, vm)
		w.start(vm)
		if w.chance(0.7) {
			vm.agent.rememberAll(w, -time.Minute)
		}
	}
	w.search(w.vms[0])
	return w
}

// checkSender checks that an assigner acts in a term of its own, with new tokens, and not after a later one.
func (w *stepBackSimulation) checkSender(a *simAssigner, o Order) {
	cell, _ := cellRange(o.Keys)
	if other := w.senders[a.leases.term]; other != nil && other != a {
		w.fail(cell, "has orders of two assigners in term %d", a.leases.term)
	}
	if w.tokens[o.Fence] {
		w.fail(cell, "has a second order with token %d", o.Fence)
	}
	w.senders[a.leases.term], w.tokens[o.Fence] = a, true
	if !slices.Contains(w.sent, a) {
		w.sent = append(w.sent, a)
	}
	if a != w.sent[len(w.sent)-1] {
		w.fail(cell, "has an order of term %d after the first one of term %d", a.leases.term, w.sent[len(w.sent)-1].leases.term)
	}
}

// start starts the process of a VM.
func (w *stepBackSimulation) start(vm *simVM) {
	name := fmt.Sprintf("vm%d", slices.Index(w.vms, vm))
	incarnation := fmt.Sprint(w.now)
	*vm = simVM{cutUntil: vm.cutUntil}
	vm.agent = &Agent{incarnation: incarnation, opts: AgentOptions{
		VM: name, RoleLease: simRoleLease, Leases: simLeases.withDefaults(),
	}}
}

// stepBack makes the store come back from its copy of an instant.
func (w *stepBackSimulation) stepBack(to time.Duration) {
	w.copies = slices.DeleteFunc(w.copies, func(c simCopy) bool { return c.at > to })
	var c simCopy
	if n := len(w.copies); n > 0 {
		c = w.copies[n-1]
	}
	w.era++
	w.stepBacks++
	w.revision, w.objects = c.revision, maps.Clone(c.objects)
	if w.objects == nil {
		w.objects = map[string]simObject{}
	}
	w.logf("the store steps back to %v, era %d, role %+v", to, w.era, w.objects[RoleKey].value)
}

// call carries op out at the store, perhaps late or never, and handles the answer unless the VM was started again.
func (w *stepBackSimulation) call(vm *simVM, op func(), answered func(ok bool)) {
	agent := vm.agent
	if w.now < vm.frozenUntil {
		w.after(vm.frozenUntil-w.now, func() {
			if !w.ended && vm.agent == agent {
				w.call(vm, op, answered)
			}
		})
		return
	}
	there, back := w.between(time.Millisecond, 30*time.Millisecond), w.between(time.Millisecond, 30*time.Millisecond)
	if w.chance(0.1) {
		there = w.between(0, simCallTimeout)
	}
	if w.chance(0.02) {
		there = w.between(simCallTimeout, 3*time.Second)
	}
	lost := w.now < vm.cutUntil || w.chance(0.02)
	if !lost {
		w.after(there, op)
	}
	ok := !lost && there+back < simCallTimeout && !w.chance(0.02)
	took := there + back
	if !ok {
		took = simCallTimeout
	}
	var handle func()
	handle = func() {
		switch {
		case w.ended || vm.agent != agent:
		case w.now < vm.frozenUntil:
			w.after(vm.frozenUntil-w.now, handle)
		default:
			answered(ok)
		}
	}
	w.after(took, handle)
}

// learnEra is learnEra of Agent at an instant of the history. It returns false if the answer is of an earlier era, and is not taken.
func (w *stepBackSimulation) learnEra(vm *simVM, era store.Era) bool {
	if era > vm.agent.era || vm.agent.eraSince == 0 {
		vm.agent.era, vm.agent.eraSince = era, w.now
		if vm.active != nil {
			vm.active.nextConfirm = w.now
		}
	}
	return era == vm.agent.era
}

func (w *stepBackSimulation) read(vm *simVM, key string, done func(value any, version store.Version, ok bool)) {
	var o simObject
	var era store.Era
	w.call(vm, func() { o, era = w.objects[key], w.era }, func(ok bool) {
		ok = ok && w.learnEra(vm, era)
		done(o.value, store.NewVersion(era, o.revision), ok)
	})
}

// put is putUntilResolved. The store compares revisions and knows nothing of the writer's era.
func (w *stepBackSimulation) put(vm *simVM, key string, value any, expected store.Version, unknown bool, done func(store.Version, error)) {
	if expected.Era() < vm.agent.era {
		done(0, store.ErrSteppedBack)
		return
	}
	agent := vm.agent
	var era store.Era
	var version store.Version
	op := func() {
		if era = w.era; w.objects[key].revision != expected.Revision() {
			return
		}
		w.revision++
		version = store.NewVersion(era, w.revision)
		w.objects[key] = simObject{value, w.revision}
		w.copies = append(w.copies, simCopy{w.now, w.revision, maps.Clone(w.objects)})
	}
	again := func() {
		w.after(unknownRetryPause, func() {
			if !w.ended && vm.agent == agent {
				w.put(vm, key, value, expected, true, done)
			}
		})
	}
	w.call(vm, op, func(ok bool) {
		switch {
		case !ok:
			again()
		case !w.learnEra(vm, era) || era != expected.Era():
			done(0, store.ErrSteppedBack)
		case version > 0:
			done(version, nil)
		case !unknown:
			done(0, store.ErrConflict)
		default:
			w.read(vm, key, func(found any, at store.Version, ok bool) {
				switch {
				case !ok:
					again()
				case found == value:
					done(at, nil)
				default:
					done(0, store.ErrConflict)
				}
			})
		}
	})
}

// search makes a VM take the role over, whatever it can know of its holder.
func (w *stepBackSimulation) search(vm *simVM) {
	if vm.searching || vm.active != nil || w.now < max(vm.quietUntil, vm.frozenUntil) {
		return
	}
	vm.searching = true
	w.read(vm, RoleKey, func(value any, version store.Version, ok bool) {
		vm.searching = false
		if !ok {
			return
		}
		r, _ := value.(role)
		if version != vm.seen || vm.seenAt == 0 {
			vm.seen, vm.seenAt = version, w.now
		}
		vm.agent.learnTerm(r.Term)
		// An Agent waits longer, which only the living assigner needs, to write its role again.
		restorable := vm.agent.unknownActsUntil(vm.seenAt)
		if version.Revision() > 0 && r.ofEarlierEra(version) && w.now < restorable && w.chance(0.6) {
			w.after(restorable-w.now, func() { w.search(vm) })
			return
		}
		w.takeOver(vm, r, version)
	})
}

// takeOver is takeOver of Agent.
func (w *stepBackSimulation) takeOver(vm *simVM, old role, version store.Version) {
	v := vacancy{sign: evidence.Silence, seenAt: vm.seenAt}
	switch {
	case version.Revision() == 0 || old.VM == "":
		v.sign = evidence.Resignation
	case old.VM == vm.agent.opts.VM && old.Incarnation != vm.agent.incarnation:
		v.sign = evidence.Testimony
	}
	confirmed := vm.seenAt
	if vm.agent.confirmedLast(old) {
		confirmed = min(confirmed, vm.agent.lastConfirmation.confirmedAt)
	}
	v.actsUntil = evidence.ActsUntil(v.sign, confirmed, simRoleLease, w.now)
	start := w.now
	p, settled := vm.agent.predecessorOf(old, version, v, start)
	r := old.next(vm.agent.opts.VM, vm.agent.incarnation, "", version, vm.agent.highestTerm())
	r.setEarlier(p.until, p.arriveUntil, start)
	vm.searching = true
	w.put(vm, RoleKey, r, version, false, func(written store.Version, err error) {
		vm.searching = false
		if err != nil {
			return
		}
		if settled {
			p.extend(w.now)
		}
		a := &stepBackAssigner{vm: vm, role: r, stored: r, roleVersion: written, recordsPending: r.RecordsPending}
		a.confirmed, a.predecessor, a.orderableFrom = start, p, p.orderableFrom()
		w.scheduleConfirmation(a)
		vm.agent.learnTerm(r.Term)
		vm.active = a
		w.assigners = append(w.assigners, a)
		w.takeOvers++
		w.logf("%s: takes term %d over in era %d from %s, term %d (%v), orders from %v", r.VM, r.Term, r.Era, old.VM, old.Term, v.sign, p.until)
		for _, other := range w.vms {
			if other != vm && w.chance(0.6) {
				w.after(w.between(10*time.Millisecond, time.Second), func() { w.announce(a, other) })
			}
		}
		if w.chance(0.3) {
			w.after(w.between(0, simRoleLease/2), func() { w.cutOff(vm) })
		}
		if w.chance(0.2) {
			before := w.now - w.between(0, simCallTimeout)
			w.after(w.between(0, 3*time.Second), func() {
				if !w.ended {
					w.stepBack(before)
				}
			})
		}
	})
}

// announce tells a VM of an assigner, to which it reports once it has no orders in flight.
func (w *stepBackSimulation) announce(a *stepBackAssigner, to *simVM) {
	if w.ended || a.stopped || w.now < to.frozenUntil {
		return
	}
	if to.active != nil {
		if a.role.Term <= to.active.role.Term {
			return
		}
		w.stop(to.active, "superseded by announcement")
	}
	w.after(max(to.quietUntil-w.now, 0)+10*time.Millisecond, func() {
		if a.stopped || to.active != nil || w.now < max(to.quietUntil, to.frozenUntil) {
			return
		}
		to.agent.learnTerm(a.role.Term)
		report := &pb.ShardReport{Vm: to.agent.opts.VM, KnownTerm: to.agent.knownTerm}
		if !a.predecessor.testifies(report) || !a.predecessor.stopped(w.now) {
			return
		}
		w.logf("%s: its predecessor has stopped, orders from %v", a.role.VM, a.predecessor.until)
		a.orderableFrom = a.predecessor.orderableFrom()
		if a.leases != nil {
			a.leases.LimitPredecessor(a.predecessor.until, a.predecessor.arriveUntil)
		}
	})
}

func (w *stepBackSimulation) stop(a *stepBackAssigner, reason string) {
	if a.stopped {
		return
	}
	w.logf("%s: no longer the assigner of term %d: %s", a.role.VM, a.role.Term, reason)
	a.stopped = true
	if a.vm.active == a {
		a.vm.active, a.vm.quietUntil = nil, w.now+simOrderTimeout+10*time.Millisecond
	}
}

// resign gives the role up, with long leases.
func (w *stepBackSimulation) resign(a *stepBackAssigner) {
	if a.written && a.maySendOrders(w.now) {
		a.leases.SetStoreOutage(true, w.now)
		w.sendDue(&a.simAssigner)
	}
	w.stop(a, "resigns")
	w.after(simOrderTimeout+30*time.Millisecond, func() {
		given := role{Term: a.stored.Term, Settled: true, Era: a.stored.Era, RecordsPending: a.recordsPending}
		given.setEarlier(a.predecessor.until, a.predecessor.arriveUntil, w.now)
		w.put(a.vm, RoleKey, given, a.roleVersion, false, func(store.Version, error) {})
	})
}

// scheduleConfirmation is confirmInterval.
func (w *stepBackSimulation) scheduleConfirmation(a *stepBackAssigner) {
	a.confirming, a.nextConfirm = false, a.confirmed+simRoleLease/3
	if a.orderableFrom > a.confirmed {
		a.nextConfirm = min(a.nextConfirm, max(a.orderableFrom, w.now))
	}
}

// recordRole records that the store has confirmed the role by a write that began at the instant.
func (w *stepBackSimulation) recordRole(a *stepBackAssigner, r role, version store.Version, began time.Duration) {
	a.role, a.stored, a.roleVersion, a.confirmed = r, r, version, began
	a.vm.agent.learnTerm(r.Term)
	w.scheduleConfirmation(a)
}

// confirm is one round of confirmRole.
func (w *stepBackSimulation) confirm(a *stepBackAssigner) {
	a.confirming = true
	start, r := w.now, a.stored
	r.Beat++
	r.RecordsPending = a.recordsPending
	r.setEarlier(a.predecessor.until, a.predecessor.arriveUntil, start)
	w.put(a.vm, RoleKey, r, a.roleVersion, false, func(version store.Version, err error) {
		switch {
		case a.stopped:
		case err == nil:
			w.recordRole(a, r, version, start)
		default:
			w.restore(a, r)
		}
	})
}

// restore is restoreRole.
func (w *stepBackSimulation) restore(a *stepBackAssigner, r role) {
	if a.stopped || w.ended {
		return
	}
	again := func() { w.after(restorePause, func() { w.restore(a, r) }) }
	w.read(a.vm, RoleKey, func(value any, version store.Version, ok bool) {
		start := w.now
		found, _ := value.(role)
		switch {
		case a.stopped:
		case ok && !found.ofEarlierEra(version):
			if found.VM != r.VM || found.Incarnation != r.Incarnation {
				w.stop(a, "superseded")
				return
			}
			a.recordsPending = a.recordsPending || found.RecordsPending
			a.stored, a.roleVersion, a.confirming, a.nextConfirm = found, version, false, w.now
		case !a.maySendOrders(start):
			w.stop(a, "the store has stepped back")
		case !ok:
			again()
		default:
			next := found.next(r.VM, r.Incarnation, r.Address, version, a.vm.agent.highestTerm())
			next.Term, next.Beat = max(next.Term, nextTerm(r.Term, r.Era, version.Era())), r.Beat+1
			next.setEarlier(a.predecessor.until, a.predecessor.arriveUntil, start)
			w.put(a.vm, RoleKey, next, version, false, func(version store.Version, err error) {
				switch {
				case a.stopped:
				case err != nil:
					again()
				default:
					w.logf("%s: wrote its role of term %d again, as term %d of era %d", r.VM, r.Term, next.Term, next.Era)
					w.restored++
					w.recordRole(a, next, version, start)
					a.recordsPending = true
				}
			})
		}
	})
}

// takeOverService is that of the assigner.
func (w *stepBackSimulation) takeOverService(a *stepBackAssigner) {
	a.reading = true
	w.read(a.vm, simRecordKey, func(value any, version store.Version, ok bool) {
		a.reading = false
		if a.stopped || !ok || version.Era() != a.role.Era {
			return
		}
		record, _ := value.(*Record)
		if record != nil && record.Term >= a.role.Term {
			a.vm.agent.learnTerm(record.Term)
			w.stop(a, "superseded, as the record shows")
			return
		}
		a.era, a.recordVersion = a.role.Era, version
		distrusted, lost := record != nil && record.Era != a.era, record == nil && a.recordsPending
		if lost {
			record = &Record{NextFence: 1}
		}
		a.leases = NewLeaseManager(simLeases, a.role.Term, record, w.now, a.predecessor.until)
		a.leases.BeginEra(a.role.Term, a.era)
		a.leases.AllowLateOrders(a.predecessor.arriveUntil)
		if distrusted || lost {
			a.leases.DistrustRecord(record.Era)
			a.distrusted = record
			w.distrusted++
		}
		w.save(a, a.leases.Record())
	})
}

// rememberAll remembers all targets since the instant.
func (a *Agent) rememberAll(w *stepBackSimulation, since time.Duration) {
	var all []Holder
	for _, t := range w.targets {
		all = append(all, t.holder)
	}
	a.holders.since = cmp.Or(a.holders.since, since)
	a.holders.add(stepBackService, all, w.now)
}

// possibleHolders is that of Agent. A VM that does not run long misses some targets.
func (w *stepBackSimulation) possibleHolders(vm *simVM, r *Record) ([]Holder, bool) {
	holders, complete := vm.agent.holders.holdersOf(stepBackService, w.now)
	lost := len(r.Ranges) == 0
	for _, t := range w.targets {
		if lost || w.chance(0.5) {
			holders = append(holders, t.holder)
		}
	}
	for _, rr := range r.Ranges {
		holders = append(append(holders, rr.Owner), rr.FormerOwners...)
	}
	holders = latestIncarnations(holders)
	slices.SortFunc(holders, func(a, b Holder) int { return cmp.Compare(a.ID, b.ID) })
	return holders, complete || lost
}

// save is that of the assigner.
func (w *stepBackSimulation) save(a *stepBackAssigner, r *Record) {
	a.saving = true
	era, reread := a.era, a.reread
	finish := func(version store.Version, err error) {
		if !a.stopped {
			w.handleSaved(a, r, era, version, err)
		}
	}
	write := func(expected store.Version) {
		w.put(a.vm, simRecordKey, r, expected, false, func(version store.Version, err error) {
			if !errors.Is(err, store.ErrConflict) || expected.Era() == 0 {
				finish(version, err)
				return
			}
			w.replaceable(a, r, expected.Era(), func(_ store.Version, replaceErr error) {
				if replaceErr == nil {
					err = store.ErrSteppedBack
				}
				finish(0, err)
			})
		})
	}
	if !reread {
		write(a.recordVersion)
		return
	}
	w.replaceable(a, r, era, func(version store.Version, err error) {
		if err != nil {
			finish(0, err)
			return
		}
		write(version)
	})
}

// replaceable is replaceableVersion.
func (w *stepBackSimulation) replaceable(a *stepBackAssigner, r *Record, era store.Era, done func(store.Version, error)) {
	w.read(a.vm, simRecordKey, func(value any, version store.Version, ok bool) {
		found, _ := value.(*Record)
		switch {
		case !ok:
			done(0, store.ErrUnavailable)
		case version.Era() != era:
			done(0, store.ErrSteppedBack)
		case found != nil && (found.Term > r.Term || found.Term < r.Term && found.Era == era):
			done(0, store.ErrConflict)
		default:
			done(version, nil)
		}
	})
}

// handleSaved is that of the assigner.
func (w *stepBackSimulation) handleSaved(a *stepBackAssigner, r *Record, era store.Era, version store.Version, err error) {
	a.saving = false
	unknown := errors.Is(err, store.ErrSteppedBack)
	if a.leases.ProposalPending() && !unknown && (err == nil || !a.reread) {
		a.leases.FinishProposal(err == nil)
	}
	switch {
	case err == nil:
		a.recordVersion = version
		a.written, a.reread = true, a.reread && era != a.era
		a.trusted = era == a.era && r.Era == a.era
	case errors.Is(err, store.ErrConflict) && era == a.era:
		w.stop(a, "superseded, as its record shows")
	default:
		a.reread = a.reread || unknown
		a.nextPlan = w.now + planRetryPause
		a.leases.recordOutdated = true
	}
}

// act is a step of an assigner's loop.
func (w *stepBackSimulation) act(a *stepBackAssigner) {
	if a.stopped || w.now < a.vm.frozenUntil {
		return
	}
	if !a.confirming && w.now >= a.nextConfirm {
		w.confirm(a)
	}
	for _, vm := range w.vms {
		if vm.active == nil && w.now >= vm.frozenUntil && w.chance(0.03) {
			vm.agent.lastConfirmation = roleConfirmation{a.role.Term, a.role.Beat, a.confirmed}
			vm.agent.learnTerm(a.role.Term)
		}
	}
	if a.leases != nil && a.era != a.role.Era && (a.written || !a.saving) {
		w.beginEra(a)
	}
	if a.leases == nil {
		if !a.reading {
			w.takeOverService(a)
		}
		return
	}
	if !a.saving && (!a.written || a.reread) && w.now >= a.nextPlan {
		w.save(a, (&serviceState{leases: a.leases}).recordInForce())
	}
	if !a.written || a.leases.PredecessorActs(w.now) {
		return
	}
	if a.distrusted != nil {
		a.leases.SetPossibleHolders(w.possibleHolders(a.vm, a.distrusted))
		a.distrusted = nil
	}
	if a.trusted && a.era == a.role.Era {
		a.recordsPending = false
	}
	if !a.saving && !a.reread && w.now >= a.nextPlan && w.chance(0.05) {
		if r := w.propose(&a.simAssigner); r != nil {
			w.save(a, r)
		} else if a.leases.RecordOutdated() {
			w.save(a, a.leases.Record())
		}
	}
	if w.chance(0.03) {
		w.setShares(&a.simAssigner)
	}
	a.leases.SetStoreOutage(w.now-a.confirmed > time.Duration(outageShare*float64(simRoleLease)), w.now)
	w.sendDue(&a.simAssigner)
}

// beginEra is that of the assigner.
func (w *stepBackSimulation) beginEra(a *stepBackAssigner) {
	if !a.written {
		a.leases, a.reread, a.nextPlan = nil, false, 0
		return
	}
	a.era, a.reread, a.trusted, a.nextPlan = a.role.Era, true, false, 0
	a.leases.BeginEra(a.role.Term, a.era)
}

func (w *stepBackSimulation) run(length time.Duration) {
	for w.now < length {
		w.now += simStep
		w.runEvents()
		w.injectTargetFaults()
		w.injectVMFaults()
		for _, a := range w.assigners {
			w.act(a)
		}
		w.check()
	}
	w.ended = true
	for _, a := range w.assigners {
		if w.stop(a, "the history ends"); a.leases != nil {
			w.simulation.assigners = append(w.simulation.assigners, &a.simAssigner)
		}
	}
	w.checkSettled()
}

// injectVMFaults injects the random faults of this step at the VMs and the store, and makes VMs take the role over.
func (w *stepBackSimulation) injectVMFaults() {
	if w.chance(0.0005) {
		w.stepBackSoon(0)
	}
	vm := w.vms[w.rng.IntN(len(w.vms))]
	switch {
	case w.chance(0.003):
		w.cutOff(vm)
	case w.chance(0.001):
		vm.frozenUntil = w.now + w.between(100*time.Millisecond, 3*time.Second)
		w.logf("%s is frozen until %v", vm.agent.opts.VM, vm.frozenUntil)
		if vm.active != nil {
			vm.active.stalledUntil = vm.frozenUntil
		}
	case w.chance(0.0005):
		if vm.active != nil {
			w.stop(vm.active, "killed")
		}
		w.start(vm)
		vm.frozenUntil = w.now + w.between(100*time.Millisecond, time.Second)
	case w.chance(0.001) && vm.active != nil:
		w.resign(vm.active)
	case w.chance(0.006):
		w.search(vm)
	}
	if vm.agent.eraSince > 0 && w.chance(0.05) {
		vm.agent.rememberAll(w, w.now)
	}
}

// cutOff cuts a VM off from the store for a while.
func (w *stepBackSimulation) cutOff(vm *simVM) {
	vm.cutUntil = w.now + w.between(300*time.Millisecond, 4*time.Second)
	w.logf("%s is cut off from the store until %v", vm.agent.opts.VM, vm.cutUntil)
}

// stepBackSoon makes the store step back after the delay, and perhaps once more soon after.
func (w *stepBackSimulation) stepBackSoon(delay time.Duration) {
	w.after(delay, func() {
		if w.ended {
			return
		}
		w.stepBack(w.now - w.between(100*time.Millisecond, 5*time.Second))
		if w.chance(0.3) {
			w.stepBackSoon(w.between(50*time.Millisecond, 2*time.Second))
		}
	})
}

// After the store had come back from an older copy, two targets held the same keys.
func TestRandomHistoriesWithAnOlderCopyHaveOneHolderPerKey(t *testing.T) {
	var grants, stepBacks, restored, takeOvers, distrusted int
	seed := uint64(0)
	defer func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	}()
	for ; seed < uint64(historyCount()); seed++ {
		w := newStepBackSimulation(t, seed)
		w.run(20 * time.Second)
		grants, stepBacks, restored, takeOvers, distrusted = grants+w.grants, stepBacks+w.stepBacks, restored+w.restored, takeOvers+w.takeOvers, distrusted+w.distrusted
	}
	t.Logf("%d grants, %d step backs, %d roles written again, %d take-overs, %d records distrusted", grants, stepBacks, restored, takeOvers, distrusted)
	if n := historyCount(); grants < 60*n || stepBacks < 2*n || restored < n/2 || takeOvers < 2*n || distrusted < n/2 {
		t.Fatalf("the %d histories had too little of something", n)
	}
}
