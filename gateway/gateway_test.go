package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/budget"
	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/evacuation"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/gateway"
	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/shard"
	"github.com/basiltally/basiltally/upstream"
	"github.com/basiltally/basiltally/warmup"
)

// evacuate is the time after which no request may reach a data centre that is being evacuated.
const evacuate = 5 * time.Second

// fixedTable implements gateway.Shards with a table that never changes.
type fixedTable struct{ table *shard.Table }

// panicTerm is the term of a table that causes a panic.
const panicTerm = 999

func (f fixedTable) Table(string) *shard.Table {
	if f.table.Version.Term == panicTerm {
		panic("an error that the test plants")
	}
	return f.table
}
func (f fixedTable) Changed() <-chan struct{} { return nil }

// fixture is a Gateway in front of scripted targets.
type fixture struct {
	t         *testing.T
	gateway   *gateway.Gateway
	balancer  *placing.Balancer
	directory *fleet.Directory
	upstream  *upstream.Client
	suspects  *quarantine.Tracker
	warmUp    *warmup.Tracker
	servers   map[string]*httptest.Server
	// busySlots holds the slots of the owners of keys that were busy.
	busySlots []int
	// entryAge is how long ago the directory takes its changes to have been made.
	entryAge time.Duration
	// later is added to the time by which it is decided what targets may get.
	later time.Duration
	table *shard.Table
	// routes is the configuration in force.
	routes      atomic.Pointer[routing.Table]
	evacuations *evacuation.Set
	stalls      *evacuation.StallGuard

	opts gateway.Options

	mu sync.Mutex
	// servedBy holds the IDs of the targets that received a request, in order.
	servedBy   []string
	lastHeader http.Header
}

// newFixture returns a fixture with a target for each handler: t0, t1, ...
func newFixture(t *testing.T, keyed bool, handlers ...http.HandlerFunc) *fixture {
	evacuations := evacuation.New()
	evacuations.Replace(nil, time.Now(), time.Now())
	return newFixtureWith(t, evacuations, keyed, func(*fixture) *warmup.Tracker { return nil }, handlers...)
}

// newFixtureWith is newFixture with the data centres that are being evacuated and what bounds the requests for cold targets.
func newFixtureWith(t *testing.T, evacuations *evacuation.Set, keyed bool, warmUp func(*fixture) *warmup.Tracker, handlers ...http.HandlerFunc) *fixture {
	f := &fixture{
		servers: map[string]*httptest.Server{}, t: t, evacuations: evacuations, stalls: evacuation.NewStallGuard(time.Hour, boottime.Now), balancer: placing.New(placing.Options{LearnFull: true}), upstream: upstream.New(upstream.Options{Headers: platform.TargetHeaders()}),
		suspects: quarantine.New(quarantine.Options{MinCrashes: 3}),
	}
	f.directory = fleet.NewDirectory(fleet.DirectoryOptions{Now: func() time.Time { return time.Now().Add(-f.entryAge) }})
	f.warmUp = warmUp(f)
	table := &shard.Table{Version: shard.Version{Term: 1, Seq: 1}, PublishedAt: boottime.Now()}
	for i, h := range handlers {
		id := fmt.Sprintf("t%d", i)
		server := httptest.NewServer(f.record(id, h))
		t.Cleanup(server.Close)
		f.servers[id] = server
		address := server.Listener.Addr().String()
		f.directory.Put(&fleet.Target{ID: id, Service: "s", Address: address, Slots: 6})
		table.Entries = append(table.Entries, shard.Entry{
			Keys: shard.KeyRange{From: shard.Key(100 * i), To: shard.Key(100*i + 99)}, Owner: shard.Holder{ID: id, Address: address}, Held: i == 0,
			Wait: time.Minute,
		})
	}
	f.table = table
	sixAttempts := f.route("/six/", routing.Idempotent)
	sixAttempts.MaxAttempts = 6
	minor := f.route("/minor/", routing.Idempotent)
	minor.Priority = 1
	f.routes.Store(routing.NewTable(&routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: "s", Keyed: keyed}},
		Routes: []routing.Route{
			f.route("/safe/", routing.Idempotent), f.route("/unsafe/", routing.AtMostOnce), f.route("/upload/", routing.Upload), sixAttempts, minor,
		},
	}))
	keyCounter := gateway.NewKeyCounter()
	keyCounter.OnBusyOwner(func(slots int) { f.busySlots = append(f.busySlots, slots) })
	f.opts = gateway.Options{
		Headers: platform.CallerHeaders(), TargetHeaders: platform.TargetHeaders(),
		Routes: f.routes.Load, Evacuations: f.evacuations, Directory: f.directory, Eligibility: eligibility.New(eligibility.Options{
			Directory: f.directory, Now: func() time.Time { return time.Now().Add(f.later) }, WarmUp: f.warmUp,
			Evacuation: eligibility.EvacuationOptions{Set: f.evacuations, Stalls: f.stalls, Time: evacuate},
		}), Shards: fixedTable{table}, Balancer: f.balancer,
		Upstream: f.upstream,
		Budget:   budget.New(budget.Options{Ratio: 0.2, ExtraRetries: 1000}), KeyCounter: keyCounter,
		Crashes: gateway.NewCrashWatch(gateway.CrashWatchOptions{
			Tracker: f.suspects, Directory: f.directory, Connected: f.upstream.Connected, Probe: f.upstream.Probe,
		}),
	}
	f.gateway = gateway.New(f.opts)
	return f
}

