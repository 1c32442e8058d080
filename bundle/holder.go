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

// Default intervals of a Holder.
const (
	// DefaultTick is the interval of the freeze detector.
	DefaultTick = 100 * time.Millisecond
	// DefaultFreezeLimit is the gap between ticks that counts as a freeze.
	DefaultFreezeLimit = time.Second
	// recheckPause separates attempts to re-check after a freeze.
	recheckPause = 200 * time.Millisecond
	// recheckTimeout bounds one attempt.
	recheckTimeout = 2 * time.Second
)

// VersionMetric is the name of the metric with the version in force.
const VersionMetric = "basiltally_bundle_version"

// InForce is a bundle in force in this process. It never changes; a request
// keeps the one with which it began.
type InForce struct {
	Bundle *config.Bundle
	// Signed is nil for a local document without approvals.
	Signed *Signed
	// Document is the INI document.
	Document []byte
	Digest   Digest
	// Since is when this process applied it.
	Since time.Time
	// Prepared is what Options.Prepare returned for the bundle.
	Prepared any
}

// Reading is one reading of a process's clocks.
type ClockReading struct {
	// Mono is the monotonic clock from an arbitrary start.
	Mono time.Duration
	// Wall is the wall clock. It shows a pause during which Mono stood still.
	Wall time.Time
}

// HolderOptions configures a Holder.
type HolderOptions struct {
	// Policy verifies offered bundles. Without one only local documents are accepted.
	Policy *Policy
	// Prepare builds what the process derives from a bundle, such as its routing
	// table; it is put in force together with the bundle. An error refuses the
	// bundle. May be nil.
	Prepare func(*config.Bundle) (any, error)
	// Ask returns what Encoded of a peer returns now, or the bundle that the store
	// holds, or nil if there is none. It is called after a freeze and must ask
	// anew, not wait for something sent earlier. Without it a freeze is not re-checked.
	FetchNewest func(ctx context.Context) ([]byte, error)
	// Tick is the interval of the freeze detector; zero means DefaultTick.
	Tick time.Duration
	// FreezeLimit is the gap that counts as a freeze; zero means DefaultFreezeLimit.
	FreezeLimit time.Duration
	// Clock reads the clocks; nil means the process's.
	Clock func() ClockReading
	// Registerer takes the metrics; may be nil.
	Registerer prometheus.Registerer
	// Log gets a line for each change; nil means slog.Default.
	Log *slog.Logger
}

