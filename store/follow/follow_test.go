package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/follow"
	"github.com/basiltally/basiltally/store/memstore"
)

// mirror is a Consumer that keeps the current objects and counts its other calls.
type mirror struct {
	values         map[string]string
	lists          int
	lost, restored int
}

func (m *mirror) Replace(objects []store.Object) {
	m.lists++
	m.values = map[string]string{}
	for _, o := range objects {
		m.values[o.Key] = string(o.Value)
	}
}

func (m *mirror) Change(events []store.Event) {
	for _, e := range events {
		if e.Deleted {
			delete(m.values, e.Key)
			continue
		}
		m.values[e.Key] = string(e.Value)
	}
}

func (m *mirror) StoreLost()     { m.lost++ }
func (m *mirror) StoreRestored() { m.restored++ }

// flakyFeed fails all calls while unavailable is set.
type flakyFeed struct {
	*memstore.Store
	unavailable atomic.Bool
}

func (f *flakyFeed) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	if f.unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return f.Store.List(ctx, prefix)
}

func (f *flakyFeed) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	if f.unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	events, at, err := f.Store.Poll(ctx, prefix, after, wait)
	if f.unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return events, at, err
}

func TestFollowerRecoversFromOutageAndCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		feed := &flakyFeed{Store: memstore.New(memstore.Options{})}
		put := func(key, value string, expected store.Version) store.Version {
			v, err := feed.Put(ctx, key, []byte(value), expected)
			is.NoErr(err)
			return v
		}
		put("a/1", "one", 0)
		put("b/1", "other", 0)
		m := &mirror{}
		f := follow.New(follow.Options{Feed: feed, Prefix: "a/", Consumer: m})
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(m.values, map[string]string{"a/1": "one"})

		second := put("a/2", "two", 0)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(m.values, map[string]string{"a/1": "one", "a/2": "two"})
		is.Equal(m.lists, 1)

		feed.unavailable.Store(true)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		is.Equal(m.lost, 1)
		is.NoErr(feed.Delete(ctx, "a/2", second))
		feed.Compact()
		feed.unavailable.Store(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(m.restored, 1)
		is.Equal(m.values, map[string]string{"a/1": "one"})
		is.Equal(m.lists, 2)
	})
}

// historyLossFeed fails one poll and then hides the changes made before that failure, like a
// store that has dropped its history but still accepts a poll from an old revision.
type historyLossFeed struct {
	*memstore.Store
	interruptPoll chan struct{}
	interrupted   bool
	hiddenUpTo    store.Version
}

func (d *historyLossFeed) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	if !d.interrupted {
		<-d.interruptPoll
		d.interrupted = true
		d.hiddenUpTo = d.Revision()
		return nil, 0, store.ErrUnavailable
	}
	return d.Store.Poll(ctx, prefix, max(after, d.hiddenUpTo), wait)
}

func TestListsAgainAfterAnInterruptedPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		feed := &historyLossFeed{Store: memstore.New(memstore.Options{}), interruptPoll: make(chan struct{})}
		m := &mirror{}
		f := follow.New(follow.Options{Feed: feed, Prefix: "a/", Consumer: m})
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		_, err := feed.Put(ctx, "a/1", []byte("one"), 0)
		is.NoErr(err)
		close(feed.interruptPoll)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(m.values, map[string]string{"a/1": "one"})
		is.Equal(m.lost, 0)
	})
}

// timeoutFeed fails one poll with a timeout if timeoutNext is set.
type timeoutFeed struct {
	*memstore.Store
	timeoutNext atomic.Bool
}

type timeoutError struct{}

func (timeoutError) Error() string { return "no answer" }
func (timeoutError) Timeout() bool { return true }

func (s *timeoutFeed) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	if s.timeoutNext.Swap(false) {
		return nil, 0, timeoutError{}
	}
	return s.Store.Poll(ctx, prefix, after, wait)
}

// Entries expire while the store does not answer, so a single timeout counts as a loss.
func TestOneTimeoutMarksTheStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		feed := &timeoutFeed{Store: memstore.New(memstore.Options{})}
		feed.timeoutNext.Store(true)
		m := &mirror{}
		f := follow.New(follow.Options{Feed: feed, Prefix: "a/", Consumer: m})
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(m.lost, 1)
		is.Equal(m.restored, 1)
	})
}
