// Package gateway decides what becomes of a caller's request: which target gets
// it, whether it is sent again, and with what it is answered if no target can
// serve it.
package gateway

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/admission"
	"github.com/basiltally/basiltally/budget"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/shard"
	"github.com/basiltally/basiltally/telemetry"
	"github.com/basiltally/basiltally/upstream"
)

// Headers are the names of the headers by which callers describe a request.
type Headers struct {
	// RequestID names the request.
	RequestID string
	// TimeLeft is how many milliseconds the caller waits.
	TimeLeft string
	// Key is the number of the key that the request is about.
	Key string
}

// Shards tells who owns keys.
type Shards interface {
	// Table returns the table of a service, or nil while none is known.
	Table(service string) *shard.Table
	// Changed returns a channel that is closed at the next change of a table.
	Changed() <-chan struct{}
}

// Options of a Gateway.
type Options struct {
	Headers Headers
	// TargetHeaders are the headers towards the targets, which callers cannot set.
	TargetHeaders upstream.Headers
	// Routes returns the routes in force, or nil while none are known.
	Routes     func() *routing.Table
	Directory  *fleet.Directory
	Shards     Shards
	Balancer   *placing.Balancer
	Upstream   *upstream.Client
	Budget     *budget.Budget
	KeyCounter *KeyCounter
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

const (
	// maxIdleAtMostOnce is how long a connection may have been idle that carries a
	// request which cannot be sent again, should the connection have gone silent.
	maxIdleAtMostOnce = 2 * time.Second
	// minAttempt is the least time left with which a request is sent.
	minAttempt = 5 * time.Millisecond
	// noTargetRetry is the advice while no target of a service is known, and
	// unreachableRetry while none can be reached.
	noTargetRetry    = 500 * time.Millisecond
	unreachableRetry = 200 * time.Millisecond
	// ownerWaitShare is the share of the remaining time that a request may wait for
	// its keys to get an owner when it is not known how long that takes.
	ownerWaitShare = 0.4
	// movedPause is the wait for a newer table after a target that should own a
	// key refused it.
	movedPause = 150 * time.Millisecond
	// maxMoved bounds the tries at targets that refuse a key.
	maxMoved = 4
	// connectionWaitShare is the part of the remaining time that a request for a key
	// waits for a connection to the owner.
	connectionWaitShare = 3
	// configRetry is the advice while no configuration is known.
	configRetry = time.Second
)

// Gateway serves callers' requests. It implements ingress.Handler.
type Gateway struct {
	opts Options
	// seed makes the VMs start their weighted turns at different places.
	seed     uint64
	duration *telemetry.ClassHistogram
	results  *prometheus.CounterVec
	attempts *prometheus.CounterVec
}

var _ ingress.Handler = (*Gateway)(nil)

// New returns a Gateway.
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

// SetClasses gives each service and kind of the configuration a histogram of its own.
func (g *Gateway) SetClasses(t *routing.Table) {
	var names []telemetry.ClassName
	for _, r := range t.Config.Routes {
		for _, p := range r.Services {
			name := telemetry.ClassName{Tenant: p.Service, Class: r.Kind.String()}
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	g.duration.SetClasses(names)
}

// call is a request on its way through the Gateway.
type call struct {
	ctx      context.Context
	req      *ingress.Request
	id       string
	method   string
	entry    *routing.Entry
	service  *routing.Service
	config   uint64
	deadline time.Time
	header   []byte
	// key is the request's key if the service is keyed.
	key shard.Key
	// attempts counts the exchanges that may have reached a target.
	attempts int
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// failed is the last failing answer of a target, which is passed on if nothing better comes.
	failed *upstream.Answer
	// tried are the targets to which the request was sent, last the newest.
	tried []string
	table shard.Version
}

// MayOverlap implements ingress.Handler.
func (g *Gateway) MayOverlap(r *ingress.Request) bool {
	t := g.opts.Routes()
	if t == nil {
		return true
	}
	e := t.Lookup(string(r.Header.Host()), path(r))
	return e == nil || e.Kind != routing.AtMostOnce
}

func path(r *ingress.Request) string {
	p, _, _ := strings.Cut(string(r.Header.RequestURI()), "?")
	return p
}

// Serve implements ingress.Handler.
func (g *Gateway) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	c := &call{ctx: ctx, req: r, id: string(r.Header.Peek(g.opts.Headers.RequestID)), method: string(r.Header.Method())}
	a, e := g.serve(c)
	return g.finish(c, a, e)
}

// serve returns the target's answer, or the reason why there is none.
func (g *Gateway) serve(c *call) (*upstream.Answer, *result.Error) {
	t := g.opts.Routes()
	if t == nil {
		e := result.New(result.ConfigStale, "no configuration is known yet")
		e.RetryAfter = configRetry
		return nil, e
	}
	c.config = t.Config.Version
	if c.entry = t.Lookup(string(c.req.Header.Host()), path(c.req)); c.entry == nil {
		return nil, result.New(result.UnknownClass, "no route for this host and path")
	}
	c.service = t.Service(c.entry.Choose(g.seed))
	c.deadline = g.deadline(c)
	c.header = g.passedOn(c.req.Header)
	g.opts.Budget.Request(c.service.Name)
	if !c.service.Keyed {
		return g.serveAny(c)
	}
	key, err := strconv.ParseUint(string(c.req.Header.Peek(g.opts.Headers.Key)), 10, 16)
	if err != nil {
		return nil, result.New(result.BadRequest, "the key is missing or no number up to %d", shard.LastKey)
	}
	c.key = shard.Key(key)
	g.opts.KeyCounter.Count(c.service.Name, c.key)
	return g.serveKeyed(c)
}

// deadline is the earlier of the caller's and the route's.
func (g *Gateway) deadline(c *call) time.Time {
	left := c.entry.Timeout
	if ms, err := strconv.ParseInt(string(c.req.Header.Peek(g.opts.Headers.TimeLeft)), 10, 64); err == nil && ms >= 0 {
		if own := time.Duration(min(ms, maxTimeLeft.Milliseconds())) * time.Millisecond; left == 0 || own < left {
			left = own
		}
	}
	if left == 0 {
		left = defaultTimeout
	}
	return c.req.Received.Add(left)
}

const (
	// defaultTimeout holds for a route without a timeout if the caller states no time.
	defaultTimeout = 30 * time.Second
	// maxTimeLeft bounds what a caller may state.
	maxTimeLeft = time.Hour
)

// passedOn returns the header lines that go on to the target.
func (g *Gateway) passedOn(h *fasthttp.RequestHeader) []byte {
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

// connectionTokens returns the headers that the caller limits to its connection.
func connectionTokens(h *fasthttp.RequestHeader) []string {
	var out []string
	for _, token := range strings.Split(string(h.Peek(fasthttp.HeaderConnection)), ",") {
		if token = strings.ToLower(strings.TrimSpace(token)); token != "" {
			out = append(out, token)
		}
	}
	return out
}

func (c *call) left() time.Duration { return time.Until(c.deadline) }

func (c *call) idempotent() bool { return c.entry.Kind != routing.AtMostOnce }

// maxIdle bounds how long a connection may have been idle that carries the request;
// zero sets no bound.
func (c *call) maxIdle() time.Duration {
	if c.idempotent() {
		return 0
	}
	return maxIdleAtMostOnce
}

// mayRepeat reports whether the request may be sent to a target once more.
func (c *call) mayRepeat() bool {
	return (c.idempotent() || !c.mayHaveRun) && c.attempts < max(c.entry.MaxAttempts, 1) &&
		c.left() > minAttempt && c.ctx.Err() == nil
}

// step says what an exchange means for the request.
type step int

const (
	// stepDone ends the request with the answer.
	stepDone step = iota
	// stepElsewhere lets another target try.
	stepElsewhere
	// stepMoved tells that the target does not own the key.
	stepMoved
	// stepFull tells that the target has no room.
	stepFull
	// stepUnreachable tells that no connection to the target could be opened.
	stepUnreachable
	// stepOver ends the request without an answer.
	stepOver
)

// exchange sends the request to a target.
func (g *Gateway) exchange(c *call, t *fleet.Target) (*upstream.Answer, step) {
	r := &upstream.Request{
		ID: c.id, Method: c.method, URI: string(c.req.Header.RequestURI()), Header: c.header, Body: c.req.Body,
		TargetID: t.ID, Deadline: c.deadline,
	}
	r.MaxIdle = c.maxIdle()
	if c.service.Keyed {
		// There is no other target to go to while the connections are in use.
		r.MaxWait = c.left() / connectionWaitShare
	}
	// An at-most-once request is finished even if its caller has left.
	ctx := c.ctx
	if !c.idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	place := site(t)
	number := g.opts.Balancer.Begin(&place)
	c.tried = append(c.tried, t.ID)
	a, err := g.opts.Upstream.Do(ctx, t.Address, r)
	o, s := g.judge(c, t, a, err)
	g.opts.Balancer.End(t.ID, number, o)
	g.logAttempt(c, t, a, err, s)
	g.attempts.WithLabelValues(stepNames[s]).Inc()
	return a, s
}

var stepNames = map[step]string{
	stepDone: "answered", stepElsewhere: "failed", stepMoved: "moved",
	stepFull: "full", stepUnreachable: "unreachable", stepOver: "over",
}

// logAttempt logs an exchange that did not give the final answer.
func (g *Gateway) logAttempt(c *call, t *fleet.Target, a *upstream.Answer, err error, s step) {
	if s == stepDone {
		return
	}
	attrs := []any{"id", c.id, "target", t.ID, "outcome", stepNames[s], "attempt", len(c.tried), "left_ms", c.left().Milliseconds()}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	} else {
		attrs = append(attrs, "status", a.Status, "not_run", a.NotRun)
	}
	g.opts.Logger.Info("attempt", attrs...)
}

// judge draws the consequences of an exchange for the target and the request.
func (g *Gateway) judge(c *call, t *fleet.Target, a *upstream.Answer, err error) (placing.Outcome, step) {
	if err != nil {
		return g.judgeFailure(c, t, err.(*upstream.Failure))
	}
	c.attempts++
	s := site(t)
	o := placing.Outcome{Answered: true, RoundTrip: g.opts.Balancer.RoundTrip(&s)}
	if a.Load != nil {
		o.Told, o.Running, o.Waiting = true, a.Load.Running, a.Load.Waiting
	}
	switch {
	case a.NotRun && a.Status == fasthttp.StatusMisdirectedRequest:
		o.Refused = true
		return o, stepMoved
	case a.NotRun:
		o.Refused = true
		return o, stepFull
	case a.Status >= fasthttp.StatusInternalServerError:
		o.Failed = true
		c.mayHaveRun = true
		c.failed = a
		if c.idempotent() {
			return o, stepElsewhere
		}
		return o, stepDone
	default:
		return o, stepDone
	}
}

func (g *Gateway) judgeFailure(c *call, t *fleet.Target, f *upstream.Failure) (placing.Outcome, step) {
	if !f.Sent {
		if f.Cause == upstream.ErrBusy {
			return placing.Outcome{Refused: true}, stepFull
		}
		return placing.Outcome{Unreachable: c.ctx.Err() == nil}, stepUnreachable
	}
	c.attempts++
	c.mayHaveRun = true
	if c.ctx.Err() != nil || c.left() <= 0 {
		return placing.Outcome{}, stepOver
	}
	if f.Reset {
		// Others that were idle beside it may have ended too.
		g.opts.Upstream.CloseIdle(t.Address)
	}
	if !c.idempotent() {
		return placing.Outcome{Failed: true}, stepOver
	}
	return placing.Outcome{Failed: true}, stepElsewhere
}

// serveAny sends the request to a target of the service until one answers.
func (g *Gateway) serveAny(c *call) (*upstream.Answer, *result.Error) {
	snapshot := g.opts.Directory.Snapshot()
	sites := g.sites(snapshot, c)
	full := false
	for {
		site := g.opts.Balancer.Pick(sites, c.entry.Kind == routing.Bulk, c.tried)
		if site == nil {
			break
		}
		if e := g.admit(c, snapshot.ByID[site.ID]); e != nil {
			return nil, e
		}
		if c.attempts > 0 && !g.opts.Budget.Repeat(c.service.Name) {
			break
		}
		a, s := g.exchange(c, snapshot.ByID[site.ID])
		switch s {
		case stepDone:
			return a, nil
		case stepOver:
			return nil, g.failure(c)
		case stepFull:
			full = true
		}
		if !c.mayRepeat() {
			break
		}
	}
	if !c.mayHaveRun && len(c.tried) == 0 {
		return nil, refusal(result.NoTarget, noTargetRetry, "no target of the service is known")
	}
	if !c.mayHaveRun && full {
		return nil, refusal(result.TargetShed, g.roomIn(sites), "the targets have no room")
	}
	return nil, g.failure(c)
}

// sites returns the targets that take requests.
func (g *Gateway) sites(s *fleet.Snapshot, c *call) []placing.Site {
	targets := s.Service(c.service.Name)
	warm := g.opts.Upstream.IdleAddresses(c.maxIdle())
	out := make([]placing.Site, 0, len(targets))
	for _, t := range targets {
		if t.State == fleet.Ready {
			st := site(t)
			st.Connected = warm[t.Address]
			out = append(out, st)
		}
	}
	return out
}

func site(t *fleet.Target) placing.Site {
	return placing.Site{
		ID: t.ID, DataCentre: t.DataCentre, Region: t.Region, Slots: t.Slots, ColdUntil: t.FirstSeen.Add(t.WarmUpLeft),
	}
}

// roomIn estimates when the least busy of the targets has room again.
func (g *Gateway) roomIn(sites []placing.Site) time.Duration {
	least := time.Duration(math.MaxInt64)
	for i := range sites {
		work, wait := g.opts.Balancer.Expected(&sites[i])
		least = min(least, work+wait)
	}
	return least
}

// refusal is the result of a request that was not run and may come back when
// there is room.
func refusal(code result.Code, room time.Duration, format string, args ...any) *result.Error {
	e := result.New(code, format, args...)
	e.RetryAfter = admission.RetryAfter(room)
	return e
}

// failure is the result of a request that no target answered.
func (g *Gateway) failure(c *call) *result.Error {
	switch {
	case c.failed != nil:
		return nil
	case !c.mayHaveRun:
		return refusal(result.NoTarget, unreachableRetry, "no target could be reached")
	case c.ctx.Err() != nil:
		return result.New(result.CallerGone, "the caller has left")
	case c.left() <= 0:
		return result.New(result.TargetTimeout, "no answer in time")
	default:
		return result.New(result.TargetLost, "the target gave no answer")
	}
}
