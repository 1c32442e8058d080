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
	// rollAttempts is the maximum number of attempts of one step of a roll-forward.
	rollAttempts = 6
	// rollPauseMin and rollPauseMax bound the pause between attempts.
	rollPauseMin = 100 * time.Millisecond
	rollPauseMax = 2 * time.Second
	// maxPredecessors is the maximum number of predecessors that are followed back
	// from the current version in search of an earlier one.
	maxPredecessors = 1000
)

// Roller rolls bundles forward, that is, makes them the accepted version in the store.
type Roller struct {
	// Store is the platform's object API.
	Store store.Store
	// Policy verifies bundles before they are written and when they are read back.
	Policy *Policy
	// Operator is the operator's name, which is stored with each change.
	Operator string
	// HighestInForce, if set, returns the highest version in force in any process
	// that can be reached. A bundle whose version is not higher is refused, since
	// the store was then restored to an earlier state.
	HighestInForce func(ctx context.Context) (uint64, error)
	// Now returns the wall-clock time; nil means time.Now.
	Now func() time.Time
}

// RollForward makes the bundle the accepted one. It returns nil only after
// CurrentKey was written or read to name this bundle or a later successor of it.
// An error with outcome not-run means that this call did not get the bundle
// accepted; after OperationUnknown it may be accepted. Either way the same call
// may be repeated.
func (r *Roller) RollForward(ctx context.Context, s *Signed) error {
	if _, err := Verify(s, r.Policy); err != nil {
		return err
	}
	current, err := ReadCurrent(ctx, r.Store)
	if err != nil {
		return readError(err)
	}
	accepted, err := r.compareWithCurrent(ctx, s, current)
	if accepted || err != nil {
		return err
	}
	if err := r.checkNoProcessAhead(ctx, s, current); err != nil {
		return err
	}
	write := r.newWrite()
	if err := r.createVersion(ctx, s, write); err != nil {
		return err
	}
	return r.updateCurrent(ctx, s, write, current)
}

func (r *Roller) newWrite() WriteInfo {
	now := time.Now
	if r.Now != nil {
		now = r.Now
	}
	return WriteInfo{Operator: r.Operator, Time: now(), Nonce: rand.Text()}
}

