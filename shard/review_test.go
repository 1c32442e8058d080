package shard

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

// The first VM of a system waited for the longest lease of an assigner that there can't have been, if the store stated an era.
func TestFirstStartAtAStoreWithAnEraGrantsWithoutTheLongestLease(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 900*time.Millisecond, "t1")
	f.leases.LongLeaseDuration = 5 * time.Second
	f.store.StepBack(f.store.Snapshot())
	start := time.Now()
	a := f.start("a")
	f.awaitOwners(a, "t1")
	if took := time.Since(start); took > 4*time.Second {
		t.Fatalf("the first grant took %v", took)
	}
}

// A VM that was frozen while an assigner granted keys to a new target took the targets that it remembered for all holders.
func TestVMThatMissedTheLastSecondsDoesNotKnowAllHolders(t *testing.T) {
	is := is.New(t)
	agent := NewAgent(AgentOptions{VM: "b"})
	t1 := Holder{ID: "t1", Address: "t1:1", Born: 1}
	const frozenAt, resumedAt = 60 * time.Second, 70 * time.Second
	for now := time.Second; now <= frozenAt; now += rememberInterval {
		agent.remember("s", []Holder{t1}, now)
	}
	agent.remember("s", []Holder{t1}, resumedAt)
	_, complete := agent.holders.holdersOf("s", resumedAt)
	is.True(!complete) // Targets that came and got keys in these 10 s are not among them.
}

// stopAtPut stops the assigner right after a write of its role was done.
type stopAtPut struct {
	store.Store
	stop func()
}

func (s *stopAtPut) Put(ctx context.Context, key string, value []byte, v store.Version) (store.Version, error) {
	written, err := s.Store.Put(ctx, key, value, v)
	if err == nil {
		s.stop()
	}
	return written, err
}

// A VM that stopped while it wrote its role again left it in the store, so that the next one waited for the end of its lease.
func TestRoleThatIsWrittenAgainWhileTheVMStopsIsGivenUp(t *testing.T) {
	is := is.New(t)
	stored := memstore.New(memstore.Options{})
	older := stored.Snapshot()
	stopping := &stopAtPut{Store: stored, stop: func() {}}
	agent := NewAgent(AgentOptions{VM: "a", Store: stopping})
	r := role{VM: "a", Term: 1}
	version, err := putRole(t.Context(), stored, r, 0)
	is.NoErr(err)
	a := newAssigner(t.Context(), agent, 1, boottime.Now(), predecessor{})
	stopping.stop = func() { a.stop(errStopping) }
	stored.StepBack(older)
	a.confirmSoon()
	close(a.done)
	a.confirmRole(a.ctx, r, version)
	found, _, err := readRole(t.Context(), stored)
	is.NoErr(err)
	is.Equal(found.VM, "")
	is.True(found.Settled)
}

// A service whose record was lost counted as new until the VM had noted that records were pending, after it had noted the era.
func TestServiceIsNotNewAsSoonAsTheRoleIsOfTheNextEra(t *testing.T) {
	is := is.New(t)
	stored := memstore.New(memstore.Options{})
	older := stored.Snapshot()
	waiting := &stopAtPut{Store: stored}
	agent := NewAgent(AgentOptions{VM: "a", Store: waiting, Directory: fleet.NewDirectory(fleet.DirectoryOptions{})})
	r := role{VM: "a", Term: 1}
	_, err := putRole(t.Context(), stored, r, 0)
	is.NoErr(err)
	a := newAssigner(t.Context(), agent, 1, boottime.Now(), predecessor{})
	stored.StepBack(older)
	waiting.stop = agent.mu.Lock // Another part of the Agent has the lock meanwhile.
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		_, _, _ = a.restoreRole(a.ctx, r) // What it does meanwhile is seen below.
	}()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if era, _ := a.era.get(); era > 0 {
			break
		}
		is.True(time.Now().Before(end))
	}
	waiting.stop = func() {}
	s := &serviceState{name: "s"}
	// It locks the Agent only if it distrusts the record.
	taken := make(chan error, 1)
	go func() { taken <- a.takeOverService(a.ctx, s) }()
	time.Sleep(50 * time.Millisecond)
	agent.mu.Unlock()
	is.NoErr(<-taken)
	<-restored
	is.True(s.leases.isClearing())
}

// stepsBackInDoubt does not answer the first write, and steps back to a copy that has it once the second one conflicts.
type stepsBackInDoubt struct {
	*memstore.Store
	puts int
}

func (s *stepsBackInDoubt) Put(ctx context.Context, key string, value []byte, v store.Version) (store.Version, error) {
	written, err := s.Store.Put(ctx, key, value, v)
	s.puts++
	switch s.puts {
	case 1:
		return 0, store.ErrUnknown
	case 2:
		s.StepBack(s.Snapshot())
	}
	return written, err
}

// A role of unknown outcome that was read in the next era counted as confirmed there. The assigner never learned of that era, and
// could write no record any more.
func TestWriteThatIsFoundInTheNextEraIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	stored := &stepsBackInDoubt{Store: memstore.New(memstore.Options{})}
	stored.StepBack(stored.Snapshot())
	version, err := putRole(t.Context(), stored, role{VM: "a", Term: 1, Era: 1}, store.NewVersion(1, 0))
	is.Equal(version, store.Version(0))
	is.True(errors.Is(err, store.ErrSteppedBack))
}

// A VM that knows all targets waits for their releases, and not for the longest lease that they might have.
func TestTakeOverFromAnOlderRoleByAVMThatKnowsAllTargetsWaitsForTheirReleasesOnly(t *testing.T) {
	t.Parallel()
	f := newStepBackFleet(t, 600*time.Millisecond, "t1")
	f.leases.LongLeaseDuration = 4 * time.Second
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
	since := f.stepBack(older)
	b := f.start("b")
	b.agent.mu.Lock()
	b.agent.holders.since, b.agent.holders.lastLook = boottime.Now()-3*holderMemoryAge, boottime.Now()
	b.agent.mu.Unlock()
	f.awaitOwners(b, "t1", "t2")
	if took := boottime.Now() - since; took > 3*time.Second {
		t.Errorf("b has granted all keys after %v", took)
	}
	f.checkTakeOver(a, r.Term, b)
	f.targets.check(t)
}
