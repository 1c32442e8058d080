package gateway_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/gateway"
	"github.com/basiltally/basiltally/ingress"
)

// longAgo is longer than any drain time.
const longAgo = time.Minute

// The owner of a key must not get requests for as long as the table names it: no assigner may be there to move the key.
func TestLeavingOwnerGetsNoRequest(t *testing.T) {
	leave := map[string]func(f *fixture){
		"draining": func(f *fixture) { f.markDraining("t0", longAgo) },
		"removed": func(f *fixture) {
			f.entryAge = longAgo
			f.directory.Remove("t0")
		},
	}
	for name, change := range leave {
		for _, path := range []string{"/safe/x", "/unsafe/x"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, true, answerOK)
				is.Equal(f.send(path, "5").Status, 200)
				change(f)
				r := f.send(path, "5")
				is.Equal(r.Status, http.StatusServiceUnavailable)
				is.True(strings.Contains(string(r.Header), "Retry-After"))
				is.Equal(f.requestsReceived(), 1) // Only that before the change.
			})
		}
	}
}

// A request that waits for a connection must not be sent to a target that has begun to leave meanwhile.
func TestWaitingRequestIsNotSentToLeavingOwner(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}, 2), make(chan struct{})
	f := newFixture(t, true, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-leave
		answerOK(w, r)
	})
	f.upstream.SetLimit(1)
	first, second := make(chan *ingress.Response, 1), make(chan *ingress.Response, 1)
	go func() { first <- f.send("/safe/x", "5") }()
	<-entered
	go func() { second <- f.send("/safe/x", "5") }()
	time.Sleep(50 * time.Millisecond) // The second request waits for the connection of the first.
	f.markDraining("t0", longAgo)
	close(leave)
	is.Equal((<-first).Status, 200)
	is.Equal((<-second).Status, http.StatusServiceUnavailable)
	is.Equal(f.requestsReceived(), 1)
}

// A repeat must be placed by what is known then, not by what was known when the request began.
func TestRepeatIsNotSentToTargetThatLeftMeanwhile(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{"lost answer": dropConnection, "target has no room": answerFull} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f *fixture
			first := true
			handler := func(other string) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					if first {
						first = false
						f.markDraining(other, longAgo)
					}
					answer(w, r)
				}
			}
			f = newFixture(t, false, handler("t1"), handler("t0"))
			f.send("/safe/x", "1")
			is.Equal(f.requestsReceived(), 1)
		})
	}
}

// Targets that leave get no request of a service without keys while another target is ready.
func TestUnkeyedRequestsPreferReadyTargets(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, answerOK, answerOK)
	f.markDraining("t0", 0)
	for range 20 {
		is.Equal(f.send("/safe/x", "1").Status, 200)
	}
	f.mu.Lock()
	is.True(!slices.Contains(f.servedBy, "t0"))
	f.mu.Unlock()
	f.markDraining("t1", 0)
	is.Equal(f.send("/safe/x", "1").Status, 200) // No other target is left.
}

// A repeat must be placed among the targets that are known then.
func TestRepeatUsesTargetThatCameMeanwhile(t *testing.T) {
	is := is.New(t)
	var f *fixture
	var late *fleet.Target
	f = newFixture(t, false, func(w http.ResponseWriter, r *http.Request) {
		f.directory.Put(late)
		answerFull(w, r)
	}, answerOK)
	late = f.directory.Snapshot().ByID["t1"]
	f.directory.Remove("t1")
	is.Equal(f.send("/safe/x", "1").Status, 200)
	is.Equal(f.requestsReceived(), 2)
}

// Guards against a record of a late request that does not tell how old the VM's knowledge was.
func TestRequestsTellTheAgeOfTheTargets(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, answerOK)
	var log bytes.Buffer
	registry := prometheus.NewRegistry()
	f.opts.Registerer, f.opts.Logger = registry, slog.New(slog.NewTextHandler(&log, nil))
	f.opts.TargetsKnownAgo = func() (time.Duration, bool) { return 1200 * time.Millisecond, true }
	f.gateway = gateway.New(f.opts)
	is.Equal(f.send("/safe/x", "").Status, 200)
	is.True(strings.Contains(log.String(), "known_ms_ago=1200"))
	families, err := registry.Gather()
	is.NoErr(err)
	for _, m := range families {
		if m.GetName() == "basiltally_targets_known_age_seconds" {
			is.Equal(m.GetMetric()[0].GetHistogram().GetSampleSum(), 1.2)
			return
		}
	}
	t.Error("the age is not counted")
}
