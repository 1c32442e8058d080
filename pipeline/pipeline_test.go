package pipeline_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/dispatch"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/pipeline/admit"
	"github.com/basiltally/basiltally/pipeline/hedge"
	"github.com/basiltally/basiltally/pipeline/identify"
	"github.com/basiltally/basiltally/pipeline/locate"
	"github.com/basiltally/basiltally/pipeline/measure"
	"github.com/basiltally/basiltally/pipeline/once"
	"github.com/basiltally/basiltally/pipeline/respond"
	"github.com/basiltally/basiltally/pipeline/retry"
	"github.com/basiltally/basiltally/target"
	"github.com/basiltally/basiltally/views"
)

func TestMain(m *testing.M) {
	startDateUpdater()
	os.Exit(m.Run())
}

func testBundle() *config.Bundle {
	return &config.Bundle{
		Version: 1,
		Tenants: []config.Tenant{{Name: "wales", Classes: []config.Class{
			{Name: "sheets", Kind: config.KeyedRead, PathPrefix: "/sheets/", Pool: "sheets", Deadline: time.Second, MaxBody: 1 << 10, QueueLength: 64},
			{Name: "quotes", Kind: config.KeyedRead, PathPrefix: "/quotes/", Pool: "sheets", Deadline: time.Second, QueueLength: 64, Hedge: true},
			{Name: "filings", Kind: config.AtMostOnce, PathPrefix: "/filings", Pool: "filings", Deadline: time.Second, MaxBody: 1 << 20, QueueLength: 64},
			{Name: "drawings", Kind: config.Bulk, PathPrefix: "/drawings/", Pool: "drawings", Deadline: time.Minute, QueueLength: 64},
		}}},
		Pools: []config.Pool{
			{Name: "sheets", Keyed: true, Groups: []ownership.GroupID{"sheets-0"}},
			{Name: "filings", Groups: []ownership.GroupID{"filings-0"}},
			{Name: "drawings", Groups: []ownership.GroupID{"drawings-0"}},
		},
	}
}

// fakeTarget is a target on in-memory connections that counts runs by request id.
type fakeTarget struct {
	mu   sync.Mutex
	runs map[string]int
	// script holds the behaviours of the next exchanges, in order; after them the
	// target answers normally.
	script []func(f *fakeTarget, nc net.Conn, r *http.Request)
	dials  int
	// refuseDials makes dials fail.
	refuseDials bool
	conns       []net.Conn
}

// close closes all connections, so that their goroutines end.
func (f *fakeTarget) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, nc := range f.conns {
		nc.Close()
	}
}

func (f *fakeTarget) dial(context.Context, string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dials++
	if f.refuseDials {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	f.conns = append(f.conns, client, server)
	go f.serve(server)
	return client, nil
}

func (f *fakeTarget) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		f.nextBehaviour()(f, nc, r)
	}
}

// nextBehaviour removes and returns the first behaviour of the script.
func (f *fakeTarget) nextBehaviour() func(*fakeTarget, net.Conn, *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.script) == 0 {
		return answerNormally
	}
	first := f.script[0]
	f.script = f.script[1:]
	return first
}

// setScript replaces the script. It locks, because an exchange that was abandoned may
// still be reading the script.
func (f *fakeTarget) setScript(script ...func(f *fakeTarget, nc net.Conn, r *http.Request)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = script
}

func (f *fakeTarget) countRun(r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[r.Header.Get(target.HeaderRequestID)]++
}

func (f *fakeTarget) totalRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, runs := range f.runs {
		n += runs
	}
	return n
}

func answer(nc io.Writer, r *http.Request, status int, extra string, body string) {
	fmt.Fprintf(nc, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, target.HeaderRequestID, r.Header.Get(target.HeaderRequestID), extra, len(body), body)
}

// answerNormally runs the request and sends the complete answer.
func answerNormally(f *fakeTarget, nc net.Conn, r *http.Request) {
	f.countRun(r)
	answer(nc, r, 200, "", "answer to "+r.URL.Path)
}

// fakeClaims grants every claim and counts the recorded outcomes and the releases.
type fakeClaims struct {
	down               bool
	finished, released int
	last               claim.Outcome
}

func (c *fakeClaims) Claim(context.Context, claim.Request) (claim.Decision, error) {
	if c.down {
		return claim.Decision{}, errors.New("store is down")
	}
	return claim.Decision{Kind: claim.Run, Ref: claim.Ref{DispatchBy: time.Now().Add(time.Hour)}}, nil
}

