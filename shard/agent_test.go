package shard

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

// A VM that knows the assigner's last confirmation waits for the end of the role lease
// from that confirmation. A VM that knows only an older one must wait a whole role lease
// from when it first read the role.
func TestSilentAssignerActsForOneLeaseAfterItsLastConfirmation(t *testing.T) {
	is := is.New(t)
	a := NewAgent(AgentOptions{RoleLease: 3 * time.Second})
	now := boottime.Now()
	a.lastConfirmation = roleConfirmation{term: 4, beat: 9, confirmedAt: now - 2*time.Second}
	s := assignerSearch{agent: a, seenAt: now}
	is.Equal(s.actsUntil(role{Term: 4, Beat: 9}, evidence.Silence), now+time.Second)
	is.Equal(s.actsUntil(role{Term: 4, Beat: 10}, evidence.Silence), now+3*time.Second)
	is.Equal(s.actsUntil(role{Term: 5, Beat: 9}, evidence.Silence), now+3*time.Second)
}

// takingStore is a store in which another VM takes the role over right before the read with the number takenBeforeRead.
type takingStore struct {
	store.Store
	reads, takenBeforeRead int
}

func (s *takingStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.reads++
	if s.reads == s.takenBeforeRead {
		r, version, err := readRole(ctx, s.Store)
		if err != nil {
			return store.Object{}, err
		}
		if _, err := putRole(ctx, s.Store, role{VM: "preferred", Address: "127.0.0.1:1", Term: r.Term + 1}, version); err != nil {
			return store.Object{}, err
		}
	}
	return s.Store.Get(ctx, key)
}

// A VM with a take-over delay often finds a lost assigner first, because there are more such VMs. It must not take over
// before a preferred VM has had the time to do so.
func TestVMWithTakeOverDelayLeavesTheRoleToPreferredVM(t *testing.T) {
	is := is.New(t)
	stored := &takingStore{Store: memstore.New(memstore.Options{}), takenBeforeRead: 2}
	a := NewAgent(AgentOptions{
		VM: "small", Address: "127.0.0.1:2", Store: stored, TakeOverDelay: 20 * time.Millisecond, RoleLease: time.Second,
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: "small", Role: "test"}),
		Services: func() ([]string, bool) { return nil, false }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	s := assignerSearch{agent: a}
	s.step(ctx)
	r, _, err := readRole(t.Context(), stored.Store)
	is.NoErr(err)
	is.Equal(r.VM, "preferred")
}

// The end of a silent assigner's role often comes right after a VM has failed to reach it. The VM must not begin another
// search then, which can take longer than the role.
func TestRoleIsTakenOverAtTheEndOfTheSilentAssignersLease(t *testing.T) {
	is := is.New(t)
	stored := memstore.New(memstore.Options{})
	_, err := putRole(t.Context(), stored, role{VM: "silent", Address: "127.0.0.1:1", Term: 1}, 0)
	is.NoErr(err)
	dial := func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") }
	a := NewAgent(AgentOptions{
		VM: "next", Address: "127.0.0.1:2", Store: stored, RoleLease: 100 * time.Millisecond,
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: "next", Role: "test", Dial: dial}),
		Services: func() ([]string, bool) { return nil, false }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	taken := make(chan struct{})
	go func() {
		defer close(taken)
		s := assignerSearch{agent: a}
		s.step(ctx) // Acts as the assigner until the context ends.
	}()
	for {
		r, _, err := readRole(t.Context(), stored)
		is.NoErr(err)
		if r.VM == "next" {
			break
		}
		select {
		case <-taken:
			t.Fatal("the search ended without a take-over")
		case <-time.After(time.Millisecond):
		}
	}
	cancel()
	<-taken
}

