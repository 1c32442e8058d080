// Package dispatch provides the last handler of the pipeline, which sends the
// request to its target and receives the answer.
//
// It implements the HTTP exchange itself, because an HTTP client library that
// retries internally hides whether a byte of a request may have been sent.
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

// maxSuspensionDoublings bounds the doublings of Options.DialBackoff after
// consecutive failures.
const maxSuspensionDoublings = 6

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options are the options of a Dispatcher.
type Options struct {
	// Dial opens connections. Default: TCP.
	Dial DialFunc
	// DialTimeout bounds one dial. Default 500 ms.
	DialTimeout time.Duration
	// DialRate bounds the dials per second to one target in each lane. Default 20.
	// DialBurst is the number of dials allowed in a burst. Default 12.
	DialRate  float64
	DialBurst int
	// DialBackoff is the time for which dials to a target are suspended after a
	// failure. It doubles with each consecutive failure, up to 64 times its value.
	// Default 50 ms.
	DialBackoff time.Duration
	// MaxIdle is the longest time that a connection is kept idle. Default 30 s.
	MaxIdle time.Duration
	// MaxIdleAtMostOnce is the longest idle time of a connection that is used for an
	// at-most-once request, which cannot be sent again if the target turns out not to
	// answer on the connection. Default 2 s.
	MaxIdleAtMostOnce time.Duration
	// SilenceTimeout is the longest wait for a byte of the answer to a short
	// idempotent request before the connection is closed. Default 500 ms.
	SilenceTimeout time.Duration
	// ProgressTimeout is the longest time without a byte sent or received while a
	// request is sent, during a long transfer, and in the body of the answer to an
	// at-most-once request. Default 5 s.
	ProgressTimeout time.Duration
	// MaxBufferedBody is the length in bytes of the longest body that is read
	// completely before the answer is relayed; longer ones are streamed. Default 64 KiB.
	MaxBufferedBody int
	// ShortSlots is the highest number of short requests that this entry runs at once
	// on one target, BulkSlots that of long transfers. Default 4 and 1.
	ShortSlots, BulkSlots int
	// FixedSlots disables the reduction of ShortSlots and BulkSlots while a target is
	// slow. It is meant for comparisons.
	FixedSlots bool
	// Region is the region of this entry.
	Region string
	// LinkBytesPerSecond limits the long transfers from each other region. It is this
	// entry's share of the bandwidth of the links; zero means no limit.
	LinkBytesPerSecond int64
	// Observer is notified of the exchanges; may be nil.
	Observer Observer
	// Metrics counts the exchanges; may be nil.
	Metrics *Metrics
	// MaxWaiting bounds the number of requests that wait for a slot of one target in
	// each lane. Default 256.
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
	o.MaxBufferedBody = cmp.Or(o.MaxBufferedBody, 64<<10)
	o.ShortSlots = cmp.Or(o.ShortSlots, 4)
	o.BulkSlots = cmp.Or(o.BulkSlots, 1)
	o.MaxWaiting = cmp.Or(o.MaxWaiting, 256)
	return o
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Observer is notified of exchanges with targets, e.g. to judge the targets' health.
type Observer interface {
	// Began is called when an exchange with the target begins, before it waits for a
	// slot.
	Began(ownership.TargetID)
	// Ended is called when the exchange has ended, with a nil error after a complete
	// answer. newConnection is false if the exchange used a connection that had been idle.
	Ended(id ownership.TargetID, err error, newConnection bool)
}

// noObserver is the Observer that is used if Options.Observer is nil.
type noObserver struct{}

// Began implements Observer.
func (noObserver) Began(ownership.TargetID) {}

// Ended implements Observer.
func (noObserver) Ended(ownership.TargetID, error, bool) {}

// Dispatcher sends requests to targets. It is the last Handler of the pipeline.
type Dispatcher struct {
	opts  Options
	links *linkLimiters

	mu    sync.Mutex
	lanes map[laneKey]*lane
}

// laneKey identifies a lane: the short requests to one target, or the long transfers.
type laneKey struct {
	target  ownership.TargetID
	address string
	bulk    bool
}

// lane holds the concurrency limit and the connections for one laneKey.
type lane struct {
	gate *balance.Gate
	pool *pool
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	return &Dispatcher{
		opts:  opts.withDefaults(),
		links: newLinkLimiters(opts.LinkBytesPerSecond),
		lanes: map[laneKey]*lane{},
	}
}

// Run closes connections that were idle for longer than MaxIdle. When the context
// ends, it closes all idle connections and returns nil.
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

// SetFixedSlots sets the number of requests that this entry runs at once on a target.
// The number no longer adapts to the target's service times.
func (d *Dispatcher) SetFixedSlots(t *ownership.Target, bulk bool, slots int) {
	d.lane(t, bulk).gate.SetFixedLimit(slots)
}

// Load returns the numbers of requests of this entry that run on a target and that
// wait for a slot of it.
func (d *Dispatcher) Load(t *ownership.Target, bulk bool) (running, waiting int) {
	return d.lane(t, bulk).gate.Load()
}

// Serve implements pipeline.Handler. It runs one exchange with the request's owner.
func (d *Dispatcher) Serve(req *pipeline.Request) error {
	x := &exchange{dispatcher: d, lane: d.lane(req.Owner.Target, req.Bulk()), req: req}
	d.opts.Observer.Began(req.Owner.Target.ID)
	return x.run()
}

// maxIdle returns the longest idle time of a connection that the request may use.
func (d *Dispatcher) maxIdle(req *pipeline.Request) time.Duration {
	if req.AtMostOnce() {
		return d.opts.MaxIdleAtMostOnce
	}
	return d.opts.MaxIdle
}

func connectError(req *pipeline.Request, err error) error {
	if req.Context.Err() != nil {
		return result.Wrap(result.QueueDeadline, err,
			"the request ended while connecting to target %s", req.Owner.Target.ID)
	}
	return result.Wrap(result.ConnectFailed, err, "no connection to target %s", req.Owner.Target.ID)
}
