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

// eventBuffer is the number of events of a group that wait for its core.
const eventBuffer = 1024

// group runs one core: events in, actions out, one step at a time.
type group struct {
	id           ownership.GroupID
	a            *Assigner
	core         *assign.Core
	events       chan assign.Event
	stopped      chan struct{}
	stopReported bool
	// assigning tells whether the core is the group's assigner.
	assigning atomic.Bool
	// waiting holds the answers to commands; only the run loop uses it.
	commandWaiters map[string]chan<- assign.CommandDone
	// handovers holds the senders that wait for an AnswerHandover; only the run loop uses it.
	handoverWaiters map[ownership.VMID]chan<- struct{}
	loadMu          sync.Mutex
	load            loadAggregate
	ctx             context.Context
}

type commandEvent struct {
	assign.CommandReceived
	answer chan<- assign.CommandDone
}

type handoverEvent struct {
	assign.HandoverReceived
	answer chan<- struct{}
}

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

// deliver queues an event; it gives up when the process stops.
func (g *group) deliver(e assign.Event) {
	select {
	case g.events <- e:
	case <-g.ctx.Done():
	}
}

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

// step feeds one event and those that its actions cause at once.
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

// unwrap notes who waits for the answer to an event.
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

func (g *group) finishHandover(from ownership.VMID) {
	if answer, ok := g.handoverWaiters[from]; ok {
		delete(g.handoverWaiters, from)
		answer <- struct{}{}
	}
}

func (g *group) finishCommand(d assign.CommandDone) {
	if answer, ok := g.commandWaiters[d.ID]; ok {
		delete(g.commandWaiters, d.ID)
		answer <- d
	}
}

// Command gives an operator's command to the core of a group on this VM.
func (a *Assigner) ExecuteLocal(ctx context.Context, id ownership.GroupID, c assign.CommandReceived) assign.CommandDone {
	a.mu.Lock()
	g := a.groups[id]
	a.mu.Unlock()
	if g == nil {
		return assign.CommandDone{ID: c.ID, Code: result.UnknownObject, Detail: "this VM is no candidate of group " + string(id)}
	}
	answer := make(chan assign.CommandDone, 1)
	g.deliver(commandEvent{c, answer})
	select {
	case d := <-answer:
		return d
	case <-ctx.Done():
		return assign.CommandDone{ID: c.ID, Code: result.OperationUnknown, Detail: "no answer before the deadline"}
	}
}
