// Package store defines the interface to the platform's object API. It is implemented by
// subpackage objectapi over HTTP, and by subpackage memstore in memory, for tests and for
// the stand-in process.
package store

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// Version is the store-wide revision at which an object was last written, in an era of the store. Versions increase
// with each write, also across eras. A version with the revision zero means that the object does not exist.
type Version uint64

// Era counts how often the store has come back from an older copy. Revisions of an earlier era are given out again, and
// what was written since the copy is gone. It is zero for a store that does not state its era.
type Era uint16

// revisionBits is the number of bits of a Version that hold the revision. The higher bits hold the era, so that versions of a
// later era are larger.
const revisionBits = 48

// NewVersion returns the version of a revision, which must be less than 1<<48, in an era.
func NewVersion(era Era, revision uint64) Version {
	return Version(era)<<revisionBits | Version(revision)
}

// Era returns the era in which the version was given out.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the store's revision, which is unique within the era only.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// String returns the revision, after the era and a slash if there is one.
func (v Version) String() string {
	if v.Era() == 0 {
		return strconv.FormatUint(v.Revision(), 10)
	}
	return strconv.FormatUint(uint64(v.Era()), 10) + "/" + strconv.FormatUint(v.Revision(), 10)
}

// LogValue implements slog.LogValuer.
func (v Version) LogValue() slog.Value {
	if v.Era() == 0 {
		return slog.Uint64Value(v.Revision())
	}
	return slog.StringValue(v.String())
}

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
	// ErrSteppedBack reports a write whose expected version is of an earlier era than the store, or whose answer is. The
	// write may have been done, and may be lost. The object must be read again.
	ErrSteppedBack = errors.New("store: the store has come back from an older copy")
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
	// Put writes a value if the object's version equals expected. An expected version with the
	// revision zero creates the object; if it has an era, only in that one. Put returns the new version, or ErrConflict,
	// ErrTooLarge, ErrUnavailable, ErrUnknown or ErrSteppedBack.
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
