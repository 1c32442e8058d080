// Package balance decides how many requests an entry runs at once on each
// target, which requests wait, and which target runs the next one.
package balance

import (
	"context"
	"sync"
	"time"

	"github.com/basiltally/basiltally/result"
)

// serviceWeight is the weight of a new sample in the mean service time.
const serviceWeight = 0.1

// maxWaitShare is the share of the time until its deadline that a request may wait in
// the queue. If requests could wait until their deadline, the queue would take long to
// drain after an overload, and requests would miss their deadlines until then.
const maxWaitShare = 0.5

// Gate limits the number of requests that run at once on a target and keeps the
// others in a bounded first-in, first-out queue. It refuses a request as soon as it
// expects the request to miss its deadline in the queue.
//
// The limit adapts to the load of other entries on the same target: it falls when
// service times rise well above the shortest ones, which means that requests
// wait at the target, and rises again while they do not.
type Gate struct {
	mu      sync.Mutex
	limit   adaptiveLimit
	running int
	// queue holds the waiting requests, oldest first, at most maxWaiting.
	queue      []*waiter
	maxWaiting int
	// meanServiceTime is the exponentially weighted mean of the service times.
	meanServiceTime time.Duration
}

// waiter is a request in the queue.
type waiter struct {
	deadline time.Time
	// decision receives nil when the request gets a slot, or the refusal. It has a
	// buffer of one, so that sending does not block.
	decision chan error
}

// NewGate returns a Gate that lets up to maxRunning requests run and up to maxWaiting
// wait.
func NewGate(maxRunning, maxWaiting int) *Gate {
	return &Gate{limit: newAdaptiveLimit(maxRunning), maxWaiting: maxWaiting}
}

// SetFixedLimit sets a limit that no longer adapts. Running requests above the limit
// are not interrupted.
func (g *Gate) SetFixedLimit(fixed int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.setFixed(fixed)
	g.grantLocked()
}

// ReduceLimit halves the limit unless it is fixed. Call it when the target has shed a
// request or has not answered in time.
func (g *Gate) ReduceLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.reduce()
}

// Load returns the numbers of running and of waiting requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.queue)
}

// Acquire waits for a slot until the context ends. It returns QueueFull or
// QueueDeadline if the request is refused, or QueueDeadline if the context ends. The
// deadline is that of the request. After a nil error the caller must call Release.
func (g *Gate) Acquire(ctx context.Context, deadline time.Time) error {
	w, err := g.acquireOrEnqueue(deadline)
	if w == nil {
		return err
	}
	select {
	case err := <-w.decision:
		return err
	case <-ctx.Done():
	}
	if g.removeWaiter(w) {
		return result.New(result.QueueDeadline, "%v while the request waited for a slot of the target", context.Cause(ctx))
	}
	// The decision was made before the waiter could be removed.
	return <-w.decision
}

// TryAcquire takes a slot if one is free and no request waits, and reports whether it
// did. After true the caller must call Release.
func (g *Gate) TryAcquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tryAcquireLocked()
}

func (g *Gate) tryAcquireLocked() bool {
	if g.running >= g.limit.value() || len(g.queue) > 0 {
		return false
	}
	g.running++
	return true
}

// acquireOrEnqueue takes a slot and returns nil, or adds a waiter to the queue and
// returns it, or returns the refusal.
func (g *Gate) acquireOrEnqueue(deadline time.Time) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tryAcquireLocked() {
		return nil, nil
	}
	if len(g.queue) >= g.maxWaiting {
		return nil, overloadError(result.QueueFull, g.meanServiceTime)
	}
	if g.missesDeadlineLocked(deadline, len(g.queue)+1) {
		return nil, overloadError(result.QueueDeadline, g.meanServiceTime)
	}
	w := &waiter{deadline: deadline, decision: make(chan error, 1)}
	g.queue = append(g.queue, w)
	return w, nil
}

// missesDeadlineLocked reports whether a request that is queued behind ahead others is
// expected to miss its deadline, or to wait longer than maxWaitShare allows.
func (g *Gate) missesDeadlineLocked(deadline time.Time, ahead int) bool {
	wait := g.meanServiceTime * time.Duration(ahead) / time.Duration(g.limit.value())
	left := time.Until(deadline)
	return wait.Seconds() > maxWaitShare*left.Seconds() || wait+g.meanServiceTime > left
}

// removeWaiter removes the waiter from the queue and reports whether it was queued.
func (g *Gate) removeWaiter(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, q := range g.queue {
		if q == w {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Release releases a slot. A service time above zero is a sample for the mean service
// time and for the limit.
func (g *Gate) Release(service time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.sampleLocked(service)
	g.grantLocked()
}

func (g *Gate) sampleLocked(service time.Duration) {
	if service <= 0 {
		return
	}
	g.limit.addSample(service, g.running+1 >= g.limit.value())
	if g.meanServiceTime == 0 {
		g.meanServiceTime = service
		return
	}
	g.meanServiceTime += time.Duration(serviceWeight * float64(service-g.meanServiceTime))
}

// grantLocked gives free slots to waiters, and refuses waiters that would miss their
// deadline.
func (g *Gate) grantLocked() {
	for g.running < g.limit.value() && len(g.queue) > 0 {
		w := g.queue[0]
		g.queue = g.queue[1:]
		if g.missesDeadlineLocked(w.deadline, 0) {
			w.decision <- overloadError(result.QueueDeadline, g.meanServiceTime)
			continue
		}
		g.running++
		w.decision <- nil
	}
}

// overloadError returns a refusal that advises the caller to retry after a second.
func overloadError(code result.Code, service time.Duration) error {
	e := result.New(code, "the target is busy; its mean service time is %v", service)
	e.RetryAfter = time.Second
	return e
}
