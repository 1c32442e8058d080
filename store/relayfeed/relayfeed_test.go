package relayfeed_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
	"github.com/basiltally/basiltally/store/relayfeed"
)

const prefix = "a/"

// countingStore counts the calls to a store. The calls fail while unavailable is set.
type countingStore struct {
	*memstore.Store
	lists, polls atomic.Int64
	unavailable  atomic.Bool
}

func (c *countingStore) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	c.lists.Add(1)
	if c.unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return c.Store.List(ctx, prefix)
}

func (c *countingStore) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	c.polls.Add(1)
	if onSent := store.OnSent(ctx); onSent != nil {
		onSent()
	}
	if c.unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return c.Store.Poll(ctx, prefix, after, wait)
}

// feeds has the feeds of a reader and of a VM that follows it.
type feeds struct {
	is               *is.I
	store            *countingStore
	reader, follower *relayfeed.Feed
	readerAt         store.Version
	began            time.Time
}

// now returns the virtual time on a clock that began an hour before the test.
func (p *feeds) now() time.Duration { return time.Hour + time.Since(p.began) }

// confirm makes the reader state that it is usable, and confirm what it has relayed so far.
func (p *feeds) confirm() { p.follower.SetReader(true, p.now()) }

// newFeeds returns the feeds of a reader and its follower. Both have listed the store.
func newFeeds(t *testing.T) *feeds { return newFeedsWith(t, relayfeed.Options{}) }

// newFeedsWith is newFeeds with options of the follower.
func newFeedsWith(t *testing.T, opts relayfeed.Options) *feeds {
	p := &feeds{is: is.New(t), store: &countingStore{Store: memstore.New(memstore.Options{})}}
	p.began = time.Now()
	opts.Direct, opts.Now = p.store, p.now
	p.follower = relayfeed.New(opts)
	p.reader = relayfeed.New(relayfeed.Options{Direct: p.store, Now: p.now, OnBatch: func(b relayfeed.Batch) { p.follower.Receive(b) }})
	p.put("a/0")
	_, _, err := p.follower.List(t.Context(), prefix)
	p.is.NoErr(err)
	_, p.readerAt, err = p.reader.List(t.Context(), prefix)
	p.is.NoErr(err)
	p.follower.ForgetReader()
	for _, b := range p.reader.BatchesSince(p.follower.KnownRevisions()) {
		p.follower.Receive(b)
	}
	p.confirm()
	return p
}

func (p *feeds) put(key string) store.Version {
	v, err := p.store.Put(context.Background(), key, []byte("1"), 0)
	p.is.NoErr(err)
	return v
}

// read makes the reader poll once.
func (p *feeds) read() {
	_, at, err := p.reader.Poll(context.Background(), prefix, p.readerAt, time.Second)
	p.is.NoErr(err)
	p.readerAt = at
}

// poll makes the follower poll once and returns the keys of the changes.
func (p *feeds) poll(after store.Version) ([]string, store.Version) {
	events, at, err := p.follower.Poll(context.Background(), prefix, after, time.Second)
	p.is.NoErr(err)
	var keys []string
	for _, e := range events {
		keys = append(keys, e.Key)
	}
	return keys, at
}

// Guards against a follower that counts as up to date while changes that it was sent are not returned yet.
func TestFollowerIsUpToDateOnlyWithAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		p.is.Equal(p.follower.KnownAt("b/"), time.Duration(0))
		at := p.follower.KnownRevisions()[prefix]
		resumed := p.now()
		p.is.Equal(p.follower.KnownAt(prefix), resumed)
		time.Sleep(time.Second)
		p.is.Equal(p.follower.KnownAt(prefix), resumed)
		p.put("a/1")
		p.read()
		p.confirm()
		p.is.Equal(p.follower.KnownAt(prefix), resumed) // The change is not returned yet.
		p.is.Equal(p.reader.KnownAt(prefix), p.now())
		p.poll(at)
		p.is.Equal(p.follower.KnownAt(prefix), p.now())
		time.Sleep(time.Minute)
		p.is.True(p.follower.KnownAt(prefix) < p.now())
	})
}

