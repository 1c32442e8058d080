package shard

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

// stepBackService is the service whose keys the targets own in the tests with a store that steps back.
const stepBackService = "s"

// probedKeys is the number of keys, evenly spaced, whose holders are checked.
const probedKeys = 64

func probedKey(i int) Key { return Key(i * (int(LastKey) + 1) / probedKeys) }

// sentOrder is an order that has arrived at a target.
type sentOrder struct {
	vm      string
	at      time.Duration
	target  string
	fence   uint64
	release bool
}

// probedLease is a target's lease of a key.
type probedLease struct {
	highestFence, fence uint64
	until               time.Duration
	// vm is the VM that granted it last.
	vm string
}

// probedTargets are targets that keep leases and check what every order does to the other targets' leases.
type probedTargets struct {
	mu     sync.Mutex
	leases map[string]*[probedKeys]probedLease
	// heldUntil is the end of the last lease of each key, or zero after its release.
	heldUntil [probedKeys]time.Duration
	orders    []sentOrder
	senders   map[uint64]string
	// broken has the orders that broke a rule, by rule, and lapses the keys that had no holder for a while without a release.
	broken map[string][]string
	lapses []string
	// brokenAt is the instant of the first of these orders.
	brokenAt time.Duration
	// unreachable maps a VM to the target that its orders do not reach.
	unreachable map[string]string
}

func newProbedTargets() *probedTargets {
	return &probedTargets{leases: map[string]*[probedKeys]probedLease{}, senders: map[uint64]string{}, broken: map[string][]string{}, unreachable: map[string]string{}}
}

func (p *probedTargets) breach(rule, format string, args ...any) {
	if len(p.broken) == 0 {
		p.brokenAt = boottime.Now()
	}
	p.broken[rule] = append(p.broken[rule], fmt.Sprintf(format, args...))
}

// receive records an order and returns the target's leases. p.mu must be held.
func (p *probedTargets) receive(o sentOrder) *[probedKeys]probedLease {
	if sender, ok := p.senders[o.fence]; ok {
		p.breach("new tokens", "%s sent an order with token %d, which %s had used", o.vm, o.fence, sender)
	}
	p.senders[o.fence] = o.vm
	if n := len(p.orders); n > 0 && p.orders[n-1].vm != o.vm && slices.ContainsFunc(p.orders, func(e sentOrder) bool { return e.vm == o.vm }) {
		p.breach("one assigner", "%s sent an order after %s had begun to", o.vm, p.orders[n-1].vm)
	}
	p.orders = append(p.orders, o)
	if p.leases[o.target] == nil {
		p.leases[o.target] = new([probedKeys]probedLease)
	}
	return p.leases[o.target]
}

// refuses reports whether the target has seen a higher token for one of the keys.
func refuses(leases *[probedKeys]probedLease, keys KeyRange, fence uint64) bool {
	for i := range leases {
		if keys.Contains(KeyRange{probedKey(i), probedKey(i)}) && leases[i].highestFence > fence {
			return true
		}
	}
	return false
}

func (p *probedTargets) grant(vm string, to Holder, g Grant) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	leases := p.receive(sentOrder{vm, now, to.ID, g.Fence, false})
	if refuses(leases, g.Keys, g.Fence) {
		return ErrFenced
	}
	for i := range leases {
		if !g.Keys.Contains(KeyRange{probedKey(i), probedKey(i)}) {
			continue
		}
		p.checkGrant(i, to.ID, vm, g.Fence, now)
		// Each lease lasts until its own end or a release, beside later ones.
		leases[i] = probedLease{g.Fence, g.Fence, max(leases[i].until, now+g.LeaseDuration), vm}
		p.heldUntil[i] = max(p.heldUntil[i], leases[i].until)
	}
	return nil
}

