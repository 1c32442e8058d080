package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/budget"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/gateway"
	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/shard"
	"github.com/basiltally/basiltally/upstream"
)

// owners is a fixed table of owners.
type owners struct{ table *shard.Table }

func (o owners) Table(string) *shard.Table { return o.table }
func (o owners) Changed() <-chan struct{}  { return nil }

// fixture is a Gateway in front of scripted targets.
type fixture struct {
	t         *testing.T
	gateway   *gateway.Gateway
	board     *placing.Balancer
	directory *fleet.Directory

	mu sync.Mutex
	// seen are the targets that got a request, in order.
	seen []string
	last http.Header
}

// newFixture has a target for each handler: t0, t1, ...
func newFixture(t *testing.T, keyed bool, handlers ...http.HandlerFunc) *fixture {
	f := &fixture{t: t, board: placing.New(placing.Options{}), directory: fleet.NewDirectory(fleet.DirectoryOptions{})}
	table := &shard.Table{Version: shard.Version{Term: 1, Seq: 1}}
	for i, h := range handlers {
		id := fmt.Sprintf("t%d", i)
		server := httptest.NewServer(f.record(id, h))
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		f.directory.Put(&fleet.Target{ID: id, Service: "s", Address: address, Slots: 6})
		table.Entries = append(table.Entries, shard.Entry{
			Keys: shard.KeyRange{From: shard.Key(100 * i), To: shard.Key(100*i + 99)}, Owner: shard.Holder{ID: id, Address: address}, Held: i == 0,
			Wait: time.Minute,
		})
	}
	routes, err := routing.NewTable(&routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: "s", Keyed: keyed}},
		Routes: []routing.Route{
			f.route("/safe/", routing.Idempotent), f.route("/unsafe/", routing.AtMostOnce),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	f.gateway = gateway.New(gateway.Options{
		Headers: platform.CallerHeaders(), TargetHeaders: platform.TargetHeaders(),
		Routes: func() *routing.Table { return routes }, Directory: f.directory, Shards: owners{table}, Balancer: f.board,
		Upstream: upstream.New(upstream.Options{Headers: platform.TargetHeaders()}),
		Budget:   budget.New(budget.Options{Ratio: 0.2, ExtraRetries: 1000}), KeyCounter: gateway.NewKeyCounter(),
	})
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
		f.seen = append(f.seen, id)
		f.last = r.Header.Clone()
		f.mu.Unlock()
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		h(w, r)
	}
}

// sends is the number of requests that targets got.
func (f *fixture) sends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.seen)
}

// header returns a header of the last request that a target got.
func (f *fixture) header(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last.Get(name)
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

func good(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Server-Seal", "1")
	fmt.Fprint(w, "good")
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func full(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func failing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Server-Seal", "1")
	w.WriteHeader(http.StatusInternalServerError)
}

func TestIdempotentRequestIsSentElsewhere(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{"lost answer": breakOff, "failure": failing, "no room": full} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, false, h, good)
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
		{"lost answer", breakOff, http.StatusBadGateway, 1},
		{"failure is passed on", failing, http.StatusInternalServerError, 1},
		{"no room anywhere", full, http.StatusServiceUnavailable, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, false, tt.handler, tt.handler, tt.handler)
			r := f.send("/unsafe/x", "1")
			is.Equal(r.Status, tt.status)
			is.Equal(f.sends(), tt.sends) // At most max_attempts targets.
			is.Equal(strings.Contains(string(r.Header), "Retry-After"), tt.status == http.StatusServiceUnavailable)
		})
	}
}

func TestHeadersTowardsTheTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, good)
	r := f.send("/safe/x", "5", "Connection: keep-alive, X-Mine\r\n", "X-Mine: 1\r\n", "X-Other: 2\r\n", "Target-Instance: forged\r\n")
	is.Equal(r.Status, 200)
	is.Equal(f.header("Target-Instance"), "t0")
	is.Equal(f.header("Shard-Key"), "5")
	is.Equal(f.header("X-Other"), "2")
	is.Equal(f.header("X-Mine"), "")
	is.True(f.header("Request-Deadline-Ms") <= "800" && len(f.header("Request-Deadline-Ms")) <= 3)
}

// What cannot be served is refused at once, with the time to come back.
func TestRefusalsAreImmediate(t *testing.T) {
	tests := []struct {
		name, path, key, code string
		status                int
	}{
		{"no route", "/other/", "1", "1003", 404},
		{"no key", "/safe/x", "none", "1001", 400},
		{"owner known to take a minute", "/safe/x", "150", "1201", 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, true, good, good)
			began := time.Now()
			r := f.send(tt.path, tt.key)
			is.Equal(r.Status, tt.status)
			is.True(strings.Contains(string(r.Header), "Basiltally-Code: "+tt.code))
			is.True(time.Since(began) < 200*time.Millisecond)
			is.Equal(f.sends(), 0)
		})
	}
}

// An owner whose queue is past the latency target gets no more requests.
func TestBusyOwnerGetsNoMore(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true, good)
	for range 60 {
		f.board.Begin(&placing.Site{ID: "t0", Slots: 1})
	}
	r := f.send("/safe/x", "5")
	is.Equal(r.Status, 503)
	is.True(strings.Contains(string(r.Header), "Basiltally-Code: 1106"))
	is.True(strings.Contains(string(r.Header), "Retry-After"))
	is.Equal(f.sends(), 0)
}

// Whatever the route says, the final answer is there at its timeout.
func TestAnswerAtTheRoutesTimeout(t *testing.T) {
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
