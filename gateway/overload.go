package gateway

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/admission"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/overload"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/upstream"
)

// refusalLinesPerSecond bounds the log lines on refusals for lack of room. The line of each request
// has the reason as well.
const refusalLinesPerSecond = 20

// Values of the metric label "decision" and the log key of that name.
const (
	decisionAdmitted = "admitted"
	decisionRaised   = "raised"
	decisionNoRoom   = "no_room"
	decisionLate     = "late"
	decisionFull     = "full"
	decisionHotKey   = "hot_key"
)

// Overload decides by priority, deadline and work which requests are refused for lack of room, and
// tells their callers when to return.
type Overload struct {
	opts      OverloadOptions
	policy    *overload.Policy
	returns   *overload.Returns
	decisions *prometheus.CounterVec

	mu sync.Mutex
	// lines is the number of refusals logged in the second, and omitted that of those not logged since
	// the last line.
	second         int64
	lines, omitted int
}

// OverloadOptions configure an Overload.
type OverloadOptions struct {
	// Registerer is where the metrics are registered. Default a registry of its own.
	Registerer prometheus.Registerer
	// Logger gets a bounded number of lines on refused requests. Without it nothing is logged.
	Logger *slog.Logger
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// NewOverload returns an Overload without any observations and registers its metrics.
func NewOverload(opts OverloadOptions) *Overload {
	if opts.Registerer == nil {
		opts.Registerer = prometheus.NewRegistry()
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	o := &Overload{
		opts: opts, policy: overload.NewPolicy(opts.Now(), rand.Float64), returns: overload.NewReturns(rand.Float64),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_overload_requests_total", Help: "Decisions on requests for which a target was chosen, by service, priority and decision.",
		}, []string{"service", "priority", "decision"}),
	}
	opts.Registerer.MustRegister(o.decisions, pendingReturns{o})
	return o
}

// pendingReturns is a prometheus.Collector of the callers that were told to return.
type pendingReturns struct{ overload *Overload }

var pendingReturnsDesc = prometheus.NewDesc("basiltally_returns_pending",
	"Refused callers that were told to return and are not due yet, by service.", []string{"service"}, nil)

// Describe implements prometheus.Collector.
func (p pendingReturns) Describe(out chan<- *prometheus.Desc) { out <- pendingReturnsDesc }

// Collect implements prometheus.Collector.
func (p pendingReturns) Collect(out chan<- prometheus.Metric) {
	for service, n := range p.overload.returns.Pending(p.overload.opts.Now()) {
		out <- prometheus.MustNewConstMetric(pendingReturnsDesc, prometheus.GaugeValue, float64(n), service)
	}
}

// limits returns the time limits of the request.
func (c *call) limits() admission.Request {
	untilDeadline := c.timeLeft()
	untilLatencyTarget := untilDeadline
	if c.entry.LatencyTarget > 0 {
		untilLatencyTarget = c.entry.LatencyTarget - time.Since(c.req.Received)
	}
	return admission.Request{UntilDeadline: untilDeadline, UntilLatencyTarget: untilLatencyTarget}
}

func (c *call) overloadKind() overload.Kind {
	return overload.Kind{Service: c.service.Name, Route: c.entry.Name, Priority: c.entry.Priority}
}

// decide is Gateway.admit by the policy.
func (o *Overload) decide(c *call, t *fleet.Target, e admission.Estimate) *result.Error {
	o.countRequest(c)
	d := o.policy.Decide(o.opts.Now(), overload.Request{Kind: c.overloadKind(), Expected: e, Limits: c.limits()})
	if d.Admit {
		o.count(c, admittedDecision(d))
		return nil
	}
	return o.refuseAt(c, t, d)
}

func admittedDecision(d overload.Decision) string {
	if d.Raised {
		return decisionRaised
	}
	return decisionAdmitted
}

// refuseAt returns the error for a request that the policy does not admit at the target.
func (o *Overload) refuseAt(c *call, t *fleet.Target, d overload.Decision) *result.Error {
	if d.Late {
		return o.refuse(c, decisionLate, d, result.NoCapacity,
			"target %s cannot answer before the deadline in %d ms: the expected wait in its queue is %d ms",
			t.ID, c.timeLeft().Milliseconds(), d.Wait.Milliseconds())
	}
	return o.refuse(c, decisionNoRoom, d, result.NoCapacity,
		"target %s cannot answer in time: the expected wait in its queue is %d ms, and requests of priority %d may wait %d ms",
		t.ID, d.Wait.Milliseconds(), c.entry.Priority, d.Allowed.Milliseconds())
}

// refuse records a request that is refused for lack of room, and returns its error with the time
// after which the caller should return.
func (o *Overload) refuse(c *call, decision string, d overload.Decision, code result.Code, format string, args ...any) *result.Error {
	o.countRequest(c)
	now := o.opts.Now()
	o.policy.CountRefused(now, c.overloadKind())
	e := result.New(code, format, args...)
	e.RetryAfter = o.returns.Refuse(now, c.service.Name, d.RoomIn, c.timeLeft())
	o.count(c, decision)
	o.logRefusal(c, decision, d, e)
	return e
}

