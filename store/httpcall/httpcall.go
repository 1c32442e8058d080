// Package httpcall makes HTTP calls to a service of the platform or to a target. It never
// repeats a call, and its errors state whether a failed call may have reached the server.
package httpcall

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/httphead"
	"github.com/basiltally/basiltally/store"
)

const (
	// defaultMaxAnswerBytes bounds the body of an answer, such as that to a list or watch.
	defaultMaxAnswerBytes = 256 << 20
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alives. They
	// detect an unreachable peer within about 2 s, so that a long poll needs no short
	// timeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// dialTimeout bounds one dial. On a link that has just recovered, a new dial succeeds
	// sooner than the next retransmission of an old one.
	dialTimeout = 500 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	// Address is the host:port of the server.
	Address string
	// Timeout bounds a call whose context has no earlier deadline.
	Timeout time.Duration
	// MaxConnections bounds the open connections, including those of waiting watches.
	MaxConnections int
	// MaxAnswerBytes bounds the body of an answer. Default 256 MiB.
	MaxAnswerBytes int
	// AbortOnCancel makes the end of a call's context close the connections of the Client. It is meant for a
	// client that makes one long call at a time, which would otherwise go on until its timeout. Such a client also
	// tells store.OnSent.
	AbortOnCancel bool
	// ResetOnClose makes the close of a connection discard data that the network has not
	// delivered yet, so that a call that timed out does not arrive later.
	ResetOnClose bool
	// UniqueHeader names a header whose value differs from answer to answer. If it is set, an answer counts only if it belongs to the
	// call, since a server may send an answer once more, late, where that to the next call is expected: the call is the first
	// one on its connection, or the answer has the header with a value that no earlier answer there had, or it refuses the
	// call, as no connection is kept after a refusal. It must not be set together with AbortOnCancel.
	UniqueHeader string
	// IdempotentPath is a path whose calls may count as done although only an earlier one is known to be: any success
	// without the unique header counts for them.
	IdempotentPath string
}

// Client makes HTTP calls to one address.
type Client struct {
	opts    Options
	sending func() (answered func())

	mu    sync.Mutex
	conns *connPool
}

// New returns a Client that has no connections yet.
func New(opts Options) *Client {
	return &Client{opts: opts, conns: newConnPool(opts)}
}

// OnSending sets a function that is called before each call. What it returns, unless that is nil, is called once the call has been
// answered, whatever the status. OnSending must be called before the first call.
func (c *Client) OnSending(sending func() (answered func())) { c.sending = sending }

// pool returns the connections for the next call.
func (c *Client) pool() *connPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns
}

// abort closes all connections of a pool, and replaces it for later calls: fasthttp keeps a closed connection that
// a call has just given back, and would send the next request on it.
func (c *Client) abort(pool *connPool) {
	c.mu.Lock()
	if c.conns == pool {
		c.conns = newConnPool(c.opts)
	}
	c.mu.Unlock()
	pool.close()
}

// connPool holds the connections of a Client.
type connPool struct {
	opts Options
	http *fasthttp.HostClient

	mu     sync.Mutex
	closed bool
	// open holds the open connections if AbortOnCancel is set.
	open map[*trackedConn]struct{}
	// onSent is called, and cleared, at the next write to a connection. It may be nil.
	onSent func()
}

func newConnPool(opts Options) *connPool {
	p := &connPool{opts: opts, open: map[*trackedConn]struct{}{}}
	p.http = &fasthttp.HostClient{
		Addr:                      opts.Address,
		DialTimeout:               p.dial,
		MaxConns:                  opts.MaxConnections,
		MaxConnWaitTimeout:        opts.Timeout,
		MaxResponseBodySize:       cmp.Or(opts.MaxAnswerBytes, defaultMaxAnswerBytes),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}
	if opts.UniqueHeader != "" {
		p.http.Transport = newMatcher(opts)
	}
	return p
}

// trackedConn is a connection that its connPool can close.
type trackedConn struct {
	net.Conn
	pool *connPool
}

// Write implements net.Conn.
func (t *trackedConn) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	if err == nil {
		t.pool.reportSent()
	}
	return n, err
}

// setOnSent sets what is called once the next request has been handed to the network.
func (p *connPool) setOnSent(onSent func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onSent = onSent
}

func (p *connPool) reportSent() {
	p.mu.Lock()
	onSent := p.onSent
	p.onSent = nil
	p.mu.Unlock()
	if onSent != nil {
		onSent()
	}
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.pool.mu.Lock()
	delete(t.pool.open, t)
	t.pool.mu.Unlock()
	return t.Conn.Close()
}

func (p *connPool) dial(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := p.opts.dial(addr, timeout)
	if err != nil || !p.opts.AbortOnCancel {
		return conn, err
	}
	t := &trackedConn{Conn: conn, pool: p}
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.open[t] = struct{}{}
	}
	p.mu.Unlock()
	if closed {
		conn.Close()
		return nil, &dialError{cause: net.ErrClosed}
	}
	return t, nil
}

// close closes all connections, also one that is being dialled.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	open := slices.Collect(maps.Keys(p.open))
	p.mu.Unlock()
	for _, t := range open {
		t.Close()
	}
}

// Pollers holds a Client for the long polls of each prefix. A poll is given up by closing its connection, and a
// poll that a server has lost takes no connection of other calls.
type Pollers struct {
	opts Options

	mu       sync.Mutex
	byPrefix map[string]*Client
}

// maxPollConnections allows a new poll of a prefix while the one that it replaces is being closed.
const maxPollConnections = 2