// A cut that refused connections made a VM take over and send orders at once, while the assigner behind the cut went on
// sending its own.
func TestRefusedConnectionsDoNotEndTheAssignersRole(t *testing.T) {
	is := is.New(t)
	const roleLease = 600 * time.Millisecond
	stored := memstore.New(memstore.Options{})
	_, err := putRole(t.Context(), stored, role{VM: "cut", Address: "127.0.0.1:1", Term: 1}, 0)
	is.NoErr(err)
	dial := func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	a := NewAgent(AgentOptions{
		VM: "next", Address: "127.0.0.1:2", Store: stored, RoleLease: roleLease,
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: "next", Role: "test", Dial: dial}),
		Services: func() ([]string, bool) { return nil, false }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	s := assignerSearch{agent: a}
	r, version, err := readRole(t.Context(), stored)
	is.NoErr(err)
	s.seen, s.seenAt = version, boottime.Now()
	v := s.checkVacancy(t.Context(), r, version)
	is.True(v.reason != "")
	is.Equal(v.actsUntil, s.seenAt+roleLease)
	is.True(!v.sign.EndsLease())
	p := newPredecessor(r, v.actsUntil, LeaseOptions{OrderTimeout: time.Millisecond}, v.sign.EndsLease(), boottime.Now())
	lm := NewLeaseManager(LeaseOptions{}, 2, &Record{Term: 1, Ranges: []RangeRecord{{Keys: KeyRange{0, LastKey}}}}, boottime.Now(), p.until)
	is.Equal(len(lm.DueOrders(s.seenAt+roleLease)), 0)
}

// The report of a VM shows that it no longer acts as the assigner, but only if it knows the term in which it acted: a
// report may have waited in a queue since before that.
func TestPredecessorTestifiesByItsReport(t *testing.T) {
	is := is.New(t)
	p := predecessor{vm: "a", term: 7}
	is.True(p.testifies(&pb.ShardReport{Vm: "a", KnownTerm: 7}))
	is.True(p.testifies(&pb.ShardReport{Vm: "a", KnownTerm: 8}))
	is.True(!p.testifies(&pb.ShardReport{Vm: "a", KnownTerm: 6}))
	is.True(!p.testifies(&pb.ShardReport{Vm: "b", KnownTerm: 8}))
	is.True(!p.testifies(&pb.ShardReport{}))                // Of a VM with an earlier build.
	is.True(!new(predecessor).testifies(&pb.ShardReport{})) // There is no predecessor.
}

// An assigner of one of the terms before the predecessor's may still act when the predecessor stops.
func TestStopOfThePredecessorSaysNothingOfEarlierAssigners(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	opts := LeaseOptions{OrderTimeout: 800 * time.Millisecond}
	p := newPredecessor(role{VM: "b", Term: 2, EarlierActsForMs: 1500}, now+3*time.Second, opts, false, now)
	is.Equal(p.until, now+3800*time.Millisecond)
	is.True(p.stopped(now + 100*time.Millisecond))
	is.Equal(p.until, now+1500*time.Millisecond)
	is.True(!p.stopped(now + 1200*time.Millisecond))

	// What it passes on is as long when it resigns.
	given := role{Term: 3}
	given.setEarlier(p.until, p.arriveUntil, now+1200*time.Millisecond)
	is.Equal(given.EarlierActsForMs, uint64(300))
	p = newPredecessor(given, now+1200*time.Millisecond, opts, true, now+1200*time.Millisecond)
	is.Equal(p.until, now+1500*time.Millisecond)
}

// A successor counted on the orders of an assigner before its predecessor to have left their link once the predecessor had stopped, or
// the calls of these orders had ended.
func TestOrdersOfEarlierAssignersMayArriveLate(t *testing.T) {
	is := is.New(t)
	const now, acts, linkWait, lease = 10 * time.Second, 1500 * time.Millisecond, 2 * time.Second, 9 * time.Second
	opts := LeaseOptions{OrderTimeout: 800 * time.Millisecond, LinkWait: linkWait, LongLeaseDuration: lease}
	record := &Record{Term: 2, NextFence: 5, Ranges: []RangeRecord{{Keys: AllKeys, Owner: Holder{ID: "x", Address: "x:1"}}}}
	boundOf := func(p predecessor, now time.Duration, stops bool) time.Duration {
		lm := NewLeaseManager(opts, 3, record, now, p.until)
		lm.AllowLateOrders(p.arriveUntil)
		if stops {
			is.True(p.stopped(now + 100*time.Millisecond))
			lm.LimitPredecessor(p.until, p.arriveUntil)
		}
		return lm.ranges[0].bound.until()
	}
	longest := NewLeaseManager(opts, 1, nil, 0, 0).maxLease(lease)

	// The predecessor stops while the assigner before it may act, and its report came behind its own orders only.
	earlier := role{VM: "b", Term: 2}
	earlier.setEarlier(now+acts, now+acts+linkWait, now)
	is.Equal(boundOf(newPredecessor(earlier, now+3*time.Second, opts, false, now), now, true), now+acts+linkWait+longest)
	earlier.EarlierArriveForMs = 0 // Of an earlier build.
	is.Equal(boundOf(newPredecessor(earlier, now+3*time.Second, opts, false, now), now, true), now+acts+linkWait+longest)

	// The predecessor gives its role up once the assigner before it no longer acts.
	const given = now + acts + 100*time.Millisecond
	r := role{Term: 2, Settled: true}
	r.setEarlier(now+acts, now+acts+linkWait, given)
	is.Equal(r.EarlierActsForMs, uint64(0))
	p := newPredecessor(r, given, opts, true, given)
	is.Equal(p.until, given)
	is.True(!p.silent)
	is.Equal(boundOf(p, given, false), now+acts+linkWait+longest)
}

