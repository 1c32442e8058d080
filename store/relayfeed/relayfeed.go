// Package relayfeed lets many VMs follow the store through one VM that reads it, the
// reader. The reader relays what its lists and polls return. The other VMs, the followers,
// read the store themselves only while the reader's batches do not reach them.
//
// This saves calls to the store: otherwise each change would end a poll of every VM.
//
// A reader that stands still, or whose link is full, cannot be told from one that has no changes
// to relay. A follower therefore relies on a reader only while that confirms, by an instant of the
// follower's own clock, up to when it has relayed all changes.
//
// A VM that has relied on a reader lists the store before it polls the store itself. A store
// that has dropped its history may accept a poll from an old revision and return nothing.
package relayfeed

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/checked"
)

// Batch holds the changes under a prefix that are later than revision After, up to and
// including revision At.
type Batch struct {
	Prefix    string
	After, At store.Version
	Events    []store.Event
	// Reset is set if changes before At may be missing, so that the objects must be listed.
	Reset bool
}

// bypasses reports whether the batch leads to a later era past the revision. It is then the difference of two lists, and leaves
// out what a VM has learned by the revision beside them.
func (b Batch) bypasses(revision store.Version) bool {
	return b.After.Era() != b.At.Era() && b.After < revision && revision < b.At
}

func anyBypasses(batches []Batch, revision store.Version) bool {
	return slices.ContainsFunc(batches, func(b Batch) bool { return b.bypasses(revision) })
}

// Options configures a Feed.
type Options struct {
	// Direct reads the store.
	Direct store.Feed
	// FirstList reads the first list of a prefix, which may be seconds old: the poll that follows it
	// returns all changes since its revision. Later lists replace what was known, so that they must not
	// be older. Default Direct.List.
	FirstList func(ctx context.Context, prefix string) ([]store.Object, store.Version, error)
	// Check returns the changes after a revision like Direct.Poll, at once. It is called at intervals while
	// a poll waits at the store, which may have lost the poll. If it is nil, polls are not checked.
	Check func(ctx context.Context, prefix string, after store.Version) ([]store.Event, store.Version, error)
	// Logger gets a line for each poll that the store has lost. Without it nothing is logged.
	Logger *slog.Logger
	// MaxBatches is the number of batches per prefix that are kept for VMs that begin to
	// follow this one later. Default 1024.
	MaxBatches int
	// MaxLogBytes bounds the size of the values in the batches that are kept for a prefix. Default 1 MiB.
	MaxLogBytes int
	// MaxCatchUpEvents bounds the changes that a VM is sent when it begins to follow this
	// one. A VM that lacks more reads the store. Default 1000.
	MaxCatchUpEvents int
	// MaxBatchBytes is the maximum size of a batch that is relayed, in bytes of its values.
	// All VMs read larger ones from the store, whose link has more bandwidth than a VM's.
	// Default 8 KiB.
	MaxBatchBytes int
	// TakeoverTimeout is how long a VM that has lost its reader waits for the next one
	// before it lists the store. Default 700 ms, since a take-over takes about half a second.
	TakeoverTimeout time.Duration
	// MaxStaleness is how long ago the last confirmation of any reader may be until a VM that
	// relies on readers lists the store, however often the reader changes. Default 1.6 s: a
	// reader confirms each 300 ms, and its own knowledge is up to 900 ms old.
	MaxStaleness time.Duration
	// FirstReaderWait is how long a VM that has started and read its first list of a prefix waits for a
	// reader before it polls the store. It should cover the time in which a VM finds the assigner and
	// is sent the first changes. Zero does not wait.
	FirstReaderWait time.Duration
	// Quiet reports whether the prefix has few objects that seldom change. A VM does not list such a prefix
	// again and again while the store does not answer: reads of the other prefixes show when it does, and
	// the reader mostly relays the prefix soon after. If the reader is lost, the VM waits for the next one up to
	// MaxStaleness, and once more for FirstReaderWait after its list. Nil means that none is.
	Quiet func(prefix string) bool
	// Now returns the time of a clock that goes on while the VM is suspended. Default
	// boottime.Now.
	Now func() time.Duration
	// OnBatch is called with each batch that this VM receives from the store or from the
	// reader, in order to relay it.
	OnBatch func(Batch)
}

