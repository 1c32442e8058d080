package assign

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/target"
)

const (
	ms       = time.Millisecond
	simGroup = ownership.GroupID("g")
	// storeDC is the index of the store's data centre.
	storeDC = 0
	// maxEvents limits the events of a history, so that a Core that wakes without end fails
	// the test.
	maxEvents = 1_000_000
)

// simEvent is one future event of a sim. Events of the same time run in the order of seq.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []simEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(simEvent)) }
func (a *eventQueue) Pop() any     { old := *a; x := old[len(old)-1]; *a = old[:len(old)-1]; return x }

// simClock is the clock of a node: it has a rate of its own and may stand still while the node
// is frozen.
type simClock struct {
	rate            float64
	started         time.Duration
	stoppedFor      time.Duration
	frozenAt        time.Duration
	frozen          bool
	stopsWhenFrozen bool
}

func (k *simClock) read(now time.Duration) time.Duration {
	stoppedFor := k.stoppedFor
	if k.frozen && k.stopsWhenFrozen {
		stoppedFor += now - k.frozenAt
	}
	return time.Duration(float64(now-k.started-stoppedFor) * k.rate)
}

// simNode is the common part of VMs and targets: a clock, freezes and crashes.
type simNode struct {
	index       int
	dc          int
	clock       simClock
	down        bool
	incarnation uint64
	deferred    []func() // events that arrived while frozen
}

// simVM runs a Core and a Supporter.
type simVM struct {
	simNode
	id        ownership.VMID
	core      *Core
	supporter *lease.Supporter
	wakeSeq   int
	// stopping is set when a planned stop begins, stopped when it is complete.
	stopping, stopped bool
}

// simTarget is a target that follows the lease protocol.
type simTarget struct {
	simNode
	info     ownership.Target
	highest  ownership.Token
	held     ownership.Token
	grants   map[ownership.Slot]ownership.Token
	leaseEnd time.Duration
	health   target.Health
}

// simStore is the store, which holds one record.
type simStore struct {
	rec     *ownership.Record
	version store.Version
	history []*ownership.Record
	down    bool
	// answerLossRate is the probability that the answer to a write is lost; delay is the upper
	// bound of a random extra latency.
	answerLossRate float64
	delay          time.Duration
	writes         int
	reads          int
}

// sim is a deterministic simulation of one group: its VMs, targets and store and the network
// between them. Node index -1 in cut stands for the store.
type sim struct {
	rng        *rand.Rand
	now        time.Duration
	seq        int
	eventCount int
	queue      eventQueue
	vms        []*simVM
	targets    []*simTarget
	store      simStore
	opts       Options
	// cut holds the directions (from, to) that are cut. lossRate is the probability that a
	// message is lost, delaySpike the upper bound of an extra delay of a quarter of them.
	cut        map[[2]int]bool
	lossRate   float64
	delaySpike time.Duration
	// extraDelay holds an extra delay for each direction.
	extraDelay map[[2]int]time.Duration
	// view is the newest view that entries have received.
	view *ownership.View
	// mayRun holds which target that does not check tokens may run requests of a slot, and
	// until when.
	mayRun       map[ownership.Slot]runWindow
	sentCommands map[string]Command
	done         map[string]CommandDone
	violations   []string
	// interceptAction is called before each action, which is dropped if it returns true. trace
	// logs each action. Both may be nil.
	interceptAction func(vm *simVM, a Action) bool
	trace           func(format string, args ...any)
}

// runWindow is the time until which a target may run requests of a slot.
type runWindow struct {
	owner ownership.TargetID
	until time.Duration
}

type simConfig struct {
	seed          uint64
	vms           int
	dcs           int
	targets       int
	slots         int
	noTokenChecks bool
}

