package assign

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/target"
)

// protocolStep is a step of the protocol at which faults are injected.
type protocolStep struct {
	name string
	// begin is how long the sim runs before drive is called.
	begin time.Duration
	// drive causes the step to happen.
	drive func(s *sim)
	// match reports whether an action is that of the step.
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

func supportRequest(match func(a SendSupportRequest) bool) func(a Action) bool {
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
	{"start: query", 0, driveNothing, supportRequest(func(a SendSupportRequest) bool { return a.Request.Query })},
	{"start: first record", 0, driveNothing, isAction[WriteRecord]},
	{"start: first grant", 0, driveNothing, renewal(grants)},
	{"take-over: query", 3 * time.Second, crashAssigner, supportRequest(func(a SendSupportRequest) bool { return a.Request.Query && a.To != "vm0" })},
	{"take-over: trial", 3 * time.Second, crashAssigner, supportRequest(func(a SendSupportRequest) bool { return a.Request.Trial })},
	{"take-over: read clocks", 3 * time.Second, crashAssigner, renewal(reads)},
	{"take-over: read record", 3 * time.Second, crashAssigner, isAction[ReadRecord]},
	{"take-over: write record", 3 * time.Second, crashAssigner, isAction[WriteRecord]},
	{"take-over: register", 3 * time.Second, crashAssigner, supportRequest(func(a SendSupportRequest) bool { return a.Request.Term > 1 })},
	{"take-over: grant", 3 * time.Second, crashAssigner, renewal(grants)},
	{"renew: support", 3 * time.Second, driveNothing, supportRequest(func(a SendSupportRequest) bool { return !a.Request.Query })},
	{"renew: lease", 3 * time.Second, driveNothing, renewal(renews)},
	{"failover: probe", 3 * time.Second, crashOwner, isAction[ProbeVia]},
	{"failover: revoke", 3 * time.Second, crashOwner, isAction[WriteRecord]},
	{"failover: grant", 3 * time.Second, crashOwner, renewal(grants)},
	{"move: record", 3 * time.Second, driveMove, isAction[WriteRecord]},
	{"move: revoke", 3 * time.Second, driveMove, renewal(revokes)},
	{"move: grant", 3 * time.Second, driveMove, renewal(grants)},
	{"move: publish", 3 * time.Second, driveMove, isAction[CommandDone]},
	{"release: handover", 3 * time.Second, driveStop, isAction[SendHandover]},
	{"release: answer", 3 * time.Second, driveStop, isAction[AnswerHandover]},
	{"release: release", 3 * time.Second, driveStop, supportRequest(func(a SendSupportRequest) bool { return a.Request.Release })},
	{"release: successor registers", 3 * time.Second, driveStop, supportRequest(func(a SendSupportRequest) bool { return a.Request.Round > 0 })},
	{"release: successor grants", 3 * time.Second, driveStop, renewal(grants)},
}

// stepFault is a fault of the VM that executes an action (the actor), a target, the store or
// the action itself.
type stepFault struct {
	name string
	// dropAction is set if the action is not executed.
	dropAction bool
	// inject starts a fault that lasts for d.
	inject func(s *sim, vm *simVM, t *simTarget, d time.Duration)
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
			s.cutDirection(o, vm.index, d)
		}
	}},
	{"actor cut off from target", false, func(s *sim, vm *simVM, t *simTarget, d time.Duration) { s.cutDirection(vm.index, t.index, d) }},
	{"answers of target cut off", false, func(s *sim, vm *simVM, t *simTarget, d time.Duration) { s.cutDirection(t.index, vm.index, d) }},
	{"target lost", false, func(s *sim, _ *simVM, t *simTarget, d time.Duration) { s.crashTarget(t, d) }},
	{"target restarted", false, func(s *sim, _ *simVM, t *simTarget, _ time.Duration) { s.crashTarget(t, 30*ms) }},
	{"target frozen", false, func(s *sim, _ *simVM, t *simTarget, d time.Duration) { s.freeze(&t.simNode, d, false) }},
	{"target frozen and back", false, func(s *sim, _ *simVM, t *simTarget, _ time.Duration) { s.freeze(&t.simNode, 1300*ms, false) }},
	{"store down", false, func(s *sim, _ *simVM, _ *simTarget, d time.Duration) {
		s.store.down = true
		s.schedule(d, func() { s.store.down = false })
	}},
	{"store slow", false, func(s *sim, _ *simVM, _ *simTarget, d time.Duration) {
		s.store.delay = 3 * time.Second
		s.schedule(d, func() { s.store.delay = 0 })
	}},
	{"store answers lost", false, func(s *sim, _ *simVM, _ *simTarget, d time.Duration) {
		s.store.answerLossRate = 1
		s.schedule(d, func() { s.store.answerLossRate = 0 })
	}},
	{"store set back", false, func(s *sim, _ *simVM, _ *simTarget, _ time.Duration) { s.restoreOldRecord() }},
	{"messages late", false, func(s *sim, _ *simVM, _ *simTarget, _ time.Duration) {
		s.delaySpike = 1500 * ms
		s.schedule(500*ms, func() { s.delaySpike = 0 })
	}},
}

// injectAt runs a sim up to a step, injects the faults there for d, and returns the sim.
// reached reports whether the step occurred.
func injectAt(step protocolStep, seed uint64, d time.Duration, faults ...stepFault) (s *sim, reached bool) {
	s = newSim(simConfig{seed: seed, vms: 5, dcs: 5, targets: 4, slots: 8})
	s.run(step.begin)
	s.interceptAction = func(vm *simVM, a Action) bool {
		if reached || !step.match(a) {
			return false
		}
		reached = true
		drop := false
		t := s.affectedTarget(a)
		for _, f := range faults {
			f.inject(s, vm, t, d)
			drop = drop || f.dropAction
		}
		return drop
	}
	step.drive(s)
	for end := s.now + 4*time.Second; !reached && s.now < end; {
		s.runFor(ms)
	}
	return s, reached
}