func (f *fixture) route(prefix string, kind routing.Kind) routing.Route {
	return routing.Route{
		Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond,
		Services: []routing.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2,
	}
}

func (f *fixture) record(id string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.servedBy = append(f.servedBy, id)
		f.lastHeader = r.Header.Clone()
		f.mu.Unlock()
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		h(w, r)
	}
}

// markDraining changes a target's entry to draining, as if this had been learned the given time ago.
func (f *fixture) markDraining(id string, ago time.Duration) {
	t := *f.directory.Snapshot().ByID[id]
	t.State = fleet.Draining
	f.entryAge = ago
	f.directory.Put(&t)
}

// setOwner changes the incarnation that the table names as the owner of the target's keys.
func (f *fixture) setOwner(id string, born int64) {
	for i := range f.table.Entries {
		if f.table.Entries[i].Owner.ID == id {
			f.table.Entries[i].Owner.Born = born
		}
	}
}

// requestsReceived returns the number of requests that targets received.
// onlyReady leaves only the targets with the IDs in the directory.
func (f *fixture) onlyReady(ids ...string) {
	var listed []*fleet.Target
	for _, id := range ids {
		for _, e := range f.table.Entries {
			if e.Owner.ID == id {
				listed = append(listed, &fleet.Target{ID: id, Service: "s", Address: e.Owner.Address, Slots: 6})
			}
		}
	}
	f.directory.Replace(listed)
}

func (f *fixture) requestsReceived() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.servedBy)
}

// header returns a header of the last request that a target received.
func (f *fixture) header(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastHeader.Get(name)
}

func (f *fixture) send(path, key string, extra ...string) *ingress.Response {
	f.t.Helper()
	text := "GET " + path + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nRequest-Deadline-Ms: 800\r\nShard-Key: " + key + "\r\n" +
		strings.Join(extra, "") + "\r\n"
	h := &fasthttp.RequestHeader{}
	if err := h.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		f.t.Fatal(err)
	}
	return f.gateway.Serve(context.Background(), &ingress.Request{Header: h, Received: time.Now()})
}

func answerOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Server-Seal", "1")
	fmt.Fprint(w, "good")
}

func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerFull(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func answerError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Server-Seal", "1")
	w.WriteHeader(http.StatusInternalServerError)
}

// crashOn answers requests, and ends the target's process at one for the path.
func crashOn(path string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			answerOK(w, r)
			return
		}
		server := r.Context().Value(http.ServerContextKey).(*http.Server)
		server.Close()
		panic(http.ErrAbortHandler)
	}
}

// A request that crashes targets reached one after the other, and ended what others ran there.
func TestRequestThatCrashesTargetsIsRefusedAsNotRun(t *testing.T) {
	for _, path := range []string{"/unsafe/crash", "/safe/crash"} {
		is := is.New(t)
		f := newFixture(t, false, crashOn(path), crashOn(path), crashOn(path), crashOn(path), crashOn(path), crashOn(path))
		var r *ingress.Response
		for range 8 {
			r = f.send(path, "")
			is.True(r.Status == 502 || r.Status == 503)
			time.Sleep(50 * time.Millisecond) // The addresses are looked at in the background.
		}
		is.Equal(r.Status, 503)
		is.True(strings.Contains(string(r.Header), "1401"))
		is.True(strings.Contains(string(r.Header), "Retry-After"))
		is.True(f.requestsReceived() <= 4)
		is.Equal(f.send("/safe/other", "").Status, 200)
	}
}