func TestFollowerMakesNoCallsWhileTheReaderIsUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		for _, key := range []string{"a/1", "a/2"} {
			p.put(key)
			p.read()
			var keys []string
			keys, at = p.poll(at)
			p.is.Equal(keys, []string{key})
		}
		keys, _ := p.poll(at) // No change arrives during the wait.
		p.is.Equal(len(keys), 0)
		p.is.Equal(p.store.polls.Load(), int64(2)) // Those of the reader.
		p.is.Equal(p.store.lists.Load(), int64(2))
	})
}

// A store that has dropped its history may accept a poll from an old revision and omit
// earlier changes, so a VM that has relied on the reader must list the store.
func TestFollowerListsOnceTheReaderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		p.put("a/1")
		p.read()
		_, at = p.poll(at) // The follower relies on the reader.
		began := time.Now()
		p.follower.ForgetReader()
		_, _, err := p.follower.Poll(t.Context(), prefix, at, 10*time.Second)
		p.is.True(errors.Is(err, store.ErrCompacted))
		p.is.Equal(time.Since(began), 700*time.Millisecond) // The poll waited for the next reader.
		_, at, err = p.follower.List(t.Context(), prefix)
		p.is.NoErr(err)
		p.put("a/2")
		keys, _ := p.poll(at) // The follower now polls the store.
		p.is.Equal(keys, []string{"a/2"})
		p.is.Equal(p.store.polls.Load(), int64(2))
	})
}

func TestFollowerContinuesWithTheNextReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		p.put("a/1")
		p.read()
		_, at = p.poll(at)
		go func() {
			p.follower.ForgetReader()
			p.put("a/2")
			time.Sleep(500 * time.Millisecond)
			p.read() // The test uses the same feed as the next reader.
			for _, b := range p.reader.BatchesSince(p.follower.KnownRevisions()) {
				p.follower.Receive(b)
			}
			p.confirm()
		}()
		keys, _ := p.poll(at)
		p.is.Equal(keys, []string{"a/2"})
		p.is.Equal(p.store.lists.Load(), int64(2)) // Those made by newFeeds.
	})
}

// A VM whose calls the store refuses can still list: the result is what the VM knows and
// what the reader has sent.
func TestListComesFromTheReaderWhenTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		p.follower.ForgetReader()
		p.store.unavailable.Store(true)
		_, _, err := p.follower.List(t.Context(), prefix)
		p.is.True(errors.Is(err, store.ErrUnavailable))
		p.store.unavailable.Store(false)
		p.put("a/1")
		p.read()
		p.store.unavailable.Store(true)
		for _, b := range p.reader.BatchesSince(p.follower.KnownRevisions()) {
			p.follower.Receive(b)
		}
		p.confirm()
		objects, _, err := p.follower.List(t.Context(), prefix)
		p.is.NoErr(err)
		p.is.Equal(len(objects), 2)
		p.is.Equal(objects[1].Key, "a/1")
	})
}

// A reader that lists the store again relays what has changed since its last read.
func TestListByTheReaderIsRelayedAsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		p.put("a/1")
		zero, err := p.store.Get(t.Context(), "a/0")
		p.is.NoErr(err)
		p.is.NoErr(p.store.Delete(t.Context(), "a/0", zero.Version))
		p.store.Compact()
		_, _, err = p.reader.List(t.Context(), prefix)
		p.is.NoErr(err)
		events, _, err := p.follower.Poll(t.Context(), prefix, at, time.Second)
		p.is.NoErr(err)
		p.is.Equal(len(events), 2)
		p.is.Equal(events[0].Key, "a/0")
		p.is.True(events[0].Deleted)
		p.is.Equal(events[1].Key, "a/1")
		p.is.Equal(p.store.polls.Load(), int64(0))
	})
}

