// Package gateway handles callers' requests: it decides which target gets a request,
// whether the request is retried, and what the caller is answered if no target can serve it.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/admission"
	"github.com/basiltally/basiltally/budget"
	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/evacuation"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/placing"
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
	// TargetsKnownAgo returns the time since the instant up to which Directory has all changes, or false if that is unknown.
	// Nil does not tell it.
	TargetsKnownAgo func() (time.Duration, bool)
	// Eligibility decides whether a request may be sent to a target.
	Eligibility *eligibility.Tracker
	// Evacuations has the data centres that are being evacuated. Nil has none.
	Evacuations *evacuation.Set
	Shards      Shards
	Balancer    *placing.Balancer
	Upstream    *upstream.Client
	Budget      *budget.Budget
	KeyCounter  *KeyCounter
	// Crashes relates requests to crashes of targets. Nil does not.
	Crashes *CrashWatch
	// Overload decides which requests are refused for lack of room. Nil decides by package admission.
	Overload   *Overload
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

const (
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
	knownAgo prometheus.Histogram
	traffic  *trafficCounter
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
		knownAgo: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "basiltally_targets_known_age_seconds", Buckets: []float64{0.3, 0.6, 1, 1.5, 2, 2.5, 3, 5, 10},
			Help: "Time since this VM knew all changes of the targets' entries, when a request was sent.",
		}),
	}
	opts.Registerer.MustRegister(g.results, g.attempts, g.knownAgo)
	g.traffic = newTrafficCounter(opts.Registerer, opts.Balancer)
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
	if c.key, e = g.requestKey(c); e != nil {
		return nil, e
	}
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
	if !g.opts.Eligibility.PlacesKnown() {
		return nil, placesUnknown()
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

// configRefusal returns the error for a request that no configuration allows to serve at present.
func configRefusal(format string, args ...any) *result.Error {
	e := result.New(result.ConfigStale, format, args...)
	e.RetryAfter = noConfigRetryAfter
	return e
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