// A request that other VMs had come to suspect while it ran here was sent on to the next target.
func TestRequestIsNotSentAgainOnceItIsQuarantined(t *testing.T) {
	is := is.New(t)
	var f *fixture
	failing := func(w http.ResponseWriter, r *http.Request) {
		record := f.suspects.Snapshot()
		for target := range uint64(3) {
			crash := &pb.TargetCrash{Target: target, Incarnation: 1, AtMs: time.Now().UnixMilli()}
			record.Suspects[0].Crashes = append(record.Suspects[0].Crashes, crash)
		}
		f.suspects.Merge(record)
		answerError(w, r)
	}
	f = newFixture(t, false, crashOn("/six/x"), failing, failing, failing)
	f.onlyReady("t0")
	is.Equal(f.send("/six/x", "").Status, http.StatusBadGateway)
	time.Sleep(50 * time.Millisecond) // The address is looked at in the background.
	f.onlyReady("t1", "t2", "t3")
	is.Equal(f.send("/six/x", "").Status, http.StatusInternalServerError) // The target's own answer.
	is.Equal(f.requestsReceived(), 2)
}

// A request with many attempts left crashed one target after the other before it could be suspected.
func TestRequestWhoseExchangesBreakOffIsNotSentToEachTarget(t *testing.T) {
	is := is.New(t)
	drop := http.HandlerFunc(dropConnection)
	f := newFixture(t, false, drop, drop, drop, drop, drop, drop)
	is.Equal(f.send("/six/x", "").Status, http.StatusBadGateway)
	is.Equal(f.requestsReceived(), 2)
}

func TestIdempotentRequestIsSentToAnotherTarget(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{"lost answer": dropConnection, "failure": answerError, "target has no room": answerFull} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, false, h, answerOK)
			for range 5 {
				is.Equal(f.send("/safe/x", "1").Status, 200)
			}
		})
	}
}

func TestAtMostOnceRequestIsSentAgainOnlyIfItDidNotRun(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		status  int
		sends   int
	}{
		{"lost answer", dropConnection, http.StatusBadGateway, 1},
		{"failure is passed on", answerError, http.StatusInternalServerError, 1},
		{"no target has room", answerFull, http.StatusServiceUnavailable, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, false, tt.handler, tt.handler, tt.handler)
			r := f.send("/unsafe/x", "1")
			is.Equal(r.Status, tt.status)
			is.Equal(f.requestsReceived(), tt.sends) // At most max_attempts targets.
			is.Equal(strings.Contains(string(r.Header), "Retry-After"), tt.status == http.StatusServiceUnavailable)
		})
	}
}

func TestHeadersSentToTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, answerOK)
	r := f.send("/safe/x", "5", "Connection: keep-alive, X-Mine\r\n", "X-Mine: 1\r\n", "X-Other: 2\r\n", "Target-Instance: forged\r\n")
	is.Equal(r.Status, 200)
	is.Equal(f.header("Target-Instance"), "t0")
	is.Equal(f.header("Shard-Key"), "5")
	is.Equal(f.header("X-Other"), "2")
	is.Equal(f.header("X-Mine"), "")
	is.True(f.header("Request-Deadline-Ms") <= "800" && len(f.header("Request-Deadline-Ms")) <= 3)
}

// Requests that cannot be served must be refused at once and reach no target.
func TestRefusalsAreImmediate(t *testing.T) {
	tests := []struct {
		name, path, key, code string
		status                int
	}{
		{"no route", "/other/", "1", "1003", 404},
		{"invalid key", "/safe/x", "none", "1001", 400},
		{"no owner for a minute", "/safe/x", "150", "1201", 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, true, answerOK, answerOK)
			began := time.Now()
			r := f.send(tt.path, tt.key)
			is.Equal(r.Status, tt.status)
			is.True(strings.Contains(string(r.Header), "Basiltally-Code: "+tt.code))
			is.True(time.Since(began) < 200*time.Millisecond)
			is.Equal(f.requestsReceived(), 0)
		})
	}
}

// Requests must be refused if the owner's queue is longer than the latency target allows.
func TestLongOwnerQueueRefusesRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, answerOK)
	for range 60 {
		f.balancer.Begin(&placing.Candidate{ID: "t0", Slots: 1})
	}
	r := f.send("/safe/x", "5")
	is.Equal(r.Status, 503)
	is.True(strings.Contains(string(r.Header), "Basiltally-Code: 1106"))
	is.True(strings.Contains(string(r.Header), "Retry-After"))
	is.Equal(f.requestsReceived(), 0)
}

