package upstream

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/bodies"
	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/idleconn"
)

// Options configures a Client.
type Options struct {
	Headers Headers
	// Dial opens a connection to a target. Default: a TCP dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds one dial. Default 400 ms, because a lost packet is retransmitted
	// after 200 ms.
	DialTimeout time.Duration
	// MaxIdle is how long an idle connection is kept, unless the target states a
	// shorter time. Default 8 s.
	MaxIdle time.Duration
	// Memory bounds the memory that bodies take. An answer whose body finds no room is given up.
	// Default: up to 256 MiB, of this Client alone.
	Memory *bodies.Memory
	// Sending is called before a request is sent. What it returns, unless that is nil, is called once the request
	// has been answered. Sending may be nil.
	Sending func() (answered func())
	// Registerer is where the metrics are registered. Nil registers none.
	Registerer prometheus.Registerer
}

const (
	// idleMargin is how long before the target's idle timeout a connection is closed here,
	// so that no request is sent while the target closes the connection.
	idleMargin = time.Second
	// sweepInterval is the interval at which connections that were idle too long are closed.
	sweepInterval = time.Second
	// resetPause is how long no connection is opened to a target that has reset a new one before it
	// answered. A target does so while it has as many connections as it accepts, which are fewer
	// while its queue is long.
	resetPause = 300 * time.Millisecond
)

// ErrBusy reports that all connections of this VM to the target are in use, and that it may open no
// other now: it has reached its limit, or the target has just reset a new one.
var ErrBusy = errors.New("all connections to the target are in use")

// Client sends requests to targets over a pool of persistent connections per target.
type Client struct {
	opts Options
	// limit is the maximum number of connections that this VM may open to one target.
	limit  atomic.Int64
	opened prometheus.Counter
	reused prometheus.Counter

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one target.
type pool struct {
	// idle holds the idle connections, the most recently used one last.
	idle []*conn
	// open is the number of open connections, idle or in use.
	open int
	// noneBefore is the instant before which no connection is opened, because the target has reset a
	// new one.
	noneBefore time.Time
	// waiters has a channel for each request that waits for a connection, in the order of
	// arrival.
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
	if opts.Memory == nil {
		opts.Memory = bodies.NewMemory(defaultMemory)
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

// defaultMemory is the bound of Options.Memory in bytes if it is not set.
const defaultMemory = 256 << 20

// defaultLimit is the number of connections to one target until SetLimit is called.
const defaultLimit = 8

// SetLimit sets the maximum number of connections that this VM may open to one target.
// The minimum is 1.
func (c *Client) SetLimit(n int) { c.limit.Store(int64(max(n, 1))) }

// Do sends the request to the target at the address and returns its answer. The error is
// a *Failure.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	cn, err := c.acquire(ctx, address, r)
	if err != nil {
		return nil, &Failure{Refused: evidence.Refused(err), Cause: err}
	}
	if r.Permit != nil {
		if err := r.Permit(); err != nil {
			c.putBack(address, cn)
			return nil, &Failure{Cause: err}
		}
	}
	var answered func()
	if c.opts.Sending != nil {
		answered = c.opts.Sending()
	}
	a, keep, err := cn.exchange(ctx, &c.opts.Headers, r)
	if err == nil && answered != nil {
		answered()
	}
	var f *Failure
	if errors.As(err, &f) && f.Reset && cn.requests == 1 && ctx.Err() == nil {
		c.pauseConnecting(address)
	}
	c.release(address, cn, keep)
	return a, err
}

// pauseConnecting opens no connection to the address for resetPause. Requests that find no kept one
// are refused as not run meanwhile, or wait, in place of being lost with another reset.
func (c *Client) pauseConnecting(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	p.noneBefore = time.Now().Add(resetPause)
	time.AfterFunc(resetPause, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for len(p.waiters) > 0 {
			p.wakeNext()
		}
	})
}

// IdleAddresses returns the addresses that have an idle connection which was last used at
// most maxIdle ago. A maxIdle of zero sets no limit.
func (c *Client) IdleAddresses(maxIdle time.Duration) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make(map[string]bool, len(c.pools))
	for address, p := range c.pools {
		if len(p.idle) == 0 {
			continue
		}
		if idle := time.Since(p.idle[len(p.idle)-1].idleSince); maxIdle == 0 || idle <= maxIdle {
			addresses[address] = true
		}
	}
	return addresses
}

// Connected reports whether an idle connection to the address is open that was opened before the instant.
func (c *Client) Connected(address string, openedBefore time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	return p != nil && slices.ContainsFunc(p.idle, func(cn *conn) bool { return cn.opened.Before(openedBefore) && c.usable(cn) })
}

