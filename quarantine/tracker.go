package quarantine

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
)

// RecordKey is the key of the shared record in the object API.
const RecordKey = "quarantine"

// Defaults of Options.
const (
	DefaultDuration          = 10 * time.Minute
	DefaultAmbiguousDuration = time.Minute
	DefaultWindow            = 30 * time.Minute
	DefaultWriteInterval     = time.Second
	DefaultCallTimeout       = 2 * time.Second
	DefaultWatchTimeout      = 30 * time.Second
	DefaultMinCrashes        = 2
)

// Options configures a Tracker. Zero fields take their defaults.
type Options struct {
	// VM is the name of this VM, which tells its counts from those of others. Default: a random one.
	VM string
	// Store is the platform's object API. If it is nil, only Broadcast shares the record.
	Store store.Store
	// Broadcast sends a changed record to other VMs, which call Merge. It may be nil.
	Broadcast func(*pb.Quarantine)
	// Duration is how long a request is quarantined after its latest crash. Default 10 min.
	Duration time.Duration
	// AmbiguousDuration replaces Duration for a request with fewer than three crashes,
	// if another request ran during all of them. Default 1 min.
	AmbiguousDuration time.Duration
	// MinCrashes is the number of crashes from which a request is quarantined. Default 2, and 4 at most.
	MinCrashes int
	// Window is how long crashes are kept; it is raised to Duration if it is less.
	// Default 30 min.
	Window time.Duration
	// WriteInterval is the minimum time between two writes of the shared record. Default 1 s.
	WriteInterval time.Duration
	// CallTimeout bounds one list, or one read and write, of the stored record, by default 2 s.
	// WatchTimeout bounds one watch, by default 30 s.
	CallTimeout, WatchTimeout time.Duration
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Logger logs newly quarantined requests. Default slog.Default().
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
	if o.VM == "" {
		o.VM = rand.Text()
	}
	o.MinCrashes = min(cmp.Or(o.MinCrashes, DefaultMinCrashes), maxCrashes)
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return o
}

// Evidence is what was observed after the connection to a target broke without an
// answer. The target may have crashed if at least one field is set (evidence.MayHaveCrashed); a broken
// connection alone shows nothing.
type Evidence struct {
	// Incarnation identifies the process of the target that may have ended; zero if that is unknown.
	Incarnation uint64
	// CrashCounterRose is set if the target reports more crashes than before.
	CrashCounterRose bool
	// ConnectionRefused is set if the target's address refuses connections.
	ConnectionRefused bool
	// LaterStart is set if a later start of the target is known, or its entry has gone without notice.
	LaterStart bool
	// At is when the connection broke. Zero means now. Requests that were started later did not run then.
	At time.Time
}

func (e Evidence) showsCrash() bool {
	return e.Incarnation != 0 || evidence.MayHaveCrashed(e.ConnectionRefused, e.CrashCounterRose || e.LaterStart)
}

// Tracker keeps track of the requests of this VM at their targets and of the
// quarantined requests of all VMs. Its methods are safe for concurrent use.
type Tracker struct {
	opts             Options
	crashes          prometheus.Counter
	writes           *prometheus.CounterVec
	quarantinedGauge prometheus.Gauge

	mu sync.Mutex
	// vm is the hash of this VM's name.
	vm uint64
	// running has the requests in flight by target and fingerprint.
	running  map[ownership.TargetID]map[Fingerprint]inFlight
	suspects *suspectSet
	// lately counts the whole answers of the last seconds, of which a suspect may have had many.
	lately recentRuns
	// changed has the suspects that this VM has changed since TakeChanges.
	changed map[Fingerprint]struct{}
	// ownVersion rises with each change that this VM itself has made.
	ownVersion uint64
	// listedVersion rises with each change of what Listed returns, and listed is what it returned then.
	listedVersion uint64
	listed        *pb.Quarantine
	wake          chan struct{}
	// quarantinedUntil is replaced at each change, so that Quarantined takes no lock.
	quarantinedUntil atomic.Pointer[map[Fingerprint]time.Time]
}