// countRequest counts the request unless it was counted before.
func (o *Overload) countRequest(c *call) {
	if c.overloadCounted {
		return
	}
	c.overloadCounted = true
	now := o.opts.Now()
	o.policy.CountRequest(now, c.overloadKind())
	o.returns.CountRequest(now, c.service.Name)
}

func (o *Overload) count(c *call, decision string) {
	o.decisions.WithLabelValues(c.service.Name, strconv.Itoa(c.entry.Priority), decision).Inc()
}

func (o *Overload) logRefusal(c *call, decision string, d overload.Decision, e *result.Error) {
	omitted, ok := o.mayLog(o.opts.Now())
	if !ok {
		return
	}
	o.opts.Logger.Info("refused for lack of room", "id", c.id, "service", c.service.Name, "route", c.entry.Name, "priority", c.entry.Priority,
		"decision", decision, "queue_ms", d.Wait.Milliseconds(), "allowed_ms", d.Allowed.Milliseconds(), "return_ms", e.RetryAfter.Milliseconds(), "omitted", omitted)
}

// mayLog reports whether one more refusal may be logged in this second, and how many were not
// logged since the last one that was.
func (o *Overload) mayLog(now time.Time) (omitted int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := now.Unix(); s != o.second {
		o.second, o.lines = s, 0
	}
	if o.lines >= refusalLinesPerSecond {
		o.omitted++
		return 0, false
	}
	o.lines++
	omitted, o.omitted = o.omitted, 0
	return omitted, true
}

// noRoom returns the error for a request that was not admitted, or not taken by a target, for a
// reason that the policy does not know. roomIn is the time in which there should be room.
func (g *Gateway) noRoom(c *call, decision string, code result.Code, roomIn time.Duration, format string, args ...any) *result.Error {
	if g.opts.Overload == nil {
		return refusal(code, roomIn, "%s", fmt.Sprintf(format, args...))
	}
	return g.opts.Overload.refuse(c, decision, overload.Decision{Wait: roomIn, RoomIn: roomIn}, code, format, args...)
}

// hotKeyShare returns the share of the call's requests that may be sent to the owner of a hot key
// that can serve the given share of all requests for the key.
func (g *Gateway) hotKeyShare(c *call, share float64) float64 {
	if g.opts.Overload == nil {
		return share
	}
	g.opts.Overload.countRequest(c)
	return g.opts.Overload.policy.Share(g.opts.Overload.opts.Now(), c.overloadKind(), share)
}

// expectedWork returns the expected time of a request that is about to be sent to the target, if it
// is used to learn the work of requests.
func (g *Gateway) expectedWork(t *fleet.Target) admission.Estimate {
	if g.opts.Overload == nil {
		return admission.Estimate{}
	}
	return g.estimate(t)
}

// learnWork records how long a target took for a request.
func (g *Gateway) learnWork(c *call, a *upstream.Answer, took time.Duration, expected admission.Estimate) {
	if g.opts.Overload != nil && a.Status < 500 {
		g.opts.Overload.policy.Observe(g.opts.Overload.opts.Now(), c.overloadKind(), took-expected.RoundTrip, expected)
	}
}

// refuseBeforeBody returns an error for a request with a large body that no target can serve in
// time, as far as is known before its body is read.
func (g *Gateway) refuseBeforeBody(c *call, routes *routing.Table) *result.Error {
	if g.opts.Overload == nil || !c.entry.Kind.Large() || len(c.entry.Services) != 1 {
		return nil
	}
	if c.service = routes.Service(c.entry.Services[0].Service); c.service == nil {
		return nil
	}
	var best *fleet.Target
	var least overload.Decision
	for _, t := range g.possibleTargets(c) {
		request := overload.Request{Kind: c.overloadKind(), Expected: g.estimate(t), Limits: c.limits()}
		d := g.opts.Overload.policy.Hopeless(g.opts.Overload.opts.Now(), request)
		if d.Admit {
			return nil
		}
		if best == nil || d.RoomIn < least.RoomIn {
			best, least = t, d
		}
	}
	if best == nil {
		return nil
	}
	return g.opts.Overload.refuseAt(c, best, least)
}

// possibleTargets returns the targets that may get the request: only the owner of its key, if the
// service is keyed.
func (g *Gateway) possibleTargets(c *call) []*fleet.Target {
	if c.service.Keyed {
		table := g.opts.Shards.Table(c.service.Name)
		key, err := g.requestKey(c)
		if err != nil || table == nil {
			return nil
		}
		if entry := table.Find(key); entry != nil && entry.Held {
			return []*fleet.Target{g.ownerTarget(c.service.Name, entry)}
		}
		return nil
	}
	snapshot := g.opts.Directory.Snapshot()
	candidates, _ := g.candidates(snapshot, c)
	out := make([]*fleet.Target, len(candidates))
	for i := range candidates {
		out[i] = snapshot.ByID[candidates[i].ID]
	}
	return out
}
