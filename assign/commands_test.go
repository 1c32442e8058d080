package assign

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
)

// started returns a sim that has run for 3 s and serves all slots.
func started(is *is.I, seed uint64) *sim {
	s := newSim(simConfig{seed: seed, vms: 3, dcs: 3, targets: 4, slots: 16})
	s.run(3 * time.Second)
	is.Equal(len(s.unserved()), 0)
	return s
}

// runCommand sends a command to the assigner, runs the sim for wait, and returns the result.
func (s *sim) runCommand(id string, what Command, expected uint64, wait time.Duration) CommandDone {
	s.step(s.assigner(), CommandReceived{ID: id, Command: what, ExpectedTableVersion: expected})
	s.runFor(wait)
	return s.done[id]
}

func (s *sim) owner(slot ownership.Slot) ownership.TargetID {
	st := s.view.Slots[slot]
	if st.Owner == ownership.NoOwner {
		return ""
	}
	return s.view.Targets[st.Owner].ID
}

// other returns a target that is up and does not own the slot.
func (s *sim) other(slot ownership.Slot) ownership.TargetID {
	for _, t := range s.targets {
		if t.info.ID != s.owner(slot) && !t.down {
			return t.info.ID
		}
	}
	return ""
}

func TestMoveIsDurableBeforeItTakesEffect(t *testing.T) {
	is := is.New(t)
	s := started(is, 1)
	to := s.other(3)
	done := s.runCommand("m", MoveSlot{Slot: 3, To: to}, 0, time.Second)
	is.Equal(done.Code, result.OK)
	is.Equal(s.owner(3), to)
	is.Equal(s.store.rec.Targets[s.store.rec.Owners[3]].ID, to)
	is.Equal(s.store.rec.TableVersion, done.Version)
	s.crash(s.assigner(), permanently)
	s.runFor(recoveryLimit)
	is.Equal(s.owner(3), to) // the next assigner keeps the owner
	is.Equal(len(s.violations), 0)
}

func TestMoveIsRefusedWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	s := started(is, 2)
	before := s.owner(3)
	s.store.down = true
	done := s.runCommand("m", MoveSlot{Slot: 3, To: s.other(3)}, 0, 10*time.Second)
	is.True(done.Code == result.StoreUnavailable || done.Code == result.OperationUnknown)
	is.Equal(s.owner(3), before)
	is.Equal(len(s.unserved()), 0)
}

func TestConcurrentMovesOfOneSlot(t *testing.T) {
	is := is.New(t)
	s := started(is, 3)
	version := s.store.rec.TableVersion
	a, b := s.targets[0].info.ID, s.targets[1].info.ID
	s.step(s.assigner(), CommandReceived{ID: "a", Command: MoveSlot{Slot: 3, To: a}, ExpectedTableVersion: version})
	s.step(s.assigner(), CommandReceived{ID: "b", Command: MoveSlot{Slot: 3, To: b}, ExpectedTableVersion: version})
	s.runFor(time.Second)
	is.Equal(s.done["a"].Code, result.OK)
	is.Equal(s.done["b"].Code, result.VersionConflict)
	is.Equal(s.done["b"].Version, s.done["a"].Version) // the refused command returns the current version
	is.Equal(s.owner(3), a)
}

func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	s := started(is, 4)
	to := s.other(3)
	s.store.answerLossRate = 1
	s.step(s.assigner(), CommandReceived{ID: "m", Command: MoveSlot{Slot: 3, To: to}})
	s.runFor(500 * ms)
	is.Equal(s.owner(3) == to, false) // the slot does not move before the outcome of the write is known
	s.runFor(2 * time.Second)
	is.Equal(s.done["m"].Code, result.OK)
	is.Equal(s.owner(3), to)
	writes := 0
	for _, r := range s.store.history {
		if r.TableVersion == s.done["m"].Version {
			writes++
		}
	}
	is.Equal(writes, 1) // the change is not written twice
}

func TestCommandsAreChecked(t *testing.T) {
	is := is.New(t)
	s := started(is, 5)
	for name, tc := range map[string]struct {
		what Command
		code result.Code
	}{
		"unknown target":               {MoveSlot{Slot: 1, To: "none"}, result.UnknownObject},
		"unknown slot":                 {MoveSlot{Slot: 99, To: "t0"}, result.UnknownObject},
		"not pinned":                   {UnpinKey{}, result.UnknownObject},
		"drain unknown target":         {DrainTarget{Target: "none"}, result.UnknownObject},
		"add and remove":               {ChangeCandidates{Add: "x", Remove: "vm1"}, result.BadRequest},
		"remove the assigner":          {ChangeCandidates{Remove: s.assigner().id}, result.BadRequest},
		"unconfirmed forced take-over": {ForceTakeOver{Candidates: []ownership.VMID{"vm0"}}, result.ConfirmationNeeded},
	} {
		is.Equal(s.runCommand(name, tc.what, 0, 200*ms).Code, tc.code) // name
	}
	for _, vm := range s.vms {
		if vm != s.assigner() {
			s.step(vm, CommandReceived{ID: string(vm.id), Command: MoveSlot{Slot: 1, To: "t0"}})
			is.Equal(s.done[string(vm.id)].Code, result.NotAuthorised)
		}
	}
}

