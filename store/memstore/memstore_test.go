package memstore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/store"
)

func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s := New(Options{})
	v1, err := s.Put(ctx, "a", []byte("1"), 0)
	is.NoErr(err)
	_, err = s.Put(ctx, "a", []byte("2"), 0)
	is.True(errors.Is(err, store.ErrConflict))
	v2, err := s.Put(ctx, "a", []byte("2"), v1)
	is.NoErr(err)
	is.True(v2 > v1)
	is.True(errors.Is(s.Delete(ctx, "a", v1), store.ErrConflict))
	is.NoErr(s.Delete(ctx, "a", v2))
	_, err = s.Get(ctx, "a")
	is.True(errors.Is(err, store.ErrNotFound))
	_, err = s.Put(ctx, "a", make([]byte, store.MaxValueBytes+1), 0)
	is.True(errors.Is(err, store.ErrTooLarge))
}

func TestListIsOrderedAndCarriesRevision(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s := New(Options{})
	for _, key := range []string{"b/2", "a/1", "b/1"} {
		_, err := s.Put(ctx, key, nil, 0)
		is.NoErr(err)
	}
	list, revision, err := s.List(ctx, "b/")
	is.NoErr(err)
	is.Equal(len(list), 2)
	is.Equal(list[0].Key, "b/1")
	is.Equal(revision, store.Version(3))
}

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Options{History: 2})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go func() {
			time.Sleep(time.Second)
			_, _ = s.Put(ctx, "other", nil, 0)
			_, _ = s.Put(ctx, "a/1", []byte("x"), 0)
		}()
		events, err := s.Watch(ctx, "a/", 0)
		is.NoErr(err)
		is.Equal(len(events), 1)
		is.Equal(events[0].Version, store.Version(2))

		events, err = s.Watch(ctx, "a/", 2)
		is.NoErr(err) // The deadline passed without a change.
		is.Equal(len(events), 0)

		ctx = t.Context()
		is.NoErr(s.Delete(ctx, "a/1", 2))
		_, err = s.Watch(ctx, "a/", 0)
		is.True(errors.Is(err, store.ErrCompacted)) // The first event was dropped.
		events, err = s.Watch(ctx, "a/", 2)
		is.NoErr(err)
		is.True(events[0].Deleted)
	})
}

func TestRestoreReturnsToSnapshot(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s := New(Options{})
	v, _ := s.Put(ctx, "a", []byte("old"), 0)
	snapshot := s.Snapshot()
	_, err := s.Put(ctx, "a", []byte("new"), v)
	is.NoErr(err)
	s.Restore(snapshot)
	obj, err := s.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(obj.Value), "old")
	_, err = s.Watch(ctx, "", 2)
	is.True(errors.Is(err, store.ErrCompacted)) // The watch starts after the store's revision.
}