// Feed is a store.Feed that combines the store with the batches of the reader.
type Feed struct {
	opts Options

	mu      sync.Mutex
	logs    map[string]*changeLog
	streams map[string]*stream
	// readerUsable is set while the reader states that its batches can be relied on.
	readerUsable bool
	// confirmedAt is the instant up to which the present reader has confirmed to have relayed all
	// changes, or zero. freshAt is the latest such instant of any reader.
	confirmedAt, freshAt time.Duration
	// unusableSince is when readerUsable last became false. It is zero after BecomeReader, so
	// that no poll waits for another reader.
	unusableSince time.Time
	// isReader is set once this VM has become the reader.
	isReader bool
	// relayed is set once a reader has stated that its batches can be relied on.
	relayed bool
	// changed is closed and replaced when batches arrive or readerUsable changes.
	changed chan struct{}
	// failing is true for a prefix whose last read of the store failed. storeFailing is true if the last
	// read of any prefix that is not quiet failed. storeAnsweredAt is when that last ended, or zero.
	failing         map[string]bool
	storeFailing    bool
	storeAnsweredAt time.Duration
	// quietFailedAt has the quiet prefixes that must be listed again because a read failed, with the instants
	// at which that was.
	quietFailedAt map[string]time.Duration
	// reads has, for each prefix, what this VM itself has read from the store.
	reads  map[string]*directReads
	bounds map[string]*changeBounds
	// awaitsDelivery is set while it is not known whether some poll has reached the store.
	awaitsDelivery atomic.Bool
	// ageAskedAt is when ReadAge was last called, or zero.
	ageAskedAt time.Duration
}

// directReads is how up to date the reads of a prefix from the store are.
type directReads struct {
	// poll is the last poll that has no answer yet, or nil. Once it waits at the store, that answers it as soon as
	// there is a change.
	poll *openPoll
	// completeAt is the instant up to which all changes were read and relayed.
	completeAt time.Duration
	// aliveAt is the start of the last check of the poll that found no changes, or zero.
	aliveAt time.Duration
}

// changeBounds bounds when the changes under a prefix were made.
type changeBounds struct {
	// changedAfter is an instant after which the changes were made that the last List or Poll
	// returned.
	changedAfter time.Duration
	// undelivered is set if the reader has sent changes that no List or Poll has returned yet.
	// They were made after undeliveredAfter.
	undelivered      bool
	undeliveredAfter time.Duration
}

// maxPollDelay is the longest time that the store takes to answer a poll once there is a change.
const maxPollDelay = 200 * time.Millisecond

const (
	// firstCheckAfter is how long a poll on which other VMs rely is open until its first check. With it, the age that
	// ReadAge returns in calm stays below 0.9 s: up to 0.5 s between two polls, this time, the check and maxPollDelay.
	firstCheckAfter = 50 * time.Millisecond
	// checkInterval is the time between the starts of two checks of such a poll. With an update of the reader each
	// 300 ms and a report each 250 ms it has to stay below MaxStaleness, also while the store takes 0.3 s to answer.
	checkInterval = 500 * time.Millisecond
	// checkTimeout bounds such a check, and maxOpenChecks how many of a poll are open at once: the VM's other calls to
	// the store share their connections with them.
	checkTimeout  = time.Second
	maxOpenChecks = 2
)

const (
	// quietRetryInterval is the time after which a list of a quiet prefix that failed is tried again although other prefixes
	// still cannot be read, which may be for a reason of their own.
	quietRetryInterval = 2 * time.Second
	// quietReaderWait is how long a VM waits for the reader before it lists a quiet prefix, once the store answers
	// again. The reader confirms its role and reads all prefixes first, which takes up to a second.
	quietReaderWait = time.Second
)

// changeLog holds the objects under a prefix and their latest changes, as this VM knows them.
type changeLog struct {
	// base is the revision after which batches has all changes. at is the revision up to
	// which this VM knows the changes.
	base, at store.Version
	batches  []Batch
	// bytes is the size of the values in batches.
	bytes int
	// objects holds the objects as of revision at.
	objects map[string]store.Object
	// reliesOnReader is set once this VM has relied on a reader since the last list.
	reliesOnReader bool
	// awaitReaderUntil is until when a poll waits for a reader after the first list.
	awaitReaderUntil time.Duration
}

// stream holds the batches of a prefix that the reader has sent and no poll has returned yet.
type stream struct {
	// from is the revision after which batches has no gap. at is the revision of the last
	// batch.
	from, at store.Version
	batches  []Batch
	// resetAt is the revision before which changes may be missing.
	resetAt store.Version
}

var _ store.Feed = (*Feed)(nil)