// AnyEnded reports whether the other side has ended an idle connection to the address that it was to keep. A process that ends
// closes all its connections; one that is full resets only those on which requests arrive. If none is seen at once, AnyEnded looks
// again after the delay.
func (c *Client) AnyEnded(address string, delay time.Duration) bool {
	idle, ended := c.ended(address)
	if ended || !idle {
		return ended
	}
	time.Sleep(delay)
	_, ended = c.ended(address)
	return ended
}

// ended reports whether there is an idle connection to the address, and whether the other side has ended one.
func (c *Client) ended(address string) (idle, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		return false, false
	}
	return len(p.idle) > 0, slices.ContainsFunc(p.idle, func(cn *conn) bool {
		return time.Since(cn.idleSince) <= c.maxIdleTime(cn) && !idleconn.Usable(cn.Conn)
	})
}

// Probe opens a connection to the address and keeps it for later requests. It does nothing if there is one already or
// none may be opened now.
func (c *Client) Probe(ctx context.Context, address string) error {
	c.mu.Lock()
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	if len(p.idle) > 0 || int64(p.open) >= c.limit.Load() {
		c.mu.Unlock()
		return nil
	}
	p.open++
	c.mu.Unlock()
	cn, err := c.dial(ctx, address, time.Now().Add(c.opts.DialTimeout))
	if err == nil {
		c.putBack(address, cn)
		return nil
	}
	c.mu.Lock()
	p.open--
	p.wakeNext()
	c.mu.Unlock()
	return err
}

// acquire returns an idle connection or opens one. While all are in use, it waits for up
// to r.MaxWait and then returns ErrBusy.
func (c *Client) acquire(ctx context.Context, address string, r *Request) (*conn, error) {
	waitUntil := time.Now().Add(r.MaxWait)
	for {
		cn, freed, err := c.tryAcquire(ctx, address, r)
		if err != ErrBusy || r.MaxWait == 0 {
			return cn, err
		}
		timer := time.NewTimer(time.Until(waitUntil))
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

// cancelWait removes a request from the waiters. If the request has already been woken,
// cancelWait wakes the next one instead.
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

// wakeNext wakes the request that has waited longest. Client.mu must be held.
func (p *pool) wakeNext() {
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// tryAcquire returns an idle connection or opens one, without waiting. If all are in use,
// it returns ErrBusy and, if the request may wait, a channel that is closed when the
// request should try again.
func (c *Client) tryAcquire(ctx context.Context, address string, r *Request) (*conn, chan struct{}, error) {
	c.mu.Lock()
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		cn := p.idle[i]
		if r.MaxIdle > 0 && time.Since(cn.idleSince) > r.MaxIdle {
			// It still serves requests that may be repeated.
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if c.usable(cn) && !slices.Contains(cn.refused, r.ID) {
			c.mu.Unlock()
			c.reused.Inc()
			return cn, nil, nil
		}
		p.open--
		cn.Close()
	}
	pausing := time.Now().Before(p.noneBefore)
	if int64(p.open) >= c.limit.Load() && len(p.idle) > 0 && !pausing {
		// The idle connections are of no use to this request; one of them makes room for a new one.
		p.open--
		p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	if int64(p.open) >= c.limit.Load() || pausing {
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
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes), memory: c.opts.Memory, opened: time.Now(), idleSince: time.Now()}, nil
}

// usable reports whether an idle connection is within its idle limit and has nothing to
// read. Readable data would be a late answer or the end of the connection.
func (c *Client) usable(cn *conn) bool {
	if time.Since(cn.idleSince) > c.maxIdleTime(cn) {
		return false
	}
	return cn.reader.Buffered() == 0 && idleconn.Usable(cn.Conn)
}

// maxIdleTime returns how long the connection may be idle: MaxIdle, or less if the target
// states a shorter idle timeout.
func (c *Client) maxIdleTime(cn *conn) time.Duration {
	if cn.idleLimit > 0 {
		return min(c.opts.MaxIdle, max(cn.idleLimit-idleMargin, cn.idleLimit/2))
	}
	return c.opts.MaxIdle
}

// release returns the connection to the pool if keep is set, and closes it otherwise.
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

// putBack returns a connection on which nothing was sent to the pool.
func (c *Client) putBack(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	p.idle = append(p.idle, cn)
	p.wakeNext()
}

// CloseIdle closes the idle connections to the address. It is called after another
// connection to the address has failed.
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

// Run closes connections that were idle too long, until the context ends. It returns nil.
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

// closeExpired closes the connections that were idle too long and removes unused pools.
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
		if p.open == 0 && len(p.waiters) == 0 && !time.Now().Before(p.noneBefore) {
			delete(c.pools, address)
		}
	}
}
