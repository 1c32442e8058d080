package bundle

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/store"
)

const (
	// rollAttempts bounds the tries of one step of a roll-forward.
	rollAttempts = 6
	// rollPauseFirst and rollPauseMost bound the pause between tries.
	rollPauseFirst = 100 * time.Millisecond
	rollPauseMost  = 2 * time.Second
	// chainLimit bounds the walk from the current version back to an earlier one.
	chainLimit = 1000
)

// Roller rolls bundles forward in the store.
type Roller struct {
	// Store is the platform's object API.
	Store store.Store
	// Policy verifies bundles before they are written and when they are read back.
	Policy *Policy
	// Operator is the name written next to each change.
	Operator string
	// Highest, if set, returns the highest version in force in any process that
	// can be asked. A bundle that is not higher is refused, which shows when the
	// store was restored to the past.
	HighestInForce func(ctx context.Context) (uint64, error)
	// Now is the wall clock; time.Now if nil.
	Now func() time.Time
}

// Roll makes the bundle the accepted one. It returns nil only after it has seen
// CurrentKey name this bundle or a descendant of it. An error with outcome
// not-run means that the bundle is not accepted by this call; with
// OperationUnknown it may be. Either way the same call may be repeated.
func (r *Roller) RollForward(ctx context.Context, s *Signed) error {
	if _, err := Verify(s, r.Policy); err != nil {
		return err
	}
	current, err := ReadCurrent(ctx, r.Store)
	if err != nil {
		return refuseRead(err)
	}
	accepted, err := r.judge(ctx, s, current)
	if accepted || err != nil {
		return err
	}
	if err := r.checkProcesses(ctx, s, current); err != nil {
		return err
	}
	write := r.newWrite()
	if err := r.create(ctx, s, write); err != nil {
		return err
	}
	return r.promote(ctx, s, write, current)
}

func (r *Roller) newWrite() WriteInfo {
	now := time.Now
	if r.Now != nil {
		now = r.Now
	}
	return WriteInfo{Operator: r.Operator, Time: now(), Nonce: rand.Text()}
}

// judge compares the bundle with the current version: accepted already,
// refused, or (false, nil) if it may follow.
func (r *Roller) judge(ctx context.Context, s *Signed, current Current) (accepted bool, err error) {
	if s.same(current.Version, current.Digest) {
		return true, nil
	}
	if current.Version >= s.Version {
		descends, err := r.descends(ctx, s, current)
		if descends || err != nil {
			return descends, err
		}
		return false, result.New(result.VersionConflict, "bundle %d is not accepted: version %d (%s) was rolled forward by %s",
			s.Version, current.Version, current.Digest.Short(), current.Write)
	}
	if s.Predecessor != current.Digest {
		return false, result.New(result.VersionConflict,
			"bundle %d was signed to replace %s, but version %d (%s) is current, rolled forward by %s; sign it again on top of that",
			s.Version, describePredecessor(s.Predecessor), current.Version, current.Digest.Short(), current.Write)
	}
	return false, nil
}

func describePredecessor(d Digest) string {
	if d.IsZero() {
		return "no bundle"
	}
	return d.Short()
}

// descends reports whether the current version was reached by way of s.
func (r *Roller) descends(ctx context.Context, s *Signed, current Current) (bool, error) {
	version, digest := current.Version, current.Digest
	versions, err := r.olderVersions(ctx, s.Version, version)
	if err != nil {
		return false, err
	}
	for range chainLimit {
		at, ok := versions[digest]
		if !ok {
			return false, nil
		}
		digest = at.Predecessor
		if s.Digest == digest {
			return true, nil
		}
	}
	return false, nil
}

// olderVersions returns the bundles in the store from version low to high, by digest.
func (r *Roller) olderVersions(ctx context.Context, low, high uint64) (map[Digest]*Signed, error) {
	objects, _, err := r.Store.List(ctx, VersionPrefix)
	if err != nil {
		return nil, result.Wrap(result.OperationUnknown, err, "the versions in the store could not be read")
	}
	versions := make(map[Digest]*Signed)
	for _, obj := range objects {
		if obj.Key < VersionKey(low) || obj.Key > VersionKey(high) {
			continue
		}
		signed, _, err := decodeVersion(obj)
		if err != nil {
			return nil, err
		}
		versions[signed.Digest] = signed
	}
	return versions, nil
}