// New returns a Feed that reads the store itself until SetReaderUsable is called.
func New(opts Options) *Feed {
	opts.MaxBatches, opts.MaxCatchUpEvents = cmp.Or(opts.MaxBatches, 1024), cmp.Or(opts.MaxCatchUpEvents, 1000)
	opts.MaxBatchBytes = cmp.Or(opts.MaxBatchBytes, 8<<10)
	opts.MaxLogBytes = cmp.Or(opts.MaxLogBytes, 1<<20)
	opts.TakeoverTimeout = cmp.Or(opts.TakeoverTimeout, 700*time.Millisecond)
	opts.MaxStaleness = cmp.Or(opts.MaxStaleness, 1600*time.Millisecond)
	if opts.Now == nil {
		opts.Now = boottime.Now
	}
	return &Feed{
		opts: opts, logs: map[string]*changeLog{}, streams: map[string]*stream{},
		changed: make(chan struct{}), failing: map[string]bool{}, quietFailedAt: map[string]time.Duration{}, reads: map[string]*directReads{},
		bounds: map[string]*changeBounds{},
	}
}

// List implements store.Feed. It reads the store, unless the reader sends all changes since
// the revision that this VM knows.
func (f *Feed) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	if f.quiet(prefix) {
		f.awaitStore(ctx, prefix)
	}
	if objects, at, ok := f.listFromReader(prefix); ok {
		return objects, at, nil
	}
	if f.opts.FirstList != nil && !f.listed(prefix) {
		// It says nothing of how up to date this VM is; the poll that follows does.
		start := f.opts.Now()
		objects, at, err := f.opts.FirstList(ctx, prefix)
		f.confirmAnswered(start, err)
		f.recordList(prefix, objects, at, err)
		return objects, at, err
	}
	start := f.opts.Now()
	objects, at, err := f.opts.Direct.List(ctx, prefix)
	f.confirmAnswered(start, err)
	if known := f.knownRevision(prefix); err == nil && at.Era() < known.Era() {
		objects, at, err = nil, 0, errors.WithMessagef(store.ErrUnavailable, "%s: the list is of revision %s, and %s is known", prefix, at, known)
	}
	f.recordList(prefix, objects, at, err)
	if err == nil {
		f.setReadComplete(prefix, start)
	}
	return objects, at, err
}

func (f *Feed) quiet(prefix string) bool { return f.opts.Quiet != nil && f.opts.Quiet(prefix) }

