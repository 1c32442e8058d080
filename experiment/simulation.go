package experiment

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/balance"
	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/dispatch"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/pipeline/admit"
	"github.com/basiltally/basiltally/pipeline/identify"
	"github.com/basiltally/basiltally/pipeline/locate"
	"github.com/basiltally/basiltally/pipeline/once"
	"github.com/basiltally/basiltally/pipeline/respond"
	"github.com/basiltally/basiltally/pipeline/retry"
	"github.com/basiltally/basiltally/views"
)

// Names of the pools, and of their classes, in the simulation.
const (
	poolReads = "reads"
	poolOnce  = "once"
	poolBulk  = "bulk"
)

const (
	// farDelay is the one-way network delay between regions.
	farDelay = 12 * time.Millisecond
	// claimTime is the time that it takes to make a claim durable.
	claimTime = 4 * time.Millisecond
	// keyedSlots is the number of hashed slots of the keyed pool.
	keyedSlots = 128
	// unlimited stands for the absence of a limit on slots, queues or dials.
	unlimited = 1 << 20
	// baselineWorkers is the number of requests that a baseline entry serves at once.
	baselineWorkers = 64
)

// Deployment is the size of one installation.
type Deployment struct {
	Name string
	// Entries is the number of entry VMs.
	Entries int
	// Reads, Once and Bulk are the numbers of targets of the three pools.
	Reads, Once, Bulk int
	// Connections is the number of connections that each target accepts.
	Connections int
	// NearDelay is the one-way network delay within a region.
	NearDelay time.Duration
}

// Deployments returns the two existing installations.
func Deployments() []Deployment {
	return []Deployment{
		{"Wales", 12, 16, 12, 12, 110, time.Millisecond},
		{"Slovakia", 12, 20, 13, 12, 65, 1500 * time.Microsecond},
	}
}

// Policy names a way in which the entries dispatch and limit requests.
type Policy string

// Policies.
const (
	// Baseline is round-robin dispatch, one FIFO queue per entry for all
	// classes, and up to three immediate retries of any failure.
	Baseline Policy = "baseline"
	// AdaptiveLimits is the pipeline of basiltally-entry: each entry has a limit per
	// target that adapts to service times.
	AdaptiveLimits Policy = "basiltally"
	// FixedLimits is the same pipeline with limits that do not adapt.
	FixedLimits Policy = "fixed limits"
	// NoLimits is the same pipeline without a limit per entry and target.
	NoLimits Policy = "direct"
	// Permits divides each target's slots among the entries by their demand, four
	// times per second.
	Permits Policy = "permits"
	// HomeVM sends all requests for a target through one entry in the target's region,
	// which limits them.
	HomeVM Policy = "home VM"
)

// simulation is a deployment with its entries and simulated targets.
type simulation struct {
	deployment Deployment
	service    time.Duration
	targets    map[string]*simulatedTarget
	pools      map[string][]*simulatedTarget
	views      *views.Holder
	entries    []*entry
	homeGates  map[ownership.TargetID]*balance.Gate
}

type entry struct {
	region     string
	handler    pipeline.Handler
	dispatcher *dispatch.Dispatcher
}

func newSimulation(d Deployment, p Policy, service time.Duration) *simulation {
	sim := &simulation{
		deployment: d,
		service:    service,
		targets:    map[string]*simulatedTarget{},
		pools:      map[string][]*simulatedTarget{},
		views:      views.NewHolder(),
		homeGates:  map[ownership.TargetID]*balance.Gate{},
	}
	sim.addPool(poolReads, d.Reads)
	sim.addPool(poolOnce, d.Once)
	sim.addPool(poolBulk, d.Bulk)
	for i := range d.Entries {
		sim.entries = append(sim.entries, sim.newEntry(regionOf(i), p))
	}
	return sim
}

func regionOf(i int) string { return fmt.Sprintf("region%d", i%3) }

func (sim *simulation) addPool(pool string, count int) {
	for i := range count {
		id := fmt.Sprintf("%s-%d", pool, i)
		t := newSimulatedTarget(ownership.Target{
			ID: ownership.TargetID(id), Address: id, Region: regionOf(i),
			RequestSlots: 6, Connections: sim.deployment.Connections,
		}, sim.service)
		sim.targets[id] = t
		sim.pools[pool] = append(sim.pools[pool], t)
		sim.homeGates[t.ID] = balance.NewGate(t.RequestSlots, unlimited)
		sim.homeGates[t.ID].SetFixedLimit(t.RequestSlots)
	}
	sim.views.Apply(sim.view(pool, 1))
}

// view returns a view of the pool's targets. For the keyed pool it assigns the slots
// to the targets that are up.
func (sim *simulation) view(pool string, seq uint64) *ownership.View {
	v := &ownership.View{Group: ownership.GroupID(pool), Term: 1, Seq: seq}
	for _, t := range sim.pools[pool] {
		v.Targets = append(v.Targets, t.Target)
		v.States = append(v.States, ownership.TargetReady)
	}
	if pool != poolReads {
		return v
	}
	v.SlotCount = keyedSlots
	for s := range ownership.Slot(keyedSlots) {
		v.Slots = append(v.Slots, ownership.SlotState{Owner: sim.firstUpTarget(v, s), Seq: seq})
	}
	return v
}

func (sim *simulation) firstUpTarget(v *ownership.View, s ownership.Slot) uint32 {
	for _, i := range ownership.Rank(v.Group, s, v.Targets) {
		t := sim.targets[v.Targets[i].Address]
		t.mu.Lock()
		down := t.down
		t.mu.Unlock()
		if !down {
			return uint32(i)
		}
	}
	return ownership.NoOwner
}

