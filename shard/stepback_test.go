package shard

import (
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

// earlierTerm and earlierTokens are the term and the bound of the tokens of the assigner before the first VM of a test.
const earlierTerm, earlierTokens = 3, 1000

// putEarlierRecord writes the record of an assigner that has settled, in which t1 owns all keys.
func (f *stepBackFleet) putEarlierRecord() {
	f.t.Helper()
	data, err := (&Record{Term: earlierTerm, NextFence: earlierTokens, Ranges: []RangeRecord{{Keys: AllKeys, Owner: Holder{ID: "t1", Address: "t1:1", Born: 1}}}}).Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	f.put(RangePrefix+stepBackService, data)
}

func (f *stepBackFleet) putRole(r role) {
	f.t.Helper()
	data, err := json.Marshal(r)
	if err != nil {
		f.t.Fatal(err)
	}
	f.put(RoleKey, data)
}

// checkTakeOver fails the test if the VM's term or tokens are not above those of an earlier assigner, or if it sent orders
// while that one might act.
func (f *stepBackFleet) checkTakeOver(earlier *stepBackVM, earlierTerm uint64, vm *stepBackVM) {
	f.t.Helper()
	if r, _ := f.role(); r.VM != vm.name || r.Term <= earlierTerm {
		f.t.Errorf("the role is of %q with term %d; %s had term %d", r.VM, r.Term, earlier.name, earlierTerm)
	}
	confirmed, _ := earlier.store.lastConfirmed()
	before, after := f.targets.ordersOf(earlier.name), f.targets.ordersOf(vm.name)
	if early := confirmed + f.roleLease - after[0].at; early > 0 {
		f.t.Errorf("%s sent an order %v before the role of %s ended", vm.name, early, earlier.name)
	}
	byToken := func(a, b sentOrder) int { return int(a.fence) - int(b.fence) }
	if highest, lowest := slices.MaxFunc(before, byToken).fence, slices.MinFunc(after, byToken).fence; lowest <= highest {
		f.t.Errorf("%s used token %d, %s had used %d", vm.name, lowest, earlier.name, highest)
	}
}

// A VM that took over from an older role sent orders at once, with the term and the tokens of an assigner that still acted.
func TestTakeOverFromAnOlderRoleWaitsForTheAssignerThatItDoesNotName(t *testing.T) {
	t.Parallel()
	settled := role{Term: earlierTerm, Settled: true}
	for name, olderRole := range map[string]*role{
		"given up":      &settled,
		"held":          {VM: "gone", Incarnation: "1", Address: "127.0.0.1:1", Term: earlierTerm, Beat: 7},
		"never written": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStepBackFleet(t, 900*time.Millisecond, "t1")
			f.isolated.Store(true)
			older := f.store.Snapshot()
			f.putEarlierRecord()
			if olderRole != nil {
				f.putRole(*olderRole)
				older = f.store.Snapshot()
			}
			f.putRole(settled)
			a := f.start("a")
			f.awaitOwners(a, "t1")
			f.addTarget("t2")
			f.awaitOwners(a, "t1", "t2")
			r, _ := f.role()

			a.store.setCut(true)
			f.store.StepBack(older)
			b := f.start("b")
			f.awaitOwners(b, "t1", "t2")
			f.checkTakeOver(a, r.Term, b)

			// The first assigner must not take the role back when it reaches the store again.
			f.isolated.Store(false)
			a.store.setCut(false)
			time.Sleep(f.roleLease)
			f.targets.check(t)
			if last, _ := f.role(); last.VM != "b" {
				t.Errorf("%s took the role back", last.VM)
			}
		})
	}
}

// A target that the older record does not name, and that does not answer the successor, held keys that another one was granted.
func TestTakeOverFromAnOlderRoleWaitsForTheLeasesOfASilentTarget(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 600*time.Millisecond, "t1")
	f.leases.LongLeaseDuration = 1500 * time.Millisecond
	f.isolated.Store(true)
	f.putEarlierRecord()
	f.putRole(role{Term: earlierTerm, Settled: true})
	older := f.store.Snapshot()
	a := f.start("a")
	f.awaitOwners(a, "t1")
	f.addTarget("t2")
	f.awaitOwners(a, "t1", "t2")
	r, _ := f.role()

	a.store.setCut(true)
	f.targets.setUnreachable("b", "t2")
	f.putTarget("t2", fleet.Draining)
	f.store.StepBack(older)
	b := f.start("b")
	f.awaitOwners(b, "t1")
	f.checkTakeOver(a, r.Term, b)
	f.targets.check(t)
}