// awaitStore waits, if the last read of a quiet prefix failed, until it should be listed: when the store answers reads of
// other prefixes again and the reader has had time to cover the prefix, but not for long if they go on failing.
func (f *Feed) awaitStore(ctx context.Context, prefix string) {
	for {
		f.mu.Lock()
		now, changed := f.opts.Now(), f.changed
		failedAt, failed := f.quietFailedAt[prefix]
		wait := time.Duration(0)
		switch {
		case !failed || f.usableLocked():
		case f.storeFailing:
			wait = failedAt + quietRetryInterval - now
		case f.relayed && !f.isReader:
			wait = f.storeAnsweredAt + quietReaderWait - now
		}
		f.mu.Unlock()
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// listed reports whether the objects under the prefix are known.
func (f *Feed) listed(prefix string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logs[prefix] != nil
}

// knownRevision returns the revision up to which this VM knows the changes, or zero.
func (f *Feed) knownRevision(prefix string) store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.logs[prefix]; l != nil {
		return l.at
	}
	return 0
}

// recordList records the result of a list from the store.
func (f *Feed) recordList(prefix string, objects []store.Object, at store.Version, err error) {
	f.recordReadResult(prefix, err)
	if err == nil {
		f.record(f.diffFromList(prefix, objects, at))
		f.boundChanges(prefix, 0)
	}
}

// listFromReader returns the objects as this VM knows them, including the changes that the
// reader has sent. It returns false unless the reader has sent, and will send, all changes
// since the revision that this VM knows.
func (f *Feed) listFromReader(prefix string) ([]store.Object, store.Version, bool) {
	f.mu.Lock()
	l := f.logs[prefix]
	if l == nil || !f.usableLocked() || !f.streams[prefix].coversLocked(l.at) {
		f.mu.Unlock()
		return nil, 0, false
	}
	after := l.at
	f.mu.Unlock()
	if b, state, _, _ := f.pollReader(prefix, after); state == relayChanges {
		f.record(b)
	}
	f.boundChanges(prefix, 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.quietFailedAt, prefix)
	objects := make([]store.Object, 0, len(l.objects))
	for _, key := range slices.Sorted(maps.Keys(l.objects)) {
		objects = append(objects, l.objects[key])
	}
	return objects, l.at, true
}

// diffFromList returns the difference between a list and the known objects as a batch. If no
// objects are known, or the list is older than they are, it starts a new log and returns a
// reset.
func (f *Feed) diffFromList(prefix string, objects []store.Object, at store.Version) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.logs[prefix]
	if l == nil || at < l.at {
		next := &changeLog{base: at, at: at, objects: indexByKey(objects)}
		if l == nil && !f.isReader {
			next.awaitReaderUntil = f.opts.Now() + f.opts.FirstReaderWait
		}
		f.logs[prefix] = next
		return Batch{Prefix: prefix, After: at, At: at, Reset: true}
	}
	l.reliesOnReader = false
	if f.quiet(prefix) && f.relayed && !f.isReader {
		// A poll now would mostly be given up for the next reader.
		l.awaitReaderUntil = f.opts.Now() + f.opts.FirstReaderWait
	}
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

// indexByKey returns the objects by their keys.
func indexByKey(objects []store.Object) map[string]store.Object {
	m := make(map[string]store.Object, len(objects))
	for _, o := range objects {
		m[o.Key] = o
	}
	return m
}

// Poll implements store.Feed. It waits for changes from the reader while the reader can be
// relied on, and polls the store otherwise. It returns store.ErrCompacted if it relied on a
// reader that is lost.
func (f *Feed) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, state, changed, readerWait := f.pollReader(prefix, after)
		switch state {
		case relayChanges:
			f.record(b)
			f.boundChanges(prefix, 0)
			return b.Events, b.At, nil
		case relayReset:
			ago, _ := f.KnownAgo(prefix)
			return nil, 0, errors.WithMessagef(store.ErrCompacted, "%s: changes from the reader of the store of the last %d ms may be missing", prefix, ago.Milliseconds())
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

// pollStore polls the store. While the poll waits, it returns errReaderCovers as soon as the
// reader covers the poll.
func (f *Feed) pollStore(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	poll := f.beginPoll(prefix)
	defer f.endPoll(prefix, poll, 0)
	answered := make(chan pollResult, 1)
	go func() { answered <- f.pollDirect(ctx, prefix, after, wait, poll) }()
	check := time.NewTimer(f.untilCheck(poll))
	defer check.Stop()
	for {
		covers, changed := f.covers(prefix, after)
		if covers {
			return nil, 0, errReaderCovers
		}
		select {
		case a := <-answered:
			answeredAt := f.opts.Now()
			// Until the changes are relayed, this VM does not count as up to date.
			waited := f.endPoll(prefix, poll, answeredAt)
			if !a.Lost {
				f.confirmAnswered(poll.begun, a.Err)
			}
			if !errors.Is(a.Err, store.ErrCompacted) {
				f.recordReadResult(prefix, a.Err)
			}
			if a.Err == nil {
				f.record(Batch{Prefix: prefix, After: after, At: max(a.At, after), Events: a.Events})
				if waited && !a.Lost {
					// A change before the poll's arrival would have ended it at once.
					f.boundChanges(prefix, answeredAt-maxPollDelay)
				} else {
					f.boundChanges(prefix, 0)
				}
				if a.Lost {
					f.setReadComplete(prefix, a.checkBegan)
				} else {
					f.setReadComplete(prefix, answeredAt)
				}
			}
			return a.Events, a.At, a.Err
		case <-check.C:
			if f.beginCheck(poll) {
				go f.checkPoll(ctx, prefix, after, poll)
			}
		case <-changed:
		}
		check.Reset(f.untilCheck(poll))
	}
}

// pollResult is the result of a poll of the store. If that was lost, it is that of a check, which began at checkBegan.
type pollResult struct {
	checked.Result
	checkBegan time.Duration
}

// pollDirect polls the store, and checks meanwhile that the store has not lost the poll.
func (f *Feed) pollDirect(ctx context.Context, prefix string, after store.Version, wait time.Duration, open *openPoll) pollResult {
	poll := func(ctx context.Context) ([]store.Event, store.Version, error) {
		return f.opts.Direct.Poll(store.WithOnSent(ctx, func() { f.setSent(open) }), prefix, after, wait)
	}
	if f.opts.Check == nil {
		events, at, err := poll(ctx)
		return pollResult{Result: checked.Result{Events: events, At: at, Err: err}}
	}
	var began time.Duration
	check := func(ctx context.Context) ([]store.Event, store.Version, error) {
		if !f.checksPolls() || f.checkedLately(prefix, open) {
			return nil, after, nil
		}
		began = f.opts.Now()
		events, at, err := f.opts.Check(ctx, prefix, after)
		f.confirmAnswered(began, err)
		return events, at, err
	}
	r := pollResult{Result: checked.Poll(ctx, poll, check, checked.Options{
		Prefix: prefix, Logger: f.opts.Logger, OnChecked: func() { f.setChecked(prefix, open, began) },
	})}
	if r.Lost {
		r.checkBegan = began
	}
	return r
}

// untilCheck returns the time until a poll is to be checked, which is long if no other VM relies on what this one has read.
func (f *Feed) untilCheck(poll *openPoll) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Now()
	switch {
	case f.opts.Check == nil || !f.isReader || !f.ageAskedLocked(now):
		return maxPollWait
	case now < poll.handedOver() || poll.openChecks >= maxOpenChecks:
		return firstCheckAfter
	default:
		return max(poll.begun+firstCheckAfter, poll.checkedAt+checkInterval) - now
	}
}

// beginCheck reports whether a poll is to be checked now, and if so counts the check.
func (f *Feed) beginCheck(poll *openPoll) bool {
	if f.untilCheck(poll) > 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	poll.checkedAt = f.opts.Now()
	poll.openChecks++
	return true
}

// checkPoll checks a poll on which other VMs rely. What to do about a poll that the store has lost is left to checked.Poll.
func (f *Feed) checkPoll(ctx context.Context, prefix string, after store.Version, poll *openPoll) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	began := f.opts.Now()
	events, _, err := f.opts.Check(ctx, prefix, after)
	f.confirmAnswered(began, err)
	if err == nil && len(events) == 0 {
		f.setChecked(prefix, poll, began)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	poll.openChecks--
}

// errReaderCovers reports that the reader covers a poll of the store, so that the poll is
// no longer needed.
var errReaderCovers = errors.New("relayfeed: the reader covers the poll")

// covers reports whether the reader has sent, or will send, all changes after a revision. If
// so, it records that this VM relies on the reader. The channel is closed when the result
// may have changed.
func (f *Feed) covers(prefix string, after store.Version) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.usableLocked() || !f.streams[prefix].coversLocked(after) {
		return false, f.changed
	}
	if l := f.logs[prefix]; l != nil {
		l.reliesOnReader = true
	}
	return true, f.changed
}

// coversLocked reports whether the stream has all changes after a revision. A reader that has only read an earlier era does not
// have them. s may be nil.
// Feed.mu must be held.
func (s *stream) coversLocked(after store.Version) bool {
	return s != nil && after >= s.resetAt && after >= s.from && after.Era() <= s.at.Era() && !anyBypasses(s.batches, after)
}

// relayState is what the reader can provide for a poll.
type relayState int

const (
	// relayNotCovered means that the store must be polled.
	relayNotCovered relayState = iota
	// relayPending means that no new changes have arrived yet.
	relayPending
	// relayChanges means that changes have arrived.
	relayChanges
	// relayReset means that changes may be missing.
	relayReset
)

// pollReader returns the changes after a revision that the reader has sent, as one batch. If
// there are none yet, it returns the channel that is closed when that may have changed, and
// how long to wait for a lost reader. A batch that also holds changes before the revision is
// returned as a whole. Applied in order, it results in the same state, while a deletion
// alone could undo a later creation.
func (f *Feed) pollReader(prefix string, after store.Version) (Batch, relayState, <-chan struct{}, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, l := f.streams[prefix], f.logs[prefix]
	reliesOnReader := l != nil && l.reliesOnReader
	usable, staleIn := f.usableLocked(), f.freshAt+f.opts.MaxStaleness-f.opts.Now()
	takeoverWait := staleIn
	if usable || !f.quiet(prefix) || f.unusableSince.IsZero() {
		// A usable reader may not follow the prefix, so that its confirmations say nothing of it. The reader itself,
		// for which unusableSince is zero, does not wait.
		takeoverWait = min(f.opts.TakeoverTimeout-time.Since(f.unusableSince), staleIn)
	}
	switch {
	case usable && s.coversLocked(after):
	case l != nil && f.opts.Now() < l.awaitReaderUntil:
		return Batch{}, relayPending, f.changed, l.awaitReaderUntil - f.opts.Now()
	case !reliesOnReader:
		return Batch{}, relayNotCovered, nil, 0
	case (!usable || s == nil) && takeoverWait > 0:
		return Batch{}, relayPending, f.changed, takeoverWait
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
		f.boundsLocked(prefix).undelivered = false
		return Batch{}, relayPending, f.changed, staleIn
	}
	s.from, s.batches = out.At, nil
	return out, relayChanges, nil, 0
}