func newSim(cfg simConfig) *sim {
	s := &sim{
		rng:          rand.New(rand.NewPCG(cfg.seed, 1)),
		extraDelay:   make(map[[2]int]time.Duration),
		cut:          make(map[[2]int]bool),
		mayRun:       make(map[ownership.Slot]runWindow),
		sentCommands: make(map[string]Command),
		done:         make(map[string]CommandDone),
	}
	rec := &ownership.Record{Group: simGroup, SlotCount: uint32(cfg.slots), CandidatesVersion: 1}
	for i := range cfg.vms {
		vm := &simVM{id: ownership.VMID(fmt.Sprintf("vm%d", i))}
		vm.index, vm.dc = i, i%cfg.dcs
		vm.clock.rate = s.rate()
		s.vms = append(s.vms, vm)
		rec.Candidates = append(rec.Candidates, vm.id)
	}
	for i := range cfg.targets {
		t := &simTarget{info: ownership.Target{ID: ownership.TargetID(fmt.Sprintf("t%d", i)), ChecksTokens: !cfg.noTokenChecks}}
		t.index, t.dc = cfg.vms+i, i%cfg.dcs
		t.clock.rate = s.rate()
		s.targets = append(s.targets, t)
		rec.Targets = append(rec.Targets, t.info)
		s.bootTarget(t)
	}
	for range cfg.slots {
		rec.Owners = append(rec.Owners, ownership.NoOwner)
	}
	s.opts = Options{Group: simGroup, Initial: rec}
	for _, vm := range s.vms {
		s.boot(vm)
	}
	return s
}

func (s *sim) rate() float64 { return 0.9955 + 0.009*s.rng.Float64() }

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, run})
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		if s.eventCount++; s.eventCount > maxEvents {
			panic(fmt.Sprintf("more than %d events by %v", maxEvents, s.now))
		}
		e.run()
	}
	s.now = until
}

func (s *sim) runFor(d time.Duration) { s.run(s.now + d) }

// boot starts a new process on the VM.
func (s *sim) boot(vm *simVM) {
	vm.incarnation++
	vm.down, vm.stopping, vm.stopped = false, false, false
	vm.deferred = nil
	vm.clock = simClock{rate: vm.clock.rate, started: s.now}
	opts := s.opts
	opts.Self, opts.Incarnation = vm.id, vm.incarnation
	vm.core = New(opts)
	vm.supporter = lease.NewSupporter(0, DefaultSupport)
	s.step(vm, Tick{})
	s.readStore(vm)
	s.schedule(100*ms, func() { s.deliver(&vm.simNode, opts.Incarnation, func() { s.step(vm, ViewReceived{s.view}) }) })
}

func (s *sim) bootTarget(t *simTarget) {
	t.incarnation++
	t.down = false
	t.deferred = nil
	t.clock = simClock{rate: t.clock.rate, started: s.now}
	t.highest, t.held = ownership.Token{}, ownership.Token{}
	t.grants = make(map[ownership.Slot]ownership.Token)
	t.leaseEnd = 0
}

func (s *sim) freeze(n *simNode, d time.Duration, stopsClock bool) {
	if n.down || n.clock.frozen {
		return
	}
	n.clock.frozen, n.clock.stopsWhenFrozen, n.clock.frozenAt = true, stopsClock, s.now
	incarnation := n.incarnation
	s.schedule(d, func() {
		if n.incarnation == incarnation {
			s.resume(n)
		}
	})
}

func (s *sim) resume(n *simNode) {
	if !n.clock.frozen {
		return
	}
	if n.clock.stopsWhenFrozen {
		n.clock.stoppedFor += s.now - n.clock.frozenAt
	}
	n.clock.frozen = false
	held := n.deferred
	n.deferred = nil
	for _, f := range held {
		f()
	}
}

// deliver runs f at a node at once, or when it is resumed if it is frozen. It does nothing if
// the node is down or runs another incarnation; zero accepts any incarnation.
func (s *sim) deliver(n *simNode, incarnation uint64, f func()) {
	switch {
	case n.down || (incarnation != 0 && n.incarnation != incarnation):
	case n.clock.frozen:
		n.deferred = append(n.deferred, f)
	default:
		f()
	}
}

// send delivers a message between nodes after the latency, unless it is lost. A nonzero
// incarnation binds the message to one process of the receiver, as a connection does.
func (s *sim) send(from, to *simNode, incarnation uint64, f func()) {
	if s.cut[[2]int{from.index, to.index}] || (from != to && s.rng.Float64() < s.lossRate) {
		return
	}
	s.schedule(s.latency(from, to), func() { s.deliver(to, incarnation, f) })
}

