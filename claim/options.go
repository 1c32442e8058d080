package claim

import (
	"cmp"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/store"
)

// Defaults of Options.
const (
	DefaultPartitions     = 16
	DefaultRingSlots      = 64
	DefaultRetention      = time.Hour
	DefaultAppendInterval = 100 * time.Millisecond
	DefaultStoreCallRate  = 50
	DefaultFinishDelay    = 20 * time.Millisecond
	DefaultWriteTimeout   = time.Second
	DefaultLoadTimeout    = 10 * time.Second
	DefaultCallTimeout    = time.Second
	DefaultSuspectTime    = 2 * time.Second
	DefaultDrainTimeout   = 5 * time.Second
	DefaultMaxBatch       = 1000
	DefaultMaxQueue       = 4096
	DefaultMaxBody        = 1 << 10
	// MaxMaxBody is the highest allowed Options.MaxBody in bytes.
	MaxBodyLimit = 64 << 10
)

// Options configures a Service and a Router. Zero fields take their defaults.
type Options struct {
	// Store is the platform's object API. Required.
	Store store.Store
	// Self is this VM.
	Self ownership.VMID
	// Partitions and RingSlots fix the layout of the logs for the life of a
	// deployment. Default 16 and 64.
	Partitions, RingSlots int
	// Retention is how long claims and outcomes are kept; a resend after it is a
	// new request. The clocks of the VMs must agree within a small part of it.
	// It must be the same on all VMs. Default 1 h.
	Retention time.Duration
	// AppendInterval is the least time between two appends to a partition by one
	// VM. Partitions divided by it bounds the writes per second. Default 100 ms.
	AppendInterval time.Duration
	// StoreCalls bounds the calls of the store by this VM, per second. Default 50.
	StoreCallRate int
	// FinishDelay is how long an outcome may wait for claims to share a write. Default 20 ms.
	FinishDelay time.Duration
	// WriteTimeout bounds one call of the store. Default 1 s.
	WriteTimeout time.Duration
	// LoadTimeout bounds the list that loads a partition's log. Default 10 s.
	LoadTimeout time.Duration
	// CallTimeout bounds one call of another VM. Default 1 s.
	CallTimeout time.Duration
	// SuspectTime is how long a VM that failed a call is not called. Default 2 s.
	SuspectTime time.Duration
	// DrainTimeout bounds the writing of queued operations after Run's context ends. Default 5 s.
	DrainTimeout time.Duration
	// MaxBatch is the largest number of operations in one batch. Default 1000.
	MaxBatch int
	// MaxQueue is the largest number of operations that wait in a partition. Default 4096.
	MaxQueue int
	// MaxBody is the largest body in bytes that is kept for resends; of longer
	// ones the length and a digest are kept. Default 1 KiB, at most 64 KiB.
	MaxBody int
	// Registerer receives the metrics; nil registers none.
	Registerer prometheus.Registerer
	// Logger receives changes of state. Default slog.Default().
	Logger *slog.Logger
	// Now reads the wall clock. Default time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	o.Partitions = cmp.Or(o.Partitions, DefaultPartitions)
	o.RingSlots = cmp.Or(o.RingSlots, DefaultRingSlots)
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.AppendInterval = cmp.Or(o.AppendInterval, DefaultAppendInterval)
	o.StoreCallRate = cmp.Or(o.StoreCallRate, DefaultStoreCallRate)
	o.FinishDelay = cmp.Or(o.FinishDelay, DefaultFinishDelay)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, DefaultWriteTimeout)
	o.LoadTimeout = cmp.Or(o.LoadTimeout, DefaultLoadTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.SuspectTime = cmp.Or(o.SuspectTime, DefaultSuspectTime)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, DefaultDrainTimeout)
	o.MaxBatch = cmp.Or(o.MaxBatch, DefaultMaxBatch)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	o.MaxBody = cmp.Or(o.MaxBody, DefaultMaxBody)
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// minRingSlots keeps room for a segment while the ring goes on.
const minRingSlots = 4

func (o *Options) check() error {
	switch {
	case o.Store == nil:
		return result.New(result.InvalidSettings, "claim: no store")
	case o.Partitions < 1 || o.RingSlots < minRingSlots:
		return result.New(result.InvalidSettings, "claim: %d partitions, %d ring slots", o.Partitions, o.RingSlots)
	case o.MaxBody > MaxBodyLimit:
		return result.New(result.InvalidSettings, "claim: bodies of %d bytes, at most %d", o.MaxBody, MaxBodyLimit)
	case o.Retention < 0 || o.AppendInterval < 0 || o.FinishDelay < 0:
		return result.New(result.InvalidSettings, "claim: a negative time")
	default:
		return nil
	}
}

// dispatchBy returns the latest dispatch of a claim that is asked for at the
// time start: its run must end within half of the retention.
func (o *Options) dispatchBy(start time.Time, run time.Duration) (time.Time, error) {
	window := o.Retention/2 - run
	if window <= 0 {
		return time.Time{}, result.New(result.InvalidSettings,
			"a run of %s exceeds half of the retention of claims, %s", run, o.Retention)
	}
	return start.Add(window), nil
}

// nowMS returns the wall clock in Unix milliseconds.
func (o *Options) nowMS() int64 { return o.Now().UnixMilli() }