// usableLocked reports whether the reader states that its batches can be relied on, and has
// confirmed this within MaxStaleness. f.mu must be held.
func (f *Feed) usableLocked() bool {
	return f.readerUsable && f.confirmedAt > 0 && f.opts.Now()-f.confirmedAt < f.opts.MaxStaleness
}

// beginPoll records that a poll of the prefix begins.
func (f *Feed) beginPoll(prefix string) *openPoll {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Now()
	poll, r := &openPoll{begun: now}, f.readsLocked(prefix)
	r.poll, r.aliveAt = poll, 0
	f.awaitsDelivery.Store(true)
	return poll
}

// endPoll records that the poll has ended. It reports whether the poll waited at the store at the instant. It may be
// called again.
func (f *Feed) endPoll(prefix string, poll *openPoll, at time.Duration) (waited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.readsLocked(prefix); r.poll == poll {
		r.poll = nil
	}
	return poll.waitsAtStore(at)
}

// setSent records that the poll has been handed to the network.
func (f *Feed) setSent(poll *openPoll) {
	f.mu.Lock()
	defer f.mu.Unlock()
	poll.sent = f.opts.Now()
}

// Sending is called before this VM makes a call, to any address. What it returns is called once the call has been
// answered; nil is no call. It shows whether a poll that was sent before still waits in the link of the VM.
func (f *Feed) Sending() (answered func()) {
	if !f.awaitsDelivery.Load() {
		return nil
	}
	began := f.opts.Now()
	return func() { f.ConfirmDelivery(began) }
}

// ConfirmDelivery records that a call of this VM, to any address, which began at the instant began or later has been
// answered. All that the VM sent before has then left its link.
func (f *Feed) ConfirmDelivery(began time.Duration) {
	if !f.awaitsDelivery.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now, awaits := f.opts.Now(), false
	for _, r := range f.reads {
		if r.poll != nil {
			r.poll.confirmDelivery(began, now)
			awaits = awaits || r.poll.arrivedBy == 0
		}
	}
	f.awaitsDelivery.Store(awaits)
}

// confirmAnswered records that a call to the store, which began at the instant, has ended with the error. An error may
// mean that there was no answer. A poll from an earlier era may not have been sent.
func (f *Feed) confirmAnswered(began time.Duration, err error) {
	if err == nil || errors.Is(err, store.ErrCompacted) && !errors.Is(err, store.ErrSteppedBack) {
		f.ConfirmDelivery(began)
	}
}

// checksPolls reports whether this VM checks its polls. A VM that follows a reader polls only until the next reader
// covers it, and its checks, like those of some hundred others, would be calls that the store cannot bear.
func (f *Feed) checksPolls() bool { return !f.HasReader() }

// setChecked records that a check of the poll, which began at the instant, found that the poll has missed nothing.
func (f *Feed) setChecked(prefix string, poll *openPoll, began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	poll.checkedAt = max(poll.checkedAt, began)
	if r := f.readsLocked(prefix); r.poll == poll && began >= poll.handedOver() {
		r.aliveAt = max(r.aliveAt, began)
	}
}

// setReadComplete records that all changes up to the instant were read and relayed.
func (f *Feed) setReadComplete(prefix string, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.readsLocked(prefix)
	r.completeAt = max(r.completeAt, at)
}

func (f *Feed) readsLocked(prefix string) *directReads {
	r := f.reads[prefix]
	if r == nil {
		r = &directReads{}
		f.reads[prefix] = r
	}
	return r
}

// boundChanges records an instant after which the changes were made that List or Poll is about to
// return: the given one or, if it is later, that up to which this VM knew all changes.
func (f *Feed) boundChanges(prefix string, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.boundsLocked(prefix)
	known := max(f.readsLocked(prefix).completeAt, f.freshAt)
	if b.undelivered {
		known = b.undeliveredAfter
	}
	b.changedAfter, b.undelivered = max(after, known), false
}

func (f *Feed) boundsLocked(prefix string) *changeBounds {
	b := f.bounds[prefix]
	if b == nil {
		b = &changeBounds{}
		f.bounds[prefix] = b
	}
	return b
}

// ChangedAgo returns an upper bound on how long ago the changes were made that the last List or
// Poll of the prefix returned. It returns false if that is unknown.
func (f *Feed) ChangedAgo(prefix string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := f.boundsLocked(prefix).changedAfter
	return f.opts.Now() - after, after > 0
}

