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
	storeDC  = 0
	// maxEvents bounds a history, so that a Core that never rests fails the test.
	maxEvents = 1_000_000
)

// timedFunc is one future event of a sim.
type timedFunc struct {
	at  time.Duration
	seq int
	run func()
}

type agenda []timedFunc

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(timedFunc)) }
func (a *agenda) Pop() any     { old := *a; x := old[len(old)-1]; *a = old[:len(old)-1]; return x }

// simClock is a node's clock: it has a rate of its own and may stand still.
type simClock struct {
	rate     float64
	started  time.Duration
	stood    time.Duration
	frozenAt time.Duration
	frozen   bool
	stops    bool
}

func (k *simClock) read(now time.Duration) time.Duration {
	stood := k.stood
	if k.frozen && k.stops {
		stood += now - k.frozenAt
	}
	return time.Duration(float64(now-k.started-stood) * k.rate)
}

// simNode is what VMs and targets share: a clock, freezes and crashes.
type simNode struct {
	index       int
	dc          int
	clock       simClock
	dead        bool
	incarnation uint64
	held        []func() // arrived while frozen
}

// simVM runs a Core and a Supporter.
type simVM struct {
	simNode
	id        ownership.VMID
	core      *Core
	supporter *lease.Supporter
	wakeSeq   int
	// stopping is set by a planned stop, stopped when it is complete.
	stopping, stopped bool
}

// simTarget is a target that keeps the lease protocol.
type simTarget struct {
	simNode
	info    ownership.Target
	highest ownership.Token
	holds   ownership.Token
	grants  map[ownership.Slot]ownership.Token
	end     time.Duration
	health  target.Health
}

// simStore holds one record.
type simStore struct {
	rec     *ownership.Record
	version store.Version
	history []*ownership.Record
	down    bool
	// loses is the probability that an answer is lost, delay an extra latency.
	loses  float64
	delay  time.Duration
	writes int
	reads  int
}

type sim struct {
	rng     *rand.Rand
	now     time.Duration
	seq     int
	events  int
	agenda  agenda
	vms     []*simVM
	targets []*simTarget
	store   simStore
	opts    Options
	// cut holds the directions that are cut, loss a probability, spike an extra delay.
	cut   map[[2]int]bool
	loss  float64
	spike time.Duration
	// slow holds an extra delay for each direction.
	slow map[[2]int]time.Duration
	// view is the newest view that entries have.
	view *ownership.View
	// running tells until when a target that checks no tokens may run requests of a slot.
	running map[ownership.Slot]window
	asked   map[string]Command
	done    map[string]CommandDone
	wrong   []string
	// hook sees each action first and may take it away; trace logs it.
	hook  func(vm *simVM, a Action) bool
	trace func(format string, args ...any)
}

// window is the time in which a target may run requests of a slot.
type window struct {
	owner ownership.TargetID
	until time.Duration
}

type simConfig struct {
	seed      uint64
	vms       int
	dcs       int
	targets   int
	slots     int
	unchecked bool
}

func newSim(cfg simConfig) *sim {
	s := &sim{
		rng:     rand.New(rand.NewPCG(cfg.seed, 1)),
		slow:    make(map[[2]int]time.Duration),
		cut:     make(map[[2]int]bool),
		running: make(map[ownership.Slot]window),
		asked:   make(map[string]Command),
		done:    make(map[string]CommandDone),
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
		t := &simTarget{info: ownership.Target{ID: ownership.TargetID(fmt.Sprintf("t%d", i)), ChecksTokens: !cfg.unchecked}}
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

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.agenda, timedFunc{s.now + d, s.seq, run})
}