func (s *sim) latency(from, to *simNode) time.Duration {
	if from == to {
		return 0
	}
	d := time.Duration(float64(ms) * (1 + 0.2*s.rng.Float64()))
	if from.dc != to.dc {
		d *= 12
	}
	d += s.extraDelay[[2]int{from.index, to.index}]
	if s.delaySpike > 0 && s.rng.IntN(4) == 0 {
		d += time.Duration(s.rng.Int64N(int64(s.delaySpike)))
	}
	return d
}

func (s *sim) step(vm *simVM, ev Event) {
	if vm.down || vm.stopped {
		return
	}
	if vm.clock.frozen {
		vm.deferred = append(vm.deferred, func() { s.step(vm, ev) })
		return
	}
	now := vm.clock.read(s.now)
	actions := vm.core.Step(now, ev)
	for _, a := range actions {
		s.act(vm, a)
	}
	if vm.core.NextWake() <= now {
		s.violations = append(s.violations, fmt.Sprintf("%v: %s wakes at once in phase %d after %T", s.now, vm.id, vm.core.phase, ev))
	}
	vm.wakeSeq++
	seq, incarnation := vm.wakeSeq, vm.incarnation
	wait := time.Duration(float64(max(vm.core.NextWake()-now, 0))/vm.clock.rate) + time.Microsecond
	if wait > time.Hour {
		return
	}
	s.schedule(wait, func() {
		if vm.wakeSeq == seq && vm.incarnation == incarnation {
			s.step(vm, Tick{})
		}
	})
}

func (s *sim) vm(id ownership.VMID) *simVM {
	for _, vm := range s.vms {
		if vm.id == id {
			return vm
		}
	}
	return nil
}

func (s *sim) target(id ownership.TargetID) *simTarget {
	for _, t := range s.targets {
		if t.info.ID == id {
			return t
		}
	}
	return nil
}

func (s *sim) act(vm *simVM, a Action) {
	if s.trace != nil {
		s.trace("%v %s.%d %T %+v", s.now, vm.id, vm.incarnation, a, a)
	}
	if s.interceptAction != nil && s.interceptAction(vm, a) {
		return
	}
	incarnation := vm.incarnation
	switch a := a.(type) {
	case ReadRecord:
		s.readStore(vm)
	case WriteRecord:
		s.writeStore(vm, a)
	case SendSupportRequest:
		to := s.vm(a.To)
		s.send(&vm.simNode, &to.simNode, 0, func() { s.support(vm, incarnation, to, a) })
	case SendRenew:
		s.renew(vm, incarnation, a)
	case ProbeVia:
		s.probe(vm, incarnation, a)
	case Publish:
		s.schedule(30*ms, func() { s.entriesReceive(a.View) })
		for _, o := range s.vms {
			s.send(&vm.simNode, &o.simNode, 0, func() { s.step(o, ViewReceived(a)) })
		}
	case SendHandover:
		to := s.vm(a.To)
		s.send(&vm.simNode, &to.simNode, 0, func() { s.step(to, HandoverReceived{vm.id, a.Handover}) })
	case AnswerHandover:
		to := s.vm(a.To)
		s.send(&vm.simNode, &to.simNode, 0, func() { s.step(to, HandoverAnswered{vm.id}) })
	case CommandDone:
		if _, twice := s.done[a.ID]; twice {
			s.violations = append(s.violations, "command answered twice: "+a.ID)
		}
		s.done[a.ID] = a
	case Stopped:
		vm.stopped = true
	}
}

// entriesReceive simulates the entries: they keep the newest view. Entries
// send to a target that does not check tokens for one lease after each receipt of a view, so
// its slots' run windows are extended and checked here.
func (s *sim) entriesReceive(v *ownership.View) {
	if s.view != nil && v.Version().Less(s.view.Version()) {
		return
	}
	s.view = v
	for slot, st := range v.Slots {
		if st.Owner == ownership.NoOwner || v.Targets[st.Owner].ChecksTokens {
			continue
		}
		id, key := v.Targets[st.Owner].ID, ownership.Slot(slot)
		if w := s.mayRun[key]; w.owner != id && s.now < w.until {
			s.violations = append(s.violations, fmt.Sprintf("%v: slot %d sent to %s while %s may run its requests until %v", s.now, key, id, w.owner, w.until))
		}
		s.mayRun[key] = runWindow{id, s.now + DefaultLease + DefaultRequestDeadline}
	}
}

