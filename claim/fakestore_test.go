package claim

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basiltally/basiltally/store"
)

// fakeStore is the object API with conditional writes and no faults.
type fakeStore struct {
	mu       sync.Mutex
	revision store.Version
	objects  map[string]store.Object
	writes   int
	calls    int // Attempted writes, and reads.
	bytes    int
	down     bool
}

func newFakeStore() *fakeStore { return &fakeStore{objects: make(map[string]store.Object)} }

func (s *fakeStore) Get(_ context.Context, key string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]store.Object, store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	var list []store.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, s.revision, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return 0, store.ErrUnavailable
	}
	if s.objects[key].Version != expected {
		return 0, store.ErrConflict
	}
	s.revision++
	s.writes++
	s.bytes += len(value)
	s.objects[key] = store.Object{Key: key, Value: value, Version: s.revision}
	return s.revision, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, expected store.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return store.ErrUnavailable
	}
	if s.objects[key].Version != expected {
		return store.ErrConflict
	}
	s.revision++
	s.writes++
	delete(s.objects, key)
	return nil
}

func (s *fakeStore) Watch(context.Context, string, store.Version) ([]store.Event, error) {
	panic("claim logs are not watched")
}

func (s *fakeStore) count(part string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.objects {
		if strings.Contains(key, part) {
			n++
		}
	}
	return n
}

// faults has the probability of each fault of a store call, and its latency.
type faults struct {
	// unavailable is the probability that the store refuses the call.
	unavailable float64
	// requestLost is the probability that the request is lost, answerLost that the answer is lost, and
	// lateWrite that a write takes effect after the caller stopped waiting for its answer.
	requestLost, answerLost, lateWrite float64
	// latency is the mean time for the request to arrive, and for the answer to arrive.
	latency time.Duration
}

// vmStore is the connection of one VM to the store, with injected faults.
type vmStore struct {
	store.Store
	vm     *simVM
	faults *atomic.Pointer[faults]
	mu     sync.Mutex
	rng    *rand.Rand
}

func (s *vmStore) draw() (p float64, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64(), time.Duration(s.rng.ExpFloat64() * float64(s.faults.Load().latency))
}

func (s *vmStore) transit(ctx context.Context) error {
	_, d := s.draw()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	s.vm.waitWhileFrozen()
	if s.vm.isCrashed() || ctx.Err() != nil {
		return store.ErrUnknown
	}
	return nil
}

// read makes a call that does not change the store. A lost call gives store.ErrUnavailable.
func (s *vmStore) read(ctx context.Context, call func() error) error {
	p, _ := s.draw()
	if err := s.transit(ctx); err != nil || p < s.faults.Load().unavailable+s.faults.Load().requestLost {
		return store.ErrUnavailable
	}
	err := call()
	if s.transit(ctx) != nil {
		return store.ErrUnavailable
	}
	return err
}

// write makes a call that changes an object. A lost call gives store.ErrUnknown.
func (s *vmStore) write(ctx context.Context, call func() error) error {
	p, d := s.draw()
	if err := s.transit(ctx); err != nil {
		return err
	}
	f := s.faults.Load()
	switch {
	case p < f.unavailable:
		return store.ErrUnavailable
	case p < f.unavailable+f.requestLost:
		return store.ErrUnknown
	case p < f.unavailable+f.requestLost+f.lateWrite:
		time.AfterFunc(10*d, func() { call() })
		return store.ErrUnknown
	}
	err := call()
	if p > 1-f.answerLost {
		return store.ErrUnknown
	}
	if s.transit(ctx) != nil {
		return store.ErrUnknown
	}
	return err
}

func (s *vmStore) Get(ctx context.Context, key string) (o store.Object, err error) {
	err = s.read(ctx, func() (err error) { o, err = s.Store.Get(ctx, key); return err })
	return o, err
}

func (s *vmStore) List(ctx context.Context, prefix string) (l []store.Object, v store.Version, err error) {
	err = s.read(ctx, func() (err error) { l, v, err = s.Store.List(ctx, prefix); return err })
	return l, v, err
}

func (s *vmStore) Put(ctx context.Context, key string, value []byte, expected store.Version) (v store.Version, err error) {
	var got store.Version
	err = s.write(ctx, func() (err error) { got, err = s.Store.Put(ctx, key, value, expected); return err })
	if err == nil {
		v = got
	}
	return v, err
}

func (s *vmStore) Delete(ctx context.Context, key string, expected store.Version) error {
	return s.write(ctx, func() error { return s.Store.Delete(ctx, key, expected) })
}
