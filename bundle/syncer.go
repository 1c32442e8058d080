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
	// syncPauseMin and syncPauseMax bound the pause after a failed call.
	syncPauseMin = 200 * time.Millisecond
	syncPauseMax = 5 * time.Second
	// writeBackOperator starts the operator name, writeBackOperator/VM, in objects
	// that a process writes back.
	writeBackOperator = "write-back"
)

// Syncer applies the accepted bundle of the store to a Holder, and writes the
// Holder's bundle back to a store that holds an older one. Only the relay roots
// of a data centre run one, because a waiting watch counts as a store call.
type Syncer struct {
	Store  store.Store
	Holder *Holder
	// Policy verifies the bundle that is already stored under the key to which this
	// process writes back.
	Policy *Policy
	// VM names this VM in objects that it writes back.
	VM string
}

// Run synchronises the Holder and the store until ctx ends.
func (f *Syncer) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = syncPauseMin, syncPauseMax
	for ctx.Err() == nil {
		if f.syncAndWait(ctx) == nil {
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

// syncAndWait synchronises once and then waits for a change of CurrentKey.
func (f *Syncer) syncAndWait(ctx context.Context) error {
	current, err := f.sync(ctx)
	if err != nil {
		return err
	}
	watch, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	_, err = f.Store.Watch(watch, CurrentKey, current.objectVersion)
	return err
}

// Sync reads the accepted bundle once and applies it. If the store holds an older
// version than this process, as after a restore, Sync writes the held bundle back.
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
	if errors.Is(err, store.ErrNotFound) && f.isInForce(current) {
		return current, f.restoreVersion(ctx)
	}
	if err != nil {
		return Current{}, err
	}
	if signed.Digest != current.Digest {
		return Current{}, errors.Errorf("the digest of version %d in the store does not match %s", current.Version, CurrentKey)
	}
	return current, f.Holder.ApplySigned(signed.Encode(), "store")
}

// isInForce reports whether the accepted bundle is in force in this process.
func (f *Syncer) isInForce(current Current) bool {
	held := f.Holder.InForce()
	return held != nil && held.Signed != nil && held.Signed.matches(current.Version, current.Digest)
}

// restoreVersion writes the lost object of the held version again; without it a
// VM that starts could not read the accepted bundle.
func (f *Syncer) restoreVersion(ctx context.Context) error {
	r := f.roller()
	held := f.Holder.InForce()
	if err := r.createVersion(ctx, held.Signed, r.newWrite()); err != nil {
		return err
	}
	f.Holder.opts.Log.Warn("lost bundle version written back to the store", "version", held.Bundle.Version)
	return nil
}

func (f *Syncer) roller() *Roller {
	return &Roller{Store: f.Store, Policy: f.Policy, Operator: writeBackOperator + "/" + f.VM}
}

// writeBack makes the held bundle the accepted one in the store. Both writes are
// conditional, so several processes may write back at the same time.
func (f *Syncer) writeBack(ctx context.Context, outdated Current) error {
	held := f.Holder.InForce()
	if held == nil || held.Signed == nil {
		return nil
	}
	r := f.roller()
	write := r.newWrite()
	if err := r.createVersion(ctx, held.Signed, write); err != nil {
		return err
	}
	if err := r.updateCurrent(ctx, held.Signed, write, outdated); err != nil {
		return err
	}
	f.Holder.opts.Log.Warn("bundle written back to a store that held an older version",
		"version", held.Bundle.Version, "store_version", outdated.Version)
	return nil
}
