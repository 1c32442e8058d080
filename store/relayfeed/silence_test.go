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

// keysSeen records when a consumer has received an object, and how long ago the change was at most.
type keysSeen struct {
	feed *relayfeed.Feed
	mu   sync.Mutex
	at   map[string]time.Time
	ago  map[string]time.Duration
}

func newKeysSeen(feed *relayfeed.Feed) *keysSeen {
	return &keysSeen{feed: feed, at: map[string]time.Time{}, ago: map[string]time.Duration{}}
}

func (k *keysSeen) see(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.at[key].IsZero() {
		k.at[key] = time.Now()
		k.ago[key], _ = k.feed.ChangedAgo(prefix)
	}
}

func (k *keysSeen) seen(key string) (time.Time, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.at[key], k.ago[key]
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
				silent := &linkStore{countingStore: p.store}
				follower := relayfeed.New(relayfeed.Options{Direct: &slowListStore{p.store, time.Second}, Now: p.now})
				reader := relayfeed.New(relayfeed.Options{Direct: silent, Check: silent.check, Now: p.now, OnBatch: follower.Receive})
				reader.BecomeReader()
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				defer running.Wait()
				defer cancel()
				run := func(feed *relayfeed.Feed) *keysSeen {
					c := newKeysSeen(feed)
					running.Go(func() {
						_ = follow.New(follow.Options{Feed: feed, Prefix: prefix, Consumer: c, Settle: settle}).Run(ctx)
					})
					return c
				}
				run(reader)
				time.Sleep(time.Second)
				seen := run(follower)
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
				known, ago := seen.seen("a/leaving")
				if known.IsZero() || known.Sub(changedAt) > bound {
					t.Errorf("the follower knows a change after %v", known.Sub(changedAt))
				}
				if ago < known.Sub(changedAt) {
					t.Errorf("a change %v ago counts as made %v ago at most", known.Sub(changedAt), ago)
				}
			})
		})
	}
}

// Guards against lists of all VMs while the store takes long to answer: what the reader knows must stay recent enough.
func TestReaderOfASlowStoreIsUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		slow := func(ctx context.Context, prefix string, after store.Version) ([]store.Event, store.Version, error) {
			time.Sleep(300 * time.Millisecond)
			return p.store.Poll(ctx, prefix, after, 0)
		}
		reader := relayfeed.New(relayfeed.Options{Direct: p.store, Check: slow, Now: p.now})
		reader.BecomeReader()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() {
			_ = follow.New(follow.Options{Feed: reader, Prefix: prefix, Consumer: newKeysSeen(reader), Settle: 500 * time.Millisecond}).Run(ctx)
		})
		for i := range 600 {
			time.Sleep(50 * time.Millisecond)
			if i%37 == 0 {
				p.put(fmt.Sprintf("a/%d", i+1))
			}
			age, ok := reader.ReadAge()
			p.is.True(ok)
			p.is.True(age <= 900*time.Millisecond)
			reader.ConfirmDelivery(p.now()) // Orders are answered all the time.
		}
	})
}
