package upstream

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/idleconn"
)

// Options of a Client.
type Options struct {
	Headers Headers
	// Dial opens connections. Default: TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds one dial. Default 400 ms: a lost packet is sent again after 200 ms.
	DialTimeout time.Duration
	// MaxIdle is the longest time that a connection is kept idle, if the target
	// states no shorter one. Default 8 s.
	MaxIdle time.Duration
	// Registerer receives the metrics; nil registers none.
	Registerer prometheus.Registerer
}

const (
	// idleMargin is how much earlier than the target a connection is given up as
	// idle, so that a request does not cross its close.
	idleMargin = time.Second
	// sweepInterval separates the searches for connections that were idle too long.
	sweepInterval = time.Second
)

// ErrBusy reports that all connections to the target that this VM may open are in use.
var ErrBusy = errors.New("all connections to the target are in use")

// Client sends requests to targets over kept connections.
type Client struct {
	opts Options
	// limit is how many connections this VM may open to one target.
	limit  atomic.Int64
	opened prometheus.Counter
	reused prometheus.Counter

	mu    sync.Mutex
	pools map[string]*pool
}

type pool struct {
	idle []*conn
	open int
	// waiting are the requests that wait for a connection, the longest first.
	waiters []chan struct{}
}

// New returns a Client without connections.
func New(opts Options) *Client {
	opts.DialTimeout = cmp.Or(opts.DialTimeout, 400*time.Millisecond)
	opts.MaxIdle = cmp.Or(opts.MaxIdle, 8*time.Second)
	if opts.Dial == nil {
		var d net.Dialer
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	c := &Client{
		opts: opts, pools: map[string]*pool{},
		opened: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "basiltally_upstream_connections_opened_total", Help: "Connections opened to targets.",
		}),
		reused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "basiltally_upstream_connections_reused_total", Help: "Requests sent on a kept connection to a target.",
		}),
	}
	c.limit.Store(defaultLimit)
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(c.opened, c.reused)
	}
	return c
}

// defaultLimit is the number of connections to one target until SetLimit is called.
const defaultLimit = 8

// SetLimit sets how many connections this VM may open to one target.
func (c *Client) SetLimit(n int) { c.limit.Store(int64(max(n, 1))) }

// Do sends the request to the target at the address. The error is a *Failure.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	cn, err := c.acquire(ctx, address, r)
	if err != nil {
		return nil, &Failure{Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	a, keep, err := cn.exchange(ctx, &c.opts.Headers, r)
	c.release(address, cn, keep)
	return a, err
}

// Warm returns the addresses to which a connection is kept that has been idle for
// at most the duration; zero sets no bound.
func (c *Client) IdleAddresses(maxIdle time.Duration) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	warm := make(map[string]bool, len(c.pools))
	for address, p := range c.pools {
		if len(p.idle) == 0 {
			continue
		}
		if idle := time.Since(p.idle[len(p.idle)-1].idleSince); maxIdle == 0 || idle <= maxIdle {
			warm[address] = true
		}
	}
	return warm
}

// get returns a kept connection or opens one. It waits for one as long as the
// request allows.
func (c *Client) acquire(ctx context.Context, address string, r *Request) (*conn, error) {
	giveUp := time.Now().Add(r.MaxWait)
	for {
		cn, freed, err := c.tryAcquire(ctx, address, r)
		if err != ErrBusy || r.MaxWait == 0 {
			return cn, err
		}
		timer := time.NewTimer(time.Until(giveUp))
		select {
		case <-freed:
			timer.Stop()
		case <-timer.C:
			c.cancelWait(address, freed)
			return nil, ErrBusy
		case <-ctx.Done():
			timer.Stop()
			c.cancelWait(address, freed)
			return nil, ctx.Err()
		}
	}
}

// leave takes a request out of those that wait, and passes its turn on if it came.
func (c *Client) cancelWait(address string, freed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		return
	}
	if i := slices.Index(p.waiters, freed); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return
	}
	p.wakeNext()
}

// wake lets the request go on that has waited longest. The caller holds mu.
func (p *pool) wakeNext() {
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// tryGet is get without a wait. While all connections are in use it returns ErrBusy
// and, if the request may wait, a channel that is closed when it is to try again.
func (c *Client) tryAcquire(ctx context.Context, address string, r *Request) (*conn, chan struct{}, error) {
	c.mu.Lock()
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	for len(p.idle) > 0 {
		cn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable(cn, r.MaxIdle) {
			c.mu.Unlock()
			c.reused.Inc()
			return cn, nil, nil
		}
		p.open--
		cn.Close()
	}
	if int64(p.open) >= c.limit.Load() {
		var freed chan struct{}
		if r.MaxWait > 0 {
			freed = make(chan struct{})
			p.waiters = append(p.waiters, freed)
		}
		c.mu.Unlock()
		return nil, freed, ErrBusy
	}
	p.open++
	c.mu.Unlock()
	cn, err := c.dial(ctx, address, r.Deadline)
	if err != nil {
		c.mu.Lock()
		p.open--
		p.wakeNext()
		c.mu.Unlock()
	}
	return cn, nil, err
}

func (c *Client) dial(ctx context.Context, address string, deadline time.Time) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, min(c.opts.DialTimeout, time.Until(deadline)))
	defer cancel()
	nc, err := c.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.opened.Inc()
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes)}, nil
}

// usable reports whether a kept connection has not been idle too long and has
// nothing to read: neither its end nor a late answer.
func (c *Client) usable(cn *conn, maxIdle time.Duration) bool {
	idle := time.Since(cn.idleSince)
	if idle > c.maxIdleTime(cn) || maxIdle > 0 && idle > maxIdle {
		return false
	}
	return cn.reader.Buffered() == 0 && idleconn.Usable(cn.Conn)
}

func (c *Client) maxIdleTime(cn *conn) time.Duration {
	if cn.idleLimit > 0 {
		return min(c.opts.MaxIdle, max(cn.idleLimit-idleMargin, cn.idleLimit/2))
	}
	return c.opts.MaxIdle
}

// put keeps the connection or closes it.
func (c *Client) release(address string, cn *conn, keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	defer p.wakeNext()
	if !keep {
		p.open--
		cn.Close()
		return
	}
	cn.idleSince = time.Now()
	p.idle = append(p.idle, cn)
}

// CloseIdle closes the kept connections to the address, because one of them went silent.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[address]; p != nil {
		p.open -= len(p.idle)
		closeAll(p.idle)
		p.idle = nil
	}
}

func closeAll(conns []*conn) {
	for _, cn := range conns {
		cn.Close()
	}
}

// Run closes connections that were idle too long, until the context ends.
func (c *Client) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.closeExpired()
		}
	}
}

func (c *Client) closeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if time.Since(cn.idleSince) > c.maxIdleTime(cn) {
				p.open--
				cn.Close()
				continue
			}
			kept = append(kept, cn)
		}
		p.idle = kept
		if p.open == 0 && len(p.waiters) == 0 {
			delete(c.pools, address)
		}
	}
}
