package assigner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
)

// eventBuffer is the number of events of a group that can be queued for its
// core before deliver blocks.
const eventBuffer = 1024

// group runs the core of one group: its run loop takes events from the queue,
// feeds them to the core one at a time and performs the resulting actions.
type group struct {
	id     ownership.GroupID
	a      *Assigner
	core   *assign.Core
	events chan assign.Event
	// stopped is closed when the core has completed a planned stop.
	stopped chan struct{}
	// stopReported is set once stopped is closed; only the run loop uses it.
	stopReported bool
	// assigning is true while this VM is the group's assigner.
	assigning atomic.Bool
	// commandWaiters holds, by command ID, the channels for the results of
	// commands; only the run loop uses it.
	commandWaiters map[string]chan<- assign.CommandDone
	// handoverWaiters holds, by sender, the channels on which acceptance of a
	// handover is reported; only the run loop uses it.
	handoverWaiters map[ownership.VMID]chan<- struct{}
	// loadMu guards load.
	loadMu sync.Mutex
	load   loadAggregate
	ctx    context.Context
}

// commandEvent is a command with the channel for its result.
type commandEvent struct {
	assign.CommandReceived
	answer chan<- assign.CommandDone
}

// handoverEvent is a handover with the channel on which acceptance is reported.
type handoverEvent struct {
	assign.HandoverReceived
	answer chan<- struct{}
}

// newGroup returns a group whose core creates the record initial if the store
// holds none. The caller starts its run loop.
func (a *Assigner) newGroup(id ownership.GroupID, initial *ownership.Record) *group {
	o := a.opts.Core
	o.Group, o.Self, o.Incarnation, o.Initial = id, a.opts.Self, a.opts.Incarnation, initial
	return &group{
		id: id, a: a, core: assign.New(o), ctx: a.ctx,
		events: make(chan assign.Event, eventBuffer), stopped: make(chan struct{}),
		commandWaiters:  make(map[string]chan<- assign.CommandDone),
		handoverWaiters: make(map[ownership.VMID]chan<- struct{}),
		load:            loadAggregate{reports: make(map[string]loadReport)},
	}
}

// deliver queues an event for the core. It blocks while the queue is full, and
// drops the event if the process stops meanwhile.
func (g *group) deliver(e assign.Event) {
	select {
	case g.events <- e:
	case <-g.ctx.Done():
	}
}

// run feeds events and timer ticks to the core until the context ends.
func (g *group) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.events:
			g.step(ctx, e)
		case <-timer.C:
			g.step(ctx, assign.Tick{})
		}
		g.assigning.Store(g.core.Assigning(g.a.now()))
		timer.Reset(max(0, g.core.NextWake()-g.a.now()))
	}
}

// step feeds one event to the core, and then the events that result immediately
// from performing its actions.
func (g *group) step(ctx context.Context, e assign.Event) {
	queue := []assign.Event{e}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		next = g.unwrap(next)
		for _, action := range g.core.Step(g.a.now(), next) {
			queue = append(queue, g.perform(ctx, action)...)
		}
	}
}

// unwrap registers the channel on which a command or handover is to be
// answered, and returns the event for the core.
func (g *group) unwrap(e assign.Event) assign.Event {
	switch ev := e.(type) {
	case commandEvent:
		g.commandWaiters[ev.ID] = ev.answer
		return ev.CommandReceived
	case handoverEvent:
		g.handoverWaiters[ev.From] = ev.answer
		return ev.HandoverReceived
	default:
		return e
	}
}

// finishHandover reports the acceptance of a handover to the goroutine that
// waits for it.
func (g *group) finishHandover(from ownership.VMID) {
	if answer, ok := g.handoverWaiters[from]; ok {
		delete(g.handoverWaiters, from)
		answer <- struct{}{}
	}
}

// finishCommand sends the result of a command to the goroutine that waits for it.
func (g *group) finishCommand(d assign.CommandDone) {
	if answer, ok := g.commandWaiters[d.ID]; ok {
		delete(g.commandWaiters, d.ID)
		answer <- d
	}
}

// ExecuteLocal passes an operator's command to the core of a group on this VM
// and waits for the result. The code is UnknownObject if this VM runs no core
// for the group, and OperationUnknown if the context ends first.
func (a *Assigner) ExecuteLocal(ctx context.Context, id ownership.GroupID, c assign.CommandReceived) assign.CommandDone {
	a.mu.Lock()
	g := a.groups[id]
	a.mu.Unlock()
	if g == nil {
		return assign.CommandDone{ID: c.ID, Code: result.UnknownObject, Detail: "this VM is not a candidate of group " + string(id)}
	}
	answer := make(chan assign.CommandDone, 1)
	g.deliver(commandEvent{c, answer})
	select {
	case d := <-answer:
		return d
	case <-ctx.Done():
		return assign.CommandDone{ID: c.ID, Code: result.OperationUnknown, Detail: "the result of the command was not known before the deadline"}
	}
}
