package shard

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
)

// RoleKey is the store key of the assigner's role.
const RoleKey = "basiltally-roles/assigner"

// RangePrefix is the prefix of the store keys of the records, one a service.
const RangePrefix = "basiltally-ranges/"

// role says who is the assigner. It is written at each take-over, which raises
// the term, and by the assigner at intervals, which raises the beat.
type role struct {
	// VM is empty if the last assigner has stepped down.
	VM string `json:"vm"`
	// Incarnation tells starts of the VM's process apart.
	Incarnation string `json:"incarnation"`
	// Address accepts peers.
	Address string `json:"address"`
	Term    uint64 `json:"term"`
	Beat    uint64 `json:"beat"`
}

const (
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
	// unknownPause separates the tries to find out what became of a write.
	unknownRetryPause = 150 * time.Millisecond
)

// errSuperseded reports that another VM has become the assigner.
var errSuperseded = errors.New("shard: another VM is the assigner")

// readRole returns the role and its version; both are zero if there is none yet.
func readRole(ctx context.Context, s store.Store) (role, store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := s.Get(ctx, RoleKey)
	if errors.Is(err, store.ErrNotFound) {
		return role{}, 0, nil
	}
	if err != nil {
		return role{}, 0, err
	}
	var r role
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return role{}, obj.Version, errors.Wrap(err, "role of the assigner")
	}
	return r, obj.Version, nil
}

// putCertain writes a value under a condition and finds out what became of the
// write: while that is unknown it repeats it with the same condition, so that
// it is done once or never. isOurs recognises the value in the store. It returns
// store.ErrConflict if another writer came first, and store.ErrUnavailable if
// the write certainly was not done.
func putUntilResolved(ctx context.Context, s store.Store, key string, value []byte, expected store.Version, isOurs func([]byte) bool) (store.Version, error) {
	unknown := false
	for {
		version, err := putOnce(ctx, s, key, value, expected)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, store.ErrConflict):
			if !unknown {
				return 0, err
			}
			version, ours, readErr := readBack(ctx, s, key, isOurs)
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

func readBack(ctx context.Context, s store.Store, key string, isOurs func([]byte) bool) (store.Version, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := s.Get(ctx, key)
	if err != nil {
		return 0, false, err
	}
	return obj.Version, isOurs(obj.Value), nil
}

// putRole writes the role under the condition that it has the version.
func putRole(ctx context.Context, s store.Store, r role, expected store.Version) (store.Version, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "role of the assigner")
	}
	return putUntilResolved(ctx, s, RoleKey, value, expected, func(data []byte) bool {
		var found role
		return json.Unmarshal(data, &found) == nil && found == r
	})
}