// NewPollers returns Pollers for the address of opts. Its Timeout bounds a poll without a time limit of its own.
func NewPollers(opts Options) *Pollers {
	opts.MaxConnections, opts.AbortOnCancel = maxPollConnections, true
	return &Pollers{opts: opts, byPrefix: map[string]*Client{}}
}

// For returns the Client for the polls of a prefix.
func (p *Pollers) For(prefix string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byPrefix[prefix]
	if c == nil {
		c = New(p.opts)
		p.byPrefix[prefix] = c
	}
	return c
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialError is a failure before any byte was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func (o Options) dial(addr string, timeout time.Duration) (net.Conn, error) {
	// A connection that is dialled for a request that waits in the pool of fasthttp has no timeout.
	if timeout <= 0 {
		timeout = dialTimeout
	}
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
	if o.UniqueHeader != "" {
		return &matchedConn{Conn: conn}, nil
	}
	return httphead.NewConn(conn), nil
}

// Call is one HTTP exchange.
type Call struct {
	Method string
	Path   string
	// Args are the names and values of the query arguments, in order.
	Args [][2]string
	Body []byte
	// ContentType is sent if it is not empty.
	ContentType string
	// Timeout bounds the call. If it is zero, the client's timeout and the context's
	// deadline apply.
	Timeout time.Duration
}

// Answer is the answer to a Call.
type Answer struct {
	Status int
	Header fasthttp.ResponseHeader
	Body   []byte
}

// Read makes a call that changes nothing. An error without a more specific meaning is
// store.ErrUnavailable.
func (c *Client) Read(ctx context.Context, cl Call) (*Answer, error) {
	ans, err := c.do(ctx, cl)
	if err != nil {
		return nil, WithCause(store.ErrUnavailable, err)
	}
	return ans, statusError(ans, store.ErrUnavailable)
}

// Write makes a call that may change something. If the call failed and may have reached
// the server, the error is store.ErrUnknown. If the call certainly did not reach the
// server or was refused, the error is store.ErrUnavailable or a more specific one.
func (c *Client) Write(ctx context.Context, cl Call) (*Answer, error) {
	ans, err := c.do(ctx, cl)
	if err != nil {
		return nil, WithCause(writeErrorKind(err), err)
	}
	return ans, statusError(ans, store.ErrUnknown)
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.pool().http.CloseIdleConnections() }

// writeErrorKind returns the error of package store for a write that ended with a transport error.
func writeErrorKind(err error) error {
	if callOf(err).MayBeDone() {
		return store.ErrUnknown
	}
	return store.ErrUnavailable
}

// callOf returns what a transport error shows of the call.
func callOf(err error) evidence.Call {
	var notSent *dialError
	if errors.As(err, &notSent) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, errNotSent) {
		return evidence.NotSent
	}
	return evidence.Unanswered
}

// errNotSent reports that a call ended before it was sent.
var errNotSent = errors.New("call ended before it was sent")

// statusError returns the error of package store for the HTTP status, or nil if the call
// succeeded. For an unexpected status it returns other.
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

// do makes the call. If the context ends first, do returns at once, and the exchange
// continues in the background until its own timeout, unless AbortOnCancel is set.
func (c *Client) do(ctx context.Context, cl Call) (*Answer, error) {
	timeout := c.timeout(ctx, cl)
	if ctx.Err() != nil || timeout <= 0 {
		return nil, errors.WithMessage(errNotSent, "context ended")
	}
	pool := c.pool()
	if c.opts.AbortOnCancel {
		pool.setOnSent(store.OnSent(ctx))
	}
	if ctx.Done() == nil {
		return c.exchange(pool, cl, timeout)
	}
	type outcome struct {
		ans *Answer
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		ans, err := c.exchange(pool, cl, timeout)
		done <- outcome{ans, err}
	}()
	select {
	case out := <-done:
		return out.ans, out.err
	case <-ctx.Done():
		if c.opts.AbortOnCancel {
			c.abort(pool)
		}
		return nil, ctx.Err()
	}
}

// timeout returns the timeout of an exchange. A watch sets Call.Timeout to more than the
// time left of its context, so that only the context ends it.
func (c *Client) timeout(ctx context.Context, cl Call) time.Duration {
	if cl.Timeout > 0 {
		return cl.Timeout
	}
	if deadline, ok := ctx.Deadline(); ok {
		return min(c.opts.Timeout, time.Until(deadline))
	}
	return c.opts.Timeout
}

// exchange makes the call over the connections and reports its answer.
func (c *Client) exchange(pool *connPool, cl Call, timeout time.Duration) (*Answer, error) {
	var answered func()
	if c.sending != nil {
		answered = c.sending()
	}
	ans, err := pool.exchange(cl, timeout)
	if err == nil && answered != nil {
		answered()
	}
	return ans, err
}

// exchange sends the request and reads its answer, without retries.
func (p *connPool) exchange(cl Call, timeout time.Duration) (*Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(cl.Method)
	req.SetRequestURI("http://" + p.opts.Address + cl.Path)
	for _, arg := range cl.Args {
		req.URI().QueryArgs().Add(arg[0], arg[1])
	}
	if cl.ContentType != "" {
		req.Header.SetContentType(cl.ContentType)
	}
	if cl.Body != nil {
		req.SetBodyRaw(cl.Body)
	}
	if err := p.http.DoTimeout(req, resp, timeout); err != nil {
		return nil, err
	}
	ans := &Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	resp.Header.CopyTo(&ans.Header)
	return ans, nil
}

// callError is an error of a given kind with its cause.
type callError struct{ kind, cause error }

// WithCause returns an error that wraps both the kind, such as an error of package store,
// and its cause.
func WithCause(kind, cause error) error { return &callError{kind: kind, cause: cause} }

func (e *callError) Error() string   { return e.kind.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }
