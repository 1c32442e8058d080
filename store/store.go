// Package store defines the interface to the platform's object API. It is implemented by
// subpackage objectapi over HTTP, and by subpackage memstore in memory, for tests and for
// the stand-in process.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// Version is the store-wide revision at which an object was last written.
// Versions increase with each write. Zero means that the object does not exist.
type Version uint64

// Object is a value with its key and version.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// Event is a change to an object. After a deletion, Deleted is set and there is no value.
type Event struct {
	Object
	Deleted bool
}

// Errors that implementations return; compare with errors.Is.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("store: object not found")
	// ErrConflict reports that the object's version is not the expected one. Nothing was written.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnknown reports that the answer to a write was lost. The write may have taken effect.
	ErrUnknown = errors.New("store: outcome of the write is unknown")
	// ErrUnavailable reports that the store refused the call or could not be reached. Nothing
	// was written.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrCompacted reports that the store no longer has all changes after the version. The
	// objects must be listed again.
	ErrCompacted = errors.New("store: version was compacted")
	// ErrTooLarge reports a value over MaxValueBytes.
	ErrTooLarge = errors.New("store: value is too large")
)

// Store is the object API. Every call returns when the deadline of its context passes.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys have the prefix, in key order, and
	// the revision of the store that the list reflects.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Put writes a value if the object's version equals expected. An expected version of
	// zero creates the object. Put returns the new version, or ErrConflict, ErrTooLarge,
	// ErrUnavailable or ErrUnknown.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Delete removes an object if its version equals expected.
	Delete(ctx context.Context, key string, expected Version) error
	// Watch waits for changes, later than the version, to objects whose keys have the
	// prefix. It returns at least one event, or none if the context's deadline passes.
	Watch(ctx context.Context, prefix string, after Version) ([]Event, error)
}

// Feed lists and follows the objects under a prefix.
type Feed interface {
	// List returns the objects whose keys have the prefix, in key order, and
	// the revision of the store that the list reflects.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Poll waits up to the duration for changes after the revision. It returns the changes
	// and the revision from which the next poll continues, or ErrCompacted.
	Poll(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error)
}

// VM is an entry of the platform's VM list. The list may be out of date.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Kind is "entry" for VMs of the router and "target" for targets.
	Kind string `json:"kind"`
	// Pool is the name of a target's pool. It is empty for VMs of the router.
	Pool string `json:"pool,omitempty"`
	// Leaving is set if the VM is about to be removed.
	Leaving bool `json:"leaving"`
}

// VMLister reads the platform's VM list.
type VMLister interface {
	// ListVMs returns the VM list.
	ListVMs(ctx context.Context) ([]VM, error)
}
