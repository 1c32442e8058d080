// Package locate is the filter that finds the target entitled to run a request.
package locate

import (
	"context"
	"time"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/views"
)

// Picker chooses a target for a request of a pool without keys.
type Picker interface {
	// Pick returns a target of the view, or nil if none may take the request.
	Pick(req *pipeline.Request, v *ownership.View) *ownership.Target
}

// Options of the filter.
type Options struct {
	Views  *views.Holder
	Picker Picker
	// OnKey, if set, is told of each request for a key. It must not block.
	OnKey func(ownership.GroupID, ownership.KeyHash)
	// MaxWait bounds the wait for an owner when a key has none, within the
	// request's deadline. Default 3 s.
	MaxWait time.Duration
	// MaxWaiting bounds the number of requests that wait for an owner; further
	// ones are refused at once. Default 1024.
	MaxWaiting int
}

type filter struct {
	opts    Options
	waiting chan struct{}
	next    pipeline.Handler
}

// New returns the filter.
func New(opts Options) pipeline.Filter {
	if opts.MaxWait == 0 {
		opts.MaxWait = 3 * time.Second
	}
	if opts.MaxWaiting == 0 {
		opts.MaxWaiting = 1024
	}
	return func(next pipeline.Handler) pipeline.Handler {
		return &filter{
			opts:    opts,
			waiting: make(chan struct{}, opts.MaxWaiting),
			next:    next,
		}
	}
}

// Serve implements pipeline.Handler. It drops the answer of an owner that was
// superseded meanwhile: its state may be older than the new owner's.
func (f *filter) Serve(req *pipeline.Request) error {
	if f.opts.OnKey != nil && req.Keyed() {
		f.opts.OnKey(req.Group, req.KeyHash)
	}
	if err := f.locate(req); err != nil {
		return err
	}
	if req.Keyed() {
		req.WatchOwner = func(ctx context.Context) (context.Context, func()) { return f.watchOwner(ctx, req) }
	}
	if err := f.next.Serve(req); err != nil {
		return err
	}
	if !req.Keyed() || !f.ownerSuperseded(req) {
		return nil
	}
	discardAnswer(req)
	return result.New(result.AnswerDiscarded, "target %s lost the key while it answered", req.Owner.Target.ID)
}

func (f *filter) ownerSuperseded(req *pipeline.Request) bool {
	v := f.opts.Views.Get(req.Group)
	o, ok := v.Lookup(req.KeyHash)
	return ok && req.Owner.Token.Less(o.Token) && o.Target.ID != req.Owner.Target.ID
}

// watchOwner returns a context that ends when the request's owner has lost the key.
func (f *filter) watchOwner(ctx context.Context, req *pipeline.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		lastVersion := req.ViewVersion
		for ctx.Err() == nil {
			v := f.opts.Views.Await(ctx, req.Group, lastVersion)
			if v == nil || !lastVersion.Less(v.Version()) {
				continue
			}
			lastVersion = v.Version()
			if o, ok := v.Lookup(req.KeyHash); !ok || o.Target.ID != req.Owner.Target.ID {
				cancel(pipeline.ErrOwnerChanged)
			}
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// discard drops the answer; closing its stream makes the connection unusable.
func discardAnswer(req *pipeline.Request) {
	req.AbandonStream()
	_ = req.Answer.CloseBodyStream()
	req.Answer.Reset()
}

// locate sets the request's owner, waiting for one if the key has none.
func (f *filter) locate(req *pipeline.Request) error {
	v := f.opts.Views.Get(req.Group)
	if v != nil && f.setOwner(req, v) {
		return nil
	}
	select {
	case f.waiting <- struct{}{}:
		defer func() { <-f.waiting }()
	default:
		return noOwnerError(req)
	}
	ctx, cancel := context.WithTimeout(req.Context, f.opts.MaxWait)
	defer cancel()
	for ctx.Err() == nil {
		v = f.opts.Views.Await(ctx, req.Group, version(v))
		if v != nil && f.setOwner(req, v) {
			return nil
		}
	}
	return noOwnerError(req)
}

func (f *filter) setOwner(req *pipeline.Request, v *ownership.View) bool {
	req.ViewVersion = v.Version()
	if req.Keyed() {
		o, ok := v.Lookup(req.KeyHash)
		req.Owner = o
		return ok
	}
	t := f.opts.Picker.Pick(req, v)
	req.Owner = ownership.Owner{Target: t, Token: v.Version()}
	return t != nil
}

func noOwnerError(req *pipeline.Request) error {
	code := result.NoTarget
	if req.Keyed() {
		code = result.NoOwner
	}
	e := result.New(code, "group %s", req.Group)
	e.RetryAfter = time.Second
	return e
}

func version(v *ownership.View) ownership.Token {
	if v == nil {
		return ownership.Token{}
	}
	return v.Version()
}
