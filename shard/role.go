package shard

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
)

// RoleKey is the store key under which the assigner's role is stored.
const RoleKey = rolePrefix + "assigner"

const rolePrefix = "basiltally-roles/"

// RangePrefix is the prefix of the store keys of the records of ranges. The rest of the
// key is the name of the service.
const RangePrefix = "basiltally-ranges/"

// role records which VM is the assigner. A VM that takes over writes it with the next
// term. The assigner writes it at intervals with the next beat.
type role struct {
	// VM is the name of the assigner's VM. It is empty if the assigner has stepped down.
	VM string `json:"vm"`
	// Incarnation identifies one start of the VM's process.
	Incarnation string `json:"incarnation"`
	// Address is the address at which the VM accepts its peers.
	Address string `json:"address"`
	Term    uint64 `json:"term"`
	Beat    uint64 `json:"beat"`
	// EarlierActsForMs is how long after this write orders of assigners of earlier terms may be in
	// flight, in milliseconds.
	EarlierActsForMs uint64 `json:"earlier_acts_for_ms,omitempty"`
	// EarlierArriveForMs is how long after this write these orders may arrive, in milliseconds: they may wait in the links of
	// their VMs after their calls have ended.
	EarlierArriveForMs uint64 `json:"earlier_arrive_for_ms,omitempty"`
	// Settled is set if the assigner has stepped down and no order of it is in flight.
	Settled bool `json:"settled,omitempty"`
	// Era is the era of the store for which the role was written. In a later era, the role comes from an older copy.
	Era store.Era `json:"era,omitempty"`
	// RecordsPending is set while records of ranges in the store may still be those of an older copy.
	RecordsPending bool `json:"records_pending,omitempty"`
}

// ofEarlierEra reports whether the role, which was read at the version, was written for an earlier era of the store. It then says
// nothing of who is the assigner. No role at a store that states an era is one of an earlier era too: the copy may lack it.
func (r *role) ofEarlierEra(version store.Version) bool { return r.Era != version.Era() }

// next returns the role of the VM's next term, which begins from the role r in the store. It is above the highest known term: a late write
// of an earlier era may have replaced the role of a later term.
func (r *role) next(vm, incarnation, address string, version store.Version, known uint64) role {
	return role{
		VM: vm, Incarnation: incarnation, Address: address, Term: max(nextTerm(r.Term, r.Era, version.Era()), known+1), Era: version.Era(),
		RecordsPending: r.RecordsPending || r.ofEarlierEra(version),
	}
}

// roleEra is the era of the store for which a role was last written, and whether records of ranges may still be those of an older
// copy. It may be used by several goroutines.
type roleEra struct{ bits atomic.Uint32 }

func (e *roleEra) set(era store.Era, recordsPending bool) {
	bits := uint32(era) << 1
	if recordsPending {
		bits |= 1
	}
	e.bits.Store(bits)
}

func (e *roleEra) get() (era store.Era, recordsPending bool) {
	bits := e.bits.Load()
	return store.Era(bits >> 1), bits&1 != 0
}

// finish records that no records are pending any more, if the era is still the same.
func (e *roleEra) finish(era store.Era) { e.bits.CompareAndSwap(uint32(era)<<1|1, uint32(era)<<1) }

// lostTerms is larger than the number of terms that can begin between a copy of the store and its return.
const lostTerms = 1 << 16

// nextTerm returns the term that follows a term of an era. In a later era it is above all terms that were lost with the
// earlier ones.
func nextTerm(term uint64, of, era store.Era) uint64 {
	if era > of {
		term += uint64(era-of) * lostTerms
	}
	return term + 1
}

// setEarlier sets EarlierActsForMs and EarlierArriveForMs for a write at the instant now, if orders of earlier assigners may
// be in flight until the instant until, and arrive until arriveUntil.
func (r *role) setEarlier(until, arriveUntil, now time.Duration) {
	r.EarlierActsForMs, r.EarlierArriveForMs = wholeMilliseconds(until-now), wholeMilliseconds(arriveUntil-now)
}

// wholeMilliseconds returns the duration rounded up, or zero if it is negative.
func wholeMilliseconds(d time.Duration) uint64 {
	return uint64(max((d + time.Millisecond - 1).Milliseconds(), 0))
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

const (
	// callTimeout is the time limit of one call to the store.
	callTimeout = time.Second
	// unknownRetryPause is the pause between two attempts to determine the outcome of a
	// write.
	unknownRetryPause = 150 * time.Millisecond
)

// errSuperseded reports that another VM has become the assigner.
var errSuperseded = errors.New("shard: another VM is the assigner")

// readRole returns the role in the store and its version. If there is none, the role is zero and the version has
// only an era.
func readRole(ctx context.Context, s store.Store) (role, store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := s.Get(ctx, RoleKey)
	if errors.Is(err, store.ErrNotFound) {
		_, at, err := s.List(ctx, rolePrefix)
		return role{}, store.NewVersion(at.Era(), 0), err
	}
	if err != nil {
		return role{}, 0, err
	}
	var r role
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return role{}, obj.Version, errors.Wrap(err, "decode the assigner's role")
	}
	return r, obj.Version, nil
}

// putUntilResolved writes a value if the stored one has the expected version. While the
// outcome is unknown, it repeats the write under the same condition, so that the write
// is done once or never. isOurs reports whether a stored value is the one written.
//
// It returns the new version, store.ErrConflict if another writer came first,
// store.ErrUnavailable if the write certainly was not done, store.ErrUnknown if the
// context ended while the outcome was unknown, and store.ErrSteppedBack if the store has come back from an older copy.
func putUntilResolved(ctx context.Context, s store.Store, key string, value []byte, expected store.Version, isOurs func([]byte) bool) (store.Version, error) {
	unknown := false
	for {
		version, err := putOnce(ctx, s, key, value, expected)
		switch {
		case err == nil && version.Era() != expected.Era():
			return 0, errors.Wrap(store.ErrSteppedBack, key)
		case err == nil:
			return version, nil
		case errors.Is(err, store.ErrSteppedBack):
			return 0, err
		case errors.Is(err, store.ErrConflict):
			if !unknown {
				return 0, err
			}
			version, ours, readErr := readBack(ctx, s, key, isOurs)
			if readErr == nil && version.Era() != expected.Era() {
				return 0, errors.Wrap(store.ErrSteppedBack, key)
			}
			if readErr == nil && ours {
				return version, nil
			}
			if readErr == nil {
				return 0, err
			}
		case errors.Is(err, store.ErrUnavailable):
			if !unknown {
				return 0, err
			}
		default:
			unknown = true
		}
		select {
		case <-ctx.Done():
			return 0, errors.Wrap(store.ErrUnknown, key)
		case <-time.After(unknownRetryPause):
		}
	}
}

func putOnce(ctx context.Context, s store.Store, key string, value []byte, expected store.Version) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Put(ctx, key, value, expected)
}

// readBack returns the version of the stored value and whether isOurs recognises it.
func readBack(ctx context.Context, s store.Store, key string, isOurs func([]byte) bool) (store.Version, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := s.Get(ctx, key)
	if err != nil {
		return 0, false, err
	}
	return obj.Version, isOurs(obj.Value), nil
}

// putRole writes the role if the stored one has the expected version, and returns the new
// version. It returns the errors of putUntilResolved.
func putRole(ctx context.Context, s store.Store, r role, expected store.Version) (store.Version, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "encode the assigner's role")
	}
	return putUntilResolved(ctx, s, RoleKey, value, expected, func(data []byte) bool {
		var found role
		return json.Unmarshal(data, &found) == nil && found == r
	})
}
