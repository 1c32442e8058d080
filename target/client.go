package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/httphead"
)

// Defaults of ClientOptions.
const (
	DefaultTimeout        = 500 * time.Millisecond
	DefaultMaxConnections = 1
	DefaultIdleTimeout    = time.Minute
)

// maxReplyBytes bounds the body of a reply.
const maxReplyBytes = 1 << 20

// ClientOptions configures a Client.
type ClientOptions struct {
	// Timeout is the longest duration of a call; an earlier deadline of the call's
	// context takes precedence. Default 500 ms.
	Timeout time.Duration
	// MaxConnections is the largest number of control connections to one target.
	// Default 1.
	MaxConnections int
	// IdleTimeout is the time after which an unused connection is closed. Default 1 min.
	IdleTimeout time.Duration
}

// Client calls the control protocol of targets over persistent connections. It never
// retries a call. A call that reaches its deadline closes its connection, so that the
// next call opens a new one. A Client is safe for concurrent use.
type Client struct {
	opts ClientOptions

	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// NewClient returns a Client without connections; calls open them.
func NewClient(opts ClientOptions) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.MaxConnections <= 0 {
		opts.MaxConnections = DefaultMaxConnections
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = DefaultIdleTimeout
	}
	return &Client{opts: opts, hosts: make(map[string]*fasthttp.HostClient)}
}

// Renew sends a RenewRequest to the target at the address and returns its reply.
func (c *Client) Renew(ctx context.Context, address string, req RenewRequest) (RenewReply, error) {
	var reply RenewReply
	body, err := json.Marshal(req)
	if err != nil {
		return reply, errors.Wrap(err, "encode renewal")
	}
	err = c.call(ctx, address, http.MethodPost, RenewPath, body, &reply)
	return reply, errors.Wrapf(err, "renew lease of target %s", address)
}

// Health returns the health that the target at the address reports.
func (c *Client) Health(ctx context.Context, address string) (Health, error) {
	var health Health
	err := c.call(ctx, address, http.MethodGet, HealthPath, nil, &health)
	return health, errors.Wrapf(err, "get health of target %s", address)
}

// Drain asks the target at the address to accept no new requests, and returns its health.
func (c *Client) Drain(ctx context.Context, address string) (Health, error) {
	var health Health
	err := c.call(ctx, address, http.MethodPost, DrainPath, nil, &health)
	return health, errors.Wrapf(err, "drain target %s", address)
}

// RemoveAddress closes the idle connections to an address that is no longer used.
func (c *Client) RemoveAddress(address string) {
	c.mu.Lock()
	host := c.hosts[address]
	delete(c.hosts, address)
	c.mu.Unlock()
	if host != nil {
		host.CloseIdleConnections()
	}
}

// Close closes the idle connections to all targets.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range c.hosts {
		host.CloseIdleConnections()
	}
}

func (c *Client) host(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	host := c.hosts[address]
	if host == nil {
		host = &fasthttp.HostClient{
			Addr:                      address,
			DialTimeout:               c.dial,
			MaxConns:                  c.opts.MaxConnections,
			MaxConnWaitTimeout:        c.opts.Timeout,
			MaxIdleConnDuration:       c.opts.IdleTimeout,
			MaxResponseBodySize:       maxReplyBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
		}
		c.hosts[address] = host
	}
	return host
}

// dial opens a connection. fasthttp gives no timeout for a call that waited until another connection was closed.
func (c *Client) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = c.opts.Timeout
	}
	conn, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return httphead.NewConn(conn), nil
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// call sends a request and decodes the reply into the value that into points to. It
// returns at once when the context ends; the exchange then continues in the background
// until its own timeout.
func (c *Client) call(ctx context.Context, address, method, path string, body []byte, into any) error {
	timeout := c.opts.Timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if timeout <= 0 {
		return context.DeadlineExceeded
	}
	type outcome struct {
		data []byte
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		data, err := c.exchange(address, method, path, body, timeout)
		done <- outcome{data, err}
	}()
	select {
	case out := <-done:
		if out.err != nil {
			return out.err
		}
		return errors.Wrap(json.Unmarshal(out.data, into), "decode reply")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) exchange(address, method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.host(address).DoTimeout(req, resp, timeout); err != nil {
		return nil, err
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, errors.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}
