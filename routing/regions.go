package routing

import (
	"slices"

	"github.com/basiltally/basiltally/residency"
)

// AllowedRegions returns the regions that are allowed by all routes of the service that have a list of
// allowed regions. It returns false if none has. Routes that send the service no requests do not count.
func (t *Table) AllowedRegions(service string) ([]string, bool) {
	var lists [][]string
	for _, entries := range t.hosts {
		for _, e := range entries {
			if e.Unserved == "" && e.leadsTo(service) {
				lists = append(lists, e.AllowedRegions)
			}
		}
	}
	return residency.Intersect(lists...)
}

// leadsTo reports whether the route sends requests to the service.
func (e *Entry) leadsTo(service string) bool {
	for _, s := range e.Services {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Serves reports whether any requests of the route are sent to the service. One with a very small share gets none, because the
// order by which the requests are divided is bounded in length. It is false for a route whose requests are refused.
func (e *Entry) Serves(service string) bool {
	return slices.ContainsFunc(e.order, func(i uint8) bool { return e.Services[i].Service == service })
}
