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
	// MaxBodyLimit is the largest value of Options.MaxBody, in bytes.
	MaxBodyLimit = 64 << 10
)

// Options configures a Service and a Router. Zero fields take their defaults.
type Options struct {
	// Store is the platform's object API. Required.
	Store store.Store
	// Self is the id of this VM.
	Self ownership.VMID
	// Partitions is the number of claim logs, and RingSlots the number of batches that
	// each keeps as single objects, at least 4. Neither can change during the life of a
	// deployment. Default 16 partitions and 64 ring slots.
	Partitions, RingSlots int
	// Retention is how long claims and outcomes are kept; a resend after it counts as
	// a new request. It must be the same on all VMs, and their clocks must agree
	// within a small part of it. Default 1 h.
	Retention time.Duration
	// AppendInterval is the minimum time between two appends to a partition by one
	// VM. Partitions divided by AppendInterval bounds the writes per second.
	// Default 100 ms.
	AppendInterval time.Duration
	// StoreCallRate is the maximum number of store calls per second by this VM. Default 50.
	StoreCallRate int
	// FinishDelay is how long an outcome waits for claims with which it shares a write.
	// Default 20 ms.
	FinishDelay time.Duration
	// WriteTimeout bounds one store call other than a list. Default 1 s.
	WriteTimeout time.Duration
	// LoadTimeout bounds the list call that loads a partition's log. Default 10 s.
	LoadTimeout time.Duration
	// CallTimeout bounds one call of another VM. Default 1 s.
	CallTimeout time.Duration
	// SuspectTime is how long a VM is not called after a call to it failed. Default 2 s.
	SuspectTime time.Duration
	// DrainTimeout bounds the appends of queued operations after the context of Service.Run
	// ended. Default 5 s.
	DrainTimeout time.Duration
	// MaxBatch is the largest number of operations in one batch. Default 1000.
	MaxBatch int
	// MaxQueue is the largest number of operations queued for a partition. Default 4096.
	MaxQueue int
	// MaxBody is the size in bytes of the largest body that is recorded for resends. Of
	// a longer body only the length and a digest are recorded. Default 1 KiB, at most 64 KiB.
	MaxBody int
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Logger logs a rollback of the store. Default slog.Default().
	Logger *slog.Logger
	// Now returns the wall clock time. Default time.Now.
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

// minRingSlots is the smallest Options.RingSlots. It leaves free slots for appends while half of the
// ring is copied to a segment.
const minRingSlots = 4

func (o *Options) check() error {
	switch {
	case o.Store == nil:
		return result.New(result.InvalidSettings, "claim: Store is not set")
	case o.Partitions < 1 || o.RingSlots < minRingSlots:
		return result.New(result.InvalidSettings, "claim: invalid number of partitions %d or of ring slots %d", o.Partitions, o.RingSlots)
	case o.MaxBody > MaxBodyLimit:
		return result.New(result.InvalidSettings, "claim: MaxBody of %d bytes exceeds the limit of %d", o.MaxBody, MaxBodyLimit)
	case o.Retention < 0 || o.AppendInterval < 0 || o.FinishDelay < 0:
		return result.New(result.InvalidSettings, "claim: Retention, AppendInterval or FinishDelay is negative")
	default:
		return nil
	}
}

// latestDispatch returns the latest dispatch time of a claim requested at the time
// start, so that its run ends within half of the retention. It returns an error if
// the run alone takes as long as that.
func (o *Options) latestDispatch(start time.Time, run time.Duration) (time.Time, error) {
	window := o.Retention/2 - run
	if window <= 0 {
		return time.Time{}, result.New(result.InvalidSettings,
			"a maximum run time of %s is not below half of the retention of claims, %s", run, o.Retention)
	}
	return start.Add(window), nil
}

// nowMS returns the wall clock time in Unix milliseconds.
func (o *Options) nowMS() int64 { return o.Now().UnixMilli() }
