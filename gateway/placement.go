package gateway

import (
	"strings"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/shard"
)

// placement returns which targets the request may be sent to by their places. The list of allowed
// regions is that of the configuration in force, which may have changed since the request came. If its route is gone or not
// valid, the last list counts.
func (g *Gateway) placement(c *call, keyed bool) eligibility.Placement {
	e := c.entry
	if t := g.opts.Routes(); t != nil && t.Config.Version != c.configVersion {
		if now := t.Lookup(string(c.req.Header.Host()), requestPath(c.req)); now != nil && now.Unserved == "" {
			e = now
		}
	}
	return eligibility.Placement{Owner: keyed, AllowedRegions: e.AllowedRegions}
}

// placesUnknown returns the error for a request that may not be sent to any target at present.
func placesUnknown() *result.Error {
	return configRefusal("the data centres that are being evacuated are not known yet")
}

// permit decides, right before the first byte of the request is written, whether it may be sent to
// the target. It returns nil if it may.
func (g *Gateway) permit(c *call, t *fleet.Target) error {
	if v := g.opts.Eligibility.TakeAt(t, g.placement(c, c.service.Keyed)); !v.OK() {
		return v
	}
	if g.opts.TargetsKnownAgo != nil {
		if ago, ok := g.opts.TargetsKnownAgo(); ok {
			g.knownAgo.Observe(ago.Seconds())
			c.knownAgo.Store(int64(ago))
		}
	}
	return nil
}

// misplaced returns the error for a request that must not be sent to the target because of its
// place.
func (g *Gateway) misplaced(c *call, t *fleet.Target, p eligibility.Placement, v eligibility.Verdict) *result.Error {
	if v.Reason == eligibility.RegionNotAllowed {
		allowed := strings.Join(p.AllowedRegions, ", ")
		if p.Owner {
			return refusal(result.RegionNotAllowed, noTargetRetryAfter, "the owner of the key, target %s, is in region %q; allowed: %s",
				t.ID, t.Region, allowed)
		}
		return refusal(result.RegionNotAllowed, noTargetRetryAfter, "no target of service %s is in an allowed region; allowed: %s", t.Service, allowed)
	}
	if p.Owner {
		return refusal(result.Evacuated, leavingRetryAfter, "the owner of the key, target %s, is in data centre %q; being evacuated: %s",
			t.ID, t.DataCentre, strings.Join(g.opts.Evacuations.DataCentres(), ", "))
	}
	return refusal(result.Evacuated, noTargetRetryAfter,
		"all targets of service %s that the request may be sent to are in data centres that are being evacuated", t.Service)
}

// likelierPlace returns the verdict that tells more about why no target can serve a request: an
// evacuation ends, while a target in a region that is not allowed never serves.
func likelierPlace(known, next *ineligibleTarget) *ineligibleTarget {
	if known == nil || known.verdict.Reason == eligibility.RegionNotAllowed && next.verdict.Reason == eligibility.Evacuated {
		return next
	}
	return known
}

// noPlace returns the error for a request for the service of which no target may get it because of
// its place. It returns nil if a target may, or if none is known.
func (g *Gateway) noPlace(c *call, service string, p eligibility.Placement) *result.Error {
	if !g.opts.Eligibility.Restricts(p) {
		return nil
	}
	// An owner that still gets requests during an evacuation is no place for a key that has none.
	p.Owner = false
	var excluded *ineligibleTarget
	for _, t := range g.opts.Directory.Snapshot().Service(service) {
		v := g.opts.Eligibility.DecidePlace(t, p)
		if v.OK() {
			return nil
		}
		excluded = likelierPlace(excluded, &ineligibleTarget{t, v})
	}
	if excluded == nil {
		return nil
	}
	return g.misplaced(c, excluded.target, p, excluded.verdict)
}

// unplaced reports whether the request may not be sent anywhere because it is not known which data
// centres are being evacuated. The error is what the caller is answered; it is nil if a failed answer of a
// target is to be passed on.
func (g *Gateway) unplaced(c *call) (bool, *result.Error) {
	switch {
	case g.opts.Eligibility.PlacesKnown():
		return false, nil
	case c.mayHaveRun:
		return true, g.failure(c)
	default:
		return true, placesUnknown()
	}
}

// checkKeyPlace returns the error for a request for the key that cannot be served because of the
// place of the key's owner or, while the key has none, of all targets. It returns nil if it may be served.
func (g *Gateway) checkKeyPlace(c *call, service string, key shard.Key, p eligibility.Placement) *result.Error {
	if !g.opts.Eligibility.Restricts(p) {
		return nil
	}
	var entry *shard.Entry
	if table := g.opts.Shards.Table(service); table != nil {
		entry = table.Find(key)
	}
	if entry == nil || !entry.Held {
		return g.noPlace(c, service, p)
	}
	t := g.ownerTarget(service, entry)
	if v := g.opts.Eligibility.DecidePlace(t, p); !v.OK() {
		return g.misplaced(c, t, p, v)
	}
	return nil
}

// checkPlaces returns the error for a request that none of its route's services can serve because of
// the places of their targets. Which of the services gets the request is not decided yet.
func (g *Gateway) checkPlaces(c *call, t *routing.Table) *result.Error {
	var first *result.Error
	for _, w := range c.entry.Services {
		s := t.Service(w.Service)
		if w.Weight == 0 || s == nil {
			continue
		}
		e := g.checkPlace(c, s)
		if e == nil {
			return nil
		}
		if first == nil {
			first = e
		}
	}
	return first
}

func (g *Gateway) checkPlace(c *call, s *routing.Service) *result.Error {
	p := g.placement(c, s.Keyed)
	if !s.Keyed {
		return g.noPlace(c, s.Name, p)
	}
	key, e := g.requestKey(c)
	if e != nil {
		return nil // The request is refused for its key.
	}
	return g.checkKeyPlace(c, s.Name, key, p)
}
