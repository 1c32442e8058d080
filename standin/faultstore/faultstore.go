// Package faultstore wraps the in-memory object store. It simulates faults and rate limits
// of the platform's object API, and counts calls.
package faultstore

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/basiltally/basiltally/standin"
	"github.com/basiltally/basiltally/standin/vmlist"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

// watchChargeInterval is the waiting time after which a watch is charged one more read.
const watchChargeInterval = time.Second

// Faults are the simulated faults and limits of a store. The zero value is a healthy store
// without limits.
type Faults struct {
	// Refuse fails all calls at once with store.ErrUnavailable, waiting watches included.
	Refuse bool `json:"refuse,omitempty"`
	// Hang blocks all calls until the faults change, or the caller gives up.
	Hang bool `json:"hang,omitempty"`
	// DelayBefore delays a call before it takes effect.
	DelayBefore standin.Duration `json:"delay_before,omitempty"`
	// DelayAfter delays the answer after a call has taken effect.
	DelayAfter standin.Duration `json:"delay_after,omitempty"`
	// LoseAnswers is the number of upcoming writes that take effect but are not answered.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseRequests is the number of upcoming writes that take no effect and are not answered.
	LoseRequests int `json:"lose_requests,omitempty"`
	// KeyPrefix restricts all faults above to keys and prefixes that start with it.
	KeyPrefix string `json:"key_prefix,omitempty"`
	// WritesPerSecond limits the rate of writes. Zero means no limit.
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	// ReadsPerSecond limits the rate of reads, watches included. Zero means no limit.
	ReadsPerSecond float64 `json:"reads_per_second,omitempty"`
}

// Calls counts calls by kind.
type Calls struct {
	Get     int `json:"get"`
	List    int `json:"list"`
	Put     int `json:"put"`
	Delete  int `json:"delete"`
	Watch   int `json:"watch"`
	ListVMs int `json:"list_vms"`
	// Waiting is the number of watches that are waiting now.
	Waiting int `json:"waiting_watches"`
	// ReadsCharged is the number of reads charged to the read limit. A waiting watch is
	// charged one read for each second.
	ReadsCharged int `json:"reads_charged"`
	// WritesCharged is the number of writes charged to the write limit.
	WritesCharged int `json:"writes_charged"`
	// Refused counts the calls that failed because of Faults.Refuse.
	Refused int `json:"refused"`
	// Limited counts the calls that failed because of a rate limit.
	Limited int `json:"limited"`
}

// Store is an object store that simulates faults on demand.
type Store struct {
	// Objects is the wrapped store, without faults.
	Objects *memstore.Store
	// VMs is the wrapped VM list, without faults.
	VMs *vmlist.List

	mu       sync.Mutex
	faults   Faults
	calls    Calls
	changed  chan struct{}
	reads    *rate.Limiter
	writes   *rate.Limiter
	snapshot memstore.Snapshot
}

var (
	_ store.Store    = (*Store)(nil)
	_ store.VMLister = (*Store)(nil)
)

// New returns a healthy Store over the objects and the VM list.
func New(objects *memstore.Store, vms *vmlist.List) *Store {
	s := &Store{Objects: objects, VMs: vms, changed: make(chan struct{})}
	s.SetFaults(Faults{})
	s.Snapshot()
	return s
}

// SetFaults replaces the faults in force and starts new, full token buckets for the limits.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.reads = newLimiter(f.ReadsPerSecond)
	s.writes = newLimiter(f.WritesPerSecond)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the counts of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Snapshot saves the current objects for Restore.
func (s *Store) Snapshot() {
	snapshot := s.Objects.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = snapshot
}

// Restore replaces the objects with those of the last Snapshot, as a restored backup does.
func (s *Store) Restore() {
	s.mu.Lock()
	snapshot := s.snapshot
	s.mu.Unlock()
	s.Objects.Restore(snapshot)
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.beforeCall(ctx, key, false, func(c *Calls) { c.Get++ }); err != nil {
		return store.Object{}, err
	}
	obj, err := s.Objects.Get(ctx, key)
	return obj, s.afterRead(ctx, key, err)
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	if err := s.beforeCall(ctx, prefix, false, func(c *Calls) { c.List++ }); err != nil {
		return nil, 0, err
	}
	list, revision, err := s.Objects.List(ctx, prefix)
	return list, revision, s.afterRead(ctx, prefix, err)
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	if err := s.beforeCall(ctx, key, true, func(c *Calls) { c.Put++ }); err != nil {
		return 0, err
	}
	version, err := s.Objects.Put(ctx, key, value, expected)
	if err := s.afterWrite(ctx, key, err); err != nil {
		return 0, err
	}
	return version, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expected store.Version) error {
	if err := s.beforeCall(ctx, key, true, func(c *Calls) { c.Delete++ }); err != nil {
		return err
	}
	return s.afterWrite(ctx, key, s.Objects.Delete(ctx, key, expected))
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Version) ([]store.Event, error) {
	if err := s.beforeCall(ctx, prefix, false, func(c *Calls) { c.Watch++ }); err != nil {
		return nil, err
	}
	s.count(func(c *Calls) { c.Waiting++ })
	defer s.count(func(c *Calls) { c.Waiting-- })
	for {
		events, err := s.watchInterval(ctx, prefix, after)
		if err != nil || len(events) > 0 {
			return events, s.afterRead(ctx, prefix, err)
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, nil
		}
		if err := s.recheckWatch(ctx, prefix); err != nil {
			return nil, err
		}
	}
}

