// Package follow keeps a consumer up to date with the objects under a prefix: a
// list, then the changes, and a new list whenever changes may have been missed.
package follow

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
)

// Consumer takes what a Follower reads. Its methods are called from one goroutine.
type Consumer interface {
	// Replace takes a complete list.
	Replace(objects []store.Object)
	// Change takes the changes since the last list or changes, in order.
	Change(events []store.Event)
	// Lost tells that the store no longer answers.
	StoreLost()
	// Restored tells, before the list that follows, that the store answers again.
	StoreRestored()
}

// Options of a Follower.
type Options struct {
	Feed   store.Feed
	Prefix string
	// Consumer takes the objects.
	Consumer Consumer
	// Wait is the longest that one poll stays open. Default 25 s.
	Wait time.Duration
	// Settle is the pause after changes in which further ones gather, so that a
	// series of changes costs few polls. Default 100 ms.
	Settle time.Duration
	// RetryMin and RetryMax bound the pause after a failure, which doubles.
	// Defaults 100 ms and 400 ms.
	RetryMin, RetryMax time.Duration
	Logger             *slog.Logger
}

func (o Options) withDefaults() Options {
	o.Wait = cmp.Or(o.Wait, 25*time.Second)
	o.Settle = cmp.Or(o.Settle, 100*time.Millisecond)
	o.RetryMin = cmp.Or(o.RetryMin, 100*time.Millisecond)
	o.RetryMax = cmp.Or(o.RetryMax, 400*time.Millisecond)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// failuresOfLoss is the number of failures in a row after which the store is lost.
const failuresUntilLost = 2

// Follower follows one prefix.
type Follower struct {
	opts     Options
	failures int
	lost     bool
	// listed is set while known is the revision up to which changes were taken.
	listed bool
	known  store.Version
}

// New returns a Follower that has read nothing.
func New(opts Options) *Follower { return &Follower{opts: opts.withDefaults()} }

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.pause(ctx, f.recordFailure(err))
		}
	}
	return nil
}

// step reads the list, or waits for changes.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	events, at, err := f.opts.Feed.Poll(ctx, f.opts.Prefix, f.known, f.opts.Wait)
	if errors.Is(err, store.ErrCompacted) {
		f.opts.Logger.Info("history of the store is gone, listing again", "prefix", f.opts.Prefix, "revision", f.known)
		f.listed = false
		return nil
	}
	if err != nil {
		// The store may have dropped changes when it cut the poll.
		f.listed = false
		return err
	}
	f.recordSuccess()
	f.known = max(f.known, at)
	if len(events) > 0 {
		f.opts.Consumer.Change(events)
		f.pause(ctx, f.opts.Settle)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	objects, at, err := f.opts.Feed.List(ctx, f.opts.Prefix)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.listed, f.known = true, at
	f.opts.Consumer.Replace(objects)
	return nil
}

// fail notes a failure and returns the pause before the next try. The first
// failure of a poll is retried soon: a server may cut waiting polls at any time.
func (f *Follower) recordFailure(err error) time.Duration {
	f.failures++
	if isTimeout(err) {
		// The store was silent for the whole call: entries may lapse meanwhile.
		f.failures = max(f.failures, failuresUntilLost)
	}
	f.opts.Logger.Info("store call failed", "prefix", f.opts.Prefix, "failures", f.failures, "error", err.Error())
	if f.failures >= failuresUntilLost && !f.lost {
		f.lost = true
		f.opts.Logger.Warn("store lost", "prefix", f.opts.Prefix, "error", err.Error())
		f.opts.Consumer.StoreLost()
	}
	wait := min(f.opts.RetryMin<<min(f.failures-1, 10), f.opts.RetryMax)
	return wait/2 + rand.N(wait/2+1)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func (f *Follower) recordSuccess() {
	f.failures = 0
	if !f.lost {
		return
	}
	f.lost = false
	f.opts.Logger.Info("store regained", "prefix", f.opts.Prefix, "revision", f.known)
	f.opts.Consumer.StoreRestored()
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