func TestNewReaderSendsTheChangesThatTheFollowerLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		p.follower.ForgetReader() // The reader is lost, and the follower misses a change.
		p.put("a/1")
		p.read()
		p.follower.ForgetReader()
		for _, b := range p.reader.BatchesSince(p.follower.KnownRevisions()) {
			p.follower.Receive(b)
		}
		p.confirm()
		keys, _ := p.poll(at)
		p.is.Equal(keys, []string{"a/1"})
		p.is.Equal(p.store.polls.Load(), int64(1)) // That of the reader.
	})
}

// A follower that lacks changes which the reader has not kept reads those from the store.
func TestGapIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		p.put("a/1")
		late := relayfeed.New(relayfeed.Options{Direct: p.store})
		_, _, err := late.List(t.Context(), prefix)
		p.is.NoErr(err)
		p.follower.ForgetReader()
		for _, b := range late.BatchesSince(p.follower.KnownRevisions()) {
			p.follower.Receive(b)
		}
		p.confirm()
		keys, at := p.poll(at)
		p.is.Equal(keys, []string{"a/1"})
		p.is.Equal(p.store.polls.Load(), int64(1))
		keys, _ = p.poll(at)
		p.is.Equal(len(keys), 0)
		p.is.Equal(p.store.polls.Load(), int64(1))
	})
}

func TestReaderWithoutStoreIsNotHealthy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		p.is.True(p.reader.Healthy())
		p.store.unavailable.Store(true)
		_, _, err := p.reader.Poll(t.Context(), prefix, p.readerAt, time.Second)
		p.is.True(errors.Is(err, store.ErrUnavailable))
		p.is.True(!p.reader.Healthy())
	})
}

// A large change is not relayed. Followers read it from the store and then rely on the reader
// again.
func TestLargeChangeIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		_, err := p.store.Put(t.Context(), "a/1", make([]byte, 9<<10), 0)
		p.is.NoErr(err)
		p.read()
		keys, at := p.poll(at)
		p.is.Equal(keys, []string{"a/1"})
		p.is.Equal(p.store.polls.Load(), int64(2))
		p.put("a/2")
		p.read()
		keys, _ = p.poll(at)
		p.is.Equal(keys, []string{"a/2"})
		p.is.Equal(p.store.polls.Load(), int64(3))
	})
}

// Once the reader is usable, a poll that waits at the store is abandoned and served by the
// reader, so that a later failure of the store does not affect it.
func TestReaderTakesOverAWaitingPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		p.follower.SetReader(false, 0)
		go func() {
			time.Sleep(100 * time.Millisecond)
			p.confirm()
			time.Sleep(100 * time.Millisecond)
			p.store.unavailable.Store(true)
			p.follower.Receive(relayfeed.Batch{Prefix: prefix, After: at, At: at + 1, Events: []store.Event{{Object: store.Object{Key: "a/9"}}}})
		}()
		keys, _ := p.poll(at)
		p.is.Equal(keys, []string{"a/9"})
		p.is.Equal(p.store.polls.Load(), int64(1))
	})
}

// Readers that fall silent one after the other must not delay a change beyond two thirds of the drain time of 3 s, after
// which a target that leaves must get no request.
func TestSilentReadersDoNotHideAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		p.put("a/1")
		p.read()
		_, at = p.poll(at) // The follower relies on the reader, which falls silent.
		p.put("a/2")
		began := time.Now()
		var readers sync.WaitGroup
		defer readers.Wait()
		readers.Go(func() {
			for range 3 {
				time.Sleep(1500 * time.Millisecond) // The VM notices the silence.
				p.follower.ForgetReader()
				time.Sleep(100 * time.Millisecond) // The next reader knows as little, and falls silent as well.
				p.follower.Receive(relayfeed.Batch{Prefix: prefix, After: at, At: at})
				p.follower.SetReader(true, 0)
			}
		})
		for after := at; after == at; {
			_, _, err := p.follower.Poll(t.Context(), prefix, after, time.Second)
			if errors.Is(err, store.ErrCompacted) {
				_, after, err = p.follower.List(t.Context(), prefix)
			}
			p.is.NoErr(err)
			p.is.True(time.Since(began) <= 2*time.Second)
		}
	})
}

