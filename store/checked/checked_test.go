package checked

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/store"
)

// answerAfter returns a Call that has the result after the duration, unless its context ends first.
func answerAfter(d time.Duration, r Result) Call {
	return func(ctx context.Context) ([]store.Event, store.Version, error) {
		select {
		case <-time.After(d):
			return r.Events, r.At, r.Err
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// lostCall is a Call that the store has lost, and whose connection stays open.
func lostCall(ctx context.Context) ([]store.Event, store.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

var change = Result{Events: []store.Event{{Object: store.Object{Key: "a/1"}}}, At: 7}

// A poll that a silent store had lost was waited for until its own end, 26 s later.
func TestChangeIsFoundThoughTheStoreHasLostThePoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, began, checks, provenAt := is.New(t), time.Now(), 0, time.Duration(0)
		check := func(context.Context) ([]store.Event, store.Version, error) {
			checks++
			if time.Since(began) < 3500*time.Millisecond {
				return nil, 5, nil
			}
			return change.Events, change.At, nil
		}
		r := Poll(t.Context(), lostCall, check, Options{OnChecked: func() { provenAt = time.Since(began) }})
		is.NoErr(r.Err)
		is.True(r.Lost)
		is.Equal(len(r.Events), 1)
		is.Equal(r.At, store.Version(7))
		is.Equal(provenAt, 3*time.Second)
		is.Equal(time.Since(began), 4*time.Second+100*time.Millisecond)
		is.Equal(checks, 4)
	})
}

// A store that loses the check has lost the poll too: what it has dropped since is unknown.
func TestUnansweredCheckEndsThePoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, began := is.New(t), time.Now()
		r := Poll(t.Context(), lostCall, lostCall, Options{})
		is.True(r.Lost)
		is.True(os.IsTimeout(r.Err))
		is.Equal(time.Since(began), 2*time.Second+100*time.Millisecond)
	})
}

func TestRefusedCheckShowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, began, proofs := is.New(t), time.Now(), 0
		check := answerAfter(0, Result{Err: store.ErrUnavailable})
		r := Poll(t.Context(), answerAfter(10*time.Second, change), check, Options{OnChecked: func() { proofs++ }})
		is.NoErr(r.Err)
		is.True(!r.Lost)
		is.Equal(proofs, 0)
		is.Equal(time.Since(began), 10*time.Second)
	})
}

func TestGapThatOnlyTheCheckFindsEndsThePoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := Poll(t.Context(), lostCall, answerAfter(0, Result{Err: store.ErrCompacted}), Options{})
		is.True(r.Lost)
		is.Equal(r.Err, store.ErrCompacted)
	})
}

// The change comes by the poll and by a check at the same time.
func TestAnswerOfThePollIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, began := is.New(t), time.Now()
		r := Poll(t.Context(), answerAfter(1010*time.Millisecond, change), answerAfter(5*time.Millisecond, change), Options{})
		is.NoErr(r.Err)
		is.True(!r.Lost)
		is.Equal(time.Since(began), 1010*time.Millisecond)
	})
}

func TestEndOfTheContextEndsThePoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		r := Poll(ctx, lostCall, answerAfter(0, Result{}), Options{})
		is.Equal(r.Err, context.DeadlineExceeded)
		is.True(!r.Lost)
	})
}
