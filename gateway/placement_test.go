package gateway_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/evacuation"
	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/warmup"
)

// place moves a target to a data centre and a region.
func (f *fixture) place(id, dataCentre, region string) {
	t := *f.directory.Snapshot().ByID[id]
	t.DataCentre, t.Region = dataCentre, region
	f.directory.Put(&t)
}

// allow puts a configuration into force in which the requests of all routes may be sent to the regions only.
func (f *fixture) allow(regions ...string) {
	c := *f.routes.Load().Config
	c.Version++
	c.Routes = slices.Clone(c.Routes)
	for i := range c.Routes {
		c.Routes[i].AllowedRegions = regions
	}
	f.routes.Store(routing.NewTable(&c))
}

// served returns the IDs of the targets that received a request, without repetitions.
func (f *fixture) served() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := slices.Clone(f.servedBy)
	slices.Sort(ids)
	return slices.Compact(ids)
}

// checkRefused checks that a request was refused as not run, with the code, and can be retried.
func checkRefused(is *is.I, r *ingress.Response, code string) {
	is.Helper()
	is.Equal(r.Status, http.StatusServiceUnavailable)
	is.True(strings.Contains(string(r.Header), "Basiltally-Code: "+code+"\r\n"))
	is.True(strings.Contains(string(r.Header), "Retry-After: "))
}

const (
	codeEvacuated        = "1206"
	codeRegionNotAllowed = "1207"
)

// First attempts and retries must stay in the allowed regions, also when the targets there fail or have no room.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{"served": answerOK, "lost answers": dropConnection, "no room": answerFull, "failures": answerError} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/six/x"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, false, answer, answer, answerOK, answerOK)
				f.place("t0", "dc0", "r1")
				f.place("t1", "dc1", "r2")
				f.place("t2", "dc2", "r3")
				// The region of t3 is not known.
				f.allow("r1", "r2")
				for range 30 {
					f.send(path, "")
				}
				// Which of the two gets most is up to the balancer.
				is.True(f.requestsReceived() > 0)
				is.True(!slices.Contains(f.served(), "t2"))
				is.True(!slices.Contains(f.served(), "t3"))
			})
		}
	}
}

// A request must not go elsewhere because no target is left in its allowed regions.
func TestRequestWithoutTargetInAllowedRegionsIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, answerOK, answerOK)
	f.place("t0", "dc0", "r1")
	f.place("t1", "dc1", "r2")
	f.allow("r2")
	is.Equal(f.send("/safe/x", "").Status, 200)
	f.directory.Remove("t1")
	checkRefused(is, f.send("/safe/x", ""), codeRegionNotAllowed)
	refusal, _ := f.gateway.Precheck(uploadRequest("/upload/x", "700"))
	checkRefused(is, refusal, codeRegionNotAllowed)
	is.Equal(f.served(), []string{"t1"})
	f.allow()
	refusal, _ = f.gateway.Precheck(uploadRequest("/upload/x", "700"))
	is.Equal(refusal, nil)
	is.Equal(f.send("/safe/x", "").Status, 200)
}

// Guards against a request for a key sent to an owner outside the allowed regions.
func TestKeyWithOwnerOutsideAllowedRegionsIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, answerOK)
	f.place("t0", "dc0", "r1")
	f.allow("r2", "r3")
	checkRefused(is, f.send("/unsafe/x", "5"), codeRegionNotAllowed)
	upload := uploadRequest("/upload/x", "700")
	upload.Header.Set(platform.CallerHeaders().Key, "5")
	refusal, _ := f.gateway.Precheck(upload)
	checkRefused(is, refusal, codeRegionNotAllowed)
	f.allow("r1")
	refusal, _ = f.gateway.Precheck(upload)
	is.Equal(refusal, nil)
	is.Equal(f.requestsReceived(), 0)
	is.Equal(f.send("/unsafe/x", "5").Status, 200)
	// The directory no longer says where the owner is.
	f.directory.Remove("t0")
	checkRefused(is, f.send("/unsafe/x", "5"), codeRegionNotAllowed)
}

