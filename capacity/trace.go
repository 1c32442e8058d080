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
	// replyDelay is the time after which a message of the core is answered.
	replyDelay = 2 * time.Millisecond
	// minTickInterval separates the ticks of a core whose next wake-up is due at once.
	minTickInterval = time.Millisecond
	// settleTime is the time that a group has to take over and to grant all slots.
	settleTime = 10 * time.Second
	// steadyTime is the length of the part of a trace that is measured.
	steadyTime = 20 * time.Second
)

// step is one input of a core: an event and its time.
type step struct {
	now   time.Duration
	event assign.Event
}

// trace records the inputs of an assigner's core during a run without failures.
type trace struct {
	opts  assign.Options
	steps []step
	// steady is the index of the first step after the group has settled.
	steady int
	// renewals holds the requests and replies of the last heartbeat.
	renewals []renewal
	// Numbers of messages sent and of views published in the steady part.
	renewalsSent, supportRequestsSent, viewsPublished int
}

type renewal struct {
	request target.RenewRequest
	reply   target.RenewReply
}

// scheduledEvent is an event that is due at a time. The sequence number orders
// events that are due at the same time.
type scheduledEvent struct {
	step
	seq int
}

// eventQueue is a heap of events ordered by time.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].now != q[j].now {
		return q[i].now < q[j].now
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// simulatedGroup runs one core in virtual time against healthy targets, peers and
// a healthy store.
type simulatedGroup struct {
	core       *assign.Core
	now        time.Duration
	queue      eventQueue
	lastSeq    int
	supporters map[ownership.VMID]*lease.Supporter
	trace      trace
	version    store.Version
}

// recordTrace runs a group for settleTime and then for steadyTime. It fails if the
// group has no assigner after the first, or a slot has no owner after the second.
func recordTrace(targets int, slots uint32) (*trace, error) {
	g := newSimulatedGroup(targets, slots)
	g.run(settleTime)
	if !g.core.Assigning(g.now) {
		return nil, errors.Errorf("group with %d targets has no assigner after the settle time", targets)
	}
	g.trace.steady = len(g.trace.steps)
	g.trace.renewalsSent, g.trace.supportRequestsSent, g.trace.viewsPublished = 0, 0, 0
	g.run(settleTime + steadyTime)
	view := g.core.View()
	for slot, state := range view.Slots {
		if state.Owner == ownership.NoOwner {
			return nil, errors.Errorf("slot %d has no owner after the steady time", slot)
		}
	}
	return &g.trace, nil
}

func newSimulatedGroup(targets int, slots uint32) *simulatedGroup {
	record := &ownership.Record{
		Group: "group-0001", SlotCount: slots, CandidatesVersion: 1,
		Targets: makeTargets(targets), Owners: make([]uint32, slots),
	}
	g := &simulatedGroup{supporters: make(map[ownership.VMID]*lease.Supporter)}
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

// makeTargets returns n targets with names and addresses of typical length.
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

func (g *simulatedGroup) schedule(delay time.Duration, event assign.Event) {
	g.lastSeq++
	heap.Push(&g.queue, scheduledEvent{step{g.now + delay, event}, g.lastSeq})
}

// run feeds ticks and due events to the core until the given time.
func (g *simulatedGroup) run(until time.Duration) {
	for {
		next := step{max(g.core.NextWake(), g.now+minTickInterval), assign.Tick{}}
		if len(g.queue) > 0 && g.queue[0].now <= next.now {
			next = heap.Pop(&g.queue).(scheduledEvent).step
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

func (g *simulatedGroup) perform(action assign.Action) {
	switch act := action.(type) {
	case assign.ReadRecord:
		g.schedule(replyDelay, assign.RecordRead{Err: store.ErrNotFound})
	case assign.WriteRecord:
		g.version++
		g.schedule(replyDelay, assign.WriteDone{Nonce: act.Nonce, Version: g.version})
	case assign.SendSupportRequest:
		g.trace.supportRequestsSent++
		g.answerSupportRequest(act)
	case assign.SendRenew:
		g.trace.renewalsSent++
		g.answerRenew(act)
	case assign.Publish:
		g.trace.viewsPublished++
	}
}

// answerSupportRequest answers as a reachable candidate.
func (g *simulatedGroup) answerSupportRequest(act assign.SendSupportRequest) {
	delay := replyDelay
	if act.To == g.trace.opts.Self {
		delay = 0
	}
	g.schedule(delay, assign.SupportAnswered{
		From: act.To, FromIncarnation: 1, SentAt: act.SentAt, Request: act.Request,
		Reply: g.supporters[act.To].Answer(g.now, act.Request),
	})
}

// answerRenew answers as a healthy target whose clock agrees with the group's.
func (g *simulatedGroup) answerRenew(act assign.SendRenew) {
	req := act.Request
	reply := target.RenewReply{
		Clock:        target.ClockReading{Incarnation: 1, Nanos: int64(g.now) + 1},
		HighestToken: req.AssignerToken,
		HeldVersion:  req.Version,
	}
	if req.Echo.Nanos > 0 {
		reply.LeaseNanos = req.Echo.Nanos + int64(req.Lease) - reply.Clock.Nanos
	}
	g.keepRenewal(renewal{req, reply})
	g.schedule(replyDelay, assign.TargetAnswered{Target: act.Target.ID, SentAt: act.SentAt, Via: act.Via, Reply: reply})
}

// keepRenewal keeps the most recent renewals, as many as there are targets.
func (g *simulatedGroup) keepRenewal(r renewal) {
	limit := len(g.trace.opts.Initial.Targets)
	g.trace.renewals = append(g.trace.renewals, r)
	if excess := len(g.trace.renewals) - limit; excess > 0 {
		g.trace.renewals = g.trace.renewals[excess:]
	}
}

// settledCore returns a new core that has replayed the trace up to its steady part.
func (t *trace) settledCore() *assign.Core {
	core := assign.New(t.opts)
	for _, s := range t.steps[:t.steady] {
		core.Step(s.now, s.event)
	}
	return core
}

// replaySteady feeds the trace's steady part to the core.
func (t *trace) replaySteady(core *assign.Core) {
	for _, s := range t.steps[t.steady:] {
		core.Step(s.now, s.event)
	}
}