// checkGrant checks the grant of one key against the leases of the other targets. p.mu must be held.
func (p *probedTargets) checkGrant(i int, target, vm string, fence uint64, now time.Duration) {
	if p.heldUntil[i] > 0 && p.heldUntil[i] < now {
		p.lapses = append(p.lapses, fmt.Sprintf("key %d had no holder for %v", probedKey(i), now-p.heldUntil[i]))
	}
	taken := p.leases[target][i].until <= now
	for other, leases := range p.leases {
		if other == target {
			continue
		}
		if l := leases[i]; l.until > now {
			p.breach("one owner", "%s granted %s key %d with token %d, which %s holds for another %v with token %d of %s", vm, target, probedKey(i), fence, other, l.until-now, l.fence, l.vm)
		}
		if l := leases[i]; taken && l.fence >= fence {
			p.breach("rising tokens", "%s granted %s key %d with token %d, which %s had with token %d of %s", vm, target, probedKey(i), fence, other, l.fence, l.vm)
		}
	}
}

func (p *probedTargets) release(vm string, from Holder, keys KeyRange, fence uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	leases := p.receive(sentOrder{vm, now, from.ID, fence, true})
	if refuses(leases, keys, fence) {
		return ErrFenced
	}
	for i := range leases {
		if !keys.Contains(KeyRange{probedKey(i), probedKey(i)}) {
			continue
		}
		leases[i].highestFence = fence
		if leases[i].until > now {
			leases[i].until, p.heldUntil[i] = now, 0
		}
	}
	return nil
}

// holders returns the holder of each key and the VM that granted it. They are empty for a key without one.
func (p *probedTargets) holders() (targets, vms [probedKeys]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	for target, leases := range p.leases {
		for i, l := range leases {
			if l.until > now {
				targets[i], vms[i] = target, l.vm
			}
		}
	}
	return targets, vms
}

// setUnreachable keeps the VM's orders from reaching a target.
func (p *probedTargets) setUnreachable(vm, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable[vm] = target
}

// ordersOf returns the orders of a VM.
func (p *probedTargets) ordersOf(vm string) []sentOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.orders), func(o sentOrder) bool { return o.vm != vm })
}

// check fails the test for each rule that was broken.
func (p *probedTargets) check(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, rule := range slices.Sorted(maps.Keys(p.broken)) {
		t.Errorf("%s, %d times: %s", rule, len(p.broken[rule]), p.broken[rule][0])
	}
}

// brokenSince reports whether a rule was first broken this long ago or longer.
func (p *probedTargets) brokenSince(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.broken) > 0 && boottime.Now()-p.brokenAt >= d
}

// checkHeld fails the test if a key has had no holder since it was first granted.
func (p *probedTargets) checkHeld(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	for i, until := range p.heldUntil {
		if until < now {
			p.lapses = append(p.lapses, fmt.Sprintf("key %d has no holder", probedKey(i)))
		}
	}
	if len(p.lapses) > 0 {
		t.Errorf("keys without a holder, %d times: %s", len(p.lapses), p.lapses[0])
	}
}

// forgetLapses forgets the times without a holder up to now.
func (p *probedTargets) forgetLapses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapses = nil
}

// probedOrders sends the orders of one VM to the targets.
type probedOrders struct {
	vm      string
	targets *probedTargets
}

// reach returns an error once the timeout has passed if the VM's orders do not reach the target.
func (o probedOrders) reach(target Holder, timeout time.Duration) error {
	o.targets.mu.Lock()
	unreachable := o.targets.unreachable[o.vm] == target.ID
	o.targets.mu.Unlock()
	if unreachable {
		time.Sleep(timeout)
		return errors.New("no answer")
	}
	return nil
}

func (o probedOrders) Grant(_ context.Context, to Holder, g Grant, timeout time.Duration) error {
	if err := o.reach(to, timeout); err != nil {
		return err
	}
	return o.targets.grant(o.vm, to, g)
}

func (o probedOrders) Release(_ context.Context, from Holder, keys KeyRange, fence uint64, timeout time.Duration) (string, error) {
	if err := o.reach(from, timeout); err != nil {
		return "", err
	}
	return "", o.targets.release(o.vm, from, keys, fence)
}

func (o probedOrders) CloseIdle(string) {}