// A second step back to the same copy gave the term and the tokens of the first take-over out again.
func TestSecondTakeOverFromAnOlderRoleUsesNoTermOrTokenOfTheFirst(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 600*time.Millisecond, "t1")
	f.isolated.Store(true)
	f.putEarlierRecord()
	f.putRole(role{Term: earlierTerm, Settled: true})
	older := f.store.Snapshot()
	last := f.start("a")
	f.awaitOwners(last, "t1")
	f.addTarget("t2")
	f.awaitOwners(last, "t1", "t2")
	for _, name := range []string{"b", "c"} {
		r, _ := f.role()
		last.store.setCut(true)
		f.store.StepBack(older)
		next := f.start(name)
		f.awaitOwners(next, "t1", "t2")
		f.checkTakeOver(last, r.Term, next)
		last = next
	}
	f.targets.check(t)
}

// An assigner that was cut off for the moment of the step back and the VM that took over from the older role both sent orders.
func TestAssignerThatMissesAStepBackForAMomentIsTheOnlyOne(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 900*time.Millisecond, "t1")
	f.isolated.Store(true)
	f.putEarlierRecord()
	f.putRole(role{Term: earlierTerm, Settled: true})
	older := f.store.Snapshot()
	a := f.start("a")
	f.awaitOwners(a, "t1")
	f.addTarget("t2")
	f.awaitOwners(a, "t1", "t2")

	a.store.setCut(true)
	since := f.stepBack(older)
	f.start("b")
	time.Sleep(100 * time.Millisecond)
	a.store.setCut(false)
	f.awaitLeasesEnded(since)
	f.awaitServed()
	f.targets.check(t)
}

// A VM that starts when the store has just come back without any role is not the only one that acts.
func TestVMThatStartsAtAStepBackToAnEmptyStoreLeavesTheKeysToOneAssigner(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 900*time.Millisecond, "t1")
	empty := f.store.Snapshot()
	a := f.inTouch()
	f.moveSome(a)
	since := f.stepBack(empty)
	f.start("c")
	f.awaitLeasesEnded(since)
	f.awaitServed()
	f.targets.check(t)
}

// awaitLeasesEnded waits until all leases of an assigner whose role was confirmed last at the instant would have ended.
func (f *stepBackFleet) awaitLeasesEnded(since time.Duration) {
	time.Sleep(since + f.roleLease + f.leases.LeaseDuration + f.leases.RenewInterval - boottime.Now())
}

// inTouch starts a VM that is the assigner, which it returns, and one that follows it.
func (f *stepBackFleet) inTouch() *stepBackVM {
	f.t.Helper()
	assigner := f.start("a")
	f.awaitOwners(assigner, "t1")
	follower := f.start("b")
	f.await("b follows a", setUpTime, func() bool {
		follower.agent.mu.Lock()
		defer follower.agent.mu.Unlock()
		return follower.agent.following == assigner.agent.opts.Address
	})
	return assigner
}

// inTouchSince is inTouch and returns a copy of the store as well, from before the role's last confirmation and
// the last move.
func (f *stepBackFleet) inTouchSince() (assigner *stepBackVM, older memstore.Snapshot) {
	f.t.Helper()
	assigner = f.inTouch()
	older = f.store.Snapshot()
	f.moveSome(assigner)
	return assigner, older
}

// moveSome has the assigner move keys to a second target and confirm its role.
func (f *stepBackFleet) moveSome(assigner *stepBackVM) {
	f.t.Helper()
	_, writes := assigner.store.lastConfirmed()
	f.addTarget("t2")
	f.awaitOwners(assigner, "t1", "t2")
	f.await("the role is confirmed", setUpTime, func() bool {
		_, now := assigner.store.lastConfirmed()
		return now > writes
	})
}

// stepBack makes the store come back from an older copy and returns when.
func (f *stepBackFleet) stepBack(older memstore.Snapshot) time.Duration {
	f.store.StepBack(older)
	return boottime.Now()
}

