package lease

import (
	"time"

	"github.com/basiltally/basiltally/target"
)

// keptReadings is the number of clock readings of a target that are kept.
const keptReadings = 8

// reading is a target's clock reading with the instant of its receipt.
type reading struct {
	clock    target.ClockReading
	received time.Duration
}

// TargetLease is the assigner's account of the lease of one target: the clock
// readings that a grant may echo, and the latest instant at which any lease
// sent may end.
type TargetLease struct {
	lease     time.Duration
	stretched time.Duration
	readings  []reading
	end       time.Duration
}

// NewTargetLease returns an empty account for leases of the given duration.
func NewTargetLease(lease time.Duration, margin float64) *TargetLease {
	return &TargetLease{lease: lease, stretched: Stretch(lease, margin), end: DistantPast}
}

// Read takes in a clock reading received at now. A reading of a new incarnation
// discards those of the old one. It reports whether the incarnation changed.
func (l *TargetLease) Read(now time.Duration, clock target.ClockReading) bool {
	restarted := false
	if n := len(l.readings); n > 0 && l.readings[n-1].clock.Incarnation != clock.Incarnation {
		l.readings = l.readings[:0]
		restarted = true
	}
	if n := len(l.readings); n > 0 && l.readings[n-1].clock.Nanos >= clock.Nanos {
		return restarted
	}
	if len(l.readings) == keptReadings {
		l.readings = append(l.readings[:0], l.readings[1:]...)
	}
	l.readings = append(l.readings, reading{clock, now})
	return restarted
}

// Echo returns the newest reading received before supportedSince, the send
// instant of the requests that a majority answered with support. Every such
// supporter promised after the target's clock was read, so a lease counted from
// the reading, and not longer than the promise, ends before the promise does:
// this holds even if the assigner's own clock stood still in between.
func (l *TargetLease) Echo(supportedSince time.Duration) (target.ClockReading, time.Duration, bool) {
	for i := len(l.readings) - 1; i >= 0; i-- {
		if r := l.readings[i]; r.received < supportedSince {
			return r.clock, r.received, true
		}
	}
	return target.ClockReading{}, 0, false
}

// Sent notes that a lease was sent which counts from a reading received at the
// given instant, whether or not it arrives.
func (l *TargetLease) NoteSent(received time.Duration) { l.NoteEnd(received + l.stretched) }

// NoteEnd notes that a lease may last until end.
func (l *TargetLease) NoteEnd(end time.Duration) { l.end = max(l.end, end) }

// End returns the latest instant at which a lease of the target may end, or Never.
func (l *TargetLease) End() time.Duration { return l.end }

// Duration returns the duration of a lease, as the target counts it.
func (l *TargetLease) Duration() time.Duration { return l.lease }
