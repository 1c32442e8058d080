package gateway_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/gateway"
	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/platform"
)

// overloaded adds the policy to the fixture. It has been in force for two seconds, and requests of
// both priorities have come since.
func (f *fixture) overloaded() (*prometheus.Registry, *bytes.Buffer) {
	registry, log := prometheus.NewRegistry(), &bytes.Buffer{}
	started := time.Now().Truncate(time.Second)
	now := started
	f.opts.Overload = gateway.NewOverload(gateway.OverloadOptions{
		Registerer: registry, Logger: slog.New(slog.NewTextHandler(log, nil)), Now: func() time.Time { return now },
	})
	f.gateway = gateway.New(f.opts)
	now = started.Add(2 * time.Second)
	f.send("/safe/x", "7")
	f.send("/minor/x", "7")
	return registry, log
}

// load makes the target look as if that many requests of other VMs were at it.
func (f *fixture) load(id string, n int) {
	for range 100 {
		f.balancer.MergeStats([]placing.SharedStats{{ID: id, ServiceTime: 80 * time.Millisecond, Load: n, LoadKnown: true}})
	}
}

// retryAfter returns the time that the answer states, in seconds.
func retryAfter(t *testing.T, r *ingress.Response) float64 {
	_, rest, _ := strings.Cut(string(r.Header), "Retry-After: ")
	text, _, _ := strings.Cut(rest, "\r\n")
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Guards against a less urgent kind that takes the last room in a queue.
func TestRoomIsLeftToTheMoreUrgentKind(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, answerOK)
	registry, _ := f.overloaded()
	f.load("t0", 20) // A wait of 200 ms: within the latency target of 300 ms less 15 %, but not with the work.
	is.Equal(f.send("/minor/x", "7").Status, 503)
	refused := f.send("/minor/x", "7")
	is.True(strings.Contains(string(refused.Body), "requests of priority 1 may wait"))
	is.True(retryAfter(t, refused) >= 0.1 && retryAfter(t, refused) <= 0.267) // A third of 800 ms.
	is.Equal(f.requestsReceived(), 2)
	is.Equal(f.send("/safe/x", "7").Status, 200)
	families, err := registry.Gather()
	is.NoErr(err)
	var text strings.Builder
	for _, family := range families {
		text.WriteString(family.String())
	}
	for _, name := range []string{"basiltally_overload_requests_total", "basiltally_returns_pending", "no_room", "admitted"} {
		is.True(strings.Contains(text.String(), name))
	}
}

// Guards against a hot spot that the assigner learns of late because the policy refuses its requests.
func TestBusyOwnerIsNotedWithThePolicy(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, answerOK)
	f.overloaded()
	f.load("t0", 100)
	f.busySlots = nil
	is.Equal(f.send("/minor/x", "7").Status, 503)
	is.Equal(f.busySlots, []int{6})

	f = newFixture(t, true, answerLoaded("6,3,6", true))
	f.overloaded()
	f.busySlots = nil
	received := f.requestsReceived()
	is.Equal(f.send("/safe/x", "7").Status, 503)
	is.Equal(f.requestsReceived(), received) // The owner is known to be full.
	is.Equal(f.busySlots, []int{6})
}

// A request that may have run must be sent to another target, not refused, however long the queue.
func TestRequestThatMayHaveRunIsNotRefused(t *testing.T) {
	is := is.New(t)
	var f *fixture
	var fail atomic.Bool
	handler := func(w http.ResponseWriter, r *http.Request) {
		if fail.CompareAndSwap(true, false) {
			f.load("t0", 200)
			f.load("t1", 200)
			answerError(w, r)
			return
		}
		answerOK(w, r)
	}
	f = newFixture(t, false, handler, handler)
	f.overloaded()
	fail.Store(true)
	is.Equal(f.send("/minor/x", "").Status, 200)
	is.Equal(f.requestsReceived(), 4)
	is.Equal(f.send("/minor/x", "").Status, 503)
}

// Guards against reading the body of an upload that no target can serve in time.
func TestUploadIsRefusedBeforeItsBody(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		is := is.New(t)
		f := newFixture(t, keyed, answerOK, answerOK)
		f.load("t0", 200)
		request := uploadRequest("/upload/x", "700")
		request.Header.Set(platform.CallerHeaders().Key, "7")
		refusal, _ := f.gateway.Precheck(request)
		is.Equal(refusal, nil) // Without the policy, the body is read.
		f.overloaded()
		refusal, _ = f.gateway.Precheck(request)
		is.Equal(refusal != nil, keyed) // Only the owner may serve a key.
		f.load("t1", 200)
		refusal, _ = f.gateway.Precheck(request)
		is.Equal(refusal.Status, 503)
		is.True(retryAfter(t, refusal) <= 0.234)
		f.load("t0", 0)
		refusal, _ = f.gateway.Precheck(request)
		is.Equal(refusal, nil)
	}
}

// Many refusals in a second must not flood the log.
func TestLinesOnRefusalsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, answerOK)
	_, log := f.overloaded()
	f.load("t0", 200)
	for range 50 {
		r := uploadRequest("/minor/x", "800")
		r.Header.Set(platform.CallerHeaders().Key, "7")
		is.Equal(f.gateway.Serve(context.Background(), r).Status, 503)
	}
	is.Equal(strings.Count(log.String(), "refused for lack of room"), 20)
	is.True(strings.Contains(log.String(), "id=1 service=s route=/minor/ priority=1"))
}
