// Package pipeline defines the request that passes through an entry's filters
// and the interface of a filter.
//
// A filter processes the request and calls the next one, like HTTP middleware.
// An answer's body may still be streamed after all filters have returned, so a
// filter releases its resources in a function passed to Request.OnEnd, not in a
// deferred call.
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

// Headers of the protocol between callers and entries.
const (
	HeaderTenant      = "Basiltally-Tenant"
	HeaderCode        = "Basiltally-Code"
	HeaderOutcome     = "Basiltally-Outcome"
	HeaderRequestID   = "Basiltally-Request-Id"
	HeaderDeadline    = "Basiltally-Deadline-Ms"
	HeaderIdempotency = "Idempotency-Key"
)

// Request is a caller's request and its state while the filters process it.
type Request struct {
	// ID is unique among the requests of all entries; targets echo it.
	ID string
	// Start is the instant at which the request's header was complete.
	Start time.Time
	// HTTP is the caller's request; filters must not change it.
	HTTP *fasthttp.Request
	// Answer is set by the dispatch filter, or by the respond filter after an error.
	Answer *fasthttp.Response
	// Context ends when the caller's connection closes or the deadline passes.
	Context context.Context

	// Tenant, Class and Pool are set by the identify filter.
	Tenant *config.Tenant
	Class  *config.Class
	Pool   *config.Pool
	// Key is the key in the path of a keyed request, KeyHash its hash.
	Key     string
	KeyHash ownership.KeyHash
	// Group is the group of targets that holds the key or serves the pool.
	Group ownership.GroupID
	// Deadline is the instant by which the caller expects the complete answer.
	Deadline time.Time
	// IdempotencyKey is set for at-most-once classes.
	IdempotencyKey string

	// Owner is the target that the locate filter chose, with its fencing token.
	Owner ownership.Owner
	// ViewVersion is the version of the view in which Owner was looked up.
	ViewVersion ownership.Token
	// WatchOwner, if set, returns a context that ends with ErrOwnerChanged as its
	// cause once Owner no longer owns the key, and a function that ends the watch.
	// The caller must call that function.
	WatchOwner func(context.Context) (context.Context, func())
	// FailedTargets lists the targets on which an attempt failed.
	FailedTargets []ownership.TargetID
	// Attempts counts the exchanges in which a byte of the request may have been sent
	// to a target.
	Attempts int
	// MayHaveSent is set once a byte of the request may have reached a target that
	// has not asserted that it did not run the request.
	MayHaveSent bool
	// BeforeSend, if set, is called right before the first byte is sent to a
	// target. If it returns an error, the request is not sent.
	BeforeSend func() error
	// NewConnection requests a new connection to the target instead of an idle one,
	// on which the target may no longer answer.
	NewConnection bool
	// BodyConsumed is set once a streamed request body is read, which cannot be
	// repeated.
	BodyConsumed bool
	// Replayed is set if the answer is the recorded answer of an earlier request.
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

// Handler serves a request: it sets the answer and returns nil, or returns an
// error, usually a *result.Error.
type Handler interface {
	Serve(*Request) error
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(*Request) error

// Serve calls f.
func (f HandlerFunc) Serve(req *Request) error { return f(req) }

// Filter returns a Handler that processes requests before and after next.
type Filter func(next Handler) Handler

// Chain returns a Handler that calls the filters in order and then the last handler.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// Run serves the request and ends it. If the answer's body is a stream, closing
// the stream ends the request instead.
func Run(h Handler, req *Request) {
	err := h.Serve(req)
	if req.streaming {
		return
	}
	req.End(err)
}

// OnEnd registers a function that runs when the request has ended, in reverse
// order of registration. Its argument is nil if the complete answer was relayed.
func (r *Request) OnEnd(f func(error)) { r.onEnd = append(r.onEnd, f) }

// OnDequeue registers the function that runs when the request leaves its queue, or
// ends without leaving it. It replaces a function registered before.
func (r *Request) OnDequeue(f func()) { r.onDequeue = f }

// DequeueFunc returns the function registered with OnDequeue, or one that does nothing.
func (r *Request) DequeueFunc() func() {
	if r.onDequeue == nil {
		return func() {}
	}
	return r.onDequeue
}

// MarkDequeued records that the request has left its queue and calls the function
// registered with OnDequeue. Further calls do nothing.
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

// AbandonStream reverts BeginStream when the stream is discarded unread.
func (r *Request) AbandonStream() { r.streaming = false }

// SetError records the error of a request whose handler returns nil because a
// filter turned the error into an answer. End passes it to the OnEnd functions.
func (r *Request) SetError(err error) { r.err = err }

// End ends the request and runs the functions registered with OnEnd. Further calls
// do nothing.
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

// Keyed reports whether the request must be sent to the owner of its key.
func (r *Request) Keyed() bool { return r.Pool != nil && r.Pool.Keyed }

// AtMostOnce reports whether the request must not run twice.
func (r *Request) AtMostOnce() bool { return r.Class.Kind == config.AtMostOnce }

// Bulk reports whether the request is a long transfer.
func (r *Request) Bulk() bool { return r.Class.Kind == config.Bulk }

// Idempotent reports whether the request may safely run twice.
func (r *Request) Idempotent() bool { return !r.AtMostOnce() }

// ReadBody reads a streamed request body of up to limit bytes into memory, so
// that the request can be sent again. It returns BodyTooLarge for a longer body,
// and BadRequest if the body ends early.
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
		return result.New(result.BodyTooLarge, "the body is longer than the limit of %d bytes", limit)
	}
	r.HTTP.SetBody(body)
	return nil
}

// AsError returns err as a *result.Error. It converts context.DeadlineExceeded with
// DeadlineError, and other errors to Internal.
func AsError(req *Request, err error) *result.Error {
	if e, ok := err.(*result.Error); ok {
		return e
	}
	if err == context.DeadlineExceeded {
		return DeadlineError(req)
	}
	return result.Wrap(result.Internal, err, "unexpected error")
}

// DeadlineError returns the error for a passed deadline: TargetTimeout if a byte
// may have been sent, else QueueDeadline, which asserts that the request was not run.
func DeadlineError(req *Request) *result.Error {
	if req.MayHaveSent {
		return result.New(result.TargetTimeout, "the deadline passed after the request may have been sent to a target")
	}
	return result.New(result.QueueDeadline, "the deadline passed before the request was sent to a target")
}

// Fork returns a copy of the request for an attempt that runs in parallel with
// others. The copy has its own answer and uses the given context.
func (r *Request) Fork(ctx context.Context) *Request {
	fork := *r
	fork.Context = ctx
	fork.Answer = &fasthttp.Response{}
	fork.onEnd = nil
	return &fork
}

// Adopt sets the request's answer to that of a fork. Closing a streamed answer
// ends the request.
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
