package assign

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/target"
)

// protocolStep is a step of the protocol at which faults strike.
type protocolStep struct {
	name string
	// drive makes the step happen in a sim that has run for begin.
	begin time.Duration
	drive func(s *sim)
	match func(a Action) bool
}

func renewal(match func(r target.RenewRequest) bool) func(a Action) bool {
	return func(a Action) bool {
		r, ok := a.(SendRenew)
		return ok && match(r.Request)
	}
}

func isAction[T Action](a Action) bool {
	_, ok := a.(T)
	return ok
}

func asks(match func(a SendSupportRequest) bool) func(a Action) bool {
	return func(a Action) bool {
		ask, ok := a.(SendSupportRequest)
		return ok && match(ask)
	}
}

func grants(r target.RenewRequest) bool  { return len(r.Grants) > 0 }
func revokes(r target.RenewRequest) bool { return len(r.Revokes) > 0 }
func reads(r target.RenewRequest) bool   { return r.Echo == target.ClockReading{} }
func renews(r target.RenewRequest) bool  { return !reads(r) && !grants(r) && !revokes(r) }

func driveNothing(*sim) {}
func driveStop(s *sim)  { s.step(s.assigner(), Stop{}) }
func driveMove(s *sim) {
	s.step(s.assigner(), CommandReceived{ID: "move", Command: MoveSlot{Slot: 0, To: s.other(0)}})
}

var protocolSteps = []protocolStep{
	{"start: query", 0, driveNothing, asks(func(a SendSupportRequest) bool { return a.Request.Query })},
	{"start: first record", 0, driveNothing, isAction[WriteRecord]},
	{"start: first grant", 0, driveNothing, renewal(grants)},
	{"take-over: query", 3 * time.Second, loseAssigner, asks(func(a SendSupportRequest) bool { return a.Request.Query && a.To != "vm0" })},
	{"take-over: trial", 3 * time.Second, loseAssigner, asks(func(a SendSupportRequest) bool { return a.Request.Trial })},
	{"take-over: read clocks", 3 * time.Second, loseAssigner, renewal(reads)},
	{"take-over: read record", 3 * time.Second, loseAssigner, isAction[ReadRecord]},
	{"take-over: write record", 3 * time.Second, loseAssigner, isAction[WriteRecord]},
	{"take-over: register", 3 * time.Second, loseAssigner, asks(func(a SendSupportRequest) bool { return a.Request.Term > 1 })},
	{"take-over: grant", 3 * time.Second, loseAssigner, renewal(grants)},
	{"renew: support", 3 * time.Second, driveNothing, asks(func(a SendSupportRequest) bool { return !a.Request.Query })},
	{"renew: lease", 3 * time.Second, driveNothing, renewal(renews)},
	{"failover: probe", 3 * time.Second, loseTarget, isAction[ProbeVia]},
	{"failover: revoke", 3 * time.Second, loseTarget, isAction[WriteRecord]},
	{"failover: grant", 3 * time.Second, loseTarget, renewal(grants)},
	{"move: record", 3 * time.Second, driveMove, isAction[WriteRecord]},
	{"move: revoke", 3 * time.Second, driveMove, renewal(revokes)},
	{"move: grant", 3 * time.Second, driveMove, renewal(grants)},
	{"move: publish", 3 * time.Second, driveMove, isAction[CommandDone]},
	{"release: handover", 3 * time.Second, driveStop, isAction[SendHandover]},
	{"release: answer", 3 * time.Second, driveStop, isAction[AnswerHandover]},
	{"release: release", 3 * time.Second, driveStop, asks(func(a SendSupportRequest) bool { return a.Request.Release })},
	{"release: successor registers", 3 * time.Second, driveStop, asks(func(a SendSupportRequest) bool { return a.Request.Round > 0 })},
	{"release: successor grants", 3 * time.Second, driveStop, renewal(grants)},
}

// stepFault strikes the VM that acts, a target, the store or the action itself.
type stepFault struct {
	name string
	// lose takes the action away.
	lose   bool
	strike func(s *sim, vm *simVM, t *simTarget, d time.Duration)
}

