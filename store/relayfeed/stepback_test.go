package relayfeed_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/follow"
	"github.com/basiltally/basiltally/store/memstore"
	"github.com/basiltally/basiltally/store/relayfeed"
)

// mirror is a follow.Consumer that keeps the values.
type mirror struct {
	mu     sync.Mutex
	values map[string]string
}

func (m *mirror) Replace(objects []store.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values = map[string]string{}
	for _, o := range objects {
		m.values[o.Key] = string(o.Value)
	}
}

func (m *mirror) Change(events []store.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			delete(m.values, e.Key)
		} else {
			m.values[e.Key] = string(e.Value)
		}
	}
}

func (m *mirror) StoreLost()     {}
func (m *mirror) StoreRestored() {}

func (m *mirror) get() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.values)
}

// slowStore delays answers by up to the wait, at random.
type slowStore struct {
	*memstore.Store
	mu   sync.Mutex
	rng  *rand.Rand
	wait time.Duration
}

func (s *slowStore) pause() {
	s.mu.Lock()
	d := time.Duration(s.rng.Int64N(int64(s.wait)))
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *slowStore) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	defer s.pause()
	return s.Store.List(ctx, prefix)
}

func (s *slowStore) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	defer s.pause()
	return s.Store.Poll(ctx, prefix, after, wait)
}

// relayPlay has a store, a reader, and a VM that follows it over a link with delays.
type relayPlay struct {
	rng              *rand.Rand
	store            *memstore.Store
	began            time.Time
	reader, follower *relayfeed.Feed
	mirrors          [2]*mirror

	mu sync.Mutex
	// link has what is on its way to the follower, or is nil while that has no reader.
	link  chan relayfeed.Batch
	delay time.Duration
}

func (p *relayPlay) now() time.Duration { return time.Hour + time.Since(p.began) }

func (p *relayPlay) onBatch(b relayfeed.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		p.link <- b
	}
}

// connect makes the follower follow the reader from now on.
func (p *relayPlay) connect(ctx context.Context) {
	p.disconnect()
	known := p.follower.KnownRevisions()
	time.Sleep(time.Duration(p.rng.IntN(100)) * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	link := make(chan relayfeed.Batch, 1000)
	p.link = link
	for _, b := range p.reader.BatchesSince(known) {
		link <- b
	}
	go func() {
		for {
			select {
			case b, open := <-link:
				if !open {
					return
				}
				p.mu.Lock()
				delay := p.delay
				p.mu.Unlock()
				time.Sleep(delay)
				p.mu.Lock()
				if p.link == link {
					p.follower.Receive(b)
				}
				p.mu.Unlock()
			case <-ctx.Done():
				return
			}
		}
	}()
}

func (p *relayPlay) disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		close(p.link)
		p.link = nil
	}
	p.follower.ForgetReader()
}

func (p *relayPlay) confirm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil && len(p.link) == 0 {
		p.follower.SetReader(true, p.now())
	}
}

func (p *relayPlay) content(t *testing.T) map[string]string {
	objects, _, err := p.store.List(t.Context(), prefix)
	is.New(t).NoErr(err)
	values := map[string]string{}
	for _, o := range objects {
		values[o.Key] = string(o.Value)
	}
	return values
}

// write puts or deletes one of a few objects.
func (p *relayPlay) write(ctx context.Context) {
	key, expected := fmt.Sprintf("a/%d", p.rng.IntN(6)), store.Version(0)
	if o, err := p.store.Get(ctx, key); err == nil {
		expected = o.Version
		if p.rng.IntN(2) == 0 {
			_ = p.store.Delete(ctx, key, expected)
			return
		}
	}
	_, _ = p.store.Put(ctx, key, fmt.Append(nil, p.rng.IntN(1000)), expected)
}

// Objects that only one of reader and follower knew before the store stepped back were kept for good by the follower.
func TestFollowersKnowTheStoreAfterStepsBack(t *testing.T) {
	for seed := range uint64(600) {
		synctest.Test(t, func(t *testing.T) {
			p := &relayPlay{rng: rand.New(rand.NewPCG(seed, 0)), store: memstore.New(memstore.Options{Era: 1}), began: time.Now()}
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			defer running.Wait()
			defer cancel()
			p.reader = relayfeed.New(relayfeed.Options{Direct: &slowStore{Store: p.store, rng: rand.New(rand.NewPCG(seed, 1)), wait: 500 * time.Millisecond}, Now: p.now, OnBatch: p.onBatch})
			p.follower = relayfeed.New(relayfeed.Options{Direct: p.store, Now: p.now})
			p.reader.BecomeReader()
			for i, feed := range []*relayfeed.Feed{p.reader, p.follower} {
				p.mirrors[i] = &mirror{}
				f := follow.New(follow.Options{Feed: feed, Prefix: prefix, Consumer: p.mirrors[i], Settle: time.Duration(1+200*i) * time.Millisecond})
				running.Go(func() { _ = f.Run(ctx) })
			}
			older := p.store.Snapshot()
			time.Sleep(100 * time.Millisecond)
			for range 150 {
				switch n := p.rng.IntN(100); {
				case n < 7:
					p.store.StepBack(older)
				case n < 12:
					older = p.store.Snapshot()
				case n < 23:
					p.connect(ctx)
				case n < 30:
					p.disconnect()
				case n < 33:
					p.mu.Lock()
					p.delay = time.Duration(p.rng.IntN(3)*100) * time.Millisecond
					p.mu.Unlock()
				case n < 50:
					p.confirm()
				default:
					p.write(ctx)
				}
				time.Sleep(time.Duration(p.rng.IntN(150)) * time.Millisecond)
			}
			p.connect(ctx)
			for range 20 {
				time.Sleep(200 * time.Millisecond)
				p.confirm()
			}
			synctest.Wait()
			for i, name := range []string{"reader", "follower"} {
				if got, want := p.mirrors[i].get(), p.content(t); !maps.Equal(got, want) {
					t.Errorf("seed %d: the %s knows %v, the store has %v", seed, name, got, want)
				}
			}
		})
		if t.Failed() {
			return
		}
	}
}