// A reader whose updates arrive late, over a full link, goes on stating that it is usable.
func TestLateReaderIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		p.put("a/1")
		p.read()
		_, at = p.poll(at) // The follower relies on the reader.
		lag := p.now()
		var updates sync.WaitGroup
		defer updates.Wait()
		updates.Go(func() {
			for range 20 {
				time.Sleep(300 * time.Millisecond)
				p.follower.SetReader(true, lag) // What the reader has relayed remains that of the start.
			}
		})
		began := time.Now()
		_, _, err := p.follower.Poll(t.Context(), prefix, at, 25*time.Second)
		p.is.True(errors.Is(err, store.ErrCompacted))
		p.is.True(time.Since(began) <= 2*time.Second)
		_, at, err = p.follower.List(t.Context(), prefix)
		p.is.NoErr(err)
		p.put("a/2")
		keys, _ := p.poll(at)
		p.is.Equal(keys, []string{"a/2"}) // From the store.
	})
}

// A VM that becomes the reader must not state that it is healthy before it has read what it lacks.
func TestNewReaderIsNotHealthyBeforeItHasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		p.put("a/1")
		p.read()
		_, at = p.poll(at) // The follower relies on the reader.
		p.follower.BecomeReader()
		p.is.True(!p.follower.Healthy())
		_, _, err := p.follower.Poll(t.Context(), prefix, at, time.Second)
		p.is.True(errors.Is(err, store.ErrCompacted))
		_, _, err = p.follower.List(t.Context(), prefix)
		p.is.NoErr(err)
		p.is.True(p.follower.Healthy())
	})
}

func TestReadAgeIsZeroWhileAPollWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		feed := relayfeed.New(relayfeed.Options{Direct: p.store, Now: p.now})
		_, ok := feed.ReadAge()
		p.is.True(!ok) // Nothing was read.
		_, at, err := feed.List(t.Context(), prefix)
		p.is.NoErr(err)
		time.Sleep(time.Second)
		age, ok := feed.ReadAge()
		p.is.True(ok)
		p.is.Equal(age, time.Second)
		var polls sync.WaitGroup
		polls.Go(func() {
			_, _, err := feed.Poll(t.Context(), prefix, at, time.Minute)
			p.is.NoErr(err)
		})
		time.Sleep(10 * time.Second)
		age, _ = feed.ReadAge()
		p.is.Equal(age, time.Duration(0))
		p.put("a/1")
		polls.Wait()
		time.Sleep(100 * time.Millisecond)
		age, _ = feed.ReadAge()
		p.is.Equal(age, 100*time.Millisecond)
	})
}

