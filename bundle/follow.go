package bundle

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
)

const (
	// watchTimeout bounds one wait for a change of CurrentKey.
	watchTimeout = 30 * time.Second
	// followPauseFirst and followPauseMost bound the pause after a failed call.
	followPauseFirst = 200 * time.Millisecond
	followPauseMost  = 5 * time.Second
	// writeBackOperator names the processes in objects that they write back.
	writeBackOperator = "write-back"
)

// Follower keeps a Holder up to date from the store, and the store up to date
// from the Holder. Only the relay roots of a data centre run one, since a
// waiting watch counts as a call.
type Syncer struct {
	Store  store.Store
	Holder *Holder
	// Policy verifies what is written back.
	Policy *Policy
	// VM names this VM in objects that it writes back.
	VM string
}

// Run follows until ctx ends.
func (f *Syncer) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = followPauseFirst, followPauseMost
	for ctx.Err() == nil {
		if f.round(ctx) == nil {
			pause.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
	return nil
}

// round applies what the store holds and waits for a change of it.
func (f *Syncer) round(ctx context.Context) error {
	current, err := f.sync(ctx)
	if err != nil {
		return err
	}
	watch, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	_, err = f.Store.Watch(watch, CurrentKey, current.object)
	return err
}

// Sync reads the accepted bundle once. If the store is behind this process, as
// after a restore, it writes the held bundle back.
func (f *Syncer) Sync(ctx context.Context) error {
	_, err := f.sync(ctx)
	return err
}

func (f *Syncer) sync(ctx context.Context) (Current, error) {
	current, err := ReadCurrent(ctx, f.Store)
	if err != nil {
		return Current{}, err
	}
	if current.Version < f.Holder.Version() {
		return current, f.writeBack(ctx, current)
	}
	if current.Version == 0 {
		return current, nil
	}
	signed, _, err := ReadVersion(ctx, f.Store, current.Version)
	if errors.Is(err, store.ErrNotFound) && f.holds(current) {
		return current, f.restoreVersion(ctx)
	}
	if err != nil {
		return Current{}, err
	}
	if signed.Digest != current.Digest {
		return Current{}, errors.Errorf("version %d in the store does not match %s", current.Version, CurrentKey)
	}
	return current, f.Holder.ApplySigned(signed.Encode(), "store")
}

// holds reports whether the accepted bundle is the one in force here.
func (f *Syncer) holds(current Current) bool {
	held := f.Holder.InForce()
	return held != nil && held.Signed != nil && held.Signed.same(current.Version, current.Digest)
}

// restoreVersion writes the object of the held version anew; without it a VM
// that starts could not read the accepted bundle.
func (f *Syncer) restoreVersion(ctx context.Context) error {
	r := f.roller()
	held := f.Holder.InForce()
	if err := r.create(ctx, held.Signed, r.newWrite()); err != nil {
		return err
	}
	f.Holder.opts.Log.Warn("lost version written back to the store", "version", held.Bundle.Version)
	return nil
}

func (f *Syncer) roller() *Roller {
	return &Roller{Store: f.Store, Policy: f.Policy, Operator: writeBackOperator + "/" + f.VM}
}

// writeBack restores the held bundle in the store. Both writes are conditional,
// so processes that write back together do no harm.
func (f *Syncer) writeBack(ctx context.Context, behind Current) error {
	held := f.Holder.InForce()
	if held == nil || held.Signed == nil {
		return nil
	}
	r := f.roller()
	write := r.newWrite()
	if err := r.create(ctx, held.Signed, write); err != nil {
		return err
	}
	if err := r.promote(ctx, held.Signed, write, behind); err != nil {
		return err
	}
	f.Holder.opts.Log.Warn("bundle written back to a store that was behind",
		"version", held.Bundle.Version, "store_version", behind.Version)
	return nil
}
