package assign

import (
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// Defaults of Options.
const (
	DefaultSupport         = time.Second
	DefaultLease           = time.Second
	DefaultHeartbeat       = 250 * time.Millisecond
	DefaultRateMargin      = 0.01
	DefaultLostAfter       = 750 * time.Millisecond
	DefaultStoreWait       = 300 * time.Millisecond
	DefaultStagger         = 100 * time.Millisecond
	DefaultRequestDeadline = time.Second
	DefaultViewDelay       = 250 * time.Millisecond
	DefaultCommandDeadline = 5 * time.Second
	DefaultStopDeadline    = 5 * time.Second
	DefaultReturnAfter     = 5 * time.Second
	DefaultForgetAfter     = time.Minute
	DefaultMaxMoves        = 8
	DefaultImbalance       = 0.1
	DefaultProbes          = 2
)

// Options configure a Core. Zero durations and counts take the defaults.
type Options struct {
	Group ownership.GroupID
	// Self is this VM, Incarnation the start of this process; unique among its starts.
	Self        ownership.VMID
	Incarnation uint64
	// Initial is written if the store holds no record for the group. Without it
	// the Core waits for a record to appear.
	Initial *ownership.Record
	// Support is the duration of a promise of support; equal on all VMs. Default 1 s.
	Support time.Duration
	// Lease is the longest lease of a target; cut to Support less the rate margin. Default 1 s.
	Lease time.Duration
	// Heartbeat is the interval of support requests and of renewals. Default 250 ms.
	Heartbeat time.Duration
	// RateMargin bounds by how much the rates of two clocks differ. Default 0.01.
	RateMargin float64
	// LostAfter is the time without an answer after which a target that cannot
	// be probed through peers either is lost. Default 750 ms.
	LostAfter time.Duration
	// StoreWait is how long a take-over waits for the store before it goes on in
	// the present term. Default 300 ms.
	StoreWait time.Duration
	// Stagger delays each less preferred candidate's attempt. Default 100 ms.
	Stagger time.Duration
	// RequestDeadline is the longest deadline of a request, waited out before
	// the slot of a target that does not check tokens moves. Default 1 s.
	RequestDeadline time.Duration
	// ViewDelay is the longest time that a view is assumed to take to an entry,
	// waited out for targets that do not check tokens. Default 250 ms.
	ViewDelay time.Duration
	// CommandDeadline bounds the time until a command is answered. Default 5 s.
	CommandDeadline time.Duration
	// StopDeadline bounds a planned stop. Default 5 s.
	StopDeadline time.Duration
	// ReturnAfter is how long a target that was lost must answer before it is
	// given slots again; doubled with each further loss, up to 16 times. Default 5 s.
	ReturnAfter time.Duration
	// ForgetAfter is how long a target that left the list is kept. Default 1 min.
	ForgetAfter time.Duration
	// MaxMoves limits the concurrent moves of balancing. Default 8.
	MaxMoves int
	// Imbalance is the share by which a target's slots may exceed the mean
	// before balancing moves some. Default 0.1.
	Imbalance float64
	// Probes is the number of peers asked before a target is called lost. Default 2.
	Probes int
	// HotShare is the share of the group's requests from which a key is pinned
	// automatically; zero never pins.
	HotShare float64
}

func (o Options) withDefaults() Options {
	setDuration(&o.Support, DefaultSupport)
	setDuration(&o.Lease, DefaultLease)
	setDuration(&o.Heartbeat, DefaultHeartbeat)
	setDuration(&o.LostAfter, DefaultLostAfter)
	setDuration(&o.StoreWait, DefaultStoreWait)
	setDuration(&o.Stagger, DefaultStagger)
	setDuration(&o.RequestDeadline, DefaultRequestDeadline)
	setDuration(&o.ViewDelay, DefaultViewDelay)
	setDuration(&o.CommandDeadline, DefaultCommandDeadline)
	setDuration(&o.StopDeadline, DefaultStopDeadline)
	setDuration(&o.ReturnAfter, DefaultReturnAfter)
	setDuration(&o.ForgetAfter, DefaultForgetAfter)
	if o.RateMargin == 0 {
		o.RateMargin = DefaultRateMargin
	}
	if o.MaxMoves == 0 {
		o.MaxMoves = DefaultMaxMoves
	}
	if o.Imbalance == 0 {
		o.Imbalance = DefaultImbalance
	}
	if o.Probes == 0 {
		o.Probes = DefaultProbes
	}
	return o
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
