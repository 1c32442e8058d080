package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/evacuation"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/warmup"
)

// newColdFixture returns a fixture whose targets handle perSecond requests while they are cold.
func newColdFixture(t *testing.T, keyed bool, perSecond float64, handlers ...http.HandlerFunc) *fixture {
	evacuations := evacuation.New()
	evacuations.Replace(nil, time.Now(), time.Now())
	f := newFixtureWith(t, evacuations, keyed, func(f *fixture) *warmup.Tracker {
		return warmup.New(warmup.Options{
			VM: "vm", Bounds: warmup.Bounds{Overage: 1.5, Slack: 8}, Directory: f.directory,
			Now:    func() time.Time { return time.Now().Add(f.later) },
			Random: func(int) int { return 0 }, // Each request that may go to a cold target with a token does.
			Service: func(string) (warmup.Service, bool) {
				return warmup.Service{WarmUp: time.Minute, PerSecond: perSecond}, true
			},
		})
	}, handlers...)
	f.warmUp.SetVMs([]string{"vm"})
	f.later = 10 * time.Second // The list of VMs is in use.
	f.warmUp.Refresh()
	return f
}

func (f *fixture) makeCold(id string) {
	f.warmUp.ObserveStatement(f.directory.Snapshot().ByID[id], time.Hour)
}

func (f *fixture) requestsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, by := range f.servedBy {
		if by == id {
			n++
		}
	}
	return n
}

// Idempotent requests go to a cold target that has a token, as its rate would else hardly be used. Others are placed as usual.
func TestIdempotentRequestsUseTokensOfColdTarget(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, false, 1e6, answerOK, answerOK)
	// The other target is the usual choice.
	f.balancer.MergeStats([]placing.SharedStats{{ID: "t0", ServiceTime: 200 * time.Millisecond}, {ID: "t1", ServiceTime: time.Millisecond}})
	f.makeCold("t0")
	f.later += time.Second
	for range 20 {
		is.Equal(f.send("/unsafe/x", "1").Status, 200)
		is.Equal(f.send("/upload/x", "1").Status, 200)
	}
	is.True(f.requestsOf("t0") < 20)
	before := f.requestsOf("t0")
	for range 50 {
		is.Equal(f.send("/safe/x", "1").Status, 200)
	}
	is.Equal(f.requestsOf("t0"), before+50)
}

// A request must not be refused because the cold target whose token it would use is busy, while a warm target is free.
func TestBusyColdTargetIsNotPreferred(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, false, 1e6, answerOK, answerOK)
	f.balancer.MergeStats([]placing.SharedStats{{ID: "t0", ServiceTime: 200 * time.Millisecond}, {ID: "t1", ServiceTime: 200 * time.Millisecond}})
	f.makeCold("t0")
	f.later += time.Second
	is.Equal(f.send("/safe/x", "1").Status, 200)
	is.Equal(f.requestsOf("t0"), 1)
	for range 30 {
		f.balancer.Begin(&placing.Candidate{ID: "t0", Service: "s", Slots: 6})
	}
	for range 10 {
		is.Equal(f.send("/safe/x", "1").Status, 200)
	}
	is.Equal(f.requestsOf("t1"), 10)
}

// Requests that any target may serve go to warm targets while there is no token for the cold one.
func TestColdTargetIsNoCandidate(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, false, 0.01, answerOK, answerOK)
	f.makeCold("t0")
	for range 50 {
		is.Equal(f.send("/unsafe/x", "1").Status, 200)
		is.Equal(f.send("/safe/x", "1").Status, 200)
	}
	is.Equal(f.requestsOf("t0"), 0)
	is.Equal(f.requestsOf("t1"), 100)
}

// A request for which there are only cold targets, or whose owner is cold, is refused at once as not run, with a return time.
func TestRequestsForColdTargetsAreRefusedAtOnce(t *testing.T) {
	for name, keyed := range map[string]bool{"with keys": true, "without keys": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newColdFixture(t, keyed, 0.01, answerOK)
			is.Equal(f.send("/unsafe/x", "5").Status, 200)
			f.makeCold("t0")
			for range 50 {
				start := time.Now()
				r := f.send("/unsafe/x", "5")
				is.Equal(r.Status, http.StatusServiceUnavailable)
				is.True(strings.Contains(string(r.Header), "Retry-After"))
				is.True(strings.Contains(string(r.Body), "cold"))
				is.True(time.Since(start) < 500*time.Millisecond) // Without a wait for an owner.
			}
			is.Equal(f.requestsOf("t0"), 1)
		})
	}
}

// A reset alone must not make a target cold: a target that is full resets connections too.
func TestResetDoesNotMakeTargetCold(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, false, 1, dropConnection)
	for range 10 {
		f.send("/safe/x", "1")
	}
	is.True(f.requestsOf("t0") > 0)
	_, _, cold := f.warmUp.Cold("t0")
	is.True(!cold)
}

// A process that restarts under the same ID refuses connections before its entry changes.
func TestRefusedConnectionMakesTargetCold(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, false, 1, answerOK)
	is.Equal(f.send("/safe/x", "1").Status, 200)
	gone := *f.directory.Snapshot().ByID["t0"]
	f.servers["t0"].Close() // Nothing listens at its address then.
	gone.ID = "gone"
	f.directory.Put(&gone)
	f.directory.Remove("t0")
	f.send("/safe/x", "1")
	_, _, cold := f.warmUp.Cold("gone")
	is.True(cold)
}

// A target that resets a request and has ended another connection that was open and idle has restarted.
func TestEndedConnectionsMakeTargetCold(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{}, 2)
	answer := make(chan struct{})
	f := newColdFixture(t, false, 1, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-answer
		answerOK(w, r)
	})
	done := make(chan struct{})
	for range 2 {
		go func() { f.send("/safe/x", "1"); done <- struct{}{} }()
	}
	<-entered
	<-entered
	answer <- struct{}{} // One of the connections is idle from now on.
	<-done
	f.servers["t0"].CloseClientConnections()
	<-done
	close(answer)
	_, _, cold := f.warmUp.Cold("t0")
	is.True(cold)
}

// The table of owners may name an incarnation whose entry has not arrived. It has started lately and is cold.
func TestUnknownOwnerIsCold(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, true, 0.01, answerOK)
	is.Equal(f.send("/safe/x", "5").Status, 200)
	f.setOwner("t0", 7)
	is.Equal(f.send("/safe/x", "5").Status, http.StatusServiceUnavailable)
	is.Equal(f.requestsOf("t0"), 1)
}

// Without bounds, a target that states that it is cold gets requests as before.
func TestWithoutBoundsColdTargetsGetRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, answerOK)
	f.directory.Put(&fleet.Target{ID: "t0", Service: "s", Address: f.directory.Snapshot().ByID["t0"].Address, Slots: 6, WarmUpLeft: time.Hour})
	for range 20 {
		is.Equal(f.send("/safe/x", "1").Status, 200)
	}
}
