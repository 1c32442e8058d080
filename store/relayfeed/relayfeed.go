// Package relayfeed lets many VMs follow the store through one that reads it. The
// reader passes on what its lists and polls return; the others read the store
// themselves only while that does not reach them.
//
// It answers the calls of a fleet: each change would otherwise end a poll of every VM.
//
// A VM that has relied on a reader lists the store before it polls it: a store that has
// dropped its history may take a poll from an old revision and answer nothing.
package relayfeed

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
)

// Batch holds the changes under a prefix between two revisions.
type Batch struct {
	Prefix    string
	After, At store.Version
	Events    []store.Event
	// Reset is set if changes before At may be missing, so that a list is needed.
	Reset bool
}

// Options of a Feed.
type Options struct {
	// Direct reads the store.
	Direct store.Feed
	// Kept is the number of batches of a prefix that are kept for VMs that follow
	// this one later. Default 1024.
	MaxBatches int
	// CatchUp bounds the changes that a VM which follows this one is sent at first; one
	// that lacks more reads the store. Default 50.
	MaxCatchUpEvents int
	// MaxBatch is the number of bytes of values up to which a batch is passed on. All
	// VMs read a larger one from the store, whose link is wider than a VM's. Default 8 KiB.
	MaxBatchBytes int
	// Patience is how long a VM that has lost its reader waits for the next one before
	// it lists the store. Default 700 ms: a take-over takes about half a second.
	TakeoverTimeout time.Duration
	// OnBatch is told each batch that this VM takes, from the store or from another VM,
	// to pass it on.
	OnBatch func(Batch)
}

// Feed is a store.Feed over the store and the VM that reads it for others.
type Feed struct {
	opts Options

	mu      sync.Mutex
	logs    map[string]*changeLog
	streams map[string]*stream
	// fresh is set while the reader's batches can be relied on; staleAt is when that ended.
	readerUsable  bool
	unusableSince time.Time
	// changed is closed and replaced when batches arrive or fresh changes.
	changed chan struct{}
	// failing are the prefixes whose last read of the store failed.
	failing map[string]bool
}

// changeLog is what this VM knows of a prefix.
type changeLog struct {
	// base is the revision after which all changes are in batches.
	base, at store.Version
	batches  []Batch
	// objects are the objects as of at.
	objects map[string]store.Object
	// relied is set once changes came from a reader since the last list.
	reliesOnReader bool
}

// stream is what the reader has sent of a prefix and was not taken yet.
type stream struct {
	// from is the revision after which the batches have no gap; at is that of the last.
	from, at store.Version
	batches  []Batch
	// resetAt is the revision before which changes may be missing.
	resetAt store.Version
}

var _ store.Feed = (*Feed)(nil)

// New returns a Feed that reads the store itself.
func New(opts Options) *Feed {
	opts.MaxBatches, opts.MaxCatchUpEvents = cmp.Or(opts.MaxBatches, 1024), cmp.Or(opts.MaxCatchUpEvents, 50)
	opts.MaxBatchBytes = cmp.Or(opts.MaxBatchBytes, 8<<10)
	opts.TakeoverTimeout = cmp.Or(opts.TakeoverTimeout, 700*time.Millisecond)
	return &Feed{
		opts: opts, logs: map[string]*changeLog{}, streams: map[string]*stream{},
		changed: make(chan struct{}), failing: map[string]bool{},
	}
}

// List implements store.Feed. It reads the store unless the reader covers what this VM knows.
func (f *Feed) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	if objects, at, ok := f.listFromReader(prefix); ok {
		return objects, at, nil
	}
	objects, at, err := f.opts.Direct.List(ctx, prefix)
	f.recordReadResult(prefix, err)
	if err == nil {
		f.record(f.diffFromList(prefix, objects, at))
	}
	return objects, at, err
}

// known returns the objects as this VM knows them, if the reader has sent, and will
// send, all changes since.
func (f *Feed) listFromReader(prefix string) ([]store.Object, store.Version, bool) {
	f.mu.Lock()
	l := f.logs[prefix]
	if l == nil || !f.readerUsable || !f.streams[prefix].coversLocked(l.at) {
		f.mu.Unlock()
		return nil, 0, false
	}
	after := l.at
	f.mu.Unlock()
	if b, state, _, _ := f.pollReader(prefix, after); state == relayChanges {
		f.record(b)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	objects := make([]store.Object, 0, len(l.objects))
	for _, key := range slices.Sorted(maps.Keys(l.objects)) {
		objects = append(objects, l.objects[key])
	}
	return objects, l.at, true
}

// listed returns the difference between a list and what was known, as a batch.
func (f *Feed) diffFromList(prefix string, objects []store.Object, at store.Version) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.logs[prefix]
	if l == nil || at < l.at {
		f.logs[prefix] = &changeLog{base: at, at: at, objects: indexByKey(objects)}
		return Batch{Prefix: prefix, After: at, At: at, Reset: true}
	}
	l.reliesOnReader = false
	b := Batch{Prefix: prefix, After: l.at, At: at}
	current := indexByKey(objects)
	for key := range l.objects {
		if _, ok := current[key]; !ok {
			b.Events = append(b.Events, store.Event{Object: store.Object{Key: key}, Deleted: true})
		}
	}
	for _, o := range objects {
		if known, ok := l.objects[o.Key]; !ok || known.Version != o.Version {
			b.Events = append(b.Events, store.Event{Object: o})
		}
	}
	return b
}