var stepFaults = []stepFault{
	{"action lost", true, func(*sim, *simVM, *simTarget, time.Duration) {}},
	{"actor lost before", true, func(s *sim, vm *simVM, _ *simTarget, d time.Duration) { s.crash(vm, d) }},
	{"actor lost after", false, func(s *sim, vm *simVM, _ *simTarget, d time.Duration) { s.crash(vm, d) }},
	{"actor frozen", false, func(s *sim, vm *simVM, _ *simTarget, d time.Duration) { s.freeze(&vm.simNode, d, false) }},
	{"actor frozen, clock stands", false, func(s *sim, vm *simVM, _ *simTarget, d time.Duration) { s.freeze(&vm.simNode, d, true) }},
	{"actor paused and back", false, func(s *sim, vm *simVM, _ *simTarget, _ time.Duration) { s.freeze(&vm.simNode, 1100*ms, true) }},
	{"actor isolated", false, func(s *sim, vm *simVM, _ *simTarget, d time.Duration) { s.isolate(vm.index, d) }},
	{"actor deaf", false, func(s *sim, vm *simVM, _ *simTarget, d time.Duration) {
		for o := range len(s.vms) + len(s.targets) {
			s.cutOne(o, vm.index, d)
		}
	}},
	{"actor cut off from target", false, func(s *sim, vm *simVM, t *simTarget, d time.Duration) { s.cutOne(vm.index, t.index, d) }},
	{"answers of target cut off", false, func(s *sim, vm *simVM, t *simTarget, d time.Duration) { s.cutOne(t.index, vm.index, d) }},
	{"target lost", false, func(s *sim, _ *simVM, t *simTarget, d time.Duration) { s.crashTarget(t, d) }},
	{"target restarted", false, func(s *sim, _ *simVM, t *simTarget, _ time.Duration) { s.crashTarget(t, 30*ms) }},
	{"target frozen", false, func(s *sim, _ *simVM, t *simTarget, d time.Duration) { s.freeze(&t.simNode, d, false) }},
	{"target frozen and back", false, func(s *sim, _ *simVM, t *simTarget, _ time.Duration) { s.freeze(&t.simNode, 1300*ms, false) }},
	{"store down", false, func(s *sim, _ *simVM, _ *simTarget, d time.Duration) {
		s.store.down = true
		s.after(d, func() { s.store.down = false })
	}},
	{"store slow", false, func(s *sim, _ *simVM, _ *simTarget, d time.Duration) {
		s.store.delay = 3 * time.Second
		s.after(d, func() { s.store.delay = 0 })
	}},
	{"store answers lost", false, func(s *sim, _ *simVM, _ *simTarget, d time.Duration) {
		s.store.loses = 1
		s.after(d, func() { s.store.loses = 0 })
	}},
	{"store set back", false, func(s *sim, _ *simVM, _ *simTarget, _ time.Duration) { s.restore() }},
	{"messages late", false, func(s *sim, _ *simVM, _ *simTarget, _ time.Duration) {
		s.spike = 1500 * ms
		s.after(500*ms, func() { s.spike = 0 })
	}},
}

// strikeAt runs a sim to a step, lets the faults strike there, and returns it;
// reached reports whether the step came.
func strikeAt(step protocolStep, seed uint64, d time.Duration, faults ...stepFault) (s *sim, reached bool) {
	s = newSim(simConfig{seed: seed, vms: 5, dcs: 5, targets: 4, slots: 8})
	s.run(step.begin)
	s.hook = func(vm *simVM, a Action) bool {
		if reached || !step.match(a) {
			return false
		}
		reached = true
		lose := false
		t := s.struck(a)
		for _, f := range faults {
			f.strike(s, vm, t, d)
			lose = lose || f.lose
		}
		return lose
	}
	step.drive(s)
	for end := s.now + 4*time.Second; !reached && s.now < end; {
		s.runFor(ms)
	}
	return s, reached
}

// struck returns the target that an action concerns, or that owns slot 0.
func (s *sim) struck(a Action) *simTarget {
	if r, ok := a.(SendRenew); ok {
		return s.target(r.Target.ID)
	}
	if s.view != nil && s.owner(0) != "" {
		return ownerOf(s, 0)
	}
	return s.targets[0]
}

// seeds returns the number of seeds to run: a quarter with the race detector.
func seeds(n uint64) uint64 {
	if raceEnabled {
		return (n + 3) / 4
	}
	return n
}