// The time at which a change was made must be bounded from before, whichever way the change came.
func TestChangedAgoReachesBackToTheChange(t *testing.T) {
	const second = time.Second
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		ago := func(f *relayfeed.Feed) time.Duration {
			d, ok := f.ChangedAgo(prefix)
			p.is.True(ok)
			return d
		}
		time.Sleep(second)
		// A poll that waited, as a later call shows: the change ended it.
		go func() {
			time.Sleep(second / 5)
			p.reader.ConfirmDelivery(p.now())
			time.Sleep(second/2 - second/5)
			p.put("a/1")
		}()
		p.read()
		p.is.True(ago(p.reader) > 0 && ago(p.reader) < second/2)
		// A poll that did not wait: the change may have come at any time since the last.
		time.Sleep(second)
		p.put("a/2")
		time.Sleep(2 * second)
		p.read()
		p.is.Equal(ago(p.reader), 3*second)
	})
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		at := p.follower.KnownRevisions()[prefix]
		ago := func() time.Duration {
			d, ok := p.follower.ChangedAgo(prefix)
			p.is.True(ok)
			return d
		}
		p.put("a/0.5")
		p.read()
		_, at = p.poll(at) // The follower relies on the reader.
		time.Sleep(second)
		p.confirm()
		p.put("a/1")
		time.Sleep(second / 2)
		p.read() // The change is relayed.
		p.confirm()
		time.Sleep(second / 2)
		_, at = p.poll(at)
		p.is.Equal(ago(), second) // Since the confirmation before the relayed change.
		// The follower loses the reader before it takes a change from it, and lists.
		p.put("a/2")
		time.Sleep(second / 4)
		p.read()
		p.confirm()
		p.follower.ForgetReader()
		_, _, err := p.follower.Poll(t.Context(), prefix, at, 10*second)
		p.is.True(errors.Is(err, store.ErrCompacted))
		_, _, err = p.follower.List(t.Context(), prefix)
		p.is.NoErr(err)
		p.is.True(ago() >= second/4+700*time.Millisecond)
	})
}

// A VM that has started waits for the reader before it polls the store, and polls if none comes or if it becomes the
// reader itself. Its first list may be old: the changes since come with the first poll or from the reader.
func TestVMThatStartsWaitsForTheReader(t *testing.T) {
	tests := []struct {
		name  string
		then  func(p *feeds, f *relayfeed.Feed)
		polls int64
		took  time.Duration
	}{
		{"reader comes", func(p *feeds, f *relayfeed.Feed) {
			for _, b := range p.reader.BatchesSince(f.KnownRevisions()) {
				f.Receive(b)
			}
			f.SetReader(true, p.now())
		}, 0, 200 * time.Millisecond},
		{"becomes the reader", func(_ *feeds, f *relayfeed.Feed) { f.BecomeReader() }, 1, 200 * time.Millisecond},
		{"no reader comes", func(*feeds, *relayfeed.Feed) {}, 1, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFeeds(t)
				old, at, err := p.store.List(t.Context(), prefix)
				p.is.NoErr(err)
				p.put("a/1")
				p.read()
				lists := p.store.lists.Load()
				started := relayfeed.New(relayfeed.Options{
					Direct: p.store, Now: p.now, FirstReaderWait: time.Second,
					FirstList: func(context.Context, string) ([]store.Object, store.Version, error) { return old, at, nil },
				})
				_, known, err := started.List(t.Context(), prefix)
				p.is.NoErr(err)
				p.is.Equal(known, at)
				polls, began := p.store.polls.Load(), time.Now()
				time.AfterFunc(200*time.Millisecond, func() { tt.then(p, started) })
				events, _, err := started.Poll(t.Context(), prefix, known, 10*time.Second)
				p.is.NoErr(err)
				p.is.Equal(len(events), 1)
				p.is.Equal(events[0].Key, "a/1")
				p.is.Equal(time.Since(began), tt.took)
				p.is.Equal(p.store.polls.Load()-polls, tt.polls)
				p.is.Equal(p.store.lists.Load(), lists)
			})
		})
	}
}