func TestPinAndUnpin(t *testing.T) {
	is := is.New(t)
	s := started(is, 6)
	key := ownership.HashKey([]byte("cannery"))
	base := key.BaseSlot(16)
	old, _ := s.view.Lookup(key)
	to := s.other(base)
	is.Equal(s.runCommand("pin", PinKey{Key: key, To: to}, 0, time.Second).Code, result.OK)
	pinned, ok := s.view.Lookup(key)
	is.True(ok)
	is.Equal(pinned.Target.ID, to)
	a := s.assigner()
	info, ok := a.core.ExplainKey(a.clock.read(s.now), key)
	is.True(ok)
	is.True(info.Pinned)
	is.Equal(info.Holder, to)
	is.Equal(info.Token, pinned.Token.String())
	// Requests of an entry with the older view are refused, because the token was replaced.
	token, ok := s.serves(s.target(old.Target.ID), base)
	is.True(ok)
	is.True(old.Token.Less(token))
	is.Equal(s.runCommand("unpin", UnpinKey{Key: key}, 0, time.Second).Code, result.OK)
	again, ok := s.view.Lookup(key)
	is.True(ok)
	is.Equal(again.Slot, base)
	_, still := s.serves(s.target(to), pinned.Slot)
	is.True(!still)
}

func TestHotKeyIsPinnedAndUnpinned(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 7, vms: 3, dcs: 3, targets: 4, slots: 16})
	s.opts.HotShare = 0.05
	for _, vm := range s.vms {
		s.boot(vm)
	}
	s.run(3 * time.Second)
	key := ownership.HashKey([]byte("cup"))
	load := func(share float64, seconds int) {
		for range seconds {
			s.step(s.assigner(), KeyLoad{Total: 1000, Keys: []KeyRate{{Key: key, PerSecond: 1000 * share}}})
			s.runFor(time.Second)
		}
	}
	load(0.2, 4)
	owner, ok := s.view.Lookup(key)
	is.True(ok)
	is.True(owner.Slot >= 16) // pinned within 4 s
	load(0.04, 40)
	owner, _ = s.view.Lookup(key)
	is.True(owner.Slot >= 16) // the pin stays while the load is between the thresholds
	load(0.001, 40)
	owner, ok = s.view.Lookup(key)
	is.True(ok)
	is.True(owner.Slot < 16)
}

func TestDrainMovesAllSlotsAndKeepsThemAway(t *testing.T) {
	is := is.New(t)
	s := started(is, 8)
	is.Equal(s.runCommand("d", DrainTarget{Target: "t1"}, 0, 2*time.Second).Code, result.OK)
	is.Equal(len(s.unserved()), 0)
	for slot := range ownership.Slot(16) {
		is.True(s.owner(slot) != "t1")
	}
	s.crash(s.assigner(), permanently)
	s.runFor(10 * time.Second)
	for slot := range ownership.Slot(16) {
		is.True(s.owner(slot) != "t1") // the next assigner keeps the target drained
	}
}

func TestLeavingTargetIsEmptied(t *testing.T) {
	is := is.New(t)
	s := started(is, 9)
	var list []TargetInfo
	for _, x := range s.targets {
		list = append(list, TargetInfo{Target: x.info, Leaving: x.info.ID == "t2"})
	}
	s.step(s.assigner(), TargetsChanged{Targets: list})
	gap := s.longestGap(2 * time.Second)
	t.Logf("longest time for which a slot was not served during the drain: %v", gap)
	for slot := range ownership.Slot(16) {
		is.True(s.owner(slot) != "t2")
	}
	is.True(gap < 500*ms)
}

func TestForgottenTargetLeavesTheRecord(t *testing.T) {
	is := is.New(t)
	s := started(is, 14)
	s.crashTarget(s.targets[0], permanently)
	var list []TargetInfo
	for _, x := range s.targets[1:] {
		list = append(list, TargetInfo{Target: x.info})
	}
	s.step(s.assigner(), TargetsChanged{Targets: list})
	s.runFor(DefaultForgetAfter + 2*time.Second)
	is.Equal(len(s.store.rec.Targets), 4) // forgetting a target causes no write by itself
	to := s.other(3)
	is.Equal(s.runCommand("m", MoveSlot{Slot: 3, To: to}, 0, time.Second).Code, result.OK)
	is.Equal(len(s.store.rec.Targets), 3)
	is.Equal(s.store.rec.Targets[s.store.rec.Owners[3]].ID, to)
	s.crash(s.assigner(), permanently)
	s.runFor(recoveryLimit)
	is.Equal(len(s.unserved()), 0)
	is.Equal(s.owner(3), to)
}

