package eligibility

import (
	"time"

	"github.com/basiltally/basiltally/evacuation"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/residency"
)

// evacuationMargin is how long before the end of an evacuation's time the last request is sent to the
// owner of its key. It covers the way of the request, and of the entry to the store.
const evacuationMargin = time.Second

// EvacuationOptions configures what evacuations of data centres mean for requests.
type EvacuationOptions struct {
	// Set has the data centres that are being evacuated. Nil has none.
	Set *evacuation.Set
	// Stalls notices that the Set may be outdated because the process has stood still. Nil notices nothing.
	Stalls *evacuation.StallGuard
	// Time is how long after the begin of an evacuation targets may still get requests. Within it, the
	// keys of the targets move to others.
	Time time.Duration
}

// Placement states which targets a request may be sent to by their places.
type Placement struct {
	// Owner is set if the request is for a key, so that only the owner of the key can serve it.
	Owner bool
	// AllowedRegions is the list of the request's route. If it is empty, all regions are allowed.
	AllowedRegions []string
}

// PlacesKnown reports whether it is known which data centres are being evacuated. Until then no request
// may be sent.
func (t *Tracker) PlacesKnown() bool {
	return t.opts.Evacuation.Set.Listed() && t.opts.Evacuation.Stalls.Current()
}

// Restricts reports whether there may be targets that the request must not be sent to because of
// their places.
func (t *Tracker) Restricts(p Placement) bool {
	return len(p.AllowedRegions) > 0 || t.opts.Evacuation.Set.Any()
}

// DecidePlace returns whether a request may be sent to the target now, by the target's place. The
// target's region and data centre are empty if they are not known, as for the owner of a key that is
// not listed; such a target is in no allowed region, and may be in any data centre.
func (t *Tracker) DecidePlace(target *fleet.Target, p Placement) Verdict {
	if !residency.Allows(target.Region, p.AllowedRegions) {
		return Verdict{Reason: RegionNotAllowed}
	}
	since, ok := t.opts.Evacuation.Set.Since(target.DataCentre)
	if !ok {
		return Verdict{}
	}
	elapsed := t.opts.Now().Sub(since)
	if p.Owner && elapsed < t.opts.Evacuation.Time-evacuationMargin {
		return Verdict{}
	}
	return Verdict{Reason: Evacuated, Since: elapsed}
}

// TakeAt decides by PlacesKnown, then like DecidePlace and then like Take.
func (t *Tracker) TakeAt(target *fleet.Target, p Placement) Verdict {
	v := Verdict{Reason: PlacesUnknown}
	if t.PlacesKnown() {
		v = t.DecidePlace(target, p)
	}
	if !v.OK() {
		t.refused.WithLabelValues(v.Reason.String()).Inc()
		return v
	}
	return t.Take(target.Incarnation())
}
