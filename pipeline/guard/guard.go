// Package guard is the filter that refuses quarantined requests and tells the
// quarantine which requests targets were running when they crashed.
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

// probeTimeout bounds the search for evidence after a broken connection.
const probeTimeout = time.Second

// HealthReader asks a target for its health; *target.Client implements it.
type HealthReader interface {
	Health(ctx context.Context, address string) (target.Health, error)
}

// Options of the filter.
type Options struct {
	Tracker *quarantine.Tracker
	// Health reads the targets' crash counters: once for each target that is used,
	// and after a broken connection.
	Health HealthReader
}

type filter struct {
	opts Options
	next pipeline.Handler

	mu sync.Mutex
	// crashes holds the highest crash counter seen of each target.
	crashes map[ownership.TargetID]int
}

// New returns the filter. It stands right before the dispatch.
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

// isLost reports whether the connection broke while the request may have run.
func isTargetLost(err error) bool {
	var e *result.Error
	return errors.As(err, &e) && e.Code == result.TargetLost
}

// learn reads the crash counter of a target that is used for the first time.
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

// examine looks for evidence that the target crashed and reports it.
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

// rose reads the target's crash counter and reports whether it is higher than
// before. The counter numbers the process starts that ended in a crash.
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

// fingerprint identifies what the target would run. A streamed body is left
// out, since reading it would take it from the target.
func fingerprint(req *pipeline.Request) quarantine.Fingerprint {
	h := req.HTTP
	return quarantine.Fingerprint(claim.FingerprintOf(
		[]byte(req.Tenant.Name), []byte(req.Class.Name), h.Header.Method(), h.Header.RequestURI(), bufferedBody(h)))
}

func bufferedBody(h *fasthttp.Request) []byte {
	if h.IsBodyStream() {
		return nil
	}
	return h.Body()
}
