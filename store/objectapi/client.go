package objectapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/store"
)

// Defaults of Options.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultWatchPoll      = 10 * time.Second
	DefaultMaxConnections = 8
)

const (
	// watchGrace is the time that the answer to an expired watch may take.
	watchGrace = time.Second
	// watchRetryDelay separates watch polls that return at once without events.
	watchRetryDelay = 10 * time.Millisecond
	// maxAnswerBytes bounds the body of a list or watch.
	maxAnswerBytes = 256 << 20
)

// Options configures a Client.
type Options struct {
	// Address is the host:port of the object API.
	Address string
	// Timeout bounds a call whose context has no earlier deadline; default 2 s.
	Timeout time.Duration
	// WatchPoll bounds one poll of a watch, after which the client asks again; default 10 s.
	WatchPoll time.Duration
	// MaxConnections bounds the open connections, watches included; default 8.
	MaxConnections int
}

// Client calls the object API. It never repeats a write.
type Client struct {
	opts Options
	http *fasthttp.HostClient
}

var (
	_ store.Store    = (*Client)(nil)
	_ store.VMLister = (*Client)(nil)
)

// New returns a Client.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.WatchPoll <= 0 {
		opts.WatchPoll = DefaultWatchPoll
	}
	if opts.MaxConnections <= 0 {
		opts.MaxConnections = DefaultMaxConnections
	}
	return &Client{opts: opts, http: newHostClient(opts)}
}