// awaitRestored waits until the store has the assigner's role and a record with the holders of all keys, written in its present
// era. It fails the test if that is not the case when the assigner may no longer act without a confirmation.
func (f *stepBackFleet) awaitRestored(assigner *stepBackVM, term uint64, since time.Duration) {
	f.t.Helper()
	era := f.store.Revision().Era()
	for !f.restored(assigner, term, era, since) {
		if boottime.Now() > since+f.roleLease {
			r, version := f.role()
			_, recordVersion := f.record()
			f.t.Errorf("%v later, the role is of %q with term %d and version %s, the record has version %s; %s had term %d", f.roleLease, r.VM, r.Term, version, recordVersion, assigner.name, term)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *stepBackFleet) restored(assigner *stepBackVM, term uint64, era store.Era, since time.Duration) bool {
	r, version := f.role()
	record, recordVersion := f.record()
	if at, _ := assigner.store.lastConfirmed(); at <= since {
		return false
	}
	if r.VM != assigner.name || r.Term < term || version.Era() != era || record == nil || recordVersion.Era() != era {
		return false
	}
	held, _ := f.targets.holders()
	for i, target := range held {
		if recordHolder(record, probedKey(i)) != target {
			return false
		}
	}
	return true
}

// checkServed fails the test if the assigner stops renewing the leases or another VM takes the role, until all leases from the
// instant would have ended.
func (f *stepBackFleet) checkServed(assigner *stepBackVM, since time.Duration) {
	f.t.Helper()
	f.awaitLeasesEnded(since)
	f.targets.check(f.t)
	f.targets.checkHeld(f.t)
	if r, _ := f.role(); r.VM != assigner.name {
		f.t.Errorf("the role is of %q", r.VM)
	}
	for _, vm := range f.vms {
		if at, _ := vm.store.lastConfirmed(); vm != assigner && at > since {
			f.t.Errorf("%s took the role over", vm.name)
		}
	}
}

// An assigner could not confirm its role any more once the store had come back from an older copy, and its targets lost
// their keys.
func TestAssignerServesOnWhenTheStoreStepsBack(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 1800*time.Millisecond, "t1")
	a, older := f.inTouchSince()
	r, _ := f.role()
	since := f.stepBack(older)
	f.awaitRestored(a, r.Term, since)
	f.checkServed(a, since)
}

// A copy without the assigner's role, or without its record, made another VM take over, or the targets lose their keys.
func TestAssignerServesOnWhenTheStoreStepsBackToBeforeItsFirstWrites(t *testing.T) {
	t.Parallel()
	for _, key := range []string{RoleKey, RangePrefix + stepBackService} {
		t.Run("before "+key, func(t *testing.T) {
			t.Parallel()
			f := newStepBackFleet(t, 1800*time.Millisecond, "t1")
			older := f.store.Snapshot()
			if key != RoleKey {
				f.putRole(role{VM: "other", Term: earlierTerm})
				older = f.store.Snapshot()
				f.putRole(role{Term: earlierTerm, Settled: true})
			}
			a := f.inTouch()
			f.moveSome(a)
			r, _ := f.role()
			since := f.stepBack(older)
			f.awaitRestored(a, r.Term, since)
			f.checkServed(a, since)
		})
	}
}

// The targets lost their keys, or another VM took over, when the store came back from a still older copy right after.
func TestAssignerServesOnWhenTheStoreStepsBackTwice(t *testing.T) {
	t.Parallel()
	for name, between := range map[string]bool{"at once": false, "once the first is over": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStepBackFleet(t, 1800*time.Millisecond, "t1")
			f.putEarlierRecord()
			f.putRole(role{Term: earlierTerm, Settled: true})
			oldest := f.store.Snapshot()
			a, older := f.inTouchSince()
			r, _ := f.role()
			since := f.stepBack(older)
			if between {
				f.awaitRestored(a, r.Term, since)
				if t.Failed() {
					return
				}
			}
			since = f.stepBack(oldest)
			f.awaitRestored(a, r.Term, since)
			f.checkServed(a, since)
		})
	}
}

// holdAnswer holds back the answer of the VM's next write of the key, which the store carries out. The write is done when
// done is closed; its answer comes when release is called, by which time the store is in another era.
func (vm *stepBackVM) holdAnswer(key string) (done <-chan struct{}, release func()) {
	written, released := make(chan struct{}), make(chan struct{})
	var once sync.Once
	vm.store.mu.Lock()
	defer vm.store.mu.Unlock()
	vm.store.afterPut = func(k string, err error) error {
		if k != key || err != nil {
			return nil
		}
		var held error
		once.Do(func() {
			close(written)
			<-released
			held = errors.Wrap(store.ErrSteppedBack, key)
		})
		return held
	}
	return written, func() { close(released) }
}

// An answer from the era before says nothing of what the store has now.
func TestWriteThatIsAnsweredAfterAStepBackChangesNothing(t *testing.T) {
	t.Parallel()
	for _, key := range []string{RoleKey, RangePrefix + stepBackService} {
		for name, survives := range map[string]bool{"is lost": false, "survives": true} {
			t.Run(key+" "+name, func(t *testing.T) {
				t.Parallel()
				f := newStepBackFleet(t, 1800*time.Millisecond, "t1")
				a := f.inTouch()
				r, _ := f.role()
				older := f.store.Snapshot()
				done, release := a.holdAnswer(key)
				f.addTarget("t2") // The next record gives it keys.
				select {
				case <-done:
				case <-time.After(setUpTime):
					t.Fatal("no write")
				}
				if survives {
					older = f.store.Snapshot()
				}
				since := f.stepBack(older)
				time.Sleep(50 * time.Millisecond)
				release()
				f.awaitRestored(a, r.Term, since)
				f.checkServed(a, since)
				if !t.Failed() {
					f.awaitOwners(a, "t1", "t2")
				}
			})
		}
	}
}

// successorInNewEra has an assigner end with the era of the store, and another VM take over from it in the next one. It
// returns the last role and record that the first one wrote. Since then, the second one has moved keys.
func (f *stepBackFleet) successorInNewEra() (b *stepBackVM, lateRole, lateRecord []byte) {
	f.t.Helper()
	f.isolated.Store(true)
	f.putEarlierRecord()
	f.putRole(role{Term: earlierTerm, Settled: true})
	a := f.start("a")
	f.awaitOwners(a, "t1")
	older := f.store.Snapshot()
	a.store.setCut(true)
	a.stop()
	f.store.StepBack(older)
	b = f.start("b")
	f.awaitOwners(b, "t1")
	f.addTarget("t2")
	f.awaitOwners(b, "t1", "t2")
	f.targets.forgetLapses() // From the loss of the first assigner until the second one may act.
	return b, a.store.lastWritten(RoleKey), a.store.lastWritten(RangePrefix + stepBackService)
}

// A write of the era before may be done late, where the version that it expects has been given out again.
func TestRoleThatIsWrittenLateFromTheEraBeforeIsNotBelieved(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 900*time.Millisecond, "t1")
	b, lateRole, _ := f.successorInNewEra()
	r, _ := f.role()
	f.put(RoleKey, lateRole)
	since := boottime.Now()
	f.awaitRestored(b, r.Term, since)
	f.checkServed(b, since)
}

// An assigner that had written its role in the new era took its own late write of the earlier one for that of another VM.
func TestOwnRoleThatIsWrittenLateFromTheEraBeforeDoesNotEndTheRole(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 1800*time.Millisecond, "t1")
	a, older := f.inTouchSince()
	r, _ := f.role()
	lateRole := a.store.lastWritten(RoleKey)
	since := f.stepBack(older)
	f.awaitRestored(a, r.Term, since)
	if t.Failed() {
		return
	}
	f.put(RoleKey, lateRole)
	since = boottime.Now()
	f.awaitRestored(a, r.Term, since)
	f.checkServed(a, since)
}

// A record of the earlier era that was written late ended the role of the assigner whose record it replaced.
func TestRecordThatIsWrittenLateFromTheEraBeforeIsReplaced(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 900*time.Millisecond, "t1")
	b, _, lateRecord := f.successorInNewEra()
	r, _ := f.role()
	f.put(RangePrefix+stepBackService, lateRecord)
	f.addTarget("t3") // The assigner learns of the late record when it writes its own.
	since := boottime.Now()
	f.awaitOwners(b, "t1", "t2", "t3")
	f.awaitRestored(b, r.Term, since)
	f.checkServed(b, since)
}

// A successor acted on a record of the earlier era that was written late, and used the tokens of its predecessor.
func TestSuccessorDoesNotActOnARecordThatIsWrittenLateFromTheEraBefore(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 900*time.Millisecond, "t1")
	b, _, lateRecord := f.successorInNewEra()
	r, _ := f.role()
	b.agent.Resign()
	f.put(RangePrefix+stepBackService, lateRecord)
	c := f.start("c")
	f.awaitOwners(c, "t1", "t2")
	f.targets.check(t)
	if now, _ := f.role(); now.VM != "c" || now.Term <= r.Term {
		t.Errorf("the role is of %q with term %d; b had term %d", now.VM, now.Term, r.Term)
	}
}