// A key whose owner is lost must not wait for an owner that its request must not be sent to.
func TestKeyWithoutOwnerAndWithoutPlaceIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, answerOK, answerOK) // t1 does not hold its keys.
	f.table.Entries[1].Wait = time.Millisecond
	f.place("t0", "dc0", "r1")
	f.place("t1", "dc1", "r1")
	f.allow("r2")
	start := time.Now()
	checkRefused(is, f.send("/safe/x", "105"), codeRegionNotAllowed)
	is.True(time.Since(start) < 200*time.Millisecond) // It would wait for 320 ms.
	f.allow()
	f.evacuations.Begin("dc0", time.Now())
	f.evacuations.Begin("dc1", time.Now())
	start = time.Now()
	checkRefused(is, f.send("/safe/x", "105"), codeEvacuated)
	is.True(time.Since(start) < 200*time.Millisecond)
}

// Guards against requests that reach an evacuated data centre.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	is := is.New(t)
	free := newFixture(t, false, answerOK, answerOK, answerOK)
	for i, id := range []string{"t0", "t1", "t2"} {
		free.place(id, []string{"dc0", "dc0", "dc1"}[i], "r1")
	}
	free.evacuations.Begin("dc0", time.Now())
	for range 30 {
		is.Equal(free.send("/safe/x", "").Status, 200)
	}
	is.Equal(free.served(), []string{"t2"})
	free.evacuations.Begin("dc1", time.Now()) // All of the region.
	checkRefused(is, free.send("/safe/x", ""), codeEvacuated)
	refusal, _ := free.gateway.Precheck(uploadRequest("/upload/x", "700"))
	checkRefused(is, refusal, codeEvacuated)
	free.evacuations.End("dc0", time.Now())
	is.Equal(free.send("/safe/x", "").Status, 200)

	keyed := newFixture(t, true, answerOK)
	keyed.place("t0", "dc0", "r1")
	keyed.evacuations.Begin("dc0", time.Now())
	is.Equal(keyed.send("/safe/x", "5").Status, 200) // The keys are being moved.
	keyed.later = evacuate - 900*time.Millisecond
	checkRefused(is, keyed.send("/safe/x", "5"), codeEvacuated)
	keyed.evacuations.Begin("dc0", time.Now()) // Written again.
	checkRefused(is, keyed.send("/safe/x", "5"), codeEvacuated)
	is.Equal(keyed.requestsReceived(), 1)
	keyed.evacuations.End("dc0", time.Now())
	is.Equal(keyed.send("/safe/x", "5").Status, 200)
}

// A request of a route with allowed regions must not leave them because they are being evacuated.
func TestRequestIsRefusedIfItsOnlyRegionIsEvacuated(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, answerOK, answerOK)
	f.place("t0", "dc0", "r1")
	f.place("t1", "dc1", "r2")
	f.allow("r1")
	f.evacuations.Begin("dc0", time.Now())
	checkRefused(is, f.send("/safe/x", ""), codeEvacuated)
	is.Equal(f.requestsReceived(), 0)
}

// The owner of a key that is not listed here may be in any data centre.
func TestOwnerInUnknownDataCentreMayBeEvacuated(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, answerOK)
	f.setOwner("t0", 9) // An incarnation that is not listed yet.
	is.Equal(f.send("/safe/x", "5").Status, 200)
	f.evacuations.Begin("dc5", time.Now().Add(-evacuate))
	checkRefused(is, f.send("/safe/x", "5"), codeEvacuated)
}