// An assigner of an earlier build gives the role up while its last orders are in flight.
func TestOnlyASettledPredecessorHasNoOrdersInFlight(t *testing.T) {
	is := is.New(t)
	const now, orderTimeout = 10 * time.Second, 800 * time.Millisecond
	opts := LeaseOptions{OrderTimeout: orderTimeout}
	is.Equal(newPredecessor(role{Term: 2}, now, opts, false, now).until, now+orderTimeout)
	is.Equal(newPredecessor(role{Term: 2, Settled: true}, now, opts, true, now).until, now)
}

// slowOrders takes a while for each order.
type slowOrders struct{ inFlight, sent atomic.Int64 }

func (o *slowOrders) send() {
	o.sent.Add(1)
	o.inFlight.Add(1)
	time.Sleep(100 * time.Millisecond)
	o.inFlight.Add(-1)
}

func (o *slowOrders) Grant(context.Context, Holder, Grant, time.Duration) error {
	o.send()
	return nil
}

func (o *slowOrders) Release(context.Context, Holder, KeyRange, uint64, time.Duration) (string, error) {
	o.send()
	return "", nil
}

func (o *slowOrders) CloseIdle(string) {}

// resignationStore records how many orders were in flight when the role was given up.
type resignationStore struct {
	store.Store
	orders   *slowOrders
	inFlight chan int64
}

func (s *resignationStore) Put(ctx context.Context, key string, value []byte, v store.Version) (store.Version, error) {
	var r role
	if key == RoleKey && json.Unmarshal(value, &r) == nil && r.VM == "" {
		s.inFlight <- s.orders.inFlight.Load()
	}
	return s.Store.Put(ctx, key, value, v)
}

// The last renewals of an assigner that stops were sent for up to a second after it had given the role up, and a
// successor that took it over counted them too short.
func TestRoleIsGivenUpAfterTheLastOrders(t *testing.T) {
	is := is.New(t)
	orders := &slowOrders{}
	stored := &resignationStore{Store: memstore.New(memstore.Options{}), orders: orders, inFlight: make(chan int64, 1)}
	record := &Record{Term: 1, NextFence: 1, Ranges: []RangeRecord{{Keys: KeyRange{0, LastKey}, Owner: Holder{ID: "t", Address: "a", Born: 1}}}}
	data, err := record.Encode()
	is.NoErr(err)
	_, err = stored.Store.Put(t.Context(), RangePrefix+"s", data, 0)
	is.NoErr(err)
	a := NewAgent(AgentOptions{
		VM: "vm", Address: "127.0.0.1:2", Store: stored, Orders: orders, RoleLease: 900 * time.Millisecond,
		Leases:    LeaseOptions{OrderTimeout: 150 * time.Millisecond},
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: "vm", Role: "test"}),
		Services: func() ([]string, bool) { return []string{"s"}, true }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx) // Returns nil.
	}()
	for end := time.Now().Add(10 * time.Second); orders.sent.Load() < 2; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	a.Resign()
	select {
	case n := <-stored.inFlight:
		is.Equal(n, int64(0))
	case <-time.After(5 * time.Second):
		t.Fatal("the role was not given up")
	}
	cancel()
	<-done
}

// refusingStore refuses to write records of ranges.
type refusingStore struct {
	store.Store
	refused atomic.Int64
}

