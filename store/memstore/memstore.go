// Package memstore implements store.Store in memory, for tests and for the
// stand-in of the platform's object API. It has the platform's semantics: store-wide
// revisions, conditional writes, and watches over a bounded history.
package memstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
)

// DefaultHistory is the default number of events kept for watches.
const DefaultHistory = 10_000

// Options configures a Store.
type Options struct {
	// History is the number of past events kept for watches. Default DefaultHistory.
	History int
	// Era is the era in which the Store begins.
	Era store.Era
}

// Store is an object store in memory. It implements store.Store and store.VMLister.
type Store struct {
	history int

	mu       sync.Mutex
	revision store.Version
	objects  map[string]store.Object
	events   []store.Event
	// compacted is the revision up to which events have been dropped.
	compacted store.Version
	// changed is closed and replaced at each write.
	changed chan struct{}
	vms     []store.VM
}

var (
	_ store.Store    = (*Store)(nil)
	_ store.Feed     = (*Store)(nil)
	_ store.VMLister = (*Store)(nil)
)

// New returns an empty Store.
func New(opts Options) *Store {
	if opts.History <= 0 {
		opts.History = DefaultHistory
	}
	return &Store{
		history:  opts.History,
		revision: store.NewVersion(opts.Era, 0), compacted: store.NewVersion(opts.Era, 0),
		objects: make(map[string]store.Object),
		changed: make(chan struct{}),
	}
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	if err := ctx.Err(); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key]
	if !ok {
		return store.Object{}, errors.Wrap(store.ErrNotFound, key)
	}
	return copyObject(obj), nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []store.Object
	for key, obj := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, copyObject(obj))
		}
	}
	slices.SortFunc(list, func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	return list, s.revision, nil
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrap(store.ErrUnavailable, err.Error())
	}
	if len(value) > store.MaxValueBytes {
		return 0, errors.Wrapf(store.ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(key, expected); err != nil {
		return 0, err
	}
	obj := store.Object{Key: key, Value: slices.Clone(value), Version: s.revision + 1}
	s.objects[key] = obj
	s.record(store.Event{Object: obj})
	return obj.Version, nil
}

// Poll implements store.Feed.
func (s *Store) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	events, err := s.Watch(ctx, prefix, after)
	if err != nil {
		return nil, 0, err
	}
	for _, e := range events {
		after = max(after, e.Version)
	}
	return events, after, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expected store.Version) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(store.ErrUnavailable, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[key]; !ok {
		return errors.Wrap(store.ErrNotFound, key)
	}
	if err := s.checkVersion(key, expected); err != nil {
		return err
	}
	delete(s.objects, key)
	s.record(store.Event{
		Object:  store.Object{Key: key, Version: s.revision + 1},
		Deleted: true,
	})
	return nil
}

// Watch implements store.Store. It returns no events and no error when the
// context's deadline passes, and the context's error when it is cancelled.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Version) ([]store.Event, error) {
	for {
		events, changed, err := s.eventsAfter(prefix, after)
		if err != nil || len(events) > 0 {
			return events, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil, nil
			}
			return nil, ctx.Err()
		}
	}
}

// Compact drops the history of events, so that a watch from an older revision fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compacted = s.revision
	s.wake()
}

// Revision returns the revision of the last write.
func (s *Store) Revision() store.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// SetVMs replaces the VM list.
func (s *Store) SetVMs(vms []store.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.Clone(vms)
}

// ListVMs implements store.VMLister.
func (s *Store) ListVMs(ctx context.Context) ([]store.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms), nil
}

// Snapshot is a copy of a Store's objects, for Restore.
type Snapshot struct {
	revision store.Version
	objects  map[string]store.Object
}

// Snapshot returns a copy of the objects and the revision.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{revision: s.revision, objects: copyObjects(s.objects)}
}

// Restore returns the store to an older state, like a restored backup. Objects and revision
// become those of the snapshot, and the history is lost.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = copyObjects(snapshot.objects)
	s.revision = snapshot.revision
	s.events = nil
	s.compacted = snapshot.revision
	s.wake()
}

// StepBack makes the store come back from an older copy: it is restored, its era rises, and the revisions since the copy are
// given out again.
func (s *Store) StepBack(older Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	s.objects = copyObjects(older.objects)
	for key, obj := range s.objects {
		obj.Version = store.NewVersion(era, obj.Version.Revision())
		s.objects[key] = obj
	}
	s.revision = store.NewVersion(era, older.revision.Revision())
	s.events = nil
	s.compacted = s.revision
	s.wake()
}

// checkVersion returns ErrConflict if the object's version is not the expected one, and ErrSteppedBack if that is of another
// era. s.mu must be held.
func (s *Store) checkVersion(key string, expected store.Version) error {
	if expected != 0 && expected.Era() != s.revision.Era() {
		return errors.Wrapf(store.ErrSteppedBack, "%s: expected version %s", key, expected)
	}
	current := s.objects[key].Version
	if current == expected || current == 0 && expected.Revision() == 0 {
		return nil
	}
	return errors.Wrapf(store.ErrConflict, "%s: version is %s, expected %s", key, current, expected)
}

// record appends an event, advances the revision and wakes the watches. s.mu must be held.
func (s *Store) record(event store.Event) {
	s.revision = event.Version
	s.events = append(s.events, event)
	if excess := len(s.events) - s.history; excess > 0 {
		s.compacted = s.events[excess-1].Version
		s.events = slices.Clone(s.events[excess:])
	}
	s.wake()
}

// wake wakes the waiting watches. s.mu must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// eventsAfter returns the events after the revision for keys with the prefix, and a channel
// that is closed at the next write.
func (s *Store) eventsAfter(prefix string, after store.Version) ([]store.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted || after > s.revision {
		return nil, nil, errors.Wrapf(store.ErrCompacted, "watch after revision %s", after)
	}
	start, _ := slices.BinarySearchFunc(s.events, after+1, func(e store.Event, v store.Version) int {
		return int(e.Version) - int(v)
	})
	var events []store.Event
	for _, event := range s.events[start:] {
		if strings.HasPrefix(event.Key, prefix) {
			event.Object = copyObject(event.Object)
			events = append(events, event)
		}
	}
	return events, s.changed, nil
}

func copyObject(obj store.Object) store.Object {
	obj.Value = slices.Clone(obj.Value)
	return obj
}

func copyObjects(objects map[string]store.Object) map[string]store.Object {
	copied := make(map[string]store.Object, len(objects))
	for key, obj := range objects {
		copied[key] = copyObject(obj)
	}
	return copied
}