// inFlight is how many requests of a fingerprint run at a target, and since when the first of them does.
type inFlight struct {
	count int
	since time.Time
}

// New returns a Tracker and registers its metrics.
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
		quarantinedGauge: f.NewGauge(prometheus.GaugeOpts{
			Name: "basiltally_quarantine_requests",
			Help: "Requests that are quarantined.",
		}),
		vm:       xxh3.HashString(opts.VM),
		running:  make(map[ownership.TargetID]map[Fingerprint]inFlight),
		suspects: newSuspectSet(),
		changed:  make(map[Fingerprint]struct{}),
		listed:   new(pb.Quarantine),
		wake:     make(chan struct{}, 1),
	}
	t.quarantinedUntil.Store(new(map[Fingerprint]time.Time))
	return t
}

// Started records that the request is about to be sent to the target.
func (t *Tracker) Started(target ownership.TargetID, fp Fingerprint) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.running[target]
	if m == nil {
		m = make(map[Fingerprint]inFlight)
		t.running[target] = m
	}
	r, ok := m[fp]
	if !ok {
		r.since = now
	}
	r.count++
	m[fp] = r
}

// Finished records that the request has ended at the target. If complete is set, the target answered it in full,
// which weighs against crashes during other runs of it. After a broken connection, Finished must only be called after
// Crashed, or once a crash is ruled out, unless the request is named to Crashed.
func (t *Tracker) Finished(target ownership.TargetID, fp Fingerprint, complete bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(target, fp)
	if !complete {
		return
	}
	t.lately.add(fp, now)
	if s := t.suspects.byFingerprint[fp]; s != nil && len(s.crashes) > 0 {
		t.countWholeRun(fp, s)
	}
}

// countWholeRun counts a whole answer to a suspect. It is shared each time that the count has doubled, which bounds
// what popular requests cost.
func (t *Tracker) countWholeRun(fp Fingerprint, s *suspect) {
	n := s.wholeRuns[t.vm] + 1
	if !s.countWholeRuns(t.vm, n) {
		return
	}
	if bits.OnesCount32(n) == 1 || n == maxWholeRuns {
		t.changed[fp] = struct{}{}
		t.ownVersion++
		t.refreshAndShare()
	}
}

// countEarlierRuns counts the whole answers that this VM got lately to a request that has just become a suspect.
func (t *Tracker) countEarlierRuns(fp Fingerprint, s *suspect) {
	if _, counted := s.wholeRuns[t.vm]; counted {
		return
	}
	if n := t.lately.count(fp, time.Now()); n > 0 && s.countWholeRuns(t.vm, n) {
		t.changed[fp] = struct{}{}
		t.ownVersion++
	}
}

func (t *Tracker) remove(target ownership.TargetID, fp Fingerprint) {
	m := t.running[target]
	if r := m[fp]; r.count > 1 {
		r.count--
		m[fp] = r
	} else {
		delete(m, fp)
	}
	if len(m) == 0 {
		delete(t.running, target)
	}
}

func (t *Tracker) clear(fp Fingerprint) {
	crashes := len(t.suspects.getOrAdd(fp).crashes)
	if t.suspects.getOrAdd(fp).clear(time.Now().UnixMilli()) {
		t.changed[fp] = struct{}{}
		t.ownVersion++
		t.opts.Logger.Info("suspected request cleared", "fingerprint", hex.EncodeToString(fp[:]), "crashes", crashes, "reason", "released by an operator")
		t.refreshAndShare()
	}
}