// The batches that are kept for VMs that follow later must not take memory without bound: 1,000 changes of 8 KiB each. A VM
// that lacks more than is kept is told so.
func TestKeptBatchesAreBoundedInSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		reader := relayfeed.New(relayfeed.Options{Direct: p.store, Now: p.now, MaxBatchBytes: 16 << 10, MaxLogBytes: 64 << 10})
		_, start, err := reader.List(t.Context(), prefix)
		p.is.NoErr(err)
		at, late := start, store.Version(0)
		for i := range 1000 {
			_, err := p.store.Put(t.Context(), fmt.Sprintf("a/big%d", i), make([]byte, 8<<10), 0)
			p.is.NoErr(err)
			if _, at, err = reader.Poll(t.Context(), prefix, at, time.Second); i == 995 {
				late = at
			}
			p.is.NoErr(err)
		}
		catchUp := func(known store.Version) relayfeed.Batch {
			return reader.BatchesSince(map[string]store.Version{prefix: known})[0]
		}
		p.is.Equal(len(catchUp(late).Events), 4)
		p.is.Equal(len(catchUp(start).Events), 0)
		p.is.Equal(catchUp(start).After, at) // The VM reads the store.
	})
}

// losingStore loses the polls that begin while losing is set: they have no answer, and their connection stays open.
type losingStore struct {
	*countingStore
	losing, refusing atomic.Bool
}

func (s *losingStore) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	if s.losing.Load() {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(wait + time.Second):
			return nil, 0, context.DeadlineExceeded
		}
	}
	return s.countingStore.Poll(ctx, prefix, after, wait)
}

func (s *losingStore) check(ctx context.Context, prefix string, after store.Version) ([]store.Event, store.Version, error) {
	if s.refusing.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.countingStore.Poll(ctx, prefix, after, 0)
}

// All VMs kept an old configuration for 26 s, because the store had lost their polls in a moment of silence.
func TestChangeAfterALostPollIsKnownWithinTheNextCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		lossy := &losingStore{countingStore: p.store}
		feed := relayfeed.New(relayfeed.Options{Direct: lossy, Check: lossy.check, Now: p.now})
		_, at, err := feed.List(t.Context(), prefix)
		p.is.NoErr(err)
		lossy.losing.Store(true)
		changedAt := time.Now().Add(4300 * time.Millisecond)
		time.AfterFunc(4300*time.Millisecond, func() { p.put("a/1") })
		events, _, err := feed.Poll(t.Context(), prefix, at, 25*time.Second)
		p.is.NoErr(err)
		p.is.Equal(len(events), 1)
		p.is.True(time.Since(changedAt) <= 1200*time.Millisecond)
		ago, ok := feed.ChangedAgo(prefix)
		p.is.True(ok)
		p.is.True(ago >= time.Since(changedAt)) // The poll does not show that there was no change before.
	})
}

// A reader that cannot check its poll does not know whether it has read all changes.
func TestReadAgeGrowsWhileAPollCannotBeChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		lossy := &losingStore{countingStore: p.store}
		feed := relayfeed.New(relayfeed.Options{Direct: lossy, Check: lossy.check, Now: p.now})
		_, at, err := feed.List(t.Context(), prefix)
		p.is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		var polls sync.WaitGroup
		polls.Go(func() { _, _, _ = feed.Poll(ctx, prefix, at, time.Minute) })
		time.Sleep(10*time.Second + time.Millisecond)
		age, _ := feed.ReadAge()
		p.is.Equal(age, time.Millisecond) // The store may have stopped answering this VM since the last check.
		lossy.refusing.Store(true)
		time.Sleep(5 * time.Second)
		age, _ = feed.ReadAge()
		p.is.Equal(age, 5*time.Second+time.Millisecond)
		cancel()
		polls.Wait()
	})
}

// On a deployment of 295 VMs, all of which lost their reader in an outage of the store, checks of their own polls
// were calls that the store could not bear.
func TestFollowersDoNotCheckTheirPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		lossy, checks := &losingStore{countingStore: p.store}, 0
		check := func(ctx context.Context, prefix string, after store.Version) ([]store.Event, store.Version, error) {
			checks++
			return lossy.check(ctx, prefix, after)
		}
		feed := relayfeed.New(relayfeed.Options{Direct: lossy, Check: check, Now: p.now})
		poll := func() {
			_, at, err := feed.List(t.Context(), prefix)
			p.is.NoErr(err)
			_, _, err = feed.Poll(t.Context(), prefix, at, 9500*time.Millisecond)
			p.is.NoErr(err)
		}
		poll()
		p.is.Equal(checks, 9) // No reader has relayed changes yet.
		feed.SetReader(true, p.now())
		feed.ForgetReader()
		checks = 0
		poll()
		p.is.Equal(checks, 0)
		feed.BecomeReader()
		poll()
		p.is.Equal(checks, 9) // The others rely on this VM.
	})
}