func (c *fakeClaims) Finish(_ context.Context, _ claim.Ref, o claim.Outcome) error {
	c.finished++
	c.last = o
	return nil
}

func (c *fakeClaims) Release(context.Context, claim.Ref) error {
	c.released++
	return nil
}

// testEnv is a pipeline in front of one fake target.
type testEnv struct {
	target   *fakeTarget
	claims   *fakeClaims
	views    *views.Holder
	handler  pipeline.Handler
	requests atomic.Int64
}

// firstTarget is a locate.Picker that always picks the first target of the view.
type firstTarget struct{}

func (firstTarget) Pick(_ *pipeline.Request, v *ownership.View) *ownership.Target {
	return &v.Targets[0]
}

// startDateUpdater makes fasthttp start the goroutine that updates its Date header.
// Started within a synctest bubble, it would keep the bubble from ending.
func startDateUpdater() {
	w := bufio.NewWriter(io.Discard)
	new(fasthttp.Response).Write(w)
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{claims: &fakeClaims{}, target: &fakeTarget{runs: map[string]int{}}, views: views.NewHolder()}
	t.Cleanup(env.target.close)
	for _, g := range []ownership.GroupID{"sheets-0", "filings-0", "drawings-0"} {
		env.views.Apply(testView(g, 1))
	}
	bundle := testBundle()
	dispatcher := dispatch.New(dispatch.Options{Dial: env.target.dial})
	env.handler = pipeline.Chain(dispatcher,
		measure.New(measure.NewMetrics(prometheus.NewRegistry())),
		respond.New(),
		identify.New(identify.Options{Bundle: func() *config.Bundle { return bundle }}),
		admit.NewAdmission().Filter(),
		once.New(once.Options{Claimer: env.claims}),
		retry.New(retry.Options{Views: env.views}),
		locate.New(locate.Options{Views: env.views, Picker: firstTarget{}}),
		hedge.New(hedge.Options{}),
	)
	return env
}

func testView(g ownership.GroupID, seq uint64) *ownership.View {
	return &ownership.View{
		Group: g, Term: 1, Seq: seq,
		Targets:   []ownership.Target{{ID: "t1", Address: "t1:1"}},
		States:    []ownership.TargetState{ownership.TargetReady},
		SlotCount: 1,
		Slots:     []ownership.SlotState{{Owner: 0, Seq: seq}},
	}
}

// callerResult is the answer as the caller receives it.
type callerResult struct {
	status  int
	code    string
	outcome string
	body    string
	err     error
}

// send sends a request with headers of the form "Name: value" through the pipeline.
func (env *testEnv) send(method, path string, headers ...string) callerResult {
	id := fmt.Sprintf("r%d", env.requests.Add(1))
	var hc fasthttp.RequestCtx
	hc.Request.Header.SetMethod(method)
	hc.Request.SetRequestURI(path)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		hc.Request.Header.Set(name, value)
	}
	req := &pipeline.Request{
		ID: id, Start: time.Now(),
		HTTP: &hc.Request, Answer: &hc.Response, Context: context.Background(),
	}
	pipeline.Run(env.handler, req)
	return readResult(&hc.Response)
}

// readResult writes the answer as the server does and parses it as a caller does.
func readResult(answer *fasthttp.Response) callerResult {
	var wire bytes.Buffer
	w := bufio.NewWriter(&wire)
	if err := answer.Write(w); err == nil {
		w.Flush()
	}
	r, err := http.ReadResponse(bufio.NewReader(&wire), nil)
	if err != nil {
		return callerResult{err: err}
	}
	body, err := io.ReadAll(r.Body)
	return callerResult{r.StatusCode, r.Header.Get(pipeline.HeaderCode), r.Header.Get(pipeline.HeaderOutcome), string(body), err}
}

func TestReadIsAnsweredByOwner(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	got := env.send("GET", "/sheets/a1/latest")
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.code, "0")
	is.Equal(got.outcome, "done")
	is.Equal(got.body, "answer to /sheets/a1/latest")
	is.Equal(env.target.totalRuns(), 1)
}

func TestFilingIsRefusedWhenClaimIsNotDurable(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.claims.down = true
	got := env.send("POST", "/filings", "Idempotency-Key: k1")
	is.Equal(got.code, "1301")
	is.Equal(got.outcome, "not-run")
	is.Equal(env.target.totalRuns(), 0)
}
