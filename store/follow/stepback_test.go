package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/follow"
	"github.com/basiltally/basiltally/store/memstore"
)

// calls is a Consumer that keeps the names of its calls, and the keys in lists.
type calls []string

func (c *calls) Replace(objects []store.Object) {
	call := "replace"
	for _, o := range objects {
		call += " " + o.Key
	}
	*c = append(*c, call)
}

func (c *calls) Change([]store.Event) { *c = append(*c, "change") }
func (c *calls) StoreLost()           { *c = append(*c, "lost") }
func (c *calls) StoreRestored()       { *c = append(*c, "restored") }

// Entries that targets wrote may come back late, so that they must not count as removed at once.
func TestStepBackCountsAsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := memstore.New(memstore.Options{})
		_, err := s.Put(ctx, "a/1", nil, 0)
		is.NoErr(err)
		older := s.Snapshot()
		_, err = s.Put(ctx, "a/2", nil, 0)
		is.NoErr(err)
		var c calls
		f := follow.New(follow.Options{Feed: s, Prefix: "a/", Consumer: &c})
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		s.StepBack(older)
		time.Sleep(time.Second)
		_, err = s.Put(ctx, "a/2", nil, 0)
		is.NoErr(err)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(c, calls{"replace a/1 a/2", "lost", "restored", "replace a/1", "change"})
	})
}

// scriptedFeed returns given results in turn, and then waits.
type scriptedFeed struct {
	lists []store.Version
	polls []store.Version
	// after has the versions from which polls were made.
	after []store.Version
}

func (f *scriptedFeed) List(ctx context.Context, _ string) ([]store.Object, store.Version, error) {
	if len(f.lists) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	at := f.lists[0]
	f.lists = f.lists[1:]
	return []store.Object{{Key: at.String()}}, at, nil
}

// Poll returns a change at the next version, or ErrCompacted if that is zero.
func (f *scriptedFeed) Poll(ctx context.Context, _ string, after store.Version, _ time.Duration) ([]store.Event, store.Version, error) {
	f.after = append(f.after, after)
	if len(f.polls) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	at := f.polls[0]
	f.polls = f.polls[1:]
	if at == 0 {
		return nil, 0, store.ErrCompacted
	}
	return []store.Event{{}}, at, nil
}

func TestListOfAnEarlierEraIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		second := store.NewVersion(2, 5)
		feed := &scriptedFeed{lists: []store.Version{second, store.NewVersion(1, 9), second + 1}, polls: []store.Version{0}}
		var c calls
		f := follow.New(follow.Options{Feed: feed, Prefix: "a/", Consumer: &c})
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(c, calls{"replace 2/5", "replace 2/6"})
		is.Equal(feed.after, []store.Version{second, second + 1})
	})
}

// Changes that lead to a later era may leave out what this VM has learned beside them.
func TestChangesToALaterEraMakeAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first, second := store.NewVersion(1, 9), store.NewVersion(2, 5)
		feed := &scriptedFeed{lists: []store.Version{first, second}, polls: []store.Version{second}}
		var c calls
		f := follow.New(follow.Options{Feed: feed, Prefix: "a/", Consumer: &c})
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(c, calls{"replace 1/9", "lost", "restored", "replace 2/5"})
		is.Equal(feed.after, []store.Version{first, second})
	})
}