func bundle() *config.Bundle {
	class := func(name string, kind config.Kind, deadline time.Duration) config.Class {
		return config.Class{
			Name: name, Kind: kind, PathPrefix: "/" + name + "/", Pool: name,
			Deadline: deadline, MaxBody: 1 << 10, QueueLength: 512,
		}
	}
	group := func(name string) config.Pool {
		return config.Pool{Name: name, Keyed: name == poolReads, Groups: []ownership.GroupID{ownership.GroupID(name)}}
	}
	return &config.Bundle{
		Version: 1,
		Tenants: []config.Tenant{{Name: "tenant", Classes: []config.Class{
			class(poolReads, config.KeyedRead, 250*time.Millisecond),
			class(poolOnce, config.AtMostOnce, time.Second),
			class(poolBulk, config.Bulk, time.Minute),
		}}},
		Pools: []config.Pool{group(poolReads), group(poolOnce), group(poolBulk)},
	}
}

// newEntry builds the filters as basiltally-entry does, as modified by the policy.
func (sim *simulation) newEntry(region string, p Policy) *entry {
	selector := balance.NewSelector(balance.SelectorOptions{Region: region})
	opts := dispatch.Options{Dial: sim.dialer(region, p), Region: region, Observer: selector}
	if p == Baseline || p == NoLimits || p == HomeVM {
		opts.ShortSlots, opts.BulkSlots, opts.MaxWaiting = unlimited, unlimited, unlimited
		opts.FixedSlots = true
	}
	if p == FixedLimits {
		opts.FixedSlots = true
	}
	if p == Baseline {
		opts.DialRate, opts.DialBurst, opts.DialBackoff = unlimited, unlimited, 1
		opts.SilenceTimeout, opts.ProgressTimeout = time.Minute, time.Minute
	}
	e := &entry{region: region, dispatcher: dispatch.New(opts)}
	b := bundle()
	front := []pipeline.Filter{respond.New(), identify.New(identify.Options{Bundle: func() *config.Bundle { return b }})}
	if p == Baseline {
		e.handler = pipeline.Chain(e.dispatcher, append(front, workerQueue(baselineWorkers), retryAll(3),
			locate.New(locate.Options{Views: sim.views, Picker: &balance.RoundRobin{}}))...)
		return e
	}
	front = append(front,
		admit.NewAdmission().Filter(),
		once.New(once.Options{Claimer: delayedClaimer{}}),
		retry.New(retry.Options{Views: sim.views}),
		locate.New(locate.Options{Views: sim.views, Picker: selector}))
	if p == HomeVM {
		front = append(front, sim.throughHomeVM(region))
	}
	e.handler = pipeline.Chain(e.dispatcher, front...)
	return e
}

func (sim *simulation) dialer(region string, p Policy) dispatch.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		t, ok := sim.targets[address]
		if !ok {
			return nil, errors.Errorf("no target at address %s", address)
		}
		delay := sim.networkDelay(region, t.Region)
		if p == HomeVM {
			// The home VM is in the target's region; throughHomeVM adds the delay to it.
			delay = sim.deployment.NearDelay
		}
		return t.dial(ctx, delay)
	}
}

func (sim *simulation) networkDelay(a, b string) time.Duration {
	if a == b {
		return sim.deployment.NearDelay
	}
	return farDelay
}

// delayedClaimer grants every claim after claimTime.
type delayedClaimer struct{}

func (delayedClaimer) Claim(context.Context, claim.Request) (claim.Decision, error) {
	time.Sleep(claimTime)
	return claim.Decision{Kind: claim.Run, Ref: claim.Ref{DispatchBy: time.Now().Add(time.Hour)}}, nil
}

func (delayedClaimer) Finish(context.Context, claim.Ref, claim.Outcome) error { return nil }

func (delayedClaimer) Release(context.Context, claim.Ref) error { return nil }

// throughHomeVM limits all requests for a target at one entry in its region, and
// adds the network delay to that entry and back.
func (sim *simulation) throughHomeVM(region string) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(req *pipeline.Request) error {
			g := sim.homeGates[req.Owner.Target.ID]
			hop := sim.networkDelay(region, req.Owner.Target.Region)
			time.Sleep(hop)
			if err := g.Acquire(req.Context, req.Deadline); err != nil {
				return err
			}
			started := time.Now()
			err := next.Serve(req)
			g.Release(time.Since(started))
			time.Sleep(hop)
			return err
		})
	}
}

// dividePermits sets each entry's share of every target's slots according to its demand.
func (sim *simulation) dividePermits() {
	for _, t := range sim.targets {
		bulk := t.ID[:4] == poolBulk
		demand := make([]int, len(sim.entries))
		for i, e := range sim.entries {
			running, waiting := e.dispatcher.Load(&t.Target, bulk)
			demand[i] = running + waiting
		}
		for i, share := range balance.Shares(t.RequestSlots, 1, demand) {
			sim.entries[i].dispatcher.SetFixedSlots(&t.Target, bulk, share)
		}
	}
}

// workerQueue serves n requests at once. All other requests wait in one FIFO queue,
// regardless of their class.
func workerQueue(n int) pipeline.Filter {
	places := make(chan struct{}, n)
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(req *pipeline.Request) error {
			places <- struct{}{}
			req.OnEnd(func(error) { <-places })
			return next.Serve(req)
		})
	}
}

// retryAll retries each failed request immediately, up to the given number of times.
func retryAll(times int) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(req *pipeline.Request) error {
			err := next.Serve(req)
			for i := 0; i < times && err != nil; i++ {
				err = next.Serve(req)
			}
			return err
		})
	}
}
