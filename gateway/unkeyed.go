package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/upstream"
)

// serveUnkeyed sends the request to targets of the service until one answers or no retry is
// allowed.
func (g *Gateway) serveUnkeyed(c *call) (*upstream.Answer, *result.Error) {
	var candidates []placing.Candidate
	full := false
	for {
		if blocked, e := g.quarantined(c); blocked {
			return nil, e
		}
		// Targets may have left while the last exchange ran.
		snapshot := g.opts.Directory.Snapshot()
		var ineligible *ineligibleTarget
		candidates, ineligible = g.candidates(snapshot, c)
		if len(candidates) == 0 && ineligible != nil && !c.mayHaveRun {
			return nil, g.ineligible(c, ineligible.target, ineligible.verdict)
		}
		candidate := g.opts.Balancer.Pick(candidates, c.entry.Kind.Large(), c.tried)
		if candidate == nil {
			break
		}
		if e := g.admit(c, snapshot.ByID[candidate.ID]); e != nil {
			return nil, e
		}
		if c.attempts > 0 && !g.opts.Budget.AllowRetry(c.service.Name) {
			break
		}
		a, s := g.exchange(c, snapshot.ByID[candidate.ID])
		switch s {
		case stepDone:
			return a, nil
		case stepNoAnswer:
			return nil, g.failure(c)
		case stepFull:
			full = true
		}
		if !c.mayRetry() {
			break
		}
	}
	if !c.mayHaveRun && len(c.tried) == 0 {
		return nil, refusal(result.NoTarget, noTargetRetryAfter, "no target of the service is known")
	}
	if !c.mayHaveRun && full {
		return nil, g.noRoom(c, decisionFull, result.TargetShed, g.timeUntilRoom(candidates), "no target that was tried has room for the request")
	}
	return nil, g.failure(c)
}

// ineligibleTarget is a target that must not get a request, with the reason.
type ineligibleTarget struct {
	target  *fleet.Target
	verdict eligibility.Verdict
}

// candidates returns the targets of the call's service that accept requests: those that are
// ready and eligible or, if none is ready, those that leave and are still eligible. It
// also returns the ready target that will be eligible first, if any is not.
func (g *Gateway) candidates(s *fleet.Snapshot, c *call) ([]placing.Candidate, *ineligibleTarget) {
	targets := s.Service(c.service.Name)
	idleAddresses := g.opts.Upstream.IdleAddresses(c.maxIdle())
	out := make([]placing.Candidate, 0, len(targets))
	add := func(t *fleet.Target) {
		candidate := newCandidate(t)
		candidate.Connected = idleAddresses[t.Address]
		out = append(out, candidate)
	}
	var first *ineligibleTarget
	anyStated := g.opts.Eligibility.HasStatements()
	for _, t := range targets {
		if t.State != fleet.Ready {
			continue
		}
		if !anyStated {
			add(t)
			continue
		}
		v := g.opts.Eligibility.Decide(t.Incarnation())
		if v.OK() {
			add(t)
		} else if first == nil || v.RetryIn < first.verdict.RetryIn {
			first = &ineligibleTarget{t, v}
		}
	}
	if len(out) > 0 || first != nil {
		return out, first
	}
	for _, t := range targets {
		if g.opts.Eligibility.Decide(t.Incarnation()).OK() {
			add(t)
		}
	}
	return out, nil
}

// anyTarget reports whether a target of any of the route's services is known.
func (g *Gateway) anyTarget(e *routing.Entry) bool {
	s := g.opts.Directory.Snapshot()
	return slices.ContainsFunc(e.Services, func(w routing.WeightedService) bool { return len(s.Service(w.Service)) > 0 })
}

func newCandidate(t *fleet.Target) placing.Candidate {
	return placing.Candidate{
		ID: t.ID, DataCentre: t.DataCentre, Region: t.Region, Slots: t.Slots, ColdUntil: t.FirstSeen.Add(t.WarmUpLeft),
	}
}

// timeUntilRoom estimates the time until the least busy candidate has room for a request.
func (g *Gateway) timeUntilRoom(candidates []placing.Candidate) time.Duration {
	least := time.Duration(math.MaxInt64)
	for i := range candidates {
		work, wait := g.opts.Balancer.Expected(&candidates[i])
		least = min(least, work+wait)
	}
	return least
}
