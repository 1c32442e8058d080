// Package balance decides how many requests an entry runs at once on each
// target, which of them wait, and which target takes the next one.
package balance

import (
	"context"
	"sync"
	"time"

	"github.com/basiltally/basiltally/result"
)

// serviceWeight is the weight of a new sample in the mean service time.
const serviceWeight = 0.1

// maxWaitShare is the share of the time left that a request may spend waiting. A
// queue in which requests wait up to their deadline would take long to drain
// after an overload, and would miss deadlines until then.
const maxWaitShare = 0.5

// Gate limits the requests that run at once and keeps the others in a bounded
// queue, first in, first out. It refuses a request that would miss its deadline
// in the queue as soon as that can be foreseen.
//
// The limit adapts to what other entries do at the same target: it falls when
// service times rise well above the shortest ones, which means that requests
// wait at the target, and rises again while they do not.
type Gate struct {
	mu      sync.Mutex
	limit   limit
	running int
	queue   []*waiter
	maxWait int
	// service is the exponentially weighted mean of the service time.
	service time.Duration
}

type waiter struct {
	deadline time.Time
	// grant receives nil or the refusal; it has room for one.
	grant chan error
}

// NewGate returns a Gate that runs up to most requests and lets maxWaiting wait.
func NewGate(most, maxWaiting int) *Gate {
	return &Gate{limit: newLimit(most), maxWait: maxWaiting}
}

// SetLimit sets a limit that no longer adapts. Requests above it finish undisturbed.
func (g *Gate) SetFixedLimit(fixed int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.fix(fixed)
	g.admitLocked()
}

// Overloaded tells that the target shed a request or did not answer in time.
func (g *Gate) Overloaded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.fall()
}

// Load returns the number of requests that run and that wait.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.queue)
}

// Acquire waits for a place until the context ends. The deadline is the one of
// the request. After a nil error the caller must call Release.
func (g *Gate) Acquire(ctx context.Context, deadline time.Time) error {
	w, err := g.enter(deadline)
	if w == nil {
		return err
	}
	select {
	case err := <-w.grant:
		return err
	case <-ctx.Done():
	}
	if g.leave(w) {
		return result.New(result.QueueDeadline, "%v while waiting for a slot", context.Cause(ctx))
	}
	// The grant was decided meanwhile.
	return <-w.grant
}

// TryAcquire takes a place if one is free. After true the caller must call Release.
func (g *Gate) TryAcquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.takeLocked()
}

func (g *Gate) takeLocked() bool {
	if g.running >= g.limit.value() || len(g.queue) > 0 {
		return false
	}
	g.running++
	return true
}

// enter takes a place or queues a waiter.
func (g *Gate) enter(deadline time.Time) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.takeLocked() {
		return nil, nil
	}
	if len(g.queue) >= g.maxWait {
		return nil, overload(result.QueueFull, g.service)
	}
	if g.hopelessLocked(deadline, len(g.queue)+1) {
		return nil, overload(result.QueueDeadline, g.service)
	}
	w := &waiter{deadline: deadline, grant: make(chan error, 1)}
	g.queue = append(g.queue, w)
	return w, nil
}

// hopelessLocked reports whether a request behind ahead others would miss its
// deadline, or spend too much of it waiting.
func (g *Gate) hopelessLocked(deadline time.Time, ahead int) bool {
	wait := g.service * time.Duration(ahead) / time.Duration(g.limit.value())
	left := time.Until(deadline)
	return wait.Seconds() > maxWaitShare*left.Seconds() || wait+g.service > left
}

func (g *Gate) leave(w *waiter) bool {
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

// Release gives a place back. A service time above zero is a sample for the
// estimate of waiting times and for the limit.
func (g *Gate) Release(service time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.sampleLocked(service)
	g.admitLocked()
}

func (g *Gate) sampleLocked(service time.Duration) {
	if service <= 0 {
		return
	}
	g.limit.sample(service, g.running+1 >= g.limit.value())
	if g.service == 0 {
		g.service = service
		return
	}
	g.service += time.Duration(serviceWeight * float64(service-g.service))
}

// admitLocked hands free places to waiters and refuses those that would miss their deadline.
func (g *Gate) admitLocked() {
	for g.running < g.limit.value() && len(g.queue) > 0 {
		w := g.queue[0]
		g.queue = g.queue[1:]
		if g.hopelessLocked(w.deadline, 0) {
			w.grant <- overload(result.QueueDeadline, g.service)
			continue
		}
		g.running++
		w.grant <- nil
	}
}

func overload(code result.Code, service time.Duration) error {
	e := result.New(code, "mean service time %v", service)
	e.RetryAfter = time.Second
	return e
}