// Crashed makes the requests that are in flight at the target suspects, and those named that ran there, if the
// evidence shows a crash. It may be called for each of them.
func (t *Tracker) Crashed(target ownership.TargetID, observed Evidence, ended ...Fingerprint) {
	if !observed.showsCrash() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := time.Now()
	if !observed.At.IsZero() {
		at = observed.At
	}
	c := crash{xxh3.HashString(string(target)), observed.Incarnation, at.UnixMilli()}
	changed := false
	for fp, r := range t.running[target] {
		if !r.since.After(at) {
			changed = t.suspect(fp, c, target) || changed
		}
	}
	for _, fp := range ended {
		changed = t.suspect(fp, c, target) || changed
	}
	if changed {
		t.crashes.Inc()
		t.ownVersion++
		t.refreshAndShare()
	}
}

// suspect adds the crash to the request, and reports whether that is new.
func (t *Tracker) suspect(fp Fingerprint, c crash, target ownership.TargetID) bool {
	s := t.suspects.getOrAdd(fp)
	if !s.add(c) {
		return false
	}
	t.changed[fp] = struct{}{}
	t.countEarlierRuns(fp, s)
	t.opts.Logger.Info("request suspected of a crash", "fingerprint", hex.EncodeToString(fp[:]), "target", string(target),
		"crashes", len(s.crashes), "whole_runs", s.allWholeRuns())
	return true
}

// Quarantined reports whether the request is quarantined, and until when. It does not allocate memory.
func (t *Tracker) Quarantined(fp Fingerprint) (bool, time.Time) {
	until, ok := (*t.quarantinedUntil.Load())[fp]
	if !ok || !time.Now().Before(until) {
		return false, time.Time{}
	}
	return true, until
}

// List returns the quarantined requests in the order of fingerprints.
func (t *Tracker) List() []ListedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listQuarantined()
}

func (t *Tracker) listQuarantined() []ListedRequest {
	return t.suspects.quarantined(time.Now().UnixMilli(), t.opts.MinCrashes, t.opts.Duration, t.opts.AmbiguousDuration)
}

// Release ends the quarantine of the request on all VMs and clears its crashes. It
// takes effect on this VM at once, and on another VM when it receives the record.
func (t *Tracker) Release(fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(fp)
}

// Merge adds the crashes and clearings of another VM's record.
func (t *Tracker) Merge(record *pb.Quarantine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.suspects.merge(record) {
		return
	}
	for _, m := range record.GetSuspects() {
		if len(m.Fingerprint) == len(Fingerprint{}) {
			fp := Fingerprint(m.Fingerprint)
			t.countEarlierRuns(fp, t.suspects.byFingerprint[fp])
		}
	}
	t.refresh()
}

// Snapshot returns the record of all suspects, for Merge on another VM.
func (t *Tracker) Snapshot() *pb.Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.record()
}

// TakeChanges returns the suspects that this VM itself has changed since the last call, for Merge on another
// VM. It returns nil if there are none.
func (t *Tracker) TakeChanges() *pb.Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changed) == 0 {
		return nil
	}
	r := t.suspects.recordOf(func(fp Fingerprint, _ *suspect) bool {
		_, ok := t.changed[fp]
		return ok
	})
	clear(t.changed)
	return r
}

// OwnVersion returns a number that rises with each change that this VM itself has made.
func (t *Tracker) OwnVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownVersion
}

// Recent returns the suspects with a crash within the age, for Merge on another VM.
func (t *Tracker) Recent(age time.Duration) *pb.Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := time.Now().Add(-age).UnixMilli()
	return t.suspects.recordOf(func(_ Fingerprint, s *suspect) bool { return s.lastMS() >= since })
}

// RepeatChanges makes TakeChanges return all suspects of the last age, and all that Listed returns, once more,
// for a VM that may not have them.
func (t *Tracker) RepeatChanges(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fp, s := range t.suspects.byFingerprint {
		if s.listed || s.lastMS() >= time.Now().Add(-age).UnixMilli() {
			t.changed[fp] = struct{}{}
		}
	}
}

// Listed returns the record of the requests that are quarantined or were so lately, and a version that rises
// with each change of it.
func (t *Tracker) Listed() (*pb.Quarantine, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listedRecord(), t.listedVersion
}

