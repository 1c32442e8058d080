package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/platform"
)

// answerLoaded answers with the load, and refuses the request if full is set.
func answerLoaded(load string, full bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.TargetHeaders().Load, load)
		if full {
			answerFull(w, r)
			return
		}
		answerOK(w, r)
	}
}

// Requests must be refused before they are sent if all targets are known to be full.
func TestAllTargetsFullRefusesAtOnce(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		is := is.New(t)
		f := newFixture(t, keyed, answerLoaded("6,3,6", true))
		is.Equal(f.send("/safe/x", "5").Status, http.StatusServiceUnavailable)
		is.Equal(f.requestsReceived(), 1)
		r := f.send("/safe/x", "5")
		is.Equal(r.Status, http.StatusServiceUnavailable)
		is.True(strings.Contains(string(r.Header), "Retry-After"))
		is.Equal(f.requestsReceived(), 1)
		for _, o := range f.balancer.TakeObservations() {
			is.Equal(o.Failures, 0)
		}
	}
}

// A refusal with free slots, such as for a limit, does not show that the target is full.
func TestRefusalWithFreeSlotsDoesNotMakeFull(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, answerLoaded("2,0,6", true))
	f.send("/safe/x", "5")
	is.True(!f.balancer.Full(&placing.Candidate{ID: "t0", Service: "s", Slots: 6}))
}

// Guards against a crash of a busy target that is put down to load.
func TestBusyTargetThatEndsIdleConnectionsHasFailed(t *testing.T) {
	is := is.New(t)
	entered, answer, done := make(chan struct{}, 2), make(chan struct{}), make(chan struct{})
	f := newFixture(t, false, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-answer
		answerLoaded("5,0,6", false)(w, r)
	})
	c := &placing.Candidate{ID: "t0", Service: "s", Slots: 6}
	end := func(o placing.Outcome) { f.balancer.End("t0", f.balancer.Begin(c), o) }
	end(placing.Outcome{Answered: true, Refused: true, Full: true, LoadKnown: true, Running: 6, Waiting: 3})
	for range 30 {
		end(placing.Outcome{Answered: true, LoadKnown: true, Running: 5})
	}
	f.balancer.TakeObservations()
	for range 2 {
		go func() { f.send("/unsafe/x", ""); done <- struct{}{} }()
	}
	<-entered
	<-entered
	answer <- struct{}{} // One of the connections is idle from now on.
	<-done
	f.servers["t0"].CloseClientConnections()
	<-done
	close(answer)
	is.Equal(f.balancer.TakeObservations()[0].Failures, 1)
}

// Guards against resets by full targets that count as failures or close idle connections, and against a second send.
func TestResetByFullTargetIsNoFailureOfTheExchange(t *testing.T) {
	is := is.New(t)
	var resets atomic.Bool
	f := newFixture(t, false, func(w http.ResponseWriter, r *http.Request) {
		if resets.Load() {
			dropConnection(w, r)
		}
		answerLoaded("6,3,6", false)(w, r)
	})
	c := &placing.Candidate{ID: "t0", Service: "s", Slots: 6}
	end := func(o placing.Outcome) { f.balancer.End("t0", f.balancer.Begin(c), o) }
	// The target resets a connection while its slots are busy, and is seen to run afterwards, with room.
	end(placing.Outcome{Answered: true, LoadKnown: true, Running: 6, Waiting: 3})
	end(placing.Outcome{Failed: true, Reset: true})
	for range 30 {
		end(placing.Outcome{Answered: true, LoadKnown: true, Running: 5})
	}
	is.Equal(f.send("/safe/x", "").Status, 200)
	f.balancer.TakeObservations()
	for range 30 {
		end(placing.Outcome{Answered: true, LoadKnown: true, Running: 5})
	}
	address := f.directory.Snapshot().ByID["t0"].Address
	is.True(f.upstream.IdleAddresses(0)[address])
	resets.Store(true)
	before := f.requestsReceived()
	r := f.send("/unsafe/x", "")
	is.Equal(r.Status, http.StatusBadGateway)
	is.Equal(f.requestsReceived(), before+1)
	for _, o := range f.balancer.TakeObservations() {
		is.Equal(o.Failures, 0)
	}
	is.Equal(len(f.balancer.Unreachable()), 0)
	time.Sleep(10 * time.Millisecond)
	is.Equal(len(f.suspects.Snapshot().Suspects), 0)
}