// Guards against an assigner that knows no changes for 25 s, because the store has lost the poll that it began as a follower.
func TestNewReaderChecksThePollThatItBeganAsAFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		lossy := &losingStore{countingStore: p.store}
		feed := relayfeed.New(relayfeed.Options{Direct: lossy, Check: lossy.check, Now: p.now})
		feed.SetReader(true, p.now())
		feed.ForgetReader()
		_, at, err := feed.List(t.Context(), prefix)
		p.is.NoErr(err)
		lossy.losing.Store(true)
		time.AfterFunc(3*time.Second, feed.BecomeReader)
		time.AfterFunc(4*time.Second, func() { p.put("a/1") })
		began := time.Now()
		events, _, err := feed.Poll(t.Context(), prefix, at, 25*time.Second)
		p.is.NoErr(err)
		p.is.Equal(len(events), 1)
		p.is.True(time.Since(began) <= 5200*time.Millisecond)
	})
}

// failingStore counts the lists of each prefix. Those of the prefixes in failing fail.
type failingStore struct {
	*memstore.Store
	mu      sync.Mutex
	lists   map[string]int
	failing map[string]bool
}

func (s *failingStore) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	s.mu.Lock()
	s.lists[prefix]++
	failing := s.failing[prefix]
	s.mu.Unlock()
	if failing {
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *failingStore) listsOf(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists[prefix]
}

func (s *failingStore) fail(prefixes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = map[string]bool{}
	for _, p := range prefixes {
		s.failing[p] = true
	}
}

// Guards against a prefix with hardly any object that costs as many lists in an outage as the others.
func TestQuietPrefixIsSeldomListedWhileTheStoreIsAway(t *testing.T) {
	for name, relayed := range map[string]bool{"follower": true, "without a reader": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, began := is.New(t), time.Now()
				s := &failingStore{Store: memstore.New(memstore.Options{}), lists: map[string]int{}}
				now := func() time.Duration { return time.Hour + time.Since(began) }
				f := relayfeed.New(relayfeed.Options{Direct: s, Now: now, Quiet: func(p string) bool { return p == "q/" }})
				if relayed {
					f.SetReader(true, now())
					f.ForgetReader()
				}
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				defer wg.Wait()
				defer cancel()
				var quietAt, otherAt atomic.Int64
				follow := func(prefix string, listedAt *atomic.Int64) {
					for ctx.Err() == nil {
						if _, _, err := f.List(ctx, prefix); err == nil {
							listedAt.Store(int64(now()))
						}
						time.Sleep(300 * time.Millisecond)
					}
				}
				s.fail("a/", "q/")
				wg.Go(func() { follow("a/", &otherAt) })
				wg.Go(func() { follow("q/", &quietAt) })
				time.Sleep(10 * time.Second)
				is.True(s.listsOf("a/") > 30)
				is.True(s.listsOf("q/") <= 6)
				s.fail()
				restored := now()
				time.Sleep(1400 * time.Millisecond)
				is.True(time.Duration(otherAt.Load()) >= restored)
				is.True(time.Duration(quietAt.Load()) >= restored)
				s.fail("a/", "q/")
				time.Sleep(time.Second)
				s.fail("a/") // The store fails for the others only.
				restored = now()
				time.Sleep(2100 * time.Millisecond)
				is.True(time.Duration(quietAt.Load()) >= restored)
			})
		})
	}
}

