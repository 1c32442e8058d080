// Package hedge provides the filter that sends an idempotent read a second time, on
// a new connection, when the first attempt takes unusually long. The first answer
// is used and the other attempt is cancelled.
package hedge

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/basiltally/basiltally/balance"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/pipeline"
)

// Options are the options of the filter.
type Options struct {
	// Ratio bounds the number of second attempts per request, averaged over a class.
	// Default 0.02. Reserve is the number of second attempts allowed in a burst above
	// that. Default 5.
	Ratio, Reserve float64
	// MinDelay is the shortest delay before a second attempt. Default 10 ms.
	MinDelay time.Duration
}

type filter struct {
	opts    Options
	classes sync.Map // of classKey to *classState
	next    pipeline.Handler
}

type classKey struct{ tenant, class string }

// classState is the hedging budget and the delay estimate of one class.
type classState struct {
	budget        *balance.Budget
	delayEstimate delayEstimator
}

// New returns the filter. It belongs right before the dispatcher; only the guard filter may stand
// between them.
func New(opts Options) pipeline.Filter {
	opts.Ratio = cmp.Or(opts.Ratio, 0.02)
	opts.Reserve = cmp.Or(opts.Reserve, 5)
	opts.MinDelay = cmp.Or(opts.MinDelay, 10*time.Millisecond)
	return func(next pipeline.Handler) pipeline.Handler {
		return &filter{opts: opts, next: next}
	}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(req *pipeline.Request) error {
	if !isHedgeable(req) {
		return f.next.Serve(req)
	}
	c := f.classState(req.Tenant, req.Class)
	c.budget.Earn()
	req.OnDequeue(sync.OnceFunc(req.DequeueFunc()))
	r := &hedgedRequest{
		filter:  f,
		req:     req,
		class:   c,
		base:    req.Fork(req.Context),
		results: make(chan attempt, 2),
		cancels: map[*pipeline.Request]context.CancelFunc{},
	}
	defer r.close()
	return r.run()
}

func isHedgeable(req *pipeline.Request) bool {
	return req.Class.Hedge && req.Class.Kind == config.KeyedRead && req.HTTP.BodyStream() == nil
}

func (f *filter) classState(t *config.Tenant, c *config.Class) *classState {
	key := classKey{t.Name, c.Name}
	if state, ok := f.classes.Load(key); ok {
		return state.(*classState)
	}
	state, _ := f.classes.LoadOrStore(key, &classState{budget: balance.NewBudget(f.opts.Ratio, f.opts.Reserve)})
	return state.(*classState)
}

// hedgedRequest is a request with up to two attempts.
type hedgedRequest struct {
	filter *filter
	req    *pipeline.Request
	class  *classState
	// base is a copy of the request made before the attempts, which may change it.
	base    *pipeline.Request
	results chan attempt
	// cancels holds the functions that cancel the running attempts.
	cancels map[*pipeline.Request]context.CancelFunc
}

type attempt struct {
	req     *pipeline.Request
	err     error
	latency time.Duration
}

func (r *hedgedRequest) run() error {
	r.startAttempt(r.req.NewConnection)
	timer := time.NewTimer(max(r.class.delayEstimate.value(), r.filter.opts.MinDelay))
	defer timer.Stop()
	for {
		select {
		case a := <-r.results:
			if r.handleResult(a) {
				return a.err
			}
		case <-timer.C:
			if r.class.budget.Spend() {
				r.startAttempt(true)
			}
		}
	}
}

// startAttempt starts an attempt with its own context.
func (r *hedgedRequest) startAttempt(newConnection bool) {
	ctx, cancel := context.WithCancel(r.req.Context)
	fork := r.base.Fork(ctx)
	r.cancels[fork] = cancel
	fork.NewConnection = newConnection
	fork.Attempts = 0
	begin := time.Now()
	go func() {
		err := r.filter.next.Serve(fork)
		r.results <- attempt{fork, err, time.Since(begin)}
	}()
}

// handleResult processes the result of one attempt and reports whether it is the
// result of the request: a success, or a failure while no other attempt is running.
func (r *hedgedRequest) handleResult(a attempt) bool {
	cancel := r.cancels[a.req]
	delete(r.cancels, a.req)
	r.mergeCounts(a)
	if a.err != nil {
		cancel()
		return len(r.cancels) == 0
	}
	r.class.delayEstimate.addSample(a.latency)
	// Reading a streamed answer needs the attempt's context until the request ends.
	r.req.OnEnd(func(error) { cancel() })
	r.req.Adopt(a.req)
	return true
}

// mergeCounts adds what an attempt has sent to the state of the request.
func (r *hedgedRequest) mergeCounts(a attempt) {
	r.req.Attempts += a.req.Attempts
	r.req.MayHaveSent = r.req.MayHaveSent || a.req.MayHaveSent
}

// close cancels the attempt that is still running and waits for it, because it uses
// the caller's request.
func (r *hedgedRequest) close() {
	for _, cancel := range r.cancels {
		cancel()
	}
	for range r.cancels {
		a := <-r.results
		r.mergeCounts(a)
		_ = a.req.Answer.CloseBodyStream()
	}
}

// delayEstimator estimates the latency above which a request is unusually slow: the
// mean plus four times the mean deviation, both exponentially weighted.
type delayEstimator struct {
	mu              sync.Mutex
	mean, deviation time.Duration
}

const (
	// A new sample has the weight 1/meanDivisor in the mean and 1/deviationDivisor in
	// the deviation.
	meanDivisor, deviationDivisor = 16, 8
	// deviationFactor is the number of deviations above the mean.
	deviationFactor = 4
	// initialDelay is the estimate until there is a sample.
	initialDelay = 100 * time.Millisecond
)

func (d *delayEstimator) addSample(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mean == 0 {
		d.mean, d.deviation = latency, latency/2
		return
	}
	difference := latency - d.mean
	d.mean += difference / meanDivisor
	d.deviation += (difference.Abs() - d.deviation) / deviationDivisor
}

func (d *delayEstimator) value() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mean == 0 {
		return initialDelay
	}
	return d.mean + deviationFactor*d.deviation
}
