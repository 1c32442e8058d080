// Package gateway handles callers' requests: it decides which target gets a request,
// whether the request is retried, and what the caller is answered if no target can serve it.
package gateway

import (
	"context"
	"encoding/hex"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/admission"
	"github.com/basiltally/basiltally/budget"
	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/shard"
	"github.com/basiltally/basiltally/telemetry"
	"github.com/basiltally/basiltally/upstream"
)

// Headers holds the names of the headers with which callers describe a request.
type Headers struct {
	// RequestID carries the ID of the request.
	RequestID string
	// TimeLeft carries the number of milliseconds that the caller will wait.
	TimeLeft string
	// Key carries the number of the key that the request accesses.
	Key string
}

// Shards provides the tables of the owners of keys.
type Shards interface {
	// Table returns the table of a service, or nil while none is known.
	Table(service string) *shard.Table
	// Changed returns a channel that is closed when any table changes next.
	Changed() <-chan struct{}
}

// Options configure a Gateway.
type Options struct {
	Headers Headers
	// TargetHeaders holds the names of the headers that are sent to targets. Its TimeLeft and
	// ExpectedTarget are not forwarded from callers.
	TargetHeaders upstream.Headers
	// Routes returns the current routes, or nil while none are known.
	Routes    func() *routing.Table
	Directory *fleet.Directory
	// Eligibility decides whether a request may be sent to a target.
	Eligibility *eligibility.Tracker
	Shards      Shards
	Balancer    *placing.Balancer
	Upstream    *upstream.Client
	Budget      *budget.Budget
	KeyCounter  *KeyCounter
	// Crashes relates requests to crashes of targets. Nil does not.
	Crashes    *CrashWatch
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

const (
	// maxIdleAtMostOnce is how long the connection for an at-most-once request may have been
	// idle. A connection that was idle for longer may be dead, and such a request cannot be
	// retried after it was sent.
	maxIdleAtMostOnce = 2 * time.Second
	// minAttemptTime is the time until the deadline that a retry needs at least.
	minAttemptTime = 5 * time.Millisecond
	// maxBrokenOff is the number of exchanges without an answer after which a request is not sent again: it may be
	// what ends them.
	maxBrokenOff = 2
	// noTargetRetryAfter is the Retry-After time while no target of a service is known.
	// unreachableRetryAfter is the Retry-After time while no target can be reached.
	noTargetRetryAfter    = 500 * time.Millisecond
	unreachableRetryAfter = 200 * time.Millisecond
	// leavingRetryAfter is the Retry-After time while the owner of a key leaves. It covers the
	// move of the key to another target.
	leavingRetryAfter = 300 * time.Millisecond
	// ownerWaitShare is the share of the time until its deadline that a request may wait
	// for its key to get an owner. If the table says that this takes longer, the request is
	// refused at once.
	ownerWaitShare = 0.4
	// newerTableWait is the longest wait for a newer table after the owner of a key by the
	// present table refused the key or could not be reached.
	newerTableWait = 150 * time.Millisecond
	// maxOwnerRetries bounds how often a request is sent again after the owner refused its
	// key or could not be reached.
	maxOwnerRetries = 4
	// connectionWaitDivisor divides the time until the deadline: a request for a key waits
	// for a connection to the owner for a third of that time at most.
	connectionWaitDivisor = 3
	// noConfigRetryAfter is the Retry-After time while no configuration is known.
	noConfigRetryAfter = time.Second
	// noMemoryRetryAfter is the Retry-After time while bodies take all the memory that they may.
	noMemoryRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After time while this VM stops. Other VMs serve the caller.
	stoppingRetryAfter = 50 * time.Millisecond
)

// Gateway serves callers' requests. It implements ingress.Handler.
type Gateway struct {
	opts Options
	// seed makes each VM start at a different place in the weighted order of a route's services.
	seed     uint64
	duration *telemetry.ClassHistogram
	results  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	// malformedLoggedAt is when a malformed statement was last logged, in nanoseconds since the
	// Unix epoch.
	malformedLoggedAt atomic.Int64
}

var _ ingress.Handler = (*Gateway)(nil)

// New returns a Gateway and registers its metrics. Without a Logger it does not log; without
// a Registerer it uses a registry of its own.
func New(opts Options) *Gateway {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Registerer == nil {
		opts.Registerer = prometheus.NewRegistry()
	}
	g := &Gateway{
		opts: opts, seed: rand.Uint64(),
		duration: telemetry.NewClassHistogram(opts.Registerer, "basiltally_request_duration_seconds",
			"Time from a request's header to its answer, by service and kind.", 0),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_requests_total", Help: "Answered requests by kind and result code.",
		}, []string{"kind", "code"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_attempts_total", Help: "Exchanges with targets by outcome.",
		}, []string{"outcome"}),
	}
	opts.Registerer.MustRegister(g.results, g.attempts)
	return g
}