// KnownAt returns an instant up to which List and Poll have returned all changes under the prefix. It is
// zero if none is known. A poll that waits at the store says nothing until it is answered.
func (f *Feed) KnownAt(prefix string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.readsLocked(prefix).completeAt
	if s, l := f.streams[prefix], f.logs[prefix]; l != nil && f.usableLocked() && s.coversLocked(l.at) && s.at <= l.at {
		known = max(known, f.confirmedAt)
	}
	return known
}

// HasReader reports whether this VM has followed a reader and is not the reader itself.
func (f *Feed) HasReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relayed && !f.isReader
}

// KnownAgo returns the time since the instant up to which List and Poll have returned all changes under the prefix, as far as
// this VM can tell. It returns false while none is known.
func (f *Feed) KnownAgo(prefix string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, r := f.opts.Now(), f.readsLocked(prefix)
	known := max(r.completeAt, f.freshAt)
	if b := f.boundsLocked(prefix); b.undelivered {
		known = b.undeliveredAfter
	}
	if r.poll != nil && r.poll.waitsAtStore(now) {
		known = max(known, r.aliveAt)
	}
	return now - known, known > 0
}

// ReadAge returns the longest time since which changes may exist that this VM has not read
// from the store and relayed, over all prefixes. It returns false while a prefix was not
// read yet. A poll that waits at the store shows up to the start of its last check that there are no changes. The store may
// have stopped answering this VM since. Without Options.Check, it shows it up to now, apart from the changes of the last
// maxPollDelay.
func (f *Feed) ReadAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, age := f.opts.Now(), time.Duration(0)
	if !f.ageAskedLocked(now) {
		// The checks of the polls that are open begin.
		f.wakeLocked()
	}
	f.ageAskedAt = now
	for _, r := range f.reads {
		known := r.completeAt
		if r.poll != nil && r.poll.waitsAtStore(now) {
			known = max(known, r.aliveAt)
			if f.opts.Check == nil {
				known = now
			}
		}
		if known == 0 {
			return 0, false
		}
		age = max(age, now-known)
	}
	return age, len(f.reads) > 0
}

// checkedLately reports whether the last check of the poll is so recent that another one need not be made.
func (f *Feed) checkedLately(prefix string, poll *openPoll) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.readsLocked(prefix)
	return r.poll == poll && r.aliveAt > 0 && f.opts.Now()-r.aliveAt <= checkInterval
}

// ageAskedLocked reports whether ReadAge was called within the last second, as it is while other VMs rely on this one. f.mu
// must be held.
func (f *Feed) ageAskedLocked(now time.Duration) bool {
	return f.ageAskedAt > 0 && now-f.ageAskedAt <= time.Second
}

// recordReadResult records whether a read of the prefix from the store succeeded.
func (f *Feed) recordReadResult(prefix string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing[prefix] = err != nil
	switch {
	case f.quiet(prefix) && err != nil:
		f.quietFailedAt[prefix] = f.opts.Now()
	case f.quiet(prefix):
		delete(f.quietFailedAt, prefix)
	case f.opts.Quiet != nil && f.storeFailing != (err != nil):
		f.storeFailing = err != nil
		if err == nil {
			f.storeAnsweredAt = f.opts.Now()
		}
		f.wakeLocked()
	}
}

// Healthy reports whether the last read of each prefix from the store succeeded. It returns
// false if there was none.
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

// record applies a batch that this VM has received, keeps it and calls OnBatch. If the batch
// is larger than MaxBatchBytes, its events are left out.
func (f *Feed) record(b Batch) {
	f.mu.Lock()
	l := f.logs[b.Prefix]
	l.apply(b)
	if valueBytes(b) > f.opts.MaxBatchBytes {
		// Followers see a gap here, and read the changes from the store.
		b.After, b.Events = b.At, nil
	}
	switch {
	case b.Reset || b.After > l.at:
		l.base, l.at, l.batches, l.bytes = b.At, b.At, nil, 0
	default:
		l.at = max(l.at, b.At)
		l.batches = append(l.batches, b)
		l.bytes += valueBytes(b)
		l.trim(f.opts.MaxBatches, f.opts.MaxLogBytes)
	}
	f.mu.Unlock()
	if f.opts.OnBatch != nil {
		f.opts.OnBatch(b)
	}
}

