package capacity

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/target"
)

const (
	// groupCandidates is the number of candidates of the measured groups.
	groupCandidates = 3
	// roundTrip is the time after which a message of the core is answered.
	roundTrip = 2 * time.Millisecond
	// tickPause separates ticks of a core that wants to be woken at once.
	tickPause = time.Millisecond
	// settleTime is given to a group to take over and to grant all slots.
	settleTime = 10 * time.Second
	// steadyTime is the part of a trace that is measured.
	steadyTime = 20 * time.Second
)

// step is one input of a core.
type step struct {
	now   time.Duration
	event assign.Event
}

// trace is the input of an assigner's core over a time in which nothing fails.
type trace struct {
	opts  assign.Options
	steps []step
	// steady is the index of the first step after the group has settled.
	steady int
	// renewals holds the requests and replies of the last heartbeat.
	renewals []renewal
	// sent counts renewals, asked support requests, published views, in the steady part.
	sent, asked, published int
}

type renewal struct {
	request target.RenewRequest
	reply   target.RenewReply
}

// delivery is an event that is due.
type delivery struct {
	step
	order int
}

// deliveries is a heap ordered by time.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].now != d[j].now {
		return d[i].now < d[j].now
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// virtualGroup runs one core in virtual time against healthy targets, peers and store.
type virtualGroup struct {
	core       *assign.Core
	now        time.Duration
	queue      deliveries
	order      int
	supporters map[ownership.VMID]*lease.Supporter
	trace      trace
	version    store.Version
}

// recordTrace runs a group until it has settled, and for a steady time after.
func recordTrace(targets int, slots uint32) (*trace, error) {
	g := newVirtualGroup(targets, slots)
	g.run(settleTime)
	if !g.core.Assigning(g.now) {
		return nil, errors.Errorf("group with %d targets did not settle", targets)
	}
	g.trace.steady = len(g.trace.steps)
	g.trace.sent, g.trace.asked, g.trace.published = 0, 0, 0
	g.run(settleTime + steadyTime)
	view := g.core.View()
	for slot, state := range view.Slots {
		if state.Owner == ownership.NoOwner {
			return nil, errors.Errorf("slot %d of a settled group has no owner", slot)
		}
	}
	return &g.trace, nil
}

func newVirtualGroup(targets int, slots uint32) *virtualGroup {
	record := &ownership.Record{
		Group: "group-0001", SlotCount: slots, CandidatesVersion: 1,
		Targets: makeTargets(targets), Owners: make([]uint32, slots),
	}
	g := &virtualGroup{supporters: make(map[ownership.VMID]*lease.Supporter)}
	for i := range groupCandidates {
		id := ownership.VMID(fmt.Sprintf("vm-%05d", i))
		record.Candidates = append(record.Candidates, id)
		g.supporters[id] = lease.NewSupporter(0, assign.DefaultSupport)
	}
	for i := range record.Owners {
		record.Owners[i] = uint32(i % targets)
	}
	g.trace.opts = assign.Options{Group: record.Group, Self: record.Candidates[0], Incarnation: 1, Initial: record}
	g.core = assign.New(g.trace.opts)
	infos := make([]assign.TargetInfo, targets)
	for i, t := range record.Targets {
		infos[i] = assign.TargetInfo{Target: t}
	}
	g.schedule(0, assign.TargetsChanged{Targets: infos})
	return g
}

// makeTargets returns targets with names and addresses of usual length.
func makeTargets(n int) []ownership.Target {
	targets := make([]ownership.Target, n)
	for i := range targets {
		targets[i] = ownership.Target{
			ID:      ownership.TargetID(fmt.Sprintf("sheets-%05d", i)),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Region:  fmt.Sprintf("region-%d", i%5), DataCentre: fmt.Sprintf("dc-%02d", i%15),
			ChecksTokens: true, RequestSlots: 6, Connections: 110,
		}
	}
	return targets
}

func (g *virtualGroup) schedule(delay time.Duration, event assign.Event) {
	g.order++
	heap.Push(&g.queue, delivery{step{g.now + delay, event}, g.order})
}

// run steps the core until the given time.
func (g *virtualGroup) run(until time.Duration) {
	for {
		next := step{max(g.core.NextWake(), g.now+tickPause), assign.Tick{}}
		if len(g.queue) > 0 && g.queue[0].now <= next.now {
			next = heap.Pop(&g.queue).(delivery).step
		}
		if next.now > until {
			g.now = until
			if _, tick := next.event.(assign.Tick); !tick {
				g.schedule(next.now-until, next.event)
			}
			return
		}
		g.now = max(g.now, next.now)
		g.trace.steps = append(g.trace.steps, step{g.now, next.event})
		for _, action := range g.core.Step(g.now, next.event) {
			g.perform(action)
		}
	}
}

func (g *virtualGroup) perform(action assign.Action) {
	switch act := action.(type) {
	case assign.ReadRecord:
		g.schedule(roundTrip, assign.RecordRead{Err: store.ErrNotFound})
	case assign.WriteRecord:
		g.version++
		g.schedule(roundTrip, assign.WriteDone{Nonce: act.Nonce, Version: g.version})
	case assign.SendSupportRequest:
		g.trace.asked++
		g.askSupport(act)
	case assign.SendRenew:
		g.trace.sent++
		g.renew(act)
	case assign.Publish:
		g.trace.published++
	}
}

func (g *virtualGroup) askSupport(act assign.SendSupportRequest) {
	delay := roundTrip
	if act.To == g.trace.opts.Self {
		delay = 0
	}
	g.schedule(delay, assign.SupportAnswered{
		From: act.To, FromIncarnation: 1, SentAt: act.SentAt, Request: act.Request,
		Reply: g.supporters[act.To].Answer(g.now, act.Request),
	})
}

// renew answers as a healthy target whose clock is the group's.
func (g *virtualGroup) renew(act assign.SendRenew) {
	req := act.Request
	reply := target.RenewReply{
		Clock:        target.ClockReading{Incarnation: 1, Nanos: int64(g.now) + 1},
		HighestToken: req.AssignerToken,
		HeldVersion:  req.Version,
	}
	if req.Echo.Nanos > 0 {
		reply.LeaseNanos = req.Echo.Nanos + int64(req.Lease) - reply.Clock.Nanos
	}
	g.remember(renewal{req, reply})
	g.schedule(roundTrip, assign.TargetAnswered{Target: act.Target.ID, SentAt: act.SentAt, Via: act.Via, Reply: reply})
}

// remember keeps the last renewals, one for each target.
func (g *virtualGroup) remember(r renewal) {
	limit := len(g.trace.opts.Initial.Targets)
	g.trace.renewals = append(g.trace.renewals, r)
	if excess := len(g.trace.renewals) - limit; excess > 0 {
		g.trace.renewals = g.trace.renewals[excess:]
	}
}

// settled returns a core that has taken in the trace up to its steady part.
func (t *trace) settled() *assign.Core {
	core := assign.New(t.opts)
	for _, s := range t.steps[:t.steady] {
		core.Step(s.now, s.event)
	}
	return core
}

// replaySteady feeds the steady part to the core.
func (t *trace) replaySteady(core *assign.Core) {
	for _, s := range t.steps[t.steady:] {
		core.Step(s.now, s.event)
	}
}
