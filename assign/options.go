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

// Options configures a Core. Zero values take the defaults, except for HotShare.
type Options struct {
	Group ownership.GroupID
	// Self is this VM.
	Self ownership.VMID
	// Incarnation identifies the start of this process, uniquely among the VM's starts.
	Incarnation uint64
	// Initial is the record written if the store holds none for the group. If it is nil,
	// the Core waits until a record appears.
	Initial *ownership.Record
	// Support is the duration of a promise of support. It must be equal on all VMs.
	// Default 1 s.
	Support time.Duration
	// Lease is the duration of a target's lease, reduced to Support less the rate margin if
	// it is longer. Default 1 s.
	Lease time.Duration
	// Heartbeat is the interval of support requests and of renewals. Default 250 ms.
	Heartbeat time.Duration
	// RateMargin is the largest fraction by which the rates of two clocks may differ.
	// Default 0.01.
	RateMargin float64
	// LostAfter is the time without an answer after which a target counts as lost if peers
	// cannot reach it either. Default 750 ms.
	LostAfter time.Duration
	// StoreWait is how long a take-over waits for the store before it continues without it,
	// in the present term. Default 300 ms.
	StoreWait time.Duration
	// Stagger is the delay of a candidate's attempt to take over per position in the
	// candidate list. Default 100 ms.
	Stagger time.Duration
	// RequestDeadline is the longest deadline of a request. It must pass before the slot of
	// a target that does not check tokens moves. Default 1 s.
	RequestDeadline time.Duration
	// ViewDelay is the longest time that a view is assumed to take to reach an entry. It is
	// waited in addition for targets that do not check tokens. Default 250 ms.
	ViewDelay time.Duration
	// CommandDeadline is the longest time until a command is answered. Default 5 s.
	CommandDeadline time.Duration
	// StopDeadline is the longest duration of a planned stop. Default 5 s.
	StopDeadline time.Duration
	// ReturnAfter is the time after which a lost target that answers again may be given
	// slots. It doubles with each further loss, up to 16 times the value. Default 5 s.
	ReturnAfter time.Duration
	// ForgetAfter is how long a target is kept after it disappeared from the list of
	// targets. Default 1 min.
	ForgetAfter time.Duration
	// MaxMoves is the largest number of concurrent moves for balancing. Default 8.
	MaxMoves int
	// Imbalance is the fraction by which a target's number of slots may exceed the mean
	// before balancing moves some. Default 0.1.
	Imbalance float64
	// Probes is the number of peers that probe a silent target. Default 2.
	Probes int
	// HotShare is the share of the group's requests from which on a key is pinned
	// automatically. Zero disables automatic pins.
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