// trim drops the oldest batches, so that at most the given number with values of at most the given
// size are left.
func (l *changeLog) trim(maxBatches, maxBytes int) {
	n := 0
	for n < len(l.batches) && (len(l.batches)-n > maxBatches || l.bytes > maxBytes) {
		l.bytes -= valueBytes(l.batches[n])
		l.base = l.batches[n].At
		n++
	}
	l.batches = slices.Delete(l.batches, 0, n)
}

// apply applies the changes of the batch to the objects.
func (l *changeLog) apply(b Batch) {
	for _, e := range b.Events {
		if e.Deleted {
			delete(l.objects, e.Key)
		} else {
			l.objects[e.Key] = e.Object
		}
	}
}

// valueBytes returns the size of the batch's values in bytes.
func valueBytes(b Batch) int {
	n := 0
	for _, e := range b.Events {
		n += len(e.Value)
	}
	return n
}

// KnownRevisions returns, for each prefix, the revision up to which this VM knows the
// changes.
func (f *Feed) KnownRevisions() map[string]store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := make(map[string]store.Version, len(f.logs))
	for prefix, l := range f.logs {
		known[prefix] = l.at
	}
	return known
}

// Era returns the latest era of the store of which this VM has read objects.
func (f *Feed) Era() store.Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	var era store.Era
	for _, l := range f.logs {
		era = max(era, l.at.Era())
	}
	return era
}

// BatchesSince returns one batch per prefix with the changes that a VM lacks, given the
// revision of each prefix up to which the VM knows the changes. If the changes it lacks are not
// kept here or are more than MaxCatchUpEvents, the batch is empty and starts at the current
// revision. The VM must then read the store up to that revision.
func (f *Feed) BatchesSince(known map[string]store.Version) []Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Batch
	for prefix, l := range f.logs {
		b := Batch{Prefix: prefix, After: l.at, At: l.at}
		if after, ok := known[prefix]; ok && after >= l.base && after <= l.at && !anyBypasses(l.batches, after) {
			if events := l.eventsSince(after); len(events) <= f.opts.MaxCatchUpEvents {
				b.After, b.Events = after, events
			}
		}
		out = append(out, b)
	}
	return out
}

// eventsSince returns the changes in all batches that end after a revision.
func (l *changeLog) eventsSince(after store.Version) []store.Event {
	var events []store.Event
	for _, b := range l.batches {
		if b.At > after {
			events = append(events, b.Events...)
		}
	}
	return events
}

// ForgetReader discards what an earlier reader has sent. The next reader is not relied on
// until SetReader is called with a confirmation.
func (f *Feed) ForgetReader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = map[string]*stream{}
	f.setReaderLocked(false, 0)
	f.confirmedAt = 0
	f.wakeLocked()
}

// BecomeReader makes this VM the reader: it discards what an earlier reader has sent and
// reads the store at once, without waiting for TakeoverTimeout. Until it has read a prefix for
// which it relied on the earlier reader, it is not Healthy.
func (f *Feed) BecomeReader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = map[string]*stream{}
	f.readerUsable, f.confirmedAt, f.unusableSince, f.isReader = false, 0, time.Time{}, true
	for prefix, l := range f.logs {
		l.awaitReaderUntil = 0
		if l.reliesOnReader {
			f.failing[prefix] = true
		}
	}
	f.wakeLocked()
}

// setReaderLocked sets what the reader states and confirms. f.mu must be held.
func (f *Feed) setReaderLocked(usable bool, confirmedAt time.Duration) {
	if f.readerUsable && !usable {
		f.unusableSince = time.Now()
	}
	f.readerUsable = usable
	f.confirmedAt = max(f.confirmedAt, confirmedAt)
	if usable {
		f.freshAt = max(f.freshAt, f.confirmedAt)
	}
}

// Receive adds a batch that the reader has sent.
func (f *Feed) Receive(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[b.Prefix]
	gap := s != nil && b.After > s.at
	if bounds := f.boundsLocked(b.Prefix); !bounds.undelivered && (len(b.Events) > 0 || b.Reset || gap) {
		bounds.undelivered, bounds.undeliveredAfter = true, max(f.readsLocked(b.Prefix).completeAt, f.freshAt)
	}
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

// SetReader sets whether the reader states that its batches can be relied on, and the instant
// up to which it has confirmed to have relayed all changes. A zero instant confirms nothing
// new.
func (f *Feed) SetReader(usable bool, confirmedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.usableLocked()
	f.setReaderLocked(usable, confirmedAt)
	f.isReader = false
	f.relayed = f.relayed || usable
	if f.usableLocked() != before {
		f.wakeLocked()
	}
}

// wakeLocked wakes the polls that wait. f.mu must be held.
func (f *Feed) wakeLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}
