// Package locate provides the filter that finds the target that may run a request.
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
	// Pick returns a target of the view, or nil if no target may run the request.
	Pick(req *pipeline.Request, v *ownership.View) *ownership.Target
}

// Options are the options of the filter.
type Options struct {
	Views  *views.Holder
	Picker Picker
	// OnKey, if set, is called for each keyed request. It must not block.
	OnKey func(ownership.GroupID, ownership.KeyHash)
	// MaxWait bounds the time that a request waits, within its deadline, while its
	// key has no owner or its pool no target to pick. Default 3 s.
	MaxWait time.Duration
	// MaxWaiting bounds the number of requests that wait in this way; further
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

// Serve implements pipeline.Handler. If another target became the owner while the
// answer was received, it discards the answer, because the old owner's state may be
// out of date, and returns AnswerDiscarded.
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
	return result.New(result.AnswerDiscarded, "target %s lost ownership of the key while it answered", req.Owner.Target.ID)
}

// ownerSuperseded reports whether the newest view gives the key to another target
// with a higher token.
func (f *filter) ownerSuperseded(req *pipeline.Request) bool {
	v := f.opts.Views.Get(req.Group)
	o, ok := v.Lookup(req.KeyHash)
	return ok && req.Owner.Token.Less(o.Token) && o.Target.ID != req.Owner.Target.ID
}

// watchOwner implements pipeline.Request.WatchOwner: the context that it returns ends
// when the request's owner no longer owns the key.
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

// discardAnswer resets the answer. Closing the stream of an answer that was not read
// to its end also closes the connection to the target.
func discardAnswer(req *pipeline.Request) {
	req.AbandonStream()
	_ = req.Answer.CloseBodyStream()
	req.Answer.Reset()
}

// locate sets the request's owner. While there is none, it waits for a newer view.
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

// setOwner sets the request's owner according to the view and reports whether there is one.
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
	e := result.New(code, "no target of group %s may run the request", req.Group)
	e.RetryAfter = time.Second
	return e
}

func version(v *ownership.View) ownership.Token {
	if v == nil {
		return ownership.Token{}
	}
	return v.Version()
}
