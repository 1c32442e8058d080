package lease

import (
	"time"

	"github.com/basiltally/basiltally/target"
)

// keptReadings is the number of clock readings kept for a target.
const keptReadings = 8

// reading is a target's clock reading and the instant at which the assigner received it.
type reading struct {
	clock    target.ClockReading
	received time.Duration
}

// TargetLease is the assigner's record of the lease of one target: the target's clock
// readings, one of which each lease has to echo, and the latest instant at which any
// lease that was sent may end.
type TargetLease struct {
	duration          time.Duration
	stretchedDuration time.Duration
	readings          []reading
	end               time.Duration
}

// NewTargetLease returns a TargetLease without readings, for leases of the given duration.
func NewTargetLease(duration time.Duration, margin float64) *TargetLease {
	return &TargetLease{duration: duration, stretchedDuration: Stretch(duration, margin), end: DistantPast}
}

// Read records a clock reading of the target that was received at now, unless it is
// not newer than the last one. A reading of a new incarnation discards the readings of the
// old one. Read reports whether the incarnation changed.
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

// Echo returns the newest reading that was received before supportedSince, and the
// instant of its receipt. The last result is false if there is none. supportedSince is the instant
// at which the requests were sent that a majority answered with support. Each of these
// supporters gave its promise after the target's clock was read. A lease that is counted
// from the reading, and is not longer than the promise, therefore ends before the promise
// does, even if the assigner's own clock stood still in between.
func (l *TargetLease) Echo(supportedSince time.Duration) (target.ClockReading, time.Duration, bool) {
	for i := len(l.readings) - 1; i >= 0; i-- {
		if r := l.readings[i]; r.received < supportedSince {
			return r.clock, r.received, true
		}
	}
	return target.ClockReading{}, 0, false
}

// NoteSent records that a lease was sent that is counted from a reading received at the
// given instant. It has to be called whether or not the lease arrives.
func (l *TargetLease) NoteSent(received time.Duration) { l.NoteEnd(received + l.stretchedDuration) }

// NoteEnd records that a lease may last until end. It never moves End to an earlier instant.
func (l *TargetLease) NoteEnd(end time.Duration) { l.end = max(l.end, end) }

// End returns the latest instant at which a lease of the target may end, or DistantPast
// if no lease was sent.
func (l *TargetLease) End() time.Duration { return l.end }

// Duration returns the duration of a lease on the target's clock.
func (l *TargetLease) Duration() time.Duration { return l.duration }
