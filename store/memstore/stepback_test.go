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

func TestStepBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		s := New(Options{Era: 3})
		kept, err := s.Put(ctx, "a/1", []byte("kept"), 0)
		is.NoErr(err)
		is.Equal(kept, store.NewVersion(3, 1))
		older := s.Snapshot()
		lost, err := s.Put(ctx, "a/2", []byte("lost"), 0)
		is.NoErr(err)
		polled := make(chan error, 1)
		go func() {
			_, _, err := s.Poll(context.Background(), "a/", lost, time.Minute)
			polled <- err
		}()
		synctest.Wait()
		s.StepBack(older)
		is.True(errors.Is(<-polled, store.ErrCompacted))
		objects, at, err := s.List(ctx, "a/")
		is.NoErr(err)
		is.Equal(at, store.NewVersion(4, 1))
		is.Equal(objects, []store.Object{{Key: "a/1", Value: []byte("kept"), Version: store.NewVersion(4, 1)}})
		_, err = s.Put(ctx, "a/1", nil, kept)
		is.True(errors.Is(err, store.ErrSteppedBack))
		is.True(errors.Is(s.Delete(ctx, "a/1", kept), store.ErrSteppedBack))
		_, err = s.Put(ctx, "a/2", nil, store.NewVersion(3, 0))
		is.True(errors.Is(err, store.ErrSteppedBack))
		again, err := s.Put(ctx, "a/3", nil, 0)
		is.NoErr(err)
		is.Equal(again.Revision(), lost.Revision())
		is.True(again > lost)
		_, err = s.Watch(ctx, "a/", lost)
		is.True(errors.Is(err, store.ErrCompacted))
		events, next, err := s.Poll(ctx, "a/", at, time.Second)
		is.NoErr(err)
		is.Equal(len(events), 1)
		is.Equal(next, again)
		s.StepBack(older)
		is.Equal(s.Revision(), store.NewVersion(5, 1))
	})
}