// steppedBackStore returns the error of a poll from a version of an earlier era, without a call, for another prefix.
type steppedBackStore struct{ *linkStore }

func (s steppedBackStore) Poll(ctx context.Context, p string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	if p != prefix {
		return nil, 0, errors.Wrap(bothErrors{}, "not sent")
	}
	return s.linkStore.Poll(ctx, p, after, wait)
}

type bothErrors struct{}

func (bothErrors) Error() string   { return "compacted: stepped back" }
func (bothErrors) Unwrap() []error { return []error{store.ErrCompacted, store.ErrSteppedBack} }

// Such a poll says nothing of whether another one has left the link.
func TestPollThatWasNotSentShowsNoArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		link := &linkStore{countingStore: p.store}
		reader := relayfeed.New(relayfeed.Options{Direct: steppedBackStore{link}, Now: p.now})
		_, at, err := reader.List(t.Context(), prefix)
		p.is.NoErr(err)
		link.setWait(970 * time.Millisecond)
		var poll sync.WaitGroup
		poll.Go(func() {
			_, _, err := reader.Poll(t.Context(), prefix, at, 25*time.Second)
			p.is.NoErr(err)
		})
		time.Sleep(50 * time.Millisecond)
		_, _, err = reader.Poll(t.Context(), "b/", at, 25*time.Second)
		p.is.True(errors.Is(err, store.ErrCompacted))
		p.put("a/1")
		changedAt := time.Now()
		poll.Wait()
		ago, ok := reader.ChangedAgo(prefix)
		p.is.True(!ok || ago >= time.Since(changedAt))
	})
}

// staleStore returns a list of an earlier era.
type staleStore struct {
	*memstore.Store
	stale store.Version
}

func (s *staleStore) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	if s.stale != 0 {
		return nil, s.stale, nil
	}
	return s.Store.List(ctx, prefix)
}

func TestListOfAnEarlierEraIsRefused(t *testing.T) {
	is := is.New(t)
	s := &staleStore{Store: memstore.New(memstore.Options{Era: 2})}
	feed := relayfeed.New(relayfeed.Options{Direct: s})
	_, at, err := feed.List(t.Context(), prefix)
	is.NoErr(err)
	s.stale = store.NewVersion(1, 9)
	_, _, err = feed.List(t.Context(), prefix)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.Equal(feed.KnownRevisions()[prefix], at)
}

// The reader lists the store after a step back. The difference to what it knew leaves out what only the follower knew.
func TestFollowerAheadOfTheReaderListsAfterAStepBack(t *testing.T) {
	for _, laterEra := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newFeeds(t)
			list := func(feed *relayfeed.Feed) (keys []string, at store.Version) {
				objects, at, err := feed.List(t.Context(), prefix)
				p.is.NoErr(err)
				for _, o := range objects {
					keys = append(keys, o.Key)
				}
				return keys, at
			}
			older := p.store.Snapshot()
			extra := p.put("a/1")
			if laterEra {
				older = p.store.Snapshot()
				p.is.NoErr(p.store.Delete(t.Context(), "a/1", extra))
				p.read() // Creation and end.
				p.store.StepBack(older)
			}
			p.follower.ForgetReader()
			_, at := list(p.follower)
			for _, b := range p.reader.BatchesSince(p.follower.KnownRevisions()) {
				p.follower.Receive(b)
			}
			p.confirm()
			keys, _ := p.poll(at)
			p.is.Equal(len(keys), 0)
			p.confirm()
			if laterEra {
				p.is.NoErr(p.store.Delete(t.Context(), "a/1", store.NewVersion(1, extra.Revision())))
			} else {
				p.store.StepBack(older)
			}
			list(p.reader)
			p.is.True(p.reader.BatchesSince(map[string]store.Version{prefix: at})[0].After > at) // A gap.
			_, _, err := p.follower.Poll(t.Context(), prefix, at, time.Second)
			p.is.True(err == nil || errors.Is(err, store.ErrCompacted))
			keys, _ = list(p.follower)
			p.is.Equal(keys, []string{"a/0"})
		})
	}
}

// A reader of an earlier build, which knows of no eras, stays in one and would hide all changes.
func TestReaderInAnEarlierEraIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		s := memstore.New(memstore.Options{Era: 1})
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		feed := relayfeed.New(relayfeed.Options{Direct: s, Now: now})
		_, at, err := feed.List(ctx, prefix)
		is.NoErr(err)
		earlier := store.NewVersion(0, at.Revision())
		feed.Receive(relayfeed.Batch{Prefix: prefix, After: earlier, At: earlier})
		feed.SetReader(true, now())
		put, err := s.Put(ctx, "a/1", nil, 0)
		is.NoErr(err)
		feed.Receive(relayfeed.Batch{Prefix: prefix, After: earlier, At: earlier + 1, Events: []store.Event{{Object: store.Object{Key: "a/1", Version: earlier + 1}}}})
		_, next, err := feed.Poll(ctx, prefix, at, time.Second)
		is.NoErr(err)
		is.Equal(next, put)
	})
}
