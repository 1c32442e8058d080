package dispatch

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/basiltally/basiltally/idleconn"
)

// readBufferBytes is the size of a connection's read buffer. It bounds the length of
// the header of a target's answer.
const readBufferBytes = 8 << 10

// errDialsSuspended reports that a target is not dialled because recent dials failed.
var errDialsSuspended = errors.New("dispatch: dials to the target are suspended after failures")

// conn is a connection to a target. One exchange uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is the instant at which the last exchange ended; zero before its end.
	idleSince time.Time
	// closing is set if the answer announces that the target closes the connection.
	closing bool
	// bytesSent counts the bytes written in the current exchange.
	bytesSent int64
}

// Write implements net.Conn and counts the bytes that may have been sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesSent += int64(n)
	return n, err
}

// pool holds the idle connections to one target in one lane and opens new ones. It
// does not limit their number, because the lane's gate does.
type pool struct {
	address     string
	dial        DialFunc
	opts        *Options
	dialLimiter *rate.Limiter

	mu       sync.Mutex
	idle     []*conn
	failures int
	// suspendedUntil is the end of the suspension of dials after failures.
	suspendedUntil time.Time
}

func newPool(address string, opts *Options) *pool {
	return &pool{
		address:     address,
		dial:        opts.Dial,
		opts:        opts,
		dialLimiter: rate.NewLimiter(rate.Limit(opts.DialRate), opts.DialBurst),
	}
}

// get returns a connection that has been idle for at most maxIdle. It opens one if
// there is none, or if newConnection is set.
func (p *pool) get(ctx context.Context, maxIdle time.Duration, newConnection bool) (*conn, error) {
	for !newConnection {
		c := p.popIdle()
		if c == nil {
			break
		}
		if time.Since(c.idleSince) <= maxIdle && idleconn.Usable(c.Conn) {
			return c, nil
		}
		c.Close()
	}
	return p.open(ctx)
}

// popIdle removes and returns the connection that became idle last, or returns nil.
func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// open opens a connection and counts the result.
func (p *pool) open(ctx context.Context) (*conn, error) {
	c, err := p.connect(ctx)
	p.opts.Metrics.countDial(err)
	return c, err
}

// connect opens a connection. It returns errDialsSuspended at once during a
// suspension, and waits while the dial rate is reached.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	if p.dialsSuspended() {
		return nil, errDialsSuspended
	}
	if err := p.dialLimiter.Wait(ctx); err != nil {
		return nil, errors.Wrap(err, "waiting for the dial rate limit")
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	nc, err := p.dial(ctx, p.address)
	p.updateSuspension(err)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc}
	c.reader = bufio.NewReaderSize(nc, readBufferBytes)
	return c, nil
}

func (p *pool) dialsSuspended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.suspendedUntil)
}

// updateSuspension suspends dials after a failure, for twice as long after each
// consecutive one.
func (p *pool) updateSuspension(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.failures = 0
		return
	}
	wait := p.opts.DialBackoff << min(p.failures, maxSuspensionDoublings)
	p.failures++
	p.suspendedUntil = time.Now().Add(wait)
}

// put returns a connection to the pool after a completed exchange.
func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// closeIdle closes the connections that have been idle for longer than maxIdle.
func (p *pool) closeIdle(maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.idleSince) > maxIdle {
			c.Close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}
