package gateway

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/upstream"
)

// step is how the request proceeds after an exchange with a target.
type step int

const (
	// stepDone ends the request with the target's answer.
	stepDone step = iota
	// stepTryOther means that the exchange failed and another target may be tried.
	stepTryOther
	// stepNotOwner means that the target does not own the key.
	stepNotOwner
	// stepFull means that the target has no room.
	stepFull
	// stepUnreachable means that no connection to the target could be opened.
	stepUnreachable
	// stepNoAnswer ends the request without an answer of a target.
	stepNoAnswer
	// stepIneligible means that the request was not sent because the target must not get it.
	stepIneligible
	// stepBodiesFull means that the request was not sent because of the bodies in flight at the target.
	stepBodiesFull
)

// exchange sends the request to a target and records the outcome. The answer is nil if there
// was none.
func (g *Gateway) exchange(c *call, t *fleet.Target) (*upstream.Answer, step) {
	r := &upstream.Request{
		ID: c.id, Method: c.method, URI: string(c.req.Header.RequestURI()), Header: c.forwardedHeader, Body: c.req.Body,
		TargetID: t.ID, Deadline: c.deadline,
		Permit: func() error { return g.permit(c, t) },
	}
	r.MaxIdle = c.maxIdle()
	if c.service.Keyed {
		// No other target can serve the request while all connections to the owner are in use.
		r.MaxWait = c.timeLeft() / connectionWaitDivisor
	}
	// An at-most-once request is finished even if its caller has disconnected.
	ctx := c.ctx
	if !c.idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	expected := g.expectedWork(t)
	candidate := g.newCandidate(t)
	candidate.Keyed = c.service.Keyed
	c.tried = append(c.tried, t.ID)
	number, ok := g.opts.Balancer.BeginBody(&candidate, int64(len(c.req.Body)))
	if !ok {
		return nil, stepBodiesFull
	}
	if g.opts.Crashes != nil {
		g.opts.Crashes.begin(t, c.content)
	}
	sent := time.Now()
	a, err := g.opts.Upstream.Do(ctx, t.Address, r)
	f, _ := err.(*upstream.Failure)
	probablyFull := f != nil && f.Reset && g.opts.Balancer.ProbablyFull(t.ID, number)
	ended := f != nil && f.Reset && (probablyFull || g.opts.Eligibility.WarmUp() != nil) && g.opts.Upstream.AnyEnded(t.Address, endedDelay)
	full := probablyFull && !ended
	if g.opts.Crashes != nil {
		// A target that is probably full need not be probed: a probe would be one more connection to it.
		g.opts.Crashes.end(t, c.content, a, f, ctx.Err() != nil || full)
	}
	if f == nil || f.Call().MayBeDone() {
		g.traffic.count(c, &candidate, r, a)
	}
	if err == nil && a.Statements != nil {
		g.observe(c, t, a.Statements)
	}
	g.observeRestart(t, f, ended)
	o, s := g.classify(c, t, a, f, full)
	if f != nil && f.Call().MayBeDone() && !f.Reset {
		// The target may work on the request until its deadline, although the connection is closed.
		o.BodyHeldUntil = c.deadline
	}
	g.opts.Balancer.End(t.ID, number, o)
	if s == stepDone {
		g.learnWork(c, a, time.Since(sent), expected)
	}
	g.logAttempt(c, t, a, err, s)
	g.attempts.WithLabelValues(stepNames[s]).Inc()
	return a, s
}

// malformedLogInterval is the least time between two log lines on malformed statements.
const malformedLogInterval = time.Second

// observe passes on what the target states of itself in an answer.
func (g *Gateway) observe(c *call, t *fleet.Target, s *upstream.Statements) {
	g.opts.Eligibility.Observe(eligibility.Statement{
		Incarnation: t.Incarnation(), LimitPerSecond: s.LimitPerSecond, LimitUnclear: s.LimitUnclear, Age: time.Since(s.ReceivedAt), Pause: s.Pause,
	}, c.id)
	if s.Leaving && g.opts.Directory.RecordLeaving(t.Incarnation()) {
		g.opts.Logger.Info("target states that it leaves", "target", t.ID, "born", t.Born, "request", c.id)
	}
	if len(s.Malformed) == 0 {
		return
	}
	now, last := time.Now().UnixNano(), g.malformedLoggedAt.Load()
	if now-last >= int64(malformedLogInterval) && g.malformedLoggedAt.CompareAndSwap(last, now) {
		g.opts.Logger.Warn("malformed statement of target ignored", "id", c.id, "target", t.ID, "born", t.Born, "values", s.Malformed)
	}
}