// affectedTarget returns the target to which a renewal is sent; for other actions it returns
// the owner of slot 0, or the first target if there is no owner.
func (s *sim) affectedTarget(a Action) *simTarget {
	if r, ok := a.(SendRenew); ok {
		return s.target(r.Target.ID)
	}
	if s.view != nil && s.owner(0) != "" {
		return ownerOf(s, 0)
	}
	return s.targets[0]
}

// seeds returns the number of seeds to run: n, or a quarter of it with the race detector.
func seeds(n uint64) uint64 {
	if raceEnabled {
		return (n + 3) / 4
	}
	return n
}

// TestFaultMatrix injects each fault at each step, where most of them last to the end, and
// checks that no slot has two owners and every slot is served within recoveryLimit.
func TestFaultMatrix(t *testing.T) {
	for _, step := range protocolSteps {
		for _, f := range stepFaults {
			t.Run(step.name+"/"+f.name, func(t *testing.T) {
				is := is.New(t)
				for seed := range seeds(6) {
					s, reached := injectAt(step, seed, permanently, f)
					is.True(reached)
					s.checkService(recoveryLimit)
					is.Equal(strings.Join(s.violations, "; "), "")
				}
			})
		}
	}
}

// TestFaultPairs injects each pair of faults at each step, ends them after 2 s, and checks the
// same conditions.
func TestFaultPairs(t *testing.T) {
	if testing.Short() || raceEnabled {
		t.Skip("run without -short and the race detector")
	}
	for _, step := range protocolSteps {
		t.Run(step.name, func(t *testing.T) {
			t.Parallel()
			for i, f := range stepFaults {
				for k, g := range stepFaults[i+1:] {
					seed := uint64(100*i + k)
					s, _ := injectAt(step, seed, permanently, f, g)
					s.runFor(2 * time.Second)
					s.endFaults(false)
					s.checkService(recoveryLimit)
					if len(s.violations) > 0 {
						t.Errorf("%s and %s, seed %d: %s", f.name, g.name, seed, s.violations[0])
					}
				}
			}
		})
	}
}

// reachableOnlyBy cuts a target off from all VMs but one.
func (s *sim) reachableOnlyBy(t *simTarget, vm *simVM) {
	for _, o := range s.vms {
		if o != vm {
			s.cutDirection(o.index, t.index, permanently)
			s.cutDirection(t.index, o.index, permanently)
		}
	}
}

// TestDelayedSupportAnswers guards against support that is counted from the receipt of the
// answers. It delays the supporters' answers to the assigner more and more, then cuts the
// assigner's requests to them, while one target is reachable only by this assigner.
func TestDelayedSupportAnswers(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		s := newSim(simConfig{seed: seed, vms: 3, dcs: 3, targets: 3, slots: 6})
		s.run(3 * time.Second)
		old := s.assigner()
		s.reachableOnlyBy(ownerOf(s, 0), old)
		// The delay grows in steps, so that answers keep arriving.
		for late := time.Duration(0); late < time.Duration(seed)*15*ms; late += 200 * ms {
			for _, vm := range s.vms {
				s.extraDelay[[2]int{vm.index, old.index}] = late
			}
			s.runFor(260 * ms)
		}
		for _, vm := range s.vms {
			if vm != old {
				s.cutDirection(old.index, vm.index, permanently)
			}
		}
		s.runFor(6 * time.Second)
		is.Equal(fmt.Sprint(s.violations), "[]")
		is.True(s.assigner() != old)
	}
}

// TestSupportersRestart cuts one candidate off from the assigner, and restarts the supporter
// that both need for a majority, while one target is reachable only by the assigner.
func TestSupportersRestart(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		s := newSim(simConfig{seed: seed, vms: 3, dcs: 3, targets: 3, slots: 6})
		s.run(3*time.Second + time.Duration(seed)*5*ms)
		old := s.assigner()
		s.reachableOnlyBy(ownerOf(s, 0), old)
		shared, rival := s.vms[(old.index+1)%3], s.vms[(old.index+2)%3]
		s.cutDirection(old.index, rival.index, permanently)
		s.cutDirection(rival.index, old.index, permanently)
		s.runFor(1500 * ms)
		s.crash(shared, ms)
		s.runFor(20 * ms)
		s.cutDirection(old.index, shared.index, permanently)
		s.cutDirection(shared.index, old.index, permanently)
		s.runFor(5 * time.Second)
		is.Equal(fmt.Sprint(s.violations), "[]")
		is.True(s.assigner() == rival || s.assigner() == shared)
	}
}

// TestFrozenAssignerReturns resumes an assigner whose process and clock stood still, after
// times from 1 s to 3.36 s, when the next assigner may have moved its slots.
func TestFrozenAssignerReturns(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(60) {
		s := newSim(simConfig{seed: seed, vms: 3, dcs: 3, targets: 3, slots: 6})
		s.run(3 * time.Second)
		old := s.assigner()
		lost := ownerOf(s, 0)
		s.freeze(&old.simNode, time.Second+time.Duration(seed)*40*ms, true)
		s.reachableOnlyBy(lost, old)
		if seed%2 == 0 {
			// Every other seed also cuts the assigner off from the other VMs, the other targets
			// and the store.
			s.isolate(old.index, permanently)
			delete(s.cut, [2]int{old.index, lost.index})
			delete(s.cut, [2]int{lost.index, old.index})
		}
		s.runFor(6 * time.Second)
		is.Equal(fmt.Sprint(s.violations), "[]")
		is.Equal(len(s.unserved()), 0)
	}
}
