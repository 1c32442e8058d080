// Package target is a stand-in for a target: it keeps leases and grants by the
// control protocol, checks fencing tokens, and runs requests in slots. It is
// meant for tests and for a first run.
package target

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/target"
)

// RunsPath reports how often requests ran, as Runs; the argument "least" selects
// those that ran at least so often.
const RunsPath = "/standin/runs"

// Defaults of Options.
const (
	DefaultSlots     = 6
	DefaultQueue     = 12
	DefaultBulkBytes = 1 << 20
)

const (
	maxConcurrency  = 64 << 10
	maxRequestBytes = 1 << 30
	maxControlBytes = 4 << 20
	// workStep separates checks for cancellation while a request runs.
	workStep = 2 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	// ID names the target, Pool its pool.
	ID   ownership.TargetID
	Pool string
	// Keyed targets refuse requests without a group while they check tokens.
	Keyed bool
	// IgnoreTokens makes the target run every request, whoever sends it.
	IgnoreTokens bool
	// Slots is the number of requests that run at once; default 6.
	Slots int
	// Queue is the number of requests that wait for a slot; default 12.
	Queue int
	// Work is the time that a request runs unless it asks for another.
	Work time.Duration
	// BulkPrefixes are paths that are answered with BulkBytes bytes.
	BulkPrefixes []string
	// BulkBytes is the body size of such answers; default 1 MiB.
	BulkBytes int
	// Incarnation identifies the start of the process; default the wall clock.
	Incarnation uint64
}

// Server is one target.
type Server struct {
	opts         Options
	clock        *clock
	grants       *grants
	slots        *slots
	runs         *runCounter
	draining     atomic.Bool
	checksTokens atomic.Bool
	http         *fasthttp.Server
	ctx          context.Context
	cancel       context.CancelFunc
}

// New returns a Server.
func New(opts Options) *Server {
	if opts.Slots <= 0 {
		opts.Slots = DefaultSlots
	}
	if opts.Queue <= 0 {
		opts.Queue = DefaultQueue
	}
	if opts.BulkBytes <= 0 {
		opts.BulkBytes = DefaultBulkBytes
	}
	if opts.Incarnation == 0 {
		opts.Incarnation = uint64(time.Now().UnixNano())
	}
	c := newClock(opts.Incarnation)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		opts:   opts,
		clock:  c,
		grants: newGrants(c),
		slots:  newSlots(opts.Slots, opts.Queue),
		runs:   newRunCounter(),
		ctx:    ctx,
		cancel: cancel,
	}
	s.checksTokens.Store(!opts.IgnoreTokens)
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           maxConcurrency,
		MaxRequestBodySize:    maxRequestBytes,
		StreamRequestBody:     true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve answers requests on the listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown stops the server after the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.cancel()
	return s.http.ShutdownWithContext(ctx)
}

// Renew applies a renewal as the control endpoint does.
func (s *Server) Renew(req target.RenewRequest) target.RenewReply {
	reply := s.grants.renew(req)
	reply.Health = s.Health()
	return reply
}

// Health returns what the target says of itself.
func (s *Server) Health() target.Health {
	return target.Health{
		Draining: s.draining.Load(),
		Running:  int(s.slots.running.Load()),
		Queued:   int(s.slots.queued.Load()),
	}
}

// Runs returns the requests that ran at least least times.
func (s *Server) Runs(least int) Runs { return s.runs.snapshot(least) }

func (s *Server) handle(rc *fasthttp.RequestCtx) {
	switch string(rc.Path()) {
	case target.RenewPath:
		s.handleRenew(rc)
	case target.HealthPath:
		writeJSON(rc, s.Health())
	case target.DrainPath:
		s.draining.Store(true)
		writeJSON(rc, s.Health())
	case RunsPath:
		writeJSON(rc, s.Runs(rc.QueryArgs().GetUintOrZero("least")))
	default:
		s.handleRequest(rc)
	}
}

func (s *Server) handleRenew(rc *fasthttp.RequestCtx) {
	var req target.RenewRequest
	body, err := controlBody(rc)
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		rc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(rc, s.Renew(req))
}

func (s *Server) work(ctx context.Context, r request) error {
	end := time.Now().Add(r.work)
	for time.Now().Before(end) {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(min(workStep, time.Until(end)))
	}
	return nil
}

// controlBody reads the body of a control call.
func controlBody(rc *fasthttp.RequestCtx) ([]byte, error) {
	stream := rc.RequestBodyStream()
	if stream == nil {
		return rc.PostBody(), nil
	}
	return io.ReadAll(io.LimitReader(stream, maxControlBytes))
}

func writeJSON(rc *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		rc.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(data)
}
