// Package retry is the filter that sends a request again where that is safe:
// after an outcome of not run, or after any failure of an idempotent request.
package retry

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/basiltally/basiltally/balance"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/views"
)

// Options of the filter.
type Options struct {
	Views *views.Holder
	// Ratio is the number of retries per request, averaged over a class, with a
	// Reserve of retries for bursts. Default 0.1 and 20.
	Ratio, Reserve float64
	// MaxAttempts bounds the exchanges of one request. Default 4.
	MaxAttempts int
	// FirstWait is the mean wait before the first retry on the same target,
	// doubled up to MaxWait. A new view ends the wait. Default 20 ms and 300 ms.
	InitialBackoff, MaxBackoff time.Duration
	// MaxStale bounds the time for which a request is sent again to targets that
	// refuse it because they do not own its key. Default 3 s.
	MaxStaleOwnerTime time.Duration
	// MaxWaiting bounds the requests that wait for a retry. Default 1024.
	MaxWaiting int
	// BodyBytes is the longest request body that is kept for a retry. Default 64 KiB.
	MaxBufferedBody int
}

func (o Options) withDefaults() Options {
	o.Ratio = cmp.Or(o.Ratio, 0.1)
	o.Reserve = cmp.Or(o.Reserve, 20)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, 4)
	o.InitialBackoff = cmp.Or(o.InitialBackoff, 20*time.Millisecond)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, 300*time.Millisecond)
	o.MaxStaleOwnerTime = cmp.Or(o.MaxStaleOwnerTime, 3*time.Second)
	o.MaxWaiting = cmp.Or(o.MaxWaiting, 1024)
	o.MaxBufferedBody = cmp.Or(o.MaxBufferedBody, 64<<10)
	return o
}

type filter struct {
	opts    Options
	waiting chan struct{}
	budgets sync.Map // of budgetKey to *balance.Budget
	next    pipeline.Handler
}

type budgetKey struct{ tenant, class string }

// New returns the filter.
func New(opts Options) pipeline.Filter {
	opts = opts.withDefaults()
	return func(next pipeline.Handler) pipeline.Handler {
		return &filter{opts: opts, waiting: make(chan struct{}, opts.MaxWaiting), next: next}
	}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(req *pipeline.Request) error {
	if n := req.HTTP.Header.ContentLength(); n >= 0 && n <= f.opts.MaxBufferedBody {
		if err := req.ReadBody(f.opts.MaxBufferedBody); err != nil {
			return err
		}
	}
	state := retryState{budget: f.budget(req.Tenant, req.Class)}
	state.budget.Earn()
	for {
		err := f.next.Serve(req)
		if err == nil {
			return nil
		}
		e := pipeline.AsError(req, err)
		state.recordError(e)
		if !f.prepareRetry(req, e, &state) {
			return state.finalError(e)
		}
	}
}

// attempts is the state of one request between its attempts.
type retryState struct {
	budget  *balance.Budget
	backoff *backoff.ExponentialBackOff
	// staleUntil bounds the wait for an owner whose lease has lapsed; set by the
	// first refusal of a target that does not own the key.
	staleOwnerUntil time.Time
	// unknown is the last error after which the request may have run.
	unknownOutcome *result.Error
}

func (a *retryState) recordError(e *result.Error) {
	if e.Outcome() == result.Unknown {
		a.unknownOutcome = e
	}
}

// final returns the error to report: once an attempt may have run, a later
// attempt that was certainly not run does not make the request not run.
func (a *retryState) finalError(last *result.Error) error {
	if a.unknownOutcome != nil && last.Outcome() == result.NotRun {
		return a.unknownOutcome
	}
	return last
}

// again decides whether to send the request once more, and waits as long as is due.
func (f *filter) prepareRetry(req *pipeline.Request, e *result.Error, state *retryState) bool {
	if !f.mayRetry(req, e) || req.Context.Err() != nil {
		return false
	}
	if e.Code == result.StaleOwner && !state.mayRetryStaleOwner(f.opts.MaxStaleOwnerTime) {
		return false
	}
	if budgetedCodes[e.Code] && (req.Attempts >= f.opts.MaxAttempts || !state.budget.Spend()) {
		return false
	}
	req.NewConnection = e.Outcome() == result.Unknown
	if req.Owner.Target != nil {
		req.FailedTargets = append(req.FailedTargets, req.Owner.Target.ID)
	}
	if !req.Keyed() && len(req.FailedTargets) <= 1 {
		// Another target may take the request at once.
		return true
	}
	return f.awaitView(req, f.nextBackoff(state))
}

// mayAwaitOwner reports whether the request may go on waiting for an owner. A
// refusal for want of a lease costs the target no slot, so it is bounded by
// time and by the waits between attempts, not by the budget: all keys of a group
// are refused at once while its assigner is being replaced.
func (a *retryState) mayRetryStaleOwner(limit time.Duration) bool {
	now := time.Now()
	if a.staleOwnerUntil.IsZero() {
		a.staleOwnerUntil = now.Add(limit)
	}
	return now.Before(a.staleOwnerUntil)
}

// safe reports whether another attempt can do no harm and may help.
func (f *filter) mayRetry(req *pipeline.Request, e *result.Error) bool {
	if req.BodyConsumed {
		return false
	}
	switch e.Code {
	case result.StaleOwner, result.TargetLeaving, result.ConnectFailed:
		return true
	case result.TargetShed, result.QueueFull:
		return !req.Keyed()
	case result.TargetTimeout, result.TargetLost, result.ShortBody, result.AnswerMismatch, result.AnswerDiscarded:
		return req.Idempotent()
	default:
		return false
	}
}

// costly failures have put work on a target, so that retries of them count
// against the budget.
var budgetedCodes = map[result.Code]bool{
	result.TargetShed:      true,
	result.TargetLeaving:   true,
	result.TargetTimeout:   true,
	result.TargetLost:      true,
	result.ShortBody:       true,
	result.AnswerMismatch:  true,
	result.AnswerDiscarded: true,
}

// wait waits for a newer view of the group, at most for the duration.
func (f *filter) awaitView(req *pipeline.Request, d time.Duration) bool {
	select {
	case f.waiting <- struct{}{}:
		defer func() { <-f.waiting }()
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(req.Context, d)
	defer cancel()
	f.opts.Views.Await(ctx, req.Group, req.ViewVersion)
	return req.Context.Err() == nil
}

func (f *filter) nextBackoff(state *retryState) time.Duration {
	if state.backoff == nil {
		state.backoff = backoff.NewExponentialBackOff()
		state.backoff.InitialInterval = f.opts.InitialBackoff
		state.backoff.MaxInterval = f.opts.MaxBackoff
		state.backoff.Multiplier = 2
	}
	return state.backoff.NextBackOff()
}

func (f *filter) budget(t *config.Tenant, c *config.Class) *balance.Budget {
	key := budgetKey{t.Name, c.Name}
	if b, ok := f.budgets.Load(key); ok {
		return b.(*balance.Budget)
	}
	b, _ := f.budgets.LoadOrStore(key, balance.NewBudget(f.opts.Ratio, f.opts.Reserve))
	return b.(*balance.Budget)
}
