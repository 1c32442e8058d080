package bundle

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/result"
)

// Intervals and time limits of a Holder.
const (
	// DefaultTick is the interval at which the freeze detector reads the clocks.
	DefaultTick = 100 * time.Millisecond
	// DefaultFreezeLimit is the time between two ticks above which the process counts as frozen.
	DefaultFreezeLimit = time.Second
	// recheckPause is the pause between attempts to re-check the bundle after a freeze.
	recheckPause = 200 * time.Millisecond
	// recheckTimeout bounds one attempt to re-check.
	recheckTimeout = 2 * time.Second
)

// VersionMetric is the name of the metric that reports the version in force.
const VersionMetric = "basiltally_bundle_version"

// InForce is a bundle that is or was in force in this process. It is immutable;
// a request uses the one with which it began until it ends.
type InForce struct {
	Bundle *config.Bundle
	// Signed is nil for a local document without approvals.
	Signed *Signed
	// Document is the INI document.
	Document []byte
	Digest   Digest
	// Since is the time at which this process put the bundle in force.
	Since time.Time
	// Prepared is the value that HolderOptions.Prepare returned for the bundle.
	Prepared any
}

// ClockReading is one reading of a process's clocks.
type ClockReading struct {
	// Mono is the time on the monotonic clock since an arbitrary start.
	Mono time.Duration
	// Wall is the time on the wall clock. It reveals a pause during which Mono
	// did not advance.
	Wall time.Time
}

// HolderOptions configures a Holder.
type HolderOptions struct {
	// Policy verifies signed bundles. If nil, only documents without approvals are accepted.
	Policy *Policy
	// Prepare builds the data that the process derives from a bundle, such as its
	// routing table, which is put in force together with the bundle. If it returns
	// an error, the bundle is refused. May be nil.
	Prepare func(*config.Bundle) (any, error)
	// FetchNewest returns the current result of Encoded in a peer, or the bundle in
	// the store, or nil if there is none. It is called after a freeze and must make
	// a new request, not wait for data sent earlier. If nil, the bundle is not
	// re-checked after a freeze.
	FetchNewest func(ctx context.Context) ([]byte, error)
	// Tick is the interval at which the freeze detector reads the clocks; zero
	// means DefaultTick.
	Tick time.Duration
	// FreezeLimit is the time between two ticks above which the process counts as
	// frozen; zero means DefaultFreezeLimit.
	FreezeLimit time.Duration
	// Clock reads the clocks; nil means the clocks of the process.
	Clock func() ClockReading
	// Registerer registers the metrics; may be nil.
	Registerer prometheus.Registerer
	// Log receives a line for each change or refusal; nil means slog.Default.
	Log *slog.Logger
}

// Holder holds the bundle in force in one process. Its version never decreases:
// a lower version, or another document with the same version, is refused
// whatever its source. A Holder is safe for concurrent use.
type Holder struct {
	opts    HolderOptions
	metrics *holderMetrics
	inForce atomic.Pointer[InForce]

	mu      sync.Mutex // serialises ApplySigned and ApplyUnsigned; guards changed
	changed chan struct{}

	// lastTick is the clock reading of the latest tick.
	lastTick atomic.Pointer[ClockReading]
	// recheckPending is set from the detection of a freeze until a re-check has succeeded.
	recheckPending atomic.Bool
	wake           chan struct{}

	// lastRefusal is the text of the latest refusal; a repetition of it is not logged.
	lastRefusal atomic.Pointer[string]
}

