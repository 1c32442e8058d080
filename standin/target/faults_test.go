package target

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/standin"
	"github.com/basiltally/basiltally/target"
)

const (
	// testTimeout ends a test that would otherwise hang. No test result depends on its
	// length.
	testTimeout = 20 * time.Second
	// noAnswerTimeout ends calls that are not answered.
	noAnswerTimeout = 50 * time.Millisecond
)

type harness struct {
	*is.I
	server  *Server
	address string
	client  *fasthttp.HostClient
}

func start(t *testing.T, opts Options) *harness {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{I: is.New(t), server: New(opts), address: ln.Addr().String()}
	h.client = &fasthttp.HostClient{Addr: h.address, MaxIdemponentCallAttempts: 1}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = h.server.Serve(ln)
	}()
	t.Cleanup(func() {
		h.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = h.server.Shutdown(ctx)
		<-served
	})
	return h
}

// get sends a request, with one header if its name and value are given. It returns the
// status and the reason of a refusal.
func (h *harness) get(path string, timeout time.Duration, header ...string) (int, string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + h.address + path)
	if len(header) == 2 {
		req.Header.Set(header[0], header[1])
	}
	err := h.client.DoTimeout(req, resp, timeout)
	return resp.StatusCode(), string(resp.Header.Peek(target.HeaderResult)), err
}

// waitFor waits until the state is reached, and fails the test if it is not.
func (h *harness) waitFor(reached func() bool) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if reached() {
			return
		}
	}
	h.Fail() // the state was not reached within testTimeout
}

func (h *harness) runs() int { return h.server.Runs(1).Total }

func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		opts Options
		want string
	}{
		{"healthy", Options{}, ""},
		{"keyed without a grant", Options{Keyed: true}, target.RefusedNotOwner},
		{"tokens ignored", Options{Keyed: true, Faults: Faults{IgnoreTokens: true}}, ""},
		{"shed", Options{Faults: Faults{Shed: true}}, target.RefusedShed},
		{"drain", Options{Faults: Faults{Drain: true}}, target.RefusedDraining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := start(t, tt.opts)
			_, refused, err := h.get("/x", testTimeout)
			h.NoErr(err)
			h.Equal(refused, tt.want)
			h.Equal(h.runs() == 1, tt.want == "")
		})
	}
}

func TestSlotsAndQueueAreBounded(t *testing.T) {
	h := start(t, Options{Slots: 1, Queue: 1})
	done := make(chan error, 2)
	call := func() {
		_, _, err := h.get("/x?work_ms=20000", testTimeout)
		done <- err
	}
	h.NoErr(h.server.Act(Freeze)) // so that the first request keeps its slot
	go call()
	go call()
	h.NoErr(h.server.Act(Unfreeze))
	h.waitFor(func() bool { return h.server.Health().Queued == 1 })
	_, refused, err := h.get("/x", testTimeout)
	h.NoErr(err)
	h.Equal(refused, target.RefusedShed)
	h.NoErr(h.server.Act(Crash))
	h.True(<-done != nil)
	h.True(<-done != nil)
}

func TestDeadlineOfAQueuedAndOfARunningRequest(t *testing.T) {
	h := start(t, Options{Slots: 1})
	status, refused, err := h.get("/x?work_ms=20000", testTimeout, target.HeaderDeadline, "20")
	h.NoErr(err)
	h.Equal(status, http.StatusGatewayTimeout)
	h.Equal(refused, "") // the request ran until its deadline
	h.Equal(h.runs(), 1)

	h.NoErr(h.server.current().slots.acquire(t.Context()))
	_, refused, err = h.get("/x", testTimeout, target.HeaderDeadline, "20")
	h.NoErr(err)
	h.Equal(refused, target.RefusedDeadline)
	h.Equal(h.runs(), 1)
}

func TestCancellationStopsARun(t *testing.T) {
	h := start(t, Options{})
	conn, err := net.Dial("tcp", h.address)
	h.NoErr(err)
	_, err = conn.Write([]byte("GET /x?work_ms=20000 HTTP/1.1\r\nHost: t\r\n\r\n"))
	h.NoErr(err)
	h.waitFor(func() bool { return h.runs() == 1 })
	h.NoErr(conn.Close())
	h.waitFor(func() bool { return h.server.Runs(1).Cancelled == 1 })
}

func TestFrozenTargetRunsRequestAfterUnfreeze(t *testing.T) {
	h := start(t, Options{})
	h.NoErr(h.server.Act(Freeze))
	_, _, err := h.get("/x", noAnswerTimeout)
	h.True(err != nil)
	h.Equal(h.runs(), 0)
	h.NoErr(h.server.Act(Unfreeze))
	h.waitFor(func() bool { return h.runs() == 1 }) // the run starts as if there had been no freeze
}

func TestCrashingRequest(t *testing.T) {
	tests := []struct {
		name, path string
		header     []string
		faults     Faults
	}{
		{"by header", "/x", []string{HeaderCrash, "1"}, Faults{}},
		{"by path", "/poison/x", nil, Faults{CrashMark: "poison"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := start(t, Options{Faults: tt.faults})
			first := h.server.current().clock.incarnation
			_, _, err := h.get(tt.path, testTimeout, tt.header...)
			h.True(err != nil)
			h.waitFor(func() bool {
				_, _, err := h.get("/y", testTimeout)
				return err == nil // the target has started again
			})
			h.Equal(h.server.Health().Crashes, 1)
			h.True(h.server.current().clock.incarnation != first)
			h.Equal(h.runs(), 2)
		})
	}
}

func TestSilentConnections(t *testing.T) {
	tests := []struct {
		action Action
		// runs is the number of runs: that of the request before the silence, and with
		// SilenceAnswers also that of the request during it.
		runs int
	}{{Silence, 1}, {SilenceAnswers, 2}}
	for _, tt := range tests {
		t.Run(string(tt.action), func(t *testing.T) {
			h := start(t, Options{})
			_, _, err := h.get("/x", testTimeout)
			h.NoErr(err)
			h.NoErr(h.server.Act(tt.action))
			_, _, err = h.get("/x", noAnswerTimeout)
			h.True(err != nil) // on the open connection
			h.waitFor(func() bool { return h.runs() == tt.runs })
			_, _, err = h.get("/x", testTimeout)
			h.NoErr(err) // on a new connection
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	h := start(t, Options{Faults: Faults{MaxConnections: 1, ConnectCost: standin.Duration(time.Millisecond)}})
	_, _, err := h.get("/x", testTimeout)
	h.NoErr(err)
	other := &harness{I: h.I, address: h.address, client: &fasthttp.HostClient{Addr: h.address, MaxIdemponentCallAttempts: 1}}
	_, _, err = other.get("/x", testTimeout)
	h.True(err != nil)
	_, _, err = h.get("/x", testTimeout)
	h.NoErr(err)
}

func TestReportedHealthIsStaleOrReplaced(t *testing.T) {
	h := start(t, Options{Faults: Faults{HealthLag: standin.Duration(time.Hour)}})
	h.Equal(h.server.Health().Running, 0)
	h.NoErr(h.server.current().slots.acquire(t.Context()))
	h.Equal(h.server.Health().Running, 0)
	h.server.SetFaults(Faults{})
	h.Equal(h.server.Health().Running, 1)
	h.server.SetFaults(Faults{ReportedHealth: &target.Health{Queued: 9}})
	h.Equal(h.server.Health(), target.Health{Queued: 9})
}

func TestColdStartAndProbeCost(t *testing.T) {
	hour := standin.Duration(time.Hour)
	h := start(t, Options{Faults: Faults{ColdStart: hour, ColdWork: hour, ProbeCost: standin.Duration(time.Millisecond)}})
	status, _, err := h.get(target.HealthPath, testTimeout)
	h.NoErr(err)
	h.Equal(status, http.StatusOK)
	h.True(h.server.Health().Warming)
	h.Equal(h.server.workTime(h.server.current(), request{}), time.Hour)
	h.server.SetFaults(Faults{})
	h.True(!h.server.Health().Warming)
}

func TestCutBodyAndWrongRequestID(t *testing.T) {
	h := start(t, Options{Faults: Faults{CutBody: 1000, WrongRequestID: true}})
	_, _, err := h.get("/x?bytes=100000", testTimeout)
	h.True(err != nil)
	h.waitFor(func() bool { return h.server.Health().Running == 0 }) // the slot is free again
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + h.address + "/x")
	req.Header.Set(target.HeaderRequestID, "r1")
	h.NoErr(h.client.DoTimeout(req, resp, testTimeout))
	h.Equal(string(resp.Header.Peek(target.HeaderRequestID)), "r1-wrong")
}

func TestAdminEndpoint(t *testing.T) {
	h := start(t, Options{})
	post := func(body string) int {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + h.address + standin.FaultsPath)
		req.Header.SetMethod(http.MethodPost)
		req.SetBodyString(body)
		h.NoErr(h.client.DoTimeout(req, resp, testTimeout))
		return resp.StatusCode()
	}
	h.Equal(post(`{"faults":{"shed":true,"extra_work":"5ms"},"actions":["freeze","unfreeze"]}`), http.StatusOK)
	h.Equal(h.server.Faults(), Faults{Shed: true, ExtraWork: standin.Duration(5 * time.Millisecond)})
	h.Equal(post(`{"faults":{"shred":true}}`), http.StatusBadRequest)
	h.Equal(post(`{"actions":["dance"]}`), http.StatusBadRequest)
}

func TestShutdownWhileServeStarts(t *testing.T) {
	const attempts = 2000
	for range attempts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := New(Options{})
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(ln)
		}()
		if err := server.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		select {
		case <-served:
		case <-time.After(testTimeout):
			t.Fatal("Serve did not return")
		}
	}
}
