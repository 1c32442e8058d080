// Package target is a stand-in for a target: it keeps leases and grants by the
// control protocol, checks fencing tokens, and runs requests in slots, with
// faults on demand. It is meant for tests and for a first run.
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

// ArgLeast selects, in a call to standin.RunsPath, what ran at least so often.
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
	// ID names the target, Pool its pool.
	ID   ownership.TargetID
	Pool string
	// Keyed targets refuse requests without a group while they check tokens.
	Keyed bool
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
	// Faults are in force from the start.
	Faults Faults
}

// Server is one target.
type Server struct {
	opts     Options
	gate     gate
	faults   atomic.Pointer[Faults]
	health   healthCache
	runs     *runCounter
	crashes  atomic.Int64
	draining atomic.Bool
	stopped  atomic.Bool

	mu     sync.Mutex
	inc    *incarnation
	number uint64
}

// New returns a Server. Renewals work at once, requests once it serves.
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

// Shutdown stops the server after the requests in progress.
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

// Renew applies a renewal as the control endpoint does.
func (s *Server) Renew(req target.RenewRequest) target.RenewReply {
	return s.renew(s.current(), req)
}

func (s *Server) renew(inc *incarnation, req target.RenewRequest) target.RenewReply {
	s.gate.wait()
	reply := inc.grants.renew(req)
	reply.Health = s.Health()
	return reply
}

// Runs returns the requests that ran at least least times.
func (s *Server) Runs(least int) Runs { return s.runs.snapshot(least) }

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
