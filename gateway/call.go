package gateway

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/shard"
	"github.com/basiltally/basiltally/upstream"
)

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
	tried []string
	// knownAgo is the age of what was known of the targets when the request was sent last, in nanoseconds, or zero if it
	// was not sent or that is unknown.
	knownAgo atomic.Int64
	// cause is why the latest target was chosen, a value of the metric label "cause".
	cause        string
	tableVersion shard.Version
	// drawnForShare is set once it is decided whether the request belongs to the share of the
	// requests for its key that are served.
	drawnForShare bool
	// overloadCounted is set once Options.Overload has counted the request.
	overloadCounted bool
	// content identifies what the request asks for, if Options.Crashes is set.
	content quarantine.Fingerprint
}

func (g *Gateway) newCall(ctx context.Context, r *ingress.Request) *call {
	return &call{ctx: ctx, req: r, id: string(r.Header.Peek(g.opts.Headers.RequestID)), method: string(r.Header.Method())}
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

// maxIdleAtMostOnce is how long the connection for an at-most-once request may have been
// idle. A connection that was idle for longer may be dead, and such a request cannot be
// retried after it was sent.
const maxIdleAtMostOnce = 2 * time.Second

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