func indexByKey(objects []store.Object) map[string]store.Object {
	m := make(map[string]store.Object, len(objects))
	for _, o := range objects {
		m[o.Key] = o
	}
	return m
}

// Poll implements store.Feed. It waits for the reader while that can be relied on.
func (f *Feed) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, state, changed, readerWait := f.pollReader(prefix, after)
		switch state {
		case relayChanges:
			f.record(b)
			return b.Events, b.At, nil
		case relayReset:
			return nil, 0, errors.WithMessagef(store.ErrCompacted, "%s: the reader of the store listed it anew", prefix)
		case relayNotCovered:
			events, at, err := f.pollStore(ctx, prefix, after, wait)
			if !errors.Is(err, errReaderCovers) {
				return events, at, err
			}
			continue
		}
		readerTimer := time.NewTimer(readerWait)
		select {
		case <-changed:
		case <-readerTimer.C:
		case <-timer.C:
			readerTimer.Stop()
			return nil, after, nil
		case <-ctx.Done():
			readerTimer.Stop()
			return nil, 0, ctx.Err()
		}
		readerTimer.Stop()
	}
}

// pollStore polls the store until it answers. It returns errTakenOver once the reader
// has what is asked for.
func (f *Feed) pollStore(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan pollResult, 1)
	go func() {
		events, at, err := f.opts.Direct.Poll(ctx, prefix, after, wait)
		answered <- pollResult{events, at, err}
	}()
	for {
		covers, changed := f.covers(prefix, after)
		if covers {
			return nil, 0, errReaderCovers
		}
		select {
		case a := <-answered:
			if !errors.Is(a.err, store.ErrCompacted) {
				f.recordReadResult(prefix, a.err)
			}
			if a.err == nil {
				f.record(Batch{Prefix: prefix, After: after, At: max(a.at, after), Events: a.events})
			}
			return a.events, a.at, a.err
		case <-changed:
		}
	}
}

// answer is the outcome of a poll of the store.
type pollResult struct {
	events []store.Event
	at     store.Version
	err    error
}

// errTakenOver reports that the reader has what the store was asked for.
var errReaderCovers = errors.New("relayfeed: the reader covers the poll")

// covers reports whether the reader has, or will have, all changes after a revision.
// If so, the poll relies on it from now on.
func (f *Feed) covers(prefix string, after store.Version) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.readerUsable || !f.streams[prefix].coversLocked(after) {
		return false, f.changed
	}
	if l := f.logs[prefix]; l != nil {
		l.reliesOnReader = true
	}
	return true, f.changed
}

func (s *stream) coversLocked(after store.Version) bool {
	return s != nil && after >= s.resetAt && after >= s.from
}

// relayState says what the reader has for a poll.
type relayState int

const (
	// relayNone: the store must be polled.
	relayNotCovered relayState = iota
	// relayWaits: nothing new has come yet.
	relayPending
	// relayHas: changes have come.
	relayChanges
	// relayReset: changes may be missing.
	relayReset
)

// relayed returns the changes after a revision that the reader has sent, as one
// batch, else the channel that is closed when more comes and how long to wait for a
// lost reader. A batch that holds changes before the revision too is returned whole:
// taken in order, it ends in the same state, while a deletion alone could undo a later
// creation.
func (f *Feed) pollReader(prefix string, after store.Version) (Batch, relayState, <-chan struct{}, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, l := f.streams[prefix], f.logs[prefix]
	relied := l != nil && l.reliesOnReader
	switch {
	case f.readerUsable && s.coversLocked(after):
	case !relied:
		return Batch{}, relayNotCovered, nil, 0
	case !f.readerUsable && time.Since(f.unusableSince) < f.opts.TakeoverTimeout:
		return Batch{}, relayPending, f.changed, f.opts.TakeoverTimeout - time.Since(f.unusableSince)
	case f.readerUsable && s == nil && time.Since(f.unusableSince) < f.opts.TakeoverTimeout:
		return Batch{}, relayPending, f.changed, f.opts.TakeoverTimeout - time.Since(f.unusableSince)
	default:
		return Batch{}, relayReset, nil, 0
	}
	l.reliesOnReader = true
	out := Batch{Prefix: prefix, After: after, At: after}
	for _, b := range s.batches {
		if b.At > out.At {
			out.At = b.At
			out.Events = append(out.Events, b.Events...)
		}
	}
	if out.At == after {
		return Batch{}, relayPending, f.changed, longWait
	}
	s.from, s.batches = out.At, nil
	return out, relayChanges, nil, 0
}

