package gateway

import (
	"math"
	"time"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/upstream"
)

// serveUnkeyed sends the request to targets of the service until one answers or no retry is
// allowed.
func (g *Gateway) serveUnkeyed(c *call) (*upstream.Answer, *result.Error) {
	var candidates []placing.Candidate
	full, bodiesFull := false, false
	for {
		if blocked, e := g.quarantined(c); blocked {
			return nil, e
		}
		if blocked, e := g.unplaced(c); blocked {
			return nil, e
		}
		// Targets may have left while the last exchange ran.
		snapshot := g.opts.Directory.Snapshot()
		var ineligible *ineligibleTarget
		candidates, ineligible = g.candidates(snapshot, c)
		if len(candidates) == 0 && ineligible != nil && !c.mayHaveRun {
			return nil, g.ineligible(c, ineligible.target, ineligible.verdict)
		}
		choice := g.choose(c, candidates, len(snapshot.Service(c.service.Name)))
		candidate := choice.Candidate
		if candidate == nil {
			full, bodiesFull = full || choice.Full, bodiesFull || choice.BodiesFull
			break
		}
		if choice.BodiesFull {
			g.traffic.bodyLimit.WithLabelValues(bodyRedirected).Inc()
		}
		c.cause = string(choice.Cause)
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
		case stepBodiesFull:
			bodiesFull = true
		}
		if !c.mayRetry() {
			break
		}
	}
	if bodiesFull && !c.mayHaveRun {
		return nil, g.bodiesFull(c, g.timeUntilRoom(candidates), "the targets that were considered hold as many bytes of request bodies of this VM as they may")
	}
	if !c.mayHaveRun && full {
		return nil, g.noRoom(c, decisionFull, result.TargetShed, g.timeUntilRoom(candidates), "no target that was considered has room for the request")
	}
	if !c.mayHaveRun && len(c.tried) == 0 {
		return nil, refusal(result.NoTarget, noTargetRetryAfter, "no target of the service is known")
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
// also returns the ready target that will be eligible first, if any is not, or one that is excluded for
// its place, if there is no other.
func (g *Gateway) candidates(s *fleet.Snapshot, c *call) ([]placing.Candidate, *ineligibleTarget) {
	targets := s.Service(c.service.Name)
	idleAddresses := g.opts.Upstream.IdleAddresses(c.maxIdle())
	out := make([]placing.Candidate, 0, len(targets))
	add := func(t *fleet.Target) {
		candidate := g.newCandidate(t)
		candidate.Connected = idleAddresses[t.Address]
		out = append(out, candidate)
	}
	place := g.placement(c, false)
	restricted := g.opts.Eligibility.Restricts(place)
	var first, excluded *ineligibleTarget
	placed := func(t *fleet.Target) bool {
		v := eligibility.Verdict{}
		if restricted {
			v = g.opts.Eligibility.DecidePlace(t, place)
		}
		if !v.OK() {
			excluded = likelierPlace(excluded, &ineligibleTarget{t, v})
		}
		return v.OK()
	}
	anyStated := g.opts.Eligibility.HasStatements()
	for _, t := range targets {
		if t.State != fleet.Ready || !placed(t) {
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
		if placed(t) && g.opts.Eligibility.Decide(t.Incarnation()).OK() {
			add(t)
		}
	}
	if len(out) > 0 {
		return out, nil
	}
	return nil, excluded
}

// latencyShare is the share of the time until the latency target in which an answer should be expected. It is the one
// by which package admission refuses requests.
const latencyShare = 0.85

// placingQuery describes the request to the Balancer.
func (c *call) placingQuery() placing.Query {
	q := placing.Query{Bulk: c.entry.Kind.Large(), Once: !c.idempotent(), Avoid: c.tried, BodyBytes: int64(len(c.req.Body))}
	if c.entry.LatencyTarget > 0 {
		q.UntilLate = max(time.Duration(latencyShare*float64(c.entry.LatencyTarget-time.Since(c.req.Received))), 1)
	}
	return q
}

// choose places the request on one of the candidates, on a cold one if preferredCold returns any.
func (g *Gateway) choose(c *call, candidates []placing.Candidate, targets int) placing.Choice {
	if cold := g.preferredCold(c, candidates, targets); len(cold) > 0 {
		if choice := g.opts.Balancer.Choose(cold, c.placingQuery()); choice.Candidate != nil {
			return choice
		}
	}
	return g.opts.Balancer.Choose(candidates, c.placingQuery())
}

// preferredCold returns the candidates that are cold and can serve the request now, if the request is one of those that are to use
// the tokens for cold targets. Without a free slot there, it would be refused although warm targets have room. Requests that
// must not be sent twice and those with large bodies are placed as usual: other VMs may send a target too much that they do not
// know to be cold yet, and the cold targets may be in another region.
func (g *Gateway) preferredCold(c *call, candidates []placing.Candidate, targets int) []placing.Candidate {
	if len(c.tried) > 0 || !c.idempotent() || c.entry.Kind.Large() || !g.opts.Eligibility.WarmUp().Prefers(c.service.Name, targets) {
		return nil
	}
	var cold []placing.Candidate
	for i := range candidates {
		candidate := &candidates[i]
		if _, _, ok := g.opts.Eligibility.WarmUp().Cold(candidate.ID); !ok {
			continue
		}
		work, wait := g.opts.Balancer.Expected(candidate)
		if wait == 0 && work+g.opts.Balancer.RoundTrip(candidate) < c.timeLeft() {
			cold = append(cold, *candidate)
		}
	}
	return cold
}

func (g *Gateway) newCandidate(t *fleet.Target) placing.Candidate {
	c := placing.Candidate{
		ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, Region: t.Region, Slots: t.Slots, ColdUntil: t.FirstSeen.Add(t.WarmUpLeft),
	}
	if until, _, cold := g.opts.Eligibility.WarmUp().Cold(t.ID); cold {
		c.ColdUntil = until
	}
	return c
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
