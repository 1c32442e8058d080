package shard

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

// suspectsVM is a VM whose agent shares the requests that crash targets.
type suspectsVM struct {
	agent   *Agent
	tracker *quarantine.Tracker
	stop    func()
}

// unavailableStore refuses all calls while refuse is set.
type unavailableStore struct {
	store.Store
	refuse atomic.Bool
}

func (s *unavailableStore) Get(ctx context.Context, key string) (store.Object, error) {
	if s.refuse.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *unavailableStore) Put(ctx context.Context, key string, value []byte, v store.Version) (store.Version, error) {
	if s.refuse.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, v)
}

func startSuspectsVM(t *testing.T, name string, s store.Store) *suspectsVM {
	t.Helper()
	vm := &suspectsVM{tracker: quarantine.New(quarantine.Options{MinCrashes: 3})}
	server, err := peer.Listen(peer.ServerOptions{Address: "127.0.0.1:0", Handler: func(ctx context.Context, st *peer.Stream) { vm.agent.Serve(ctx, st) }})
	is.New(t).NoErr(err)
	vm.agent = NewAgent(AgentOptions{
		VM: name, Address: server.Addr(), Store: s, Suspects: vm.tracker, RoleLease: time.Second,
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: name, Role: "test"}),
		Services: func() ([]string, bool) { return nil, false }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = vm.agent.Run(ctx) // Returns nil.
	}()
	go func() { _ = server.Run(ctx) }() // Ends with the context.
	vm.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(vm.stop)
	return vm
}

func (vm *suspectsVM) crash(target string, fp quarantine.Fingerprint) {
	vm.tracker.Started(ownership.TargetID(target), fp)
	vm.tracker.Crashed(ownership.TargetID(target), quarantine.Evidence{Incarnation: 1, ConnectionRefused: true})
	vm.tracker.Finished(ownership.TargetID(target), fp, false)
}

func (vm *suspectsVM) refuses(fp quarantine.Fingerprint) bool {
	blocked, _ := vm.tracker.Quarantined(fp)
	return blocked
}

// The attempts of a request that crashes targets come to any VM. Each saw one crash, and passed the next attempt on.
func TestAllVMsKnowARequestThatCrashesTargets(t *testing.T) {
	is, s := is.New(t), memstore.New(memstore.Options{})
	vms := []*suspectsVM{startSuspectsVM(t, "a", s), startSuspectsVM(t, "b", s), startSuspectsVM(t, "c", s)}
	await := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not seen within 10 s: %s", what)
			}
		}
	}
	assigner := func() int {
		for i, vm := range vms {
			vm.agent.mu.Lock()
			active := vm.agent.active
			vm.agent.mu.Unlock()
			if active != nil && active.vmCount() == len(vms) {
				return i
			}
		}
		return -1
	}
	await("an assigner that all follow", func() bool { return assigner() >= 0 })
	crashing := quarantine.Fingerprint{1}
	for i, vm := range vms {
		vm.crash(string(rune('x'+i)), crashing)
	}
	await("all VMs refuse the request", func() bool {
		return vms[0].refuses(crashing) && vms[1].refuses(crashing) && vms[2].refuses(crashing)
	})
	// One that starts later learns of it, also from the next assigner.
	first := assigner()
	vms[first].agent.Resign()
	vms[first].stop()
	vms = append(vms[:first], vms[first+1:]...)
	vms = append(vms, startSuspectsVM(t, "d", s))
	await("the later VM refuses the request", func() bool { return vms[2].refuses(crashing) })
	is.True(!vms[2].refuses(quarantine.Fingerprint{2}))

	// So does one that starts after all others have lost their memory.
	await("the request is kept in the store", func() bool {
		_, err := s.Get(t.Context(), SuspectsKey)
		return err == nil
	})
	for _, vm := range vms {
		vm.stop()
	}
	alone := startSuspectsVM(t, "e", s)
	await("the VM that is left refuses the request", func() bool { return alone.refuses(crashing) })
}

// VMs without an assigner knew only the crashes that they had seen themselves.
func TestVMsWithoutAnAssignerShareTheRequestsThatCrashTargets(t *testing.T) {
	s := &unavailableStore{Store: memstore.New(memstore.Options{})}
	vms := []*suspectsVM{startSuspectsVM(t, "a", s), startSuspectsVM(t, "b", s), startSuspectsVM(t, "c", s), startSuspectsVM(t, "d", s)}
	await := func(what string, ok func(*suspectsVM) bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); slices.ContainsFunc(vms, func(vm *suspectsVM) bool { return !ok(vm) }); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not seen within 10 s: %s", what)
			}
		}
	}
	await("all VMs know each other", func(vm *suspectsVM) bool {
		vm.agent.mu.Lock()
		defer vm.agent.mu.Unlock()
		return len(vm.agent.peers) == len(vms)
	})
	s.refuse.Store(true)
	assigner := slices.IndexFunc(vms, func(vm *suspectsVM) bool {
		vm.agent.mu.Lock()
		defer vm.agent.mu.Unlock()
		return vm.agent.active != nil
	})
	vms[assigner].stop()
	vms = slices.Delete(vms, assigner, assigner+1)
	await("no assigner", func(vm *suspectsVM) bool {
		vm.agent.mu.Lock()
		defer vm.agent.mu.Unlock()
		return vm.agent.active == nil && vm.agent.following == ""
	})
	crashing := quarantine.Fingerprint{1}
	for i, vm := range vms {
		vm.crash(string(rune('x'+i)), crashing)
	}
	await("all VMs refuse the request", func(vm *suspectsVM) bool { return vm.refuses(crashing) })
}

func TestSuspectsAreSentOnlyWhileNoAssignerPassesThemOn(t *testing.T) {
	is := is.New(t)
	var s suspectsSender
	now := time.Minute
	step := func(after time.Duration, version uint64, assigner bool) time.Duration {
		now += after
		return s.step(now, version, assigner)
	}
	is.Equal(step(0, 0, false), time.Duration(0)) // Nothing to send.
	is.Equal(step(0, 1, true), time.Duration(0))
	is.Equal(step(5*time.Second, 1, true), time.Duration(0))
	is.Equal(step(0, 1, false), time.Duration(0)) // The assigner had passed it on.
	is.Equal(step(time.Second, 2, false), newSuspectsAge)
	is.Equal(step(time.Second, 2, false), time.Duration(0))
	is.Equal(step(10*time.Second, 2, false), suspectAge) // There is none for long.
	is.Equal(step(10*time.Second, 2, false), time.Duration(0))
	is.Equal(step(time.Second, 2, true), time.Duration(0))
	is.Equal(step(5*time.Second, 2, true), time.Duration(0))
	is.Equal(step(time.Second, 3, true), time.Duration(0))
	is.Equal(step(assignerTimeout, 3, false), newSuspectsAge) // It may have been lost before.
}
