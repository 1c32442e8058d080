package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
)

// outage is a fault after which every slot has to be served again within recoveryLimit.
type outage struct {
	name  string
	begin func(s *sim)
}

// permanently is a duration of faults that outlasts every test.
const permanently = time.Hour

func ownerOf(s *sim, slot int) *simTarget {
	return s.target(s.view.Targets[s.view.Slots[slot].Owner].ID)
}

func crashOwner(s *sim)    { s.crashTarget(ownerOf(s, 0), permanently) }
func crashAssigner(s *sim) { s.crash(s.assigner(), permanently) }

func crashOwnerAndAssigner(s *sim) {
	crashOwner(s)
	crashAssigner(s)
}

// crashDataCentre crashes all VMs and targets of the assigner's data centre.
func crashDataCentre(s *sim) {
	dc := s.assigner().dc
	for _, vm := range s.vms {
		if vm.dc == dc {
			s.crash(vm, permanently)
		}
	}
	for _, t := range s.targets {
		if t.dc == dc {
			s.crashTarget(t, permanently)
		}
	}
}

func freezeTarget(s *sim)        { s.freeze(&ownerOf(s, 0).simNode, permanently, false) }
func freezeAssigner(s *sim)      { s.freeze(&s.assigner().simNode, permanently, false) }
func freezeAssignerClock(s *sim) { s.freeze(&s.assigner().simNode, permanently, true) }
func isolateAssigner(s *sim)     { s.isolate(s.assigner().index, permanently) }
func isolateTarget(s *sim)       { s.isolate(ownerOf(s, 0).index, permanently) }

func stopAssigner(s *sim) { s.stopVM(s.assigner(), permanently) }

func cutAssignerFromTarget(s *sim) {
	a, t := s.assigner().index, ownerOf(s, 0).index
	s.cutDirection(a, t, permanently)
	s.cutDirection(t, a, permanently)
}

// cutAnswers cuts the direction from the owner of slot 0 to the assigner only.
func cutAnswers(s *sim) { s.cutDirection(ownerOf(s, 0).index, s.assigner().index, permanently) }

// cutFromAssigner cuts the directions from the assigner to all others, but not back.
func cutFromAssigner(s *sim) {
	a := s.assigner().index
	for o := range len(s.vms) + len(s.targets) {
		s.cutDirection(a, o, permanently)
	}
}

// cutToAssigner cuts the directions from all others to the assigner.
func cutToAssigner(s *sim) {
	a := s.assigner().index
	for o := range len(s.vms) + len(s.targets) {
		if o != a {
			s.cutDirection(o, a, permanently)
		}
	}
}

var outages = []outage{
	{"target lost", crashOwner},
	{"target frozen", freezeTarget},
	{"target isolated", isolateTarget},
	{"assigner lost", crashAssigner},
	{"assigner frozen", freezeAssigner},
	{"assigner and its clock frozen", freezeAssignerClock},
	{"assigner isolated", isolateAssigner},
	{"assigner sends no messages", cutFromAssigner},
	{"assigner receives no messages", cutToAssigner},
	{"planned stop of the assigner", stopAssigner},
	{"target and assigner lost", crashOwnerAndAssigner},
	{"data centre of the assigner lost", crashDataCentre},
	{"assigner cut off from target", cutAssignerFromTarget},
	{"answers of target cut off", cutAnswers},
}

// longestGap runs the sim for d and returns the longest time for which entries could not get
// requests for a slot served.
func (s *sim) longestGap(d time.Duration) time.Duration {
	const sample = 5 * time.Millisecond
	longest := time.Duration(0)
	last := make(map[ownership.Slot]time.Duration)
	begin := s.now
	for s.now < begin+d {
		s.runFor(sample)
		for slot := range ownership.Slot(s.opts.Initial.SlotCount) {
			if s.served(slot) {
				last[slot] = s.now
			}
			longest = max(longest, s.now-max(last[slot], begin))
		}
	}
	return longest
}

// storeStates are the states of the store during an outage.
var storeStates = []struct {
	name string
	set  func(s *sim)
}{
	{"store up", func(*sim) {}},
	{"store down", func(s *sim) { s.store.down = true }},
	{"store slow", func(s *sim) { s.store.delay = 3 * time.Second }},
}

// TestOutages measures the longest time for which a slot is not served after each outage, over
// several seeds and instants of the heartbeat cycle, and checks it against recoveryLimit.
func TestOutages(t *testing.T) {
	for _, o := range outages {
		for _, st := range storeStates {
			t.Run(o.name+", "+st.name, func(t *testing.T) {
				is := is.New(t)
				longest := time.Duration(0)
				for seed := range seeds(40) {
					s := newSim(simConfig{seed: seed, vms: 5, dcs: 5, targets: 6, slots: 24})
					s.run(4*time.Second + time.Duration(seed)*7*ms)
					is.Equal(len(s.unserved()), 0)
					st.set(s)
					s.runFor(100 * ms)
					o.begin(s)
					longest = max(longest, s.longestGap(4*time.Second))
					is.Equal(fmt.Sprint(s.violations), "[]")
				}
				t.Logf("longest time for which a slot was not served: %v", longest)
				is.True(longest <= recoveryLimit)
			})
		}
	}
}
