// Package follow keeps a consumer up to date with the objects under a prefix. It lists the
// objects, then polls for changes, and lists again whenever changes may have been missed.
package follow

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/store"
)

// Consumer receives what a Follower reads. Its methods are called from one goroutine.
type Consumer interface {
	// Replace receives a complete list of the objects.
	Replace(objects []store.Object)
	// Change receives the changes since the last call of Replace or Change, in order.
	Change(events []store.Event)
	// StoreLost is called when the store no longer answers, and when it has come back from an older copy.
	StoreLost()
	// StoreRestored is called when the store answers again, before Replace receives the list.
	StoreRestored()
}

// Options configures a Follower.
type Options struct {
	Feed   store.Feed
	Prefix string
	// Consumer receives the objects.
	Consumer Consumer
	// Wait is the maximum duration of one poll. Default 25 s.
	Wait time.Duration
	// Settle is the pause after a poll that returned changes. Further changes accumulate
	// during the pause, so that a series of changes needs few polls. Default 100 ms.
	Settle time.Duration
	// RetryMin and RetryMax bound the pause after a failure. The pause doubles with each
	// failure in a row. Defaults 100 ms and 400 ms.
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

// failuresUntilLost is the number of failures in a row after which the store counts as lost.
const failuresUntilLost = 2

// Follower reads the objects under one prefix for a Consumer.
type Follower struct {
	opts Options
	// failures is the number of failed calls in a row.
	failures int
	// lost is set between StoreLost and StoreRestored.
	lost bool
	// listed is set if the objects were listed and no change since can have been missed.
	listed bool
	// known is the revision up to which the consumer has received all changes.
	known store.Version
}

// New returns a Follower that has not read anything yet.
func New(opts Options) *Follower { return &Follower{opts: opts.withDefaults()} }

// Run reads the objects until the context ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.pause(ctx, f.recordFailure(err))
		}
	}
	return nil
}

// step reads the list if necessary, or else polls once for changes.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	events, at, err := f.opts.Feed.Poll(ctx, f.opts.Prefix, f.known, f.opts.Wait)
	if errors.Is(err, store.ErrCompacted) {
		f.opts.Logger.Info("changes may be missing, listing again", "prefix", f.opts.Prefix, "revision", f.known, "error", err.Error())
		f.listed = false
		return nil
	}
	if err != nil {
		// The store may have dropped changes when it interrupted the poll.
		f.listed = false
		return err
	}
	f.recordSuccess()
	if at.Era() > f.known.Era() {
		// The changes may leave out what the consumer has learned beside them.
		f.listed = false
		return nil
	}
	f.known = max(f.known, at)
	if len(events) > 0 {
		f.opts.Consumer.Change(events)
		f.pause(ctx, f.opts.Settle)
	}
	return nil
}

// list reads the complete list and gives it to the consumer.
func (f *Follower) list(ctx context.Context) error {
	began := time.Now()
	objects, at, err := f.opts.Feed.List(ctx, f.opts.Prefix)
	if err != nil {
		return err
	}
	if at.Era() < f.known.Era() {
		return errors.WithMessagef(store.ErrUnavailable, "the list is of revision %s, and %s is known", at, f.known)
	}
	if f.known != 0 && at.Era() > f.known.Era() {
		f.opts.Logger.Info("the list is from an older copy of the store; entries may be missing", "prefix", f.opts.Prefix, "revision", at, "known", f.known)
		if !f.lost {
			f.lost = true
			f.opts.Consumer.StoreLost()
		}
	}
	f.opts.Logger.Info("listed the objects", "prefix", f.opts.Prefix, "objects", len(objects), "revision", at, "took_ms", time.Since(began).Milliseconds())
	f.recordSuccess()
	f.listed, f.known = true, at
	f.opts.Consumer.Replace(objects)
	return nil
}

// recordFailure counts a failed call and returns the pause before the next attempt. The
// pause after the first failure is short, because a server may interrupt waiting polls at
// any time.
func (f *Follower) recordFailure(err error) time.Duration {
	f.failures++
	if evidence.LosesWaitingCalls(err) {
		// The store did not answer during the whole call, and entries may have expired
		// meanwhile.
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

// recordSuccess resets the count of failures and calls StoreRestored if the store was lost.
func (f *Follower) recordSuccess() {
	f.failures = 0
	if !f.lost {
		return
	}
	f.lost = false
	f.opts.Logger.Info("store restored", "prefix", f.opts.Prefix, "revision", f.known)
	f.opts.Consumer.StoreRestored()
}

// pause waits for the duration or until the context ends.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
