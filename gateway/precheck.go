package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/routing"
)

// Precheck implements ingress.Handler. It refuses requests without a route, without time left,
// without any target, without one in a place that the request may be sent to, or that no target can serve in time.
func (g *Gateway) Precheck(r *ingress.Request) (*ingress.Response, time.Time) {
	c := g.newCall(context.Background(), r)
	t, e := g.findRoute(c)
	switch {
	case e != nil:
	case c.timeLeft() <= minAttemptTime:
		e = result.New(result.QueueDeadline, "the caller waits for %d ms more", c.timeLeft().Milliseconds())
	case !g.anyTarget(c.entry):
		e = refusal(result.NoTarget, noTargetRetryAfter, "no target of the route's services is known")
	default:
		if e = g.checkPlaces(c, t); e == nil {
			e = g.refuseBeforeBody(c, t)
		}
	}
	if e == nil {
		return nil, c.deadline
	}
	return g.finish(c, nil, e), time.Time{}
}

// anyTarget reports whether a target of any of the route's services is known.
func (g *Gateway) anyTarget(e *routing.Entry) bool {
	s := g.opts.Directory.Snapshot()
	return slices.ContainsFunc(e.Services, func(w routing.WeightedService) bool { return len(s.Service(w.Service)) > 0 })
}

// Refuse implements ingress.Handler.
func (g *Gateway) Refuse(r *ingress.Request, cause ingress.RefusalCause) *ingress.Response {
	c := g.newCall(context.Background(), r)
	e := refusal(result.QueueFull, noMemoryRetryAfter, "the bodies of other requests and answers take the memory of this VM")
	if cause == ingress.Stopping {
		e = result.New(result.EntryDraining, "this VM is stopping")
		e.RetryAfter = stoppingRetryAfter
	}
	if _, routeError := g.findRoute(c); routeError != nil {
		e = routeError
	}
	return g.finish(c, nil, e)
}
