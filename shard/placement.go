package shard

import (
	"slices"

	"github.com/basiltally/basiltally/fleet"
)

// PlacementOptions configures which targets may own keys by their places. The zero value allows all.
type PlacementOptions struct {
	// Evacuated reports whether the data centre is being evacuated. Its targets get no keys, and those
	// that they own move to others. Nil means that none is.
	Evacuated func(dataCentre string) bool
	// AllowedRegions returns the regions in which the targets of the service should own keys, or false
	// if that is all. Nil means that this is so for each service.
	AllowedRegions func(service string) ([]string, bool)
}

// outsideEvacuations returns the targets that are not in data centres that are being evacuated.
func (o PlacementOptions) outsideEvacuations(targets []*fleet.Target) []*fleet.Target {
	if o.Evacuated == nil {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *fleet.Target) bool { return o.Evacuated(t.DataCentre) })
}

// inAllowedRegions returns those of the targets of the service that are in its allowed regions, given
// the region of each by ID. If none is, it returns all: requests of routes that allow other regions can
// then still be served.
func (o PlacementOptions) inAllowedRegions(service string, targets []PlanTarget, regions map[string]string) []PlanTarget {
	if o.AllowedRegions == nil {
		return targets
	}
	allowed, restricted := o.AllowedRegions(service)
	if !restricted {
		return targets
	}
	var inside []PlanTarget
	for _, t := range targets {
		if region := regions[t.Holder.ID]; region != "" && slices.Contains(allowed, region) {
			inside = append(inside, t)
		}
	}
	if len(inside) == 0 {
		return targets
	}
	return inside
}
