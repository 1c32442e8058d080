package quarantine

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
)

// Key is the key of the shared record in the object API.
const Key = "quarantine"

// Defaults of Options.
const (
	DefaultDuration          = 10 * time.Minute
	DefaultAmbiguousDuration = time.Minute
	DefaultWindow            = 30 * time.Minute
	DefaultWriteInterval     = time.Second
	DefaultCallTimeout       = 2 * time.Second
	DefaultWatchTimeout      = 30 * time.Second
)

// Options configures a Tracker. Zero fields take their defaults.
type Options struct {
	// Store is the platform's object API; nil shares through Broadcast alone.
	Store store.Store
	// Broadcast hands a changed record to other VMs, which call Merge; may be nil.
	Broadcast func(*pb.Quarantine)
	// Time is how long a request is refused after its latest crash. Default 10 min.
	Duration time.Duration
	// AmbiguousTime is the same for a request that only ever crashed targets in
	// the company of another one, up to its third crash. Default 1 min.
	AmbiguousDuration time.Duration
	// Window is how long crashes are remembered; at least Time. Default 30 min.
	Window time.Duration
	// WriteInterval is the least time between two writes of the shared record. Default 1 s.
	WriteInterval time.Duration
	// CallTimeout bounds one call of the store, WatchTime one watch. Default 2 s and 30 s.
	CallTimeout, WatchTimeout time.Duration
	// Registerer receives the metrics; nil registers none.
	Registerer prometheus.Registerer
	// Logger receives changes of state. Default slog.Default().
	Logger *slog.Logger
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.Duration, DefaultDuration},
		{&o.AmbiguousDuration, DefaultAmbiguousDuration},
		{&o.Window, DefaultWindow},
		{&o.WriteInterval, DefaultWriteInterval},
		{&o.CallTimeout, DefaultCallTimeout},
		{&o.WatchTimeout, DefaultWatchTimeout},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	o.Window = max(o.Window, o.Duration)
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return o
}

// Evidence is what shows that a target crashed: its connection broke without an
// answer and one of these was seen. A broken connection alone is none.
type Evidence struct {
	// Incarnation is the process start that has ended, known from an answer of the
	// target's next one; zero if it is not known.
	Incarnation uint64
	// CrashCounterRose tells that the target reports more crashes than before.
	CrashCounterRose bool
	// ConnectionRefused tells that nothing listens at the target's address.
	ConnectionRefused bool
}

func (e Evidence) shown() bool {
	return e.Incarnation != 0 || e.CrashCounterRose || e.ConnectionRefused
}

// Tracker follows the requests of this VM at their targets and keeps the
// quarantine. All methods may be called at once.
type Tracker struct {
	opts    Options
	crashes prometheus.Counter
	writes  *prometheus.CounterVec
	held    prometheus.Gauge

	mu sync.Mutex
	// running counts the requests in flight by target and fingerprint.
	running map[ownership.TargetID]map[Fingerprint]int
	ledger  *ledger
	wake    chan struct{}
	// blocks is replaced at each change, so that Blocked takes no lock.
	blocks atomic.Pointer[map[Fingerprint]time.Time]
}

// New returns a Tracker with its metrics.
func New(opts Options) *Tracker {
	opts = opts.withDefaults()
	f := promauto.With(opts.Registerer)
	t := &Tracker{
		opts: opts,
		crashes: f.NewCounter(prometheus.CounterOpts{
			Name: "basiltally_quarantine_crashes_total",
			Help: "Crashes of targets during requests of this VM.",
		}),
		writes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_quarantine_writes_total",
			Help: "Writes of the shared record by result: ok or failed.",
		}, []string{"result"}),
		held: f.NewGauge(prometheus.GaugeOpts{
			Name: "basiltally_quarantine_requests",
			Help: "Requests that are quarantined.",
		}),
		running: make(map[ownership.TargetID]map[Fingerprint]int),
		ledger:  newLedger(),
		wake:    make(chan struct{}, 1),
	}
	t.blocks.Store(new(map[Fingerprint]time.Time))
	return t
}

// Started notes that the request is about to be sent to the target.
func (t *Tracker) Started(target ownership.TargetID, fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.running[target]
	if m == nil {
		m = make(map[Fingerprint]int)
		t.running[target] = m
	}
	m[fp]++
}

// Finished notes that the request has ended at the target. Whole tells that the
// target answered it in full, which clears it of earlier crashes. After a broken
// connection, Finished is called only once Crashed was called or ruled out.
func (t *Tracker) Finished(target ownership.TargetID, fp Fingerprint, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(target, fp)
	if s := t.ledger.suspects[fp]; whole && s != nil && len(s.crashes) > 0 {
		t.clear(fp)
	}
}

func (t *Tracker) remove(target ownership.TargetID, fp Fingerprint) {
	m := t.running[target]
	m[fp]--
	if m[fp] <= 0 {
		delete(m, fp)
	}
	if len(m) == 0 {
		delete(t.running, target)
	}
}

func (t *Tracker) clear(fp Fingerprint) {
	if t.ledger.suspect(fp).clear(time.Now().UnixMilli()) {
		t.changed()
	}
}