// TestFaultMatrix lets each fault strike at each step and stay, and demands that
// no slot has two owners and every slot is served within serviceTime.
func TestFaultMatrix(t *testing.T) {
	for _, step := range protocolSteps {
		for _, f := range stepFaults {
			t.Run(step.name+"/"+f.name, func(t *testing.T) {
				is := is.New(t)
				for seed := range seeds(6) {
					s, reached := strikeAt(step, seed, forGood, f)
					is.True(reached)
					s.checkService(serviceTime)
					is.Equal(strings.Join(s.wrong, "; "), "")
				}
			})
		}
	}
}

// TestFaultPairs lets each pair of faults strike at each step for a time, and
// demands the same after they ended.
func TestFaultPairs(t *testing.T) {
	if testing.Short() || raceEnabled {
		t.Skip("covered without the race detector")
	}
	for _, step := range protocolSteps {
		t.Run(step.name, func(t *testing.T) {
			t.Parallel()
			for i, f := range stepFaults {
				for k, g := range stepFaults[i+1:] {
					seed := uint64(100*i + k)
					s, _ := strikeAt(step, seed, forGood, f, g)
					s.runFor(2 * time.Second)
					s.heal(false)
					s.checkService(serviceTime)
					if len(s.wrong) > 0 {
						t.Errorf("%s and %s, seed %d: %s", f.name, g.name, seed, s.wrong[0])
					}
				}
			}
		})
	}
}

// keepFor lets a target be reached by one VM only.
func (s *sim) keepFor(t *simTarget, vm *simVM) {
	for _, o := range s.vms {
		if o != vm {
			s.cutOne(o.index, t.index, forGood)
			s.cutOne(t.index, o.index, forGood)
		}
	}
}

// TestLateAnswers delays the supporters' answers to the assigner more and more,
// cuts its requests to them, and leaves it alone with a target. Support must not count
// from the receipt of the answers.
func TestLateAnswers(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		s := newSim(simConfig{seed: seed, vms: 3, dcs: 3, targets: 3, slots: 6})
		s.run(3 * time.Second)
		old := s.assigner()
		s.keepFor(ownerOf(s, 0), old)
		// The delay grows, so that answers never cease to arrive.
		for late := time.Duration(0); late < time.Duration(seed)*15*ms; late += 200 * ms {
			for _, vm := range s.vms {
				s.slow[[2]int{vm.index, old.index}] = late
			}
			s.runFor(260 * ms)
		}
		for _, vm := range s.vms {
			if vm != old {
				s.cutOne(old.index, vm.index, forGood)
			}
		}
		s.runFor(6 * time.Second)
		is.Equal(fmt.Sprint(s.wrong), "[]")
		is.True(s.assigner() != old)
	}
}

// TestSupportersRestart cuts one candidate off from the assigner, and restarts
// the supporter that both need, while the assigner is left alone with a target.
func TestSupportersRestart(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		s := newSim(simConfig{seed: seed, vms: 3, dcs: 3, targets: 3, slots: 6})
		s.run(3*time.Second + time.Duration(seed)*5*ms)
		old := s.assigner()
		s.keepFor(ownerOf(s, 0), old)
		shared, rival := s.vms[(old.index+1)%3], s.vms[(old.index+2)%3]
		s.cutOne(old.index, rival.index, forGood)
		s.cutOne(rival.index, old.index, forGood)
		s.runFor(1500 * ms)
		s.crash(shared, ms)
		s.runFor(20 * ms)
		s.cutOne(old.index, shared.index, forGood)
		s.cutOne(shared.index, old.index, forGood)
		s.runFor(5 * time.Second)
		is.Equal(fmt.Sprint(s.wrong), "[]")
		is.True(s.assigner() == rival || s.assigner() == shared)
	}
}

// TestReturnOfTheFrozen lets an assigner with a clock that stood still return
// after each of many times, while the next one has moved its slots.
func TestReturnOfTheFrozen(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(60) {
		s := newSim(simConfig{seed: seed, vms: 3, dcs: 3, targets: 3, slots: 6})
		s.run(3 * time.Second)
		old := s.assigner()
		lost := ownerOf(s, 0)
		s.freeze(&old.simNode, time.Second+time.Duration(seed)*40*ms, true)
		s.keepFor(lost, old)
		if seed%2 == 0 {
			// Nor does it hear from the others or from the store.
			s.isolate(old.index, forGood)
			delete(s.cut, [2]int{old.index, lost.index})
			delete(s.cut, [2]int{lost.index, old.index})
		}
		s.runFor(6 * time.Second)
		is.Equal(fmt.Sprint(s.wrong), "[]")
		is.Equal(len(s.unserved()), 0)
	}
}
