package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
)

// outage is a loss that the service has to survive within serviceTime.
type outage struct {
	name  string
	begin func(s *sim)
}

const permanently = time.Hour

func ownerOf(s *sim, slot int) *simTarget {
	return s.target(s.view.Targets[s.view.Slots[slot].Owner].ID)
}

func loseTarget(s *sim)   { s.crashTarget(ownerOf(s, 0), permanently) }
func loseAssigner(s *sim) { s.crash(s.assigner(), permanently) }

func loseBoth(s *sim) {
	loseTarget(s)
	loseAssigner(s)
}

// loseDataCentre loses all VMs and targets of the assigner's data centre.
func loseDataCentre(s *sim) {
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

// cutAnswers cuts the way from the target to the assigner only.
func cutAnswers(s *sim) { s.cutDirection(ownerOf(s, 0).index, s.assigner().index, permanently) }

// muteAssigner cuts the ways from the assigner to all others, not back.
func cutFromAssigner(s *sim) {
	a := s.assigner().index
	for o := range len(s.vms) + len(s.targets) {
		s.cutDirection(a, o, permanently)
	}
}

// deafenAssigner cuts the ways from all others to the assigner.
func cutToAssigner(s *sim) {
	a := s.assigner().index
	for o := range len(s.vms) + len(s.targets) {
		if o != a {
			s.cutDirection(o, a, permanently)
		}
	}
}

var outages = []outage{
	{"target lost", loseTarget},
	{"target frozen", freezeTarget},
	{"target isolated", isolateTarget},
	{"assigner lost", loseAssigner},
	{"assigner frozen", freezeAssigner},
	{"assigner frozen, clock stands", freezeAssignerClock},
	{"assigner isolated", isolateAssigner},
	{"assigner mute", cutFromAssigner},
	{"assigner deaf", cutToAssigner},
	{"assigner stops as planned", stopAssigner},
	{"target and assigner lost", loseBoth},
	{"data centre of the assigner lost", loseDataCentre},
	{"assigner cut off from target", cutAssignerFromTarget},
	{"answers of target cut off", cutAnswers},
}

// longestGap runs for a time and returns the longest time that a slot was not
// served, as the entries see it.
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

// TestOutages measures the longest time that a key is not served after each
// loss, over seeds and instants of the heartbeat cycle.
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
				t.Logf("longest time not served: %v", longest)
				is.True(longest <= recoveryLimit)
			})
		}
	}
}
