package gateway

import (
	"fmt"
	"strconv"
	"time"

	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/telemetry"
	"github.com/basiltally/basiltally/upstream"
)

// finish makes the caller's response from a target's answer or an error, and records the
// outcome. If both are nil, it passes on the call's failedAnswer.
func (g *Gateway) finish(c *call, a *upstream.Answer, e *result.Error) *ingress.Response {
	if a == nil && e == nil {
		a = c.failedAnswer
	}
	code := result.OK
	var resp *ingress.Response
	if e != nil {
		code = e.Code
		resp = g.errorResponse(c, e)
	} else {
		resp = &ingress.Response{Status: a.Status, Header: a.Header, Body: a.Body}
	}
	g.recordOutcome(c, resp, code, e)
	return resp
}

// errorResponse returns the response for a request that no target answered.
func (g *Gateway) errorResponse(c *call, e *result.Error) *ingress.Response {
	info := result.Describe(e.Code)
	r := &ingress.Response{Status: info.HTTPStatus, Body: []byte(e.Code.String() + ": " + e.Detail + "\n")}
	add := func(name, value string) { r.Header = fmt.Appendf(r.Header, "%s: %s\r\n", name, value) }
	if c.id != "" {
		add(g.opts.Headers.RequestID, c.id)
	}
	add(pipeline.HeaderCode, strconv.Itoa(int(e.Code)))
	add("Content-Type", "text/plain; charset=utf-8")
	if e.RetryAfter > 0 {
		add("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return r
}

// recordOutcome updates the metrics and logs the request.
func (g *Gateway) recordOutcome(c *call, r *ingress.Response, code result.Code, e *result.Error) {
	took := time.Since(c.req.Received)
	kind, service, route := "none", "", ""
	if c.entry != nil {
		kind, route = c.entry.Kind.String(), c.entry.Name
	}
	if c.service != nil {
		service = c.service.Name
		g.duration.Observe(telemetry.ClassName{Tenant: service, Class: kind}, took)
	}
	g.results.WithLabelValues(kind, strconv.Itoa(int(code))).Inc()
	attrs := []any{
		"id", c.id, "route", route, "service", service, "status", r.Status, "code", int(code), "ms", took.Milliseconds(),
		"left_ms", c.timeLeft().Milliseconds(), "config", c.configVersion, "attempts", c.attempts,
	}
	if c.service != nil && c.service.Keyed {
		attrs = append(attrs, "key", c.key, "term", c.tableVersion.Term, "seq", c.tableVersion.Seq)
	}
	if len(c.tried) > 0 {
		attrs = append(attrs, "target", c.tried[len(c.tried)-1], "known_ms_ago", time.Duration(c.knownAgo.Load()).Milliseconds())
	}
	if e != nil {
		attrs = append(attrs, "reason", e.Detail, "retry_after_ms", e.RetryAfter.Milliseconds(), "may_have_run", c.mayHaveRun, "gone", c.ctx.Err() != nil)
	}
	g.opts.Logger.Info("request", attrs...)
}
