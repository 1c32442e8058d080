// Package retry provides the filter that sends a request again where that is safe:
// if the request was not run, or after a failed exchange of an idempotent request.
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

// Options are the options of the filter.
type Options struct {
	Views *views.Holder
	// Ratio bounds the number of retries per request, averaged over a class. Default
	// 0.1. Reserve is the number of retries allowed in a burst above that. Default 20.
	Ratio, Reserve float64
	// MaxAttempts bounds the number of exchanges of one request. Default 4.
	MaxAttempts int
	// InitialBackoff is the mean delay before the first retry on the same target. The
	// delay doubles with each retry up to MaxBackoff. A new view ends it early.
	// Defaults: InitialBackoff 20 ms, MaxBackoff 300 ms.
	InitialBackoff, MaxBackoff time.Duration
	// MaxStaleOwnerTime bounds the time for which a request is retried when targets
	// refuse it because they do not own its key. Default 3 s.
	MaxStaleOwnerTime time.Duration
	// MaxWaiting bounds the number of requests that wait for a retry. Default 1024.
	MaxWaiting int
	// MaxBufferedBody is the length in bytes of the longest request body that is kept
	// in memory for a retry. Default 64 KiB.
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

// retryState is the state of one request between its attempts.
type retryState struct {
	budget  *balance.Budget
	backoff *backoff.ExponentialBackOff
	// staleOwnerUntil is the end of the retries after refusals of targets that do not
	// own the key, e.g. because their lease has expired. The first such refusal sets it.
	staleOwnerUntil time.Time
	// unknownOutcome is the last error after which the request may have run.
	unknownOutcome *result.Error
}

func (state *retryState) recordError(e *result.Error) {
	if e.Outcome() == result.Unknown {
		state.unknownOutcome = e
	}
}

// finalError returns the error to report. If an earlier attempt may have run, and the
// last one was certainly not run, it returns the earlier attempt's error, because the
// request as a whole must not be reported as not run.
func (state *retryState) finalError(last *result.Error) error {
	if state.unknownOutcome != nil && last.Outcome() == result.NotRun {
		return state.unknownOutcome
	}
	return last
}

// prepareRetry decides whether to send the request again, and waits for the backoff.
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
		// Another target of the pool may run the request, so no backoff is needed.
		return true
	}
	return f.awaitView(req, f.nextBackoff(state))
}

// mayRetryStaleOwner reports whether the request may be retried after a refusal for
// lack of ownership. Such a refusal takes no slot of the target, so these retries are
// bounded by time and by the backoff, not by the budget: all keys of a group are
// refused at once while its assigner is being replaced.
func (state *retryState) mayRetryStaleOwner(limit time.Duration) bool {
	now := time.Now()
	if state.staleOwnerUntil.IsZero() {
		state.staleOwnerUntil = now.Add(limit)
	}
	return now.Before(state.staleOwnerUntil)
}

// mayRetry reports whether another attempt after the error is safe and may succeed.
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

// budgetedCodes are the failures that caused work on a target. Retries after them
// are charged to the budget.
var budgetedCodes = map[result.Code]bool{
	result.TargetShed:      true,
	result.TargetLeaving:   true,
	result.TargetTimeout:   true,
	result.TargetLost:      true,
	result.ShortBody:       true,
	result.AnswerMismatch:  true,
	result.AnswerDiscarded: true,
}

// awaitView waits up to d for a newer view of the group. It reports false if the
// request must not be retried: too many requests wait, or its context has ended.
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

// nextBackoff returns the delay before the next retry.
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