// Guards against a list and a poll of each VM when the reader changes slowly.
func TestQuietPrefixWaitsLongerForTheNextReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeedsWith(t, relayfeed.Options{Quiet: func(string) bool { return true }, FirstReaderWait: 1500 * time.Millisecond})
		at := p.follower.KnownRevisions()[prefix]
		lists := p.store.lists.Load()
		_, at = p.poll(at) // The follower relies on the reader, which has confirmed nothing for a second then.
		p.confirm()
		began := time.Now()
		p.follower.ForgetReader()
		_, _, err := p.follower.Poll(t.Context(), prefix, at, 10*time.Second)
		p.is.True(errors.Is(err, store.ErrCompacted))
		p.is.Equal(time.Since(began), 1600*time.Millisecond)
		_, at, err = p.follower.List(t.Context(), prefix)
		p.is.NoErr(err)
		p.is.Equal(p.store.lists.Load(), lists+1)
		p.put("a/1")
		began = time.Now()
		events, _, err := p.follower.Poll(t.Context(), prefix, at, 10*time.Second)
		p.is.NoErr(err)
		p.is.Equal(len(events), 1)
		p.is.Equal(time.Since(began), 1500*time.Millisecond)
		p.is.Equal(p.store.polls.Load(), int64(1))
	})
}

// A reader may confirm that it has relayed all changes and yet not follow a quiet prefix. The VM must then read the prefix itself.
func TestQuietPrefixIsReadWithoutAReaderThatFollowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeedsWith(t, relayfeed.Options{Quiet: func(string) bool { return true }, FirstReaderWait: 1500 * time.Millisecond})
		_, at := p.poll(p.follower.KnownRevisions()[prefix])
		began := time.Now()
		p.follower.ForgetReader()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() {
			for ctx.Err() == nil {
				p.confirm()
				time.Sleep(300 * time.Millisecond)
			}
		})
		_, _, err := p.follower.Poll(t.Context(), prefix, at, 10*time.Second)
		p.is.True(errors.Is(err, store.ErrCompacted))
		p.is.True(time.Since(began) <= time.Second)
		_, at, err = p.follower.List(t.Context(), prefix)
		p.is.NoErr(err)
		p.put("a/1")
		events, _, err := p.follower.Poll(t.Context(), prefix, at, 10*time.Second)
		p.is.NoErr(err)
		p.is.Equal(len(events), 1)
		p.is.True(time.Since(began) <= 3*time.Second)
	})
}

// The age of what a VM knows must be that of the oldest change that it may lack, in each way in which it follows the store.
func TestKnownAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		known := func(f *relayfeed.Feed) time.Duration {
			ago, ok := f.KnownAgo(prefix)
			p.is.True(ok)
			return ago
		}
		_, at := p.poll(p.follower.KnownRevisions()[prefix])
		p.is.Equal(known(p.follower), time.Second) // That of the confirmation.
		p.confirm()
		p.is.Equal(known(p.follower), time.Duration(0))
		time.Sleep(400 * time.Millisecond)
		p.put("a/1")
		p.read()
		p.confirm()
		p.is.Equal(known(p.follower), 400*time.Millisecond) // The change is not returned yet.
		p.poll(at)
		p.is.Equal(known(p.follower), time.Duration(0))
		lossy := &losingStore{countingStore: p.store}
		alone := relayfeed.New(relayfeed.Options{Direct: lossy, Check: lossy.check, Now: p.now})
		_, ok := alone.KnownAgo(prefix)
		p.is.True(!ok)
		_, at, err := alone.List(t.Context(), prefix)
		p.is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		var polls sync.WaitGroup
		polls.Go(func() { _, _, _ = alone.Poll(ctx, prefix, at, time.Minute) })
		time.Sleep(10*time.Second + time.Millisecond)
		p.is.Equal(known(alone), time.Millisecond) // That of the last check.
		cancel()
		polls.Wait()
	})
}
