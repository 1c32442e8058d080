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

// Serve implements pipeline.Handler. A target that refuses a request because it
// does not own the key has not run it, so the request is sent once more after
// the view was refreshed.
func (f *filter) Serve(req *pipeline.Request) error {
	v, err := f.locate(req)
	if err != nil {
		return err
	}
	err = f.serve(req)
	if !isCode(err, result.StaleOwner) {
		return err
	}
	if v = f.await(req, v.Version()); v == nil {
		return err
	}
	if _, err := f.locate(req); err != nil {
		return err
	}
	return f.serve(req)
}

// serve calls the next filter and drops the answer of an owner that was
// superseded meanwhile: its state may be older than the new owner's.
func (f *filter) serve(req *pipeline.Request) error {
	if err := f.next.Serve(req); err != nil {
		return err
	}
	if !req.Keyed() || !f.superseded(req) {
		return nil
	}
	discard(req)
	return result.New(result.AnswerDiscarded, "target %s lost the key while it answered", req.Owner.Target.ID)
}

func (f *filter) superseded(req *pipeline.Request) bool {
	v := f.opts.Views.Get(req.Group)
	o, ok := v.Lookup(req.KeyHash)
	return ok && req.Owner.Token.Less(o.Token) && o.Target.ID != req.Owner.Target.ID
}

// discard drops the answer; closing its stream makes the connection unusable.
func discard(req *pipeline.Request) {
	req.AbandonStream()
	_ = req.Answer.CloseBodyStream()
	req.Answer.Reset()
}

// locate sets the request's owner, waiting for one if the key has none.
func (f *filter) locate(req *pipeline.Request) (*ownership.View, error) {
	v := f.opts.Views.Get(req.Group)
	if v != nil && f.choose(req, v) {
		return v, nil
	}
	ctx, cancel := context.WithTimeout(req.Context, f.opts.MaxWait)
	defer cancel()
	select {
	case f.waiting <- struct{}{}:
		defer func() { <-f.waiting }()
	default:
		return nil, noOwner(req)
	}
	for ctx.Err() == nil {
		v = f.opts.Views.Await(ctx, req.Group, version(v))
		if v != nil && f.choose(req, v) {
			return v, nil
		}
	}
	return nil, noOwner(req)
}

// await waits for a view above the version, bounded like a wait for an owner.
func (f *filter) await(req *pipeline.Request, above ownership.Token) *ownership.View {
	ctx, cancel := context.WithTimeout(req.Context, f.opts.MaxWait)
	defer cancel()
	v := f.opts.Views.Await(ctx, req.Group, above)
	if v == nil || !above.Less(v.Version()) {
		return nil
	}
	return v
}

func (f *filter) choose(req *pipeline.Request, v *ownership.View) bool {
	if req.Keyed() {
		o, ok := v.Lookup(req.KeyHash)
		req.Owner = o
		return ok
	}
	t := f.opts.Picker.Pick(req, v)
	req.Owner = ownership.Owner{Target: t, Token: v.Version()}
	return t != nil
}

func noOwner(req *pipeline.Request) error {
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

func isCode(err error, code result.Code) bool {
	e, ok := err.(*result.Error)
	return ok && e.Code == code
}
