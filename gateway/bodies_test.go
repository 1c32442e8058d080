package gateway_test

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/gateway"
	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/platform"
)

// upload sends an upload with a body of the given length.
func (f *fixture) upload(bytes int) *ingress.Response {
	f.t.Helper()
	h := &fasthttp.RequestHeader{}
	text := "POST /upload/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nRequest-Deadline-Ms: 800\r\n" + platform.CallerHeaders().Key + ": 5\r\n\r\n"
	if err := h.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		f.t.Fatal(err)
	}
	return f.gateway.Serve(context.Background(), &ingress.Request{Header: h, Body: make([]byte, bytes), Received: time.Now()})
}

// bodyLimitCount returns the value of basiltally_target_body_limit_total with the outcome.
func bodyLimitCount(t *testing.T, r *prometheus.Registry, outcome string) float64 {
	t.Helper()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != "basiltally_target_body_limit_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			if m.GetLabel()[0].GetValue() == outcome {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// Guards against an upload sent to a target where the bodies in flight leave no room.
func TestUploadsGoWhereTheirBodiesHaveRoom(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		is := is.New(t)
		f := newFixture(t, keyed, answerOK, answerOK)
		registry := prometheus.NewRegistry()
		f.opts.Registerer = registry
		f.gateway = gateway.New(f.opts)
		f.balancer.SetMaxBodyBytes(100_000)
		var held []uint64
		fill := func(id string) {
			n, ok := f.balancer.BeginBody(&placing.Candidate{ID: id, Service: "s", Slots: 6}, 80_000)
			is.True(ok)
			held = append(held, n)
		}
		fill("t0")
		if !keyed {
			for range 10 {
				is.Equal(f.upload(60_000).Status, http.StatusOK)
			}
			for _, id := range f.servedBy {
				is.Equal(id, "t1")
			}
			is.True(bodyLimitCount(t, registry, "redirected") > 0)
			fill("t1")
		}
		before := f.requestsReceived()
		r := f.upload(60_000)
		is.Equal(r.Status, http.StatusServiceUnavailable)
		is.True(strings.Contains(string(r.Header), "Retry-After"))
		is.True(strings.Contains(string(r.Body), "request bodies"))
		is.Equal(f.requestsReceived(), before)
		is.Equal(bodyLimitCount(t, registry, "refused"), 1.0)
		is.Equal(f.upload(10_000).Status, http.StatusOK) // It fits.
		f.balancer.End("t0", held[0], placing.Outcome{Answered: true})
		is.Equal(f.upload(60_000).Status, http.StatusOK)
		is.Equal(f.upload(500_000).Status, http.StatusOK) // Longer than the share, but alone.
	}
}

// Without the bound, the bodies in flight do not matter.
func TestBodiesAreNotBoundedByDefault(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, answerOK)
	_, ok := f.balancer.BeginBody(&placing.Candidate{ID: "t0", Service: "s", Slots: 6}, 1<<40)
	is.True(ok)
	is.Equal(f.upload(60_000).Status, http.StatusOK)
}
