// Package pipeline defines the request that passes through an entry's filters
// and the interface of a filter.
//
// A filter does its part and calls the next one, in the manner of HTTP
// middleware. An answer's body may be streamed after the last filter returned,
// so what a filter acquires it gives back in a function passed to
// Request.OnEnd, not in a deferred call.
package pipeline

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
)

// Headers between callers and entries.
const (
	HeaderTenant      = "Basiltally-Tenant"
	HeaderCode        = "Basiltally-Code"
	HeaderOutcome     = "Basiltally-Outcome"
	HeaderRequestID   = "Basiltally-Request-Id"
	HeaderDeadline    = "Basiltally-Deadline-Ms"
	HeaderIdempotency = "Idempotency-Key"
)

// Request is one caller's request on its way through the filters.
type Request struct {
	// ID is unique among the requests of all entries; targets echo it.
	ID string
	// Start is the instant at which the request's header was complete.
	Start time.Time
	// HTTP is the caller's request; filters must not change it.
	HTTP *fasthttp.Request
	// Answer is filled by the dispatch filter, or with a refusal by the relay filter.
	Answer *fasthttp.Response
	// Context ends when the caller is gone or the deadline has passed.
	Context context.Context

	// Tenant, Class and Pool are set by the identify filter.
	Tenant *config.Tenant
	Class  *config.Class
	Pool   *config.Pool
	// Key is the key of a keyed class and KeyHash its hash.
	Key     string
	KeyHash ownership.KeyHash
	// Group is the group that holds the key or serves the pool.
	Group ownership.GroupID
	// Deadline is the instant by which the caller wants the whole answer.
	Deadline time.Time
	// IdempotencyKey is set for at-most-once classes.
	IdempotencyKey string

	// Owner is the target that the locate filter chose, with its fencing token.
	Owner ownership.Owner
	// View is the version of the view in which the owner was found.
	ViewVersion ownership.Token
	// WatchOwner, if set, returns a context that ends with ErrOwnerChanged as its
	// cause once Owner owns the key no longer. The function must be called.
	WatchOwner func(context.Context) (context.Context, func())
	// Failed lists the targets on which an attempt failed.
	FailedTargets []ownership.TargetID
	// Attempts counts exchanges with targets that may have carried a byte.
	Attempts int
	// MaySent is set once a byte of the request may have reached a target that
	// has not asserted that it did not run the request.
	MayHaveSent bool
	// BeforeSend, if set, is called right before the first byte is sent to a
	// target; an error keeps the request from being sent.
	BeforeSend func() error
	// Fresh asks for a new connection to the target, because one went silent.
	NewConnection bool
	// BodyTaken is set once a streamed request body was read, which cannot be repeated.
	BodyConsumed bool
	// Replayed is set if the answer is a recorded one.
	Replayed bool

	streaming bool
	ended     bool
	err       error
	onEnd     []func(error)
	onDequeue func()
}

// ErrCallerGone is the cause with which Request.Context ends when the caller's
// connection closes.
var ErrCallerGone = errors.New("the caller closed its connection")

// ErrOwnerChanged is the cause with which a wait for a target ends when the key
// has another owner, or none, in a newer view.
var ErrOwnerChanged = errors.New("the key's owner changed")