func (r *Roller) checkProcesses(ctx context.Context, s *Signed, current Current) error {
	if r.HighestInForce == nil {
		return nil
	}
	highest, err := r.HighestInForce(ctx)
	if err != nil {
		return result.Wrap(result.StoreUnavailable, err, "the version in force in the processes could not be read")
	}
	if highest >= s.Version {
		return result.New(result.VersionConflict,
			"bundle %d is not accepted: processes hold version %d, but the store says %d; the store is behind, wait until the processes have written theirs back",
			s.Version, highest, current.Version)
	}
	return nil
}

// create writes the version's object, or finds the same bundle there.
func (r *Roller) create(ctx context.Context, s *Signed, w WriteInfo) error {
	value, err := encodeVersion(s, w)
	if err != nil {
		return result.Wrap(result.InvalidBundle, err, "bundle %d", s.Version)
	}
	_, err = r.retry(ctx, func() (bool, error) {
		_, err := r.Store.Put(ctx, VersionKey(s.Version), value, 0)
		if errors.Is(err, store.ErrConflict) {
			return true, r.compareVersion(ctx, s)
		}
		return err == nil, err
	})
	if err == nil || isResult(err) {
		return err
	}
	// Until CurrentKey names it a version is not accepted, whatever became of this write.
	return result.Wrap(result.StoreUnavailable, err, "bundle %d is not accepted; repeat the command", s.Version)
}

// compareVersion checks that the object of the version holds this bundle, verified.
func (r *Roller) compareVersion(ctx context.Context, s *Signed) error {
	found, by, err := ReadVersion(ctx, r.Store, s.Version)
	if err != nil {
		return err
	}
	if !s.same(found.Version, found.Digest) || found.Predecessor != s.Predecessor {
		return result.New(result.VersionConflict, "bundle %d is not accepted: another version %d (%s) was written by %s; roll that one forward or sign the next version",
			s.Version, s.Version, found.Digest.Short(), by)
	}
	if _, err := Verify(found, r.Policy); err != nil {
		return result.Wrap(result.VersionConflict, err, "bundle %d is not accepted: the same document was written without valid approvals by %s; sign the next version",
			s.Version, by)
	}
	return nil
}

// promote updates CurrentKey from the version that was judged.
func (r *Roller) promote(ctx context.Context, s *Signed, w WriteInfo, from Current) error {
	value, err := encodeCurrent(s, w)
	if err != nil {
		return result.Wrap(result.InvalidBundle, err, "bundle %d", s.Version)
	}
	unsure, err := r.retry(ctx, func() (bool, error) {
		_, err := r.Store.Put(ctx, CurrentKey, value, from.object)
		if errors.Is(err, store.ErrConflict) {
			return true, r.readBack(ctx, s)
		}
		return err == nil, err
	})
	switch {
	case err == nil || isResult(err):
		return err
	case unsure:
		return result.Wrap(result.OperationUnknown, err, "bundle %d may be accepted; repeat the command to find out", s.Version)
	default:
		return result.Wrap(result.StoreUnavailable, err, "bundle %d is written, but not accepted; repeat the command", s.Version)
	}
}

// readBack decides after a conflict whether this bundle was accepted.
func (r *Roller) readBack(ctx context.Context, s *Signed) error {
	current, err := ReadCurrent(ctx, r.Store)
	if err != nil {
		return err
	}
	accepted, err := r.judge(ctx, s, current)
	if accepted || err != nil {
		return err
	}
	return result.New(result.VersionConflict, "bundle %d is not accepted: %s was changed meanwhile; repeat the command", s.Version, CurrentKey)
}

// retry runs step until it is done, refused by a result code, or out of tries.
// unsure is set if a try may have written something. A repeated conditional
// write cannot take effect twice, so the write itself is the read-back.
func (r *Roller) retry(ctx context.Context, step func() (done bool, err error)) (unsure bool, err error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = rollPauseFirst, rollPauseMost
	for range rollAttempts {
		var done bool
		done, err = step()
		if done && err == nil || isResult(err) {
			return unsure, err
		}
		if !errors.Is(err, store.ErrUnavailable) || done {
			unsure = true
		}
		if errors.Is(err, store.ErrTooLarge) {
			return unsure, result.Wrap(result.InvalidBundle, err, "bundle")
		}
		select {
		case <-ctx.Done():
			return unsure, err
		case <-time.After(pause.NextBackOff()):
		}
	}
	return unsure, err
}

func isResult(err error) bool {
	var coded *result.Error
	return errors.As(err, &coded)
}

// refuseRead maps a failed first read; nothing was written yet.
func refuseRead(err error) error {
	if isResult(err) {
		return err
	}
	return result.Wrap(result.StoreUnavailable, err, "the current version could not be read")
}