func TestCandidatesChangeOneAtATime(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 10, vms: 5, dcs: 3, targets: 2, slots: 4})
	s.run(3 * time.Second)
	gone := s.vms[4]
	s.crash(gone, permanently)
	is.Equal(s.runCommand("r", ChangeCandidates{Remove: gone.id}, 0, 2*time.Second).Code, result.OK)
	is.Equal(s.runCommand("r2", ChangeCandidates{Remove: s.vms[3].id}, 0, time.Second).Code, result.OK)
	is.Equal(s.store.rec.Candidates, []ownership.VMID{"vm0", "vm1", "vm2"})
	s.crash(s.assigner(), permanently)
	s.runFor(recoveryLimit)
	is.Equal(len(s.unserved()), 0) // two of the three remaining candidates are a majority
	is.Equal(len(s.violations), 0)
}

func TestForcedTakeOverAfterLossOfAMajority(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 11, vms: 3, dcs: 3, targets: 2, slots: 4})
	s.run(3 * time.Second)
	s.crash(s.vms[0], permanently)
	s.crash(s.vms[1], permanently)
	s.runFor(5 * time.Second)
	is.True(s.assigner() == nil)
	is.Equal(len(s.unserved()), 4) // slots are not served, rather than owned by two targets
	last := s.vms[2]
	force := ForceTakeOver{Candidates: []ownership.VMID{last.id}, Confirm: ForceConfirmation}
	s.step(last, CommandReceived{ID: "f", Command: force})
	s.runFor(6 * time.Second)
	is.Equal(s.done["f"].Code, result.OK)
	is.Equal(len(s.unserved()), 0)
	is.Equal(len(s.violations), 0)
}

// TestStoreRolledBackToOlderCandidates checks that supporters refuse a candidate list older
// than one they know, even if no VM has the newer list any more, until an operator forces a
// take-over.
func TestStoreRolledBackToOlderCandidates(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 13, vms: 3, dcs: 3, targets: 2, slots: 4})
	s.run(3 * time.Second)
	for _, vm := range s.vms {
		vm.supporter.UpdateKnown(simGroup, 1, 9)
	}
	s.runFor(5 * time.Second)
	is.True(s.assigner() == nil)
	force := ForceTakeOver{Candidates: []ownership.VMID{"vm0", "vm1", "vm2"}, Confirm: ForceConfirmation}
	s.step(s.vms[1], CommandReceived{ID: "f", Command: force})
	s.runFor(6 * time.Second)
	is.Equal(s.done["f"].Code, result.OK)
	is.Equal(len(s.unserved()), 0)
	is.Equal(len(s.violations), 0)
}

// TestLostTargetMovesOnlyItsSlots checks that the loss of a target moves no slots other than
// its own, and that slots are balanced again after its return.
func TestLostTargetMovesOnlyItsSlots(t *testing.T) {
	is := is.New(t)
	s := newSim(simConfig{seed: 12, vms: 3, dcs: 3, targets: 8, slots: 256})
	s.run(4 * time.Second)
	before := make([]ownership.TargetID, 256)
	lost := s.targets[3]
	share := 0
	for i := range before {
		before[i] = s.owner(ownership.Slot(i))
		if before[i] == lost.info.ID {
			share++
		}
	}
	s.crashTarget(lost, permanently)
	s.runFor(5 * time.Second)
	moved := 0
	for i := range before {
		if s.owner(ownership.Slot(i)) != before[i] {
			moved++
		}
	}
	t.Logf("the lost target owned %d of 256 slots; %d slots moved", share, moved)
	is.Equal(moved, share)
	s.bootTarget(lost)
	s.runFor(4 * time.Second)
	is.True(!slices.ContainsFunc(s.view.Slots, func(st ownership.SlotState) bool {
		return st.Owner != ownership.NoOwner && s.view.Targets[st.Owner].ID == lost.info.ID
	})) // a target that has just returned is given no slots
	s.runFor(30 * time.Second)
	counts := make(map[ownership.TargetID]int)
	for i := range before {
		counts[s.owner(ownership.Slot(i))]++
	}
	t.Logf("slots per target after its return: %v", counts)
	for _, n := range counts {
		is.True(n <= 36) // mean 32, exceeded by at most a tenth, rounded up
	}
}