func (s *sim) support(vm *simVM, incarnation uint64, to *simVM, a SendSupportRequest) {
	if to.stopped {
		return
	}
	reply := to.supporter.Answer(to.clock.read(s.now), a.Request)
	from := to.incarnation
	s.send(&to.simNode, &vm.simNode, incarnation, func() {
		s.step(vm, SupportAnswered{to.id, from, a.SentAt, a.Request, reply})
	})
}

func (s *sim) renew(vm *simVM, incarnation uint64, a SendRenew) {
	t := s.target(a.Target.ID)
	answer := func(r target.RenewReply) {
		s.step(vm, TargetAnswered{Target: a.Target.ID, SentAt: a.SentAt, Via: a.Via, Reply: r})
	}
	if a.Via == "" {
		s.send(&vm.simNode, &t.simNode, 0, func() {
			r := s.targetAnswersRenew(t, a.Request)
			s.send(&t.simNode, &vm.simNode, incarnation, func() { answer(r) })
		})
		return
	}
	via := s.vm(a.Via)
	s.send(&vm.simNode, &via.simNode, 0, func() {
		s.send(&via.simNode, &t.simNode, 0, func() {
			r := s.targetAnswersRenew(t, a.Request)
			s.send(&t.simNode, &via.simNode, 0, func() {
				s.send(&via.simNode, &vm.simNode, incarnation, func() { answer(r) })
			})
		})
	})
}

func (s *sim) probe(vm *simVM, incarnation uint64, a ProbeVia) {
	via, t := s.vm(a.VM), s.target(a.Target.ID)
	s.send(&vm.simNode, &via.simNode, 0, func() {
		s.send(&via.simNode, &t.simNode, 0, func() {
			s.send(&t.simNode, &via.simNode, 0, func() {
				s.send(&via.simNode, &vm.simNode, incarnation, func() { s.step(vm, ProbeAnswered{via.id, t.info.ID, true}) })
			})
		})
	})
}

// targetAnswersRenew is the target's side of the lease protocol.
func (s *sim) targetAnswersRenew(t *simTarget, req target.RenewRequest) target.RenewReply {
	now := t.clock.read(s.now)
	r := target.RenewReply{Clock: target.ClockReading{Incarnation: t.incarnation, Nanos: int64(now) + 1}, Health: t.health}
	switch {
	case req.AssignerToken.Less(t.highest):
		r.Refused = true
	case req.Echo == target.ClockReading{}:
		t.highest = req.AssignerToken
	case !req.Full && req.BaseVersion != t.held:
		t.highest = req.AssignerToken
		r.NeedFull = true
	default:
		t.highest = req.AssignerToken
		s.applyRenew(t, req)
	}
	r.HighestToken, r.HeldVersion = t.highest, t.held
	return r
}

func (s *sim) applyRenew(t *simTarget, req target.RenewRequest) {
	if req.Full {
		clear(t.grants)
	}
	for _, slot := range req.Revokes {
		delete(t.grants, slot)
	}
	for _, g := range req.Grants {
		t.grants[g.Slot] = g.Token
	}
	t.held = req.Version
	if req.Echo.Incarnation == t.incarnation {
		t.leaseEnd = max(t.leaseEnd, time.Duration(req.Echo.Nanos)+req.Lease)
	}
	s.checkOverlap(t)
}

// serves reports whether the target would run a request for the slot now, by its own clock and
// lease, and returns the slot's token.
func (s *sim) serves(t *simTarget, slot ownership.Slot) (ownership.Token, bool) {
	token, ok := t.grants[slot]
	return token, ok && !t.down && t.clock.read(s.now) < t.leaseEnd
}

func (s *sim) checkOverlap(t *simTarget) {
	for slot := range t.grants {
		if _, ok := s.serves(t, slot); !ok {
			continue
		}
		for _, o := range s.targets {
			if _, both := s.serves(o, slot); both && o != t {
				s.violations = append(s.violations, fmt.Sprintf("%v: slot %d at %s and %s", s.now, slot, t.info.ID, o.info.ID))
			}
		}
	}
}