// A request may wait for a connection for seconds. It must not be sent if a change meanwhile forbids it.
func TestWaitingRequestIsNotSentToForbiddenPlace(t *testing.T) {
	changes := map[string]func(f *fixture){
		"evacuation begins": func(f *fixture) { f.evacuations.Begin("dc0", time.Now().Add(-evacuate)) },
		"regions change":    func(f *fixture) { f.allow("r2") },
		"process stalls":    func(f *fixture) { f.stalls.Doubt() },
	}
	for name, change := range changes {
		for _, keyed := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				entered, leave := make(chan struct{}, 2), make(chan struct{})
				f := newFixture(t, keyed, func(w http.ResponseWriter, r *http.Request) {
					entered <- struct{}{}
					<-leave
					answerOK(w, r)
				})
				f.place("t0", "dc0", "r1")
				f.upstream.SetLimit(1)
				first, second := make(chan *ingress.Response, 1), make(chan *ingress.Response, 1)
				go func() { first <- f.send("/safe/x", "5") }()
				<-entered
				go func() { second <- f.send("/safe/x", "5") }()
				time.Sleep(50 * time.Millisecond) // The second request waits for the connection of the first.
				change(f)
				close(leave)
				is.Equal((<-first).Status, 200) // A request that runs is completed.
				is.Equal((<-second).Status, http.StatusServiceUnavailable)
				is.Equal(f.requestsReceived(), 1)
			})
		}
	}
}

// A retry must be placed by what is known then.
func TestRetryIsNotSentToDataCentreEvacuatedMeanwhile(t *testing.T) {
	is := is.New(t)
	var f *fixture
	first := true
	handler := func(other string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if first {
				first = false
				f.evacuations.Begin(other, time.Now())
			}
			answerFull(w, nil)
		}
	}
	f = newFixture(t, false, handler("dc1"), handler("dc0"))
	f.place("t0", "dc0", "r1")
	f.place("t1", "dc1", "r1")
	f.send("/safe/x", "")
	is.Equal(f.requestsReceived(), 1)
}

// Until all evacuations are known, a request could reach an evacuated data centre.
func TestRequestsAreRefusedUntilEvacuationsAreListed(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(t, evacuation.New(), false, func(*fixture) *warmup.Tracker { return nil }, answerOK)
	r := f.send("/safe/x", "")
	is.Equal(r.Status, http.StatusServiceUnavailable)
	is.True(strings.Contains(string(r.Body), "evacuated"))
	is.Equal(f.requestsReceived(), 0)
	f.evacuations.Replace(nil, time.Now(), time.Now())
	is.Equal(f.send("/safe/x", "").Status, 200)
}

// A VM that was suspended knows nothing of an evacuation that has begun meanwhile.
func TestRequestsAreRefusedAfterAStall(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		is := is.New(t)
		f := newFixture(t, keyed, answerOK)
		f.stalls.Doubt()
		checkRefused(is, f.send("/safe/x", "5"), "1501")
		refusal, _ := f.gateway.Precheck(uploadRequest("/upload/x", "700"))
		checkRefused(is, refusal, "1501")
		is.Equal(f.requestsReceived(), 0)
		resumed, _ := f.stalls.Beat()
		f.stalls.Confirm(resumed)
		is.Equal(f.send("/safe/x", "5").Status, 200)
	}
}

// Leaving targets still serve if the ready ones may not.
func TestLeavingTargetServesWhileReadyOnesAreForbidden(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, answerOK, answerOK)
	f.place("t0", "dc0", "r1")
	f.place("t1", "dc1", "r1")
	f.markDraining("t1", 0)
	f.evacuations.Begin("dc0", time.Now())
	is.Equal(f.send("/safe/x", "").Status, 200)
	is.Equal(f.served(), []string{"t1"})
}

// Guards against a restriction that an unreadable list of regions lifts for a request on its way.
func TestUnreadableListOfRegionsDoesNotLiftTheLastOne(t *testing.T) {
	is := is.New(t)
	var f *fixture
	f = newFixture(t, false, func(w http.ResponseWriter, r *http.Request) {
		c := *f.routes.Load().Config
		c.Version++
		c.Routes = slices.Clone(c.Routes)
		for i := range c.Routes {
			c.Routes[i].AllowedRegions, c.Routes[i].Unserved = nil, "the list of regions cannot be decoded"
		}
		f.routes.Store(routing.NewTable(&c))
		answerError(w, r)
	}, answerOK)
	f.place("t0", "dc0", "r1")
	f.place("t1", "dc1", "r2")
	f.allow("r1")
	is.Equal(f.send("/safe/x", "").Status, http.StatusInternalServerError)
	is.Equal(f.served(), []string{"t0"})
}