// Crashed makes suspects of all requests that are in flight at the target, if
// the evidence shows a crash. It may be called by each of them.
func (t *Tracker) Crashed(target ownership.TargetID, evidence Evidence) {
	if !evidence.shown() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := crash{xxh3.HashString(string(target)), evidence.Incarnation, time.Now().UnixMilli()}
	changed := false
	for fp := range t.running[target] {
		changed = t.ledger.suspect(fp).add(c) || changed
	}
	if changed {
		t.crashes.Inc()
		t.changed()
	}
}

// Blocked reports whether the request is quarantined, and until when. It does not allocate.
func (t *Tracker) Quarantined(fp Fingerprint) (bool, time.Time) {
	until, ok := (*t.blocks.Load())[fp]
	if !ok || !time.Now().Before(until) {
		return false, time.Time{}
	}
	return true, until
}

// List returns the quarantined requests.
func (t *Tracker) List() []ListedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blocked()
}

func (t *Tracker) blocked() []ListedRequest {
	return t.ledger.blocked(time.Now().UnixMilli(), t.opts.Duration, t.opts.AmbiguousDuration)
}

// Release ends the quarantine of the request on all VMs, and forgets its crashes.
// It takes effect here at once, elsewhere when the record arrives.
func (t *Tracker) Release(fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(fp)
}

// Merge takes over a record of another VM.
func (t *Tracker) Merge(record *pb.Quarantine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ledger.merge(record) {
		t.publish()
	}
}

// Snapshot returns the record to hand to a VM that has just started.
func (t *Tracker) Snapshot() *pb.Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.record()
}

// changed spreads what this VM has learnt. The lock is held.
func (t *Tracker) changed() {
	t.publish()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// publish renews the table that Blocked reads. The lock is held.
func (t *Tracker) publish() {
	t.ledger.expire(time.Now().UnixMilli(), t.opts.Window)
	blocks := make(map[Fingerprint]time.Time)
	earlier := *t.blocks.Load()
	for _, e := range t.blocked() {
		blocks[e.Fingerprint] = e.Until
		if _, known := earlier[e.Fingerprint]; !known {
			t.opts.Logger.Warn("request quarantined", "crashes", e.Crashes, "ambiguous", e.Ambiguous, "until", e.Until)
		}
	}
	t.blocks.Store(&blocks)
	t.held.Set(float64(len(blocks)))
}

// Run shares the ledger until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { t.runWrites(ctx) })
	if t.opts.Store != nil {
		wg.Go(func() { t.runWatch(ctx) })
	}
	wg.Wait()
	return nil
}

// runWrites spreads local changes, at most one per WriteInterval.
func (t *Tracker) runWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		if t.opts.Broadcast != nil {
			t.opts.Broadcast(t.Snapshot())
		}
		if t.opts.Store != nil {
			t.share(ctx)
		}
		if !pause(ctx, t.opts.WriteInterval) {
			return
		}
	}
}

// share merges the ledger into the stored record. Any failure leaves the ledger
// to be written later; merging twice does no harm, so a lost answer needs no care.
func (t *Tracker) share(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.CallTimeout)
	defer cancel()
	err := t.update(ctx)
	if err == nil {
		t.writes.WithLabelValues("ok").Inc()
		return
	}
	t.writes.WithLabelValues("failed").Inc()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed()
}

func (t *Tracker) update(ctx context.Context) error {
	object, err := t.read(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.ledger.expire(time.Now().UnixMilli(), t.opts.Window)
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(t.ledger.record())
	t.mu.Unlock()
	if err != nil || string(value) == string(object.Value) {
		return err
	}
	_, err = t.opts.Store.Put(ctx, Key, value, object.Version)
	return err
}

// read merges the stored record into the ledger.
func (t *Tracker) read(ctx context.Context) (store.Object, error) {
	object, err := t.opts.Store.Get(ctx, Key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{}, nil
	}
	if err != nil {
		return store.Object{}, err
	}
	return object, t.mergeValue(object.Value)
}

func (t *Tracker) mergeValue(value []byte) error {
	var record pb.Quarantine
	if err := proto.Unmarshal(value, &record); err != nil {
		return errors.Wrap(err, "quarantine record")
	}
	t.Merge(&record)
	return nil
}

// runWatch follows the stored record; after an error it reads it again.
func (t *Tracker) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := t.list(ctx)
		for err == nil && ctx.Err() == nil {
			after, err = t.watch(ctx, after)
		}
		if !pause(ctx, t.opts.WriteInterval) {
			return
		}
	}
}

// list merges the stored record and returns the revision to watch from.
func (t *Tracker) list(ctx context.Context) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.CallTimeout)
	defer cancel()
	objects, revision, err := t.opts.Store.List(ctx, Key)
	if err != nil {
		return 0, err
	}
	for _, o := range objects {
		if err := t.mergeObject(o); err != nil {
			return 0, err
		}
	}
	return revision, nil
}

// watch waits for changes, merges them and returns the revision to go on from.
func (t *Tracker) watch(ctx context.Context, after store.Version) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.WatchTimeout)
	defer cancel()
	events, err := t.opts.Store.Watch(ctx, Key, after)
	if err != nil {
		return 0, err
	}
	for _, e := range events {
		after = max(after, e.Version)
		if e.Deleted {
			continue
		}
		if err := t.mergeObject(e.Object); err != nil {
			return 0, err
		}
	}
	return after, nil
}

func (t *Tracker) mergeObject(o store.Object) error {
	if o.Key != Key {
		return nil
	}
	return t.mergeValue(o.Value)
}

// pause waits and reports whether ctx is still live.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