// vmStore is a VM's path to the store.
type vmStore struct {
	store.Store

	mu  sync.Mutex
	cut bool
	// afterPut is called with the outcome of each write, and may replace it by an error. It may be nil.
	afterPut func(key string, err error) error
	// confirmedAt is the start of the last write of the role that succeeded, and roleWrites their number.
	confirmedAt time.Duration
	roleWrites  int
	// written are the last values that the VM has written, by key.
	written map[string][]byte
}

func (s *vmStore) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *vmStore) reach() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		return errors.Wrap(store.ErrUnavailable, "cut off")
	}
	return nil
}

func (s *vmStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.reach(); err != nil {
		return store.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *vmStore) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	if err := s.reach(); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *vmStore) Delete(ctx context.Context, key string, expected store.Version) error {
	if err := s.reach(); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, expected)
}

func (s *vmStore) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	if err := s.reach(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	after := s.afterPut
	s.mu.Unlock()
	start := boottime.Now()
	v, err := s.Store.Put(ctx, key, value, expected)
	if after != nil {
		if replaced := after(key, err); replaced != nil {
			return 0, replaced
		}
	}
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == RoleKey {
		s.confirmedAt = start
		s.roleWrites++
	}
	s.written[key] = slices.Clone(value)
	return v, nil
}

// lastConfirmed returns the start of the last write of the role that succeeded and the number of these writes.
func (s *vmStore) lastConfirmed() (at time.Duration, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt, s.roleWrites
}

// lastWritten returns the value that the VM wrote last under the key.
func (s *vmStore) lastWritten(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written[key]
}

// stepBackVM is a VM of a stepBackFleet.
type stepBackVM struct {
	name  string
	agent *Agent
	store *vmStore
	// stop ends the agent.
	stop func()
}

// stepBackFleet is some VMs and targets at a store that can come back from an older copy.
type stepBackFleet struct {
	t         *testing.T
	store     *memstore.Store
	targets   *probedTargets
	directory *fleet.Directory
	roleLease time.Duration
	leases    LeaseOptions
	// isolated keeps the VMs from connecting to each other.
	isolated atomic.Bool
	vms      []*stepBackVM
}

// stepBackLeases are the leases of the tests. A lease outlasts a renewal that comes 750 ms late.
var stepBackLeases = LeaseOptions{
	LeaseDuration: time.Second, LongLeaseDuration: time.Second, RenewInterval: 250 * time.Millisecond, Margin: 50 * time.Millisecond,
	LinkWait: 100 * time.Millisecond, OrderTimeout: 200 * time.Millisecond, ReleaseTimeout: 300 * time.Millisecond, RetryPause: 20 * time.Millisecond,
}

func newStepBackFleet(t *testing.T, roleLease time.Duration, targets ...string) *stepBackFleet {
	t.Helper()
	f := &stepBackFleet{
		t: t, store: memstore.New(memstore.Options{}), targets: newProbedTargets(), directory: fleet.NewDirectory(fleet.DirectoryOptions{}),
		roleLease: roleLease, leases: stepBackLeases,
	}
	for _, id := range targets {
		f.addTarget(id)
	}
	return f
}

func (f *stepBackFleet) addTarget(id string) { f.putTarget(id, fleet.Ready) }

func (f *stepBackFleet) putTarget(id string, state fleet.State) {
	f.directory.Put(&fleet.Target{ID: id, Service: stepBackService, Address: id + ":1", Born: 1, State: state, Slots: 6})
}

