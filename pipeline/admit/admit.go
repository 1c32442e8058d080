// Package admit is the filter that refuses requests early: while the entry is
// stopping, above the rate of a class, or when too many requests of the class wait.
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

// retryAfterOverload is the advice given with refusals for overload.
const retryAfterOverload = time.Second

// Admission holds the limits of the classes. The zero value is not usable; see NewAdmission.
type Admission struct {
	stopping atomic.Bool
	mu       sync.Mutex
	classes  sync.Map // of *config.Class to *classState
}

type classState struct {
	limiter *rate.Limiter
	waiting atomic.Int64
}

// NewAdmission returns an Admission that admits requests.
func NewAdmission() *Admission { return &Admission{} }

// Stop refuses all further requests.
func (a *Admission) Stop() { a.stopping.Store(true) }

// Filter returns the filter.
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
		return refuse(result.EntryDraining, "this entry is stopping")
	}
	c := a.class(req.Class)
	if c.waiting.Load() >= int64(req.Class.QueueLength) {
		return refuse(result.QueueFull, "class %s", req.Class.Name)
	}
	if c.limiter != nil && !c.limiter.Allow() {
		return refuse(result.RateLimited, "class %s", req.Class.Name)
	}
	c.waiting.Add(1)
	req.OnStart(func() { c.waiting.Add(-1) })
	return nil
}

func (a *Admission) class(c *config.Class) *classState {
	if s, ok := a.classes.Load(c); ok {
		return s.(*classState)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.classes.Load(c); ok {
		return s.(*classState)
	}
	s := &classState{}
	if c.Rate > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(c.Rate), max(c.Burst, 1))
	}
	a.classes.Store(c, s)
	return s
}

func refuse(code result.Code, format string, args ...any) error {
	e := result.New(code, format, args...)
	e.RetryAfter = retryAfterOverload
	return e
}
