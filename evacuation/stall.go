package evacuation

import (
	"sync/atomic"
	"time"
)

// StallGuard notices that the process has stood still, as when its VM was suspended. What it knew before
// may then be older than the time within which a VM must know of an evacuation. A nil StallGuard
// notices nothing. It is safe for concurrent use.
type StallGuard struct {
	limit time.Duration
	// now is a clock that goes on while the VM is suspended.
	now func() time.Duration
	// beat is the instant of the last call of Beat.
	beat atomic.Int64
	// resumed is the instant at which the process went on after it had stood still, or zero once it is
	// confirmed that it knows all changes up to then.
	resumed atomic.Int64
}

// NewStallGuard returns a StallGuard for pauses that are longer than the limit. The clock must go on
// while the VM is suspended.
func NewStallGuard(limit time.Duration, now func() time.Duration) *StallGuard {
	g := &StallGuard{limit: limit, now: now}
	g.beat.Store(int64(now()))
	return g
}

// Current reports whether the process has not stood still, or is confirmed to know all changes since.
func (g *StallGuard) Current() bool {
	return g == nil || g.resumed.Load() == 0 && g.now()-time.Duration(g.beat.Load()) <= g.limit
}

// Beat is called at intervals that are much shorter than the limit. It returns the instant from which a
// confirmation is needed, or false if none is.
func (g *StallGuard) Beat() (time.Duration, bool) {
	now := g.now()
	if now-time.Duration(g.beat.Load()) > g.limit {
		g.Doubt()
	}
	g.beat.Store(int64(now))
	resumed := g.resumed.Load()
	return time.Duration(resumed), resumed != 0
}

// Doubt records that what the process knows needs a confirmation.
func (g *StallGuard) Doubt() { g.resumed.Store(int64(g.now())) }

// Confirm records that the process knows all changes up to the instant that Beat returned, unless it
// has stood still again since.
func (g *StallGuard) Confirm(resumed time.Duration) { g.resumed.CompareAndSwap(int64(resumed), 0) }