// stepNames holds the values of the metric label and log key "outcome".
var stepNames = map[step]string{
	stepDone: "answered", stepTryOther: "failed", stepNotOwner: "moved",
	stepFull: "full", stepUnreachable: "unreachable", stepNoAnswer: "over", stepIneligible: "ineligible",
}

// logAttempt logs an exchange that did not give the final answer.
func (g *Gateway) logAttempt(c *call, t *fleet.Target, a *upstream.Answer, err error, s step) {
	if s == stepDone {
		return
	}
	attrs := []any{
		"id", c.id, "target", t.ID, "outcome", stepNames[s], "attempt", len(c.tried), "left_ms", c.timeLeft().Milliseconds(),
		"known_ms_ago", time.Duration(c.knownAgo.Load()).Milliseconds(),
	}
	if err != nil {
		attrs = append(attrs, "error", err.Error(), "fingerprint", hex.EncodeToString(c.content[:]))
	} else {
		attrs = append(attrs, "status", a.Status, "not_run", a.NotRun)
	}
	g.opts.Logger.Info("attempt", attrs...)
}

// classify returns what an exchange means for the target's statistics and how the request
// proceeds. It also updates the call's attempts, mayHaveRun and failedAnswer. full is set if a reset is put down to the
// target's load.
func (g *Gateway) classify(c *call, t *fleet.Target, a *upstream.Answer, f *upstream.Failure, full bool) (placing.Outcome, step) {
	if f != nil {
		return g.classifyFailure(c, t, f, full)
	}
	c.attempts++
	candidate := g.newCandidate(t)
	o := placing.Outcome{Answered: true, RoundTrip: g.opts.Balancer.RoundTrip(&candidate)}
	if a.Load != nil {
		o.LoadKnown, o.Running, o.Waiting, o.WorkPercent = true, a.Load.Running, a.Load.Waiting, a.Load.WorkPercent
	}
	switch {
	case a.NotRun && a.Status == fasthttp.StatusMisdirectedRequest:
		o.Refused = true
		return o, stepNotOwner
	case a.NotRun:
		o.Refused = true
		// A refusal for another reason, such as a limit, shows nothing of the room at the target.
		o.Full = a.Load != nil && t.Slots > 0 && a.Load.Running+a.Load.Waiting >= t.Slots
		return o, stepFull
	case a.Status >= fasthttp.StatusInternalServerError:
		o.Failed = true
		c.mayHaveRun = true
		c.failedAnswer = a
		if c.idempotent() {
			return o, stepTryOther
		}
		return o, stepDone
	default:
		return o, stepDone
	}
}

func (g *Gateway) classifyFailure(c *call, t *fleet.Target, f *upstream.Failure, full bool) (placing.Outcome, step) {
	if !f.Call().MayBeDone() {
		if f.Cause == upstream.ErrBusy {
			return placing.Outcome{Refused: true}, stepFull
		}
		if errors.As(f.Cause, new(eligibility.Verdict)) {
			return placing.Outcome{}, stepIneligible
		}
		return placing.Outcome{Unreachable: c.ctx.Err() == nil && !evidence.OwnShortage(f)}, stepUnreachable
	}
	c.attempts++
	c.mayHaveRun = true
	if c.ctx.Err() != nil || c.timeLeft() <= 0 {
		return placing.Outcome{}, stepNoAnswer
	}
	if full {
		// The reset is no fault of the target or the request. The target may have run the request all the same.
		if !c.idempotent() {
			return placing.Outcome{Full: true}, stepNoAnswer
		}
		return placing.Outcome{Full: true}, stepTryOther
	}
	c.brokenOff++
	if f.Reset {
		// The target's other idle connections may have been closed as well.
		g.opts.Upstream.CloseIdle(t.Address)
	}
	if !c.idempotent() {
		return placing.Outcome{Failed: true, Reset: f.Reset}, stepNoAnswer
	}
	return placing.Outcome{Failed: true, Reset: f.Reset}, stepTryOther
}