func (s *sim) run(until time.Duration) {
	for len(s.agenda) > 0 && s.agenda[0].at <= until {
		e := heap.Pop(&s.agenda).(timedFunc)
		s.now = e.at
		if s.events++; s.events > maxEvents {
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
	vm.dead, vm.stopping, vm.stopped = false, false, false
	vm.held = nil
	vm.clock = simClock{rate: vm.clock.rate, started: s.now}
	opts := s.opts
	opts.Self, opts.Incarnation = vm.id, vm.incarnation
	vm.core = New(opts)
	vm.supporter = lease.NewSupporter(0, DefaultSupport)
	s.step(vm, Tick{})
	s.readStore(vm)
	s.after(100*ms, func() { s.deliver(&vm.simNode, opts.Incarnation, func() { s.step(vm, ViewReceived{s.view}) }) })
}

func (s *sim) bootTarget(t *simTarget) {
	t.incarnation++
	t.dead = false
	t.held = nil
	t.clock = simClock{rate: t.clock.rate, started: s.now}
	t.highest, t.holds = ownership.Token{}, ownership.Token{}
	t.grants = make(map[ownership.Slot]ownership.Token)
	t.end = 0
}

func (s *sim) freeze(n *simNode, d time.Duration, stops bool) {
	if n.dead || n.clock.frozen {
		return
	}
	n.clock.frozen, n.clock.stops, n.clock.frozenAt = true, stops, s.now
	incarnation := n.incarnation
	s.after(d, func() {
		if n.incarnation == incarnation {
			s.thaw(n)
		}
	})
}

func (s *sim) thaw(n *simNode) {
	if !n.clock.frozen {
		return
	}
	if n.clock.stops {
		n.clock.stood += s.now - n.clock.frozenAt
	}
	n.clock.frozen = false
	held := n.held
	n.held = nil
	for _, f := range held {
		f()
	}
}

// deliver runs f at a node at once, later if it is frozen, never if its process ended.
func (s *sim) deliver(n *simNode, incarnation uint64, f func()) {
	switch {
	case n.dead || (incarnation != 0 && n.incarnation != incarnation):
	case n.clock.frozen:
		n.held = append(n.held, f)
	default:
		f()
	}
}

// send carries a message between nodes. incarnation ties it to one process of
// the receiver, as a connection does.
func (s *sim) send(from, to *simNode, incarnation uint64, f func()) {
	if s.cut[[2]int{from.index, to.index}] || (from != to && s.rng.Float64() < s.loss) {
		return
	}
	s.after(s.latency(from, to), func() { s.deliver(to, incarnation, f) })
}

func (s *sim) latency(from, to *simNode) time.Duration {
	if from == to {
		return 0
	}
	d := time.Duration(float64(ms) * (1 + 0.2*s.rng.Float64()))
	if from.dc != to.dc {
		d *= 12
	}
	d += s.slow[[2]int{from.index, to.index}]
	if s.spike > 0 && s.rng.IntN(4) == 0 {
		d += time.Duration(s.rng.Int64N(int64(s.spike)))
	}
	return d
}

func (s *sim) step(vm *simVM, ev Event) {
	if vm.dead || vm.stopped {
		return
	}
	if vm.clock.frozen {
		vm.held = append(vm.held, func() { s.step(vm, ev) })
		return
	}
	now := vm.clock.read(s.now)
	actions := vm.core.Step(now, ev)
	for _, a := range actions {
		s.act(vm, a)
	}
	if vm.core.NextWake() <= now {
		s.wrong = append(s.wrong, fmt.Sprintf("%v: %s wakes at once in phase %d after %T", s.now, vm.id, vm.core.phase, ev))
	}
	vm.wakeSeq++
	seq, incarnation := vm.wakeSeq, vm.incarnation
	wait := time.Duration(float64(max(vm.core.NextWake()-now, 0))/vm.clock.rate) + time.Microsecond
	if wait > time.Hour {
		return
	}
	s.after(wait, func() {
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
	if s.hook != nil && s.hook(vm, a) {
		return
	}
	me := vm.incarnation
	switch a := a.(type) {
	case ReadRecord:
		s.readStore(vm)
	case WriteRecord:
		s.writeStore(vm, a)
	case SendSupportRequest:
		to := s.vm(a.To)
		s.send(&vm.simNode, &to.simNode, 0, func() { s.support(vm, me, to, a) })
	case SendRenew:
		s.renew(vm, me, a)
	case ProbeVia:
		s.probe(vm, me, a)
	case Publish:
		s.after(30*ms, func() { s.entryReceives(a.View) })
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
			s.wrong = append(s.wrong, "command answered twice: "+a.ID)
		}
		s.done[a.ID] = a
	case Stopped:
		vm.stopped = true
	}
}

// entryReceives is the entries' side: they keep the newest view, and send to
// targets that check no tokens for one lease after each time they got it.
func (s *sim) entryReceives(v *ownership.View) {
	if s.view != nil && v.Version().Less(s.view.Version()) {
		return
	}
	s.view = v
	for slot, st := range v.Slots {
		if st.Owner == ownership.NoOwner || v.Targets[st.Owner].ChecksTokens {
			continue
		}
		id, key := v.Targets[st.Owner].ID, ownership.Slot(slot)
		if w := s.running[key]; w.owner != id && s.now < w.until {
			s.wrong = append(s.wrong, fmt.Sprintf("%v: slot %d sent to %s while %s may run its requests until %v", s.now, key, id, w.owner, w.until))
		}
		s.running[key] = window{id, s.now + DefaultLease + DefaultRequestDeadline}
	}
}

func (s *sim) support(vm *simVM, me uint64, to *simVM, a SendSupportRequest) {
	if to.stopped {
		return
	}
	reply := to.supporter.Answer(to.clock.read(s.now), a.Request)
	from := to.incarnation
	s.send(&to.simNode, &vm.simNode, me, func() {
		s.step(vm, SupportAnswered{to.id, from, a.SentAt, a.Request, reply})
	})
}

func (s *sim) renew(vm *simVM, me uint64, a SendRenew) {
	t := s.target(a.Target.ID)
	answer := func(r target.RenewReply) {
		s.step(vm, TargetAnswered{Target: a.Target.ID, SentAt: a.SentAt, Via: a.Via, Reply: r})
	}
	if a.Via == "" {
		s.send(&vm.simNode, &t.simNode, 0, func() {
			r := s.answerRenew(t, a.Request)
			s.send(&t.simNode, &vm.simNode, me, func() { answer(r) })
		})
		return
	}
	via := s.vm(a.Via)
	s.send(&vm.simNode, &via.simNode, 0, func() {
		s.send(&via.simNode, &t.simNode, 0, func() {
			r := s.answerRenew(t, a.Request)
			s.send(&t.simNode, &via.simNode, 0, func() {
				s.send(&via.simNode, &vm.simNode, me, func() { answer(r) })
			})
		})
	})
}

func (s *sim) probe(vm *simVM, me uint64, a ProbeVia) {
	via, t := s.vm(a.VM), s.target(a.Target.ID)
	s.send(&vm.simNode, &via.simNode, 0, func() {
		s.send(&via.simNode, &t.simNode, 0, func() {
			s.send(&t.simNode, &via.simNode, 0, func() {
				s.send(&via.simNode, &vm.simNode, me, func() { s.step(vm, ProbeAnswered{via.id, t.info.ID, true}) })
			})
		})
	})
}

// answerRenew is the target's side of the protocol.
func (s *sim) answerRenew(t *simTarget, req target.RenewRequest) target.RenewReply {
	now := t.clock.read(s.now)
	r := target.RenewReply{Clock: target.ClockReading{Incarnation: t.incarnation, Nanos: int64(now) + 1}, Health: t.health}
	switch {
	case req.AssignerToken.Less(t.highest):
		r.Refused = true
	case req.Echo == target.ClockReading{}:
		t.highest = req.AssignerToken
	case !req.Full && req.BaseVersion != t.holds:
		t.highest = req.AssignerToken
		r.NeedFull = true
	default:
		t.highest = req.AssignerToken
		s.applyRenew(t, req)
	}
	r.HighestToken, r.HeldVersion = t.highest, t.holds
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
	t.holds = req.Version
	if req.Echo.Incarnation == t.incarnation {
		t.end = max(t.end, time.Duration(req.Echo.Nanos)+req.Lease)
	}
	s.checkOverlap(t)
}

// serves reports whether the target would run a request for the slot now, by
// its own clock and lease.
func (s *sim) serves(t *simTarget, slot ownership.Slot) (ownership.Token, bool) {
	token, ok := t.grants[slot]
	return token, ok && !t.dead && t.clock.read(s.now) < t.end
}

func (s *sim) checkOverlap(t *simTarget) {
	for slot := range t.grants {
		if _, ok := s.serves(t, slot); !ok {
			continue
		}
		for _, o := range s.targets {
			if _, both := s.serves(o, slot); both && o != t {
				s.wrong = append(s.wrong, fmt.Sprintf("%v: slot %d at %s and %s", s.now, slot, t.info.ID, o.info.ID))
			}
		}
	}
}