// SetClasses gives each service and kind of request in the configuration a histogram of its
// own.
func (g *Gateway) SetClasses(t *routing.Table) {
	var names []telemetry.ClassName
	for _, r := range t.Config.Routes {
		for _, s := range r.Services {
			name := telemetry.ClassName{Tenant: s.Service, Class: r.Kind.String()}
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	g.duration.SetClasses(names)
}

// call is the state of one request in the Gateway.
type call struct {
	ctx             context.Context
	req             *ingress.Request
	id              string
	method          string
	entry           *routing.Entry
	service         *routing.Service
	configVersion   uint64
	deadline        time.Time
	forwardedHeader []byte
	// key is the request's key if the service is keyed.
	key shard.Key
	// attempts counts the exchanges of which a byte may have reached a target.
	attempts int
	// brokenOff counts the exchanges that ended without an answer after a byte was sent, before the deadline.
	brokenOff int
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// failedAnswer is the last answer of a target with a status of 500 or more. The caller
	// gets it if no retry succeeds.
	failedAnswer *upstream.Answer
	// tried holds the IDs of the targets that were chosen for the request, the latest last.
	tried        []string
	tableVersion shard.Version
	// drawnForShare is set once it is decided whether the request belongs to the share of the
	// requests for its key that are served.
	drawnForShare bool
	// content identifies what the request asks for, if Options.Crashes is set.
	content quarantine.Fingerprint
}

func (g *Gateway) newCall(ctx context.Context, r *ingress.Request) *call {
	return &call{ctx: ctx, req: r, id: string(r.Header.Peek(g.opts.Headers.RequestID)), method: string(r.Header.Method())}
}

// MayOverlap implements ingress.Handler. It returns false for requests that must not run more than once.
func (g *Gateway) MayOverlap(r *ingress.Request) bool {
	t := g.opts.Routes()
	if t == nil {
		return true
	}
	e := t.Lookup(string(r.Header.Host()), requestPath(r))
	return e == nil || e.Kind.MayRepeat()
}

func requestPath(r *ingress.Request) string {
	p, _, _ := strings.Cut(string(r.Header.RequestURI()), "?")
	return p
}

// Serve implements ingress.Handler. It always returns a response. A panic ends only the request.
func (g *Gateway) Serve(ctx context.Context, r *ingress.Request) (resp *ingress.Response) {
	c := g.newCall(ctx, r)
	defer telemetry.Recover(g.opts.Logger, "request", []any{"id", c.id}, func() {
		// A target may have run the request.
		resp = g.finish(c, nil, result.New(result.Internal, "an unexpected error ended the request"))
	})
	a, e := g.serve(c)
	return g.finish(c, a, e)
}

// serve returns the target's answer, or the reason why there is none. If it returns neither,
// the caller gets the call's failedAnswer.
func (g *Gateway) serve(c *call) (*upstream.Answer, *result.Error) {
	t, e := g.findRoute(c)
	if e != nil {
		return nil, e
	}
	name := c.entry.ChooseService(g.seed)
	if c.service = t.Service(name); c.service == nil {
		return nil, configRefusal("service %q is not configured", name)
	}
	if g.opts.Crashes != nil {
		c.content = c.fingerprint(g.opts.Headers.Key)
	}
	c.forwardedHeader = g.forwardHeader(c.req.Header)
	g.opts.Budget.CountRequest(c.service.Name)
	if !c.service.Keyed {
		return g.serveUnkeyed(c)
	}
	key, err := strconv.ParseUint(string(c.req.Header.Peek(g.opts.Headers.Key)), 10, 16)
	if err != nil {
		return nil, result.New(result.BadRequest, "the key is missing or not a number from 0 to %d", shard.LastKey)
	}
	c.key = shard.Key(key)
	g.opts.KeyCounter.Count(c.service.Name, c.key)
	return g.serveKeyed(c)
}

// quarantined reports whether the request has crashed several targets and must not be sent, again or at all. The
// error is what the caller is answered; it is nil if a failed answer of a target is to be passed on.
func (g *Gateway) quarantined(c *call) (bool, *result.Error) {
	if g.opts.Crashes == nil {
		return false, nil
	}
	blocked, until := g.opts.Crashes.opts.Tracker.Quarantined(c.content)
	if !blocked {
		return false, nil
	}
	if c.mayHaveRun {
		return true, g.failure(c)
	}
	e := result.New(result.Quarantined, "several targets crashed while they ran this request")
	e.RetryAfter = time.Until(until)
	return true, e
}

// findRoute sets the call's route and deadline. It returns an error if no route serves the request.
func (g *Gateway) findRoute(c *call) (*routing.Table, *result.Error) {
	t := g.opts.Routes()
	if t == nil {
		return nil, configRefusal("no configuration is known yet")
	}
	c.configVersion = t.Config.Version
	if c.entry = t.Lookup(string(c.req.Header.Host()), requestPath(c.req)); c.entry == nil {
		return nil, result.New(result.UnknownClass, "no route matches the host and path")
	}
	c.deadline = g.deadline(c)
	if c.entry.Unserved != "" {
		return nil, configRefusal("the route is not valid: %s", c.entry.Unserved)
	}
	return t, nil
}

// Precheck implements ingress.Handler. It refuses requests without a route, without time left or
// without any target.
func (g *Gateway) Precheck(r *ingress.Request) (*ingress.Response, time.Time) {
	c := g.newCall(context.Background(), r)
	_, e := g.findRoute(c)
	switch {
	case e != nil:
	case c.timeLeft() <= minAttemptTime:
		e = result.New(result.QueueDeadline, "the caller waits for %d ms more", c.timeLeft().Milliseconds())
	case !g.anyTarget(c.entry):
		e = refusal(result.NoTarget, noTargetRetryAfter, "no target of the route's services is known")
	default:
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

// configRefusal returns the error for a request that no configuration allows to serve at present.
func configRefusal(format string, args ...any) *result.Error {
	e := result.New(result.ConfigStale, format, args...)
	e.RetryAfter = noConfigRetryAfter
	return e
}

// deadline returns the earlier of the caller's and the route's deadline.
func (g *Gateway) deadline(c *call) time.Time {
	left := c.entry.Timeout
	if left == 0 {
		left = defaultTimeout
	}
	if ms, err := strconv.ParseInt(string(c.req.Header.Peek(g.opts.Headers.TimeLeft)), 10, 64); err == nil && ms >= 0 {
		own := time.Duration(min(ms, maxTimeLeft.Milliseconds())) * time.Millisecond
		if own < left || c.entry.Timeout == 0 {
			left = own
		}
	}
	return c.req.Received.Add(left)
}

const (
	// defaultTimeout applies if the route has no timeout and the caller does not state one.
	defaultTimeout = 30 * time.Second
	// maxTimeLeft bounds the time that a caller may state.
	maxTimeLeft = time.Hour
)

// forwardHeader returns the header lines that are forwarded to the target.
func (g *Gateway) forwardHeader(h *fasthttp.RequestHeader) []byte {
	out := make([]byte, 0, 256)
	named := connectionTokens(h)
	for name, value := range h.All() {
		lower := strings.ToLower(string(name))
		if upstream.HopByHop(lower) || lower == "expect" || slices.Contains(named, lower) ||
			strings.EqualFold(lower, g.opts.TargetHeaders.TimeLeft) || strings.EqualFold(lower, g.opts.TargetHeaders.ExpectedTarget) {
			continue
		}
		out = append(out, name...)
		out = append(out, ": "...)
		out = append(out, value...)
		out = append(out, "\r\n"...)
	}
	return out
}

// connectionTokens returns the tokens of the Connection header in lower case. They name the
// headers that apply to the caller's connection only.
func connectionTokens(h *fasthttp.RequestHeader) []string {
	var out []string
	for _, token := range strings.Split(string(h.Peek(fasthttp.HeaderConnection)), ",") {
		if token = strings.ToLower(strings.TrimSpace(token)); token != "" {
			out = append(out, token)
		}
	}
	return out
}

func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

func (c *call) idempotent() bool { return c.entry.Kind.MayRepeat() }

// maxIdle returns how long the connection for the request may have been idle; zero means no
// bound.
func (c *call) maxIdle() time.Duration {
	if c.idempotent() {
		return 0
	}
	return maxIdleAtMostOnce
}

// mayRetry reports whether the request may be sent to a target once more: it must be
// idempotent or not have run, and have attempts and time left, and too few targets may have crashed while they ran it.
func (c *call) mayRetry() bool {
	return c.brokenOff < maxBrokenOff && (c.idempotent() || !c.mayHaveRun) && c.attempts < max(c.entry.MaxAttempts, 1) &&
		c.timeLeft() > minAttemptTime && c.ctx.Err() == nil
}

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
)

// exchange sends the request to a target and records the outcome. The answer is nil if there
// was none.
func (g *Gateway) exchange(c *call, t *fleet.Target) (*upstream.Answer, step) {
	r := &upstream.Request{
		ID: c.id, Method: c.method, URI: string(c.req.Header.RequestURI()), Header: c.forwardedHeader, Body: c.req.Body,
		TargetID: t.ID, Deadline: c.deadline,
		Permit: func() error {
			if v := g.opts.Eligibility.Take(t.Incarnation()); !v.OK() {
				return v
			}
			return nil
		},
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
	candidate := newCandidate(t)
	number := g.opts.Balancer.Begin(&candidate)
	c.tried = append(c.tried, t.ID)
	if g.opts.Crashes != nil {
		g.opts.Crashes.begin(t, c.content)
	}
	a, err := g.opts.Upstream.Do(ctx, t.Address, r)
	if g.opts.Crashes != nil {
		f, _ := err.(*upstream.Failure)
		g.opts.Crashes.end(t, c.content, a, f, ctx.Err() != nil)
	}
	if err == nil && a.Statements != nil {
		g.observe(c, t, a.Statements)
	}
	o, s := g.classify(c, t, a, err)
	g.opts.Balancer.End(t.ID, number, o)
	g.logAttempt(c, t, a, err, s)
	g.attempts.WithLabelValues(stepNames[s]).Inc()
	return a, s
}

// malformedLogInterval is the least time between two log lines on malformed statements.
const malformedLogInterval = time.Second

// observe passes on what the target states of itself in an answer.
func (g *Gateway) observe(c *call, t *fleet.Target, s *upstream.Statements) {
	g.opts.Eligibility.Observe(eligibility.Statement{Incarnation: t.Incarnation(), LimitPerSecond: s.LimitPerSecond, Pause: s.Pause}, c.id)
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
	attrs := []any{"id", c.id, "target", t.ID, "outcome", stepNames[s], "attempt", len(c.tried), "left_ms", c.timeLeft().Milliseconds()}
	if err != nil {
		attrs = append(attrs, "error", err.Error(), "fingerprint", hex.EncodeToString(c.content[:]))
	} else {
		attrs = append(attrs, "status", a.Status, "not_run", a.NotRun)
	}
	g.opts.Logger.Info("attempt", attrs...)
}

// classify returns what an exchange means for the target's statistics and how the request
// proceeds. It also updates the call's attempts, mayHaveRun and failedAnswer.
func (g *Gateway) classify(c *call, t *fleet.Target, a *upstream.Answer, err error) (placing.Outcome, step) {
	if err != nil {
		return g.classifyFailure(c, t, err.(*upstream.Failure))
	}
	c.attempts++
	candidate := newCandidate(t)
	o := placing.Outcome{Answered: true, RoundTrip: g.opts.Balancer.RoundTrip(&candidate)}
	if a.Load != nil {
		o.LoadKnown, o.Running, o.Waiting = true, a.Load.Running, a.Load.Waiting
	}
	switch {
	case a.NotRun && a.Status == fasthttp.StatusMisdirectedRequest:
		o.Refused = true
		return o, stepNotOwner
	case a.NotRun:
		o.Refused = true
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

func (g *Gateway) classifyFailure(c *call, t *fleet.Target, f *upstream.Failure) (placing.Outcome, step) {
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
	c.brokenOff++
	if f.Reset {
		// The target's other idle connections may have been closed as well.
		g.opts.Upstream.CloseIdle(t.Address)
	}
	if !c.idempotent() {
		return placing.Outcome{Failed: true}, stepNoAnswer
	}
	return placing.Outcome{Failed: true}, stepTryOther
}

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
		return nil, refusal(result.TargetShed, g.timeUntilRoom(candidates), "no target that was tried has room for the request")
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

// refusal returns the error for a request that did not run and may be retried after the
// given time, to which admission.RetryAfter adds a random part.
func refusal(code result.Code, roomIn time.Duration, format string, args ...any) *result.Error {
	e := result.New(code, format, args...)
	e.RetryAfter = admission.RetryAfter(roomIn)
	return e
}

// failure returns the error for a request that no target answered, or nil if a failed answer
// of a target is to be passed on.
func (g *Gateway) failure(c *call) *result.Error {
	switch {
	case c.failedAnswer != nil:
		return nil
	case !c.mayHaveRun:
		return refusal(result.NoTarget, unreachableRetryAfter, "no target could be reached")
	case c.ctx.Err() != nil:
		return result.New(result.CallerGone, "the caller has disconnected")
	case c.timeLeft() <= 0:
		return result.New(result.TargetTimeout, "the target did not answer before the deadline")
	default:
		return result.New(result.TargetLost, "the target gave no valid answer")
	}
}