// listedRecord returns the record of the requests that are quarantined or were so lately. The caller must hold t.mu.
func (t *Tracker) listedRecord() *pb.Quarantine {
	return t.suspects.recordOf(func(_ Fingerprint, s *suspect) bool { return s.listed })
}

// ListedVersion returns the version of what Listed returns. It is zero before the first request is
// quarantined.
func (t *Tracker) ListedVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listedVersion
}

// refreshAndShare calls refresh and makes Run share the record. The caller must hold t.mu.
func (t *Tracker) refreshAndShare() {
	t.refresh()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// refresh replaces the table that Quarantined reads. The caller must hold t.mu.
func (t *Tracker) refresh() {
	t.suspects.expire(time.Now().UnixMilli(), t.opts.Window)
	quarantined := make(map[Fingerprint]time.Time)
	earlier := *t.quarantinedUntil.Load()
	for _, e := range t.listQuarantined() {
		quarantined[e.Fingerprint] = e.Until
		if _, known := earlier[e.Fingerprint]; !known {
			t.opts.Logger.Warn("request quarantined", "fingerprint", hex.EncodeToString(e.Fingerprint[:]), "crashes", e.Crashes, "whole_runs", t.suspects.byFingerprint[e.Fingerprint].allWholeRuns(), "ambiguous", e.Ambiguous, "until", e.Until)
		}
	}
	// Receivers conclude from the record alone what is quarantined, and until when.
	if listed := t.listedRecord(); !proto.Equal(listed, t.listed) {
		t.listed = listed
		t.listedVersion++
	}
	t.quarantinedUntil.Store(&quarantined)
	t.quarantinedGauge.Set(float64(len(quarantined)))
}

// Run shares the record with other VMs until ctx ends, and returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { t.runWrites(ctx) })
	if t.opts.Store != nil {
		wg.Go(func() { t.runWatch(ctx) })
	}
	wg.Wait()
	return nil
}

// runWrites broadcasts and stores the record after local changes, at most once per WriteInterval.
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
			t.writeRecord(ctx)
		}
		if !pause(ctx, t.opts.WriteInterval) {
			return
		}
	}
}

// writeRecord merges the suspects into the stored record. After a failure the write is
// repeated later, also if only its answer was lost, since merging twice has no effect.
func (t *Tracker) writeRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.CallTimeout)
	defer cancel()
	err := t.mergeIntoStore(ctx)
	if err == nil {
		t.writes.WithLabelValues("ok").Inc()
		return
	}
	t.writes.WithLabelValues("failed").Inc()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshAndShare()
}

func (t *Tracker) mergeIntoStore(ctx context.Context) error {
	object, err := t.readRecord(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.suspects.expire(time.Now().UnixMilli(), t.opts.Window)
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(t.suspects.record())
	t.mu.Unlock()
	if err != nil || string(value) == string(object.Value) {
		return err
	}
	_, err = t.opts.Store.Put(ctx, RecordKey, value, object.Version)
	return err
}

// readRecord merges the stored record into the suspects, and returns its object, which is zero if
// there is none.
func (t *Tracker) readRecord(ctx context.Context) (store.Object, error) {
	object, err := t.opts.Store.Get(ctx, RecordKey)
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
		return errors.Wrap(err, "malformed quarantine record")
	}
	t.Merge(&record)
	return nil
}

// runWatch reads and watches the stored record; after an error it reads the record again.
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
	objects, revision, err := t.opts.Store.List(ctx, RecordKey)
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

// watch waits for changes, merges them and returns the revision for the next watch.
func (t *Tracker) watch(ctx context.Context, after store.Version) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.WatchTimeout)
	defer cancel()
	events, err := t.opts.Store.Watch(ctx, RecordKey, after)
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
	if o.Key != RecordKey {
		return nil
	}
	return t.mergeValue(o.Value)
}

// pause waits for d, and returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
