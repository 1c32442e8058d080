package configcheck

import (
	"slices"
	"strings"
	"time"

	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/routing"
)

const (
	// minHeaderBytes is the least header buffer of package ingress. Headers up to this size are accepted whatever the limit.
	minHeaderBytes = 4 << 10
	// routeTimeout is the timeout that package gateway applies to routes that set none.
	routeTimeout = 30 * time.Second
)

// entryOf returns the table's entry for the host and prefix of the route: its own, or that of an earlier route with both. It is nil
// if the route is left out.
func (c *checker) entryOf(r routing.Route) *routing.Entry {
	prefix := r.Prefix
	// The table adds the slash unless the decoder has found that the route cannot be served.
	if r.Unserved == "" && !strings.HasSuffix(prefix, "/") {
		prefix += "/"
	}
	return c.table.Lookup(r.Host, prefix)
}

// checkRoutes checks routes by themselves and against each other.
func (c *checker) checkRoutes() {
	if len(c.config.Routes) == 0 {
		c.add(Warning, "no-routes", platform.PartConfig, "there are no routes, so that all requests are refused")
	}
	first := map[*routing.Entry]string{}
	names := map[string]bool{}
	for _, r := range c.config.Routes {
		part := routePart(r.Name)
		if names[r.Name] {
			c.add(Warning, "repeated-name", part, "several routes have this name, so that logs and metrics do not tell them apart")
		}
		names[r.Name] = true
		if e := c.entryOf(r); e != nil {
			if earlier, hidden := first[e]; hidden {
				c.add(Warning, "hidden-route", part, "never matches: route %q is listed before it with the same host and path prefix", earlier)
			} else {
				first[e] = r.Name
				c.checkShares(part, e)
			}
		}
		if strings.ContainsAny(r.Host, "*/ ") || strings.ContainsAny(r.Prefix, "?#") {
			c.add(Warning, "unmatchable", part, "host %q and path prefix %q can match no request: hosts have no wildcard, scheme or path, and paths no query",
				r.Host, r.Prefix)
		}
		c.checkTimes(part, r)
		if r.MaxAttempts == 0 {
			c.add(Warning, "max-attempts", part, "%s is 0 or missing; requests are sent once at most", platform.FieldMaxAttempts)
		}
		if slices.Contains(r.AllowedRegions, "") {
			c.add(Warning, "empty-region", part, "%s has an empty name, which no target's region matches", platform.FieldAllowedRegions)
		}
	}
}

// checkTimes compares a route's timeout with its latency target.
func (c *checker) checkTimes(part string, r routing.Route) {
	timeout, source := r.Timeout, "the timeout"
	if timeout == 0 {
		timeout, source = routeTimeout, "the timeout of routes that set none,"
	}
	if timeout < r.LatencyTarget {
		c.add(Warning, "timeout", part, "%s %s is below %s %s", source, timeout, platform.FieldLatencyTarget, r.LatencyTarget)
	}
}

// checkShares checks how the route's requests are divided.
func (c *checker) checkShares(part string, e *routing.Entry) {
	seen := map[string]bool{}
	for _, s := range e.Services {
		switch {
		case seen[s.Service]:
			c.add(Warning, "repeated-service", part, "service %q is listed more than once; its weights add up", s.Service)
		case s.Weight == 0:
			c.add(Warning, "no-share", part, "service %q has weight 0 and gets no requests", s.Service)
		case e.Unserved == "" && !e.Serves(s.Service):
			c.add(Warning, "no-share", part, "the weight %d of service %q is too small against the others; it gets no requests", s.Weight, s.Service)
		}
		seen[s.Service] = true
	}
}

// routesTo returns the routes that send requests to the service, or would if theirs were not refused for another reason.
func (c *checker) routesTo(service string) (out []*routing.Entry) {
	for _, r := range c.config.Routes {
		e := c.entryOf(r)
		if e == nil || slices.Contains(out, e) {
			continue
		}
		named := slices.ContainsFunc(e.Services, func(s routing.WeightedService) bool { return s.Service == service && s.Weight > 0 })
		if e.Serves(service) || e.Unserved != "" && named {
			out = append(out, e)
		}
	}
	return out
}

// checkServices checks services by themselves and against the routes that lead to them.
func (c *checker) checkServices() {
	names := map[string]bool{}
	lowest := 0
	for _, s := range c.config.Services {
		if s.MaxConnections > 0 && (lowest == 0 || s.MaxConnections < lowest) {
			lowest = s.MaxConnections
		}
	}
	for _, s := range c.config.Services {
		part := servicePart(s.Name)
		if names[s.Name] {
			c.add(Warning, "repeated-name", part, "the service is listed more than once; the last entry is in force")
		}
		names[s.Name] = true
		if s.MaxConnections > lowest {
			c.add(Information, "max-conns", part, "%s is %d, but the lowest of all services, %d, holds for all targets", platform.FieldMaxConnections, s.MaxConnections, lowest)
		}
		switch {
		case s.ColdTime > 0 && s.ColdPerSecond == 0:
			c.add(Warning, "warm-up", part, "%s is %s without %s; requests to cold targets are not bounded",
				platform.FieldColdTime, s.ColdTime, platform.FieldColdPerSecond)
		case s.ColdTime == 0 && s.ColdPerSecond > 0:
			c.add(Warning, "warm-up", part, "%s without %s; it holds only for warm-ups that targets state themselves",
				platform.FieldColdPerSecond, platform.FieldColdTime)
		}
		if s.WarmUp > 0 && !s.Keyed {
			c.add(Warning, "warm", part, "warm has no effect on a service that is not sharded")
		}
		c.checkRoutesOf(s)
	}
}

// checkRoutesOf compares the routes of one service with each other.
func (c *checker) checkRoutesOf(s routing.Service) {
	part := servicePart(s.Name)
	routes := c.routesTo(s.Name)
	if len(routes) == 0 {
		c.add(Warning, "unused-service", part, "no route sends requests to it")
		return
	}
	if regions, restricted := c.table.AllowedRegions(s.Name); s.Keyed && restricted && len(regions) == 0 && len(routes) > 1 {
		c.add(Warning, "no-common-region", part, "the %s of its routes have none in common; whichever region owns a key, some requests for it are refused",
			platform.FieldAllowedRegions)
	}
	priority := routes[0].Priority
	if priority > 0 && !slices.ContainsFunc(routes, func(e *routing.Entry) bool { return e.Priority != priority }) {
		c.add(Information, "priority", part, "all its routes have priority %d, so that it makes no difference", priority)
	}
}

// checkLimits checks the limits on callers.
func (c *checker) checkLimits() {
	l := c.config.Limits
	if l.HeaderBytes < minHeaderBytes {
		c.add(Warning, "header-limit", platform.PartLimits, "%s %d has no effect: headers of up to %d bytes are accepted",
			platform.FieldHeaderBytes, l.HeaderBytes, minHeaderBytes)
	}
	uploads := slices.ContainsFunc(c.config.Routes, func(r routing.Route) bool { return r.Kind == routing.Upload })
	if uploads && l.BodyBytes < l.HeaderBytes {
		c.add(Warning, "body-limit", platform.PartLimits, "%s %d is below %s %d although there are routes for uploads",
			platform.FieldBodyBytes, l.BodyBytes, platform.FieldHeaderBytes, l.HeaderBytes)
	}
}