func (s *refusingStore) Put(ctx context.Context, key string, value []byte, v store.Version) (store.Version, error) {
	if strings.HasPrefix(key, RangePrefix) {
		s.refused.Add(1)
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, v)
}

// The first record of a term was sent again with each tick, 40 times a second, while the store refused it.
func TestRefusedFirstRecordIsRepeatedWithAPause(t *testing.T) {
	is := is.New(t)
	stored := &refusingStore{Store: memstore.New(memstore.Options{})}
	a := NewAgent(AgentOptions{
		VM: "vm", Address: "127.0.0.1:2", Store: stored, Orders: &slowOrders{},
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: "vm", Role: "test"}),
		Services: func() ([]string, bool) { return []string{"s"}, true }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	is.NoErr(a.Run(ctx))
	is.True(stored.refused.Load() >= 2)
	is.True(stored.refused.Load() <= int64(2*time.Second/(planRetryPause/2))+1)
}

// Guards against an assigner that hundreds of VMs keep busy with early reports.
func TestEarlyReportsAreBounded(t *testing.T) {
	is := is.New(t)
	is.True(earlyReportInterval(63) <= 100*time.Millisecond)
	is.True(earlyReportInterval(10) >= 50*time.Millisecond)
	is.True(float64(300)/earlyReportInterval(300).Seconds() < 1000) // Reports a second.
	a := NewAgent(AgentOptions{})
	a.ReportBusyOwner(6)
	is.True(!a.takeReportSoon())
	a.ReportBusyOwner(2)
	a.ReportBusyOwner(2)
	is.True(a.takeReportSoon())
	is.True(!a.takeReportSoon())
}

// countedOrders is an Orders that counts the orders and carries none out.
type countedOrders struct{ sent atomic.Int64 }

func (c *countedOrders) Grant(context.Context, Holder, Grant, time.Duration) error {
	c.sent.Add(1)
	return nil
}

func (c *countedOrders) Release(context.Context, Holder, KeyRange, uint64, time.Duration) (string, error) {
	c.sent.Add(1)
	return "", nil
}

func (c *countedOrders) CloseIdle(string) {}

// A VM that stopped right after its take-over sent grants with tokens that its successor used again.
func TestStoppingAssignerSendsNoOrderWithoutReservedTokens(t *testing.T) {
	is := is.New(t)
	orders := &countedOrders{}
	agent := NewAgent(AgentOptions{VM: "a", Store: memstore.New(memstore.Options{}), Orders: orders})
	record := &Record{Term: 1, NextFence: 100, Ranges: []RangeRecord{{Keys: AllKeys, Owner: Holder{ID: "t", Address: "t:1"}}}}
	for _, written := range []bool{false, true} {
		now := boottime.Now()
		a := newAssigner(t.Context(), agent, 2, now, predecessor{})
		a.services["s"] = &serviceState{name: "s", leases: NewLeaseManager(LeaseOptions{}, 2, record, now, now), saving: !written, written: written}
		a.stepDown(t.Context())
		is.Equal(orders.sent.Load() > 0, written)
	}
}

// A confirmation of the role that came while a step planned ended the bound of a grant as of the begin of the step.
func TestConfirmationDuringAStepCountsFromWhenItIsKnown(t *testing.T) {
	is := is.New(t)
	agent := NewAgent(AgentOptions{VM: "a", Store: memstore.New(memstore.Options{}), Orders: &countedOrders{}})
	began := boottime.Now() - 399*time.Millisecond
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, began, began)
	lm.Propose([]Move{{AllKeys, Holder{ID: "t", Address: "t:1"}}}, began-time.Second)
	lm.FinishProposal(true)
	grant := lm.DueOrders(began - time.Second)
	is.Equal(len(grant), 1)
	lm.HandleResult(Result{Order: grant[0], Err: context.DeadlineExceeded}, began-200*time.Millisecond)
	confirmed := boottime.Now()
	a := newAssigner(t.Context(), agent, 1, confirmed, predecessor{})
	a.services["s"] = &serviceState{name: "s", leases: lm, load: NewLoad(loadTimeConstant), written: true, nextPlan: began + time.Hour}
	a.act(t.Context(), began)
	is.True(lm.ranges[0].bound.ended >= confirmed+lm.maxLease(3*time.Second))
}