// The caller must get the final answer at the route's timeout, even for at-most-once requests.
func TestRouteTimeoutBoundsAnswerTime(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	})
	began := time.Now()
	r := f.send("/unsafe/x", "1")
	is.Equal(r.Status, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 1300*time.Millisecond)
}

// uploadRequest returns a request to the path of which the body was not read yet.
func uploadRequest(path, left string) *ingress.Request {
	h := &fasthttp.RequestHeader{}
	h.SetMethod("POST")
	h.SetHost("h")
	h.SetRequestURI(path)
	h.Set("Attempt-Id", "1")
	h.Set("Request-Deadline-Ms", left)
	return &ingress.Request{Header: h, Received: time.Now()}
}

// What cannot be served must be refused before its body is read, as not run.
func TestPrecheckRefusesWhatCannotBeServed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, func(http.ResponseWriter, *http.Request) {})
	refusal, until := f.gateway.Precheck(uploadRequest("/upload/x", "700"))
	is.Equal(refusal, nil)
	is.True(time.Until(until) > 500*time.Millisecond && time.Until(until) <= 700*time.Millisecond)
	refusal, _ = f.gateway.Precheck(uploadRequest("/elsewhere/x", "700"))
	is.Equal(refusal.Status, 404)
	refusal, _ = f.gateway.Precheck(uploadRequest("/upload/x", "0"))
	is.Equal(refusal.Status, 503)
	f.directory.Remove("t0")
	refusal, _ = f.gateway.Precheck(uploadRequest("/upload/x", "700"))
	is.Equal(refusal.Status, 503)
	is.True(strings.Contains(string(refusal.Header), "Retry-After: "))
	is.Equal(f.requestsReceived(), 0)
}

// An upload may have run if its answer is lost: it must not be sent again.
func TestUploadIsNotRepeated(t *testing.T) {
	is := is.New(t)
	hangUp := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	f := newFixture(t, false, hangUp, hangUp)
	r := uploadRequest("/upload/x", "1000")
	r.Body = []byte(strings.Repeat("x", 100_000))
	is.Equal(f.gateway.Serve(context.Background(), r).Status, 502)
	is.Equal(f.requestsReceived(), 1)
}

// Requests that arrive too late in a stop, or find no memory, are refused as not run.
func TestRefusalsOfTheIngressAreNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, func(http.ResponseWriter, *http.Request) {})
	for _, cause := range []ingress.RefusalCause{ingress.NoMemory, ingress.Stopping} {
		refusal := f.gateway.Refuse(uploadRequest("/upload/x", "700"), cause)
		is.Equal(refusal.Status, 503)
		is.True(strings.Contains(string(refusal.Header), "Retry-After: "))
		is.True(strings.Contains(string(refusal.Header), "Attempt-Id: 1"))
	}
}

// Of the requests for a hot key, the share that the owner can serve must be sent, and the others refused as not run.
func TestShareOfRequestsForHotKeyIsSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Server-Seal", "1") })
	f.table.Entries[0].Share = 100
	refused := 0
	for range 400 {
		r := uploadRequest("/safe/x", "1000")
		r.Header.Set("Shard-Key", "7")
		if resp := f.gateway.Serve(context.Background(), r); resp.Status == 503 {
			refused++
			is.True(strings.Contains(string(resp.Header), "Retry-After: "))
		}
	}
	is.Equal(f.requestsReceived(), 400-refused)
	is.True(refused > 320 && refused < 390) // 360 on average, with a standard deviation of 6.
}

// An unexpected error must end its request only, with an answer that promises nothing.
func TestPanicEndsItsRequestOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Server-Seal", "1") })
	f.table.Version.Term = panicTerm
	r := uploadRequest("/safe/x", "1000")
	r.Header.Set("Shard-Key", "7")
	is.Equal(f.gateway.Serve(context.Background(), r).Status, 500)
	is.Equal(f.requestsReceived(), 0)
	f.table.Version.Term = 1
	is.Equal(f.gateway.Serve(context.Background(), r).Status, 200)
}

// The assigner learns of a hot spot from the VMs whose requests its owner refuses, so that these must say so at once.
func TestBusyOwnerOfKeyIsNoted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, answerFull)
	is.Equal(f.send("/safe/x", "10").Status, 503)
	is.Equal(f.busySlots, []int{6})
	f = newFixture(t, true, answerOK)
	is.Equal(f.send("/safe/x", "10").Status, 200)
	is.Equal(len(f.busySlots), 0)
}
