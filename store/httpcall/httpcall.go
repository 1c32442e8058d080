// Package httpcall makes single HTTP calls to a service of the platform or to a
// target. It never repeats a call, and tells whether a failed one may have
// reached the server.
package httpcall

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/store"
)

const (
	// maxAnswerBytes bounds the body of a list or watch.
	maxAnswerBytes = 256 << 20
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection that
	// went silent within about 2 s, so that a long poll needs no short timeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// dialTimeout bounds one dial: on a link that has just come back, a new packet
	// is faster than the next repetition of the old one.
	dialTimeout = 500 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	// Address is the host:port of the server.
	Address string
	// Timeout bounds a call whose context has no earlier deadline.
	Timeout time.Duration
	// MaxConnections bounds the open connections, waiting watches included.
	MaxConnections int
	// Abort makes a closed connection drop what the network has not delivered,
	// so that a call that timed out does not arrive later.
	ResetOnClose bool
}

// Client makes calls to one address.
type Client struct {
	opts Options
	http *fasthttp.HostClient
}

// New returns a Client without connections.
func New(opts Options) *Client {
	return &Client{opts: opts, http: &fasthttp.HostClient{
		Addr:                      opts.Address,
		DialTimeout:               opts.dial,
		MaxConns:                  opts.MaxConnections,
		MaxConnWaitTimeout:        opts.Timeout,
		MaxResponseBodySize:       maxAnswerBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialError marks a failure before any byte was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func (o Options) dial(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: min(timeout, dialTimeout), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	if tcp, ok := conn.(*net.TCPConn); ok && o.ResetOnClose {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, &dialError{cause: err}
		}
	}
	return conn, nil
}

// Call is one HTTP exchange.
type Call struct {
	Method string
	Path   string
	// Args are the arguments of the query, in order.
	Args [][2]string
	Body []byte
	// ContentType is sent if it is not empty.
	ContentType string
	// Timeout is zero for the caller's own.
	Timeout time.Duration
}

// Answer is the part of an HTTP answer that object API clients use.
type Answer struct {
	Status int
	Header fasthttp.ResponseHeader
	Body   []byte
}

// Read makes a call that changes nothing. A failure is store.ErrUnavailable.
func (c *Client) Read(ctx context.Context, cl Call) (*Answer, error) {
	ans, err := c.do(ctx, cl)
	if err != nil {
		return nil, WithCause(store.ErrUnavailable, err)
	}
	return ans, statusError(ans, store.ErrUnavailable)
}

// Write makes a call that may change something. A failure is store.ErrUnknown
// unless the call certainly did not reach the server.
func (c *Client) Write(ctx context.Context, cl Call) (*Answer, error) {
	ans, err := c.do(ctx, cl)
	if err != nil {
		return nil, WithCause(writeErrorKind(err), err)
	}
	return ans, statusError(ans, store.ErrUnknown)
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// writeFailure tells what a transport error says about a write: nothing was
// written if no connection was used.
func writeErrorKind(err error) error {
	var notSent *dialError
	if errors.As(err, &notSent) {
		return store.ErrUnavailable
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, errNotSent) {
		return store.ErrUnavailable
	}
	return store.ErrUnknown
}

// errNotSent reports a call that ended before it was sent.
var errNotSent = errors.New("call ended before it was sent")

// statusError maps an HTTP status to an error of package store; an unexpected
// status means other.
func statusError(ans *Answer, other error) error {
	switch ans.Status {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return store.ErrNotFound
	case http.StatusConflict:
		return store.ErrConflict
	case http.StatusGone:
		return store.ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return WithCause(store.ErrUnavailable, errors.Errorf("status %d: %.200s", ans.Status, ans.Body))
	default:
		return WithCause(other, errors.Errorf("status %d: %.200s", ans.Status, ans.Body))
	}
}

// do sends the call. When the context ends first it returns at once and leaves
// the exchange to end by its own timeout.
func (c *Client) do(ctx context.Context, cl Call) (*Answer, error) {
	timeout := c.timeout(ctx, cl)
	if ctx.Err() != nil || timeout <= 0 {
		return nil, errors.WithMessage(errNotSent, "context ended")
	}
	if ctx.Done() == nil {
		return c.exchange(cl, timeout)
	}
	type outcome struct {
		ans *Answer
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		ans, err := c.exchange(cl, timeout)
		done <- outcome{ans, err}
	}()
	select {
	case out := <-done:
		return out.ans, out.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// timeout bounds an exchange. A watch has its own bound, longer than the
// context's, so that the context alone ends it.
func (c *Client) timeout(ctx context.Context, cl Call) time.Duration {
	if cl.Timeout > 0 {
		return cl.Timeout
	}
	if deadline, ok := ctx.Deadline(); ok {
		return min(c.opts.Timeout, time.Until(deadline))
	}
	return c.opts.Timeout
}

func (c *Client) exchange(cl Call, timeout time.Duration) (*Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(cl.Method)
	req.SetRequestURI("http://" + c.opts.Address + cl.Path)
	for _, arg := range cl.Args {
		req.URI().QueryArgs().Add(arg[0], arg[1])
	}
	if cl.ContentType != "" {
		req.Header.SetContentType(cl.ContentType)
	}
	if cl.Body != nil {
		req.SetBodyRaw(cl.Body)
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return nil, err
	}
	ans := &Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	resp.Header.CopyTo(&ans.Header)
	return ans, nil
}

// callError pairs an error of package store with its cause.
type callError struct{ kind, cause error }

// Failure returns an error that is both the kind, an error of package store, and its cause.
func WithCause(kind, cause error) error { return &callError{kind: kind, cause: cause} }

func (e *callError) Error() string   { return e.kind.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }
