package telemetry

import (
	"bytes"
	"context"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

func TestServeAnswersOperatorPaths(t *testing.T) {
	is := is.New(t)
	ln := fasthttputil.NewInmemoryListener()
	ctx, cancel := context.WithCancel(t.Context())
	ready := errors.New("no bundle")
	done := make(chan error, 1)
	opts := Options{Listener: ln, Gatherer: NewRegistry("test"), Ready: func() error { return ready }}
	opts.Handlers = map[string]fasthttp.RequestHandler{"/x": func(c *fasthttp.RequestCtx) { c.SetBodyString("x") }}
	go func() { done <- Serve(ctx, opts) }()
	client := &fasthttp.Client{Dial: func(string) (net.Conn, error) { return ln.Dial() }}
	get := func(path string) (int, string) {
		code, body, err := client.Get(nil, "http://operators"+path)
		is.NoErr(err)
		return code, string(body)
	}
	cases := []struct {
		path, body string
		code       int
	}{
		{"/healthz", "ok\n", 200},
		{"/readyz", "no bundle", 503},
		{"/metrics", `basiltally_build_info{process="test"`, 200},
		{"/x", "x", 200},
		{"/debug/pprof/", "not found", 404},
	}
	for _, c := range cases {
		code, body := get(c.path)
		is.Equal(code, c.code)                  // status
		is.True(strings.Contains(body, c.body)) // body
	}
	client.CloseIdleConnections()
	cancel()
	is.NoErr(<-done)
}

// shortListener fails its first accepts for want of descriptors.
type shortListener struct {
	net.Listener
	failures int
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// The readiness endpoint ended at the first lack of descriptors, and never came back.
func TestServeGoesOnAfterAShortageOfDescriptors(t *testing.T) {
	is := is.New(t)
	ln := fasthttputil.NewInmemoryListener()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, Options{Listener: &shortListener{Listener: ln, failures: 3}}) }()
	client := &fasthttp.Client{Dial: func(string) (net.Conn, error) { return ln.Dial() }}
	code, _, err := client.GetTimeout(nil, "http://operators/readyz", 5*time.Second)
	is.NoErr(err)
	is.Equal(code, 200)
	client.CloseIdleConnections()
	cancel()
	is.NoErr(<-done)
}

func TestClassHistogramBoundsSeries(t *testing.T) {
	is := is.New(t)
	reg := prometheus.NewRegistry()
	h := NewClassHistogram(reg, "request_seconds", "Help.", 2)
	h.SetClasses([]ClassName{{"t", "a"}, {"t", "b"}, {"t", "c"}})
	for _, class := range []string{"a", "b", "c", "d", "e"} {
		h.Observe(ClassName{"t", class}, 3*time.Millisecond)
	}
	is.Equal(countSeries(t, reg), 3) // a, b and other
	h.SetClasses([]ClassName{{"t", "b"}})
	is.Equal(countSeries(t, reg), 2) // b and other
}

func TestLatencyBucketsAreFineFrom1To50Milliseconds(t *testing.T) {
	previous, within := 0.0, 0
	for _, b := range LatencyBuckets() {
		if b <= previous {
			t.Fatalf("bucket bound %v follows %v, want ascending bounds", b, previous)
		}
		if b >= 0.001 && b <= 0.05 {
			within++
			if b/previous > 2 {
				t.Errorf("bucket from %v to %v s is too wide: its bounds differ by more than a factor of 2", previous, b)
			}
		}
		previous = b
	}
	is.New(t).True(within >= 12)
}

func TestNewLogger(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := NewLogger(&out, LogSettings{Format: "json", Level: "warn"})
	is.NoErr(err)
	log.Info("hidden")
	log.Warn("shown")
	is.True(strings.Contains(out.String(), `"msg":"shown"`) && !strings.Contains(out.String(), "hidden"))
	_, err = NewLogger(&out, LogSettings{Format: "xml", Level: "warn"})
	is.True(err != nil)
}

func countSeries(t *testing.T, g prometheus.Gatherer) int {
	t.Helper()
	families, err := g.Gather()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, f := range families {
		n += len(f.GetMetric())
	}
	return n
}
