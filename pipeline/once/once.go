// Package once provides the filter that claims the idempotency key of an
// at-most-once request before it is dispatched, and records its outcome afterwards.
package once

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
)

// Options are the options of the filter.
type Options struct {
	// Claimer makes the claims; if it is nil, at-most-once requests are refused.
	Claimer claim.Claimer
	// FinishTimeout bounds the time to record an outcome. The answer is delayed until
	// then, so that a caller that resends the request gets the outcome. Default 250 ms.
	FinishTimeout time.Duration
}

type filter struct {
	opts Options
	next pipeline.Handler
}

// New returns the filter.
func New(opts Options) pipeline.Filter {
	if opts.FinishTimeout == 0 {
		opts.FinishTimeout = 250 * time.Millisecond
	}
	return func(next pipeline.Handler) pipeline.Handler {
		return &filter{opts: opts, next: next}
	}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(req *pipeline.Request) error {
	if !req.AtMostOnce() {
		return f.next.Serve(req)
	}
	if f.opts.Claimer == nil {
		return result.New(result.ClaimStoreDown, "this entry has no claim service")
	}
	if err := req.ReadBody(req.Class.MaxBody); err != nil {
		return err
	}
	d, err := f.claim(req)
	if err != nil {
		return err
	}
	switch d.Kind {
	case claim.Run:
		return f.run(req, d.Ref)
	case claim.Replay:
		return replay(req, &d.Answer)
	default:
		return result.New(d.Code(), "idempotency key %q", req.IdempotencyKey)
	}
}

func (f *filter) claim(req *pipeline.Request) (claim.Decision, error) {
	d, err := f.opts.Claimer.Claim(req.Context, claim.Request{
		Tenant:      req.Tenant.Name,
		Class:       req.Class.Name,
		Key:         req.IdempotencyKey,
		Fingerprint: fingerprint(req.HTTP),
		MaxRunTime:  time.Until(req.Deadline),
	})
	if err == nil {
		return d, nil
	}
	if refusal, ok := err.(*result.Error); ok {
		return d, refusal
	}
	return d, result.Wrap(result.ClaimStoreDown, err, "storing the claim of the idempotency key failed")
}

func (f *filter) run(req *pipeline.Request, ref claim.Ref) error {
	req.BeforeSend = func() error {
		if ref.MayDispatch(time.Now()) {
			return nil
		}
		return result.New(result.QueueDeadline, "the claim of the idempotency key is too old to send the request")
	}
	err := f.next.Serve(req)
	f.finish(req, ref, err)
	return err
}

// finish records the outcome, also after the caller has disconnected. If that fails,
// the claim stays in doubt, which is safe, so errors are ignored.
func (f *filter) finish(req *pipeline.Request, ref claim.Ref, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(req.Context), f.opts.FinishTimeout)
	defer cancel()
	if err != nil && pipeline.AsError(req, err).Outcome() == result.NotRun {
		_ = f.opts.Claimer.Release(ctx, ref)
		return
	}
	_ = f.opts.Claimer.Finish(ctx, ref, outcomeToRecord(req, err))
}

// outcomeToRecord returns the outcome to record. A streamed answer is too long to be
// recorded and not known to be complete yet, so its outcome is recorded as unknown:
// a resend is answered with in-doubt.
func outcomeToRecord(req *pipeline.Request, err error) claim.Outcome {
	if err != nil || req.Streaming() {
		return claim.Outcome{Unknown: true}
	}
	return claim.Outcome{
		Status:      req.Answer.StatusCode(),
		ContentType: string(req.Answer.Header.ContentType()),
		Body:        append([]byte(nil), req.Answer.Body()...),
	}
}

func replay(req *pipeline.Request, a *claim.Answer) error {
	if !a.BodyRecorded() {
		return result.New(result.ClaimInDoubt,
			"the request was executed, but its answer of %d bytes was not recorded", a.Length)
	}
	req.Replayed = true
	req.Answer.SetStatusCode(a.Status)
	req.Answer.Header.SetContentType(a.ContentType)
	req.Answer.SetBody(a.Body)
	return nil
}

func fingerprint(h *fasthttp.Request) claim.Fingerprint {
	return claim.FingerprintOf(h.Header.Method(), h.Header.RequestURI(), h.Body())
}