// NewHolder returns a Holder without a bundle.
func NewHolder(o HolderOptions) *Holder {
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.FreezeLimit == 0 {
		o.FreezeLimit = DefaultFreezeLimit
	}
	if o.Clock == nil {
		o.Clock = processClock()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	h := &Holder{opts: o, metrics: newHolderMetrics(o.Registerer), changed: make(chan struct{}), wake: make(chan struct{}, 1)}
	now := o.Clock()
	h.lastTick.Store(&now)
	return h
}

func processClock() func() ClockReading {
	start := time.Now()
	return func() ClockReading {
		now := time.Now()
		return ClockReading{Mono: now.Sub(start), Wall: now.Round(0)}
	}
}

// InForce returns the bundle in force, or nil. Use ForNewRequest for requests.
func (h *Holder) InForce() *InForce { return h.inForce.Load() }

// Version returns the version in force, or zero if there is none.
func (h *Holder) Version() uint64 {
	if f := h.inForce.Load(); f != nil {
		return f.Bundle.Version
	}
	return 0
}

// ForNewRequest returns the bundle for a new request. It returns ConfigStale
// while there is no bundle and, after a freeze, until a re-check has succeeded.
func (h *Holder) ForNewRequest() (*InForce, error) {
	f := h.inForce.Load()
	if f == nil {
		return nil, result.New(result.ConfigStale, "no bundle in force")
	}
	if h.opts.FetchNewest == nil {
		return f, nil
	}
	// lastTick is read before recheckPending: tick sets recheckPending before it
	// overwrites the lastTick that showed the freeze.
	last := h.lastTick.Load()
	if h.recheckPending.Load() || h.isFreeze(*last, h.opts.Clock()) {
		h.requestRecheck()
		return nil, result.New(result.ConfigStale, "bundle %d is being re-checked after a pause of this process", f.Bundle.Version)
	}
	return f, nil
}

// Changed returns a channel that is closed at the next change of the bundle in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// ApplySigned verifies an encoded bundle and puts it in force if it is newer;
// source names its origin. On an error the bundle in force stays. It returns nil
// if the bundle is already in force.
func (h *Holder) ApplySigned(encoded []byte, source string) error {
	s, err := Decode(encoded)
	if err != nil {
		return h.refuse(source, "malformed", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.inForce.Load()
	if held != nil && held.Signed != nil && s.matches(held.Signed.Version, held.Signed.Digest) {
		return nil
	}
	if err := checkNewer(held, s.Version, s.Digest); err != nil {
		return h.refuse(source, "not-newer", err)
	}
	parsed, err := Verify(s, h.opts.Policy)
	if err != nil {
		return h.refuse(source, "not-verified", err)
	}
	return h.activate(&InForce{Bundle: parsed, Signed: s, Document: s.Document, Digest: s.Digest}, source)
}

// ApplyUnsigned puts a document without approvals in force, for first runs and
// tests. It returns BadSignature in a process with a Policy.
func (h *Holder) ApplyUnsigned(name string, document []byte) error {
	if h.opts.Policy != nil {
		return h.refuse(name, "not-verified", result.New(result.BadSignature, "%s has no approvals", name))
	}
	parsed, err := config.Parse(name, document)
	if err != nil {
		return h.refuse(name, "not-verified", result.Wrap(result.InvalidBundle, err, "%s", name))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.inForce.Load()
	digest := DigestOf(document)
	if held != nil && held.Digest == digest {
		return nil
	}
	if err := checkNewer(held, parsed.Version, digest); err != nil {
		return h.refuse(name, "not-newer", err)
	}
	return h.activate(&InForce{Bundle: parsed, Document: slices.Clone(document), Digest: digest}, name)
}

// ApplyReceived applies what Encoded returned in another process: a signed
// bundle, or a document without approvals if neither process has a Policy.
func (h *Holder) ApplyReceived(data []byte, source string) error {
	if _, err := Decode(data); err == nil {
		return h.ApplySigned(data, source)
	}
	return h.ApplyUnsigned(source, data)
}

// Encoded returns the bundle in force in the form that ApplyReceived reads, or
// nil if there is none.
func (h *Holder) Encoded() []byte {
	f := h.inForce.Load()
	switch {
	case f == nil:
		return nil
	case f.Signed == nil:
		return f.Document
	default:
		return f.Signed.Encode()
	}
}

// LastRefusal returns the source of the bundle refused last and the reason, or
// an empty string if none was refused since the bundle in force was applied.
func (h *Holder) LastRefusal() string {
	if text := h.lastRefusal.Load(); text != nil {
		return *text
	}
	return ""
}

// checkNewer returns VersionConflict unless a bundle may replace the held one. A
// signed bundle may replace a document without approvals of the same content.
func checkNewer(held *InForce, version uint64, digest Digest) error {
	if held == nil || version > held.Bundle.Version {
		return nil
	}
	if version < held.Bundle.Version {
		return result.New(result.VersionConflict, "version %d is older than version %d, which is in force", version, held.Bundle.Version)
	}
	if digest != held.Digest {
		return result.New(result.VersionConflict, "version %d (%s) differs from version %d (%s), which is in force",
			version, digest.Short(), held.Bundle.Version, held.Digest.Short())
	}
	return nil
}

// activate prepares the bundle, then puts it in force by one atomic pointer store.
func (h *Holder) activate(next *InForce, source string) error {
	if h.opts.Prepare != nil {
		prepared, err := h.opts.Prepare(next.Bundle)
		if err != nil {
			return h.refuse(source, "not-prepared", result.Wrap(result.InvalidBundle, err, "bundle %d", next.Bundle.Version))
		}
		next.Prepared = prepared
	}
	next.Since = h.opts.Clock().Wall
	h.inForce.Store(next)
	h.lastRefusal.Store(nil)
	close(h.changed)
	h.changed = make(chan struct{})
	h.metrics.recordActivation(next)
	h.opts.Log.Info("bundle in force", "version", next.Bundle.Version, "digest", next.Digest.Short(), "source", source)
	return nil
}

func (h *Holder) refuse(source, reason string, err error) error {
	h.metrics.refused.WithLabelValues(reason).Inc()
	text := source + ": " + err.Error()
	if previous := h.lastRefusal.Swap(&text); previous == nil || *previous != text {
		h.opts.Log.Warn("bundle refused", "reason", reason, "source", source, "error", err)
	}
	return err
}

// Run detects freezes of the process and re-checks the bundle after each, until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	ticker := time.NewTicker(h.opts.Tick)
	defer ticker.Stop()
	var rechecks sync.WaitGroup
	defer rechecks.Wait()
	rechecks.Go(func() { h.recheckLoop(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.tick()
		}
	}
}

func (h *Holder) tick() {
	now := h.opts.Clock()
	if h.isFreeze(*h.lastTick.Load(), now) {
		h.requestRecheck()
	}
	h.lastTick.Store(&now)
}

// isFreeze reports whether the process was frozen between two clock readings. A
// pause during which the monotonic clock did not advance shows as a jump of the
// wall clock; a correction of the wall clock looks the same and causes one
// unnecessary re-check.
func (h *Holder) isFreeze(last, now ClockReading) bool {
	mono := now.Mono - last.Mono
	wall := now.Wall.Sub(last.Wall)
	return mono > h.opts.FreezeLimit || (wall-mono).Abs() > h.opts.FreezeLimit
}

func (h *Holder) requestRecheck() {
	if h.opts.FetchNewest == nil || h.recheckPending.Swap(true) {
		return
	}
	h.metrics.freezes.Inc()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Holder) recheckLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		}
		for ctx.Err() == nil && !h.recheck(ctx) {
			select {
			case <-ctx.Done():
			case <-time.After(recheckPause):
			}
		}
	}
}

// recheck fetches the newest bundle, applies it and clears recheckPending. If
// the process froze while it waited for the answer, recheckPending stays set,
// since the answer may be out of date.
func (h *Holder) recheck(ctx context.Context) bool {
	started := h.opts.Clock()
	attempt, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	encoded, err := h.opts.FetchNewest(attempt)
	if err != nil || h.isFreeze(started, h.opts.Clock()) {
		return false
	}
	if !h.confirmsUpToDate(encoded) {
		return false
	}
	h.tick()
	h.recheckPending.Store(false)
	h.opts.Log.Info("bundle checked after a freeze", "version", h.Version())
	return true
}

// confirmsUpToDate applies a fetched bundle and reports whether this process is
// then up to date. A source that has no bundle, or an older one, confirms nothing.
func (h *Holder) confirmsUpToDate(encoded []byte) bool {
	if encoded == nil {
		held := h.inForce.Load()
		return held != nil && held.Signed == nil
	}
	return h.ApplyReceived(encoded, "check after freeze") == nil
}

type holderMetrics struct {
	version prometheus.Gauge
	refused *prometheus.CounterVec
	freezes prometheus.Counter
	changes prometheus.Counter
}

func newHolderMetrics(reg prometheus.Registerer) *holderMetrics {
	m := &holderMetrics{
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: VersionMetric,
			Help: "Version of the bundle in force; zero if there is none.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_bundle_refused_total",
			Help: "Bundles that this process refused, by reason.",
		}, []string{"reason"}),
		freezes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "basiltally_bundle_freezes_total",
			Help: "Pauses of this process after which it checked its bundle before serving.",
		}),
		changes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "basiltally_bundle_changes_total",
			Help: "Bundles put in force since the process started.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.version, m.refused, m.freezes, m.changes)
	}
	return m
}

func (m *holderMetrics) recordActivation(f *InForce) {
	m.version.Set(float64(f.Bundle.Version))
	m.changes.Inc()
}