// Holder holds the bundle in force in one process. Versions only rise: a lower
// version, or another document of the same version, is refused whatever its
// source. A Holder is safe for concurrent use.
type Holder struct {
	opts    HolderOptions
	metrics *holderMetrics
	inForce atomic.Pointer[InForce]

	mu      sync.Mutex // serialises Offer and Adopt
	changed chan struct{}

	// lastTick is the Reading of the newest tick.
	lastTick atomic.Pointer[ClockReading]
	// suspect is set from the detection of a freeze to its re-check.
	suspect atomic.Bool
	wake    chan struct{}

	// lastRefusal keeps a repeated refusal from being logged again.
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

// InForce returns the bundle in force, or nil. Use Serving for requests.
func (h *Holder) InForce() *InForce { return h.inForce.Load() }

// Version returns the version in force, zero if there is none.
func (h *Holder) Version() uint64 {
	if f := h.inForce.Load(); f != nil {
		return f.Bundle.Version
	}
	return 0
}

// Serving returns the bundle for a new request. It refuses with ConfigStale
// while there is no bundle and, after a freeze, until a re-check has succeeded.
func (h *Holder) ForNewRequest() (*InForce, error) {
	f := h.inForce.Load()
	if f == nil {
		return nil, result.New(result.ConfigStale, "no bundle in force")
	}
	if h.opts.FetchNewest == nil {
		return f, nil
	}
	// The tick is read before the flag: a tick that hides a gap has set the flag before.
	last := h.lastTick.Load()
	if h.suspect.Load() || h.gap(*last, h.opts.Clock()) {
		h.suspectFreeze()
		return nil, result.New(result.ConfigStale, "bundle %d is being checked after a pause of this process", f.Bundle.Version)
	}
	return f, nil
}

// Changed returns a channel that is closed at the next change of the bundle in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer verifies an encoded bundle and puts it in force if it is newer; source
// names where it came from. Nothing changes on an error. Offering the bundle
// that is in force already is no error.
func (h *Holder) ApplySigned(encoded []byte, source string) error {
	s, err := Decode(encoded)
	if err != nil {
		return h.refuse(source, "malformed", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.inForce.Load()
	if held != nil && held.Signed != nil && s.same(held.Signed.Version, held.Signed.Digest) {
		return nil
	}
	if err := rises(held, s.Version, s.Digest); err != nil {
		return h.refuse(source, "not-newer", err)
	}
	parsed, err := Verify(s, h.opts.Policy)
	if err != nil {
		return h.refuse(source, "not-verified", err)
	}
	return h.apply(&InForce{Bundle: parsed, Signed: s, Document: s.Document, Digest: s.Digest}, source)
}

// Adopt puts a document without approvals in force, for first runs and tests.
// A process with a Policy refuses it.
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
	if err := rises(held, parsed.Version, digest); err != nil {
		return h.refuse(name, "not-newer", err)
	}
	return h.apply(&InForce{Bundle: parsed, Document: slices.Clone(document), Digest: digest}, name)
}

// Receive takes what Encoded of another process returned: a signed bundle, or
// a document if neither process has a Policy.
func (h *Holder) ApplyReceived(data []byte, source string) error {
	if _, err := Decode(data); err == nil {
		return h.ApplySigned(data, source)
	}
	return h.ApplyUnsigned(source, data)
}

// Encoded returns the bundle in force in the form that Receive takes, or nil.
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

// LastRefusal tells which bundle was refused last and why; empty if none was
// refused since the bundle in force was applied.
func (h *Holder) LastRefusal() string {
	if text := h.lastRefusal.Load(); text != nil {
		return *text
	}
	return ""
}

// rises checks that a bundle may follow the held one. A signed bundle may
// replace a local document of the same content.
func rises(held *InForce, version uint64, digest Digest) error {
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

// apply prepares everything, then swaps one pointer.
func (h *Holder) apply(next *InForce, source string) error {
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
	h.metrics.applied(next)
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

// Run detects freezes and re-checks after them until ctx ends.
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
	if h.gap(*h.lastTick.Load(), now) {
		h.suspectFreeze()
	}
	h.lastTick.Store(&now)
}

// gap reports a freeze between two readings. A pause in which the monotonic
// clock stood still shows as a jump of the wall clock; a correction of the wall
// clock looks the same and costs one needless check.
func (h *Holder) gap(last, now ClockReading) bool {
	mono := now.Mono - last.Mono
	wall := now.Wall.Sub(last.Wall)
	return mono > h.opts.FreezeLimit || (wall-mono).Abs() > h.opts.FreezeLimit
}

func (h *Holder) suspectFreeze() {
	if h.opts.FetchNewest == nil || h.suspect.Swap(true) {
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

// recheck asks for the newest bundle, applies it and clears the suspicion. A
// freeze while the answer was under way leaves the suspicion in place.
func (h *Holder) recheck(ctx context.Context) bool {
	asked := h.opts.Clock()
	attempt, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	encoded, err := h.opts.FetchNewest(attempt)
	if err != nil || h.gap(asked, h.opts.Clock()) {
		return false
	}
	if !h.settles(encoded) {
		return false
	}
	h.tick()
	h.suspect.Store(false)
	h.opts.Log.Info("bundle checked after a freeze", "version", h.Version())
	return true
}

// settles reports whether an answer shows that this process is up to date. A
// source that has no bundle, or an older one, shows nothing.
func (h *Holder) settles(encoded []byte) bool {
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

func (m *holderMetrics) applied(f *InForce) {
	m.version.Set(float64(f.Bundle.Version))
	m.changes.Inc()
}
