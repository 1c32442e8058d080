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
func (s *Syncer) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = syncPauseMin, syncPauseMax
	for ctx.Err() == nil {
		if s.syncAndWait(ctx) == nil {
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
func (s *Syncer) syncAndWait(ctx context.Context) error {
	current, err := s.sync(ctx)
	if err != nil {
		return err
	}
	watch, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	_, err = s.Store.Watch(watch, CurrentKey, current.objectVersion)
	return err
}

// Sync reads the accepted bundle once and applies it. If the store holds an older
// version than this process, as after a restore, Sync writes the held bundle back.
func (s *Syncer) Sync(ctx context.Context) error {
	_, err := s.sync(ctx)
	return err
}

func (s *Syncer) sync(ctx context.Context) (Current, error) {
	current, err := ReadCurrent(ctx, s.Store)
	if err != nil {
		return Current{}, err
	}
	if current.Version < s.Holder.Version() {
		return current, s.writeBack(ctx, current)
	}
	if current.Version == 0 {
		return current, nil
	}
	signed, _, err := ReadVersion(ctx, s.Store, current.Version)
	if errors.Is(err, store.ErrNotFound) && s.isInForce(current) {
		return current, s.restoreVersion(ctx)
	}
	if err != nil {
		return Current{}, err
	}
	if signed.Digest != current.Digest {
		return Current{}, errors.Errorf("the digest of version %d in the store does not match %s", current.Version, CurrentKey)
	}
	return current, s.Holder.ApplySigned(signed.Encode(), "store")
}

// isInForce reports whether the accepted bundle is in force in this process.
func (s *Syncer) isInForce(current Current) bool {
	held := s.Holder.InForce()
	return held != nil && held.Signed != nil && held.Signed.matches(current.Version, current.Digest)
}

// restoreVersion writes the lost object of the held version again; without it a
// VM that starts could not read the accepted bundle.
func (s *Syncer) restoreVersion(ctx context.Context) error {
	r := s.roller()
	held := s.Holder.InForce()
	if err := r.createVersion(ctx, held.Signed, r.newWrite()); err != nil {
		return err
	}
	s.Holder.opts.Log.Warn("lost bundle version written back to the store", "version", held.Bundle.Version)
	return nil
}

func (s *Syncer) roller() *Roller {
	return &Roller{Store: s.Store, Policy: s.Policy, Operator: writeBackOperator + "/" + s.VM}
}

// writeBack makes the held bundle the accepted one in the store. Both writes are
// conditional, so several processes may write back at the same time.
func (s *Syncer) writeBack(ctx context.Context, outdated Current) error {
	held := s.Holder.InForce()
	if held == nil || held.Signed == nil {
		return nil
	}
	r := s.roller()
	write := r.newWrite()
	if err := r.createVersion(ctx, held.Signed, write); err != nil {
		return err
	}
	if err := r.updateCurrent(ctx, held.Signed, write, outdated); err != nil {
		return err
	}
	s.Holder.opts.Log.Warn("bundle written back to a store that held an older version",
		"version", held.Bundle.Version, "store_version", outdated.Version)
	return nil
}
