// Package target is a stand-in for a target. It holds leases and grants by the control
// protocol, checks fencing tokens, runs requests in slots, and simulates faults on demand.
// It is meant for tests and for a first run.
package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/standin"
	"github.com/basiltally/basiltally/target"
)

// ArgMinRuns is a query argument of standin.RunsPath: only identifiers that ran at least
// this often are listed.
const ArgMinRuns = "least"

// Defaults of Options.
const (
	DefaultSlots     = 6
	DefaultQueue     = 12
	DefaultBulkBytes = 1 << 20
)

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 4 << 20

// Options configures a Server.
type Options struct {
	// ID is the name of the target.
	ID ownership.TargetID
	// Pool is the name of the target's pool.
	Pool string
	// Keyed makes the target refuse requests without a group, unless Faults.IgnoreTokens is
	// set.
	Keyed bool
	// Slots is the number of requests that run at once; the default is 6.
	Slots int
	// Queue is the number of requests that may wait for a slot; the default is 12.
	Queue int
	// Work is how long a request runs, unless its argument ArgWork sets another time.
	Work time.Duration
	// BulkPrefixes are the prefixes of paths that are answered with BulkBytes bytes.
	BulkPrefixes []string
	// BulkBytes is the body size of such answers; the default is 1 MiB.
	BulkBytes int
	// Incarnation identifies the start of the process; the default is the wall clock in
	// nanoseconds.
	Incarnation uint64
	// Faults are the faults in force from the start.
	Faults Faults
}

// Server is one stand-in target.
type Server struct {
	opts     Options
	gate     freezeGate
	faults   atomic.Pointer[Faults]
	health   healthCache
	runs     *runCounter
	crashes  atomic.Int64
	draining atomic.Bool
	stopped  atomic.Bool

	mu  sync.Mutex
	inc *incarnation
	// restarts is the number of restarts after crashes.
	restarts uint64
}

// New returns a Server. Renew works at once; requests are answered only while Serve runs.
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
	s := &Server{opts: opts, runs: newRunCounter()}
	s.SetFaults(opts.Faults)
	s.inc = s.newIncarnation(opts.Incarnation)
	return s
}

// Shutdown stops the server once the requests in progress are answered, or when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopped.Store(true)
	s.gate.unfreeze()
	inc := s.current()
	defer inc.cancel()
	if err := inc.conns.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	return inc.http.ShutdownWithContext(ctx)
}

// Renew applies a renewal, as the control endpoint does, without ControlDelay.
func (s *Server) Renew(req target.RenewRequest) target.RenewReply {
	return s.renew(s.current(), req)
}

func (s *Server) renew(inc *incarnation, req target.RenewRequest) target.RenewReply {
	s.gate.wait()
	reply := inc.grants.renew(req)
	reply.Health = s.Health()
	return reply
}

// Runs returns the run counts, and lists the identifiers that ran at least minRuns times.
func (s *Server) Runs(minRuns int) Runs { return s.runs.snapshot(minRuns) }

func (s *Server) handle(inc *incarnation, rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	switch path {
	case standin.FaultsPath:
		s.handleAdmin(rc)
		return
	case standin.RunsPath:
		writeJSON(rc, s.Runs(rc.QueryArgs().GetUintOrZero(ArgMinRuns)))
		return
	}
	s.gate.wait()
	switch path {
	case target.RenewPath:
		s.handleRenew(inc, rc)
	case target.HealthPath:
		s.handleHealth(rc)
	case target.DrainPath:
		s.draining.Store(true)
		writeJSON(rc, s.Health())
	default:
		s.handleRequest(inc, rc)
	}
	s.gate.wait()
}

func (s *Server) handleRenew(inc *incarnation, rc *fasthttp.RequestCtx) {
	var req target.RenewRequest
	body, err := controlBody(rc)
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		rc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	reply := s.renew(inc, req)
	time.Sleep(time.Duration(s.Faults().ControlDelay))
	writeJSON(rc, reply)
}

func (s *Server) handleHealth(rc *fasthttp.RequestCtx) {
	f := s.Faults()
	standin.Spin(time.Duration(f.ProbeCost))
	time.Sleep(time.Duration(f.ControlDelay))
	writeJSON(rc, s.Health())
}

// controlBody reads the body of a control call, up to maxControlBytes of a streamed one.
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