// ListVMs implements store.VMLister.
func (s *Store) ListVMs(ctx context.Context) ([]store.VM, error) {
	if err := s.beforeCall(ctx, "", false, func(c *Calls) { c.ListVMs++ }); err != nil {
		return nil, err
	}
	vms, err := s.VMs.ListVMs(ctx)
	return vms, s.afterRead(ctx, "", err)
}

// watchInterval waits for events until watchChargeInterval has passed or the faults change.
func (s *Store) watchInterval(ctx context.Context, prefix string, after store.Version) ([]store.Event, error) {
	_, changed := s.faultsFor(prefix)
	intervalCtx, cancel := context.WithTimeout(ctx, watchChargeInterval)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-intervalCtx.Done():
		}
	}()
	events, err := s.Objects.Watch(intervalCtx, prefix, after)
	if errors.Is(err, context.Canceled) && ctx.Err() == nil {
		return nil, nil
	}
	return events, err
}

// recheckWatch charges a waiting watch one more read and applies the faults in force.
func (s *Store) recheckWatch(ctx context.Context, prefix string) error {
	s.mu.Lock()
	s.calls.ReadsCharged++
	s.reads.Reserve()
	s.mu.Unlock()
	return s.applyFaultsBefore(ctx, prefix, false)
}

// beforeCall counts a call, and applies the rate limit and the faults that act before the
// call takes effect.
func (s *Store) beforeCall(ctx context.Context, key string, write bool, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	allowed := s.charge(write)
	s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return errors.Wrap(store.ErrUnavailable, err.Error())
	}
	if !allowed {
		return errors.Wrap(store.ErrUnavailable, "rate limit exceeded")
	}
	return s.applyFaultsBefore(ctx, key, write)
}

// charge charges one call to its limit, and reports whether the limit allows the call. It
// must be called with mu locked.
func (s *Store) charge(write bool) bool {
	limiter := s.reads
	if write {
		limiter = s.writes
		s.calls.WritesCharged++
	} else {
		s.calls.ReadsCharged++
	}
	if limiter.Allow() {
		return true
	}
	s.calls.Limited++
	return false
}

// applyFaultsBefore applies the faults that act before a call takes effect.
func (s *Store) applyFaultsBefore(ctx context.Context, key string, write bool) error {
	for {
		f, changed := s.faultsFor(key)
		if f.Refuse {
			s.count(func(c *Calls) { c.Refused++ })
			return errors.Wrap(store.ErrUnavailable, "refused by the simulated fault Refuse")
		}
		if f.Hang {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return noAnswerError(write)
			}
		}
		if write && s.consumeFault(key, func(f *Faults) *int { return &f.LoseRequests }) {
			return errors.Wrap(store.ErrUnknown, "request lost by the simulated fault LoseRequests")
		}
		return sleep(ctx, time.Duration(f.DelayBefore), write)
	}
}

// afterRead applies the delay between a read and its answer, and returns err after it.
func (s *Store) afterRead(ctx context.Context, key string, err error) error {
	f, _ := s.faultsFor(key)
	if delayErr := sleep(ctx, time.Duration(f.DelayAfter), false); delayErr != nil {
		return delayErr
	}
	return err
}

// afterWrite applies the faults that act between a write's effect and its answer. It returns
// err if there are none.
func (s *Store) afterWrite(ctx context.Context, key string, err error) error {
	if s.consumeFault(key, func(f *Faults) *int { return &f.LoseAnswers }) {
		return errors.Wrap(store.ErrUnknown, "answer lost by the simulated fault LoseAnswers")
	}
	f, _ := s.faultsFor(key)
	if delayErr := sleep(ctx, time.Duration(f.DelayAfter), true); delayErr != nil {
		return delayErr
	}
	return err
}

// faultsFor returns the faults that apply to the key, and a channel that is closed when the
// faults change.
func (s *Store) faultsFor(key string) (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.HasPrefix(key, s.faults.KeyPrefix) {
		return Faults{}, s.changed
	}
	return s.faults, s.changed
}

// consumeFault decrements the counter of a fault if the fault applies to the key and the
// counter is above zero. It reports whether it did.
func (s *Store) consumeFault(key string, field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := field(&s.faults)
	if *left <= 0 || !strings.HasPrefix(key, s.faults.KeyPrefix) {
		return false
	}
	*left--
	return true
}

func (s *Store) count(f func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.calls)
}

// noAnswerError returns the error of a call that ended without an answer: the outcome of a
// write is then unknown.
func noAnswerError(write bool) error {
	if write {
		return errors.Wrap(store.ErrUnknown, "no answer")
	}
	return errors.Wrap(store.ErrUnavailable, "no answer")
}

// sleep waits for d. If ctx ends first, it returns noAnswerError.
func sleep(ctx context.Context, d time.Duration, write bool) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return noAnswerError(write)
	}
}

// newLimiter returns a limiter whose burst is one second's worth of calls, and at least one.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}
