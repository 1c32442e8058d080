// Package dispatch is the last filter: it sends the request to its target and
// receives the answer.
//
// It runs the HTTP exchange on its own connections, because a client library
// that retries by itself hides whether a byte of a request may have left.
package dispatch

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/balance"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
)

// maxBackoffDoublings bounds the suspension of dials after failures.
const maxBackoffDoublings = 6

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options of the Dispatcher.
type Options struct {
	// Dial opens connections. Default: TCP.
	Dial DialFunc
	// DialTimeout bounds one dial. Default 500 ms.
	DialTimeout time.Duration
	// DialRate is the number of dials per second to one target, with DialBurst.
	// Default 20 and 12.
	DialRate  float64
	DialBurst int
	// DialBackoff suspends dials to a target after a failure, doubled with each
	// further one up to 64 times. Default 50 ms.
	DialBackoff time.Duration
	// MaxIdle is the longest time that a connection is kept idle. Default 30 s.
	MaxIdle time.Duration
	// MaxIdleAtMostOnce is the same for at-most-once requests, which cannot be
	// sent again when the connection has gone silent meanwhile. Default 2 s.
	MaxIdleAtMostOnce time.Duration
	// SilenceTimeout is the longest wait for a byte of the answer to a short
	// idempotent request before the connection is given up. Default 500 ms.
	SilenceTimeout time.Duration
	// ProgressTimeout is the longest time without a byte of a long transfer, and
	// while a request is sent. Default 5 s.
	ProgressTimeout time.Duration
	// BufferBytes is the longest body that is read whole before the answer is
	// relayed; longer ones are streamed. Default 64 KiB.
	BufferBytes int
	// ShortSlots and BulkSlots are the most requests that this entry runs at once on
	// one target, short ones and long transfers apart. Default 4 and 1.
	ShortSlots, BulkSlots int
	// FixedSlots keeps ShortSlots and BulkSlots from falling while a target is
	// slow, for comparisons.
	FixedSlots bool
	// Region is the region of this entry. Long transfers from other regions are
	// paced to LinkBytesPerSecond per region, this entry's share of the budget of
	// the links; zero does not pace them.
	Region             string
	LinkBytesPerSecond int64
	// Observer is told of the exchanges; may be nil.
	Observer Observer
	// Metrics counts the exchanges; may be nil.
	Metrics *Metrics
	// MaxWaiting bounds the requests that wait for a slot of one target. Default 256.
	MaxWaiting int
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(prometheus.NewRegistry())
	}
	o.DialTimeout = cmp.Or(o.DialTimeout, 500*time.Millisecond)
	o.DialRate = cmp.Or(o.DialRate, 20)
	o.DialBurst = cmp.Or(o.DialBurst, 12)
	o.DialBackoff = cmp.Or(o.DialBackoff, 50*time.Millisecond)
	o.MaxIdle = cmp.Or(o.MaxIdle, 30*time.Second)
	o.MaxIdleAtMostOnce = cmp.Or(o.MaxIdleAtMostOnce, 2*time.Second)
	o.SilenceTimeout = cmp.Or(o.SilenceTimeout, 500*time.Millisecond)
	o.ProgressTimeout = cmp.Or(o.ProgressTimeout, 5*time.Second)
	o.BufferBytes = cmp.Or(o.BufferBytes, 64<<10)
	o.ShortSlots = cmp.Or(o.ShortSlots, 4)
	o.BulkSlots = cmp.Or(o.BulkSlots, 1)
	o.MaxWaiting = cmp.Or(o.MaxWaiting, 256)
	return o
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Observer learns from the exchanges how targets do.
type Observer interface {
	// Began tells that a request is bound for the target.
	Began(ownership.TargetID)
	// Ended tells that it has ended; newConnection is set unless it used a
	// connection that had been idle.
	Ended(id ownership.TargetID, err error, newConnection bool)
}

// noObserver is the Observer if there is none.
type noObserver struct{}

// Began implements Observer.
func (noObserver) Began(ownership.TargetID) {}

// Ended implements Observer.
func (noObserver) Ended(ownership.TargetID, error, bool) {}

// Dispatcher sends requests to targets. It is the last Handler of the pipeline.
type Dispatcher struct {
	opts  Options
	links *links

	mu    sync.Mutex
	lanes map[laneKey]*lane
}

// laneKey separates short requests and long transfers to a target.
type laneKey struct {
	target  ownership.TargetID
	address string
	bulk    bool
}

type lane struct {
	gate *balance.Gate
	pool *pool
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	return &Dispatcher{
		opts:  opts.withDefaults(),
		links: newLinks(opts.LinkBytesPerSecond),
		lanes: map[laneKey]*lane{},
	}
}

// Run closes idle connections until the context ends, then all idle ones.
func (d *Dispatcher) Run(ctx context.Context) error {
	tick := time.NewTicker(d.opts.MaxIdle / 4)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.closeIdle(d.opts.MaxIdle)
		case <-ctx.Done():
			d.closeIdle(0)
			return nil
		}
	}
}

func (d *Dispatcher) closeIdle(maxIdle time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lanes {
		l.pool.closeIdle(maxIdle)
	}
}

func (d *Dispatcher) lane(t *ownership.Target, bulk bool) *lane {
	key := laneKey{t.ID, t.Address, bulk}
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.lanes[key]
	if !ok {
		slots := d.opts.ShortSlots
		if bulk {
			slots = d.opts.BulkSlots
		}
		l = &lane{
			gate: d.newGate(slots),
			pool: newPool(t.Address, &d.opts),
		}
		d.lanes[key] = l
	}
	return l
}

func (d *Dispatcher) newGate(slots int) *balance.Gate {
	g := balance.NewGate(slots, d.opts.MaxWaiting)
	if d.opts.FixedSlots {
		g.SetFixedLimit(slots)
	}
	return g
}

// SetSlots changes the number of requests that this entry runs at once on a target.
func (d *Dispatcher) SetFixedSlots(t *ownership.Target, bulk bool, slots int) {
	d.lane(t, bulk).gate.SetFixedLimit(slots)
}

// Load returns the requests of this entry that run on a target and that wait for it.
func (d *Dispatcher) Load(t *ownership.Target, bulk bool) (running, waiting int) {
	return d.lane(t, bulk).gate.Load()
}

// Serve implements pipeline.Handler with one exchange.
func (d *Dispatcher) Serve(req *pipeline.Request) error {
	x := &exchange{dispatcher: d, lane: d.lane(req.Owner.Target, req.Bulk()), req: req}
	d.opts.Observer.Began(req.Owner.Target.ID)
	return x.run()
}

func (d *Dispatcher) maxIdle(req *pipeline.Request) time.Duration {
	if req.AtMostOnce() {
		return d.opts.MaxIdleAtMostOnce
	}
	return d.opts.MaxIdle
}

func connectError(req *pipeline.Request, err error) error {
	if req.Context.Err() != nil {
		return result.Wrap(result.QueueDeadline, err, "target %s", req.Owner.Target.ID)
	}
	return result.Wrap(result.ConnectFailed, err, "target %s", req.Owner.Target.ID)
}
