package assign

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
)

// unserved returns the slots for which entries would get no answer now.
func (s *sim) unserved() []ownership.Slot {
	var list []ownership.Slot
	for slot := range ownership.Slot(s.opts.Initial.SlotCount) {
		if !s.served(slot) {
			list = append(list, slot)
		}
	}
	return list
}

func (s *sim) served(slot ownership.Slot) bool {
	if s.view == nil || int(slot) >= len(s.view.Slots) {
		return false
	}
	st := s.view.Slots[slot]
	if st.Owner == ownership.NoOwner {
		return false
	}
	t := s.target(s.view.Targets[st.Owner].ID)
	token, ok := s.serves(t, slot)
	if !ok || t.clock.frozen || !s.reachable(t) {
		return false
	}
	return token == ownership.Token{Term: s.view.Term, Seq: st.Seq}
}

// reachable reports whether any VM that is up can exchange messages with the target.
func (s *sim) reachable(t *simTarget) bool {
	for _, vm := range s.vms {
		there, back := [2]int{vm.index, t.index}, [2]int{t.index, vm.index}
		if !vm.down && !s.cut[there] && !s.cut[back] {
			return true
		}
	}
	return false
}

func (s *sim) assigner() *simVM {
	for _, vm := range s.vms {
		if !vm.down && !vm.clock.frozen && vm.core.Assigning(vm.clock.read(s.now)) {
			return vm
		}
	}
	return nil
}

func TestStart(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 1, vms: 3, dcs: 3, targets: 4, slots: 16})
	s.run(3 * time.Second)
	is.True(s.assigner() != nil)
	is.Equal(len(s.unserved()), 0)
	is.Equal(len(s.violations), 0)
	writes, reads := s.store.writes, s.store.reads
	s.runFor(time.Minute)
	is.Equal(len(s.unserved()), 0)
	is.Equal(s.store.writes, writes) // an idle group makes no store calls
	is.Equal(s.store.reads, reads)
	t.Log(writes, reads, s.store.rec.Term, s.view.Version())
}