// start starts a VM, which is stopped at the end of the test.
func (f *stepBackFleet) start(name string) *stepBackVM {
	f.t.Helper()
	vm := &stepBackVM{name: name, store: &vmStore{Store: f.store, written: map[string][]byte{}}}
	server, err := peer.Listen(peer.ServerOptions{Address: "127.0.0.1:0", Handler: func(ctx context.Context, s *peer.Stream) { vm.agent.Serve(ctx, s) }})
	if err != nil {
		f.t.Fatal(err)
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		if f.isolated.Load() {
			return nil, errors.New("no route")
		}
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	var seeds []string
	for _, other := range f.vms {
		seeds = append(seeds, other.agent.opts.Address)
	}
	peers := peer.NewClient(peer.ClientOptions{VM: name, Role: "test", Dial: dial})
	vm.agent = NewAgent(AgentOptions{
		VM: name, Address: server.Addr(), Seeds: seeds, Store: vm.store, Peers: peers, Orders: probedOrders{name, f.targets},
		Directory: f.directory, RoleLease: f.roleLease, ReportInterval: 100 * time.Millisecond, StartSpread: time.Millisecond,
		FirstTableDelay: 50 * time.Millisecond, Leases: f.leases,
		Services: func() ([]string, bool) { return []string{stepBackService}, true }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = vm.agent.Run(ctx) }) // Returns nil.
	running.Go(func() { _ = server.Run(ctx) })   // Ends with the context.
	vm.stop = func() {
		cancel()
		peers.Close()
		running.Wait()
	}
	f.vms = append(f.vms, vm)
	f.t.Cleanup(vm.stop)
	return vm
}

// await waits until the condition holds. It fails the test if that takes longer than the time, or if a rule was broken a second
// ago.
func (f *stepBackFleet) await(what string, within time.Duration, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(within); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) || f.targets.brokenSince(time.Second) {
			f.targets.check(f.t)
			f.t.Fatalf("not seen: %s", what)
		}
	}
}

// setUpTime bounds the steps that lead to the case of a test.
const setUpTime = 10 * time.Second

// awaitOwners waits until the VM has granted each key to one of the targets, each of which has some, and the record in the
// store names no others.
func (f *stepBackFleet) awaitOwners(vm *stepBackVM, targets ...string) {
	f.t.Helper()
	f.await(fmt.Sprintf("%s has granted all keys to %v", vm.name, targets), setUpTime, func() bool {
		held, vms := f.targets.holders()
		record, _ := f.record()
		named := map[string]bool{}
		for i, target := range held {
			named[target] = true
			if vms[i] != vm.name || !slices.Contains(targets, target) || record == nil || recordHolder(record, probedKey(i)) != target {
				return false
			}
		}
		return len(named) == len(targets)
	})
}

// awaitServed waits until the VM of the role in the store has granted each key, to the owner in the record in the store.
func (f *stepBackFleet) awaitServed() {
	f.t.Helper()
	f.await("an assigner has granted all keys", setUpTime, func() bool {
		held, vms := f.targets.holders()
		r, _ := f.role()
		record, _ := f.record()
		for i, target := range held {
			if target == "" || vms[i] != r.VM || record == nil || recordHolder(record, probedKey(i)) != target {
				return false
			}
		}
		return true
	})
}

// recordHolder returns the owner of a key in the record if there are no former ones, or an empty string.
func recordHolder(r *Record, k Key) string {
	for _, rr := range r.Ranges {
		if rr.Keys.Contains(KeyRange{k, k}) && len(rr.FormerOwners) == 0 {
			return rr.Owner.ID
		}
	}
	return ""
}

// record returns the record in the store and its version, or nil if there is none.
func (f *stepBackFleet) record() (*Record, store.Version) {
	f.t.Helper()
	obj, err := f.store.Get(context.Background(), RangePrefix+stepBackService)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0
	}
	if err != nil {
		f.t.Fatal(err)
	}
	r, err := DecodeRecord(obj.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return r, obj.Version
}

// role returns the role in the store and its version.
func (f *stepBackFleet) role() (role, store.Version) {
	f.t.Helper()
	r, v, err := readRole(context.Background(), f.store)
	if err != nil {
		f.t.Fatal(err)
	}
	return r, v
}

// put writes a value to the store over the one that is there.
func (f *stepBackFleet) put(key string, value []byte) {
	f.t.Helper()
	obj, err := f.store.Get(context.Background(), key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		f.t.Fatal(err)
	}
	if _, err := f.store.Put(context.Background(), key, value, obj.Version); err != nil {
		f.t.Fatal(err)
	}
}
