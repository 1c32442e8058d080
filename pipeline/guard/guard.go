// Package guard provides the filter that refuses quarantined requests and reports to
// the quarantine which requests a target was running when it crashed.
package guard

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/target"
)

// probeTimeout bounds each probe of a target: a dial or a read of its crash counter.
const probeTimeout = time.Second

// HealthReader reads the health of a target; *target.Client implements it.
type HealthReader interface {
	Health(ctx context.Context, address string) (target.Health, error)
}

// Options are the options of the filter.
type Options struct {
	Tracker *quarantine.Tracker
	// Health reads a target's crash counter: at the first request to the target,
	// and after each broken connection.
	Health HealthReader
}

type filter struct {
	opts Options
	next pipeline.Handler

	mu sync.Mutex
	// crashes holds the highest crash counter read from each target.
	crashes map[ownership.TargetID]int
}

// New returns the filter. It must be the last one before the dispatcher.
func New(opts Options) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return &filter{opts: opts, next: next, crashes: make(map[ownership.TargetID]int)}
	}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(req *pipeline.Request) error {
	fp := fingerprint(req)
	if blocked, until := f.opts.Tracker.Quarantined(fp); blocked {
		e := result.New(result.Quarantined, "earlier runs of this request crashed targets")
		e.RetryAfter = time.Until(until)
		return e
	}
	t := *req.Owner.Target
	f.ensureBaseline(t)
	f.opts.Tracker.Started(t.ID, fp)
	err := f.next.Serve(req)
	if isTargetLost(err) {
		f.reportEvidence(t)
	}
	f.opts.Tracker.Finished(t.ID, fp, err == nil)
	return err
}

// isTargetLost reports whether the connection broke while the request may have run.
func isTargetLost(err error) bool {
	var e *result.Error
	return errors.As(err, &e) && e.Code == result.TargetLost
}

// ensureBaseline starts to read the crash counter of a target that is used for the
// first time, so that a later rise can be recognised.
func (f *filter) ensureBaseline(t ownership.Target) {
	f.mu.Lock()
	_, known := f.crashes[t.ID]
	if !known {
		f.crashes[t.ID] = 0
	}
	f.mu.Unlock()
	if !known {
		go f.crashCounterRose(t)
	}
}

// reportEvidence checks whether the target crashed and reports the evidence to the
// quarantine.
func (f *filter) reportEvidence(t ownership.Target) {
	evidence := quarantine.Evidence{ConnectionRefused: connectionRefused(t.Address)}
	if !evidence.ConnectionRefused {
		evidence.CrashCounterRose, evidence.Incarnation = f.crashCounterRose(t)
	}
	f.opts.Tracker.Crashed(t.ID, evidence)
}

func connectionRefused(address string) bool {
	nc, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		nc.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// crashCounterRose reads the target's crash counter and reports whether it is higher
// than before, with its value as the incarnation. The counter numbers the process
// starts that ended in a crash.
func (f *filter) crashCounterRose(t ownership.Target) (rose bool, incarnation uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	health, err := f.opts.Health.Health(ctx, t.Address)
	if err != nil {
		return false, 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if health.Crashes <= f.crashes[t.ID] {
		return false, 0
	}
	f.crashes[t.ID] = health.Crashes
	return true, uint64(health.Crashes)
}

// fingerprint identifies the work of a request by tenant, class, method, URI and
// body. It leaves a streamed body out, because reading it would consume it before
// it is sent to the target.
func fingerprint(req *pipeline.Request) quarantine.Fingerprint {
	h := req.HTTP
	return quarantine.Fingerprint(claim.FingerprintOf(
		[]byte(req.Tenant.Name), []byte(req.Class.Name), h.Header.Method(), h.Header.RequestURI(), bufferedBody(h)))
}

// bufferedBody returns the body of the request, or nil if it is a stream.
func bufferedBody(h *fasthttp.Request) []byte {
	if h.IsBodyStream() {
		return nil
	}
	return h.Body()
}