func newHostClient(opts Options) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      opts.Address,
		DialTimeout:               dial,
		MaxConns:                  opts.MaxConnections,
		MaxConnWaitTimeout:        opts.Timeout,
		MaxResponseBodySize:       maxAnswerBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialError marks a failure before any byte was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func dial(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// call is one HTTP exchange with the object API.
type call struct {
	method string
	path   string
	args   [][2]string
	body   []byte
	// timeout is zero for the client's own.
	timeout time.Duration
}

// answer is the part of an HTTP answer that the client uses.
type answer struct {
	status  int
	version store.Version
	body    []byte
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	ans, err := c.read(ctx, call{method: http.MethodGet, path: ObjectPath, args: [][2]string{{ArgKey, key}}})
	if err != nil {
		return store.Object{}, errors.WithMessage(err, key)
	}
	return store.Object{Key: key, Value: ans.body, Version: ans.version}, nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	var body ListBody
	list := call{method: http.MethodGet, path: ListPath, args: [][2]string{{ArgPrefix, prefix}}}
	if err := c.readJSON(ctx, list, &body); err != nil {
		return nil, 0, errors.WithMessage(err, prefix)
	}
	objects := make([]store.Object, len(body.Objects))
	for i, obj := range body.Objects {
		objects[i] = store.Object{Key: obj.Key, Value: obj.Value, Version: obj.Version}
	}
	return objects, body.Revision, nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	if len(value) > store.MaxValueBytes {
		return 0, errors.Wrapf(store.ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	put := call{method: http.MethodPut, path: ObjectPath, args: writeArgs(key, expected), body: value}
	ans, err := c.write(ctx, put)
	if err != nil {
		return 0, errors.WithMessage(err, key)
	}
	return ans.version, nil
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expected store.Version) error {
	_, err := c.write(ctx, call{method: http.MethodDelete, path: ObjectPath, args: writeArgs(key, expected)})
	return errors.WithMessage(err, key)
}

// Watch implements store.Store by long polls.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Version) ([]store.Event, error) {
	for {
		events, err := c.pollWatch(ctx, prefix, after)
		if len(events) > 0 {
			return events, nil
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, nil
		}
		if err != nil {
			return nil, errors.WithMessage(err, prefix)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

func (c *Client) pollWatch(ctx context.Context, prefix string, after store.Version) ([]store.Event, error) {
	poll := c.opts.WatchPoll
	if deadline, ok := ctx.Deadline(); ok {
		poll = min(poll, time.Until(deadline))
	}
	watch := call{
		method: http.MethodGet,
		path:   WatchPath,
		args: [][2]string{
			{ArgPrefix, prefix},
			{ArgAfter, formatVersion(after)},
			{ArgTimeout, strconv.FormatInt(max(poll.Milliseconds(), 1), 10)},
		},
		timeout: poll + watchGrace,
	}
	var body WatchBody
	if err := c.readJSON(ctx, watch, &body); err != nil {
		return nil, err
	}
	events := make([]store.Event, len(body.Events))
	for i, e := range body.Events {
		events[i] = store.Event{
			Object:  store.Object{Key: e.Key, Value: e.Value, Version: e.Version},
			Deleted: e.Deleted,
		}
	}
	return events, nil
}

// ListVMs implements store.VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]store.VM, error) {
	var body VMsBody
	err := c.readJSON(ctx, call{method: http.MethodGet, path: VMsPath}, &body)
	return body.VMs, errors.WithMessage(err, "VM list")
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) readJSON(ctx context.Context, cl call, into any) error {
	ans, err := c.read(ctx, cl)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(ans.body, into); err != nil {
		return failure(store.ErrUnavailable, errors.Wrap(err, "decode answer"))
	}
	return nil
}

func (c *Client) read(ctx context.Context, cl call) (answer, error) {
	ans, err := c.do(ctx, cl)
	if err != nil {
		return answer{}, failure(store.ErrUnavailable, err)
	}
	return ans, statusError(ans, store.ErrUnavailable)
}

func (c *Client) write(ctx context.Context, cl call) (answer, error) {
	ans, err := c.do(ctx, cl)
	if err != nil {
		return answer{}, failure(writeFailure(err), err)
	}
	return ans, statusError(ans, store.ErrUnknown)
}

// writeFailure tells what a transport error says about a write: nothing was
// written if no connection was used.
func writeFailure(err error) error {
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
func statusError(ans answer, other error) error {
	switch ans.status {
	case http.StatusOK:
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
		return failure(store.ErrUnavailable, errors.Errorf("status %d: %s", ans.status, ans.body))
	default:
		return failure(other, errors.Errorf("status %d: %s", ans.status, ans.body))
	}
}

// do sends the call. When the context ends first it returns at once and leaves
// the exchange to end by its own timeout.
func (c *Client) do(ctx context.Context, cl call) (answer, error) {
	timeout := c.timeout(ctx, cl)
	if ctx.Err() != nil || timeout <= 0 {
		return answer{}, errors.WithMessage(errNotSent, "context ended")
	}
	if ctx.Done() == nil {
		return c.exchange(cl, timeout)
	}
	type outcome struct {
		ans answer
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
		return answer{}, ctx.Err()
	}
}

// timeout bounds an exchange. A watch has its own bound, longer than the
// context's, so that the context alone ends it.
func (c *Client) timeout(ctx context.Context, cl call) time.Duration {
	if cl.timeout > 0 {
		return cl.timeout
	}
	if deadline, ok := ctx.Deadline(); ok {
		return min(c.opts.Timeout, time.Until(deadline))
	}
	return c.opts.Timeout
}

func (c *Client) exchange(cl call, timeout time.Duration) (answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(cl.method)
	req.SetRequestURI("http://" + c.opts.Address + cl.path)
	for _, arg := range cl.args {
		req.URI().QueryArgs().Add(arg[0], arg[1])
	}
	if cl.body != nil {
		req.SetBodyRaw(cl.body)
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return answer{}, err
	}
	version, _ := strconv.ParseUint(string(resp.Header.Peek(HeaderVersion)), 10, 64)
	return answer{
		status:  resp.StatusCode(),
		version: store.Version(version),
		body:    append([]byte(nil), resp.Body()...),
	}, nil
}

func writeArgs(key string, expected store.Version) [][2]string {
	return [][2]string{{ArgKey, key}, {ArgExpected, formatVersion(expected)}}
}

func formatVersion(v store.Version) string { return strconv.FormatUint(uint64(v), 10) }

// callError pairs an error of package store with its cause.
type callError struct{ kind, cause error }

func failure(kind, cause error) error { return &callError{kind: kind, cause: cause} }

func (e *callError) Error() string   { return e.kind.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }
