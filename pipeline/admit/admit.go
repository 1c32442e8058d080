// Package admit provides the filter that refuses requests early: while the entry is
// stopping, above the rate limit of a class, or when its queue is full.
package admit

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
)

// retryAfterOverload is the retry delay that refusals advise callers to wait.
const retryAfterOverload = time.Second

// Admission holds the limits of the classes. Create it with NewAdmission.
type Admission struct {
	stopping atomic.Bool
	mu       sync.Mutex
	classes  sync.Map // of classKey to *classState
}

// classKey identifies a class by names, which stay valid when a new bundle replaces
// the one that defines the class.
type classKey struct{ tenant, class string }

type classState struct {
	// config is the definition that was last applied to the limiter.
	config  atomic.Pointer[config.Class]
	limiter *rate.Limiter
	// waiting counts the admitted requests that have not left the queue.
	waiting atomic.Int64
}

// NewAdmission returns an Admission that admits requests.
func NewAdmission() *Admission { return &Admission{} }

// Stop makes the filter refuse all further requests.
func (a *Admission) Stop() { a.stopping.Store(true) }

// Filter returns the filter that applies the limits of a.
func (a *Admission) Filter() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(req *pipeline.Request) error {
			if err := a.admit(req); err != nil {
				return err
			}
			return next.Serve(req)
		})
	}
}

func (a *Admission) admit(req *pipeline.Request) error {
	if a.stopping.Load() {
		return overloadError(result.EntryDraining, "this entry is stopping")
	}
	c := a.configuredState(req.Tenant, req.Class)
	if c.waiting.Load() >= int64(req.Class.QueueLength) {
		return overloadError(result.QueueFull, "class %s", req.Class.Name)
	}
	if !c.limiter.Allow() {
		return overloadError(result.RateLimited, "class %s", req.Class.Name)
	}
	c.waiting.Add(1)
	req.OnDequeue(func() { c.waiting.Add(-1) })
	return nil
}

// configuredState returns the state of the class, with the limits of its present
// definition.
func (a *Admission) configuredState(t *config.Tenant, c *config.Class) *classState {
	s := a.state(classKey{t.Name, c.Name})
	if s.config.Load() != c {
		a.configure(s, c)
	}
	return s
}

func (a *Admission) state(key classKey) *classState {
	if s, ok := a.classes.Load(key); ok {
		return s.(*classState)
	}
	s, _ := a.classes.LoadOrStore(key, &classState{limiter: rate.NewLimiter(rate.Inf, 0)})
	return s.(*classState)
}

// configure sets the limiter to the definition c of a new bundle.
func (a *Admission) configure(s *classState, c *config.Class) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.config.Swap(c) == c {
		return
	}
	limit := rate.Inf
	if c.Rate > 0 {
		limit = rate.Limit(c.Rate)
	}
	s.limiter.SetBurst(max(c.Burst, 1))
	s.limiter.SetLimit(limit)
}

func overloadError(code result.Code, format string, args ...any) error {
	e := result.New(code, format, args...)
	e.RetryAfter = retryAfterOverload
	return e
}