// compareWithCurrent returns true if the bundle is accepted already, an error if
// it cannot replace the current version, and (false, nil) if it can.
func (r *Roller) compareWithCurrent(ctx context.Context, s *Signed, current Current) (accepted bool, err error) {
	if s.matches(current.Version, current.Digest) {
		return true, nil
	}
	if current.Version >= s.Version {
		superseded, err := r.isAncestor(ctx, s, current)
		if superseded || err != nil {
			return superseded, err
		}
		return false, result.New(result.VersionConflict, "bundle %d is not accepted: version %d (%s) was rolled forward by %s",
			s.Version, current.Version, current.Digest.Short(), current.Write)
	}
	if s.Predecessor != current.Digest {
		return false, result.New(result.VersionConflict,
			"bundle %d was signed to replace %s, but version %d (%s) is current, rolled forward by %s; sign it again as the successor of that version",
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

// isAncestor reports whether the current version is a direct or later successor of s.
func (r *Roller) isAncestor(ctx context.Context, s *Signed, current Current) (bool, error) {
	version, digest := current.Version, current.Digest
	versions, err := r.versionsBetween(ctx, s.Version, version)
	if err != nil {
		return false, err
	}
	for range maxPredecessors {
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

// versionsBetween returns the bundles in the store from version low to high,
// both included, by digest.
func (r *Roller) versionsBetween(ctx context.Context, low, high uint64) (map[Digest]*Signed, error) {
	objects, _, err := r.Store.List(ctx, VersionPrefix)
	if err != nil {
		return nil, result.Wrap(result.OperationUnknown, err, "the bundle versions in the store could not be listed")
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

func (r *Roller) checkNoProcessAhead(ctx context.Context, s *Signed, current Current) error {
	if r.HighestInForce == nil {
		return nil
	}
	highest, err := r.HighestInForce(ctx)
	if err != nil {
		return result.Wrap(result.StoreUnavailable, err, "the version in force in the processes could not be read")
	}
	if highest >= s.Version {
		return result.New(result.VersionConflict,
			"bundle %d is not accepted: processes hold version %d, but the store holds version %d; wait until the processes have written theirs back to the store",
			s.Version, highest, current.Version)
	}
	return nil
}

// createVersion writes the object of the version. If the object exists, it must
// hold the same bundle.
func (r *Roller) createVersion(ctx context.Context, s *Signed, w WriteInfo) error {
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
	if err == nil || hasResultCode(err) {
		return err
	}
	// A version is not accepted until CurrentKey names it, whether or not this write took effect.
	return result.Wrap(result.StoreUnavailable, err, "bundle %d is not accepted; repeat the command", s.Version)
}

// compareVersion returns VersionConflict unless the stored object of the version
// holds this bundle with valid approvals.
func (r *Roller) compareVersion(ctx context.Context, s *Signed) error {
	found, by, err := ReadVersion(ctx, r.Store, s.Version)
	if err != nil {
		return err
	}
	if !s.matches(found.Version, found.Digest) || found.Predecessor != s.Predecessor {
		return result.New(result.VersionConflict, "bundle %d is not accepted: another bundle with version %d (%s) was written by %s; roll that one forward or sign the next version",
			s.Version, s.Version, found.Digest.Short(), by)
	}
	if _, err := Verify(found, r.Policy); err != nil {
		return result.Wrap(result.VersionConflict, err, "bundle %d is not accepted: the same document was written without valid approvals by %s; sign the next version",
			s.Version, by)
	}
	return nil
}

// updateCurrent makes CurrentKey name the bundle, provided that CurrentKey has
// not changed since from was read.
func (r *Roller) updateCurrent(ctx context.Context, s *Signed, w WriteInfo, from Current) error {
	value, err := encodeCurrent(s, w)
	if err != nil {
		return result.Wrap(result.InvalidBundle, err, "bundle %d", s.Version)
	}
	maybeWritten, err := r.retry(ctx, func() (bool, error) {
		_, err := r.Store.Put(ctx, CurrentKey, value, from.objectVersion)
		if errors.Is(err, store.ErrConflict) {
			return true, r.readBack(ctx, s)
		}
		return err == nil, err
	})
	switch {
	case err == nil || hasResultCode(err):
		return err
	case maybeWritten:
		return result.Wrap(result.OperationUnknown, err, "bundle %d may be accepted; repeat the command to find out", s.Version)
	default:
		return result.Wrap(result.StoreUnavailable, err, "bundle %d is written, but not accepted; repeat the command", s.Version)
	}
}

// readBack returns nil after a conflict if this bundle was accepted nevertheless,
// else an error.
func (r *Roller) readBack(ctx context.Context, s *Signed) error {
	current, err := ReadCurrent(ctx, r.Store)
	if err != nil {
		return err
	}
	accepted, err := r.compareWithCurrent(ctx, s, current)
	if accepted || err != nil {
		return err
	}
	return result.New(result.VersionConflict, "bundle %d is not accepted: %s changed in the meantime; repeat the command", s.Version, CurrentKey)
}

// retry runs step until it is done, it fails with a result code, or rollAttempts
// are used up. maybeWritten is set if an attempt may have written something. A
// conditional write cannot take effect twice, so repeating it is safe and also
// shows whether the earlier attempt took effect.
func (r *Roller) retry(ctx context.Context, step func() (done bool, err error)) (maybeWritten bool, err error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = rollPauseMin, rollPauseMax
	for range rollAttempts {
		var done bool
		done, err = step()
		if done && err == nil || hasResultCode(err) {
			return maybeWritten, err
		}
		if !errors.Is(err, store.ErrUnavailable) || done {
			maybeWritten = true
		}
		if errors.Is(err, store.ErrTooLarge) {
			return maybeWritten, result.Wrap(result.InvalidBundle, err, "bundle")
		}
		select {
		case <-ctx.Done():
			return maybeWritten, err
		case <-time.After(pause.NextBackOff()):
		}
	}
	return maybeWritten, err
}

func hasResultCode(err error) bool {
	var coded *result.Error
	return errors.As(err, &coded)
}

// readError gives an error of the first read the result code StoreUnavailable
// unless it has a code; nothing has been written at that point.
func readError(err error) error {
	if hasResultCode(err) {
		return err
	}
	return result.Wrap(result.StoreUnavailable, err, "the current version could not be read")
}
