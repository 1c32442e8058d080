package relayfeed_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/follow"
	"github.com/basiltally/basiltally/store/relayfeed"
)

// silentStore answers no call that is under way while silent is set, and leaves it open.
type silentStore struct {
	*countingStore
	silent atomic.Bool
}

func (s *silentStore) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	events, at, err := s.countingStore.Poll(ctx, prefix, after, wait)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return events, at, err
}

func (s *silentStore) check(ctx context.Context, prefix string, after store.Version) ([]store.Event, store.Version, error) {
	return s.Poll(ctx, prefix, after, 0)
}

// slowListStore is a store of which a list takes the duration, as one of many pages read by hundreds of VMs at once.
type slowListStore struct {
	*countingStore
	took time.Duration
}

func (s *slowListStore) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	objects, at, err := s.countingStore.List(ctx, prefix)
	time.Sleep(s.took)
	return objects, at, err
}

// keysSeen records when a consumer has received an object.
type keysSeen struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (k *keysSeen) see(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.at[key].IsZero() {
		k.at[key] = time.Now()
	}
}

func (k *keysSeen) seenAt(key string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.at[key]
}

func (k *keysSeen) Replace(objects []store.Object) {
	for _, o := range objects {
		k.see(o.Key)
	}
}

func (k *keysSeen) Change(events []store.Event) {
	for _, e := range events {
		k.see(e.Key)
	}
}

func (*keysSeen) StoreLost()     {}
func (*keysSeen) StoreRestored() {}

// Guards against requests to a target that has left, because a reader that the store no longer answers confirmed that it knows all.
func TestStoreThatIsSilentToTheReaderHidesNoChange(t *testing.T) {
	const (
		updateInterval = 300 * time.Millisecond
		reportAge      = 270 * time.Millisecond // Of the last report that the reader has, with its way.
		confirmedFor   = 1700 * time.Millisecond
		settle         = 500 * time.Millisecond
		bound          = 2900 * time.Millisecond
	)
	for phase := time.Duration(0); phase < time.Second; phase += 70 * time.Millisecond {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFeeds(t)
				silent := &silentStore{countingStore: p.store}
				seen := &keysSeen{at: map[string]time.Time{}}
				follower := relayfeed.New(relayfeed.Options{Direct: &slowListStore{p.store, time.Second}, Now: p.now})
				reader := relayfeed.New(relayfeed.Options{Direct: silent, Check: silent.check, Now: p.now, OnBatch: follower.Receive})
				reader.BecomeReader()
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				defer running.Wait()
				defer cancel()
				run := func(feed store.Feed, c follow.Consumer) {
					running.Go(func() {
						_ = follow.New(follow.Options{Feed: feed, Prefix: prefix, Consumer: c, Settle: settle}).Run(ctx)
					})
				}
				run(reader, &keysSeen{at: map[string]time.Time{}})
				time.Sleep(time.Second)
				run(follower, seen)
				var silentSince atomic.Int64
				running.Go(func() {
					for ctx.Err() == nil {
						since := time.Duration(silentSince.Load())
						answered := since == 0 || p.now()-since < confirmedFor
						if age, ok := reader.ReadAge(); ok {
							reader.ConfirmDelivery(p.now()) // Orders are answered all the time.
							follower.SetReader(answered && reader.Healthy(), p.now()-reportAge-age)
						}
						time.Sleep(updateInterval)
					}
				})
				time.Sleep(20*time.Second + phase)
				lists := p.store.lists.Load()
				silent.silent.Store(true)
				silentSince.Store(int64(p.now()))
				time.Sleep(10 * time.Millisecond)
				p.put("a/leaving")
				changedAt := time.Now()
				time.Sleep(10 * time.Second)
				p.is.Equal(lists, int64(4)) // No list while the reader is up to date.
				known := seen.seenAt("a/leaving")
				if known.IsZero() || known.Sub(changedAt) > bound {
					t.Errorf("the follower knows a change after %v", known.Sub(changedAt))
				}
			})
		})
	}
}