// Handler serves a request: it fills the answer and returns nil, or returns an
// error, most often a *result.Error.
type Handler interface {
	Serve(*Request) error
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(*Request) error

// Serve calls f.
func (f HandlerFunc) Serve(req *Request) error { return f(req) }

// Filter returns a Handler that does its part and calls next.
type Filter func(next Handler) Handler

// Chain returns the filters, first to last, in front of the last handler.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// Run serves the request and ends it, unless the answer's body is a stream,
// which ends it when it is closed.
func Run(h Handler, req *Request) {
	err := h.Serve(req)
	if req.streaming {
		return
	}
	req.End(err)
}

// OnEnd registers a function to run when the request has ended, last
// registered first. Its argument is nil if the answer was relayed whole.
func (r *Request) OnEnd(f func(error)) { r.onEnd = append(r.onEnd, f) }

// OnStart registers the function to run when the request leaves its queue, or
// has ended without leaving it. There is one such function.
func (r *Request) OnDequeue(f func()) { r.onDequeue = f }

// StartFunc returns the function registered with OnStart, or one that does nothing.
func (r *Request) DequeueFunc() func() {
	if r.onDequeue == nil {
		return func() {}
	}
	return r.onDequeue
}

// Started tells that the request has left its queue. Further calls do nothing.
func (r *Request) MarkDequeued() {
	if r.onDequeue != nil {
		r.onDequeue()
		r.onDequeue = nil
	}
}

// BeginStream marks the answer as a stream whose Close calls End.
func (r *Request) BeginStream() { r.streaming = true }

// Streaming reports whether the answer's body is a stream.
func (r *Request) Streaming() bool { return r.streaming }

// AbandonStream takes back BeginStream after the stream was dropped unread.
func (r *Request) AbandonStream() { r.streaming = false }

// SetError records the error with which the request ended when a filter
// turned it into an answer.
func (r *Request) SetError(err error) { r.err = err }

// End runs the functions registered with OnEnd, once.
func (r *Request) End(err error) {
	if r.ended {
		return
	}
	r.ended = true
	r.MarkDequeued()
	if err == nil {
		err = r.err
	}
	for i := len(r.onEnd) - 1; i >= 0; i-- {
		r.onEnd[i](err)
	}
}

// Keyed reports whether the request goes to the owner of its key.
func (r *Request) Keyed() bool { return r.Pool != nil && r.Pool.Keyed }

// AtMostOnce reports whether the request must not run twice.
func (r *Request) AtMostOnce() bool { return r.Class.Kind == config.AtMostOnce }

// Bulk reports whether the request is a long transfer.
func (r *Request) Bulk() bool { return r.Class.Kind == config.Bulk }

// Idempotent reports whether a second run of the request does no harm.
func (r *Request) Idempotent() bool { return !r.AtMostOnce() }

// ReadBody reads a streamed request body of up to limit bytes into memory, so
// that the request can be sent again. A longer body is an error.
func (r *Request) ReadBody(limit int) error {
	stream := r.HTTP.BodyStream()
	if stream == nil {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return result.Wrap(result.BadRequest, err, "the request body ended early")
	}
	if len(body) > limit {
		return result.New(result.BodyTooLarge, "the limit is %d bytes", limit)
	}
	r.HTTP.SetBody(body)
	return nil
}

// AsError returns err as a *result.Error; other errors become Internal, or
// TargetTimeout and DeadlineTooShort for a passed deadline.
func AsError(req *Request, err error) *result.Error {
	if e, ok := err.(*result.Error); ok {
		return e
	}
	if err == context.DeadlineExceeded {
		return DeadlineError(req)
	}
	return result.Wrap(result.Internal, err, "unexpected error")
}

// DeadlineError returns the error for a passed deadline: not run as long as no
// byte may have been sent.
func DeadlineError(req *Request) *result.Error {
	if req.MayHaveSent {
		return result.New(result.TargetTimeout, "the deadline passed")
	}
	return result.New(result.QueueDeadline, "the deadline passed before the request was started")
}

// Fork returns a copy of the request for an attempt that runs beside others. It
// has an answer and a context of its own.
func (r *Request) Fork(ctx context.Context) *Request {
	fork := *r
	fork.Context = ctx
	fork.Answer = &fasthttp.Response{}
	fork.onEnd = nil
	return &fork
}

// Adopt takes over the answer and the state of a fork. A streamed answer ends
// the request when it is closed.
func (r *Request) Adopt(fork *Request) {
	fork.Answer.Header.CopyTo(&r.Answer.Header)
	if !fork.streaming {
		r.Answer.SetBodyRaw(fork.Answer.Body())
		return
	}
	r.BeginStream()
	fork.OnEnd(r.End)
	r.Answer.SetBodyStream(fork.Answer.BodyStream(), fork.Answer.Header.ContentLength())
}