// longWait is longer than any poll.
const longWait = time.Hour

// noteRead notes whether the store answered.
func (f *Feed) recordReadResult(prefix string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing[prefix] = err != nil
}

// Healthy reports whether the last reads of the store succeeded.
func (f *Feed) Healthy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, failing := range f.failing {
		if failing {
			return false
		}
	}
	return len(f.failing) > 0
}

// record keeps a batch that this VM has taken, and tells of it.
func (f *Feed) record(b Batch) {
	f.mu.Lock()
	l := f.logs[b.Prefix]
	l.apply(b)
	if valueBytes(b) > f.opts.MaxBatchBytes {
		// As if the changes had not been seen here.
		b.After, b.Events = b.At, nil
	}
	switch {
	case b.Reset || b.After > l.at:
		l.base, l.at, l.batches = b.At, b.At, nil
	default:
		l.at = max(l.at, b.At)
		l.batches = append(l.batches, b)
		if over := len(l.batches) - f.opts.MaxBatches; over > 0 {
			l.base = l.batches[over-1].At
			l.batches = slices.Delete(l.batches, 0, over)
		}
	}
	f.mu.Unlock()
	if f.opts.OnBatch != nil {
		f.opts.OnBatch(b)
	}
}

// apply changes the objects as the batch says.
func (l *changeLog) apply(b Batch) {
	for _, e := range b.Events {
		if e.Deleted {
			delete(l.objects, e.Key)
		} else {
			l.objects[e.Key] = e.Object
		}
	}
}

func valueBytes(b Batch) int {
	n := 0
	for _, e := range b.Events {
		n += len(e.Value)
	}
	return n
}

// Known returns the revision up to which this VM knows each prefix.
func (f *Feed) KnownRevisions() map[string]store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := make(map[string]store.Version, len(f.logs))
	for prefix, l := range f.logs {
		known[prefix] = l.at
	}
	return known
}

// Since returns, for a VM that knows the prefixes up to the revisions, one batch a
// prefix with what it lacks. Where that is not kept, the batch starts at the
// present: the VM must read the store up to there.
func (f *Feed) BatchesSince(known map[string]store.Version) []Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Batch
	for prefix, l := range f.logs {
		b := Batch{Prefix: prefix, After: l.at, At: l.at}
		if after, ok := known[prefix]; ok && after >= l.base && after <= l.at {
			if events := l.eventsSince(after); len(events) <= f.opts.MaxCatchUpEvents {
				b.After, b.Events = after, events
			}
		}
		out = append(out, b)
	}
	return out
}

// since returns the changes after a revision.
func (l *changeLog) eventsSince(after store.Version) []store.Event {
	var events []store.Event
	for _, b := range l.batches {
		if b.At > after {
			events = append(events, b.Events...)
		}
	}
	return events
}

// Begin forgets what an earlier reader has sent. The new one is not relied on until
// SetFresh.
func (f *Feed) ForgetReader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = map[string]*stream{}
	f.setReaderUsableLocked(false)
	f.wakeLocked()
}

// Lead makes this VM read the store at once, for others to follow.
func (f *Feed) BecomeReader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = map[string]*stream{}
	f.readerUsable, f.unusableSince = false, time.Time{}
	f.wakeLocked()
}

func (f *Feed) setReaderUsableLocked(fresh bool) {
	if f.readerUsable && !fresh {
		f.unusableSince = time.Now()
	}
	f.readerUsable = fresh
}

// Take takes a batch of the reader.
func (f *Feed) Receive(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[b.Prefix]
	switch {
	case s != nil && !b.Reset && b.After <= s.at:
		s.batches = append(s.batches, b)
		s.at = max(s.at, b.At)
	case b.Reset:
		f.streams[b.Prefix] = &stream{from: b.At, at: b.At, resetAt: b.At}
	default:
		f.streams[b.Prefix] = &stream{from: b.After, at: b.At, batches: []Batch{b}}
	}
	f.wakeLocked()
}

// SetFresh tells whether the reader is heard and reads the store.
func (f *Feed) SetReaderUsable(fresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readerUsable != fresh {
		f.setReaderUsableLocked(fresh)
		f.wakeLocked()
	}
}

func (f *Feed) wakeLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}
